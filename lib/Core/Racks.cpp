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

OwnedRack*
RackController::Find(const std::string& aRack)
{
  const std::map<std::string, OwnedRack>::iterator it = m_racks.find(aRack);
  return it == m_racks.end() ? nullptr : &it->second;
}

OwnedWorker*
RackController::FindWorker(WorkerId aWorker)
{
  for (std::pair<const std::string, OwnedRack>& rackEntry : m_racks) {
    OwnedRack& rack = rackEntry.second;
    const std::map<WorkerId, OwnedWorker>::iterator it = rack.m_workers.find(aWorker);
    if (it != rack.m_workers.end()) {
      return &it->second;
    }
  }
  return nullptr;
}

bool
RackController::IsSettled(const OwnedRack& aRack)
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
  for (const std::pair<const std::string, Service>& serviceEntry : aModel.m_services) {
    const Service& service = serviceEntry.second;
    if (std::find(service.m_pools.begin(), service.m_pools.end(), aPool) != service.m_pools.end()) {
      reserve += service.m_reserve;
    }
  }
  return reserve;
}

void
RackController::SyncWorkers(OwnedRack& aRack)
{
  const Model& model = m_context.Config();
  for (std::pair<const WorkerId, OwnedWorker>& workerEntry : aRack.m_workers) {
    OwnedWorker& worker = workerEntry.second;
    worker.m_removed = true;
    worker.m_drained = false;
  }
  for (const std::pair<const std::string, Pool>& poolEntry : model.m_pools) {
    const std::string& name = poolEntry.first;
    const Pool& pool = poolEntry.second;
    if (pool.m_rack != aRack.m_rack) {
      continue;
    }
    for (const std::string& address : pool.m_workers) {
      OwnedWorker& worker = aRack.m_workers[WorkerIdOf(address)];
      if (worker.m_address.empty()) {
        worker.m_heardAt = aRack.m_from;
        worker.m_extendedAt = aRack.m_from;
        worker.m_draining = m_listedLeaving.contains(address);
      }
      worker.m_id = WorkerIdOf(address);
      worker.m_address = address;
      worker.m_pool = name;
      worker.m_size = pool.m_size;
      worker.m_removed = false;
      worker.m_ledger.SetSize(pool.m_size, ServiceReserve(model, name));
    }
  }
  for (const std::pair<const std::string, Drain>& drainEntry : model.m_drains) {
    const Drain& drain = drainEntry.second;
    const std::map<WorkerId, OwnedWorker>::iterator it =
      aRack.m_workers.find(WorkerIdOf(drain.m_worker));
    if (it != aRack.m_workers.end()) {
      it->second.m_drained = true;
    }
  }
  std::erase_if(aRack.m_workers, [](const auto& aRow) {
    return aRow.second.m_removed && aRow.second.m_attempts.empty();
  });
  AdoptRecorded(aRack);
}

/// Attempts that the log says are started on workers of the rack hold their room from the start.
void
RackController::AdoptRecorded(OwnedRack& aRack)
{
  const JobTable& jobs = m_context.m_replica.Jobs();
  for (const TaskId& id : jobs.Started(aRack.m_rack)) {
    const TaskState& task = *jobs.FindTask(id);
    const std::map<WorkerId, OwnedWorker>::iterator it = aRack.m_workers.find(task.m_worker);
    const TaskAttempt attempt{ id, task.m_attempt };
    if (it == aRack.m_workers.end()) {
      continue;
    }
    const std::map<TaskAttempt, OwnedAttempt>::iterator known = it->second.m_attempts.find(attempt);
    if (known != it->second.m_attempts.end()) {
      known->second.m_adopted = known->second.m_adopted ||
                                (!known->second.m_recorded && known->second.m_sentAt == Instant{});
      known->second.m_recorded = true;
      continue;
    }
    const Job& job = *jobs.Find(id.m_job);
    it->second.m_ledger.Adopt(attempt, Reservation(job.m_spec.m_kind, it->second));
    OwnedAttempt& run = AddRun(it->second, attempt, job);
    run.m_recorded = true;
    run.m_adopted = true;
  }
}

