#include "egretturn/Scheduler/Durations.h"

#include <algorithm>
#include <cmath>

namespace egretturn {

// Weight of the declared durations against the measured ones, in samples.
static constexpr double kScalePriorSamples = 2.0;
static constexpr double kSlopePriorSamples = 2.0;

// Older samples decay so that at most this many count.
static constexpr double kMaxSamples = 400.0;

static constexpr double kMaxFactor = 30.0; // between declared and predicted duration

static double
LogMillis(int64_t aMillis)
{
  return std::log(static_cast<double>(std::max<int64_t>(1, aMillis)));
}

void
DurationModel::Learn(const std::string& aRoute, int64_t aDeclaredMs, Duration aMeasured)
{
  StoredDurations& route = m_routes[aRoute];
  route.m_route = aRoute;
  if (route.m_count >= kMaxSamples) {
    const double keep = (kMaxSamples - 1.0) / route.m_count;
    route.m_count *= keep;
    route.m_declaredSpread *= keep;
    route.m_covariation *= keep;
  }
  route.m_count += 1.0;
  const double declared = LogMillis(aDeclaredMs) - route.m_declaredMean;
  const double error = LogMillis(ToMillis(aMeasured)) - LogMillis(aDeclaredMs) - route.m_errorMean;
  route.m_declaredMean += declared / route.m_count;
  route.m_errorMean += error / route.m_count;
  const double kept = 1.0 - 1.0 / route.m_count;
  route.m_declaredSpread += declared * declared * kept;
  route.m_covariation += declared * error * kept;
}

int64_t
DurationModel::Predict(const std::string& aRoute, int64_t aDeclaredMs) const
{
  const auto it = m_routes.find(aRoute);
  if (it == m_routes.end()) {
    return aDeclaredMs;
  }
  const StoredDurations& route = it->second;
  const double scale = route.m_errorMean * route.m_count / (route.m_count + kScalePriorSamples);
  const double slope = route.m_covariation / (route.m_declaredSpread + kSlopePriorSamples);
  const double shift = scale + slope * (LogMillis(aDeclaredMs) - route.m_declaredMean);
  const double factor = std::clamp(std::exp(shift), 1.0 / kMaxFactor, kMaxFactor);
  return static_cast<int64_t>(factor * static_cast<double>(std::max<int64_t>(1, aDeclaredMs)));
}

std::vector<StoredDurations>
DurationModel::Describe() const
{
  std::vector<StoredDurations> stored;
  for (const std::pair<const std::string, StoredDurations>& routeEntry : m_routes) {
    const StoredDurations& route = routeEntry.second;
    stored.push_back(route);
  }
  return stored;
}

void
DurationModel::Restore(const std::vector<StoredDurations>& aStored)
{
  for (const StoredDurations& route : aStored) {
    m_routes[route.m_route] = route;
  }
}

} // namespace egretturn
