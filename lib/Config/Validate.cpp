#include "egretturn/Config/Document.h"

#include <set>

namespace egretturn {

static void
Reject(Errors& aErrors, std::string aPlace, std::string aReason, std::string aRemedy)
{
  aErrors.push_back(Error{
    ErrorKind::BadInput, std::move(aPlace) + ": " + std::move(aReason), std::move(aRemedy) });
}

/// Reports \p aName unless it is in \p aObjects.
template<typename T>
static bool
CheckReference(const std::map<std::string, T, std::less<>>& aObjects,
               std::string_view aKind,
               const std::string& aName,
               const std::string& aPlace,
               Errors& aErrors)
{
  if (aObjects.contains(aName)) {
    return true;
  }
  const std::string object = std::string(aKind) + "." + aName;
  Reject(aErrors,
         aPlace,
         "refers to " + object + ", which does not exist",
         "add [" + object + "] or name an existing " + std::string(aKind));
  return false;
}

static void
CheckAddress(const std::string& aAddress, const std::string& aPlace, Errors& aErrors)
{
  const size_t colon = aAddress.rfind(':');
  const bool plain = aAddress.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string::npos;
  if (!plain || colon == std::string::npos || colon == 0 || colon + 1 == aAddress.size()) {
    Reject(aErrors,
           aPlace,
           "'" + aAddress + "' is not an address",
           "write an IP number and a port, such as 10.0.0.1:8000");
  }
}

static void
CheckPools(const Model& aModel, Errors& aErrors)
{
  std::map<WorkerId, std::string> places;
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
    const std::string place = "pool." + name + ".workers";
    for (const std::string& worker : pool.m_workers) {
      CheckAddress(worker, place, aErrors);
      std::string here = worker;
      here.append(" in pool.").append(name);
      const auto [it, fresh] = places.emplace(WorkerIdOf(worker), std::move(here));
      if (!fresh) {
        Reject(aErrors,
               place,
               worker + " has the same id as " + it->second,
               "list each worker once; if the addresses differ, change one port");
      }
    }
  }
}

/// The largest worker of \p aPools, by each amount on its own.
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
          const Resources& aNeed,
          const std::string& aObject,
          Errors& aErrors)
{
  bool known = true;
  for (const std::string& pool : aPools) {
    known = CheckReference(aModel.m_pools, "pool", pool, aObject + ".pools", aErrors) && known;
  }
  if (!known) {
    return;
  }
  const Resources room = LargestWorker(aModel, aPools);
  const auto check = [&](const char* aField, int64_t aWanted, int64_t aLargest) {
    if (aWanted > aLargest) {
      Reject(aErrors,
             aObject + "." + aField,
             std::to_string(aWanted) + " is more than the largest worker's " +
               std::to_string(aLargest),
             "lower it or name a pool of larger workers");
    }
  };
  check("millicores", aNeed.m_milliCores, room.m_milliCores);
  check("memory_mb", aNeed.m_memoryMb, room.m_memoryMb);
  check("accelerators", aNeed.m_accelerators, room.m_accelerators);
}

/// Services share workers, so that what they reserve together must fit in each.
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
             "services reserve more than a worker holds",
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
    const std::string place = "team." + name + ".parent";
    if (team.m_parent.empty() ||
        !CheckReference(aModel.m_teams, "team", team.m_parent, place, aErrors)) {
      continue;
    }
    std::set<std::string> seen{ name };
    std::string at = team.m_parent;
    while (!at.empty() && aModel.m_teams.contains(at)) {
      if (!seen.insert(at).second) {
        Reject(aErrors, place, "is part of a cycle through team." + at, "break the cycle");
        break;
      }
      at = aModel.m_teams.find(at)->second.m_parent;
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
