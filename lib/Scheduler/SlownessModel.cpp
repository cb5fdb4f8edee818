#include "egretturn/Scheduler/SlownessModel.h"

#include <algorithm>
#include <cmath>

namespace egretturn {

static constexpr Duration kTellingAfter = std::chrono::milliseconds(700);
static constexpr double kSlow = 3.0;    // times the typical pace
static constexpr double kGain = 0.02;   // weight of a sample in the typical pace
static constexpr double kMostLog = 1.1; // a sample counts as at most three times slower or faster
static constexpr size_t kLeastRuns = 2;

bool
IsTelling(const RunProgress& aProgress)
{
  return aProgress.m_elapsed >= kTellingAfter && aProgress.m_expected > Duration::zero();
}

double
SlownessOf(const RunProgress& aProgress)
{
  const double share = std::max(aProgress.m_percent, 1) / 100.0;
  return static_cast<double>(aProgress.m_elapsed.count()) /
         (share * static_cast<double>(aProgress.m_expected.count()));
}

void
TypicalPace::Note(double aSlowness)
{
  const double sample = std::log(std::max(aSlowness, 0.01));
  m_logMean += kGain * std::clamp(sample - m_logMean, -kMostLog, kMostLog);
}

bool
TypicalPace::IsSlow(const std::vector<double>& aSlownesses) const
{
  if (aSlownesses.size() < kLeastRuns) {
    return false;
  }
  std::vector<double> sorted = aSlownesses;
  std::sort(sorted.begin(), sorted.end());
  const double lowerMedian = sorted[(sorted.size() - 1) / 2];
  return lowerMedian > kSlow * std::exp(m_logMean);
}

} // namespace egretturn
