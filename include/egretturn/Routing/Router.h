// Chooses the worker for a request of one service: two random choices by load and latency.
#pragma once

#include "egretturn/Config/Model.h"
#include "egretturn/Support/Random.h"
#include "egretturn/Support/Time.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace egretturn {

/// A worker that answers requests, as its owner sees it.
struct Target
{
  WorkerId m_worker = 0;
  std::string m_address;
  std::string m_rack;
  uint32_t m_outstanding = 0;
  uint32_t m_otherOutstanding = 0; ///< Slots that others were seen to use.
  double m_meanUs = 0;             ///< Moving mean latency; zero without samples.
  double m_tailUs = 0;             ///< Moving 95th percentile.
  double m_failureRate = 0;        ///< Moving share of failures.
  uint32_t m_samples = 0;
  Instant m_sampledAt{};
  bool m_batchPreferred = false; ///< Left to noisy batch work; asked only when no other has a slot.
  Instant m_ejectedUntil{};
  uint32_t m_ejections = 0;
};

/// How alternatives are chosen; the baselines are for measurements.
enum class RoutingRule
{
  TwoChoices,
  Random,
  LeastOutstanding,
};

/// What was chosen and against what, for the log line.
struct RouteChoice
{
  size_t m_target = 0;
  double m_score = 0;
  double m_alternativeScore = 0; ///< Of the alternative; zero without one.
  WorkerId m_alternative = 0;
};

/// Targets of one service at one owner. Not thread-safe.
class Router
{
public:
  explicit Router(RoutingRule aRule = RoutingRule::TwoChoices)
    : m_rule(aRule)
  {
  }

  /// Limits and weights from the configuration.
  void Configure(uint32_t aSlots, double aTailWeight, double aEjectShare);

  /// Replaces the targets, keeping what is known of those that stay.
  void SetTargets(const std::vector<Target>& aTargets);

  /// Chooses a target with a free slot other than \p aAvoid. Nothing when there is none.
  std::optional<RouteChoice> Choose(Random& aRandom, Instant aNow, WorkerId aAvoid = 0) const;

  /// Takes a slot of \p aTarget. \pre The target was chosen at this instant.
  void AcquireSlot(size_t aTarget);

  /// Frees a slot of \p aWorker and learns from the answer. Unknown workers are ignored.
  void RecordResponse(WorkerId aWorker, Duration aLatency, bool aFailed, Instant aNow);

  /// Marks whether \p aWorker is left to noisy batch work.
  void SetBatchPreferred(WorkerId aWorker, bool aSpare);

  /// Frees a slot of \p aWorker without learning.
  void ReleaseSlot(WorkerId aWorker);

  /// Takes note of the slots that \p aWorker reports as busy.
  void ObserveBusySlots(WorkerId aWorker, uint32_t aBusy);

  /// Whether a hedge would be useful after this time: the 95th percentile of all targets.
  Duration HedgeDelay() const;

  uint32_t FreeSlots(Instant aNow) const;
  double MeanUs() const { return m_meanUs; }
  uint32_t TotalSlots() const { return static_cast<uint32_t>(m_targets.size()) * m_slots; }
  const std::vector<Target>& Targets() const { return m_targets; }

  /// The target at \p aWorker, or null.
  const Target* Find(WorkerId aWorker) const;

private:
  bool IsUsable(const Target& aTarget, Instant aNow, WorkerId aAvoid) const;
  double Score(const Target& aTarget) const;
  std::optional<size_t> PickUsable(Random& aRandom, Instant aNow, WorkerId aAvoid) const;
  void Learn(Target& aTarget, Duration aLatency, bool aFailed, Instant aNow);
  bool MayEject(Instant aNow) const;

  RoutingRule m_rule;
  uint32_t m_slots = 8;
  double m_tailWeight = 0.5;
  double m_ejectShare = 0.3;
  std::vector<Target> m_targets;
  std::unordered_map<WorkerId, size_t> m_index;
  uint32_t m_totalOutstanding = 0;
  double m_meanUs = 0;
  double m_tailUs = 0;
};

} // namespace egretturn
