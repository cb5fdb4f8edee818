// Predicts task durations for each route, because callers' estimates may be far off.
//
// A regularized linear regression relates the logarithms of measured and declared durations. For a
// route whose estimates carry no information, predictions converge to the route's mean; for a route
// with good estimates, they follow the estimates.
#pragma once

#include "egretturn/Support/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace egretturn {

/// The regression state of one route, as stored.
struct StoredDurations
{
  std::string m_route;
  double m_count = 0;
  double m_declaredMean = 0;   ///< Mean logarithm of the declared milliseconds.
  double m_declaredSpread = 0; ///< Sum of squared deviations of these logarithms.
  double m_errorMean = 0;      ///< Mean logarithm of measured over declared duration.
  double m_covariation = 0;    ///< Sum of the products of both deviations.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("route", aSelf.m_route);
    aVisit("count", aSelf.m_count);
    aVisit("declared_mean", aSelf.m_declaredMean);
    aVisit("declared_spread", aSelf.m_declaredSpread);
    aVisit("error_mean", aSelf.m_errorMean);
    aVisit("covariation", aSelf.m_covariation);
  }
};

/// Learns the durations of the tasks of each route from completed attempts. Not thread-safe.
class DurationModel
{
public:
  /// Adds a sample: an attempt of \p aRoute took \p aMeasured without a checkpoint or a throttle,
  /// and \p aDeclaredMs was declared.
  void Learn(const std::string& aRoute, int64_t aDeclaredMs, Duration aMeasured);

  /// Returns the expected duration of a task of \p aRoute, in milliseconds.
  int64_t Predict(const std::string& aRoute, int64_t aDeclaredMs) const;

  /// Returns the state of all routes for the store.
  std::vector<StoredDurations> Describe() const;

  /// Restores the state that an earlier epoch stored.
  void Restore(const std::vector<StoredDurations>& aStored);

private:
  std::map<std::string, StoredDurations> m_routes;
};

} // namespace egretturn
