// Workers of owned racks: lists, leases, attempts and lapses.
#include "egretturn/Core/Racks.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kListTimeout = std::chrono::milliseconds(500);
static constexpr Duration kCallKept = std::chrono::seconds(10); // its answer may come so late
static constexpr Duration kSendAgain = std::chrono::milliseconds(700);
static constexpr Duration kAdoptInterval = std::chrono::seconds(1);
static constexpr int kRenewalsPerLease = 4;
static constexpr double kClockDrift = 1.1; // a worker's clock may run slower by a tenth

RackController::RackController(Context& aContext)
  : m_context(aContext)
{
}

RackRun*
RackController::Find(const std::string& aRack)
{
  const std::map<std::string, RackRun>::iterator it = m_racks.find(aRack);
  return it == m_racks.end() ? nullptr : &it->second;
}

WorkerRun*
RackController::FindWorker(WorkerId aWorker)
{
  for (auto& [name, rack] : m_racks) {
    const std::map<WorkerId, WorkerRun>::iterator it = rack.m_workers.find(aWorker);
    if (it != rack.m_workers.end()) {
      return &it->second;
    }
  }
  return nullptr;
}

bool
RackController::IsSettled(const RackRun& aRack)
{
  return aRack.m_phase == RackPhase::Active && !aRack.m_releasing &&
         std::all_of(aRack.m_workers.begin(), aRack.m_workers.end(), [](const auto& aRow) {
           return aRow.second.m_listed || aRow.second.m_lapsed;
         });
}

/// What services set aside on each worker of \p aPool.
static Resources
ServiceReserve(const Model& aModel, const std::string& aPool)
{
  Resources reserve;
  for (const auto& [name, service] : aModel.m_services) {
    if (std::find(service.m_pools.begin(), service.m_pools.end(), aPool) != service.m_pools.end()) {
      reserve += service.m_reserve;
    }
  }
  return reserve;
}

void
RackController::SyncWorkers(RackRun& aRack)
{
  const Model& model = m_context.Config();
  for (auto& [id, worker] : aRack.m_workers) {
    worker.m_removed = true;
    worker.m_drained = false;
  }
  for (const auto& [name, pool] : model.m_pools) {
    if (pool.m_rack != aRack.m_rack) {
      continue;
    }
    for (const std::string& address : pool.m_workers) {
      WorkerRun& worker = aRack.m_workers[WorkerIdOf(address)];
      if (worker.m_address.empty()) {
        worker.m_heardAt = aRack.m_from;
        worker.m_extendedAt = aRack.m_from;
        worker.m_leaving = m_listedLeaving.contains(address);
      }
      worker.m_id = WorkerIdOf(address);
      worker.m_address = address;
      worker.m_pool = name;
      worker.m_size = pool.m_size;
      worker.m_removed = false;
      worker.m_ledger.SetSize(pool.m_size, ServiceReserve(model, name));
    }
  }
  for (const auto& [name, drain] : model.m_drains) {
    const std::map<WorkerId, WorkerRun>::iterator it =
      aRack.m_workers.find(WorkerIdOf(drain.m_worker));
    if (it != aRack.m_workers.end()) {
      it->second.m_drained = true;
    }
  }
  std::erase_if(aRack.m_workers, [](const auto& aRow) {
    return aRow.second.m_removed && aRow.second.m_runs.empty();
  });
  AdoptRecorded(aRack);
}

/// Attempts that the log says are started on workers of the rack hold their room from the start.
void
RackController::AdoptRecorded(RackRun& aRack)
{
  const JobTable& jobs = m_context.m_replica.Jobs();
  for (const TaskId& id : jobs.Started(aRack.m_rack)) {
    const TaskState& task = *jobs.FindTask(id);
    const std::map<WorkerId, WorkerRun>::iterator it = aRack.m_workers.find(task.m_worker);
    const TaskAttempt attempt{ id, task.m_attempt };
    if (it == aRack.m_workers.end()) {
      continue;
    }
    const std::map<TaskAttempt, Run>::iterator known = it->second.m_runs.find(attempt);
    if (known != it->second.m_runs.end()) {
      known->second.m_adopted = known->second.m_adopted ||
                                (!known->second.m_recorded && known->second.m_sentAt == Instant{});
      known->second.m_recorded = true;
      continue;
    }
    const Job& job = *jobs.Find(id.m_job);
    it->second.m_ledger.Adopt(attempt, Reservation(job.m_spec.m_kind, it->second));
    Run& run = AddRun(it->second, attempt, job);
    run.m_recorded = true;
    run.m_adopted = true;
  }
}

