// Guarantees each route, and late work, a minimum rate of starts, so that none waits for as long as
// more valuable work keeps coming.
#pragma once

#include "egretturn/Support/Time.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace egretturn {

/// A step that waits, as far as its floors depend on it.
struct FloorCandidate
{
  const std::string* m_service = nullptr;
  const std::string* m_route = nullptr;
  bool m_longRunning = false;
  bool m_tooLate = false; ///< Too late to have any value.
  Duration m_age{};
  double m_work = 0; ///< Core-seconds of its waiting tasks.
};

/// The rate of starts that a floor has not used yet.
class FloorCredit
{
public:
  /// Adds \p aRate core-seconds for each second since the last call, if work waited then, too.
  void Accrue(double aRate, Instant aNow);

  /// Subtracts \p aWork core-seconds. Starts beyond the floor count for a limited time only.
  void Charge(double aWork);

  double CoreSeconds() const { return m_coreSeconds; }

private:
  double m_coreSeconds = 0;
  double m_rate = 0;
  Instant m_accruedAt;
};

/// Keeps the credit of each floor. Not thread-safe.
class QuotaFloors
{
public:
  /// The cores of the available workers of each service.
  using ServiceCores = std::unordered_map<std::string, double>;

  /// Returns for each of \p aWaiting, in the order of rank, whether it goes ahead of the others.
  /// The oldest late work comes first. Call once in each pass, with all waiting steps.
  std::vector<bool> SelectFirst(const std::vector<FloorCandidate>& aWaiting,
                                const ServiceCores& aCores,
                                Instant aNow);

  /// Records that tasks with \p aWork core-seconds of the step \p aStarted have started.
  void Charge(const FloorCandidate& aStarted, double aWork);

private:
  void AccrueAll(const std::vector<FloorCandidate>& aWaiting,
                 const ServiceCores& aCores,
                 Instant aNow);

  std::unordered_map<std::string, FloorCredit> m_routes;
  std::unordered_map<std::string, FloorCredit> m_lateWork; ///< By service.
};

} // namespace egretturn
