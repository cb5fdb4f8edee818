// Learns how much each batch kind slows down each service, per load band of the service.
#pragma once

#include "egretturn/Support/Time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace egretturn {

/// Number of running tasks of each kind on a worker.
using TaskMix = std::map<std::string, uint32_t>;

/// Keeps the recent task mixes of a worker, so that a delayed report is attributed to the mix that
/// ran at the time of the measurement. Not thread-safe.
class MixHistory
{
public:
  /// Adds a task of \p aKind to the mix from \p aNow on.
  void Add(const std::string& aKind, Instant aNow);

  /// Removes a task of \p aKind from the mix from \p aNow on.
  void Remove(const std::string& aKind, Instant aNow);

  /// Returns the mix at \p aWhen, or the oldest one that is kept.
  const TaskMix& MixAt(Instant aWhen) const;
  const TaskMix& CurrentMix() const { return m_mixes.back().m_mix; }

private:
  struct Entry
  {
    Instant m_since{};
    TaskMix m_mix;
  };
  void Push(TaskMix aMix, Instant aNow);

  std::deque<Entry> m_mixes{ 1 };
};

/// Estimates the slowdown that one task of a kind causes to a service, relative to the latency of
/// the service without batch tasks. Not thread-safe.
class InterferenceModel
{
public:
  static constexpr size_t kLoadBands = 4; ///< Bands of a service's load, from idle to full.

  /// Returns the band of \p aLoad, which is between 0 and 1.
  static size_t BandOf(double aLoad);

  /// Updates the estimates with the observation that, while \p aMix ran, the latency of the service
  /// was \p aSlowdown times its latency without batch tasks.
  void Observe(const std::string& aService, size_t aBand, const TaskMix& aMix, double aSlowdown);

  /// Returns the predicted slowdown of the service next to \p aMix; 1 means none.
  double PredictSlowdown(const std::string& aService, size_t aBand, const TaskMix& aMix) const;

  /// Returns the predicted slowdown that one more task of \p aKind adds.
  double AddedSlowdown(const std::string& aService, size_t aBand, const std::string& aKind) const;

  /// Moves the estimates slightly towards the prior, so that a wrong estimate does not persist when
  /// no placement produces observations that would correct it. Call this once per second.
  void DecayTowardsPrior();

  /// Returns whether the pair has enough observations to trust AddedSlowdown().
  bool HasEnoughSamples(const std::string& aService, const std::string& aKind) const;

private:
  struct Pair
  {
    std::array<double, kLoadBands> m_added;
    std::array<uint32_t, kLoadBands> m_samples{};
  };
  using PairKey = std::pair<std::string, std::string>;
  const Pair* Find(const std::string& aService, const std::string& aKind) const;

  std::map<PairKey, Pair> m_pairs;
};

} // namespace egretturn