void
RackController::Refresh()
{
  for (auto& [name, rack] : m_racks) {
    SyncWorkers(rack);
  }
  size_t workers = 0;
  for (const auto& [name, pool] : m_context.Config().m_pools) {
    workers += pool.m_workers.size();
  }
  m_health.SetEjectShare(m_context.Config().m_policy.m_ejectShare);
  m_health.SetWorkers(workers);
  ++m_changes;
}

Resources
RackController::Reservation(const std::string& aKind, const WorkerRun& aWorker) const
{
  const Model& model = m_context.Config();
  const std::map<std::string, BatchKind, std::less<>>::const_iterator kind =
    model.m_kinds.find(aKind);
  if (kind == model.m_kinds.end()) {
    return Resources{};
  }
  const Resources& declared = kind->second.m_size;
  const std::map<std::string, KindFit>::const_iterator fit = m_fits.find(aKind);
  Resources size = fit == m_fits.end() || !m_context.m_options.m_learnSizes
                     ? declared
                     : fit->second.Reservation(declared);
  // A kind that has outgrown its declaration still has to fit in an empty worker.
  const Resources whole = aWorker.m_size - ServiceReserve(model, aWorker.m_pool);
  if (declared.FitsIn(whole)) {
    size.m_milliCores = std::min(size.m_milliCores, whole.m_milliCores);
    size.m_memoryMb = std::min(size.m_memoryMb, whole.m_memoryMb);
  }
  return size;
}

void
RackController::Call(const RackRun& aRack, WorkerRun& aWorker, WorkerBody aBody)
{
  // Reading a list changes nothing at the worker, so that it goes on without authority.
  const bool isList = std::holds_alternative<ListCall>(aBody);
  const bool allowed = isList || m_context.HasAuthority();
  if (!allowed || aRack.m_releasing || aRack.m_phase == RackPhase::WaitingOut) {
    return;
  }
  PendingCall pending{ aRack.m_rack, aRack.m_epoch, {}, false, m_context.m_now };
  if (const StartCall* start = std::get_if<StartCall>(&aBody)) {
    pending.m_start = start->m_run;
    aWorker.m_extendedAt = m_context.m_now;
  }
  if (std::holds_alternative<RenewCall>(aBody)) {
    aWorker.m_extendedAt = m_context.m_now;
  }
  const uint64_t call = m_nextCall++;
  if (isList) {
    pending.m_isList = true;
    aWorker.m_listCall = call;
    aWorker.m_listSentAt = m_context.m_now;
  }
  m_calls[call] = pending;
  m_context.Do(CallWorker{ aWorker.m_id,
                           aWorker.m_address,
                           call,
                           WorkerCall{ aRack.m_epoch, std::move(aBody) },
                           isList ? m_context.m_now + m_context.Times().m_messageDelay
                                  : m_context.AuthorityUntil() });
}

Run&
RackController::AddRun(WorkerRun& aWorker, const TaskAttempt& aAttempt, const Job& aJob)
{
  Run& run = aWorker.m_runs[aAttempt];
  run.m_kind = aJob.m_spec.m_kind;
  run.m_team = aJob.m_spec.m_team;
  run.m_urgent = aJob.m_spec.m_urgent;
  run.m_startedAt = m_context.m_now;
  aWorker.m_mix.Add(run.m_kind, m_context.m_now);
  return run;
}

void
RackController::DropRun(WorkerRun& aWorker, const TaskAttempt& aAttempt)
{
  const std::map<TaskAttempt, Run>::iterator it = aWorker.m_runs.find(aAttempt);
  if (it == aWorker.m_runs.end()) {
    return;
  }
  FreeRoom(aWorker, aAttempt, it->second);
  aWorker.m_runs.erase(it);
}

void
RackController::FreeRoom(WorkerRun& aWorker, const TaskAttempt& aAttempt, Run& aRun)
{
  if (aRun.m_over) {
    return;
  }
  aRun.m_over = true;
  aWorker.m_mix.Remove(aRun.m_kind, m_context.m_now);
  aWorker.m_ledger.Release(aAttempt);
}

void
RackController::SendStart(const RackRun& aRack,
                          WorkerRun& aWorker,
                          const TaskAttempt& aAttempt,
                          Run& aRun)
{
  const TaskState* task = m_context.m_replica.Jobs().FindTask(aAttempt.m_task);
  const std::map<TaskAttempt, Resources>::const_iterator held =
    aWorker.m_ledger.Held().find(aAttempt);
  if (!task || held == aWorker.m_ledger.Held().end() || aWorker.m_lapsed) {
    return;
  }
  aRun.m_sentAt = m_context.m_now;
  Call(aRack,
       aWorker,
       StartCall{ aAttempt,
                  aRun.m_kind,
                  held->second,
                  ToMillis(m_context.Times().m_taskLease),
                  task->m_checkpoint });
}

