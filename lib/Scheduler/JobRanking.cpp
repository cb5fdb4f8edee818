#include "egretturn/Scheduler/JobRanking.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace egretturn {

// What a job earns: a fixed part, and a part that grows with its work against the mean.
static constexpr double kFixedWorth = 0.3;
static constexpr double kWorthOfWork = 0.7;
static constexpr double kMostWorth = 4.0;

// Late work counts this part, and nothing once it is later than so many objectives.
static constexpr double kLatePart = 0.5;
static constexpr int kLateLimit = 3;

// Below 1 this favours large jobs: they need many places at a time, and some must get through.
static constexpr double kWorkExponent = 0.8;

static constexpr double kLeastWork = 0.5; // core-seconds; what needs less is not told apart
static constexpr double kMeanGain = 0.05; // weight of a new job in the mean of its route

bool
OrderRank::operator<(const OrderRank& aOther) const
{
  return std::tuple(m_worthless, m_priority, -m_density) <
         std::tuple(aOther.m_worthless, aOther.m_priority, -aOther.m_density);
}

OrderRank
RankOf(const OrderInput& aInput)
{
  OrderRank rank;
  rank.m_priority = aInput.m_priority;
  if (aInput.m_longRunning) {
    rank.m_density = std::numeric_limits<double>::max(); // each second that it waits is lost
    return rank;
  }
  rank.m_worthless = aInput.m_age > kLateLimit * aInput.m_objective;
  const double relative = aInput.m_totalWork / std::max(aInput.m_meanWork, kLeastWork);
  const double worth = std::min(kFixedWorth + kWorthOfWork * relative, kMostWorth);
  const bool late = aInput.m_age + aInput.m_path > aInput.m_objective;
  const double work = std::max(aInput.m_remainingWork, kLeastWork);
  rank.m_density = (late ? kLatePart : 1.0) * worth / std::pow(work, kWorkExponent);
  return rank;
}

void
RouteMeans::Note(const std::string& aRoute, double aFigure)
{
  const auto [it, added] = m_means.emplace(aRoute, aFigure);
  if (!added) {
    it->second += kMeanGain * (aFigure - it->second);
  }
}

double
RouteMeans::Of(const std::string& aRoute, double aFigure) const
{
  const auto it = m_means.find(aRoute);
  return it == m_means.end() ? aFigure : it->second;
}

} // namespace egretturn
