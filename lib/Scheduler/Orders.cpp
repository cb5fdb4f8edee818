// How workers answered starts and stops.
#include "egretturn/Scheduler/Scheduler.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kBrieflyAvoided = std::chrono::milliseconds(300);

bool
Scheduler::StepsDown(const WorkerName& aId, OrderResult aResult)
{
  if (aResult != OrderResult::Fenced) {
    return false;
  }
  Emit(StepDown{ "fenced by worker " + aId });
  return true;
}

WorkerRun*
Scheduler::FindRun(Worker* aWorker, const TaskRef& aTask, RunNumber aRun)
{
  if (!aWorker) {
    return nullptr;
  }
  const auto it = aWorker->m_runs.find(aTask);
  return it != aWorker->m_runs.end() && it->second.m_run == aRun ? &it->second : nullptr;
}

void
Scheduler::OnStart(const WorkerName& aId,
                   const TaskRef& aTask,
                   RunNumber aRun,
                   OrderResult aResult,
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
  if (aResult == OrderResult::Accepted) {
    run->m_phase = RunPhase::Running;
    run->m_phaseSince = aNow;
    run->m_progressedAt = aNow;
    for (const FillGroup& group : worker->m_filling) {
      if (run->m_fills && group.m_image == run->m_image) {
        OrderPace(*worker, aTask, *run, group.m_pace, aNow);
      }
    }
    worker->m_lookDueAt = std::min(worker->m_lookDueAt, aNow + kLookGap);
    return;
  }
  LogRun("start_failed", *worker, aTask, aRun, NameOf(aResult));
  worker->m_lookDueAt = std::min(worker->m_lookDueAt, aNow);
  if (aResult == OrderResult::Unanswered) {
    run->m_phase = RunPhase::Unanswered;
    run->m_phaseSince = aNow;
    NoteFailure(*worker, aNow, aNow);
    return;
  }
  worker->m_outdated = true; // its clock or its runs may be others than thought
  if (aResult != OrderResult::Superseded) {
    worker->m_avoidUntil = std::max(worker->m_avoidUntil, aNow + kBrieflyAvoided);
  }
  const bool ourFault = aResult == OrderResult::NoRoom || aResult == OrderResult::TooLate ||
                        aResult == OrderResult::Superseded;
  if (!ourFault) {
    NoteFailure(*worker, aNow, aNow);
  }
  LoseRun(*worker, aTask, aNow, "not_started");
}

void
Scheduler::OnStop(const WorkerName& aId,
                  const TaskRef& aTask,
                  RunNumber aRun,
                  OrderResult aResult,
                  Instant aNow)
{
  if (StepsDown(aId, aResult)) {
    return;
  }
  Worker* worker = m_fleet.Find(aId);
  WorkerRun* run = FindRun(worker, aTask, aRun);
  const bool settled = aResult == OrderResult::Accepted || aResult == OrderResult::Superseded;
  if (!run || !settled) {
    return;
  }
  run->m_stopAnswered = true;
  run->m_phaseSince = aNow;
  worker->m_lookDueAt = std::min(worker->m_lookDueAt, aNow + kLookGap);
}

} // namespace egretturn
