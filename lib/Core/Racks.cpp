// Workers of owned racks: polls, leases, attempts and lease expiry.
#include "egretturn/Core/Racks.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kPollTimeout = std::chrono::milliseconds(500);
static constexpr Duration kPendingCallRetention = std::chrono::seconds(10); // accepts late replies
static constexpr Duration kResendInterval = std::chrono::milliseconds(700);
static constexpr Duration kAdoptInterval = std::chrono::seconds(1);
static constexpr int kRenewalsPerLease = 4;
static constexpr double kMaxClockDrift = 1.1; // a worker's clock may run 10 % slower

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
           return aRow.second.m_polled || aRow.second.m_leasesExpired;
         });
}

/// Returns the resources that services reserve on each worker of \p aPool.
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
    worker.m_drainRequested = false;
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
        worker.m_lastReplyAt = aRack.m_pollFrom;
        worker.m_leaseExtendedAt = aRack.m_pollFrom;
        worker.m_draining = m_drainList.contains(address);
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
      it->second.m_drainRequested = true;
    }
  }
  std::erase_if(aRack.m_workers, [](const auto& aRow) {
    return aRow.second.m_removed && aRow.second.m_attempts.empty();
  });
  AdoptRecorded(aRack);
}

/// Adopts the attempts that the log shows as started on workers of the rack, so that their
/// resources are reserved before the first poll.
void
RackController::AdoptRecorded(OwnedRack& aRack)
{
  const JobTable& jobs = m_context.m_replica.Jobs();
  for (const TaskId& id : jobs.Started(aRack.m_rack)) {
    const TaskState& task = *jobs.FindTask(id);
    const std::map<WorkerId, OwnedWorker>::iterator it = aRack.m_workers.find(task.m_worker);
    const TaskAttempt taskAttempt{ id, task.m_attempt };
    if (it == aRack.m_workers.end()) {
      continue;
    }
    const std::map<TaskAttempt, OwnedAttempt>::iterator known =
      it->second.m_attempts.find(taskAttempt);
    if (known != it->second.m_attempts.end()) {
      known->second.m_adopted = known->second.m_adopted ||
                                (!known->second.m_recorded && known->second.m_sentAt == Instant{});
      known->second.m_recorded = true;
      continue;
    }
    const Job& job = *jobs.Find(id.m_job);
    it->second.m_ledger.Adopt(taskAttempt, Reservation(job.m_spec.m_kind, it->second));
    OwnedAttempt& attempt = AddAttempt(it->second, taskAttempt, job);
    attempt.m_recorded = true;
    attempt.m_adopted = true;
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
  ++m_routingVersion;
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
  const std::map<std::string, ReservationEstimator>::const_iterator fit = m_estimators.find(aKind);
  Resources size = fit == m_estimators.end() || !m_context.m_options.m_learnSizes
                     ? declared
                     : fit->second.Reservation(declared);
  // A kind whose reservation exceeds its declared size must still fit on an empty worker.
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
  // Polls do not change the worker, so they are sent without authority too.
  const bool isPoll = std::holds_alternative<ListCall>(aBody);
  const bool allowed = isPoll || m_context.HasAuthority();
  if (!allowed || aRack.m_releasing || aRack.m_phase == RackPhase::AwaitingExpiry) {
    return;
  }
  PendingCall pending{ aRack.m_rack, aRack.m_epoch, {}, false, m_context.m_now };
  if (const StartCall* start = std::get_if<StartCall>(&aBody)) {
    pending.m_start = start->m_taskAttempt;
    aWorker.m_leaseExtendedAt = m_context.m_now;
  }
  if (std::holds_alternative<RenewCall>(aBody)) {
    aWorker.m_leaseExtendedAt = m_context.m_now;
  }
  const uint64_t call = m_nextCall++;
  if (isPoll) {
    pending.m_isPoll = true;
    aWorker.m_pollCall = call;
    aWorker.m_pollSentAt = m_context.m_now;
  }
  m_calls[call] = pending;
  m_context.Emit(CallWorker{ aWorker.m_id,
                             aWorker.m_address,
                             call,
                             WorkerCall{ aRack.m_epoch, std::move(aBody) },
                             isPoll ? m_context.m_now + m_context.Times().m_messageDelay
                                    : m_context.AuthorityUntil() });
}

OwnedAttempt&
RackController::AddAttempt(OwnedWorker& aWorker, const TaskAttempt& aTaskAttempt, const Job& aJob)
{
  OwnedAttempt& attempt = aWorker.m_attempts[aTaskAttempt];
  attempt.m_kind = aJob.m_spec.m_kind;
  attempt.m_team = aJob.m_spec.m_team;
  attempt.m_urgent = aJob.m_spec.m_urgent;
  attempt.m_startedAt = m_context.m_now;
  aWorker.m_mix.Add(attempt.m_kind, m_context.m_now);
  return attempt;
}

void
RackController::RemoveAttempt(OwnedWorker& aWorker, const TaskAttempt& aTaskAttempt)
{
  const std::map<TaskAttempt, OwnedAttempt>::iterator it = aWorker.m_attempts.find(aTaskAttempt);
  if (it == aWorker.m_attempts.end()) {
    return;
  }
  FreeResources(aWorker, aTaskAttempt, it->second);
  aWorker.m_attempts.erase(it);
}

void
RackController::FreeResources(OwnedWorker& aWorker,
                              const TaskAttempt& aTaskAttempt,
                              OwnedAttempt& aAttempt)
{
  if (aAttempt.m_resourcesFreed) {
    return;
  }
  aAttempt.m_resourcesFreed = true;
  aWorker.m_mix.Remove(aAttempt.m_kind, m_context.m_now);
  aWorker.m_ledger.Release(aTaskAttempt);
}

void
RackController::SendStart(const OwnedRack& aRack,
                          OwnedWorker& aWorker,
                          const TaskAttempt& aTaskAttempt,
                          OwnedAttempt& aAttempt)
{
  const TaskState* task = m_context.m_replica.Jobs().FindTask(aTaskAttempt.m_task);
  const std::map<TaskAttempt, Resources>::const_iterator held =
    aWorker.m_ledger.Reservations().find(aTaskAttempt);
  if (!task || held == aWorker.m_ledger.Reservations().end() || aWorker.m_leasesExpired) {
    return;
  }
  aAttempt.m_sentAt = m_context.m_now;
  Call(aRack,
       aWorker,
       StartCall{ aTaskAttempt,
                  aAttempt.m_kind,
                  held->second,
                  ToMillis(m_context.Times().m_taskLease),
                  task->m_checkpoint });
}

void
RackController::StopAttempt(const OwnedRack& aRack,
                            OwnedWorker& aWorker,
                            const TaskAttempt& aTaskAttempt,
                            TaskEndReason aReason)
{
  const std::map<TaskAttempt, OwnedAttempt>::iterator it = aWorker.m_attempts.find(aTaskAttempt);
  if (it == aWorker.m_attempts.end() || it->second.m_phase == AttemptPhase::Stopping) {
    return;
  }
  it->second.m_phase = AttemptPhase::Stopping;
  it->second.m_stopReason = aReason;
  it->second.m_sentAt = m_context.m_now;
  Call(aRack, aWorker, StopCall{ aTaskAttempt });
  m_context.Log(LogLine(LogLevel::Info, "task_stop")
                  .Add("job", aTaskAttempt.m_task.m_job)
                  .Add("task", aTaskAttempt.m_task.m_index)
                  .Add("attempt", aTaskAttempt.m_attempt)
                  .Add("worker", aWorker.m_address)
                  .Add("reason", NameOf(aReason)));
}

void
RackController::RecordEnd(const OwnedRack& aRack,
                          OwnedWorker& aWorker,
                          const TaskAttempt& aTaskAttempt,
                          TaskEndReason aReason,
                          const std::string& aCheckpoint)
{
  const std::map<TaskAttempt, OwnedAttempt>::iterator it = aWorker.m_attempts.find(aTaskAttempt);
  if (it == aWorker.m_attempts.end() || it->second.m_endToken != 0 || aRack.m_provisional) {
    return;
  }
  const TaskEnd end{
    aTaskAttempt.m_task, aTaskAttempt.m_attempt, aRack.m_epoch, aReason, aCheckpoint
  };
  it->second.m_endToken = m_context.m_writer.Append(Stream::Zone, end).value_or(0);
}

void
RackController::OnProcessPaused()
{
  for (std::pair<const std::string, OwnedRack>& rackEntry : m_racks) {
    OwnedRack& rack = rackEntry.second;
    for (std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
      OwnedWorker& worker = workerEntry.second;
      worker.m_responsive = false;
      worker.m_pollCall = 0;
      worker.m_pollSentAt = Instant{};        // due immediately
      worker.m_lastReplyAt = m_context.m_now; // replies could not be received during the pause
    }
  }
  ++m_routingVersion;
}

void
RackController::OnStateRestored()
{
  m_claims.clear();
  m_adopting.clear();
  const OwnershipTable& table = m_context.m_replica.Racks();
  std::vector<std::string> superseded;
  for (std::pair<const std::string, OwnedRack>& rackEntry : m_racks) {
    const std::string& name = rackEntry.first;
    OwnedRack& rack = rackEntry.second;
    if (!rack.m_provisional && !table.Allows(name, rack.m_epoch, m_context.m_self)) {
      superseded.push_back(name);
    }
    for (std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
      OwnedWorker& worker = workerEntry.second;
      for (std::pair<const TaskAttempt, OwnedAttempt>& attemptEntry : worker.m_attempts) {
        OwnedAttempt& attempt = attemptEntry.second;
        attempt.m_endToken = 0; // recorded again after the next poll if it still applies
      }
    }
  }
  for (const std::string& name : superseded) {
    Drop(name, "superseded");
  }
}

void
RackController::OnDrainList(const DrainListArrived& aList)
{
  m_drainList = std::set<std::string>(aList.m_draining.begin(), aList.m_draining.end());
  for (std::pair<const std::string, OwnedRack>& rackEntry : m_racks) {
    OwnedRack& rack = rackEntry.second;
    for (std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
      OwnedWorker& worker = workerEntry.second;
      if (m_drainList.contains(worker.m_address) && !worker.m_draining) {
        worker.m_draining = true;
        ++m_routingVersion;
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
    return m_context.m_now - aRow.second.m_sentAt > kPendingCallRetention;
  });
}

void
RackController::TickRack(OwnedRack& aRack)
{
  if (aRack.m_releasing || m_context.m_now < aRack.m_pollFrom) {
    return;
  }
  if (aRack.m_phase == RackPhase::AwaitingExpiry) {
    aRack.m_phase = RackPhase::Polling;
    for (std::pair<const WorkerId, OwnedWorker>& workerEntry : aRack.m_workers) {
      OwnedWorker& worker = workerEntry.second;
      worker.m_lastReplyAt = m_context.m_now;
      worker.m_leaseExtendedAt = m_context.m_now;
    }
  }
  if (m_context.m_now - aRack.m_adoptedAt >= kAdoptInterval) {
    aRack.m_adoptedAt = m_context.m_now;
    AdoptRecorded(aRack);
  }
  bool polled = true;
  for (std::pair<const WorkerId, OwnedWorker>& workerEntry : aRack.m_workers) {
    OwnedWorker& worker = workerEntry.second;
    TickWorker(aRack, worker);
    polled = polled && (worker.m_polled || worker.m_leasesExpired);
  }
  if (aRack.m_phase == RackPhase::Polling && polled) {
    aRack.m_phase = RackPhase::Active;
    m_context.Log(
      LogLine(LogLevel::Info, "rack_active").Add("rack", aRack.m_rack).Add("epoch", aRack.m_epoch));
  }
}

void
RackController::TickWorker(OwnedRack& aRack, OwnedWorker& aWorker)
{
  const Timing& times = m_context.Times();
  const Duration sincePoll = m_context.m_now - aWorker.m_pollSentAt;
  const bool due =
    aWorker.m_pollCall == 0 ? sincePoll >= times.m_workerPoll : sincePoll >= kPollTimeout;
  if (due) {
    Call(aRack, aWorker, ListCall{});
  }
  if (aWorker.m_responsive && m_context.m_now - aWorker.m_lastReplyAt >= times.m_workerTimeout) {
    aWorker.m_responsive = false;
    ++m_routingVersion;
  }
  ExpireIfSilent(aRack, aWorker);
  if (aWorker.m_leasesExpired) {
    EndExpiredAttempts(aRack, aWorker);
  }
  if (!aWorker.m_polled || aWorker.m_leasesExpired) {
    return;
  }
  if (m_context.m_now - aWorker.m_lastReplyAt < times.m_workerTimeout) {
    if (m_context.m_now - aWorker.m_renewedAt >= times.m_taskLease / kRenewalsPerLease) {
      Renew(aRack, aWorker);
    }
    ResendCalls(aRack, aWorker);
    EvictFromDraining(aRack, aWorker);
  }
  if (!aWorker.m_endedAttempts.empty()) {
    Call(aRack, aWorker, ForgetCall{ std::move(aWorker.m_endedAttempts) });
    aWorker.m_endedAttempts.clear();
  }
}

void
RackController::Renew(OwnedRack& aRack, OwnedWorker& aWorker)
{
  aWorker.m_renewedAt = m_context.m_now;
  RenewCall renew{ {}, ToMillis(m_context.Times().m_taskLease) };
  for (const std::pair<const TaskAttempt, OwnedAttempt>& attemptEntry : aWorker.m_attempts) {
    const TaskAttempt& taskAttempt = attemptEntry.first;
    const OwnedAttempt& attempt = attemptEntry.second;
    if (attempt.m_phase == AttemptPhase::Running && attempt.m_endToken == 0) {
      renew.m_attempts.push_back(taskAttempt);
    }
  }
  if (!renew.m_attempts.empty()) {
    Call(aRack, aWorker, std::move(renew));
  }
}

/// Resends starts and stops whose replies may have been lost. Both are idempotent.
void
RackController::ResendCalls(OwnedRack& aRack, OwnedWorker& aWorker)
{
  for (std::pair<const TaskAttempt, OwnedAttempt>& attemptEntry : aWorker.m_attempts) {
    const TaskAttempt& taskAttempt = attemptEntry.first;
    OwnedAttempt& attempt = attemptEntry.second;
    if (attempt.m_endToken != 0 || m_context.m_now - attempt.m_sentAt < kResendInterval) {
      continue;
    }
    if (attempt.m_phase == AttemptPhase::Starting && !attempt.m_adopted &&
        (attempt.m_recorded || attempt.m_sentAt != Instant{})) {
      SendStart(aRack, aWorker, taskAttempt, attempt);
    } else if (attempt.m_phase == AttemptPhase::Stopping) {
      attempt.m_sentAt = m_context.m_now;
      Call(aRack, aWorker, StopCall{ taskAttempt });
    }
  }
}

void
RackController::EvictFromDraining(OwnedRack& aRack, OwnedWorker& aWorker)
{
  if (!aWorker.m_draining && !aWorker.m_drainRequested && !aWorker.m_removed) {
    return;
  }
  for (const std::pair<const TaskAttempt, OwnedAttempt>& attemptEntry : aWorker.m_attempts) {
    const TaskAttempt& taskAttempt = attemptEntry.first;
    const OwnedAttempt& attempt = attemptEntry.second;
    if (attempt.m_phase != AttemptPhase::Stopping && attempt.m_endToken == 0) {
      StopAttempt(aRack, aWorker, taskAttempt, TaskEndReason::Evicted);
    }
  }
}

void
RackController::ExpireIfSilent(OwnedRack& aRack, OwnedWorker& aWorker)
{
  const Timing& times = m_context.Times();
  // The worker must be silent for a whole lease: one whose replies are only delayed or occasionally
  // lost may hold results of finished attempts.
  if (aWorker.m_leasesExpired || m_context.m_now - aWorker.m_lastReplyAt < times.m_taskLease) {
    return;
  }
  const double leaseUs = static_cast<double>(times.m_taskLease.count()) * kMaxClockDrift;
  const Instant expiresAt =
    aWorker.m_leaseExtendedAt + Duration(static_cast<int64_t>(leaseUs)) + times.m_messageDelay;
  if (m_context.m_now < expiresAt) {
    return;
  }
  aWorker.m_leasesExpired = true;
  aWorker.m_polled = false;
  ++m_routingVersion;
  m_context.Log(LogLine(LogLevel::Warning, "worker_lapsed")
                  .Add("worker", aWorker.m_address)
                  .Add("rack", aRack.m_rack)
                  .Add("runs", static_cast<uint64_t>(aWorker.m_attempts.size())));
}

void
RackController::EndExpiredAttempts(OwnedRack& aRack, OwnedWorker& aWorker)
{
  for (const std::pair<const TaskAttempt, OwnedAttempt>& attemptEntry : aWorker.m_attempts) {
    const TaskAttempt& taskAttempt = attemptEntry.first;
    const OwnedAttempt& attempt = attemptEntry.second;
    if (attempt.m_recorded) {
      RecordEnd(aRack, aWorker, taskAttempt, TaskEndReason::LeaseExpired, "");
    }
  }
}

} // namespace egretturn
