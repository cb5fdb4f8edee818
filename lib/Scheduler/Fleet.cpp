#include "egretturn/Scheduler/Fleet.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>
#include <cassert>

namespace egretturn {

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

static constexpr EnumTable<WorkerCallResult, 11> kResultNames{ {
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
    known->m_listed = true;
    return false;
  }
  std::unique_ptr<Worker> worker = std::make_unique<Worker>();
  worker->m_report = aReport;
  worker->m_lookDueAt = aNow;
  worker->m_leaseOverAt = aNow;
  m_byId.emplace(aReport.m_id, worker.get());
  m_workers.push_back(std::move(worker));
  return true;
}

void
Fleet::Unlist(const WorkerName& aId)
{
  if (Worker* worker = Find(aId)) {
    worker->m_listed = false;
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
  assert((*it)->m_attempts.empty() && "a worker with runs must not be forgotten");
  m_byId.erase(aId);
  m_workers.erase(it);
}

Worker*
Fleet::Find(const WorkerName& aId)
{
  const auto it = m_byId.find(aId);
  return it == m_byId.end() ? nullptr : it->second;
}

/// Counts \p aRun in the group of its image, or takes it off for \p aSign -1.
template<typename Group>
static Group&
CountInGroup(std::vector<Group>& aGroups, const WorkerRun& aRun, int64_t aSign)
{
  auto it = std::find_if(aGroups.begin(), aGroups.end(), [&](const Group& aGroup) {
    return aGroup.m_image == aRun.m_image;
  });
  if (it == aGroups.end()) {
    it = aGroups.insert(aGroups.end(), Group{});
    it->m_image = aRun.m_image;
  }
  it->m_attempts += static_cast<uint32_t>(aSign);
  return *it;
}

template<typename Group>
static void
DropEmpty(std::vector<Group>& aGroups)
{
  aGroups.erase(std::remove_if(aGroups.begin(),
                               aGroups.end(),
                               [](const Group& aGroup) { return aGroup.m_attempts == 0; }),
                aGroups.end());
}

/// Adds the demand of \p aRun to what \p aWorker has in use, or takes it off for \p aSign -1.
static void
Count(Worker& aWorker, const WorkerRun& aRun, int64_t aSign)
{
  aWorker.m_used.m_memoryMb += aSign * aRun.m_demand.m_memoryMb;
  aWorker.m_used.m_accelerators += aSign * aRun.m_demand.m_accelerators;
  if (aRun.m_bestEffort) {
    aWorker.m_fillCpu += aSign * aRun.m_demand.m_cpuMilli;
    CountInGroup(aWorker.m_filling, aRun, aSign).m_cpu += aSign * aRun.m_demand.m_cpuMilli;
    DropEmpty(aWorker.m_filling);
    return;
  }
  if (aRun.m_targetMs > 0) {
    CountInGroup(aWorker.m_serving, aRun, aSign);
    DropEmpty(aWorker.m_serving);
  }
  aWorker.m_used.m_cpuMilli += aSign * aRun.m_demand.m_cpuMilli;
  if (aRun.m_longRunning) {
    aWorker.m_lastingCpu += aSign * aRun.m_demand.m_cpuMilli;
  }
}

WorkerRun&
Fleet::AddRun(Worker& aWorker, const TaskRef& aTask, const WorkerRun& aRun)
{
  const auto [it, added] = aWorker.m_attempts.emplace(aTask, aRun);
  assert(added && "a worker holds one run of a task");
  (void)added;
  Count(aWorker, aRun, 1);
  return it->second;
}

void
Fleet::RemoveRun(Worker& aWorker, const TaskRef& aTask)
{
  const auto it = aWorker.m_attempts.find(aTask);
  if (it == aWorker.m_attempts.end()) {
    return;
  }
  Count(aWorker, it->second, -1);
  aWorker.m_attempts.erase(it);
}

double
Fleet::ShareInUse() const
{
  int64_t capacity = 1;
  int64_t used = 0;
  for (const std::unique_ptr<Worker>& worker : m_workers) {
    if (worker->m_listed) {
      capacity += worker->m_report.m_capacity.m_cpuMilli;
      used += worker->m_used.m_cpuMilli + worker->m_fillCpu;
    }
  }
  return static_cast<double>(used) / static_cast<double>(capacity);
}

double
Fleet::ShareWithoutServing() const
{
  int64_t capacity = 1;
  int64_t free = 0;
  for (const std::unique_ptr<Worker>& worker : m_workers) {
    if (worker->m_listed && !worker->m_report.m_draining) {
      capacity += worker->m_report.m_capacity.m_cpuMilli;
      free += worker->m_serving.empty() ? worker->m_report.m_capacity.m_cpuMilli : 0;
    }
  }
  return static_cast<double>(free) / static_cast<double>(capacity);
}

int64_t
Fleet::LeaseEnd(const Worker& aWorker, Instant aNow) const
{
  if (!aWorker.m_looked) {
    return 0;
  }
  // Its clock shows at least this much, so the lease is over by the time noted in ExtendLease().
  const double sinceMs =
    static_cast<double>(ToMillis(aNow - aWorker.m_clockAt)) * (1.0 - m_limits.m_clockSlowness);
  return aWorker.m_clockMs + static_cast<int64_t>(sinceMs) + ToMillis(m_limits.m_maxDuration);
}

void
Fleet::ExtendLease(Worker& aWorker, Instant aNow) const
{
  const double longest = static_cast<double>(m_limits.m_maxDuration.count());
  const Duration length(static_cast<int64_t>(longest / (1.0 - m_limits.m_clockSlowness)));
  aWorker.m_leaseOverAt = std::max(aWorker.m_leaseOverAt, aNow + length + kLeaseMargin);
}

} // namespace egretturn
