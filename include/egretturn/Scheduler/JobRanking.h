// Ranks waiting jobs when there is not enough capacity for all of them.
//
// Jobs compete by value density, their value per core-second of remaining work. Scheduling by
// deadline would make every job late when the load exceeds capacity, which is the expected case.
// Started jobs are finished first, small jobs precede large ones, and the value of a job grows with
// its work. Long-running jobs compete by the room that they take for one objective, until one of
// their tasks has been away for so long that it goes first.
#pragma once

#include "egretturn/Support/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace egretturn {

/// The properties of a job that determine its rank.
struct RankInput
{
  uint32_t m_priority = 0; ///< 0 comes first.
  bool m_longRunning = false;
  Duration m_age{};  ///< Of a long-running job: since it last ran.
  Duration m_away{}; ///< How long a long-running task that has run before has been away.
  Duration m_objective{};
  Duration m_criticalPath{};  ///< Minimum time until the job is done.
  double m_totalWork = 0;     ///< Core-seconds of the whole job.
  double m_remainingWork = 0; ///< Core-seconds of the remaining work.
  double m_meanWork = 0;      ///< Mean core-seconds of the jobs of its route.
  double m_cores = 0;         ///< Of all tasks of a long-running job.
};

/// A job's rank. The smallest comes first.
struct JobRank
{
  bool m_overdue = false; ///< Long-running and away for too long: first, the longest away first.
  Duration m_away{};      ///< How long it is away, if it is overdue.
  bool m_tooLate = false; ///< Too late to have any value.
  uint32_t m_priority = 0;
  double m_valueDensity = 0; ///< Value per core-second of remaining work; the highest comes first.

  bool operator<(const JobRank& aOther) const;
};

/// Returns whether a long-running task that has been away for \p aAway goes ahead of all work that
/// ends, whatever its priority. Thread-safe.
bool IsOverdue(Duration aAway);

/// Returns the rank of the job that \p aInput describes. Thread-safe.
JobRank RankJob(const RankInput& aInput);

/// Tracks the moving mean of a property of the jobs of each route. Not thread-safe.
class RouteMeans
{
public:
  /// Adds \p aValue as the sample of a new job of \p aRoute.
  void Add(const std::string& aRoute, double aValue);

  /// Returns the mean, or \p aValue for an unknown route.
  double MeanOf(const std::string& aRoute, double aValue) const;

private:
  std::map<std::string, double> m_means;
};

} // namespace egretturn