void
RackController::StopRun(const RackRun& aRack,
                        WorkerRun& aWorker,
                        const TaskAttempt& aAttempt,
                        TaskEndReason aReason)
{
  const std::map<TaskAttempt, Run>::iterator it = aWorker.m_runs.find(aAttempt);
  if (it == aWorker.m_runs.end() || it->second.m_phase == RunPhase::Stopping) {
    return;
  }
  it->second.m_phase = RunPhase::Stopping;
  it->second.m_stopReason = aReason;
  it->second.m_sentAt = m_context.m_now;
  Call(aRack, aWorker, StopCall{ aAttempt });
  m_context.Log(LogLine(LogLevel::Info, "task_stop")
                  .Add("job", aAttempt.m_task.m_job)
                  .Add("task", aAttempt.m_task.m_index)
                  .Add("attempt", aAttempt.m_attempt)
                  .Add("worker", aWorker.m_address)
                  .Add("reason", NameOf(aReason)));
}

void
RackController::RecordEnd(const RackRun& aRack,
                          WorkerRun& aWorker,
                          const TaskAttempt& aAttempt,
                          TaskEndReason aReason,
                          const std::string& aCheckpoint)
{
  const std::map<TaskAttempt, Run>::iterator it = aWorker.m_runs.find(aAttempt);
  if (it == aWorker.m_runs.end() || it->second.m_endToken != 0 || aRack.m_acting) {
    return;
  }
  const TaskEnd end{ aAttempt.m_task, aAttempt.m_attempt, aRack.m_epoch, aReason, aCheckpoint };
  it->second.m_endToken = m_context.m_writer.Append(Stream::Zone, end).value_or(0);
}

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
RackController::OnPaused()
{
  for (auto& [name, rack] : m_racks) {
    for (auto& [id, worker] : rack.m_workers) {
      worker.m_fresh = false;
      worker.m_listCall = 0;
      worker.m_listSentAt = Instant{};    // due at once
      worker.m_heardAt = m_context.m_now; // it could not be heard meanwhile
    }
  }
  ++m_changes;
}

void
RackController::OnStateJump()
{
  m_claims.clear();
  m_adopting.clear();
  const OwnershipTable& table = m_context.m_replica.Racks();
  std::vector<std::string> lost;
  for (auto& [name, rack] : m_racks) {
    if (!rack.m_acting && !table.Allows(name, rack.m_epoch, m_context.m_self)) {
      lost.push_back(name);
    }
    for (auto& [id, worker] : rack.m_workers) {
      for (auto& [attempt, run] : worker.m_runs) {
        run.m_endToken = 0; // recorded again at the next list, if it still counts
      }
    }
  }
  for (const std::string& name : lost) {
    Drop(name, "superseded");
  }
}

void
RackController::OnInstanceList(const InstanceListArrived& aList)
{
  m_listedLeaving = std::set<std::string>(aList.m_leaving.begin(), aList.m_leaving.end());
  for (auto& [name, rack] : m_racks) {
    for (auto& [id, worker] : rack.m_workers) {
      if (m_listedLeaving.contains(worker.m_address) && !worker.m_leaving) {
        worker.m_leaving = true;
        ++m_changes;
      }
    }
  }
}

void
RackController::Tick()
{
  TickClaims();
  for (auto& [name, rack] : m_racks) {
    TickRack(rack);
  }
  std::erase_if(m_calls, [this](const auto& aRow) {
    return m_context.m_now - aRow.second.m_sentAt > kCallKept;
  });
}

void
RackController::TickRack(RackRun& aRack)
{
  if (aRack.m_releasing || m_context.m_now < aRack.m_from) {
    return;
  }
  if (aRack.m_phase == RackPhase::WaitingOut) {
    aRack.m_phase = RackPhase::Listing;
    for (auto& [id, worker] : aRack.m_workers) {
      worker.m_heardAt = m_context.m_now;
      worker.m_extendedAt = m_context.m_now;
    }
  }
  if (m_context.m_now - aRack.m_adoptedAt >= kAdoptInterval) {
    aRack.m_adoptedAt = m_context.m_now;
    AdoptRecorded(aRack);
  }
  bool settled = true;
  for (auto& [id, worker] : aRack.m_workers) {
    TickWorker(aRack, worker);
    settled = settled && (worker.m_listed || worker.m_lapsed);
  }
  if (aRack.m_phase == RackPhase::Listing && settled) {
    aRack.m_phase = RackPhase::Active;
    m_context.Log(
      LogLine(LogLevel::Info, "rack_active").Add("rack", aRack.m_rack).Add("epoch", aRack.m_epoch));
  }
}

