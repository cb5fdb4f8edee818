// What a test of hostile clients runs: one real process, the store that it calls, and an ordinary
// caller.
#pragma once

#include "PortBlock.h"
#include "Process.h"
#include "StoreStandin.h"

#include "egretturn/Support/Random.h"

#include <memory>
#include <thread>

namespace egretturn::hostile {

// The bounds of the process under test. They come from its settings, not from a measurement.
constexpr ProcessLimits kLimits{ 64, 300 };
constexpr size_t kReservedDescriptors = 200; // of the limit, for files
constexpr size_t kMaxSockets = kLimits.m_descriptors - kReservedDescriptors;
constexpr uint64_t kMaxMemoryKb = kLimits.m_memoryMb * 1024;

/// A process, the store that it calls, and an ordinary caller. Not thread-safe.
class World
{
public:
  World(const std::string& aProgram, const std::string& aFolder);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Waits until the process accepts a job. Returns false if it does not.
  bool Start();

  /// Kills the process and starts another one with the same settings on the same store.
  void Restart();

  /// Waits until the process no longer grows, since the kernel takes bytes before the process does,
  /// and what was accepted may take effect later.
  void Settle() const;

  /// Returns what breaks a bound, as text. An ordinary caller may try again as the pages say.
  std::vector<std::string> Check();

  const ProcessPorts& Ports() const { return m_ports; }

private:
  /// Starts the process. \pre There is no second thread.
  void StartProcess();
  void StartStore();
  void StopStore();
  /// Submits an ordinary job over a new connection. Returns whether it was accepted.
  bool Submit();

  std::string m_program;
  std::string m_folder;
  boost::asio::io_context m_storeIo;
  soak::PortBlock m_block;
  soak::StoreStandin m_store;
  ProcessPorts m_ports;
  std::unique_ptr<Process> m_process;
  std::thread m_thread; ///< Runs the store.
  Random m_random{ 1 };
  uint64_t m_lastJob = 0;
};

} // namespace egretturn::hostile
