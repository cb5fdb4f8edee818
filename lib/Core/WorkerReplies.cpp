// Handling of worker replies by the owner of the rack.
#include "egretturn/Core/Racks.h"
#include "egretturn/Support/EnumTable.h"

namespace egretturn {

void
RackController::OnEndApplied(const TaskEnd& aEnd, OwnedWorker& aWorker)
{
  const TaskAttempt taskAttempt{ aEnd.m_task, aEnd.m_attempt };
  if (!aWorker.m_attempts.contains(taskAttempt)) {
    return;
  }
  const bool ran =
    aEnd.m_reason == TaskEndReason::Finished || aEnd.m_reason == TaskEndReason::Failed;
  if (ran) {
    m_health.Record(aWorker.m_id, aEnd.m_reason == TaskEndReason::Failed, m_context.m_now);
  }
  m_context.Log(LogLine(LogLevel::Info, "task_end")
                  .Add("job", aEnd.m_task.m_job)
                  .Add("task", aEnd.m_task.m_index)
                  .Add("attempt", aEnd.m_attempt)
                  .Add("worker", aWorker.m_address)
                  .Add("reason", NameOf(aEnd.m_reason)));
  RemoveAttempt(aWorker, taskAttempt);
  aWorker.m_endedAttempts.push_back(taskAttempt);
}

void
RackController::OnWorkerReplied(const WorkerReplied& aReplied)
{
  const std::map<uint64_t, PendingCall>::iterator it = m_calls.find(aReplied.m_call);
  if (it == m_calls.end()) {
    return;
  }
  const PendingCall pending = it->second;
  m_calls.erase(it);
  OwnedRack* rack = Find(pending.m_rack);
  if (!rack || rack->m_epoch != pending.m_epoch || rack->m_releasing) {
    return;
  }
  const std::map<WorkerId, OwnedWorker>::iterator found = rack->m_workers.find(aReplied.m_worker);
  if (found == rack->m_workers.end()) {
    return;
  }
  OwnedWorker& worker = found->second;
  if (worker.m_pollCall == aReplied.m_call) {
    worker.m_pollCall = 0;
  }
  if (!aReplied.m_replied || aReplied.m_reply.m_status == WorkerReplyStatus::Fenced) {
    return;
  }
  worker.m_lastReplyAt = m_context.m_now;
  if (pending.m_isPoll) {
    HandlePollReply(*rack, worker, aReplied.m_reply, pending.m_sentAt);
  } else if (pending.m_start.m_attempt != 0) {
    OnStartReply(*rack, worker, pending.m_start, aReplied.m_reply.m_status);
  }
}

void
RackController::OnStartReply(OwnedRack& aRack,
                             OwnedWorker& aWorker,
                             const TaskAttempt& aTaskAttempt,
                             WorkerReplyStatus aStatus)
{
  const std::map<TaskAttempt, OwnedAttempt>::iterator it = aWorker.m_attempts.find(aTaskAttempt);
  if (it == aWorker.m_attempts.end() || it->second.m_phase != AttemptPhase::Starting) {
    return;
  }
  if (aStatus == WorkerReplyStatus::Ok) {
    it->second.m_phase = AttemptPhase::Running;
    it->second.m_confirmedAt = m_context.m_now;
    return;
  }
  if (aStatus == WorkerReplyStatus::NoCapacity || aStatus == WorkerReplyStatus::Draining) {
    if (aStatus == WorkerReplyStatus::Draining && !aWorker.m_draining) {
      aWorker.m_draining = true;
      ++m_routingVersion;
    }
    // The stop makes the refusal final: a delayed copy of the start can no longer run.
    StopAttempt(aRack, aWorker, aTaskAttempt, TaskEndReason::Refused);
    return;
  }
  // KnownAttempt: the attempt ran and ended; the next poll returns the result.
  it->second.m_phase = AttemptPhase::Running;
  it->second.m_confirmedAt = m_context.m_now;
}

void
RackController::HandlePollReply(OwnedRack& aRack,
                                OwnedWorker& aWorker,
                                const WorkerReply& aReply,
                                Instant aPollSentAt)
{
  const bool acceptedWork = aWorker.AcceptsWork();
  aWorker.m_polled = true;
  aWorker.m_responsive = true;
  aWorker.m_leasesExpired = false;
  aWorker.m_boot = aReply.m_boot;
  aWorker.m_draining = aReply.m_draining || m_drainList.contains(aWorker.m_address);
  std::set<TaskAttempt> reported;
  for (const ReportedAttempt& attempt : aReply.m_attempts) {
    reported.insert(attempt.m_taskAttempt);
    HandleReportedAttempt(aRack, aWorker, attempt);
  }
  std::vector<TaskAttempt> missing;
  for (const std::pair<const TaskAttempt, OwnedAttempt>& attemptEntry : aWorker.m_attempts) {
    const TaskAttempt& taskAttempt = attemptEntry.first;
    const OwnedAttempt& attempt = attemptEntry.second;
    if (reported.contains(taskAttempt) || attempt.m_endToken != 0 || !attempt.m_recorded) {
      continue;
    }
    const bool confirmed =
      attempt.m_confirmedAt != Instant{} && attempt.m_confirmedAt <= aPollSentAt;
    if (attempt.m_adopted || confirmed) {
      missing.push_back(taskAttempt);
    }
  }
  for (const TaskAttempt& taskAttempt : missing) {
    // The stop makes the worker remember the attempt, so that a delayed copy of its start is
    // refused.
    StopAttempt(aRack, aWorker, taskAttempt, TaskEndReason::Lost);
  }
  if (acceptedWork != aWorker.AcceptsWork()) {
    ++m_routingVersion;
  }
}

/// Returns the reason to record for a reported attempt that has ended.
static TaskEndReason
EndReasonOf(const ReportedAttempt& aReported, const OwnedAttempt& aAttempt)
{
  if (aReported.m_state == AttemptStatus::Finished) {
    return TaskEndReason::Finished;
  }
  if (aReported.m_state == AttemptStatus::Failed) {
    return TaskEndReason::Failed;
  }
  return aAttempt.m_phase == AttemptPhase::Stopping ? aAttempt.m_stopReason
                                                    : TaskEndReason::LeaseExpired;
}

/// Returns whether the log shows that the attempt has ended or can never be recorded.
static bool
HasEnded(const TaskState& aTask, Attempt aAttemptNumber)
{
  const bool open = aTask.m_phase == TaskPhase::Waiting || aTask.m_phase == TaskPhase::Started;
  const bool ended = aTask.m_attempt == aAttemptNumber && aTask.m_phase != TaskPhase::Started;
  return !open || ended || aTask.m_attempt > aAttemptNumber;
}

void
RackController::HandleReportedAttempt(OwnedRack& aRack,
                                      OwnedWorker& aWorker,
                                      const ReportedAttempt& aReported)
{
  const JobTable& jobs = m_context.m_replica.Jobs();
  const TaskState* task = jobs.FindTask(aReported.m_taskAttempt.m_task);
  if (!task) {
    return; // its job was not read yet, or was removed long after it ended
  }
  const Job& job = *jobs.Find(aReported.m_taskAttempt.m_task.m_job);
  const Attempt attemptNumber = aReported.m_taskAttempt.m_attempt;
  const bool current = task->m_phase == TaskPhase::Started && task->m_attempt == attemptNumber &&
                       task->m_worker == aWorker.m_id;
  const bool unrecorded = task->m_phase == TaskPhase::Waiting &&
                          attemptNumber == task->m_attempt + 1 &&
                          jobs.RackOf(aReported.m_taskAttempt.m_task) == aRack.m_rack;
  std::map<TaskAttempt, OwnedAttempt>::iterator it =
    aWorker.m_attempts.find(aReported.m_taskAttempt);
  if (it == aWorker.m_attempts.end()) {
    if (!current && !unrecorded) {
      // Unless the log shows that the attempt has ended, its record may not have been read yet, so
      // the attempt is left running.
      if (!HasEnded(*task, attemptNumber)) {
        return;
      }
      if (aReported.m_state == AttemptStatus::Running) {
        Call(aRack, aWorker, StopCall{ aReported.m_taskAttempt });
      } else {
        aWorker.m_endedAttempts.push_back(aReported.m_taskAttempt);
      }
      return;
    }
    aWorker.m_ledger.Adopt(aReported.m_taskAttempt, Reservation(job.m_spec.m_kind, aWorker));
    OwnedAttempt& added = AddAttempt(aWorker, aReported.m_taskAttempt, job);
    added.m_adopted = true;
    added.m_recorded = current;
    if (unrecorded && !aRack.m_provisional) {
      // A previous owner started it while the log was unavailable.
      m_adopting.insert(aReported.m_taskAttempt.m_task);
      m_context.m_writer.Append(
        Stream::Zone,
        TaskStart{ aReported.m_taskAttempt.m_task, attemptNumber, aWorker.m_id, aRack.m_epoch });
    }
    it = aWorker.m_attempts.find(aReported.m_taskAttempt);
  }
  OwnedAttempt& attempt = it->second;
  if (attempt.m_phase == AttemptPhase::Starting) {
    attempt.m_phase = AttemptPhase::Running;
    attempt.m_confirmedAt = m_context.m_now;
  }
  attempt.m_recorded = attempt.m_recorded || current;
  if (aReported.m_state == AttemptStatus::Running) {
    // The previous owner may have reserved more or less than this instance would.
    aWorker.m_ledger.Release(aReported.m_taskAttempt);
    aWorker.m_ledger.Adopt(aReported.m_taskAttempt, aReported.m_reserved);
  }
  if (aReported.m_state == AttemptStatus::Running) {
    const bool unwanted = job.m_cancelled || !job.m_failReason.empty();
    if (unwanted) {
      StopAttempt(aRack, aWorker, aReported.m_taskAttempt, TaskEndReason::Stopped);
    }
    return;
  }
  FreeResources(aWorker, aReported.m_taskAttempt, attempt);
  if (!current || attempt.m_endToken != 0) {
    return;
  }
  const std::map<std::string, BatchKind, std::less<>>::const_iterator kind =
    m_context.Config().m_kinds.find(attempt.m_kind);
  if (aReported.m_state == AttemptStatus::Finished && kind != m_context.Config().m_kinds.end()) {
    m_estimators[attempt.m_kind].Record(kind->second.m_size, aReported.m_used);
  }
  RecordEnd(aRack,
            aWorker,
            aReported.m_taskAttempt,
            EndReasonOf(aReported, attempt),
            aReported.m_checkpoint);
}

} // namespace egretturn
