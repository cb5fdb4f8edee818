// Detects slow workers and stalled attempts by the progress of attempts.
//
// A worker may respond and report healthy attempts that barely progress, for example on a machine
// that runs several times slower for seconds, or when its tasks hang.
#pragma once

#include "egretturn/Support/Time.h"

#include <vector>

namespace egretturn {

/// The progress of an attempt that is not throttled.
struct AttemptProgress
{
  Duration m_elapsed{};
  Duration m_expected{}; ///< For the whole attempt.
  int m_percent = 0;
};

/// Returns whether an attempt has run for long enough to judge its speed. Thread-safe.
bool CanJudgeSlowness(const AttemptProgress& aProgress);

/// Returns how many times longer than expected an attempt takes, extrapolated from its progress.
/// \pre CanJudgeSlowness(), or the attempt is done. Thread-safe.
double SlownessOf(const AttemptProgress& aProgress);

/// Tracks the slowness of attempts on healthy workers, because expected durations may be off for
/// all of them. Not thread-safe.
class SlownessModel
{
public:
  /// Adds the slowness of a completed attempt.
  void Add(double aSlowness);

  /// Returns whether a worker whose attempts have \p aSlownesses is slow. At least two attempts
  /// must be slow.
  bool IsSlow(const std::vector<double>& aSlownesses) const;

private:
  double m_logMean = 0;
};

} // namespace egretturn
