// Starts, moves and preemption of waiting tasks.
#include "egretturn/Core/Tasks.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>

namespace egretturn {

static constexpr size_t kMaxScannedPerTick = 64;   // waiting tasks per rack
static constexpr size_t kMaxSkippedPerTick = 2000; // of kinds without free capacity
static constexpr size_t kMaxStartsPerTick = 32;    // per rack; 32 every 20 ms is 1,600 per second
static constexpr Duration kMoveDelay = std::chrono::milliseconds(500);
static constexpr Duration kPreemptionInterval = std::chrono::seconds(2);
static constexpr Duration kMovedResetInterval = std::chrono::seconds(1);
static constexpr Duration kServiceIdleTimeout = std::chrono::seconds(30); // without a request
static constexpr double kSlowdownSlackPerSecond = 0.05; // slowdown per second of waiting
static constexpr double kUrgentSlowdownSlack = 100;
static constexpr size_t kMaxWorkersFailedOn = 3; // distinct healthy workers on which a task failed

TaskController::TaskController(Context& aContext, RackController& aRacks, RouterMap& aRouters)
  : m_context(aContext)
  , m_racks(aRacks)
  , m_routers(aRouters)
{
}

const WaitReason*
TaskController::FindWaitReason(const TaskId& aTask) const
{
  const std::map<TaskId, WaitReason>::const_iterator it = m_waitReasons.find(aTask);
  return it == m_waitReasons.end() ? nullptr : &it->second;
}

std::vector<RackCapacity>
TaskController::FreeCapacity() const
{
  std::vector<RackCapacity> capacities;
  for (const std::pair<const std::string, OwnedRack>& rackEntry : m_racks.Racks()) {
    const std::string& name = rackEntry.first;
    const OwnedRack& rack = rackEntry.second;
    RackCapacity capacity{ name, 0 };
    for (const std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
      const OwnedWorker& worker = workerEntry.second;
      if (worker.AcceptsWork() && RackController::IsSettled(rack)) {
        capacity.m_freeMilliCores +=
          std::max<int64_t>(0, worker.m_ledger.FreeCapacity().m_milliCores);
      }
    }
    capacities.push_back(std::move(capacity));
  }
  return capacities;
}

void
TaskController::UpdateUsage()
{
  m_teamUsage.clear();
  int64_t owned = 0;
  for (const std::pair<const std::string, OwnedRack>& rackEntry : m_racks.Racks()) {
    const OwnedRack& rack = rackEntry.second;
    for (const std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
      const OwnedWorker& worker = workerEntry.second;
      owned += worker.m_size.m_milliCores;
      for (const std::pair<const TaskAttempt, OwnedAttempt>& attemptEntry : worker.m_attempts) {
        const TaskAttempt& taskAttempt = attemptEntry.first;
        const OwnedAttempt& attempt = attemptEntry.second;
        const std::map<TaskAttempt, Resources>::const_iterator held =
          worker.m_ledger.Reservations().find(taskAttempt);
        m_teamUsage[attempt.m_team] +=
          held == worker.m_ledger.Reservations().end() ? 0 : held->second.m_milliCores;
      }
    }
  }
  int64_t all = 0;
  for (const std::pair<const std::string, Pool>& poolEntry : m_context.Config().m_pools) {
    const Pool& pool = poolEntry.second;
    all += pool.m_size.m_milliCores * static_cast<int64_t>(pool.m_workers.size());
  }
  m_ownedShare = all > 0 ? static_cast<double>(owned) / static_cast<double>(all) : 0;
}

bool
TaskController::IsOverQuota(const Job& aJob) const
{
  const std::map<std::string, Team, std::less<>>::const_iterator team =
    m_context.Config().m_teams.find(aJob.m_spec.m_team);
  const std::map<std::string, int64_t>::const_iterator used = m_teamUsage.find(aJob.m_spec.m_team);
  if (team == m_context.Config().m_teams.end() || used == m_teamUsage.end()) {
    return false;
  }
  const double share = static_cast<double>(team->second.m_quotaMilliCores) * m_ownedShare;
  return static_cast<double>(used->second) >= share;
}

void
TaskController::Tick()
{
  if (m_context.m_now - m_movedResetAt >= kMovedResetInterval) {
    m_movedMilliCores.clear();
    m_movedResetAt = m_context.m_now;
  }
  if (!m_context.HasAuthority() || m_context.m_shuttingDown) {
    return;
  }
  UpdateUsage();
  if (!m_context.IsLogCurrent()) {
    SendUnrecordedStarts();
  }
  for (std::pair<const std::string, OwnedRack>& rackEntry : m_racks.Racks()) {
    OwnedRack& rack = rackEntry.second;
    if (RackController::IsSettled(rack) && !rack.m_provisional) {
      ScheduleRack(rack);
    }
  }
  ReactToInterference();
}

/// Starts restartable tasks without waiting for their records while the log is unavailable.
void
TaskController::SendUnrecordedStarts()
{
  for (std::pair<const uint64_t, PendingStart>& pendingEntry : m_pendingStarts) {
    PendingStart& pending = pendingEntry.second;
    const Job* job = m_context.m_replica.Jobs().Find(pending.m_attempt.m_task.m_job);
    OwnedRack* rack = m_racks.Find(pending.m_rack);
    OwnedWorker* worker = rack ? m_racks.FindWorker(pending.m_worker) : nullptr;
    if (pending.m_sent || !job || !job->m_spec.m_restartable || !worker ||
        !worker->m_attempts.contains(pending.m_attempt)) {
      continue;
    }
    pending.m_sent = true;
    m_racks.SendStart(*rack, *worker, pending.m_attempt, worker->m_attempts[pending.m_attempt]);
  }
}

void
TaskController::ScheduleRack(OwnedRack& aRack)
{
  // Tasks of teams within their quota are scheduled first; other teams borrow the remaining
  // capacity.
  SchedulingPass pass;
  size_t started = 0;
  for (const bool borrowing : { false, true }) {
    if (borrowing && pass.m_quotaBlocked) {
      return; // the next free capacity belongs to a team within its quota
    }
    size_t scanned = 0;
    size_t skipped = 0;
    for (const WaitingTask& task : m_context.m_replica.Jobs().Waiting(aRack.m_rack)) {
      const std::string& kind = m_context.m_replica.Jobs().Find(task.m_task.m_job)->m_spec.m_kind;
      const bool blocked = !task.m_urgent && pass.m_blockedKinds.contains(kind);
      if (blocked && ++skipped > kMaxSkippedPerTick) {
        break;
      }
      if (blocked || m_tasksInFlight.contains(task.m_task) || m_racks.IsAdopting(task.m_task)) {
        continue;
      }
      if (++scanned > kMaxScannedPerTick || started >= kMaxStartsPerTick) {
        break;
      }
      started += TryStart(aRack, task, borrowing, pass) ? 1 : 0;
    }
  }
}

bool
TaskController::TryStart(OwnedRack& aRack,
                         const WaitingTask& aTask,
                         bool aBorrowing,
                         SchedulingPass& aPass)
{
  const JobTable& jobs = m_context.m_replica.Jobs();
  const Job& job = *jobs.Find(aTask.m_task.m_job);
  const std::string& kind = job.m_spec.m_kind;
  if (!m_context.IsLogCurrent() && !job.m_spec.m_restartable) {
    RecordWait(aTask.m_task, PlacementReason::NoCapacity, "the log is unreachable");
    return false;
  }
  if (!jobs.DependenciesFinished(job)) {
    FailUnrunnableJob(job, aTask.m_task);
    RecordWait(
      aTask.m_task, PlacementReason::NoCapacity, "a job that it depends on has not finished");
    return false;
  }
  if (!aTask.m_urgent && IsOverQuota(job) != aBorrowing) {
    return false;
  }
  const std::map<std::string, Team, std::less<>>::const_iterator team =
    m_context.Config().m_teams.find(job.m_spec.m_team);
  if (aBorrowing && team != m_context.Config().m_teams.end() && !team->second.m_borrows) {
    RecordWait(aTask.m_task, PlacementReason::NoCapacity, "the team's quota is exhausted");
    return false;
  }
  const std::vector<WorkerId>& failedOn = jobs.FindTask(aTask.m_task)->m_failedOn;
  if (failedOn.size() >= kMaxWorkersFailedOn) {
    FailUnrunnableJob(job, aTask.m_task);
  }
  Resources size;
  const PlacementChoice choice = Place(aRack, job, SlowdownSlack(aTask), size);
  if (choice.m_reason != PlacementReason::Chosen) {
    aPass.m_blockedKinds.insert(kind);
    aPass.m_quotaBlocked = aPass.m_quotaBlocked || !aBorrowing;
    OnBlocked(aRack, job, aTask.m_task, choice.m_reason, size);
    return false;
  }
  OwnedWorker& worker =
    std::next(aRack.m_workers.begin(), static_cast<long>(choice.m_index))->second;
  Start(aRack, worker, job, aTask.m_task, size, choice);
  return true;
}

std::vector<ServiceLoad>
TaskController::LoadsOn(const OwnedWorker& aWorker) const
{
  std::vector<ServiceLoad> loads;
  for (const std::pair<const std::string, Service>& serviceEntry : m_context.Config().m_services) {
    const std::string& name = serviceEntry.first;
    const Service& service = serviceEntry.second;
    const std::vector<std::string>& pools = service.m_pools;
    if (std::find(pools.begin(), pools.end(), aWorker.m_pool) == pools.end()) {
      continue;
    }
    const RouterMap::const_iterator router = m_routers.find(name);
    const Target* target = router == m_routers.end() ? nullptr : router->second.Find(aWorker.m_id);
    if (!target || m_context.m_now - target->m_sampledAt > kServiceIdleTimeout) {
      continue; // without requests the service cannot be slowed down
    }
    ServiceLoad load{ name, 0 };
    load.m_band =
      InterferenceModel::BandOf(static_cast<double>(target->m_outstanding) / service.m_slots);
    loads.push_back(std::move(load));
  }
  return loads;
}

/// Returns by how much a placement may exceed the slowdown limit; it grows while the task waits.
double
TaskController::SlowdownSlack(const WaitingTask& aTask) const
{
  if (aTask.m_urgent) {
    return kUrgentSlowdownSlack;
  }
  const WaitReason* waitReason = FindWaitReason(aTask.m_task);
  const Duration waited = waitReason ? m_context.m_now - waitReason->m_since : Duration::zero();
  return std::chrono::duration<double>(waited).count() * kSlowdownSlackPerSecond;
}

PlacementChoice
TaskController::Place(const OwnedRack& aRack,
                      const Job& aJob,
                      double aSlack,
                      Resources& aSize) const
{
  const Model& model = m_context.Config();
  const std::map<std::string, BatchKind, std::less<>>::const_iterator kind =
    model.m_kinds.find(aJob.m_spec.m_kind);
  std::vector<WorkerView> views;
  views.reserve(aRack.m_workers.size());
  for (const std::pair<const WorkerId, OwnedWorker>& workerEntry : aRack.m_workers) {
    const uint32_t id = workerEntry.first;
    const OwnedWorker& worker = workerEntry.second;
    WorkerView view;
    view.m_worker = id;
    view.m_size = worker.m_size;
    view.m_free = worker.m_ledger.FreeCapacity();
    view.m_mix = &worker.m_mix.CurrentMix();
    view.m_services = LoadsOn(worker);
    view.m_usable =
      worker.AcceptsWork() && worker.m_reaction == ReactionLevel::None &&
      m_racks.Health().IsUsable(id, m_context.m_now, worker.m_attempts.size()) &&
      kind != model.m_kinds.end() &&
      std::find(kind->second.m_pools.begin(), kind->second.m_pools.end(), worker.m_pool) !=
        kind->second.m_pools.end();
    if (view.m_usable) {
      aSize = m_racks.Reservation(aJob.m_spec.m_kind, worker);
    }
    views.push_back(std::move(view));
  }
  const Placer placer(
    m_racks.Interference(), m_context.m_options.m_placement, model.m_policy.m_tailWeight);
  return placer.Choose(aJob.m_spec.m_kind, aSize, views, m_context.m_random.Next(), aSlack);
}

void
TaskController::Start(OwnedRack& aRack,
                      OwnedWorker& aWorker,
                      const Job& aJob,
                      const TaskId& aTask,
                      const Resources& aSize,
                      const PlacementChoice& aChoice)
{
  const TaskAttempt taskAttempt{ aTask, m_context.m_replica.Jobs().FindTask(aTask)->m_attempt + 1 };
  if (!aWorker.m_ledger.Reserve(taskAttempt, aSize)) {
    return;
  }
  const std::optional<EntryToken> token = m_context.m_writer.Append(
    Stream::Zone, TaskStart{ aTask, taskAttempt.m_attempt, aWorker.m_id, aRack.m_epoch });
  if (!token) {
    aWorker.m_ledger.Release(taskAttempt);
    return;
  }
  OwnedAttempt& attempt = m_racks.AddAttempt(aWorker, taskAttempt, aJob);
  const PendingStart pending{ aRack.m_rack, aWorker.m_id, taskAttempt, false };
  m_pendingStarts[*token] = pending; // sent when it is read back, or by SendUnrecordedStarts()
  m_tasksInFlight.insert(aTask);
  m_waitReasons.erase(aTask);
  m_teamUsage[attempt.m_team] += aSize.m_milliCores;
  m_context.Log(LogLine(LogLevel::Info, "place")
                  .Add("job", aTask.m_job)
                  .Add("task", aTask.m_index)
                  .Add("attempt", taskAttempt.m_attempt)
                  .Add("kind", attempt.m_kind)
                  .Add("worker", aWorker.m_address)
                  .Add("score", aChoice.m_score)
                  .Add("next_score", aChoice.m_nextScore)
                  .Add("considered", static_cast<uint64_t>(aChoice.m_considered))
                  .Add("reserved_millicores", aSize.m_milliCores)
                  .Add("reason", NameOf(aChoice.m_reason)));
}

void
TaskController::RecordWait(const TaskId& aTask, PlacementReason aReason, std::string aText)
{
  const auto [it, added] = m_waitReasons.try_emplace(aTask);
  if (added) {
    it->second.m_since = m_context.m_now;
  }
  it->second.m_reason = aReason;
  it->second.m_text = std::move(aText);
}

void
TaskController::OnBlocked(OwnedRack& aRack,
                          const Job& aJob,
                          const TaskId& aTask,
                          PlacementReason aReason,
                          const Resources& aSize)
{
  const bool first = !m_waitReasons.contains(aTask);
  RecordWait(aTask, aReason, "rack " + aRack.m_rack + ": " + std::string(NameOf(aReason)));
  if (first) {
    m_context.Log(LogLine(LogLevel::Info, "place_wait")
                    .Add("job", aTask.m_job)
                    .Add("task", aTask.m_index)
                    .Add("kind", aJob.m_spec.m_kind)
                    .Add("rack", aRack.m_rack)
                    .Add("reason", NameOf(aReason)));
  }
  const Duration waited = m_context.m_now - m_waitReasons[aTask].m_since;
  if (waited >= kMoveDelay && MoveToOtherRack(aRack, aJob, aTask, aSize)) {
    return;
  }
  if (aJob.m_spec.m_urgent && aReason == PlacementReason::NoCapacity) {
    Preempt(aRack, aTask, aSize);
  }
}

/// Preempts for an urgent task: stops the fewest restartable or checkpointed tasks on one worker.
void
TaskController::Preempt(OwnedRack& aRack, const TaskId& aTask, const Resources& aSize)
{
  const std::map<TaskId, Instant>::const_iterator last = m_preemptedAt.find(aTask);
  if (last != m_preemptedAt.end() && m_context.m_now - last->second < kPreemptionInterval) {
    return;
  }
  const Model& model = m_context.Config();
  OwnedWorker* best = nullptr;
  std::vector<TaskAttempt> bestVictims;
  for (std::pair<const WorkerId, OwnedWorker>& workerEntry : aRack.m_workers) {
    const uint32_t id = workerEntry.first;
    OwnedWorker& worker = workerEntry.second;
    if (!worker.AcceptsWork() || !m_racks.Health().IsUsable(id, m_context.m_now, 0)) {
      continue;
    }
    Resources capacity = worker.m_ledger.FreeCapacity();
    std::vector<TaskAttempt> victims;
    for (const std::pair<const TaskAttempt, OwnedAttempt>& attemptEntry : worker.m_attempts) {
      const TaskAttempt& taskAttempt = attemptEntry.first;
      const OwnedAttempt& attempt = attemptEntry.second;
      const std::map<std::string, BatchKind, std::less<>>::const_iterator kind =
        model.m_kinds.find(attempt.m_kind);
      const bool movable =
        kind != model.m_kinds.end() && (kind->second.m_checkpoints || kind->second.m_restartable);
      if (aSize.FitsIn(capacity) || attempt.m_urgent || attempt.m_phase != AttemptPhase::Running ||
          !movable) {
        continue;
      }
      capacity += worker.m_ledger.Reservations().find(taskAttempt)->second;
      victims.push_back(taskAttempt);
    }
    if (aSize.FitsIn(capacity) && !victims.empty() &&
        (!best || victims.size() < bestVictims.size())) {
      best = &worker;
      bestVictims = std::move(victims);
    }
  }
  if (!best) {
    return;
  }
  m_preemptedAt[aTask] = m_context.m_now;
  for (const TaskAttempt& victim : bestVictims) {
    m_racks.StopAttempt(aRack, *best, victim, TaskEndReason::Evicted);
  }
}

bool
TaskController::MoveToOtherRack(OwnedRack& aRack,
                                const Job& aJob,
                                const TaskId& aTask,
                                const Resources& aSize)
{
  const Model& model = m_context.Config();
  const std::map<std::string, BatchKind, std::less<>>::const_iterator kind =
    model.m_kinds.find(aJob.m_spec.m_kind);
  if (kind == model.m_kinds.end() || !m_context.IsLogCurrent()) {
    return false;
  }
  std::set<std::string> allowed;
  for (const std::string& name : kind->second.m_pools) {
    const std::map<std::string, Pool, std::less<>>::const_iterator pool = model.m_pools.find(name);
    if (pool != model.m_pools.end() && pool->second.m_zone == m_context.m_settings.m_zone) {
      allowed.insert(pool->second.m_rack);
    }
  }
  std::vector<RackCapacity> capacities = FreeCapacity();
  for (const std::pair<const std::string, Member>& memberEntry : m_context.m_members.All()) {
    const std::string& id = memberEntry.first;
    const Member& member = memberEntry.second;
    if (m_context.m_members.IsLocal(member) && m_context.m_members.IsAlive(id, m_context.m_now)) {
      capacities.insert(capacities.end(),
                        member.m_lastHeartbeat.m_racks.begin(),
                        member.m_lastHeartbeat.m_racks.end());
    }
  }
  const RackCapacity* best = nullptr;
  int64_t maxCapacity = 0;
  for (const RackCapacity& capacity : capacities) {
    const int64_t freeMilliCores = capacity.m_freeMilliCores - m_movedMilliCores[capacity.m_rack];
    if (capacity.m_rack != aRack.m_rack && allowed.contains(capacity.m_rack) &&
        freeMilliCores > maxCapacity) {
      best = &capacity;
      maxCapacity = freeMilliCores;
    }
  }
  // Requires twice the size, because the free capacity of a rack is spread over its workers.
  if (!best || maxCapacity < 2 * aSize.m_milliCores) {
    return false;
  }
  const std::optional<EntryToken> token =
    m_context.m_writer.Append(Stream::Zone, TaskMove{ aTask, aRack.m_epoch, best->m_rack });
  if (!token) {
    return false;
  }
  m_movedMilliCores[best->m_rack] += aSize.m_milliCores;
  m_pendingMoves[*token] = aTask;
  m_tasksInFlight.insert(aTask);
  m_context.Log(LogLine(LogLevel::Info, "place_move")
                  .Add("job", aTask.m_job)
                  .Add("task", aTask.m_index)
                  .Add("from", aRack.m_rack)
                  .Add("to", best->m_rack)
                  .Add("room_millicores", maxCapacity));
  return true;
}

void
TaskController::FailUnrunnableJob(const Job& aJob, const TaskId& aTask)
{
  std::string reason;
  for (const JobId dependency : aJob.m_spec.m_after) {
    const Job* dependencyJob = m_context.m_replica.Jobs().Find(dependency);
    const JobPhase phase = dependencyJob ? dependencyJob->Phase() : JobPhase::Finished;
    if (phase == JobPhase::Failed || phase == JobPhase::Cancelled) {
      reason = "job " + std::to_string(dependency) + ", on which it depends, is " +
               std::string(NameOf(phase));
    }
  }
  const TaskState& task = *m_context.m_replica.Jobs().FindTask(aTask);
  const size_t failedOnHealthy = static_cast<size_t>(
    std::count_if(task.m_failedOn.begin(), task.m_failedOn.end(), [this](WorkerId aWorker) {
      return !m_racks.Health().IsSuspect(aWorker);
    }));
  if (reason.empty() && failedOnHealthy >= kMaxWorkersFailedOn) {
    reason = "task " + std::to_string(aTask.m_index) + " failed on " +
             std::to_string(failedOnHealthy) + " healthy workers";
  }
  if (reason.empty() || !m_context.m_writer.Append(Stream::Zone, JobFail{ aJob.m_id, reason })) {
    return;
  }
  m_tasksInFlight.insert(aTask); // until the record ends the task
  m_context.Log(LogLine(LogLevel::Warning, "job_fail").Add("job", aJob.m_id).Add("reason", reason));
}

void
TaskController::OnApplied(const AppliedEntry& aApplied, EntryToken aToken)
{
  if (std::holds_alternative<TaskMove>(aApplied.m_entry)) {
    const std::map<EntryToken, TaskId>::iterator move = m_pendingMoves.find(aToken);
    if (move != m_pendingMoves.end()) {
      m_tasksInFlight.erase(move->second);
      m_waitReasons.erase(move->second);
      m_pendingMoves.erase(move);
    }
    return;
  }
  if (const TaskEnd* end = std::get_if<TaskEnd>(&aApplied.m_entry)) {
    m_preemptedAt.erase(end->m_task);
    m_waitReasons.erase(end->m_task);
    return;
  }
  const std::map<EntryToken, PendingStart>::iterator it = m_pendingStarts.find(aToken);
  if (aToken == 0 || it == m_pendingStarts.end()) {
    return;
  }
  const PendingStart pending = it->second;
  m_pendingStarts.erase(it);
  ResolveStart(pending, aApplied.m_effective);
}

/// Sends a start whose record took effect, or discards the attempt.
void
TaskController::ResolveStart(const PendingStart& aPending, bool aEffective)
{
  m_tasksInFlight.erase(aPending.m_attempt.m_task);
  OwnedRack* rack = m_racks.Find(aPending.m_rack);
  OwnedWorker* worker = rack ? m_racks.FindWorker(aPending.m_worker) : nullptr;
  if (!worker || !worker->m_attempts.contains(aPending.m_attempt)) {
    return;
  }
  if (!aEffective) {
    m_racks.RemoveAttempt(*worker, aPending.m_attempt); // a poll will stop it if it was sent
    return;
  }
  OwnedAttempt& attempt = worker->m_attempts[aPending.m_attempt];
  attempt.m_recorded = true;
  if (!aPending.m_sent) {
    m_racks.SendStart(*rack, *worker, aPending.m_attempt, attempt);
  }
}

void
TaskController::OnStateRestored()
{
  const std::map<EntryToken, PendingStart> pending = std::move(m_pendingStarts);
  m_pendingStarts.clear();
  m_pendingMoves.clear();
  m_tasksInFlight.clear();
  for (const std::pair<const uint64_t, PendingStart>& startEntry : pending) {
    const PendingStart& start = startEntry.second;
    const TaskState* task = m_context.m_replica.Jobs().FindTask(start.m_attempt.m_task);
    ResolveStart(start,
                 task && task->m_phase == TaskPhase::Started &&
                   task->m_attempt == start.m_attempt.m_attempt &&
                   task->m_worker == start.m_worker);
  }
}

} // namespace egretturn
