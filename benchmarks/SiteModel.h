// A model of a site under load, shared by the benchmarks: the jobs that its callers submit, and
// workers that run the tasks.
#pragma once

#include "egretturn/Node/Ports.h"
#include "egretturn/Scheduler/Scheduler.h"
#include "egretturn/Support/Random.h"

#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace egretturn::bench {

/// Time as the benchmark defines it.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual Instant Now() = 0;
  virtual void After(Duration aDelay, std::function<void()> aCallback) = 0;
};

/// Returns the wall time that belongs to \p aNow, in milliseconds.
int64_t WallMsAt(Instant aNow);

/// Produces the jobs of a site: long-running ones with tail latencies, short ones, and batch jobs
/// of many tasks, in the proportion of a busy site.
class JobSource
{
public:
  explicit JobSource(uint64_t aSeed);

  /// Returns jobs whose long-running tasks reserve half of the processors of \p aWorkers workers.
  std::vector<Submission> MakeServingJobs(size_t aWorkers);

  /// Returns jobs with about \p aTasks tasks. What is too much is deducted from later calls.
  std::vector<Submission> MakeJobs(double aTasks);

  bool IsServing(GraphId aId) const { return m_servingJobs.count(aId) > 0; }

private:
  Submission MakeJob(const char* aRoute, uint32_t aPriority);
  GraphStep MakeStep(uint32_t aCount, int64_t aCpuMilli, int64_t aMs);

  Random m_random;
  uint64_t m_lastJob = 0;
  uint64_t m_turn = 0;
  double m_owedTasks = 0;
  std::unordered_set<GraphId> m_servingJobs;
};

/// Workers in the memory of this process, which run each task for a while and report its end.
/// Responses arrive after a network delay.
class ModelWorkers : public WorkerPort
{
public:
  ModelWorkers(Clock& aClock, size_t aCount);

  /// Returns the entries of the directory.
  const std::vector<WorkerReport>& Reports() const { return m_reports; }

  void Poll(const PollWorker& aPoll, uint64_t aFence, PollCallback aDone) override;
  void Start(const StartTask& aStart, uint64_t aFence, WorkerCallCallback aDone) override;
  void Stop(const StopTask& aStop, uint64_t aFence, WorkerCallCallback aDone) override;
  void Throttle(const ThrottleTask& aThrottle, uint64_t aFence, WorkerCallCallback aDone) override;

private:
  struct Attempt
  {
    TaskRef m_task;
    AttemptNumber m_attempt = 0;
    Instant m_startedAt;
    Instant m_endsAt;
    bool m_serving = false;
  };

  struct ModelWorker
  {
    std::vector<Attempt> m_attempts;
    std::vector<EndedAttempt> m_ended;
    uint64_t m_lastEnd = 0;
    uint64_t m_heldPoll = 0; ///< Number of the poll that waits for an end, or 0.
    PollCallback m_onPolled; ///< Of that poll.
  };

  void EndDue(const WorkerName& aName);
  void Respond(const WorkerName& aName, PollCallback aDone);

  Clock& m_clock;
  Random m_random;
  std::vector<WorkerReport> m_reports;
  std::unordered_map<WorkerName, ModelWorker> m_workers;
  uint64_t m_lastPoll = 0;
};

} // namespace egretturn::bench