void
RackController::Refresh()
{
  for (std::pair<const std::string, OwnedRack>& rackEntry : m_racks) {
    OwnedRack& rack = rackEntry.second;
    SyncWorkers(rack);
  }
  size_t workers = 0;
  for (const std::pair<const std::string, Pool>& poolEntry : m_context.Config().m_pools) {
    const Pool& pool = poolEntry.second;
    workers += pool.m_workers.size();
  }
  m_health.SetEjectShare(m_context.Config().m_policy.m_ejectShare);
  m_health.SetWorkers(workers);
  ++m_changes;
}

Resources
RackController::Reservation(const std::string& aKind, const OwnedWorker& aWorker) const
{
  const Model& model = m_context.Config();
  const std::map<std::string, BatchKind, std::less<>>::const_iterator kind =
    model.m_kinds.find(aKind);
  if (kind == model.m_kinds.end()) {
    return Resources{};
  }
  const Resources& declared = kind->second.m_size;
  const std::map<std::string, ReservationEstimator>::const_iterator fit = m_fits.find(aKind);
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
RackController::Call(const OwnedRack& aRack, OwnedWorker& aWorker, WorkerBody aBody)
{
  // Reading a list changes nothing at the worker, so that it goes on without authority.
  const bool isList = std::holds_alternative<ListCall>(aBody);
  const bool allowed = isList || m_context.HasAuthority();
  if (!allowed || aRack.m_releasing || aRack.m_phase == RackPhase::WaitingOut) {
    return;
  }
  PendingCall pending{ aRack.m_rack, aRack.m_epoch, {}, false, m_context.m_now };
  if (const StartCall* start = std::get_if<StartCall>(&aBody)) {
    pending.m_start = start->m_taskAttempt;
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

OwnedAttempt&
RackController::AddRun(OwnedWorker& aWorker, const TaskAttempt& aAttempt, const Job& aJob)
{
  OwnedAttempt& run = aWorker.m_attempts[aAttempt];
  run.m_kind = aJob.m_spec.m_kind;
  run.m_team = aJob.m_spec.m_team;
  run.m_urgent = aJob.m_spec.m_urgent;
  run.m_startedAt = m_context.m_now;
  aWorker.m_mix.Add(run.m_kind, m_context.m_now);
  return run;
}

void
RackController::DropRun(OwnedWorker& aWorker, const TaskAttempt& aAttempt)
{
  const std::map<TaskAttempt, OwnedAttempt>::iterator it = aWorker.m_attempts.find(aAttempt);
  if (it == aWorker.m_attempts.end()) {
    return;
  }
  FreeRoom(aWorker, aAttempt, it->second);
  aWorker.m_attempts.erase(it);
}

void
RackController::FreeRoom(OwnedWorker& aWorker, const TaskAttempt& aAttempt, OwnedAttempt& aRun)
{
  if (aRun.m_resourcesFreed) {
    return;
  }
  aRun.m_resourcesFreed = true;
  aWorker.m_mix.Remove(aRun.m_kind, m_context.m_now);
  aWorker.m_ledger.Release(aAttempt);
}

void
RackController::SendStart(const OwnedRack& aRack,
                          OwnedWorker& aWorker,
                          const TaskAttempt& aAttempt,
                          OwnedAttempt& aRun)
{
  const TaskState* task = m_context.m_replica.Jobs().FindTask(aAttempt.m_task);
  const std::map<TaskAttempt, Resources>::const_iterator held =
    aWorker.m_ledger.Reservations().find(aAttempt);
  if (!task || held == aWorker.m_ledger.Reservations().end() || aWorker.m_lapsed) {
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
RackController::StopRun(const OwnedRack& aRack,
                        OwnedWorker& aWorker,
                        const TaskAttempt& aAttempt,
                        TaskEndReason aReason)
{
  const std::map<TaskAttempt, OwnedAttempt>::iterator it = aWorker.m_attempts.find(aAttempt);
  if (it == aWorker.m_attempts.end() || it->second.m_phase == AttemptPhase::Stopping) {
    return;
  }
  it->second.m_phase = AttemptPhase::Stopping;
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
RackController::RecordEnd(const OwnedRack& aRack,
                          OwnedWorker& aWorker,
                          const TaskAttempt& aAttempt,
                          TaskEndReason aReason,
                          const std::string& aCheckpoint)
{
  const std::map<TaskAttempt, OwnedAttempt>::iterator it = aWorker.m_attempts.find(aAttempt);
  if (it == aWorker.m_attempts.end() || it->second.m_endToken != 0 || aRack.m_acting) {
    return;
  }
  const TaskEnd end{ aAttempt.m_task, aAttempt.m_attempt, aRack.m_epoch, aReason, aCheckpoint };
  it->second.m_endToken = m_context.m_writer.Append(Stream::Zone, end).value_or(0);
}

void
RackController::OnPaused()
{
  for (std::pair<const std::string, OwnedRack>& rackEntry : m_racks) {
    OwnedRack& rack = rackEntry.second;
    for (std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
      OwnedWorker& worker = workerEntry.second;
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
  for (std::pair<const std::string, OwnedRack>& rackEntry : m_racks) {
    const std::string& name = rackEntry.first;
    OwnedRack& rack = rackEntry.second;
    if (!rack.m_acting && !table.Allows(name, rack.m_epoch, m_context.m_self)) {
      lost.push_back(name);
    }
    for (std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
      OwnedWorker& worker = workerEntry.second;
      for (std::pair<const TaskAttempt, OwnedAttempt>& runEntry : worker.m_attempts) {
        OwnedAttempt& run = runEntry.second;
        run.m_endToken = 0; // recorded again at the next list, if it still counts
      }
    }
  }
  for (const std::string& name : lost) {
    Drop(name, "superseded");
  }
}

void
RackController::OnInstanceList(const DrainListArrived& aList)
{
  m_listedLeaving = std::set<std::string>(aList.m_draining.begin(), aList.m_draining.end());
  for (std::pair<const std::string, OwnedRack>& rackEntry : m_racks) {
    OwnedRack& rack = rackEntry.second;
    for (std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
      OwnedWorker& worker = workerEntry.second;
      if (m_listedLeaving.contains(worker.m_address) && !worker.m_draining) {
        worker.m_draining = true;
        ++m_changes;
      }
    }
  }
}

void
RackController::Tick()
{
  TickClaims();
  for (std::pair<const std::string, OwnedRack>& rackEntry : m_racks) {
    OwnedRack& rack = rackEntry.second;
    TickRack(rack);
  }
  std::erase_if(m_calls, [this](const auto& aRow) {
    return m_context.m_now - aRow.second.m_sentAt > kCallKept;
  });
}

void
RackController::TickRack(OwnedRack& aRack)
{
  if (aRack.m_releasing || m_context.m_now < aRack.m_from) {
    return;
  }
  if (aRack.m_phase == RackPhase::WaitingOut) {
    aRack.m_phase = RackPhase::Listing;
    for (std::pair<const WorkerId, OwnedWorker>& workerEntry : aRack.m_workers) {
      OwnedWorker& worker = workerEntry.second;
      worker.m_heardAt = m_context.m_now;
      worker.m_extendedAt = m_context.m_now;
    }
  }
  if (m_context.m_now - aRack.m_adoptedAt >= kAdoptInterval) {
    aRack.m_adoptedAt = m_context.m_now;
    AdoptRecorded(aRack);
  }
  bool settled = true;
  for (std::pair<const WorkerId, OwnedWorker>& workerEntry : aRack.m_workers) {
    OwnedWorker& worker = workerEntry.second;
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
RackController::TickWorker(OwnedRack& aRack, OwnedWorker& aWorker)
{
  const Timing& times = m_context.Times();
  const Duration sinceList = m_context.m_now - aWorker.m_listSentAt;
  const bool due =
    aWorker.m_listCall == 0 ? sinceList >= times.m_workerPoll : sinceList >= kListTimeout;
  if (due) {
    Call(aRack, aWorker, ListCall{});
  }
  if (aWorker.m_fresh && m_context.m_now - aWorker.m_heardAt >= times.m_workerTimeout) {
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
  if (m_context.m_now - aWorker.m_heardAt < times.m_workerTimeout) {
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
RackController::Renew(OwnedRack& aRack, OwnedWorker& aWorker)
{
  aWorker.m_renewedAt = m_context.m_now;
  RenewCall renew{ {}, ToMillis(m_context.Times().m_taskLease) };
  for (const std::pair<const TaskAttempt, OwnedAttempt>& runEntry : aWorker.m_attempts) {
    const TaskAttempt& attempt = runEntry.first;
    const OwnedAttempt& run = runEntry.second;
    if (run.m_phase == AttemptPhase::Running && run.m_endToken == 0) {
      renew.m_attempts.push_back(attempt);
    }
  }
  if (!renew.m_attempts.empty()) {
    Call(aRack, aWorker, std::move(renew));
  }
}

/// Starts and stops whose answers were lost are repeated; both have no further effect then.
void
RackController::SendAgain(OwnedRack& aRack, OwnedWorker& aWorker)
{
  for (std::pair<const TaskAttempt, OwnedAttempt>& runEntry : aWorker.m_attempts) {
    const TaskAttempt& attempt = runEntry.first;
    OwnedAttempt& run = runEntry.second;
    if (run.m_endToken != 0 || m_context.m_now - run.m_sentAt < kSendAgain) {
      continue;
    }
    if (run.m_phase == AttemptPhase::Starting && !run.m_adopted &&
        (run.m_recorded || run.m_sentAt != Instant{})) {
      SendStart(aRack, aWorker, attempt, run);
    } else if (run.m_phase == AttemptPhase::Stopping) {
      run.m_sentAt = m_context.m_now;
      Call(aRack, aWorker, StopCall{ attempt });
    }
  }
}

void
RackController::EvictLeaving(OwnedRack& aRack, OwnedWorker& aWorker)
{
  if (!aWorker.m_draining && !aWorker.m_drained && !aWorker.m_removed) {
    return;
  }
  for (const std::pair<const TaskAttempt, OwnedAttempt>& runEntry : aWorker.m_attempts) {
    const TaskAttempt& attempt = runEntry.first;
    const OwnedAttempt& run = runEntry.second;
    if (run.m_phase != AttemptPhase::Stopping && run.m_endToken == 0) {
      StopRun(aRack, aWorker, attempt, TaskEndReason::Evicted);
    }
  }
}

void
RackController::LapseIfSilent(OwnedRack& aRack, OwnedWorker& aWorker)
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
                  .Add("runs", static_cast<uint64_t>(aWorker.m_attempts.size())));
}

void
RackController::EndLapsed(OwnedRack& aRack, OwnedWorker& aWorker)
{
  for (const std::pair<const TaskAttempt, OwnedAttempt>& runEntry : aWorker.m_attempts) {
    const TaskAttempt& attempt = runEntry.first;
    const OwnedAttempt& run = runEntry.second;
    if (run.m_recorded) {
      RecordEnd(aRack, aWorker, attempt, TaskEndReason::LeaseExpired, "");
    }
  }
}

/// The reason to record for a listed attempt that has ended.
/// Whether the log shows that \p aAttempt of the task has ended or can never be recorded.

} // namespace egretturn
