// Holds tasks of which a start without a response may still be executed: a process that replaces
// the one that has confirmed the stop knows nothing of that stop.
#include "egretturn/Scheduler/CandidateRanking.h"
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

void
Scheduler::KeepLateStart(Worker& aWorker, const TaskRef& aTask, const AttemptState& aLost)
{
  if (!aLost.m_startPending) {
    return;
  }
  m_fleet.AddLateStart(aWorker, { aTask, aLost.m_attempt, aLost.m_startedAt });
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
Scheduler::UpdateLateStarts(Worker& aWorker, const WorkerStatus& aStatus)
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
  m_placementNeeded = true;
}

void
Scheduler::ExpireLateStarts(Worker& aWorker, Instant aNow)
{
  if (aWorker.m_lateStarts.empty() || aWorker.m_failedPolls == 0) {
    return;
  }
  m_fleet.RemoveLateStarts(aWorker, [&](const LateStart& aStart) {
    return m_fleet.LatestLeaseExpiry(aStart.m_sentAt) <= aNow;
  });
  m_placementNeeded = true;
}

bool
Scheduler::MayStartBesideLateStart(const WaitingStep& aWaiting, size_t aTask, Instant aNow)
{
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
  const std::vector<Worker*>& lastResort = LastResortOf(*aRequest.m_step);
  const bool usable =
    AcceptsWork(*starter, aNow) ||
    (MayUseLastResort(aWaiting, aTask, aNow) &&
     std::find(lastResort.begin(), lastResort.end(), starter) != lastResort.end());
  return usable ? CandidateRanking({ starter }, aRequest).TakeBest(nullptr) : nullptr;
}

} // namespace egretturn
