#include "egretturn/Scheduler/SlownessModel.h"

#include <algorithm>
#include <cmath>

namespace egretturn {

static constexpr Duration kMinElapsed = std::chrono::milliseconds(700);
static constexpr double kSlowFactor = 3.0;    // times the typical slowness
static constexpr double kSampleWeight = 0.02; // weight of a sample in the typical slowness
static constexpr double kMaxLogDeviation =
  1.1; // a sample counts as at most three times slower or faster
static constexpr size_t kMinAttempts = 2;

bool
CanJudgeSlowness(const AttemptProgress& aProgress)
{
  return aProgress.m_elapsed >= kMinElapsed && aProgress.m_expected > Duration::zero();
}

double
SlownessOf(const AttemptProgress& aProgress)
{
  const double share = std::max(aProgress.m_percent, 1) / 100.0;
  return static_cast<double>(aProgress.m_elapsed.count()) /
         (share * static_cast<double>(aProgress.m_expected.count()));
}

void
SlownessModel::Add(double aSlowness)
{
  const double sample = std::log(std::max(aSlowness, 0.01));
  m_logMean += kSampleWeight * std::clamp(sample - m_logMean, -kMaxLogDeviation, kMaxLogDeviation);
}

bool
SlownessModel::IsSlow(const std::vector<double>& aSlownesses) const
{
  if (aSlownesses.size() < kMinAttempts) {
    return false;
  }
  std::vector<double> sorted = aSlownesses;
  std::sort(sorted.begin(), sorted.end());
  const double lowerMedian = sorted[(sorted.size() - 1) / 2];
  return lowerMedian > kSlowFactor * std::exp(m_logMean);
}

} // namespace egretturn
