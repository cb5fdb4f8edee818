// Chooses the worker of a rack for a task. The task must fit; among the workers where it does,
// interference is weighed against packing.
#pragma once

#include "egretturn/Config/Model.h"
#include "egretturn/Placement/Interference.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egretturn {

/// A service on a worker and its load.
struct ServiceLoad
{
  std::string m_service;
  size_t m_band = 0; ///< Load band, see InterferenceModel::BandOf().
};

/// State of a worker that the placer considers.
struct WorkerView
{
  WorkerId m_worker = 0;
  Resources m_size;
  Resources m_free;
  const TaskMix* m_mix = nullptr; ///< Tasks that run on the worker now.
  std::vector<ServiceLoad> m_services;
  bool m_noiseTolerant = false; ///< Requests avoid the worker, so that noisy work may run on it.
  bool m_usable = true;         ///< Healthy, not draining and not on hold.
};

/// What placement takes into account. All modes but Full are baselines for benchmarks.
enum class PlacementMode
{
  Full,           ///< Fit, interference and packing.
  NoInterference, ///< Fit and packing only.
  Random,         ///< Fit only: any worker with enough free capacity.
};

/// Outcome of a placement decision.
enum class PlacementReason
{
  Chosen,
  NoCapacity,         ///< No usable worker has enough free capacity.
  SlowdownAboveLimit, ///< All workers with enough capacity would exceed the hold limit.
  NoUsableWorker,     ///< All workers are unhealthy, draining or on hold.
  NeverFits,          ///< The task is larger than every worker of the rack.
};

/// Returns the lower-case name of \p aReason.
std::string_view NameOf(PlacementReason aReason);

/// Outcome of a placement decision, with the chosen worker and the scores for the log.
struct PlacementChoice
{
  PlacementReason m_reason = PlacementReason::NoCapacity;
  size_t m_index = 0; ///< Index into the views; valid only if a worker was chosen.
  double m_score = 0;
  double m_nextScore = 0;  ///< Score of the best worker before the chosen one was found.
  size_t m_considered = 0; ///< Number of workers that were scored.
};

/// Slowdowns of a service at which the scheduler reacts, derived from the policy's tail weight.
struct SlowdownLimits
{
  double m_hold = 1.1; ///< No tasks are added above this predicted or observed slowdown.
  double m_throttle = 1.25;
  double m_evict = 1.5;
};

/// Returns the limits for \p aTailWeight, where 1 favours tail latency and 0 batch throughput.
/// Thread-safe.
SlowdownLimits SlowdownLimitsFor(double aTailWeight);

/// Chooses workers for tasks without changing any state. Thread-safe as long as the model and the
/// arguments do not change during a call.
class Placer
{
public:
  Placer(const InterferenceModel& aModel, PlacementMode aMode, double aTailWeight);

  /// Chooses one of \p aViews for a task of \p aKind that reserves \p aSize. \p aRandom selects
  /// the worker at which the search starts. \p aSlack raises the slowdown above which no task is
  /// added, so that no task waits forever.
  PlacementChoice Choose(const std::string& aKind,
                         const Resources& aSize,
                         const std::vector<WorkerView>& aViews,
                         uint64_t aRandom,
                         double aSlack = 0) const;

private:
  double PredictedSlowdown(const std::string& aKind, const WorkerView& aView, double aLimit) const;
  double Score(const Resources& aSize, const WorkerView& aView, double aSlowdown) const;

  const InterferenceModel& m_model;
  PlacementMode m_mode;
  double m_tailWeight;
  SlowdownLimits m_limits;
};

} // namespace egretturn
