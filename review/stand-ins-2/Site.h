// A small deployment: the store, workers and callers as stand-ins, and instances of the project's
// own program as processes.
#pragma once

#include "Relays.h"
#include "Worker.h"

#include <sys/types.h>

namespace egretturn::review {

/// One process of the program under test.
struct Instance
{
  std::string m_name;
  std::string m_zone;
  uint16_t m_ingressPort = 0;
  uint16_t m_readyPort = 0;
  uint16_t m_peerPort = 0;
  uint16_t m_storePort = 0;
  size_t m_store = 0; ///< Index of its address at the store.
  pid_t m_pid = 0;
  bool m_endExpected = false;
};

struct SiteSettings
{
  std::string m_program; ///< As the deploy file says.
  std::string m_folder;  ///< Receives the record.
  std::string m_temporary;
  size_t m_instances = 6;
  int m_attempts = 4;
  double m_processorShare = 0.1;
};

/// Not thread-safe. Ends all processes that it started when it is destroyed.
class Site
{
public:
  explicit Site(SiteSettings aSettings);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  /// Adds a worker that is not started yet.
  Worker& AddWorker(WorkerSettings aSettings);
  /// Publishes a configuration with one route, which sends the queue to \p aService; a route to
  /// another service is dropped.
  void Publish(const std::string& aService);

  void StartInstance(size_t aInstance);
  void Signal(size_t aInstance, int aSignal);
  /// Starts the processes and the workers, and waits until an instance is ready.
  Task<bool> Begin();
  /// Cuts an instance off from the others and from the store, or connects it again.
  void SetCut(size_t aInstance, bool aCut);
  /// Returns the index of the instance that leads, if one says so.
  Task<std::optional<size_t>> FindLeader();

  /// Submits a job at \p aInstance once.
  Task<Answer> Submit(JobSpec aJob, size_t aInstance, Millis aTimeout);
  /// Submits a job, again at any instance while there is no final answer.
  Task<bool> SubmitUntilAccepted(JobSpec aJob);
  Task<Answer> Ask(std::string aId, size_t aInstance, Millis aTimeout);
  /// Returns how many jobs of the queue wait, by an instance; nothing without a number.
  Task<std::optional<int64_t>> CountPending(size_t aInstance);
  Task<Answer> Cancel(std::string aId, size_t aInstance, Millis aTimeout);

  /// Returns the state of a job by the first instance that responds with one, or an empty text.
  Task<std::string> StateOf(std::string aId);

  /// Runs \p aCase to its end. Returns the exit code of the case.
  int Run(const std::function<Task<void>(Site&)>& aCase);

  std::string NewId();
  Judge& GetJudge() { return m_judge; }
  Store& GetStore() { return m_store; }
  asio::io_context& Io() { return m_io; }
  std::vector<std::unique_ptr<Worker>>& Workers() { return m_workers; }
  std::vector<Instance>& Instances() { return m_instances; }
  std::mt19937& Random() { return m_random; }
  size_t Below(size_t aBound);

  Worker::Planner m_planner; ///< Chooses what becomes of a run; done after its work by default.
  bool m_restarts = true;    ///< Ended instances are started again.
  bool m_mayJudge = false;   ///< The case has come to where its rule can be judged.

private:
  void WriteSettings(const Instance& aInstance) const;
  void Reap();
  Task<void> Tick();
  Task<Answer> Send(http::verb aVerb,
                    std::string aId,
                    std::string aBody,
                    size_t aInstance,
                    Millis aTimeout);

  SiteSettings m_settings;
  asio::io_context m_io;
  Judge m_judge;
  Store m_store;
  std::unique_ptr<Relays> m_relays;
  Gangs m_gangs;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::vector<Instance> m_instances;
  std::mt19937 m_random{ std::random_device{}() };
  int64_t m_version = 0;
};

} // namespace egretturn::review
