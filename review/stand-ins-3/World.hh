// A small deployment for one case: the store and a caller in this process; the instances and the
// workers as processes of their own.
#pragma once

#include "PortBlock.h"
#include "StoreStandin.h"

#include "egretturn/Http/Http.h"
#include "egretturn/Journal/Records.h"

#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

using egretturn::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Sizes of a deployment.
struct WorldSettings
{
  std::string m_program; ///< Of the instances, by the deploy file.
  std::string m_self;    ///< This program, which also runs as a worker.
  std::string m_folder;  ///< For settings, logs and the workers' records.
  std::string m_record;  ///< What was sent, answered and run.
  size_t m_instances = 6;
  size_t m_workers = 48;
  double m_processorShare = 0.1;
  int m_maxDescriptors = 4100;
};

struct InstanceProcess
{
  std::string m_name;
  std::string m_zone;
  uint16_t m_front = 0;
  uint16_t m_ready = 0;
  uint16_t m_peer = 0;
  uint16_t m_store = 0;
  pid_t m_pid = 0;
  bool m_endExpected = false;
};

struct WorkerProcess
{
  std::string m_id;
  std::string m_zone;
  std::string m_rack;
  uint16_t m_port = 0;
  int64_t m_bornMs = 0;
  pid_t m_pid = 0;
  int64_t m_startedMs = 0; ///< Of its present process, by World::NowMs().
  bool m_listed = false;   ///< It writes its entry regularly.
  bool m_draining = false;
};

/// A response as the caller saw it; status 0 is none.
struct Answer
{
  unsigned m_status = 0;
  std::string m_body;
};

/// One start or end in the record of a worker.
struct RunEvent
{
  int64_t m_atMs = 0;
  std::string m_worker;
  std::string m_what; ///< "start" or "end".
  std::string m_task;
  uint64_t m_run = 0;
  std::string m_how;
};

/// Not thread-safe.
class World
{
public:
  explicit World(WorldSettings aSettings);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Starts all processes and waits until all instances are ready. Returns false if they are not.
  bool Start();

  void RunFor(Duration aTime);
  int64_t NowMs() const;
  void Record(const std::string& aLine);

  /// Sends a request and calls \p aDone with the answer. The result can be cancelled.
  std::shared_ptr<egretturn::ClientCall> Call(size_t aInstance,
                                              boost::beast::http::verb aMethod,
                                              const std::string& aPath,
                                              const std::string& aBody,
                                              std::function<void(Answer)> aDone);

  /// The same; waits for the answer.
  Answer Ask(size_t aInstance,
             boost::beast::http::verb aMethod,
             const std::string& aPath,
             const std::string& aBody);

  /// Asks one instance after the other for the state of a job, until one says it.
  std::string StateOf(const std::string& aJob);

  std::string NewId();

  size_t AddWorker();
  void SetListed(size_t aWorker, bool aListed);
  void Drain(size_t aWorker);
  void KillWorker(size_t aWorker);
  /// Starts a killed worker again under its id and address.
  void RestartWorker(size_t aWorker);
  /// Lets the next start on any worker go unanswered and be carried out \p aDelayMs later.
  void LeaveNextStartUnanswered(int64_t aDelayMs);
  /// Cuts a worker off from all machines, or ends that. It runs on.
  void CutWorker(size_t aWorker, bool aCut);
  size_t WorkerOf(const std::string& aId) const;
  void SignalInstance(size_t aInstance, int aSignal);
  void StartInstance(size_t aInstance);

  /// Returns the instance of the newest claim, and its witnesses' names.
  size_t Leader() const { return m_leader; }
  const egretturn::StoredClaim& Claim() const { return m_claim; }
  size_t IndexOf(const std::string& aName) const;

  /// Returns the number of sockets that a process has open, and of those that its peer has closed.
  static size_t CountDescriptors(pid_t aPid);

  /// Returns what the workers have run until now, by time.
  std::vector<RunEvent> ReadRuns() const;

  /// Returns the processes that have ended without having been asked to.
  std::vector<std::string> Reap();

  egretturn::soak::StoreStandin& Store() { return m_store; }
  std::vector<InstanceProcess>& Instances() { return m_instances; }
  std::vector<WorkerProcess>& Workers() { return m_workers; }

private:
  void WriteEntry(size_t aWorker);
  void WriteEntries();
  void StartWorker(size_t aWorker);
  void WriteSettings(const InstanceProcess& aInstance) const;

  WorldSettings m_settings;
  boost::asio::io_context m_io;
  boost::asio::steady_timer m_timer;
  egretturn::soak::PortBlock m_ports;
  egretturn::soak::StoreStandin m_store;
  egretturn::HttpClient m_client;
  std::vector<InstanceProcess> m_instances;
  std::vector<WorkerProcess> m_workers;
  egretturn::StoredClaim m_claim;
  size_t m_leader = 0;
  uint64_t m_lastId = 0;
  std::FILE* m_recordFile;
  int64_t m_startedAtMs = 0;
};

constexpr const char* kHost = "desk.example";
constexpr const char* kPrefix = "/desk/";
constexpr const char* kService = "desk";

} // namespace review
