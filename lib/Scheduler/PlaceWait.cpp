#include "egretturn/Scheduler/PlaceWait.h"

#include <algorithm>

namespace egretturn {

bool
DoesWaitPay(const PlaceWait& aWait)
{
  const double gain = (aWait.m_farFactor - 1.0) * static_cast<double>(aWait.m_duration.count());
  return aWait.m_nextPlace &&
         static_cast<double>((aWait.m_waited + *aWait.m_nextPlace).count()) < gain;
}

const std::string&
PreferredRack(const PlacementRequest& aRequest)
{
  static const std::string kNone;
  const GraphStep& step = *aRequest.m_step;
  if (step.m_longRunning || aRequest.m_farFactor <= 1) {
    return kNone;
  }
  const bool hasGroup = step.m_sameRack && aRequest.m_siblings && !aRequest.m_siblings->empty();
  return step.m_dataRack.empty() && hasGroup ? aRequest.m_siblings->front()->m_report.m_rack
                                             : step.m_dataRack;
}

bool
IsFar(const Worker& aWorker, const PlacementRequest& aRequest)
{
  const std::string& rack = PreferredRack(aRequest);
  return !rack.empty() && aWorker.m_report.m_rack != rack;
}

/// Returns how long \p aAttempt is expected to occupy its place, or nothing if that is unknown.
static std::optional<Duration>
RemainingTime(const AttemptState& aAttempt, Instant aNow)
{
  if (aAttempt.m_phase == AttemptPhase::Stopping) {
    return Duration::zero();
  }
  if (aAttempt.m_longRunning || !aAttempt.m_expectedEndAt) {
    return std::nullopt;
  }
  const Duration remaining = *aAttempt.m_expectedEndAt - aNow;
  return std::max<Duration>(remaining, -remaining); // an overdue one is taken to last as long again
}

namespace {

/// The end of an attempt, and the room that it leaves.
struct ExpectedEnd
{
  Duration m_after{};
  Demand m_demand;
};

} // namespace

static std::vector<ExpectedEnd>
ListExpectedEnds(const Worker& aWorker, Instant aNow)
{
  std::vector<ExpectedEnd> ends;
  for (const std::pair<const TaskRef, AttemptState>& attemptEntry : aWorker.m_attempts) {
    const AttemptState& attempt = attemptEntry.second;
    const std::optional<Duration> remaining = RemainingTime(attempt, aNow);
    if (remaining && !attempt.m_bestEffort) {
      ends.push_back({ *remaining, attempt.m_demand });
    }
  }
  std::sort(ends.begin(), ends.end(), [](const ExpectedEnd& aLeft, const ExpectedEnd& aRight) {
    return aLeft.m_after < aRight.m_after;
  });
  return ends;
}

static bool
Fits(const Demand& aDemand, const Demand& aFree)
{
  return aDemand.m_cpuMilli <= aFree.m_cpuMilli && aDemand.m_memoryMb <= aFree.m_memoryMb &&
         aDemand.m_accelerators <= aFree.m_accelerators;
}

/// Adds \p aSign times \p aDemand to \p aFree.
static void
Change(Demand& aFree, const Demand& aDemand, int64_t aSign)
{
  aFree.m_cpuMilli += aSign * aDemand.m_cpuMilli;
  aFree.m_memoryMb += aSign * aDemand.m_memoryMb;
  aFree.m_accelerators += aSign * aDemand.m_accelerators;
}

void
NearPlaces::AddPlacesOf(const Worker& aWorker, const PlacementRequest& aRequest, Instant aNow)
{
  const GraphStep& step = *aRequest.m_step;
  Demand free = aWorker.m_report.m_capacity;
  Change(free, aWorker.m_used, -1);
  const size_t wanted = m_taken + step.m_count; // bounds the places of tasks that demand nothing
  size_t places = 0;
  for (const ExpectedEnd& end : ListExpectedEnds(aWorker, aNow)) {
    Change(free, end.m_demand, 1);
    while (Fits(step.m_demand, free) &&
           (step.m_maxPerWorker == 0 || places < step.m_maxPerWorker)) {
      if (places == wanted) {
        return;
      }
      ++places;
      Change(free, step.m_demand, -1);
      m_places.push_back(end.m_after);
    }
  }
}

NearPlaces::NearPlaces(const std::vector<Worker*>& aWorkers,
                       const PlacementRequest& aRequest,
                       size_t aTaken,
                       Instant aNow)
  : m_taken(aTaken)
{
  for (const Worker* worker : aWorkers) {
    if (IsFar(*worker, aRequest)) {
      continue;
    }
    const Obstacle obstacle = FindObstacle(*worker, aRequest);
    if (obstacle == Obstacle::Processors || obstacle == Obstacle::Memory) {
      AddPlacesOf(*worker, aRequest, aNow);
    }
  }
  std::sort(m_places.begin(), m_places.end());
}

std::optional<Duration>
NearPlaces::Next() const
{
  return m_taken < m_places.size() ? std::optional(m_places[m_taken]) : std::nullopt;
}

} // namespace egretturn
