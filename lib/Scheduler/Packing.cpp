#include "egretturn/Scheduler/Packing.h"

#include "egretturn/Scheduler/PlaceWait.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>
#include <limits>

namespace egretturn {

static constexpr EnumTable<Obstacle, kObstacles> kObstacleNames{ {
  { Obstacle::None, "none" },
  { Obstacle::NotRegistered, "unlisted" },
  { Obstacle::Draining, "draining" },
  { Obstacle::Evacuated, "evacuated" },
  { Obstacle::EvacuationsUnread, "evacuations_unread" },
  { Obstacle::NotPolled, "not_looked" },
  { Obstacle::Unreachable, "out_of_contact" },
  { Obstacle::EndsUnlisted, "ends_unlisted" },
  { Obstacle::Unrecorded, "unrecorded" },
  { Obstacle::Avoided, "avoided" },
  { Obstacle::Slow, "slow" },
  { Obstacle::OtherService, "other_service" },
  { Obstacle::LabelMismatch, "label" },
  { Obstacle::MaxPerWorker, "spread" },
  { Obstacle::Memory, "memory" },
  { Obstacle::Processors, "processors" },
  { Obstacle::NearTarget, "pressed" },
  { Obstacle::UnknownInterference, "on_trial" },
  { Obstacle::Interference, "would_press" },
} };

std::string_view
NameOf(Obstacle aObstacle)
{
  return NameIn(kObstacleNames, aObstacle);
}

// The share of their reservation that long-running tasks use on average.
static constexpr double kLongRunningUtilization = 0.45;

// A best-effort task starts only where it gets at least this share of its demand.
static constexpr double kMinBestEffortShare = 0.6;

// Utilization kept free below the target of a serving task, for inaccurate estimates.
static constexpr double kUtilizationMargin = 0.04;

// A pair's weight below this is negligible: even a whole worker of the image leaves a serving task
// below its target most of the time.
static constexpr double kNegligibleWeight = 0.6;

// A task with a large demand may start throttled, but to no less than this share.
static constexpr double kMinThrottleShare = 0.5;

// An avoided worker gets no task with a limited number of attempts for this long.
static constexpr Duration kMinTimeAfterFailure = std::chrono::milliseconds(1500);

static constexpr double kMinWeight = 0.001; // smaller weights are not distinguished

// Weights of the score, in thousandths of a core.
// More than all other weights together: a task that ends goes near its data and group if it can.
static constexpr double kNearWeight = 1e7;
static constexpr double kNegligibleInterferenceBonus = 24000.0;
static constexpr double kInterferencePenalty = 24000.0;
static constexpr double kThrottlePenalty = 40000.0; // for a task that would be throttled to a halt
static constexpr double kDissimilarityPenalty = 200000.0; // for each fully dissimilar serving image
static constexpr double kEmptyWorkerPenalty = 400000.0;   // while few empty workers are left
static constexpr double kBestEffortWeight = 0.5;          // a best-effort neighbor counts half

/// Returns why \p aWorker would accept no new work if its zone took starts, or Obstacle::None.
static Obstacle
FindOwnUnavailability(const Worker& aWorker, Instant aNow)
{
  if (!aWorker.m_registered) {
    return Obstacle::NotRegistered;
  }
  if (aWorker.m_report.m_draining) {
    return Obstacle::Draining;
  }
  if (!aWorker.m_polled) {
    return Obstacle::NotPolled;
  }
  if (aWorker.m_failedPolls > 0) {
    return Obstacle::Unreachable;
  }
  if (!aWorker.m_endsComplete) {
    return Obstacle::EndsUnlisted;
  }
  if (aWorker.m_record != RecordState::Durable) {
    return Obstacle::Unrecorded;
  }
  if (aWorker.m_avoidUntil > aNow) {
    return Obstacle::Avoided;
  }
  return aWorker.m_slowUntil > aNow ? Obstacle::Slow : Obstacle::None;
}

Obstacle
FindUnavailability(const Worker& aWorker, Instant aNow)
{
  const Obstacle own = FindOwnUnavailability(aWorker, aNow);
  const bool open = aWorker.m_zoneState == ZoneState::Open;
  if (open || own == Obstacle::NotRegistered || own == Obstacle::Draining) {
    return own;
  }
  return aWorker.m_zoneState == ZoneState::Unread ? Obstacle::EvacuationsUnread
                                                  : Obstacle::Evacuated;
}

bool
AcceptsWork(const Worker& aWorker, Instant aNow)
{
  return FindUnavailability(aWorker, aNow) == Obstacle::None;
}

/// Returns the processor time that is still available to best-effort tasks on \p aWorker.
static double
SpareBestEffortCpu(const Worker& aWorker)
{
  const double idle =
    (1.0 - kLongRunningUtilization) * static_cast<double>(aWorker.m_longRunning.m_cpuMilli);
  return static_cast<double>(aWorker.m_report.m_capacity.m_cpuMilli - aWorker.m_used.m_cpuMilli -
                             aWorker.m_bestEffortCpu) +
         idle;
}

/// Returns whether the interference of \p aImage with all serving tasks on \p aWorker is known to
/// be negligible.
static bool
IsInterferenceNegligible(const Worker& aWorker,
                         const ImageInterferenceModel& aInterference,
                         ImageId aImage)
{
  return std::all_of(aWorker.m_servingGroups.begin(),
                     aWorker.m_servingGroups.end(),
                     [&](const ServingGroup& aServing) {
                       return aInterference.IsKnown(aServing.m_image, aImage) &&
                              aInterference.Weight(aServing.m_image, aImage) < kNegligibleWeight;
                     });
}

/// Returns whether \p aWorker has a best-effort image whose interference with \p aServing is
/// unknown.
static bool
HasUnknownInterference(const Worker& aWorker,
                       const ImageInterferenceModel& aInterference,
                       ImageId aServing)
{
  return std::any_of(aWorker.m_bestEffortGroups.begin(),
                     aWorker.m_bestEffortGroups.end(),
                     [&](const BestEffortGroup& aGroup) {
                       return !aInterference.IsKnown(aServing, aGroup.m_image);
                     });
}

/// Returns the utilization that the other best-effort images on \p aWorker add to \p aServing.
static double
InterferenceOfOthers(const Worker& aWorker,
                     const ImageInterferenceModel& aInterference,
                     ImageId aServing,
                     ImageId aImage)
{
  const double capacity = static_cast<double>(aWorker.m_report.m_capacity.m_cpuMilli);
  double added = 0;
  for (const BestEffortGroup& group : aWorker.m_bestEffortGroups) {
    if (group.m_image != aImage) {
      const double cpu = static_cast<double>(group.m_cpu) * group.m_throttlePercent / 100.0;
      added += aInterference.Weight(aServing, group.m_image) * cpu / capacity;
    }
  }
  return added;
}

/// Returns the processor demand of the best-effort attempts of \p aImage on \p aWorker.
static int64_t
BestEffortDemandOf(const Worker& aWorker, ImageId aImage)
{
  for (const BestEffortGroup& group : aWorker.m_bestEffortGroups) {
    if (group.m_image == aImage) {
      return group.m_cpu;
    }
  }
  return 0;
}

/// Returns the total of thousandths of a core that tasks of \p aImage may use on \p aWorker so that
/// the serving tasks there stay below their targets.
static double
AllowedCpu(const Worker& aWorker, const ImageInterferenceModel& aInterference, ImageId aImage)
{
  const double capacity = static_cast<double>(aWorker.m_report.m_capacity.m_cpuMilli);
  double allowed = std::numeric_limits<double>::max();
  for (const ServingGroup& serving : aWorker.m_servingGroups) {
    const double weight = aInterference.Weight(serving.m_image, aImage);
    if (aInterference.IsKnown(serving.m_image, aImage) && weight < kNegligibleWeight) {
      continue;
    }
    const double others = InterferenceOfOthers(aWorker, aInterference, serving.m_image, aImage);
    const double freeUtilization = aInterference.TargetUtilization(serving.m_image) -
                                   kUtilizationMargin - serving.m_ownLoad - others;
    allowed = std::min(allowed, freeUtilization * capacity / std::max(weight, kMinWeight));
  }
  return std::max(0.0, allowed);
}

double
AllowedThrottleShare(const Worker& aWorker,
                     const ImageInterferenceModel& aInterference,
                     ImageId aImage,
                     int64_t aAdded)
{
  const double demand = static_cast<double>(BestEffortDemandOf(aWorker, aImage) + aAdded);
  return std::min(1.0, AllowedCpu(aWorker, aInterference, aImage) / std::max(demand, 1.0));
}

/// Returns the thousandths of a core that must be available to a task of \p aRequest for it to
/// start. A task with more than the typical demand may start wherever a typical one could,
/// throttled so that it interferes no more.
static double
NeededCpu(const PlacementRequest& aRequest)
{
  const double demand = static_cast<double>(aRequest.m_step->m_demand.m_cpuMilli);
  if (aRequest.m_typicalCpu <= 0) {
    return demand;
  }
  return std::max(std::min(demand, aRequest.m_typicalCpu), kMinThrottleShare * demand);
}

/// Returns whether the tasks of \p aImage on \p aWorker are throttled so far that one more would
/// not get ahead there.
static bool
IsBarelyRunning(const Worker& aWorker, ImageId aImage)
{
  return std::any_of(aWorker.m_bestEffortGroups.begin(),
                     aWorker.m_bestEffortGroups.end(),
                     [&](const BestEffortGroup& aGroup) {
                       return aGroup.m_image == aImage &&
                              aGroup.m_throttlePercent < kMinStartPercent;
                     });
}

/// Returns why one more best-effort task of \p aRequest must not start beside the serving tasks of
/// \p aWorker, or Obstacle::None.
static Obstacle
FindInterferenceObstacle(const Worker& aWorker, const PlacementRequest& aRequest)
{
  if (aWorker.m_nearTarget) {
    return Obstacle::NearTarget;
  }
  if (!aRequest.m_interference) {
    return Obstacle::None;
  }
  if (aRequest.m_mayInterfere) {
    return IsBarelyRunning(aWorker, aRequest.m_image) ? Obstacle::Interference : Obstacle::None;
  }
  const ImageInterferenceModel& interference = *aRequest.m_interference;
  for (const ServingGroup& serving : aWorker.m_servingGroups) {
    const bool known = interference.IsKnown(serving.m_image, aRequest.m_image);
    if (!known && HasUnknownInterference(aWorker, interference, serving.m_image)) {
      return Obstacle::UnknownInterference; // one at a time, to tell which image interferes
    }
  }
  const double allowed = AllowedCpu(aWorker, interference, aRequest.m_image) -
                         static_cast<double>(BestEffortDemandOf(aWorker, aRequest.m_image));
  return allowed < NeededCpu(aRequest) ? Obstacle::Interference : Obstacle::None;
}

static bool
HasProcessors(const Worker& aWorker, const GraphStep& aStep)
{
  const int64_t demand = aStep.m_demand.m_cpuMilli;
  if (aStep.m_bestEffort) {
    return SpareBestEffortCpu(aWorker) >= kMinBestEffortShare * static_cast<double>(demand);
  }
  return aWorker.m_used.m_cpuMilli + demand <= aWorker.m_report.m_capacity.m_cpuMilli;
}

/// Returns whether the directory's entry was written by an earlier process than the one that has
/// responded last. That may be of another kind.
static bool
IsEntryOutdated(const Worker& aWorker)
{
  return aWorker.m_report.m_incarnation != 0 &&
         aWorker.m_report.m_incarnation < aWorker.m_incarnation;
}

static bool
HasLabel(const Worker& aWorker, const std::string& aLabel)
{
  if (aLabel.empty()) {
    return true;
  }
  const std::vector<std::string>& labels = aWorker.m_report.m_labels;
  return !IsEntryOutdated(aWorker) &&
         std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

static size_t
CountSiblings(const Worker& aWorker, const PlacementRequest& aRequest)
{
  if (!aRequest.m_siblings) {
    return 0;
  }
  return static_cast<size_t>(
    std::count(aRequest.m_siblings->begin(), aRequest.m_siblings->end(), &aWorker));
}

/// Returns whether one more task of the step may run beside its siblings on \p aWorker.
static bool
IsBelowMaxPerWorker(const Worker& aWorker, const PlacementRequest& aRequest)
{
  const uint32_t most = aRequest.m_step->m_maxPerWorker;
  return most == 0 || CountSiblings(aWorker, aRequest) < most;
}

bool
MeetsConstraints(const Worker& aWorker, const PlacementRequest& aRequest)
{
  return aWorker.m_report.m_service == *aRequest.m_service &&
         HasLabel(aWorker, aRequest.m_step->m_label) && IsBelowMaxPerWorker(aWorker, aRequest);
}

Obstacle
FindObstacle(const Worker& aWorker, const PlacementRequest& aRequest)
{
  const GraphStep& step = *aRequest.m_step;
  const Demand& demand = step.m_demand;
  const Demand& capacity = aWorker.m_report.m_capacity;
  if (aWorker.m_report.m_service != *aRequest.m_service) {
    return Obstacle::OtherService;
  }
  if (aWorker.m_used.m_memoryMb + demand.m_memoryMb > capacity.m_memoryMb ||
      aWorker.m_used.m_accelerators + demand.m_accelerators > capacity.m_accelerators) {
    return Obstacle::Memory;
  }
  if (!HasProcessors(aWorker, step)) {
    return Obstacle::Processors;
  }
  if (!HasLabel(aWorker, step.m_label)) {
    return Obstacle::LabelMismatch;
  }
  if (!IsBelowMaxPerWorker(aWorker, aRequest)) {
    return Obstacle::MaxPerWorker;
  }
  return step.m_bestEffort ? FindInterferenceObstacle(aWorker, aRequest) : Obstacle::None;
}

bool
RulesOut(const PlacementRequest& aFailed, const PlacementRequest& aRequest)
{
  const GraphStep& failed = *aFailed.m_step;
  const GraphStep& step = *aRequest.m_step;
  if (failed.m_gang || failed.m_maxPerWorker > 0 || !failed.m_label.empty()) {
    return false; // it may have failed for a constraint that the other request does not have
  }
  if (failed.m_bestEffort != step.m_bestEffort || *aFailed.m_service != *aRequest.m_service) {
    return false;
  }
  const bool sameInterference = aFailed.m_image == aRequest.m_image &&
                                aFailed.m_interference == aRequest.m_interference &&
                                aFailed.m_mayInterfere == aRequest.m_mayInterfere;
  if (step.m_bestEffort && (!sameInterference || NeededCpu(aFailed) > NeededCpu(aRequest))) {
    return false;
  }
  return failed.m_demand.m_cpuMilli <= step.m_demand.m_cpuMilli &&
         failed.m_demand.m_memoryMb <= step.m_demand.m_memoryMb &&
         failed.m_demand.m_accelerators <= step.m_demand.m_accelerators;
}

bool
WaitsForZone(const Fleet& aFleet, const PlacementRequest& aRequest, Instant aNow)
{
  const std::vector<std::unique_ptr<Worker>>& workers = aFleet.All();
  return std::any_of(workers.begin(), workers.end(), [&](const std::unique_ptr<Worker>& aWorker) {
    return aWorker->m_zoneState != ZoneState::Open &&
           FindOwnUnavailability(*aWorker, aNow) == Obstacle::None &&
           FindObstacle(*aWorker, aRequest) == Obstacle::None;
  });
}

ObstacleCounts
CountObstacles(const Fleet& aFleet, const PlacementRequest& aRequest, Instant aNow)
{
  ObstacleCounts counts{};
  for (const std::unique_ptr<Worker>& worker : aFleet.All()) {
    const Obstacle unavailability = FindUnavailability(*worker, aNow);
    const Obstacle obstacle =
      unavailability == Obstacle::None ? FindObstacle(*worker, aRequest) : unavailability;
    ++counts[static_cast<size_t>(obstacle)];
  }
  return counts;
}

/// Returns the sum of the dissimilarities between the request's image and the serving images on
/// \p aWorker. Best-effort tasks that fit beside dissimilar images are few.
static double
SumDissimilarities(const Worker& aWorker, const PlacementRequest& aRequest)
{
  double sum = 0;
  for (const ServingGroup& group : aWorker.m_servingGroups) {
    const bool other = group.m_image != aRequest.m_image;
    sum += !other ? 0
           : aRequest.m_interference
             ? aRequest.m_interference->Dissimilarity(group.m_image, aRequest.m_image)
             : 1;
  }
  return sum;
}

double
ScoreOf(const Worker& aWorker, const PlacementRequest& aRequest)
{
  const GraphStep& step = *aRequest.m_step;
  double score =
    step.m_bestEffort
      ? SpareBestEffortCpu(aWorker)
      : static_cast<double>(aWorker.m_report.m_capacity.m_cpuMilli - aWorker.m_used.m_cpuMilli) -
          kBestEffortWeight * static_cast<double>(aWorker.m_bestEffortCpu);
  if (step.m_bestEffort && !aWorker.m_servingGroups.empty()) {
    // Workers without serving tasks are left to images that interfere with every serving task.
    const bool negligible =
      aRequest.m_interference &&
      IsInterferenceNegligible(aWorker, *aRequest.m_interference, aRequest.m_image);
    score += negligible ? kNegligibleInterferenceBonus : -kInterferencePenalty;
    const double throttleShare =
      negligible || !aRequest.m_interference
        ? 1.0
        : AllowedThrottleShare(
            aWorker, *aRequest.m_interference, aRequest.m_image, step.m_demand.m_cpuMilli);
    score -= kThrottlePenalty * (1.0 - throttleShare);
  }
  if (step.m_longRunning) {
    score = -score; // packing long-running tasks together leaves whole workers to others
  }
  if (step.m_targetMs > 0) {
    score -= kDissimilarityPenalty * SumDissimilarities(aWorker, aRequest);
    score -=
      aRequest.m_fewEmptyWorkers && aWorker.m_servingGroups.empty() ? kEmptyWorkerPenalty : 0;
  }
  return IsFar(aWorker, aRequest) ? score - kNearWeight : score;
}

std::vector<Worker*>
ListAvailableWorkers(Fleet& aFleet, Instant aNow)
{
  std::vector<Worker*> available;
  for (const std::unique_ptr<Worker>& worker : aFleet.All()) {
    if (AcceptsWork(*worker, aNow)) {
      available.push_back(worker.get());
    }
  }
  return available;
}

PenalizedWorkers
ListPenalizedWorkers(Fleet& aFleet, Instant aNow)
{
  PenalizedWorkers penalized;
  for (const std::unique_ptr<Worker>& worker : aFleet.All()) {
    const Obstacle obstacle = FindUnavailability(*worker, aNow);
    if (obstacle != Obstacle::Avoided && obstacle != Obstacle::Slow) {
      continue;
    }
    penalized.m_all.push_back(worker.get());
    if (obstacle == Obstacle::Slow || aNow - worker->m_lastFailureAt >= kMinTimeAfterFailure) {
      penalized.m_withoutRecentFailure.push_back(worker.get());
    }
  }
  return penalized;
}

} // namespace egretturn
