// How workers answered starts and stops.
#include "egretturn/Scheduler/Scheduler.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kBrieflyAvoided = std::chrono::milliseconds(300);

bool
Scheduler::StepsDown(const WorkerName& aId, WorkerCallResult aResult)
{
  if (aResult != WorkerCallResult::Fenced) {
    return false;
  }
  Emit(StepDown{ "fenced by worker " + aId });
  return true;
}

WorkerRun*
Scheduler::FindRun(Worker* aWorker, const TaskRef& aTask, AttemptNumber aRun)
{
  if (!aWorker) {
    return nullptr;
  }
  const auto it = aWorker->m_attempts.find(aTask);
  return it != aWorker->m_attempts.end() && it->second.m_attempt == aRun ? &it->second : nullptr;
}

void
Scheduler::OnStartResult(const WorkerName& aId,
                         const TaskRef& aTask,
                         AttemptNumber aRun,
                         WorkerCallResult aResult,
                         Instant aNow)
{
  if (StepsDown(aId, aResult)) {
    return;
  }
  Worker* worker = m_fleet.Find(aId);
  WorkerRun* run = FindRun(worker, aTask, aRun);
  if (!run || run->m_phase == RunPhase::Stopping) {
    return; // without a run, its end was listed before the answer came
  }
  if (aResult == WorkerCallResult::Accepted) {
    run->m_phase = RunPhase::Running;
    run->m_phaseSince = aNow;
    run->m_progressedAt = aNow;
    for (const FillGroup& group : worker->m_filling) {
      if (run->m_bestEffort && group.m_image == run->m_image) {
        OrderPace(*worker, aTask, *run, group.m_pace, aNow);
      }
    }
    worker->m_lookDueAt = std::min(worker->m_lookDueAt, aNow + kLookGap);
    return;
  }
  LogRun("start_failed", *worker, aTask, aRun, NameOf(aResult));
  worker->m_lookDueAt = std::min(worker->m_lookDueAt, aNow);
  if (aResult == WorkerCallResult::NoResponse) {
    run->m_phase = RunPhase::NoResponse;
    run->m_phaseSince = aNow;
    NoteFailure(*worker, aNow, aNow);
    return;
  }
  worker->m_outdated = true; // its clock or its runs may be others than thought
  if (aResult != WorkerCallResult::Superseded) {
    worker->m_avoidUntil = std::max(worker->m_avoidUntil, aNow + kBrieflyAvoided);
  }
  const bool ourFault = aResult == WorkerCallResult::NoCapacity ||
                        aResult == WorkerCallResult::LeaseExpired ||
                        aResult == WorkerCallResult::Superseded;
  if (!ourFault) {
    NoteFailure(*worker, aNow, aNow);
  }
  LoseRun(*worker, aTask, aNow, "not_started");
}

void
Scheduler::OnStopResult(const WorkerName& aId,
                        const TaskRef& aTask,
                        AttemptNumber aRun,
                        WorkerCallResult aResult,
                        Instant aNow)
{
  if (StepsDown(aId, aResult)) {
    return;
  }
  Worker* worker = m_fleet.Find(aId);
  WorkerRun* run = FindRun(worker, aTask, aRun);
  const bool settled =
    aResult == WorkerCallResult::Accepted || aResult == WorkerCallResult::Superseded;
  if (!run || !settled) {
    return;
  }
  run->m_stopAnswered = true;
  run->m_phaseSince = aNow;
  worker->m_lookDueAt = std::min(worker->m_lookDueAt, aNow + kLookGap);
}

} // namespace egretturn
