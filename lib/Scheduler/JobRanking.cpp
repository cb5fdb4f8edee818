#include "egretturn/Scheduler/JobRanking.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace egretturn {

// The value of a job: a fixed part, and a part that grows with its work relative to the mean.
static constexpr double kFixedValue = 0.3;
static constexpr double kValueOfWork = 0.7;
static constexpr double kMaxValue = 4.0;

// A late job has this share of its value, and none once its age exceeds this multiple of its
// objective.
static constexpr double kLateShare = 0.5;
static constexpr int kMaxLateness = 3;

// Below 1 this favors large jobs: they need many slots at a time, and some must complete.
static constexpr double kWorkExponent = 0.8;

static constexpr double kMinWork = 0.5;   // core-seconds; smaller jobs are not distinguished
static constexpr double kMinPeriod = 1.0; // seconds; shorter objectives are not distinguished
// A long-running task is to be back within 6 s, and 3 s more if there is room for it. Work that
// ends leaves its place within a few seconds, so this leaves time to clear one.
static constexpr Duration kMaxAwayBehindOthers = std::chrono::seconds(3);

static constexpr double kMeanGain = 0.05; // weight of a new job in the mean of its route

bool
JobRank::operator<(const JobRank& aOther) const
{
  return std::tuple(!m_overdue, -m_away, m_tooLate, m_priority, -m_valueDensity) <
         std::tuple(!aOther.m_overdue,
                    -aOther.m_away,
                    aOther.m_tooLate,
                    aOther.m_priority,
                    -aOther.m_valueDensity);
}

bool
IsOverdue(Duration aAway)
{
  return aAway >= kMaxAwayBehindOthers;
}

/// Returns the value density of a long-running job. In each objective that it waits, its callers
/// lose as much as with another job in all; it rises with the wait, so that short jobs that keep
/// coming don't hold it back for good.
static double
LongRunningDensity(const RankInput& aInput)
{
  const double period = std::chrono::duration<double>(aInput.m_objective).count();
  const double wait = std::chrono::duration<double>(aInput.m_age).count();
  const double objective = std::max(period, kMinPeriod);
  const double work = std::max(aInput.m_cores * objective, kMinWork);
  return (1.0 + std::max(wait, 0.0) / objective) / std::pow(work, kWorkExponent);
}

JobRank
RankJob(const RankInput& aInput)
{
  JobRank rank;
  rank.m_priority = aInput.m_priority;
  if (aInput.m_longRunning) {
    rank.m_valueDensity = LongRunningDensity(aInput);
    rank.m_overdue = IsOverdue(aInput.m_away);
    rank.m_away = rank.m_overdue ? aInput.m_away : Duration::zero();
    return rank;
  }
  rank.m_tooLate = aInput.m_age > kMaxLateness * aInput.m_objective;
  const double relative = aInput.m_totalWork / std::max(aInput.m_meanWork, kMinWork);
  const double value = std::min(kFixedValue + kValueOfWork * relative, kMaxValue);
  const bool late = aInput.m_age + aInput.m_criticalPath > aInput.m_objective;
  const double work = std::max(aInput.m_remainingWork, kMinWork);
  rank.m_valueDensity = (late ? kLateShare : 1.0) * value / std::pow(work, kWorkExponent);
  return rank;
}

void
RouteMeans::Add(const std::string& aRoute, double aValue)
{
  const auto [it, added] = m_means.emplace(aRoute, aValue);
  if (!added) {
    it->second += kMeanGain * (aValue - it->second);
  }
}

double
RouteMeans::MeanOf(const std::string& aRoute, double aValue) const
{
  const auto it = m_means.find(aRoute);
  return it == m_means.end() ? aValue : it->second;
}

} // namespace egretturn
