// How long tasks really take, learned for each route: callers' estimates may be far off.
//
// In logarithms, what is seen is fitted by a line through what was declared. A route whose
// estimates tell nothing ends up with its mean, one whose estimates are good with the estimates.
#pragma once

#include "egretturn/Support/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace egretturn {

/// What was learned of one route, for the store.
struct StoredDurations
{
  std::string m_route;
  double m_count = 0;
  double m_declaredMean = 0;   ///< Of the logarithms of declared milliseconds.
  double m_declaredSpread = 0; ///< Their sum of squared deviations.
  double m_errorMean = 0;      ///< Of the logarithms of seen by declared.
  double m_covariation = 0;    ///< Sum of products of the deviations of both.

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

/// Not thread-safe.
class DurationModel
{
public:
  /// Notes that a task of \p aRoute took \p aSeen undisturbed, with \p aDeclaredMs declared.
  void Learn(const std::string& aRoute, int64_t aDeclaredMs, Duration aSeen);

  /// The expected duration of a task of \p aRoute, in milliseconds.
  int64_t Expect(const std::string& aRoute, int64_t aDeclaredMs) const;

  /// What was learned so far, for the store.
  std::vector<StoredDurations> Describe() const;

  /// Takes over what an earlier epoch has learned.
  void Restore(const std::vector<StoredDurations>& aStored);

private:
  std::map<std::string, StoredDurations> m_routes;
};

} // namespace egretturn
