#include "egretturn/Config/Document.h"

#include <set>

namespace egretturn {

static void
Reject(Errors& aErrors, std::string aLocation, std::string aReason, std::string aRemedy)
{
  aErrors.push_back(Error{
    ErrorKind::BadInput, std::move(aLocation) + ": " + std::move(aReason), std::move(aRemedy) });
}

/// Reports \p aName unless it is in \p aObjects.
template<typename T>
static bool
CheckReference(const std::map<std::string, T, std::less<>>& aObjects,
               std::string_view aKind,
               const std::string& aName,
               const std::string& aLocation,
               Errors& aErrors)
{
  if (aObjects.contains(aName)) {
    return true;
  }
  const std::string object = std::string(aKind) + "." + aName;
  Reject(aErrors,
         aLocation,
         "refers to " + object + ", which does not exist",
         "add [" + object + "] or name an existing " + std::string(aKind));
  return false;
}

static void
CheckAddress(const std::string& aAddress, const std::string& aLocation, Errors& aErrors)
{
  const size_t colon = aAddress.rfind(':');
  const bool validCharacters =
    aAddress.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string::npos;
  if (!validCharacters || colon == std::string::npos || colon == 0 ||
      colon + 1 == aAddress.size()) {
    Reject(aErrors,
           aLocation,
           "'" + aAddress + "' is not an address",
           "write an IP number and a port, such as 10.0.0.1:8000");
  }
}

static void
CheckPools(const Model& aModel, Errors& aErrors)
{
  std::map<WorkerId, std::string> locations;
  std::map<std::string, std::string> rackZones;
  for (const std::pair<const std::string, Pool>& poolEntry : aModel.m_pools) {
    const std::string& name = poolEntry.first;
    const Pool& pool = poolEntry.second;
    CheckReference(aModel.m_zones, "zone", pool.m_zone, "pool." + name + ".zone", aErrors);
    const auto [rack, added] = rackZones.emplace(pool.m_rack, pool.m_zone);
    if (!added && rack->second != pool.m_zone) {
      Reject(aErrors,
             "pool." + name + ".rack",
             "rack " + pool.m_rack + " is also in zone " + rack->second,
             "give racks of different availability zones different names");
    }
    const std::string location = "pool." + name + ".workers";
    for (const std::string& worker : pool.m_workers) {
      CheckAddress(worker, location, aErrors);
      std::string entry = worker;
      entry.append(" in pool.").append(name);
      const auto [it, inserted] = locations.emplace(WorkerIdOf(worker), std::move(entry));
      if (!inserted) {
        Reject(aErrors,
               location,
               worker + " has the same id as " + it->second,
               "list each worker once; if the addresses differ, change one port");
      }
    }
  }
}

/// Returns, for each resource separately, the largest amount of any worker in \p aPools.
static Resources
LargestWorker(const Model& aModel, const std::vector<std::string>& aPools)
{
  Resources largest;
  for (const std::string& name : aPools) {
    const std::map<std::string, Pool, std::less<>>::const_iterator it = aModel.m_pools.find(name);
    if (it == aModel.m_pools.end()) {
      continue;
    }
    const Resources& size = it->second.m_size;
    largest.m_milliCores = std::max(largest.m_milliCores, size.m_milliCores);
    largest.m_memoryMb = std::max(largest.m_memoryMb, size.m_memoryMb);
    largest.m_accelerators = std::max(largest.m_accelerators, size.m_accelerators);
  }
  return largest;
}

static void
CheckSize(const Model& aModel,
          const std::vector<std::string>& aPools,
          const Resources& aSize,
          const std::string& aObject,
          Errors& aErrors)
{
  bool poolsExist = true;
  for (const std::string& pool : aPools) {
    poolsExist =
      CheckReference(aModel.m_pools, "pool", pool, aObject + ".pools", aErrors) && poolsExist;
  }
  if (!poolsExist) {
    return;
  }
  const Resources maxSize = LargestWorker(aModel, aPools);
  const auto check = [&](const char* aField, int64_t aRequested, int64_t aLargest) {
    if (aRequested > aLargest) {
      Reject(aErrors,
             aObject + "." + aField,
             std::to_string(aRequested) + " is more than the largest worker's " +
               std::to_string(aLargest),
             "lower it or name a pool of larger workers");
    }
  };
  check("millicores", aSize.m_milliCores, maxSize.m_milliCores);
  check("memory_mb", aSize.m_memoryMb, maxSize.m_memoryMb);
  check("accelerators", aSize.m_accelerators, maxSize.m_accelerators);
}

/// Services share workers, so that the sum of their reservations must fit in each worker.
static void
CheckReserves(const Model& aModel, Errors& aErrors)
{
  std::map<std::string, Resources> reserved;
  for (const std::pair<const std::string, Service>& serviceEntry : aModel.m_services) {
    const Service& service = serviceEntry.second;
    for (const std::string& pool : service.m_pools) {
      reserved[pool] += service.m_reserve;
    }
  }
  for (const std::pair<const std::string, Pool>& poolEntry : aModel.m_pools) {
    const std::string& name = poolEntry.first;
    const Pool& pool = poolEntry.second;
    if (!reserved[name].FitsIn(pool.m_size)) {
      Reject(aErrors,
             "pool." + name,
             "services reserve more than the size of a worker",
             "lower the services' millicores or memory_mb, or move one to another pool");
    }
  }
}

static void
CheckTeams(const Model& aModel, Errors& aErrors)
{
  for (const std::pair<const std::string, Team>& teamEntry : aModel.m_teams) {
    const std::string& name = teamEntry.first;
    const Team& team = teamEntry.second;
    const std::string location = "team." + name + ".parent";
    if (team.m_parent.empty() ||
        !CheckReference(aModel.m_teams, "team", team.m_parent, location, aErrors)) {
      continue;
    }
    std::set<std::string> visited{ name };
    std::string ancestor = team.m_parent;
    while (!ancestor.empty() && aModel.m_teams.contains(ancestor)) {
      if (!visited.insert(ancestor).second) {
        Reject(aErrors, location, "is part of a cycle through team." + ancestor, "break the cycle");
        break;
      }
      ancestor = aModel.m_teams.find(ancestor)->second.m_parent;
    }
  }
}

static void
CheckDrains(const Model& aModel, Errors& aErrors)
{
  std::set<std::string> workers;
  for (const std::pair<const std::string, Pool>& poolEntry : aModel.m_pools) {
    const Pool& pool = poolEntry.second;
    workers.insert(pool.m_workers.begin(), pool.m_workers.end());
  }
  for (const std::pair<const std::string, Drain>& drainEntry : aModel.m_drains) {
    const std::string& name = drainEntry.first;
    const Drain& drain = drainEntry.second;
    if (!workers.contains(drain.m_worker)) {
      Reject(aErrors,
             "drain." + name + ".worker",
             "'" + drain.m_worker + "' is in no pool",
             "name a worker of a pool, or delete the drain");
    }
  }
}

void
ValidateReferences(const Model& aModel, Errors& aErrors)
{
  CheckPools(aModel, aErrors);
  for (const std::pair<const std::string, Service>& serviceEntry : aModel.m_services) {
    const std::string& name = serviceEntry.first;
    const Service& service = serviceEntry.second;
    CheckSize(aModel, service.m_pools, service.m_reserve, "service." + name, aErrors);
  }
  for (const std::pair<const std::string, BatchKind>& kindEntry : aModel.m_kinds) {
    const std::string& name = kindEntry.first;
    const BatchKind& kind = kindEntry.second;
    CheckSize(aModel, kind.m_pools, kind.m_size, "kind." + name, aErrors);
  }
  for (const std::pair<const std::string, PlacementRule>& ruleEntry : aModel.m_rules) {
    const std::string& name = ruleEntry.first;
    const PlacementRule& rule = ruleEntry.second;
    CheckReference(
      aModel.m_services, "service", rule.m_service, "rule." + name + ".service", aErrors);
    for (const std::string& zone : rule.m_spillZones) {
      CheckReference(aModel.m_zones, "zone", zone, "rule." + name + ".spill_zones", aErrors);
    }
  }
  CheckReserves(aModel, aErrors);
  CheckTeams(aModel, aErrors);
  CheckDrains(aModel, aErrors);
}

} // namespace egretturn
