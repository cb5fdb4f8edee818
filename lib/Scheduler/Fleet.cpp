#include "egretturn/Scheduler/Fleet.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>
#include <cassert>

namespace egretturn {

static constexpr size_t kAttemptPhases = static_cast<size_t>(AttemptPhase::EndUnlisted) + 1;

static constexpr EnumTable<AttemptPhase, kAttemptPhases> kAttemptPhaseNames{ {
  { AttemptPhase::Sent, "sent" },
  { AttemptPhase::Unconfirmed, "unanswered" },
  { AttemptPhase::Running, "running" },
  { AttemptPhase::Stopping, "stopping" },
  { AttemptPhase::EndUnlisted, "end_unlisted" },
} };

std::string_view
NameOf(AttemptPhase aPhase)
{
  return NameIn(kAttemptPhaseNames, aPhase);
}

static constexpr Duration kLeaseMargin =
  std::chrono::milliseconds(200); // for timers that fire late

static constexpr EnumTable<AttemptEnd, 6> kEndNames{ {
  { AttemptEnd::Done, "done" },
  { AttemptEnd::Failed, "failed" },
  { AttemptEnd::Stopped, "stopped" },
  { AttemptEnd::LeaseExpired, "lapsed" },
  { AttemptEnd::GangMemberEnded, "broken" },
  { AttemptEnd::GangIncomplete, "alone" },
} };

static constexpr EnumTable<WorkerCallResult, 12> kResultNames{ {
  { WorkerCallResult::Accepted, "accepted" },
  { WorkerCallResult::Fenced, "fenced" },
  { WorkerCallResult::Superseded, "superseded" },
  { WorkerCallResult::LeaseExpired, "too_late" },
  { WorkerCallResult::NoCapacity, "no_room" },
  { WorkerCallResult::InvalidTicket, "bad_ticket" },
  { WorkerCallResult::Rejected, "rejected" },
  { WorkerCallResult::Unhealthy, "unhealthy" },
  { WorkerCallResult::IncarnationMismatch, "other_instance" },
  { WorkerCallResult::NotSent, "not_sent" },
  { WorkerCallResult::NoResponse, "unanswered" },
  { WorkerCallResult::LinkLost, "link_lost" },
} };

std::string_view
NameOf(AttemptEnd aEnd)
{
  return NameIn(kEndNames, aEnd);
}

std::string_view
NameOf(WorkerCallResult aResult)
{
  return NameIn(kResultNames, aResult);
}

Fleet::Fleet(const LeaseLimits& aLimits)
  : m_limits(aLimits)
{
}

bool
Fleet::Update(const WorkerReport& aReport, Instant aNow)
{
  if (Worker* known = Find(aReport.m_id)) {
    known->m_report = aReport;
    known->m_registered = true;
    known->m_zoneState = m_evacuations.StateOf(aReport.m_zone);
    return false;
  }
  std::unique_ptr<Worker> worker = std::make_unique<Worker>();
  worker->m_report = aReport;
  worker->m_nextPollAt = aNow;
  worker->m_leaseExpiresAt = aNow;
  worker->m_zoneState = m_evacuations.StateOf(aReport.m_zone);
  const auto restarts = m_restartsOfRemoved.find(aReport.m_id);
  worker->m_restarts = restarts == m_restartsOfRemoved.end() ? 0 : restarts->second;
  m_byId.emplace(aReport.m_id, worker.get());
  m_workers.push_back(std::move(worker));
  return true;
}

void
Fleet::SetEvacuations(ZoneEvacuations aEvacuations)
{
  m_evacuations = std::move(aEvacuations);
  for (const std::unique_ptr<Worker>& worker : m_workers) {
    worker->m_zoneState = m_evacuations.StateOf(worker->m_report.m_zone);
  }
}

void
Fleet::Deregister(const WorkerName& aId)
{
  if (Worker* worker = Find(aId)) {
    worker->m_registered = false;
  }
}

void
Fleet::Erase(const WorkerName& aId)
{
  const auto it =
    std::find_if(m_workers.begin(), m_workers.end(), [&](const std::unique_ptr<Worker>& aWorker) {
      return aWorker->m_report.m_id == aId;
    });
  if (it == m_workers.end()) {
    return;
  }
  assert((*it)->m_attempts.empty() && "a worker with attempts must not be erased");
  assert((*it)->m_lateStarts.empty() && "a worker with late starts must not be erased");
  if ((*it)->m_restarts > 0) {
    m_restartsOfRemoved[aId] = (*it)->m_restarts;
  }
  m_byId.erase(aId);
  m_workers.erase(it);
}

Worker*
Fleet::Find(const WorkerName& aId)
{
  return const_cast<Worker*>(std::as_const(*this).Find(aId));
}

const Worker*
Fleet::Find(const WorkerName& aId) const
{
  const auto it = m_byId.find(aId);
  return it == m_byId.end() ? nullptr : it->second;
}

/// Adds \p aAttempt to the group of its image, or removes it if \p aSign is -1.
template<typename Group>
static Group&
CountInGroup(std::vector<Group>& aGroups, const AttemptState& aAttempt, int64_t aSign)
{
  auto it = std::find_if(aGroups.begin(), aGroups.end(), [&](const Group& aGroup) {
    return aGroup.m_image == aAttempt.m_image;
  });
  if (it == aGroups.end()) {
    it = aGroups.insert(aGroups.end(), Group{});
    it->m_image = aAttempt.m_image;
  }
  it->m_attempts += static_cast<uint32_t>(aSign);
  return *it;
}

template<typename Group>
static void
RemoveEmptyGroups(std::vector<Group>& aGroups)
{
  aGroups.erase(std::remove_if(aGroups.begin(),
                               aGroups.end(),
                               [](const Group& aGroup) { return aGroup.m_attempts == 0; }),
                aGroups.end());
}

/// Adds the demand of \p aAttempt to the capacity used on \p aWorker, or subtracts it if \p aSign
/// is -1.
static void
AccountDemand(Worker& aWorker, const AttemptState& aAttempt, int64_t aSign)
{
  aWorker.m_used.m_memoryMb += aSign * aAttempt.m_demand.m_memoryMb;
  aWorker.m_used.m_accelerators += aSign * aAttempt.m_demand.m_accelerators;
  if (aAttempt.m_longRunning) {
    aWorker.m_longRunning.m_cpuMilli +=
      aAttempt.m_bestEffort ? 0 : aSign * aAttempt.m_demand.m_cpuMilli;
    aWorker.m_longRunning.m_memoryMb += aSign * aAttempt.m_demand.m_memoryMb;
    aWorker.m_longRunning.m_accelerators += aSign * aAttempt.m_demand.m_accelerators;
  }
  if (aAttempt.m_bestEffort) {
    aWorker.m_bestEffortCpu += aSign * aAttempt.m_demand.m_cpuMilli;
    CountInGroup(aWorker.m_bestEffortGroups, aAttempt, aSign).m_cpu +=
      aSign * aAttempt.m_demand.m_cpuMilli;
    RemoveEmptyGroups(aWorker.m_bestEffortGroups);
    return;
  }
  if (aAttempt.m_targetMs > 0) {
    CountInGroup(aWorker.m_servingGroups, aAttempt, aSign);
    RemoveEmptyGroups(aWorker.m_servingGroups);
  }
  aWorker.m_used.m_cpuMilli += aSign * aAttempt.m_demand.m_cpuMilli;
}

AttemptState&
Fleet::AddAttempt(Worker& aWorker, const TaskRef& aTask, const AttemptState& aAttempt)
{
  const auto [it, added] = aWorker.m_attempts.emplace(aTask, aAttempt);
  assert(added && "a worker has at most one attempt of a task");
  (void)added;
  AccountDemand(aWorker, aAttempt, 1);
  ++m_attemptsByTask[aTask];
  return it->second;
}

void
Fleet::RemoveAttempt(Worker& aWorker, const TaskRef& aTask)
{
  const auto it = aWorker.m_attempts.find(aTask);
  if (it == aWorker.m_attempts.end()) {
    return;
  }
  AccountDemand(aWorker, it->second, -1);
  aWorker.m_attempts.erase(it);
  const auto count = m_attemptsByTask.find(aTask);
  assert(count != m_attemptsByTask.end() && "the attempt was not counted");
  if (--count->second == 0) {
    m_attemptsByTask.erase(count);
  }
}

double
Fleet::ReservedShare(const std::string& aService) const
{
  int64_t capacity = 1;
  int64_t reserved = 0;
  for (const std::unique_ptr<Worker>& worker : m_workers) {
    const bool counts = worker->m_registered && worker->m_zoneState == ZoneState::Open;
    if (counts && worker->m_report.m_service == aService) {
      capacity += worker->m_report.m_capacity.m_cpuMilli;
      reserved += worker->m_used.m_cpuMilli;
    }
  }
  return static_cast<double>(reserved) / static_cast<double>(capacity);
}

double
Fleet::ShareWithoutServing() const
{
  int64_t capacity = 1;
  int64_t free = 0;
  for (const std::unique_ptr<Worker>& worker : m_workers) {
    const bool counts = worker->m_registered && worker->m_zoneState == ZoneState::Open;
    if (counts && !worker->m_report.m_draining) {
      capacity += worker->m_report.m_capacity.m_cpuMilli;
      free += worker->m_servingGroups.empty() ? worker->m_report.m_capacity.m_cpuMilli : 0;
    }
  }
  return static_cast<double>(free) / static_cast<double>(capacity);
}

int64_t
Fleet::LeaseEnd(const Worker& aWorker, Instant aNow) const
{
  if (!aWorker.m_polled) {
    return 0;
  }
  // The worker's clock shows at least this much, so the lease has expired by the time that
  // ExtendLease() records.
  const double sinceMs = static_cast<double>(ToMillis(aNow - aWorker.m_clockReadAt)) *
                         (1.0 - m_limits.m_maxClockSlowness);
  return aWorker.m_clockMs + static_cast<int64_t>(sinceMs) + ToMillis(LengthOfGrant(aWorker));
}

void
Fleet::AddLateStart(Worker& aWorker, const LateStart& aStart)
{
  aWorker.m_lateStarts.push_back(aStart);
  m_lateStartsByTask[aStart.m_task].push_back(&aWorker);
}

const std::vector<Worker*>*
Fleet::FindLateStarts(const TaskRef& aTask) const
{
  const auto it = m_lateStartsByTask.find(aTask);
  return it == m_lateStartsByTask.end() ? nullptr : &it->second;
}

/// Returns whether a start that was sent to \p aWorker may still be executed unknown to the leader,
/// also by a process that has restarted there and takes the lease for the longest.
static bool
MayExecuteLate(const Worker& aWorker)
{
  return !aWorker.m_lateStarts.empty() ||
         std::any_of(aWorker.m_attempts.begin(),
                     aWorker.m_attempts.end(),
                     [](const std::pair<const TaskRef, AttemptState>& aAttempt) {
                       return aAttempt.second.m_phase == AttemptPhase::Sent ||
                              aAttempt.second.m_phase == AttemptPhase::Unconfirmed;
                     });
}

Duration
Fleet::LengthOfGrant(const Worker& aWorker) const
{
  const bool draining = aWorker.m_report.m_draining && !MayExecuteLate(aWorker);
  return draining ? std::min(m_limits.m_maxDuration, m_limits.m_maxWhileDraining)
                  : m_limits.m_maxDuration;
}

Instant
Fleet::ExpiryOf(Duration aLength, Instant aGrantedAt) const
{
  const double length = static_cast<double>(aLength.count()) / (1.0 - m_limits.m_maxClockSlowness);
  return aGrantedAt + Duration(static_cast<int64_t>(length)) + kLeaseMargin;
}

Instant
Fleet::LatestLeaseExpiry(Instant aGrantedUntil) const
{
  return ExpiryOf(m_limits.m_maxDuration, aGrantedUntil);
}

void
Fleet::ExtendLease(Worker& aWorker, Instant aNow) const
{
  const Instant expiry = ExpiryOf(LengthOfGrant(aWorker), aNow);
  aWorker.m_leaseExpiresAt = std::max(aWorker.m_leaseExpiresAt, expiry);
}

void
Fleet::ExtendLeaseOfAnyCall(Worker& aWorker, Instant aNow) const
{
  aWorker.m_leaseExpiresAt = std::max(aWorker.m_leaseExpiresAt, LatestLeaseExpiry(aNow));
}

} // namespace egretturn
