// Answers of workers to the owner of their rack.
#include "egretturn/Core/Racks.h"
#include "egretturn/Support/EnumTable.h"

namespace egretturn {

void
RackController::OnEndApplied(const TaskEnd& aEnd, WorkerRun& aWorker)
{
  const TaskAttempt attempt{ aEnd.m_task, aEnd.m_attempt };
  if (!aWorker.m_runs.contains(attempt)) {
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
RackController::OnWorkerAnswered(const WorkerAnswered& aAnswer)
{
  const std::map<uint64_t, PendingCall>::iterator it = m_calls.find(aAnswer.m_call);
  if (it == m_calls.end()) {
    return;
  }
  const PendingCall pending = it->second;
  m_calls.erase(it);
  RackRun* rack = Find(pending.m_rack);
  if (!rack || rack->m_epoch != pending.m_epoch || rack->m_releasing) {
    return;
  }
  const std::map<WorkerId, WorkerRun>::iterator found = rack->m_workers.find(aAnswer.m_worker);
  if (found == rack->m_workers.end()) {
    return;
  }
  WorkerRun& worker = found->second;
  if (worker.m_listCall == aAnswer.m_call) {
    worker.m_listCall = 0;
  }
  if (!aAnswer.m_answered || aAnswer.m_reply.m_answer == WorkerAnswer::Fenced) {
    return;
  }
  worker.m_heardAt = m_context.m_now;
  if (pending.m_isList) {
    ReadList(*rack, worker, aAnswer.m_reply, pending.m_sentAt);
  } else if (pending.m_start.m_attempt != 0) {
    OnStartAnswer(*rack, worker, pending.m_start, aAnswer.m_reply.m_answer);
  }
}

void
RackController::OnStartAnswer(RackRun& aRack,
                              WorkerRun& aWorker,
                              const TaskAttempt& aRun,
                              WorkerAnswer aAnswer)
{
  const std::map<TaskAttempt, Run>::iterator it = aWorker.m_runs.find(aRun);
  if (it == aWorker.m_runs.end() || it->second.m_phase != RunPhase::Starting) {
    return;
  }
  if (aAnswer == WorkerAnswer::Ok) {
    it->second.m_phase = RunPhase::Running;
    it->second.m_confirmedAt = m_context.m_now;
    return;
  }
  if (aAnswer == WorkerAnswer::NoRoom || aAnswer == WorkerAnswer::Leaving) {
    if (aAnswer == WorkerAnswer::Leaving && !aWorker.m_leaving) {
      aWorker.m_leaving = true;
      ++m_changes;
    }
    // A stop makes the refusal final: an earlier copy of the start can no longer run.
    StopRun(aRack, aWorker, aRun, TaskEndReason::Refused);
    return;
  }
  // Seen: the attempt ran and ended; the list tells how.
  it->second.m_phase = RunPhase::Running;
  it->second.m_confirmedAt = m_context.m_now;
}

void
RackController::ReadList(RackRun& aRack,
                         WorkerRun& aWorker,
                         const WorkerReply& aReply,
                         Instant aListSentAt)
{
  const bool wasTaking = aWorker.TakesWork();
  aWorker.m_listed = true;
  aWorker.m_fresh = true;
  aWorker.m_lapsed = false;
  aWorker.m_boot = aReply.m_boot;
  aWorker.m_leaving = aReply.m_leaving || m_listedLeaving.contains(aWorker.m_address);
  std::set<TaskAttempt> listed;
  for (const ListedRun& run : aReply.m_runs) {
    listed.insert(run.m_run);
    ReadListedRun(aRack, aWorker, run);
  }
  std::vector<TaskAttempt> missing;
  for (const std::pair<const TaskAttempt, Run>& runEntry : aWorker.m_runs) {
    const TaskAttempt& attempt = runEntry.first;
    const Run& run = runEntry.second;
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
EndReason(const ListedRun& aListed, const Run& aRun)
{
  if (aListed.m_state == RunState::Finished) {
    return TaskEndReason::Finished;
  }
  if (aListed.m_state == RunState::Failed) {
    return TaskEndReason::Failed;
  }
  return aRun.m_phase == RunPhase::Stopping ? aRun.m_stopReason : TaskEndReason::Lapsed;
}

static bool
IsOver(const TaskState& aTask, Attempt aAttempt)
{
  const bool open = aTask.m_phase == TaskPhase::Waiting || aTask.m_phase == TaskPhase::Started;
  const bool ended = aTask.m_attempt == aAttempt && aTask.m_phase != TaskPhase::Started;
  return !open || ended || aTask.m_attempt > aAttempt;
}

void
RackController::ReadListedRun(RackRun& aRack, WorkerRun& aWorker, const ListedRun& aListed)
{
  const JobTable& jobs = m_context.m_replica.Jobs();
  const TaskState* task = jobs.FindTask(aListed.m_run.m_task);
  if (!task) {
    return; // its job has not been read yet, or was forgotten long after it ended
  }
  const Job& job = *jobs.Find(aListed.m_run.m_task.m_job);
  const Attempt attempt = aListed.m_run.m_attempt;
  const bool current = task->m_phase == TaskPhase::Started && task->m_attempt == attempt &&
                       task->m_worker == aWorker.m_id;
  const bool unrecorded = task->m_phase == TaskPhase::Waiting && attempt == task->m_attempt + 1 &&
                          jobs.RackOf(aListed.m_run.m_task) == aRack.m_rack;
  std::map<TaskAttempt, Run>::iterator it = aWorker.m_runs.find(aListed.m_run);
  if (it == aWorker.m_runs.end()) {
    if (!current && !unrecorded) {
      // What the log does not show to be over may be new to this instance, and is left alone.
      if (!IsOver(*task, attempt)) {
        return;
      }
      if (aListed.m_state == RunState::Running) {
        Call(aRack, aWorker, StopCall{ aListed.m_run });
      } else {
        aWorker.m_forget.push_back(aListed.m_run);
      }
      return;
    }
    aWorker.m_ledger.Adopt(aListed.m_run, Reservation(job.m_spec.m_kind, aWorker));
    Run& added = AddRun(aWorker, aListed.m_run, job);
    added.m_adopted = true;
    added.m_recorded = current;
    if (unrecorded && !aRack.m_acting) {
      // Started by an earlier owner while the log was away.
      m_adopting.insert(aListed.m_run.m_task);
      m_context.m_writer.Append(
        Stream::Zone, TaskStart{ aListed.m_run.m_task, attempt, aWorker.m_id, aRack.m_epoch });
    }
    it = aWorker.m_runs.find(aListed.m_run);
  }
  Run& run = it->second;
  if (run.m_phase == RunPhase::Starting) {
    run.m_phase = RunPhase::Running;
    run.m_confirmedAt = m_context.m_now;
  }
  run.m_recorded = run.m_recorded || current;
  if (aListed.m_state == RunState::Running) {
    // An earlier owner may have reserved more, or less, than this one would.
    aWorker.m_ledger.Release(aListed.m_run);
    aWorker.m_ledger.Adopt(aListed.m_run, aListed.m_reserved);
  }
  if (aListed.m_state == RunState::Running) {
    const bool unwanted = job.m_cancelled || !job.m_failReason.empty();
    if (unwanted) {
      StopRun(aRack, aWorker, aListed.m_run, TaskEndReason::Stopped);
    }
    return;
  }
  FreeRoom(aWorker, aListed.m_run, run);
  if (!current || run.m_endToken != 0) {
    return;
  }
  const std::map<std::string, BatchKind, std::less<>>::const_iterator kind =
    m_context.Config().m_kinds.find(run.m_kind);
  if (aListed.m_state == RunState::Finished && kind != m_context.Config().m_kinds.end()) {
    m_fits[run.m_kind].Record(kind->second.m_size, aListed.m_used);
  }
  RecordEnd(aRack, aWorker, aListed.m_run, EndReason(aListed, run), aListed.m_checkpoint);
}

} // namespace egretturn