void
RackController::TickWorker(RackRun& aRack, WorkerRun& aWorker)
{
  const Timing& times = m_context.Times();
  const Duration sinceList = m_context.m_now - aWorker.m_listSentAt;
  const bool due =
    aWorker.m_listCall == 0 ? sinceList >= times.m_workerPoll : sinceList >= kListTimeout;
  if (due) {
    Call(aRack, aWorker, ListCall{});
  }
  if (aWorker.m_fresh && m_context.m_now - aWorker.m_heardAt >= times.m_workerSilent) {
    aWorker.m_fresh = false;
    ++m_changes;
  }
  LapseIfSilent(aRack, aWorker);
  if (aWorker.m_lapsed) {
    EndLapsed(aRack, aWorker);
  }
  if (!aWorker.m_listed || aWorker.m_lapsed) {
    return;
  }
  if (m_context.m_now - aWorker.m_heardAt < times.m_workerSilent) {
    if (m_context.m_now - aWorker.m_renewedAt >= times.m_taskLease / kRenewalsPerLease) {
      Renew(aRack, aWorker);
    }
    SendAgain(aRack, aWorker);
    EvictLeaving(aRack, aWorker);
  }
  if (!aWorker.m_forget.empty()) {
    Call(aRack, aWorker, ForgetCall{ std::move(aWorker.m_forget) });
    aWorker.m_forget.clear();
  }
}

void
RackController::Renew(RackRun& aRack, WorkerRun& aWorker)
{
  aWorker.m_renewedAt = m_context.m_now;
  RenewCall renew{ {}, ToMillis(m_context.Times().m_taskLease) };
  for (const auto& [attempt, run] : aWorker.m_runs) {
    if (run.m_phase == RunPhase::Running && run.m_endToken == 0) {
      renew.m_runs.push_back(attempt);
    }
  }
  if (!renew.m_runs.empty()) {
    Call(aRack, aWorker, std::move(renew));
  }
}

/// Starts and stops whose answers were lost are repeated; both have no further effect then.
void
RackController::SendAgain(RackRun& aRack, WorkerRun& aWorker)
{
  for (auto& [attempt, run] : aWorker.m_runs) {
    if (run.m_endToken != 0 || m_context.m_now - run.m_sentAt < kSendAgain) {
      continue;
    }
    if (run.m_phase == RunPhase::Starting && !run.m_adopted &&
        (run.m_recorded || run.m_sentAt != Instant{})) {
      SendStart(aRack, aWorker, attempt, run);
    } else if (run.m_phase == RunPhase::Stopping) {
      run.m_sentAt = m_context.m_now;
      Call(aRack, aWorker, StopCall{ attempt });
    }
  }
}

void
RackController::EvictLeaving(RackRun& aRack, WorkerRun& aWorker)
{
  if (!aWorker.m_leaving && !aWorker.m_drained && !aWorker.m_removed) {
    return;
  }
  for (const auto& [attempt, run] : aWorker.m_runs) {
    if (run.m_phase != RunPhase::Stopping && run.m_endToken == 0) {
      StopRun(aRack, aWorker, attempt, TaskEndReason::Evicted);
    }
  }
}

void
RackController::LapseIfSilent(RackRun& aRack, WorkerRun& aWorker)
{
  const Timing& times = m_context.Times();
  // Silence as long as a lease: a worker whose answers are only late or lost now and then may hold
  // the results of attempts that have finished.
  if (aWorker.m_lapsed || m_context.m_now - aWorker.m_heardAt < times.m_taskLease) {
    return;
  }
  const double leaseUs = static_cast<double>(times.m_taskLease.count()) * kClockDrift;
  const Instant lapsesAt =
    aWorker.m_extendedAt + Duration(static_cast<int64_t>(leaseUs)) + times.m_messageDelay;
  if (m_context.m_now < lapsesAt) {
    return;
  }
  aWorker.m_lapsed = true;
  aWorker.m_listed = false;
  ++m_changes;
  m_context.Log(LogLine(LogLevel::Warning, "worker_lapsed")
                  .Add("worker", aWorker.m_address)
                  .Add("rack", aRack.m_rack)
                  .Add("runs", static_cast<uint64_t>(aWorker.m_runs.size())));
}

void
RackController::EndLapsed(RackRun& aRack, WorkerRun& aWorker)
{
  for (const auto& [attempt, run] : aWorker.m_runs) {
    if (run.m_recorded) {
      RecordEnd(aRack, aWorker, attempt, TaskEndReason::Lapsed, "");
    }
  }
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
  for (const auto& [attempt, run] : aWorker.m_runs) {
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

/// The reason to record for a listed attempt that has ended.
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

/// Whether the log shows that \p aAttempt of the task has ended or can never be recorded.
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
