#include "egretturn/Scheduler/Packing.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>
#include <limits>

namespace egretturn {

static constexpr EnumTable<Obstacle, kObstacles> kObstacleNames{ {
  { Obstacle::None, "none" },
  { Obstacle::Unlisted, "unlisted" },
  { Obstacle::Draining, "draining" },
  { Obstacle::NotLooked, "not_looked" },
  { Obstacle::OutOfContact, "out_of_contact" },
  { Obstacle::Unrecorded, "unrecorded" },
  { Obstacle::Avoided, "avoided" },
  { Obstacle::Slow, "slow" },
  { Obstacle::OtherService, "other_service" },
  { Obstacle::Label, "label" },
  { Obstacle::Spread, "spread" },
  { Obstacle::Memory, "memory" },
  { Obstacle::Processors, "processors" },
  { Obstacle::Pressed, "pressed" },
  { Obstacle::OnTrial, "on_trial" },
  { Obstacle::WouldPress, "would_press" },
} };

std::string_view
NameOf(Obstacle aObstacle)
{
  return NameIn(kObstacleNames, aObstacle);
}

// The share of their reservation that lasting tasks use on average.
static constexpr double kLastingUse = 0.45;

// A task that fills starts only where it gets at least this share of its demand.
static constexpr double kLeastFillShare = 0.6;

// Utilization kept free below the target of a serving task, for estimates that are off.
static constexpr double kHeadroom = 0.02;

// Below this a pair's weight is harmless: even a whole worker of the image leaves a serving task
// under its target at most times.
static constexpr double kHarmlessWeight = 0.6;

// A large task starts also where it has to be paced, but to no less than this.
static constexpr double kLeastPace = 0.5;

static constexpr double kLeastWeight = 0.001; // less is not told apart

// Weights of the score, in thousandths of a core.
static constexpr double kLocalityBonus = 64000.0;
static constexpr double kHarmlessBonus = 24000.0;
static constexpr double kPressingPenalty = 24000.0;
static constexpr double kPacePenalty = 40000.0;         // for a task that may hardly work
static constexpr double kUnlikePenalty = 200000.0;      // serving tasks of unlike images
static constexpr double kEmptyWorkerPenalty = 400000.0; // while few are left
static constexpr double kAvoidPenalty = 1000000.0;
static constexpr double kFillWeight = 0.5; // a neighbour that fills disturbs by half its demand

Obstacle
FindUnavailability(const Worker& aWorker, Instant aNow)
{
  if (!aWorker.m_listed) {
    return Obstacle::Unlisted;
  }
  if (aWorker.m_report.m_draining) {
    return Obstacle::Draining;
  }
  if (!aWorker.m_looked) {
    return Obstacle::NotLooked;
  }
  if (aWorker.m_failedLooks > 0) {
    return Obstacle::OutOfContact;
  }
  if (aWorker.m_record != RecordState::Durable) {
    return Obstacle::Unrecorded;
  }
  if (aWorker.m_avoidUntil > aNow) {
    return Obstacle::Avoided;
  }
  return aWorker.m_slowUntil > aNow ? Obstacle::Slow : Obstacle::None;
}

bool
TakesWork(const Worker& aWorker, Instant aNow)
{
  return FindUnavailability(aWorker, aNow) == Obstacle::None;
}

/// Processor time that tasks that fill can still get on \p aWorker.
static double
SpareForFill(const Worker& aWorker)
{
  const double idle = (1.0 - kLastingUse) * static_cast<double>(aWorker.m_lastingCpu);
  return static_cast<double>(aWorker.m_report.m_capacity.m_cpuMilli - aWorker.m_used.m_cpuMilli -
                             aWorker.m_fillCpu) +
         idle;
}

/// Whether tasks of \p aImage are known to leave all serving tasks on \p aWorker in peace.
static bool
IsHarmless(const Worker& aWorker, const PressureModel& aPressure, ImageId aImage)
{
  return std::all_of(
    aWorker.m_serving.begin(), aWorker.m_serving.end(), [&](const ServingGroup& aServing) {
      return aPressure.IsKnown(aServing.m_image, aImage) &&
             aPressure.Weight(aServing.m_image, aImage) < kHarmlessWeight;
    });
}

/// Whether something fills on \p aWorker whose effect on \p aServing is not known yet.
static bool
IsOnTrial(const Worker& aWorker, const PressureModel& aPressure, ImageId aServing)
{
  return std::any_of(
    aWorker.m_filling.begin(), aWorker.m_filling.end(), [&](const FillGroup& aGroup) {
      return !aPressure.IsKnown(aServing, aGroup.m_image);
    });
}

/// What the other images that fill on \p aWorker add to the utilization of \p aServing.
static double
PressureOfOthers(const Worker& aWorker,
                 const PressureModel& aPressure,
                 ImageId aServing,
                 ImageId aImage)
{
  const double capacity = static_cast<double>(aWorker.m_report.m_capacity.m_cpuMilli);
  double added = 0;
  for (const FillGroup& group : aWorker.m_filling) {
    if (group.m_image != aImage) {
      const double cpu = static_cast<double>(group.m_cpu) * group.m_pace / 100.0;
      added += aPressure.Weight(aServing, group.m_image) * cpu / capacity;
    }
  }
  return added;
}

/// The processor demand of the runs of \p aImage that fill on \p aWorker.
static int64_t
FillDemandOf(const Worker& aWorker, ImageId aImage)
{
  for (const FillGroup& group : aWorker.m_filling) {
    if (group.m_image == aImage) {
      return group.m_cpu;
    }
  }
  return 0;
}

/// The thousandths of a core that tasks of \p aImage may use on \p aWorker in all, so that serving
/// tasks there stay under their targets.
static double
AllowedCpu(const Worker& aWorker, const PressureModel& aPressure, ImageId aImage)
{
  const double capacity = static_cast<double>(aWorker.m_report.m_capacity.m_cpuMilli);
  double allowed = std::numeric_limits<double>::max();
  for (const ServingGroup& serving : aWorker.m_serving) {
    const double weight = aPressure.Weight(serving.m_image, aImage);
    if (aPressure.IsKnown(serving.m_image, aImage) && weight < kHarmlessWeight) {
      continue;
    }
    const double others = PressureOfOthers(aWorker, aPressure, serving.m_image, aImage);
    const double room =
      aPressure.TargetUtilization(serving.m_image) - kHeadroom - serving.m_ownLoad - others;
    allowed = std::min(allowed, room * capacity / std::max(weight, kLeastWeight));
  }
  return std::max(0.0, allowed);
}

double
AllowedPace(const Worker& aWorker, const PressureModel& aPressure, ImageId aImage, int64_t aAdded)
{
  const double demand = static_cast<double>(FillDemandOf(aWorker, aImage) + aAdded);
  return std::min(1.0, AllowedCpu(aWorker, aPressure, aImage) / std::max(demand, 1.0));
}

/// The thousandths of a core that must be allowed to a task of \p aRequest for it to start. One
/// that asks for more than usual may start wherever a usual one could, paced so that it presses no
/// more.
static double
NeededCpu(const PlacementRequest& aRequest)
{
  const double demand = static_cast<double>(aRequest.m_step->m_demand.m_cpuMilli);
  if (aRequest.m_typicalCpu <= 0) {
    return demand;
  }
  return std::max(std::min(demand, aRequest.m_typicalCpu), kLeastPace * demand);
}

/// What keeps one more task of \p aRequest from filling beside the serving tasks of \p aWorker.
static Obstacle
FindPressure(const Worker& aWorker, const PlacementRequest& aRequest)
{
  if (aWorker.m_pressed) {
    return Obstacle::Pressed;
  }
  if (!aRequest.m_pressure) {
    return Obstacle::None;
  }
  const PressureModel& pressure = *aRequest.m_pressure;
  for (const ServingGroup& serving : aWorker.m_serving) {
    const bool known = pressure.IsKnown(serving.m_image, aRequest.m_image);
    if (!known && IsOnTrial(aWorker, pressure, serving.m_image)) {
      return Obstacle::OnTrial; // one at a time, so that the tail tells which of them presses
    }
  }
  const double allowed = AllowedCpu(aWorker, pressure, aRequest.m_image) -
                         static_cast<double>(FillDemandOf(aWorker, aRequest.m_image));
  return allowed < NeededCpu(aRequest) ? Obstacle::WouldPress : Obstacle::None;
}

static bool
HasProcessors(const Worker& aWorker, const GraphStep& aStep)
{
  const int64_t demand = aStep.m_demand.m_cpuMilli;
  if (aStep.m_bestEffort) {
    return SpareForFill(aWorker) >= kLeastFillShare * static_cast<double>(demand);
  }
  return aWorker.m_used.m_cpuMilli + demand <= aWorker.m_report.m_capacity.m_cpuMilli;
}

static bool
HasLabel(const Worker& aWorker, const std::string& aLabel)
{
  const std::vector<std::string>& labels = aWorker.m_report.m_labels;
  return aLabel.empty() || std::find(labels.begin(), labels.end(), aLabel) != labels.end();
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
    return Obstacle::Label;
  }
  if (step.m_maxPerWorker > 0 && CountSiblings(aWorker, aRequest) >= step.m_maxPerWorker) {
    return Obstacle::Spread;
  }
  return step.m_bestEffort ? FindPressure(aWorker, aRequest) : Obstacle::None;
}

