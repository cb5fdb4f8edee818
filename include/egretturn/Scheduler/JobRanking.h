// In which order waiting jobs get room when there is not enough for all.
//
// Jobs compete by what they earn for each core-second that they still need: the pattern is a load
// above capacity, where serving by deadline makes everything late. What was begun is finished
// first, small jobs go before large ones, and a large one is worth more in proportion to its work.
#pragma once

#include "egretturn/Support/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace egretturn {

/// What decides the place of a job.
struct OrderInput
{
  uint32_t m_priority = 0; ///< 0 comes first.
  bool m_longRunning = false;
  Duration m_age{};
  Duration m_objective{};
  Duration m_path{};          ///< The least time until it is done.
  double m_totalWork = 0;     ///< Core-seconds of the whole job.
  double m_remainingWork = 0; ///< Core-seconds that it still needs.
  double m_meanWork = 0;      ///< Of the jobs of its route, core-seconds.
};

/// A job's place. Smaller comes first.
struct OrderRank
{
  bool m_worthless = false; ///< Too late to earn anything.
  uint32_t m_priority = 0;
  double m_density = 0; ///< Worth for each core-second still needed; the highest comes first.

  bool operator<(const OrderRank& aOther) const;
};

/// The place of a job described by \p aInput. Thread-safe.
OrderRank RankOf(const OrderInput& aInput);

/// The mean of some figure of the jobs of each route. Not thread-safe.
class RouteMeans
{
public:
  /// Notes that a new job of \p aRoute has \p aFigure.
  void Note(const std::string& aRoute, double aFigure);

  /// The mean, or \p aFigure for a route that was not seen.
  double Of(const std::string& aRoute, double aFigure) const;

private:
  std::map<std::string, double> m_means;
};

} // namespace egretturn
