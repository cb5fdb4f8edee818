#include "egretturn/Placement/Placer.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>

namespace egretturn {

static constexpr EnumTable<PlacementReason, 5> kReasonNames{ {
  { PlacementReason::Chosen, "chosen" },
  { PlacementReason::NoCapacity, "no_room" },
  { PlacementReason::SlowdownAboveLimit, "too_slow" },
  { PlacementReason::NoUsableWorker, "none_usable" },
  { PlacementReason::NeverFits, "never_fits" },
} };

static constexpr double kHoldLimitForTail = 1.08;   // hold limit at tail weight 1
static constexpr double kHoldLimitForBatch = 1.30;  // hold limit at tail weight 0
static constexpr double kThrottleStep = 0.12;       // throttle limit above the hold limit
static constexpr double kEvictStep = 0.35;          // evict limit above the throttle limit
static constexpr double kBatchPreferredCost = 2;    // exceeds the scores of all other workers
static constexpr uint32_t kMaxUnknownPerWorker = 1; // tasks of an unknown pair on one worker

std::string_view
NameOf(PlacementReason aReason)
{
  return NameIn(kReasonNames, aReason);
}

SlowdownLimits
SlowdownLimitsFor(double aTailWeight)
{
  SlowdownLimits limits;
  limits.m_hold = kHoldLimitForBatch + aTailWeight * (kHoldLimitForTail - kHoldLimitForBatch);
  limits.m_throttle = limits.m_hold + kThrottleStep;
  limits.m_evict = limits.m_throttle + kEvictStep;
  return limits;
}

Placer::Placer(const InterferenceModel& aModel, PlacementMode aMode, double aTailWeight)
  : m_model(aModel)
  , m_mode(aMode)
  , m_tailWeight(aTailWeight)
  , m_limits(SlowdownLimitsFor(aTailWeight))
{
}

double
Placer::PredictedSlowdown(const std::string& aKind, const WorkerView& aView, double aLimit) const
{
  double worst = 1;
  for (const ServiceLoad& load : aView.m_services) {
    const double predicted = m_model.PredictSlowdown(load.m_service, load.m_band, *aView.m_mix) +
                             m_model.AddedSlowdown(load.m_service, load.m_band, aKind);
    worst = std::max(worst, predicted);
    const TaskMix::const_iterator it = aView.m_mix->find(aKind);
    const uint32_t running = it == aView.m_mix->end() ? 0 : it->second;
    if (!m_model.HasEnoughSamples(load.m_service, aKind) && running >= kMaxUnknownPerWorker) {
      worst = std::max(worst, aLimit + 1); // one at a time until the effect of the kind is known
    }
  }
  return worst;
}

double
Placer::Score(const Resources& aSize, const WorkerView& aView, double aSlowdown) const
{
  const Resources remaining = aView.m_free - aSize;
  const auto share = [](int64_t aLeft, int64_t aWhole) {
    return aWhole > 0 ? static_cast<double>(aLeft) / static_cast<double>(aWhole) : 0.0;
  };
  // Packing leaves whole workers free. Even use of processors and memory strands neither.
  const double processors = share(remaining.m_milliCores, aView.m_size.m_milliCores);
  const double memory = share(remaining.m_memoryMb, aView.m_size.m_memoryMb);
  const double packing = 0.5 * (processors + memory) + std::abs(processors - memory);
  // Workers reserved for noisy work are left to tasks that may not run elsewhere.
  const double reservedCost = aView.m_noiseTolerant ? kBatchPreferredCost : 0;
  return reservedCost + (1 - m_tailWeight) * packing + (0.2 + m_tailWeight) * (aSlowdown - 1) * 4;
}

PlacementChoice
Placer::Choose(const std::string& aKind,
               const Resources& aSize,
               const std::vector<WorkerView>& aViews,
               uint64_t aRandom,
               double aSlack) const
{
  const double limit = m_limits.m_hold + aSlack;
  PlacementChoice choice;
  bool fitsAnyWorker = false;
  bool anyUsable = false;
  bool anyCapacity = false;
  bool found = false;
  for (size_t i = 0; i < aViews.size(); ++i) {
    const size_t index = (i + aRandom) % aViews.size();
    const WorkerView& view = aViews[index];
    fitsAnyWorker = fitsAnyWorker || aSize.FitsIn(view.m_size);
    if (!view.m_usable) {
      continue;
    }
    anyUsable = true;
    if (!aSize.FitsIn(view.m_free)) {
      continue;
    }
    anyCapacity = true;
    const bool checkInterference = m_mode == PlacementMode::Full && !view.m_noiseTolerant;
    const double slowdown = checkInterference ? PredictedSlowdown(aKind, view, limit) : 1;
    if (checkInterference && slowdown > limit) {
      continue;
    }
    ++choice.m_considered;
    const double score =
      m_mode == PlacementMode::Random ? static_cast<double>(i) : Score(aSize, view, slowdown);
    if (!found || score < choice.m_score) {
      choice.m_nextScore = found ? choice.m_score : score;
      choice.m_score = score;
      choice.m_index = index;
      found = true;
    }
  }
  if (found) {
    choice.m_reason = PlacementReason::Chosen;
  } else if (!fitsAnyWorker) {
    choice.m_reason = PlacementReason::NeverFits;
  } else if (!anyUsable) {
    choice.m_reason = PlacementReason::NoUsableWorker;
  } else {
    choice.m_reason =
      anyCapacity ? PlacementReason::SlowdownAboveLimit : PlacementReason::NoCapacity;
  }
  return choice;
}

} // namespace egretturn
