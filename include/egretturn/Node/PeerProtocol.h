// Messages between instances.
#pragma once

#include "egretturn/Scheduler/Scheduler.h"

#include <functional>

namespace egretturn {

enum class PeerOperation
{
  Submit,
  Cancel,
  State,
  Pending,
  Ping,
  Claim,  ///< The deciding instance stops and asks the receiver to succeed it.
  Placed, ///< A successor asks the one before it which tasks may run where.
};

/// Path of \p aOperation on the peer address.
std::string_view PathOf(PeerOperation aOperation);

/// The operation at \p aPath, or nothing.
std::optional<PeerOperation> OperationAt(std::string_view aPath);

struct SubmitMessage
{
  GraphId m_id = 0;
  JobTerms m_terms;
  Graph m_graph;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("id", aSelf.m_id);
    aVisit("terms", aSelf.m_terms);
    aVisit("graph", aSelf.m_graph);
  }
};

/// Asks about, or cancels, the job \c m_id; or asks what is pending on \c m_route.
struct JobMessage
{
  GraphId m_id = 0;
  std::string m_route;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("id", aSelf.m_id);
    aVisit("route", aSelf.m_route);
  }
};

struct PingMessage
{
  std::string m_instance;
  std::string m_address;
  double m_weight = 0; ///< Share of a processor.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("instance", aSelf.m_instance);
    aVisit("address", aSelf.m_address);
    aVisit("weight", aSelf.m_weight);
  }
};

/// A successor's question to the instance that decided before it.
struct SuccessorMessage
{
  uint64_t m_epoch = 0; ///< The successor's.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("epoch", aSelf.m_epoch);
  }
};

/// What the instance that decided under \c m_epoch had placed when it stopped.
struct PlacedMessage
{
  uint64_t m_epoch = 0; ///< 0 if nothing can be said.
  std::vector<PlacedTask> m_tasks;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("epoch", aSelf.m_epoch);
    aVisit("tasks", aSelf.m_tasks);
  }
};

enum class PeerOutcome : uint8_t
{
  Ok,      ///< Done, or the state or count that was asked for.
  NotRun,  ///< Refused; never runs.
  Unknown, ///< Ask again.
  NoSuchJob,
  NotDeciding, ///< Nothing was done; \c m_leader says who decides, if known.
};

struct PeerAnswer
{
  PeerOutcome m_outcome = PeerOutcome::Unknown;
  JobState m_state = JobState::Queued;
  uint64_t m_count = 0;
  bool m_storeAvailable = true;
  StoredClaim m_leader;
  double m_strongest = 0; ///< Of the instances that the leader hears, share of a processor.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("outcome", aSelf.m_outcome);
    aVisit("state", aSelf.m_state);
    aVisit("count", aSelf.m_count);
    aVisit("store_available", aSelf.m_storeAvailable);
    aVisit("leader", aSelf.m_leader);
    aVisit("strongest", aSelf.m_strongest);
  }
};

using PeerCallback = std::function<void(const PeerAnswer&)>;

} // namespace egretturn
