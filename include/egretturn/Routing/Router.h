// Selects the worker for a request of a service: the better of two random choices by load and
// latency.
#pragma once

#include "egretturn/Config/Model.h"
#include "egretturn/Support/Random.h"
#include "egretturn/Support/Time.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace egretturn {

/// A worker that serves requests, with the load and latency that its owner observes.
struct Target
{
  WorkerId m_worker = 0;
  std::string m_address;
  std::string m_rack;
  uint32_t m_outstanding = 0;      ///< Requests in flight from this instance.
  uint32_t m_otherOutstanding = 0; ///< Busy slots that the worker reports beyond m_outstanding.
  double m_meanUs = 0;             ///< Moving average of the latency; zero without samples.
  double m_tailUs = 0;             ///< Moving estimate of the 95th percentile.
  double m_failureRate = 0;        ///< Moving average of the share of failures.
  uint32_t m_samples = 0;
  Instant m_sampledAt{};
  bool m_noiseTolerant = false; ///< Reserved for noisy batch work; requests use it last.
  Instant m_ejectedUntil{};
  uint32_t m_ejections = 0;
};

/// Selection algorithm. Random and LeastOutstanding are baselines for benchmarks.
enum class RoutingPolicy
{
  TwoChoices,
  Random,
  LeastOutstanding,
};

/// The selected target and the alternative that it was compared with, for the log.
struct RouteChoice
{
  size_t m_target = 0;
  double m_score = 0;
  double m_alternativeScore = 0; ///< Zero without an alternative.
  WorkerId m_alternative = 0;
};

/// Balances the requests that one instance sends to the targets of one service. Not thread-safe.
class Router
{
public:
  explicit Router(RoutingPolicy aRule = RoutingPolicy::TwoChoices)
    : m_rule(aRule)
  {
  }

  /// Sets the slots per target, the weight of the tail latency in the score, and the maximum share
  /// of targets that are ejected at the same time.
  void Configure(uint32_t aSlots, double aTailWeight, double aEjectShare);

  /// Replaces the targets. Those that remain keep their statistics.
  void SetTargets(const std::vector<Target>& aTargets);

  /// Chooses a target with a free slot other than \p aAvoid. Returns nothing if there is none.
  std::optional<RouteChoice> Choose(Random& aRandom, Instant aNow, WorkerId aAvoid = 0) const;

  /// Occupies a slot of the target with index \p aTarget.
  /// \pre Choose() just returned this index, and the targets have not changed since.
  void AcquireSlot(size_t aTarget);

  /// Releases a slot of \p aWorker and updates its statistics from the response. Unknown workers
  /// are ignored.
  void RecordResponse(WorkerId aWorker, Duration aLatency, bool aFailed, Instant aNow);

  /// Sets whether \p aWorker is reserved for noisy batch work, so that requests avoid it.
  void SetNoiseTolerant(WorkerId aWorker, bool aSpare);

  /// Releases a slot of \p aWorker without updating its statistics.
  void ReleaseSlot(WorkerId aWorker);

  /// Updates the load of \p aWorker from the number of busy slots that it reports.
  void ObserveBusySlots(WorkerId aWorker, uint32_t aBusy);

  /// Returns the time after which a hedge is useful: the 95th percentile of the latency over all
  /// targets.
  Duration HedgeDelay() const;

  uint32_t FreeSlots(Instant aNow) const;
  double MeanUs() const { return m_meanUs; }
  uint32_t TotalSlots() const { return static_cast<uint32_t>(m_targets.size()) * m_slots; }
  const std::vector<Target>& Targets() const { return m_targets; }

  /// Returns the target for \p aWorker, or null.
  const Target* Find(WorkerId aWorker) const;

private:
  bool IsUsable(const Target& aTarget, Instant aNow, WorkerId aAvoid) const;
  double Score(const Target& aTarget) const;
  std::optional<size_t> PickUsable(Random& aRandom, Instant aNow, WorkerId aAvoid) const;
  void UpdateStatistics(Target& aTarget, Duration aLatency, bool aFailed, Instant aNow);
  bool CanEject(Instant aNow) const;

  RoutingPolicy m_rule;
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
