// The process under test of the tests of hostile clients: its settings, its descriptors, and what
// the kernel tells of it.
#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>

namespace egretturn::hostile {

/// The limits that the settings give the process.
struct ProcessLimits
{
  uint64_t m_memoryMb = 0;
  uint64_t m_descriptors = 0; ///< The kernel enforces them too.
};

/// The ports of the process, all on 127.0.0.1.
struct ProcessPorts
{
  uint16_t m_ingress = 0;
  uint16_t m_ready = 0;
  uint16_t m_peer = 0;
  uint16_t m_store = 0; ///< Of the stand-in that it calls.
};

/// An instance that runs as a process. Not thread-safe.
class Process
{
public:
  /// Starts \p aProgram with settings and a log in \p aFolder.
  Process(const std::string& aProgram,
          const std::string& aFolder,
          const ProcessPorts& aPorts,
          const ProcessLimits& aLimits);

  /// Kills the process if it runs.
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Returns whether the process has not ended.
  bool IsRunning();

  /// Returns the most resident memory that the process has had, in kilobytes, or 0 if it has ended.
  uint64_t PeakMemoryKb() const;

  /// Returns the number of its open sockets.
  size_t OpenSockets() const;

private:
  pid_t m_pid = 0;
};

} // namespace egretturn::hostile
