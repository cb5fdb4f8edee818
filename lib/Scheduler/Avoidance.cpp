// Decides which workers get no tasks for a while, since attempts failed there, and when a task
// starts there all the same.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

static constexpr uint32_t kFailuresBeforeAvoidance = 3; // consecutive failures
static constexpr Duration kFailureResetTime =
  std::chrono::seconds(10); // time without a failure after which they no longer count
static constexpr Duration kInitialAvoidance = std::chrono::seconds(1);
static constexpr uint32_t kMaxAvoidanceDoublings = 3; // doublings of kInitialAvoidance
// Failures on more workers have a cause that all of them share, such as a job that can't be done.
static constexpr double kMaxAvoidedShare = 0.5; // of the workers of a service

bool
Scheduler::MayAvoid(const Worker& aWorker, Instant aNow) const
{
  size_t total = 0;
  size_t avoided = 1; // with this one
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (!worker->m_registered || worker->m_report.m_service != aWorker.m_report.m_service) {
      continue;
    }
    ++total;
    avoided += worker.get() != &aWorker && worker->m_avoidUntil > aNow ? 1 : 0;
  }
  const double maxAvoided = kMaxAvoidedShare * static_cast<double>(total);
  return static_cast<double>(avoided) <= std::max(1.0, maxAvoided);
}

void
Scheduler::RecordFailure(Worker& aWorker, Instant aHealthyUntil, Instant aNow)
{
  if (aHealthyUntil >=
      std::max(aWorker.m_lastFailureAt, aWorker.m_avoidUntil) + kFailureResetTime) {
    aWorker.m_consecutiveFailures = 0;
  }
  aWorker.m_lastFailureAt = aNow;
  ++aWorker.m_consecutiveFailures;
  if (aWorker.m_consecutiveFailures < kFailuresBeforeAvoidance || !MayAvoid(aWorker, aNow)) {
    return;
  }
  const uint32_t doublings =
    std::min(aWorker.m_consecutiveFailures - kFailuresBeforeAvoidance, kMaxAvoidanceDoublings);
  aWorker.m_avoidUntil = aNow + kInitialAvoidance * (1 << doublings);
  Log(LogLine(LogLevel::Warning, "worker_avoided")
        .Add("worker", aWorker.m_report.m_id)
        .Add("failures", aWorker.m_consecutiveFailures)
        .Add("for_ms", ToMillis(aWorker.m_avoidUntil - aNow)));
}

const std::vector<Worker*>&
Scheduler::LastResortOf(const GraphStep& aStep) const
{
  // Failures cost a long-running task none of its attempts.
  return aStep.m_longRunning ? m_penalizedWorkers.m_all : m_penalizedWorkers.m_withoutRecentFailure;
}

bool
Scheduler::MayUseLastResort(const WaitingStep& aWaiting, size_t aTask, Instant aNow)
{
  const Job& job = *aWaiting.m_job;
  const TaskRecord& task = aWaiting.m_occurrence->m_steps[aWaiting.m_step].m_tasks[aTask];
  const bool longRunning = StepOf(aWaiting).m_longRunning; // each task of these counts by itself
  if (LastResortOf(StepOf(aWaiting)).empty() || aNow < task.m_nextLastResortAt ||
      (!longRunning && job.m_liveAttempts > 0)) {
    return false;
  }
  if (!longRunning && ReservedShareOf(job.m_stored.m_terms.m_service) >= kLowReservation) {
    return false; // it waits its turn
  }
  const Instant lastRanAt = longRunning ? task.m_lastRanAt : job.m_lastRanAt;
  const Instant waitsSince =
    std::max({ job.m_submittedAt, aWaiting.m_occurrence->m_openedAt, lastRanAt });
  return aNow - waitsSince >= kMaxJobIdleTime;
}

bool
Scheduler::MayUseLastResort(const WaitingStep& aWaiting, Instant aNow)
{
  if (LastResortOf(StepOf(aWaiting)).empty()) {
    return false;
  }
  const TaskTable& tasks = aWaiting.m_occurrence->m_steps[aWaiting.m_step].m_tasks;
  const std::optional<size_t> untouched = tasks.FirstUntouched();
  if (untouched && MayUseLastResort(aWaiting, *untouched, aNow)) {
    return true;
  }
  return std::any_of(tasks.GetRecords().begin(),
                     tasks.GetRecords().end(),
                     [&](const TaskTable::Records::value_type& aEntry) {
                       return !aEntry.second.m_done && aEntry.second.m_attempts.empty() &&
                              MayUseLastResort(aWaiting, aEntry.first, aNow);
                     });
}

} // namespace egretturn
