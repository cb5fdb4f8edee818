// Decides which instances hold the connections to which workers. Pure functions.
#pragma once

#include "egretturn/Scheduler/Actions.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace egretturn {

/// An instance that can hold connections to workers.
struct LinkInstance
{
  std::string m_id;
  std::string m_address;
  std::string m_zone;
  std::string m_region;
  double m_weight = 0; ///< Share of a processor, in cores.

  bool operator==(const LinkInstance&) const = default;
};

/// Returns how many workers an instance of \p aWeight can carry: their calls take at most about a
/// third of its processor share.
size_t LinkCapacity(double aWeight);

/// The instances that hold the connections to the workers of each availability zone.
class LinkPlan
{
public:
  LinkPlan() = default;

  /// Chooses instances for \p aWorkersByZone, the number of workers of each zone. Connections
  /// within a zone are preferred, then those within a region, then strong instances; few instances
  /// are chosen, since each one costs the leader messages. \p aRegionOf maps zones to regions.
  LinkPlan(std::vector<LinkInstance> aInstances,
           const std::map<std::string, size_t>& aWorkersByZone,
           const std::map<std::string, std::string>& aRegionOf);

  /// Returns the instance at the place \p aChoice of the preferences of \p aWorker, modulo their
  /// number, or nullptr if no instance was chosen for the zone. The preferences of a worker change
  /// little as instances come and go.
  const LinkInstance* Find(std::string_view aWorker,
                           const std::string& aZone,
                           size_t aChoice) const;

  /// Returns whether the chosen instances can carry all workers.
  bool IsSufficient() const { return m_sufficient; }

private:
  struct Budget;
  void ChooseForZone(const std::string& aZone,
                     size_t aWorkers,
                     const std::map<std::string, std::string>& aRegionOf,
                     std::vector<Budget>& aBudgets);

  std::map<std::string, std::vector<LinkInstance>> m_byZone;
  bool m_sufficient = true;
};

} // namespace egretturn
