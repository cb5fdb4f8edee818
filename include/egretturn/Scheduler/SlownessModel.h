// Tells workers that have turned slow, and runs that stand still, by how far their runs get.
//
// A worker may answer and list its runs in good health while they hardly move: the pattern is a
// machine that runs several times slower for seconds, or one whose tasks hang.
#pragma once

#include "egretturn/Support/Time.h"

#include <vector>

namespace egretturn {

/// How far a run has got without being paced.
struct RunProgress
{
  Duration m_elapsed{};
  Duration m_expected{}; ///< For the whole run.
  int m_percent = 0;
};

/// Whether a run has gone on for long enough to judge its pace. Thread-safe.
bool IsTelling(const RunProgress& aProgress);

/// How many times longer than expected a run takes, by how far it got. \pre IsTelling(), or the run
/// is done. Thread-safe.
double SlownessOf(const RunProgress& aProgress);

/// The slowness that runs on sound workers show, since expectations may be off for all of them.
/// Not thread-safe.
class TypicalPace
{
public:
  /// Notes the slowness of a run that is done.
  void Note(double aSlowness);

  /// Whether a worker whose runs show \p aSlownesses is slow. At least two must show it.
  bool IsSlow(const std::vector<double>& aSlownesses) const;

private:
  double m_logMean = 0;
};

} // namespace egretturn
