// Typed objects of a configuration. They refer to one another by name.
#pragma once

#include "egretturn/Support/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace egretturn {

/// Amounts of a worker's processors, memory and accelerators.
struct Resources
{
  int64_t m_milliCores = 0;
  int64_t m_memoryMb = 0;
  int64_t m_accelerators = 0;

  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
  bool operator==(const Resources& aOther) const = default;

  /// Returns whether every amount is at most that of \p aCapacity.
  bool FitsIn(const Resources& aCapacity) const;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("millicores", aSelf.m_milliCores);
    aVisit("memory_mb", aSelf.m_memoryMb);
    aVisit("accelerators", aSelf.m_accelerators);
  }
};

Resources operator+(Resources aLeft, const Resources& aRight);
Resources operator-(Resources aLeft, const Resources& aRight);

/// Identifies a worker in records: a hash of its address. Unique within a valid configuration.
using WorkerId = uint32_t;

/// Returns the id of the worker at \p aAddress ("ip:port"). Thread-safe.
WorkerId WorkerIdOf(std::string_view aAddress);

/// An availability zone.
struct Zone
{
  std::string m_region;
};

/// Identical workers in one rack.
struct Pool
{
  std::string m_zone;
  std::string m_rack;
  Resources m_size; ///< Size of each worker.
  std::vector<std::string> m_workers;
};

/// A kind of request that a service handles.
struct RequestKind
{
  bool m_idempotent = false;
  Duration m_deadline{};
};

/// A latency-critical service that runs on all workers of its pools.
struct Service
{
  std::vector<std::string> m_pools;
  uint32_t m_slots = 8;        ///< Maximum concurrent requests on a worker.
  uint32_t m_connections = 64; ///< Maximum connections to a worker.
  Resources m_reserve;         ///< Resources set aside on each worker.
  std::map<std::string, RequestKind, std::less<>> m_requests;
};

/// A kind of batch work and its declared needs.
struct BatchKind
{
  std::vector<std::string> m_pools;
  Resources m_size;
  Duration m_runTime{};
  bool m_restartable = false; ///< Tasks may start while the log is unreachable.
  bool m_checkpoints = false; ///< Tasks can be checkpointed and resumed.
};

/// A team with its quota for batch work.
struct Team
{
  std::string m_parent; ///< Team that lends quota; empty for none.
  int64_t m_quotaMilliCores = 0;
  bool m_borrows = true; ///< Whether the team may exceed its own quota.
};

/// Availability zones to which requests of a service may be forwarded when their own zone has no
/// free capacity.
struct PlacementRule
{
  std::string m_service;
  std::vector<std::string> m_spillZones;
  int64_t m_linkBytesPerSecond = 0; ///< Byte budget for links to other regions.
};

/// Drains a worker, so that it receives no new work.
struct Drain
{
  std::string m_worker;
  std::string m_reason;
};

/// Parameters of the scheduling policy.
struct Policy
{
  double m_tailWeight = 0.5;           ///< 1 favours tail latency, 0 batch throughput.
  double m_hedgeShare = 0.02;          ///< Maximum hedged requests per request.
  double m_retryShare = 0.1;           ///< Maximum retries per success.
  double m_ejectShare = 0.3;           ///< Maximum share of workers ejected at the same time.
  int64_t m_logAppendsPerSecond = 150; ///< Limit for all instances together.
};

/// A whole configuration. Value type; not thread-safe while it is changed.
struct Model
{
  std::map<std::string, Zone, std::less<>> m_zones;
  std::map<std::string, Pool, std::less<>> m_pools;
  std::map<std::string, Service, std::less<>> m_services;
  std::map<std::string, BatchKind, std::less<>> m_kinds;
  std::map<std::string, Team, std::less<>> m_teams;
  std::map<std::string, PlacementRule, std::less<>> m_rules;
  std::map<std::string, Drain, std::less<>> m_drains;
  Policy m_policy;
};

} // namespace egretturn
