// Messages between instances.
#pragma once

#include "egretturn/Node/LeaderElection.h"
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
  Claim,       ///< The leader has stopped leading and asks the receiver to claim the leadership.
  Placed,      ///< A new leader asks the previous one which tasks may be running on which workers.
  LinkOrders,  ///< The leader asks the receiver to call workers. See LinkProtocol.h.
  LinkResults, ///< The results of such calls.
  Follow,      ///< A leader asks the receiver to follow it, since the store may not name it.
};

/// Returns the HTTP path of \p aOperation on the peer address.
std::string_view PathOf(PeerOperation aOperation);

/// Returns the operation with the HTTP path \p aPath, if there is one.
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

/// Queries or cancels the job \c m_id, or queries the number of pending jobs on \c m_route.
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
  double m_weight = 0;     ///< Processor share, in cores.
  bool m_stopping = false; ///< The sender is shutting down and never claims again.
  std::string m_zone{};
  std::string m_region{};
  bool m_takesLinkOrders = false; ///< The sender can call workers for the leader.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("instance", aSelf.m_instance);
    aVisit("address", aSelf.m_address);
    aVisit("weight", aSelf.m_weight);
    aVisit("stopping", aSelf.m_stopping);
    aVisit("zone", aSelf.m_zone);
    aVisit("region", aSelf.m_region);
    aVisit("takes_link_orders", aSelf.m_takesLinkOrders);
  }
};

/// A new leader's request for the tasks that the previous leader had placed.
struct PlacedTasksRequest
{
  uint64_t m_epoch = 0; ///< Epoch of the new leader.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("epoch", aSelf.m_epoch);
  }
};

/// The tasks that the leader of \c m_epoch had placed when it stopped.
struct PlacedTasksResponse
{
  uint64_t m_epoch = 0; ///< 0 if workers may run tasks that \c m_tasks does not name.
  std::vector<PlacedTask> m_tasks;
  uint64_t m_recoveringEpoch = 0; ///< The epoch if \c m_epoch is 0 for that reason; otherwise 0.
  std::vector<WorkerLease> m_leases;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("epoch", aSelf.m_epoch);
    aVisit("tasks", aSelf.m_tasks);
    aVisit("recovering_epoch", aSelf.m_recoveringEpoch);
    aVisit("leases", aSelf.m_leases);
  }
};

enum class PeerOutcome : uint8_t
{
  Ok,        ///< Done; the response holds the requested state or count.
  NotRun,    ///< Refused; the job of a submission never runs.
  Unknown,   ///< The result is not known; the caller may retry.
  NoSuchJob, ///< To a cancellation: and none of this id will be accepted.
  NotLeader, ///< Nothing was done; \c m_leader names the leader, if known.
  Cancelled, ///< As NotRun, and retries are useless: the job was cancelled before it was accepted.
};

struct PeerResponse
{
  PeerOutcome m_outcome = PeerOutcome::Unknown;
  JobState m_state = JobState::Queued;
  uint64_t m_count = 0;
  bool m_storeAvailable = true;
  StoredClaim m_leader;
  double m_maxWeight = 0; ///< Highest weight among the leader and the peers that ping it, in cores.
  uint64_t m_claimedEpoch = 0; ///< Epoch that the sender is claiming, or 0. It may have succeeded.
  bool m_declined = false;     ///< The sender was asked to claim the leadership and does not.
  uint32_t m_rank = kNoRank;   ///< To a ping: the receiver's place in the line of succession.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("outcome", aSelf.m_outcome);
    aVisit("state", aSelf.m_state);
    aVisit("count", aSelf.m_count);
    aVisit("store_available", aSelf.m_storeAvailable);
    aVisit("leader", aSelf.m_leader);
    aVisit("strongest", aSelf.m_maxWeight);
    aVisit("claimed_epoch", aSelf.m_claimedEpoch);
    aVisit("declined", aSelf.m_declined);
    aVisit("rank", aSelf.m_rank);
  }
};

using PeerCallback = std::function<void(const PeerResponse&)>;

} // namespace egretturn
