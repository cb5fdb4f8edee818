#include "egretturn/Scheduler/QuotaFloors.h"

#include <algorithm>
#include <unordered_set>

namespace egretturn {

// Shares of the processors of a service.
static constexpr double kRouteFloor = 0.02;
static constexpr double kLateWorkFloor = 0.005;

// Seconds at the floor's rate.
static constexpr double kMaxCreditTime = 2.0;
static constexpr double kMaxDebtTime = 10.0;

// No work has waited in between if passes are further apart.
static constexpr Duration kMaxAccrualPause = std::chrono::seconds(1);

static double
ToSeconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

void
FloorCredit::Accrue(double aRate, Instant aNow)
{
  const Duration passed = aNow - m_accruedAt;
  const Duration counted = passed <= kMaxAccrualPause ? passed : Duration::zero();
  m_accruedAt = aNow;
  m_rate = aRate;
  m_coreSeconds += aRate * std::max(0.0, ToSeconds(counted));
  m_coreSeconds = std::min(m_coreSeconds, aRate * kMaxCreditTime);
}

void
FloorCredit::Charge(double aWork)
{
  m_coreSeconds = std::max(m_coreSeconds, -m_rate * kMaxDebtTime) - aWork;
}

namespace {

/// The credits that are left in a pass once the steps that go first have been counted.
class CreditsLeft
{
public:
  using Credits = std::unordered_map<std::string, FloorCredit>;

  explicit CreditsLeft(const Credits& aCredits)
    : m_credits(aCredits)
  {
  }

  /// Returns whether the floor \p aKey has credit, and counts \p aWork against it.
  bool Take(const std::string& aKey, double aWork)
  {
    const auto credit = m_credits.find(aKey);
    if (credit == m_credits.end()) {
      return false;
    }
    double& left = m_left.emplace(aKey, credit->second.CoreSeconds()).first->second;
    const bool positive = left > 0;
    left -= aWork;
    return positive;
  }

private:
  const Credits& m_credits;
  std::unordered_map<std::string, double> m_left;
};

} // namespace

void
QuotaFloors::AccrueAll(const std::vector<FloorCandidate>& aWaiting,
                       const ServiceCores& aCores,
                       Instant aNow)
{
  std::unordered_set<std::string> routes;
  std::unordered_set<std::string> services;
  for (const FloorCandidate& step : aWaiting) {
    const auto cores = aCores.find(*step.m_service);
    const double available = cores == aCores.end() ? 0 : cores->second;
    if (!step.m_longRunning && routes.insert(*step.m_route).second) {
      m_routes[*step.m_route].Accrue(kRouteFloor * available, aNow);
    }
    if (step.m_tooLate && services.insert(*step.m_service).second) {
      m_lateWork[*step.m_service].Accrue(kLateWorkFloor * available, aNow);
    }
  }
}

std::vector<bool>
QuotaFloors::SelectFirst(const std::vector<FloorCandidate>& aWaiting,
                         const ServiceCores& aCores,
                         Instant aNow)
{
  AccrueAll(aWaiting, aCores, aNow);
  CreditsLeft routes(m_routes);
  CreditsLeft lateWork(m_lateWork);
  std::vector<bool> first(aWaiting.size(), false);
  std::vector<size_t> late;
  for (size_t i = 0; i < aWaiting.size(); ++i) {
    const FloorCandidate& step = aWaiting[i];
    if (step.m_tooLate) {
      late.push_back(i);
      continue;
    }
    if (step.m_longRunning) {
      continue;
    }
    first[i] = routes.Take(*step.m_route, step.m_work);
  }
  std::stable_sort(late.begin(), late.end(), [&](size_t aLeft, size_t aRight) {
    return aWaiting[aLeft].m_age > aWaiting[aRight].m_age;
  });
  for (const size_t i : late) {
    first[i] = lateWork.Take(*aWaiting[i].m_service, aWaiting[i].m_work);
  }
  return first;
}

void
QuotaFloors::Charge(const FloorCandidate& aStarted, double aWork)
{
  if (aStarted.m_longRunning) {
    return;
  }
  if (aStarted.m_tooLate) {
    m_lateWork[*aStarted.m_service].Charge(aWork);
  } else {
    m_routes[*aStarted.m_route].Charge(aWork);
  }
}

} // namespace egretturn
