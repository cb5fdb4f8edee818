// Answers of workers to the owner of their rack.
#include "egretturn/Core/Racks.h"
#include "egretturn/Support/EnumTable.h"

namespace egretturn {

void
RackController::OnEndApplied(const TaskEnd& aEnd, OwnedWorker& aWorker)
{
  const TaskAttempt attempt{ aEnd.m_task, aEnd.m_attempt };
  if (!aWorker.m_attempts.contains(attempt)) {
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
  DropRun(aWorker, attempt);
  aWorker.m_forget.push_back(attempt);
}

void
RackController::OnWorkerAnswered(const WorkerReplied& aAnswer)
{
  const std::map<uint64_t, PendingCall>::iterator it = m_calls.find(aAnswer.m_call);
  if (it == m_calls.end()) {
    return;
  }
  const PendingCall pending = it->second;
  m_calls.erase(it);
  OwnedRack* rack = Find(pending.m_rack);
  if (!rack || rack->m_epoch != pending.m_epoch || rack->m_releasing) {
    return;
  }
  const std::map<WorkerId, OwnedWorker>::iterator found = rack->m_workers.find(aAnswer.m_worker);
  if (found == rack->m_workers.end()) {
    return;
  }
  OwnedWorker& worker = found->second;
  if (worker.m_listCall == aAnswer.m_call) {
    worker.m_listCall = 0;
  }
  if (!aAnswer.m_replied || aAnswer.m_reply.m_status == WorkerReplyStatus::Fenced) {
    return;
  }
  worker.m_heardAt = m_context.m_now;
  if (pending.m_isList) {
    ReadList(*rack, worker, aAnswer.m_reply, pending.m_sentAt);
  } else if (pending.m_start.m_attempt != 0) {
    OnStartAnswer(*rack, worker, pending.m_start, aAnswer.m_reply.m_status);
  }
}

void
RackController::OnStartAnswer(OwnedRack& aRack,
                              OwnedWorker& aWorker,
                              const TaskAttempt& aRun,
                              WorkerReplyStatus aAnswer)
{
  const std::map<TaskAttempt, OwnedAttempt>::iterator it = aWorker.m_attempts.find(aRun);
  if (it == aWorker.m_attempts.end() || it->second.m_phase != AttemptPhase::Starting) {
    return;
  }
  if (aAnswer == WorkerReplyStatus::Ok) {
    it->second.m_phase = AttemptPhase::Running;
    it->second.m_confirmedAt = m_context.m_now;
    return;
  }
  if (aAnswer == WorkerReplyStatus::NoCapacity || aAnswer == WorkerReplyStatus::Draining) {
    if (aAnswer == WorkerReplyStatus::Draining && !aWorker.m_draining) {
      aWorker.m_draining = true;
      ++m_changes;
    }
    // A stop makes the refusal final: an earlier copy of the start can no longer run.
    StopRun(aRack, aWorker, aRun, TaskEndReason::Refused);
    return;
  }
  // Seen: the attempt ran and ended; the list tells how.
  it->second.m_phase = AttemptPhase::Running;
  it->second.m_confirmedAt = m_context.m_now;
}

void
RackController::ReadList(OwnedRack& aRack,
                         OwnedWorker& aWorker,
                         const WorkerReply& aReply,
                         Instant aListSentAt)
{
  const bool wasTaking = aWorker.TakesWork();
  aWorker.m_listed = true;
  aWorker.m_fresh = true;
  aWorker.m_lapsed = false;
  aWorker.m_boot = aReply.m_boot;
  aWorker.m_draining = aReply.m_draining || m_listedLeaving.contains(aWorker.m_address);
  std::set<TaskAttempt> listed;
  for (const ReportedAttempt& run : aReply.m_attempts) {
    listed.insert(run.m_taskAttempt);
    ReadListedRun(aRack, aWorker, run);
  }
  std::vector<TaskAttempt> missing;
  for (const std::pair<const TaskAttempt, OwnedAttempt>& runEntry : aWorker.m_attempts) {
    const TaskAttempt& attempt = runEntry.first;
    const OwnedAttempt& run = runEntry.second;
    if (listed.contains(attempt) || run.m_endToken != 0 || !run.m_recorded) {
      continue;
    }
    const bool confirmed = run.m_confirmedAt != Instant{} && run.m_confirmedAt <= aListSentAt;
    if (run.m_adopted || confirmed) {
      missing.push_back(attempt);
    }
  }
  for (const TaskAttempt& attempt : missing) {
    // The stop makes the worker remember the attempt, so that a late copy of its start is refused.
    StopRun(aRack, aWorker, attempt, TaskEndReason::Lost);
  }
  if (wasTaking != aWorker.TakesWork()) {
    ++m_changes;
  }
}

static TaskEndReason
EndReason(const ReportedAttempt& aListed, const OwnedAttempt& aRun)
{
  if (aListed.m_state == AttemptStatus::Finished) {
    return TaskEndReason::Finished;
  }
  if (aListed.m_state == AttemptStatus::Failed) {
    return TaskEndReason::Failed;
  }
  return aRun.m_phase == AttemptPhase::Stopping ? aRun.m_stopReason : TaskEndReason::LeaseExpired;
}

static bool
IsOver(const TaskState& aTask, Attempt aAttempt)
{
  const bool open = aTask.m_phase == TaskPhase::Waiting || aTask.m_phase == TaskPhase::Started;
  const bool ended = aTask.m_attempt == aAttempt && aTask.m_phase != TaskPhase::Started;
  return !open || ended || aTask.m_attempt > aAttempt;
}

void
RackController::ReadListedRun(OwnedRack& aRack,
                              OwnedWorker& aWorker,
                              const ReportedAttempt& aListed)
{
  const JobTable& jobs = m_context.m_replica.Jobs();
  const TaskState* task = jobs.FindTask(aListed.m_taskAttempt.m_task);
  if (!task) {
    return; // its job has not been read yet, or was forgotten long after it ended
  }
  const Job& job = *jobs.Find(aListed.m_taskAttempt.m_task.m_job);
  const Attempt attempt = aListed.m_taskAttempt.m_attempt;
  const bool current = task->m_phase == TaskPhase::Started && task->m_attempt == attempt &&
                       task->m_worker == aWorker.m_id;
  const bool unrecorded = task->m_phase == TaskPhase::Waiting && attempt == task->m_attempt + 1 &&
                          jobs.RackOf(aListed.m_taskAttempt.m_task) == aRack.m_rack;
  std::map<TaskAttempt, OwnedAttempt>::iterator it = aWorker.m_attempts.find(aListed.m_taskAttempt);
  if (it == aWorker.m_attempts.end()) {
    if (!current && !unrecorded) {
      // What the log does not show to be over may be new to this instance, and is left alone.
      if (!IsOver(*task, attempt)) {
        return;
      }
      if (aListed.m_state == AttemptStatus::Running) {
        Call(aRack, aWorker, StopCall{ aListed.m_taskAttempt });
      } else {
        aWorker.m_forget.push_back(aListed.m_taskAttempt);
      }
      return;
    }
    aWorker.m_ledger.Adopt(aListed.m_taskAttempt, Reservation(job.m_spec.m_kind, aWorker));
    OwnedAttempt& added = AddRun(aWorker, aListed.m_taskAttempt, job);
    added.m_adopted = true;
    added.m_recorded = current;
    if (unrecorded && !aRack.m_acting) {
      // Started by an earlier owner while the log was away.
      m_adopting.insert(aListed.m_taskAttempt.m_task);
      m_context.m_writer.Append(
        Stream::Zone,
        TaskStart{ aListed.m_taskAttempt.m_task, attempt, aWorker.m_id, aRack.m_epoch });
    }
    it = aWorker.m_attempts.find(aListed.m_taskAttempt);
  }
  OwnedAttempt& run = it->second;
  if (run.m_phase == AttemptPhase::Starting) {
    run.m_phase = AttemptPhase::Running;
    run.m_confirmedAt = m_context.m_now;
  }
  run.m_recorded = run.m_recorded || current;
  if (aListed.m_state == AttemptStatus::Running) {
    // An earlier owner may have reserved more, or less, than this one would.
    aWorker.m_ledger.Release(aListed.m_taskAttempt);
    aWorker.m_ledger.Adopt(aListed.m_taskAttempt, aListed.m_reserved);
  }
  if (aListed.m_state == AttemptStatus::Running) {
    const bool unwanted = job.m_cancelled || !job.m_failReason.empty();
    if (unwanted) {
      StopRun(aRack, aWorker, aListed.m_taskAttempt, TaskEndReason::Stopped);
    }
    return;
  }
  FreeRoom(aWorker, aListed.m_taskAttempt, run);
  if (!current || run.m_endToken != 0) {
    return;
  }
  const std::map<std::string, BatchKind, std::less<>>::const_iterator kind =
    m_context.Config().m_kinds.find(run.m_kind);
  if (aListed.m_state == AttemptStatus::Finished && kind != m_context.Config().m_kinds.end()) {
    m_fits[run.m_kind].Record(kind->second.m_size, aListed.m_used);
  }
  RecordEnd(aRack, aWorker, aListed.m_taskAttempt, EndReason(aListed, run), aListed.m_checkpoint);
}

} // namespace egretturn
