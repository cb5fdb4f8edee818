// Holds tasks of which a start without a response may still be executed: its worker has confirmed
// no stop of it before the lease was over, or a process that knows nothing of that stop replaces
// the one that has confirmed it.
#include "egretturn/Scheduler/CandidateRanking.h"
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kLateStopRetryInterval = std::chrono::milliseconds(400);

// Time for a poll, a stop, and a poll after its confirmation. A worker that answers no orders
// delays its tasks by as much.
static constexpr Duration kMaxSettleTime = std::chrono::milliseconds(800);

void
Scheduler::KeepLateStart(Worker& aWorker,
                         const TaskRef& aTask,
                         const AttemptState& aLost,
                         Instant aNow)
{
  if (!aLost.m_startPending) {
    return;
  }
  LateStart start;
  start.m_task = aTask;
  start.m_attempt = aLost.m_attempt;
  start.m_sentAt = aLost.m_startedAt;
  start.m_givenUpAt = aNow;
  start.m_settled = aLost.m_stopConfirmed;
  m_fleet.AddLateStart(aWorker, start);
  LogAttempt("start_may_follow", aWorker, aTask, aLost.m_attempt, "unanswered");
}

void
Scheduler::ForgetLateStart(Worker& aWorker, const TaskRef& aTask, AttemptNumber aAttempt)
{
  m_fleet.RemoveLateStarts(aWorker, [&](const LateStart& aStart) {
    return aStart.m_task == aTask && aStart.m_attempt == aAttempt;
  });
  m_placementNeeded = true;
}

void
Scheduler::SettleLateStart(Worker& aWorker, LateStart& aStart, Instant aNow)
{
  if (aStart.m_settled) {
    return;
  }
  if (aStart.m_stopConfirmedAt) {
    aStart.m_settled = *aStart.m_stopConfirmedAt <= aWorker.m_pollSentAt; // and it is not listed
    return;
  }
  if (!aStart.m_stopSentAt || aNow - *aStart.m_stopSentAt >= kLateStopRetryInterval) {
    aStart.m_stopSentAt = aNow;
    EmitStop(aWorker, aStart.m_task, aStart.m_attempt);
  }
}

void
Scheduler::OnLateStartStopped(Worker& aWorker,
                              const TaskRef& aTask,
                              AttemptNumber aAttempt,
                              Instant aNow)
{
  for (LateStart& start : aWorker.m_lateStarts) {
    if (start.m_task == aTask && start.m_attempt == aAttempt && !start.m_stopConfirmedAt) {
      start.m_stopConfirmedAt = aNow;
      aWorker.m_nextPollAt = std::min(aWorker.m_nextPollAt, aNow + kPollDelay);
    }
  }
}

void
Scheduler::UpdateLateStarts(Worker& aWorker, const WorkerStatus& aStatus, Instant aNow)
{
  if (aWorker.m_lateStarts.empty()) {
    return;
  }
  for (const RunningAttempt& reported : aStatus.m_running) {
    ForgetLateStart(aWorker, reported.m_task, reported.m_attempt);
  }
  for (const EndedAttempt& reported : aStatus.m_ended) {
    ForgetLateStart(aWorker, reported.m_task, reported.m_attempt);
  }
  const Duration lateness = m_fleet.Limits().m_maxCallLateness;
  m_fleet.RemoveLateStarts(aWorker, [&](const LateStart& aStart) {
    return aStart.m_sentAt + lateness <= aWorker.m_pollSentAt;
  });
  for (LateStart& start : aWorker.m_lateStarts) {
    SettleLateStart(aWorker, start, aNow);
  }
  m_placementNeeded = true;
}

void
Scheduler::ExpireLateStarts(Worker& aWorker, Instant aNow)
{
  if (aWorker.m_lateStarts.empty() || aWorker.m_failedPolls == 0) {
    return;
  }
  m_fleet.RemoveLateStarts(aWorker, [&](const LateStart& aStart) {
    // A lease counts from the execution of the start.
    const Duration lateness = aStart.m_settled ? Duration() : m_fleet.Limits().m_maxCallLateness;
    return m_fleet.LatestLeaseExpiry(aStart.m_sentAt + lateness) <= aNow;
  });
  m_placementNeeded = true;
}

/// Returns whether \p aWorker may still say whether it has executed the start of \p aTask: that was
/// given up, or contact was regained, just now.
static bool
MayBeSettledSoon(const Worker& aWorker, const TaskRef& aTask, Instant aNow)
{
  const bool recentContact =
    aWorker.m_failedPolls == 0 && aNow - aWorker.m_regainedContactAt < kMaxSettleTime;
  return std::any_of(
    aWorker.m_lateStarts.begin(), aWorker.m_lateStarts.end(), [&](const LateStart& aStart) {
      return aStart.m_task == aTask && !aStart.m_settled &&
             (recentContact || aNow - aStart.m_givenUpAt < kMaxSettleTime);
    });
}

bool
Scheduler::MayStartBesideLateStart(const WaitingStep& aWaiting, size_t aTask, Instant aNow)
{
  const TaskRef ref = MakeTaskRef(aWaiting, aTask);
  const std::vector<Worker*>& starters = *m_fleet.FindLateStarts(ref);
  if (std::any_of(starters.begin(), starters.end(), [&](const Worker* aStarter) {
        return MayBeSettledSoon(*aStarter, ref, aNow);
      })) {
    return false;
  }
  const Job& job = *aWaiting.m_job;
  if (!StepOf(aWaiting).m_longRunning) {
    return IsIdle(job, aNow);
  }
  const TaskRecord& task = aWaiting.m_occurrence->m_steps[aWaiting.m_step].m_tasks[aTask];
  const Instant waitsSince =
    std::max({ job.m_submittedAt, aWaiting.m_occurrence->m_openedAt, task.m_lastRanAt });
  return aNow - waitsSince >= kMaxJobIdleTime;
}

Worker*
Scheduler::ChooseLateStarter(const WaitingStep& aWaiting,
                             size_t aTask,
                             const std::vector<Worker*>& aLateStarters,
                             const PlacementRequest& aRequest,
                             Instant aNow)
{
  if (aLateStarters.size() > 1) {
    return nullptr; // on several workers, or its worker does not respond to starts
  }
  Worker* starter = aLateStarters.front();
  const TaskRef ref = MakeTaskRef(aWaiting, aTask);
  const bool unsettled =
    std::any_of(starter->m_lateStarts.begin(),
                starter->m_lateStarts.end(),
                [&](const LateStart& aStart) { return aStart.m_task == ref && !aStart.m_settled; });
  if (unsettled) {
    return nullptr; // it may be executed beside the next start
  }
  const std::vector<Worker*>& lastResort = LastResortOf(*aRequest.m_step);
  const bool usable =
    AcceptsWork(*starter, aNow) ||
    (MayUseLastResort(aWaiting, aTask, aNow) &&
     std::find(lastResort.begin(), lastResort.end(), starter) != lastResort.end());
  return usable ? CandidateRanking({ starter }, aRequest).TakeBest(nullptr) : nullptr;
}

} // namespace egretturn