bool
RulesOut(const PlacementRequest& aFailed, const PlacementRequest& aRequest)
{
  const GraphStep& failed = *aFailed.m_step;
  const GraphStep& step = *aRequest.m_step;
  if (failed.m_gang || failed.m_maxPerWorker > 0 || !failed.m_label.empty()) {
    return false; // it may have failed for a wish that the other does not have
  }
  if (failed.m_bestEffort != step.m_bestEffort || *aFailed.m_service != *aRequest.m_service) {
    return false;
  }
  const bool samePressure =
    aFailed.m_image == aRequest.m_image && aFailed.m_pressure == aRequest.m_pressure;
  if (step.m_bestEffort && (!samePressure || NeededCpu(aFailed) > NeededCpu(aRequest))) {
    return false;
  }
  return failed.m_demand.m_cpuMilli <= step.m_demand.m_cpuMilli &&
         failed.m_demand.m_memoryMb <= step.m_demand.m_memoryMb &&
         failed.m_demand.m_accelerators <= step.m_demand.m_accelerators;
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

/// How unlike \p aImage the serving images on \p aWorker are, added up. Unlike images leave
/// little that can fill beside them.
static double
SumUnlikeness(const Worker& aWorker, const PlacementRequest& aRequest)
{
  double sum = 0;
  for (const ServingGroup& group : aWorker.m_serving) {
    const bool other = group.m_image != aRequest.m_image;
    sum += !other                ? 0
           : aRequest.m_pressure ? aRequest.m_pressure->Unlikeness(group.m_image, aRequest.m_image)
                                 : 1;
  }
  return sum;
}

static double
Score(const Worker& aWorker, const PlacementRequest& aRequest)
{
  const GraphStep& step = *aRequest.m_step;
  double score =
    step.m_bestEffort
      ? SpareForFill(aWorker)
      : static_cast<double>(aWorker.m_report.m_capacity.m_cpuMilli - aWorker.m_used.m_cpuMilli) -
          kFillWeight * static_cast<double>(aWorker.m_fillCpu);
  if (step.m_bestEffort && !aWorker.m_serving.empty()) {
    // Workers without serving tasks are left to what presses them everywhere.
    const bool harmless =
      aRequest.m_pressure && IsHarmless(aWorker, *aRequest.m_pressure, aRequest.m_image);
    score += harmless ? kHarmlessBonus : -kPressingPenalty;
    const double pace =
      harmless || !aRequest.m_pressure
        ? 1.0
        : AllowedPace(aWorker, *aRequest.m_pressure, aRequest.m_image, step.m_demand.m_cpuMilli);
    score -= kPacePenalty * (1.0 - pace);
  }
  if (step.m_longRunning) {
    score = -score; // packed together, serving tasks leave whole workers to others
  }
  if (step.m_targetMs > 0) {
    score -= kUnlikePenalty * SumUnlikeness(aWorker, aRequest);
    score -= aRequest.m_fewEmptyWorkers && aWorker.m_serving.empty() ? kEmptyWorkerPenalty : 0;
  }
  const std::string& rack = aWorker.m_report.m_rack;
  if (!step.m_dataRack.empty() && step.m_dataRack == rack) {
    score += kLocalityBonus;
  }
  if (step.m_sameRack && aRequest.m_siblings && !aRequest.m_siblings->empty() &&
      aRequest.m_siblings->front()->m_report.m_rack == rack) {
    score += kLocalityBonus;
  }
  return &aWorker == aRequest.m_avoid ? score - kAvoidPenalty : score;
}

Worker*
ChooseWorker(Fleet& aFleet, const PlacementRequest& aRequest, Instant aNow)
{
  Worker* best = nullptr;
  double bestScore = 0;
  for (const std::unique_ptr<Worker>& worker : aFleet.All()) {
    if (!TakesWork(*worker, aNow) || FindObstacle(*worker, aRequest) != Obstacle::None) {
      continue;
    }
    const double score = Score(*worker, aRequest);
    if (!best || score > bestScore) {
      best = worker.get();
      bestScore = score;
    }
  }
  return best;
}

} // namespace egretturn
