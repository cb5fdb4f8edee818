// Bounds the work of one placement pass, however much waits: leases, polls and callers' requests
// are handled between passes.
#pragma once

#include <algorithm>
#include <cstddef>

namespace egretturn {

/// What a placement pass may still do. Not thread-safe.
class PassBudget
{
public:
  /// Takes the visit of one step of a waiting job. Returns false if no more may be visited.
  bool TakeVisit() { return Take(m_visits, 1); }

  /// Takes one step that is ready.
  bool TakeReadyStep() { return Take(m_readySteps, 1); }

  /// Takes the start of one task.
  bool TakeStart() { return Take(m_starts, 1); }

  /// Takes one step that fits nowhere. Each later step is compared with it.
  void TakeFailure() { Take(m_failures, 1); }

  /// Takes the comparison of a request with \p aWorkers workers, each of which is compared with
  /// \p aSiblings siblings.
  void TakeComparisons(size_t aWorkers, size_t aSiblings)
  {
    Take(m_comparisons, aWorkers * (1 + aSiblings / kSiblingsPerComparison));
  }

  /// Returns whether steps of more jobs may be collected.
  bool MayCollect() const { return m_visits > 0 && m_readySteps > 0; }

  /// Returns whether steps may be tried that go first whatever waits behind them. These get half of
  /// the comparisons.
  bool MayTryFirst() const { return MayTry() && m_comparisons > kMaxComparisons / 2; }

  /// Leaves half of the comparisons to the steps behind those that go first.
  void LeaveToOthers() { m_comparisons = std::max(m_comparisons, kMaxComparisons / 2); }

  /// Returns whether steps may be tried.
  bool MayTry() const { return m_starts > 0 && m_failures > 0 && m_comparisons > 0; }

private:
  static constexpr size_t kMaxVisits = 16384;
  static constexpr size_t kMaxReadySteps = 4096;
  static constexpr size_t kMaxStarts = 1024;
  static constexpr size_t kMaxFailures = 256;
  static constexpr size_t kMaxComparisons = 500000;
  static constexpr size_t kSiblingsPerComparison = 16; // they are quick to compare

  static bool Take(size_t& aLeft, size_t aAmount)
  {
    const bool enough = aLeft >= aAmount;
    aLeft -= std::min(aLeft, aAmount);
    return enough;
  }

  size_t m_visits = kMaxVisits;
  size_t m_readySteps = kMaxReadySteps;
  size_t m_starts = kMaxStarts;
  size_t m_failures = kMaxFailures;
  size_t m_comparisons = kMaxComparisons;
};

} // namespace egretturn
