// Handles the results of start and stop calls.
#include "egretturn/Scheduler/Fence.h"
#include "egretturn/Scheduler/Scheduler.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kRejectionAvoidance = std::chrono::milliseconds(300);

uint64_t
Scheduler::FenceFor(const Worker& aWorker) const
{
  return FenceOf(m_epoch, aWorker.m_restarts);
}

void
Scheduler::EmitStop(const Worker& aWorker, const TaskRef& aTask, AttemptNumber aAttempt)
{
  Emit(StopTask{
    aWorker.m_report.m_id, aWorker.m_report.m_address, aTask, aAttempt, FenceFor(aWorker) });
}

bool
Scheduler::StepDownIfFenced(const WorkerName& aId, WorkerCallResult aResult, Instant aNow)
{
  if (aResult != WorkerCallResult::Fenced) {
    return false;
  }
  Worker* worker = m_fleet.Find(aId);
  if (worker && worker->m_restarts > 0) {
    // The call may have been sent before this leader raised the fence. A poll will tell.
    worker->m_statusStale = true;
    worker->m_nextPollAt = std::min(worker->m_nextPollAt, aNow);
    return false;
  }
  Emit(StepDown{ "fenced by worker " + aId });
  return true;
}

AttemptState*
Scheduler::FindAttempt(Worker* aWorker, const TaskRef& aTask, AttemptNumber aAttempt)
{
  if (!aWorker) {
    return nullptr;
  }
  const auto it = aWorker->m_attempts.find(aTask);
  return it != aWorker->m_attempts.end() && it->second.m_attempt == aAttempt ? &it->second
                                                                             : nullptr;
}

void
Scheduler::OnStartResult(const WorkerName& aId,
                         const TaskRef& aTask,
                         AttemptNumber aAttempt,
                         WorkerCallResult aResult,
                         Instant aNow)
{
  if (StepDownIfFenced(aId, aResult, aNow)) {
    return;
  }
  Worker* worker = m_fleet.Find(aId);
  AttemptState* attempt = FindAttempt(worker, aTask, aAttempt);
  const bool unknown =
    aResult == WorkerCallResult::NoResponse || aResult == WorkerCallResult::LinkLost;
  if (worker && aResult == WorkerCallResult::Accepted && !attempt) {
    worker->m_nextPollAt = std::min(worker->m_nextPollAt, aNow); // it may list a run given up here
  } else if (worker && !unknown) {
    ForgetLateStart(*worker, aTask, aAttempt);
  }
  if (!attempt) {
    return; // its end was reported before the response arrived
  }
  attempt->m_startPending = unknown;
  Job* job = m_jobs.Find(aTask.m_job);
  if (job && aResult == WorkerCallResult::Accepted) {
    RecordBegun(*job);
  }
  if (attempt->m_phase == AttemptPhase::Stopping) {
    return;
  }
  if (aResult == WorkerCallResult::Accepted) {
    attempt->m_phase = AttemptPhase::Running;
    attempt->m_phaseSince = aNow;
    attempt->m_progressedAt = aNow;
    for (const BestEffortGroup& group : worker->m_bestEffortGroups) {
      if (attempt->m_bestEffort && group.m_image == attempt->m_image) {
        ThrottleAttempt(*worker, aTask, *attempt, group.m_throttlePercent, aNow);
      }
    }
    worker->m_nextPollAt = std::min(worker->m_nextPollAt, aNow + kPollDelay);
    return;
  }
  LogAttempt("start_failed", *worker, aTask, aAttempt, NameOf(aResult));
  worker->m_nextPollAt = std::min(worker->m_nextPollAt, aNow);
  if (unknown) {
    attempt->m_phase = AttemptPhase::Unconfirmed;
    attempt->m_phaseSince = aNow;
    if (aResult == WorkerCallResult::NoResponse) {
      RecordFailure(*worker, aNow, aNow);
    }
    return;
  }
  worker->m_statusStale = true; // its clock or its attempts may differ from what is known
  if (aResult != WorkerCallResult::Superseded) {
    worker->m_avoidUntil = std::max(worker->m_avoidUntil, aNow + kRejectionAvoidance);
  }
  const bool causedByScheduler =
    aResult == WorkerCallResult::Fenced || aResult == WorkerCallResult::NoCapacity ||
    aResult == WorkerCallResult::LeaseExpired || aResult == WorkerCallResult::Superseded;
  if (!causedByScheduler) {
    RecordFailure(*worker, aNow, aNow);
  }
  MarkAttemptLost(*worker, aTask, aNow, "not_started");
}

void
Scheduler::OnStopResult(const WorkerName& aId,
                        const TaskRef& aTask,
                        AttemptNumber aAttempt,
                        WorkerCallResult aResult,
                        Instant aNow)
{
  if (StepDownIfFenced(aId, aResult, aNow)) {
    return;
  }
  Worker* worker = m_fleet.Find(aId);
  AttemptState* attempt = FindAttempt(worker, aTask, aAttempt);
  const bool settled =
    aResult == WorkerCallResult::Accepted || aResult == WorkerCallResult::Superseded;
  if (worker && settled && !attempt) {
    OnLateStartStopped(*worker, aTask, aAttempt, aNow);
  }
  if (!attempt || !settled) {
    return;
  }
  attempt->m_stopConfirmed = true;
  attempt->m_phaseSince = aNow;
  worker->m_nextPollAt = std::min(worker->m_nextPollAt, aNow + kPollDelay);
}

} // namespace egretturn
