#include "egretturn/Scheduler/Packing.h"

#include <algorithm>

namespace egretturn {

// The share of their reservation that lasting tasks use on average.
static constexpr double kLastingUse = 0.6;

// The share of a worker's processors that lasting tasks leave to short ones.
static constexpr double kShortTaskReserve = 0.0;

// A task that fills starts only where it gets at least this share of its demand.
static constexpr double kLeastFillShare = 0.6;

// Utilization kept free below the target of a serving task, for estimates that are off.
static constexpr double kHeadroom = 0.02;

// What adds less than this to a serving task's utilization is not held to press it.
static constexpr double kNegligible = 0.06;

// Weights of the score, in thousandths of a core.
static constexpr double kLocalityBonus = 64000.0;
static constexpr double kHarmlessBonus = 24000.0;
static constexpr double kPressingPenalty = 24000.0;
static constexpr double kSameImageBonus = 100000.0;     // serving tasks of one image share a worker
static constexpr double kEmptyWorkerPenalty = 400000.0; // while few are left
static constexpr double kAvoidPenalty = 1000000.0;
static constexpr double kFillWeight = 0.5; // a neighbour that fills disturbs by half its demand

bool
TakesWork(const Worker& aWorker, Instant aNow)
{
  return aWorker.m_looked && aWorker.m_listed && aWorker.m_record == RecordState::Durable &&
         !aWorker.m_report.m_draining && aWorker.m_failedLooks == 0 && aWorker.m_avoidUntil <= aNow;
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

/// The most that one task of \p aRequest adds to the utilization of a serving task.
static double
AddedByOne(const Worker& aWorker, const PlacementRequest& aRequest)
{
  const double share = static_cast<double>(aRequest.m_step->m_demand.m_cpuMilli) /
                       static_cast<double>(aWorker.m_report.m_capacity.m_cpuMilli);
  double added = 0;
  for (const ServingGroup& serving : aWorker.m_serving) {
    if (aRequest.m_pressure) {
      added =
        std::max(added, share * aRequest.m_pressure->Weight(serving.m_image, aRequest.m_image));
    }
  }
  return added;
}

/// Whether one more task of \p aRequest would press a serving task on \p aWorker too hard.
static bool
WouldPress(const Worker& aWorker, const PlacementRequest& aRequest)
{
  if (!aRequest.m_pressure || aWorker.m_serving.empty()) {
    return false;
  }
  const double capacity = static_cast<double>(aWorker.m_report.m_capacity.m_cpuMilli);
  const double share = static_cast<double>(aRequest.m_step->m_demand.m_cpuMilli) / capacity;
  for (const ServingGroup& serving : aWorker.m_serving) {
    const double weight = aRequest.m_pressure->Weight(serving.m_image, aRequest.m_image);
    double added = weight * share;
    if (added < kNegligible) {
      continue;
    }
    for (const FillGroup& group : aWorker.m_filling) {
      added += aRequest.m_pressure->Weight(serving.m_image, group.m_image) *
               static_cast<double>(group.m_cpu) / capacity;
    }
    const double limit = aRequest.m_pressure->TargetUtilization(serving.m_image) - kHeadroom;
    if (serving.m_ownLoad + added > limit) {
      return true;
    }
  }
  return false;
}

static bool
FitsProcessors(const Worker& aWorker, const PlacementRequest& aRequest)
{
  const GraphStep& step = *aRequest.m_step;
  const int64_t demand = step.m_demand.m_cpuMilli;
  if (step.m_fills) {
    return !WouldPress(aWorker, aRequest) &&
           SpareForFill(aWorker) >= kLeastFillShare * static_cast<double>(demand);
  }
  int64_t capacity = aWorker.m_report.m_capacity.m_cpuMilli;
  if (step.m_lasting && !aRequest.m_mayUseReserve) {
    capacity -= static_cast<int64_t>(kShortTaskReserve * static_cast<double>(capacity));
  }
  return aWorker.m_used.m_cpuMilli + demand <= capacity;
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

bool
Fits(const Worker& aWorker, const PlacementRequest& aRequest)
{
  const GraphStep& step = *aRequest.m_step;
  const Demand& demand = step.m_demand;
  const Demand& capacity = aWorker.m_report.m_capacity;
  if (aWorker.m_used.m_memoryMb + demand.m_memoryMb > capacity.m_memoryMb ||
      aWorker.m_used.m_accelerators + demand.m_accelerators > capacity.m_accelerators) {
    return false;
  }
  if (!FitsProcessors(aWorker, aRequest) || aWorker.m_report.m_service != *aRequest.m_service) {
    return false;
  }
  return HasLabel(aWorker, step.m_label) &&
         (step.m_maxPerWorker == 0 || CountSiblings(aWorker, aRequest) < step.m_maxPerWorker);
}

/// Serving images on \p aWorker other than \p aImage.
static double
CountOtherImages(const Worker& aWorker, ImageId aImage)
{
  return static_cast<double>(std::count_if(
    aWorker.m_serving.begin(), aWorker.m_serving.end(), [&](const ServingGroup& aGroup) {
      return aGroup.m_image != aImage;
    }));
}

static double
Score(const Worker& aWorker, const PlacementRequest& aRequest)
{
  const GraphStep& step = *aRequest.m_step;
  double score =
    step.m_fills
      ? SpareForFill(aWorker)
      : static_cast<double>(aWorker.m_report.m_capacity.m_cpuMilli - aWorker.m_used.m_cpuMilli) -
          kFillWeight * static_cast<double>(aWorker.m_fillCpu);
  if (step.m_fills && !aWorker.m_serving.empty()) {
    // Workers without serving tasks are left to what presses them everywhere.
    score += AddedByOne(aWorker, aRequest) < kNegligible ? kHarmlessBonus : -kPressingPenalty;
  }
  if (step.m_lasting) {
    score = -score; // packed together, serving tasks leave whole workers to others
  }
  if (step.m_targetMs > 0) {
    score -= kSameImageBonus * CountOtherImages(aWorker, aRequest.m_image);
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
    if (!TakesWork(*worker, aNow) || !Fits(*worker, aRequest)) {
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
