// How much batch kinds slow a service down, learnt for each pair and load band.
#pragma once

#include "egretturn/Support/Time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace egretturn {

/// Tasks of each kind that run on a worker.
using TaskMix = std::map<std::string, uint32_t>;

/// The mixes that a worker ran of late, so that a lagging report is charged to what ran when it was
/// measured. Not thread-safe.
class MixHistory
{
public:
  void Add(const std::string& aKind, Instant aNow);
  void Remove(const std::string& aKind, Instant aNow);

  /// The mix at \p aWhen, or the oldest that is kept.
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

/// Slowdown that one task of a kind causes to a service, as a share of its latency alone.
/// Not thread-safe.
class InterferenceModel
{
public:
  static constexpr size_t kBands = 4; ///< Of the service's load, from idle to full.

  /// The band of a load between 0 and 1.
  static size_t BandOf(double aLoad);

  /// Learns that the service took \p aSlowdown times its latency alone while \p aMix ran.
  void Observe(const std::string& aService, size_t aBand, const TaskMix& aMix, double aSlowdown);

  /// Slowdown of the service beside \p aMix; 1 is none.
  double PredictSlowdown(const std::string& aService, size_t aBand, const TaskMix& aMix) const;

  /// Slowdown added by one more task of \p aKind.
  double AddedSlowdown(const std::string& aService, size_t aBand, const std::string& aKind) const;

  /// Moves what was learnt a little towards the prior, so that a wrong lesson does not last when
  /// nothing is placed that could correct it. Call once a second.
  void DecayTowardsPrior();

  /// Whether enough was seen of the pair to trust AddedSlowdown().
  bool Known(const std::string& aService, const std::string& aKind) const;

private:
  struct Pair
  {
    std::array<double, kBands> m_added;
    std::array<uint32_t, kBands> m_samples{};
  };
  using PairKey = std::pair<std::string, std::string>;
  const Pair* Find(const std::string& aService, const std::string& aKind) const;

  std::map<PairKey, Pair> m_pairs;
};

} // namespace egretturn
