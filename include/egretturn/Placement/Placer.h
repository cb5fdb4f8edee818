// Chooses the worker of a rack for a task: fit first, then interference against packing.
#pragma once

#include "egretturn/Config/Model.h"
#include "egretturn/Placement/Interference.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egretturn {

/// A service on a worker, as far as placement needs it.
struct ServiceLoad
{
  std::string m_service;
  size_t m_band = 0;
};

/// One worker as the placer sees it.
struct WorkerView
{
  WorkerId m_worker = 0;
  Resources m_size;
  Resources m_free;
  const TaskMix* m_mix = nullptr; ///< What runs there now.
  std::vector<ServiceLoad> m_services;
  bool m_batchPreferred = false; ///< Requests avoid it, so that noisy work may go there.
  bool m_usable = true;          ///< Healthy, not leaving, not held back.
};

enum class PlacementMode
{
  Full,           ///< Fit, interference and packing.
  NoInterference, ///< Fit and packing only.
  Random,         ///< Any worker with room.
};

/// Why no worker was chosen, or what decided.
enum class PlacementReason
{
  Chosen,
  NoCapacity, ///< Nothing has enough free.
  TooSlow,    ///< Workers with room would slow a service above the limit.
  NoneUsable, ///< All are unhealthy, leaving or held back.
  NeverFits,  ///< Larger than every worker of the rack.
};

/// Returns the lower-case name of \p aReason.
std::string_view NameOf(PlacementReason aReason);

struct PlacementChoice
{
  PlacementReason m_reason = PlacementReason::NoCapacity;
  size_t m_index = 0; ///< Into the views; only when chosen.
  double m_score = 0;
  double m_nextScore = 0; ///< Of the best alternative.
  size_t m_considered = 0;
};

/// Limits that follow from the policy's weight.
struct SlowdownLimits
{
  double m_hold = 1.1; ///< Stop adding above this predicted or observed slowdown.
  double m_throttle = 1.25;
  double m_evict = 1.5;
};

/// The limits for \p aTailWeight: 1 favours tail latency, 0 batch throughput. Thread-safe.
SlowdownLimits SlowdownLimitsFor(double aTailWeight);

/// Pure decisions; thread-safe on constant arguments.
class Placer
{
public:
  Placer(const InterferenceModel& aModel, PlacementMode aRule, double aTailWeight);

  /// Chooses among \p aViews for a task of \p aKind that reserves \p aSize. \p aSlack is added to
  /// the slowdown at which nothing is added, so that no task waits for ever.
  PlacementChoice Choose(const std::string& aKind,
                         const Resources& aSize,
                         const std::vector<WorkerView>& aViews,
                         uint64_t aRandom,
                         double aSlack = 0) const;

private:
  double PredictedSlowdown(const std::string& aKind, const WorkerView& aView, double aLimit) const;
  double Score(const Resources& aSize, const WorkerView& aView, double aSlowdown) const;

  const InterferenceModel& m_model;
  PlacementMode m_rule;
  double m_tailWeight;
  SlowdownLimits m_limits;
};

} // namespace egretturn
