#include "egretturn/Placement/Placer.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>

namespace egretturn {

static constexpr EnumTable<PlacementReason, 5> kReasonNames{ {
  { PlacementReason::Chosen, "chosen" },
  { PlacementReason::NoCapacity, "no_room" },
  { PlacementReason::TooSlow, "too_slow" },
  { PlacementReason::NoneUsable, "none_usable" },
  { PlacementReason::NeverFits, "never_fits" },
} };

static constexpr double kHoldAtTail = 1.08;   // limits at weight 1 ...
static constexpr double kHoldAtBatch = 1.30;  // ... and at weight 0
static constexpr double kThrottleStep = 0.12; // above the limit before
static constexpr double kEvictStep = 0.35;
static constexpr double kSpareCost = 2;          // against the other scores, which stay below it
static constexpr uint32_t kUnknownPerWorker = 1; // tasks of a pair not seen yet, on one worker

std::string_view
NameOf(PlacementReason aReason)
{
  return NameIn(kReasonNames, aReason);
}

SlowdownLimits
SlowdownLimitsFor(double aTailWeight)
{
  SlowdownLimits limits;
  limits.m_hold = kHoldAtBatch + aTailWeight * (kHoldAtTail - kHoldAtBatch);
  limits.m_throttle = limits.m_hold + kThrottleStep;
  limits.m_evict = limits.m_throttle + kEvictStep;
  return limits;
}

Placer::Placer(const InterferenceModel& aModel, PlacementMode aRule, double aTailWeight)
  : m_model(aModel)
  , m_rule(aRule)
  , m_tailWeight(aTailWeight)
  , m_limits(SlowdownLimitsFor(aTailWeight))
{
}

double
Placer::PredictedSlowdown(const std::string& aKind, const WorkerView& aView, double aLimit) const
{
  double worst = 1;
  for (const ServiceLoad& load : aView.m_services) {
    const double with = m_model.PredictSlowdown(load.m_service, load.m_band, *aView.m_mix) +
                        m_model.AddedSlowdown(load.m_service, load.m_band, aKind);
    worst = std::max(worst, with);
    const TaskMix::const_iterator it = aView.m_mix->find(aKind);
    const uint32_t same = it == aView.m_mix->end() ? 0 : it->second;
    if (!m_model.Known(load.m_service, aKind) && same >= kUnknownPerWorker) {
      worst = std::max(worst, aLimit + 1); // one at a time until its effect was measured
    }
  }
  return worst;
}

double
Placer::Score(const Resources& aSize, const WorkerView& aView, double aSlowdown) const
{
  const Resources after = aView.m_free - aSize;
  const auto share = [](int64_t aLeft, int64_t aWhole) {
    return aWhole > 0 ? static_cast<double>(aLeft) / static_cast<double>(aWhole) : 0.0;
  };
  // Packing leaves whole workers free; an even use of both amounts strands neither.
  const double processors = share(after.m_milliCores, aView.m_size.m_milliCores);
  const double memory = share(after.m_memoryMb, aView.m_size.m_memoryMb);
  const double packing = 0.5 * (processors + memory) + std::abs(processors - memory);
  // Spare workers are for what may not go elsewhere.
  const double spare = aView.m_batchPreferred ? kSpareCost : 0;
  return spare + (1 - m_tailWeight) * packing + (0.2 + m_tailWeight) * (aSlowdown - 1) * 4;
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
  bool fitsEmpty = false;
  bool anyUsable = false;
  bool anyRoom = false;
  bool found = false;
  for (size_t i = 0; i < aViews.size(); ++i) {
    const size_t index = (i + aRandom) % aViews.size();
    const WorkerView& view = aViews[index];
    fitsEmpty = fitsEmpty || aSize.FitsIn(view.m_size);
    if (!view.m_usable) {
      continue;
    }
    anyUsable = true;
    if (!aSize.FitsIn(view.m_free)) {
      continue;
    }
    anyRoom = true;
    const bool full = m_rule == PlacementMode::Full && !view.m_batchPreferred;
    const double slowdown = full ? PredictedSlowdown(aKind, view, limit) : 1;
    if (full && slowdown > limit) {
      continue;
    }
    ++choice.m_considered;
    const double score =
      m_rule == PlacementMode::Random ? static_cast<double>(i) : Score(aSize, view, slowdown);
    if (!found || score < choice.m_score) {
      choice.m_nextScore = found ? choice.m_score : score;
      choice.m_score = score;
      choice.m_index = index;
      found = true;
    }
  }
  if (found) {
    choice.m_reason = PlacementReason::Chosen;
  } else if (!fitsEmpty) {
    choice.m_reason = PlacementReason::NeverFits;
  } else if (!anyUsable) {
    choice.m_reason = PlacementReason::NoneUsable;
  } else {
    choice.m_reason = anyRoom ? PlacementReason::TooSlow : PlacementReason::NoCapacity;
  }
  return choice;
}

} // namespace egretturn
