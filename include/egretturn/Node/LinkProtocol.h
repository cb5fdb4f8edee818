// Messages between a leader and the link shards: instances that hold the connections to a share of
// the workers and call these workers for the leader.
#pragma once

#include "egretturn/Scheduler/Actions.h"

#include <string>
#include <vector>

namespace egretturn {

using LinkCallId = uint64_t; ///< Matches a call with its result; unique within an epoch.

/// Starts an attempt. See StartTask.
struct LinkStart
{
  LinkCallId m_call = 0;
  WorkerName m_worker;
  std::string m_address;
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
  uint32_t m_payload = 0; ///< Index in LinkOrders::m_payloads: tasks of one job share a payload.
  std::string m_checkpoint;
  std::string m_ticket;
  int64_t m_leaseEndMs = 0;
  uint64_t m_fence = 0; ///< 0 by an earlier version: the epoch is the fence.
  std::string m_zone;   ///< Of the worker; empty by an earlier version.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("call", aSelf.m_call);
    aVisit("worker", aSelf.m_worker);
    aVisit("address", aSelf.m_address);
    aVisit("task", aSelf.m_task);
    aVisit("attempt", aSelf.m_attempt);
    aVisit("payload", aSelf.m_payload);
    aVisit("checkpoint", aSelf.m_checkpoint);
    aVisit("ticket", aSelf.m_ticket);
    aVisit("lease_end_ms", aSelf.m_leaseEndMs);
    aVisit("fence", aSelf.m_fence);
    aVisit("zone", aSelf.m_zone);
  }
};

/// Stops an attempt. See StopTask.
struct LinkStop
{
  LinkCallId m_call = 0;
  WorkerName m_worker;
  std::string m_address;
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
  uint64_t m_fence = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("call", aSelf.m_call);
    aVisit("worker", aSelf.m_worker);
    aVisit("address", aSelf.m_address);
    aVisit("task", aSelf.m_task);
    aVisit("attempt", aSelf.m_attempt);
    aVisit("fence", aSelf.m_fence);
  }
};

/// Throttles an attempt; its result is not reported. See ThrottleTask.
struct LinkThrottle
{
  WorkerName m_worker;
  std::string m_address;
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
  int m_percent = 100;
  uint64_t m_fence = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("worker", aSelf.m_worker);
    aVisit("address", aSelf.m_address);
    aVisit("task", aSelf.m_task);
    aVisit("attempt", aSelf.m_attempt);
    aVisit("percent", aSelf.m_percent);
    aVisit("fence", aSelf.m_fence);
  }
};

/// Polls a worker. See PollWorker.
struct LinkPoll
{
  LinkCallId m_call = 0;
  WorkerName m_worker;
  std::string m_address;
  int64_t m_leaseEndMs = 0;
  uint64_t m_acknowledged = 0;
  int64_t m_waitMs = 0;
  int64_t m_incarnation = 0;
  uint64_t m_fence = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("call", aSelf.m_call);
    aVisit("worker", aSelf.m_worker);
    aVisit("address", aSelf.m_address);
    aVisit("lease_end_ms", aSelf.m_leaseEndMs);
    aVisit("acknowledged", aSelf.m_acknowledged);
    aVisit("wait_ms", aSelf.m_waitMs);
    aVisit("incarnation", aSelf.m_incarnation);
    aVisit("fence", aSelf.m_fence);
  }
};

/// Calls that a leader asks a link shard to make. A message without calls opens a session.
struct LinkOrders
{
  uint64_t m_epoch = 0;   ///< Of the leader.
  std::string m_leader;   ///< The leader's address for calls between instances.
  uint64_t m_session = 0; ///< Rises each time the leader connects to a shard anew.
  int64_t m_flushMs = 0;  ///< Time for which the shard gathers results before it sends them.
  std::vector<std::string> m_payloads;
  std::vector<LinkStart> m_starts;
  std::vector<LinkStop> m_stops;
  std::vector<LinkThrottle> m_throttles;
  std::vector<LinkPoll> m_polls;

  size_t CountCalls() const
  {
    return m_starts.size() + m_stops.size() + m_throttles.size() + m_polls.size();
  }

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("epoch", aSelf.m_epoch);
    aVisit("leader", aSelf.m_leader);
    aVisit("session", aSelf.m_session);
    aVisit("flush_ms", aSelf.m_flushMs);
    aVisit("payloads", aSelf.m_payloads);
    aVisit("starts", aSelf.m_starts);
    aVisit("stops", aSelf.m_stops);
    aVisit("throttles", aSelf.m_throttles);
    aVisit("polls", aSelf.m_polls);
  }
};

/// What a shard has done with orders.
enum class LinkOrdersOutcome : uint8_t
{
  Taken,
  Superseded,  ///< The shard knows of a newer epoch or session. Nothing was done.
  Unconfirmed, ///< No recent evidence that the leader still leads. Nothing was done.
  Invalid,     ///< The message is malformed. Nothing was done.
};

/// Returns the stable lower-case name of \p aOutcome.
std::string_view NameOf(LinkOrdersOutcome aOutcome);

struct LinkOrdersReply
{
  LinkOrdersOutcome m_outcome = LinkOrdersOutcome::Invalid;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("outcome", aSelf.m_outcome);
  }
};

/// The result of a start or stop.
struct LinkCallResult
{
  LinkCallId m_call = 0;
  WorkerCallResult m_result = WorkerCallResult::NoResponse;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("call", aSelf.m_call);
    aVisit("result", aSelf.m_result);
  }
};

/// The result of a poll.
struct LinkPollResult
{
  LinkCallId m_call = 0;
  WorkerCallResult m_result = WorkerCallResult::NoResponse;
  WorkerStatus m_status; ///< Only if the result is Accepted.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("call", aSelf.m_call);
    aVisit("result", aSelf.m_result);
    aVisit("status", aSelf.m_status);
  }
};

/// Results that a shard reports. A message without results is a heartbeat.
struct LinkResults
{
  uint64_t m_epoch = 0;
  uint64_t m_session = 0;
  uint64_t m_sequence = 0; ///< Rises with each message; a repeated message keeps its number.
  std::string m_instance;  ///< Id of the shard.
  std::vector<LinkCallResult> m_calls;
  std::vector<LinkPollResult> m_polls;
  bool m_confirmed = false; ///< The shard knows that the leader has confirmed the session.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("epoch", aSelf.m_epoch);
    aVisit("session", aSelf.m_session);
    aVisit("sequence", aSelf.m_sequence);
    aVisit("instance", aSelf.m_instance);
    aVisit("calls", aSelf.m_calls);
    aVisit("polls", aSelf.m_polls);
    aVisit("confirmed", aSelf.m_confirmed);
  }
};

/// What a leader says to results.
enum class LinkResultsOutcome : uint8_t
{
  Confirmed,   ///< The sender may go on with the orders of this session.
  Unconfirmed, ///< The results were taken, but the leader may have been superseded.
  Ended,       ///< The receiver does not lead this epoch, or has ended the session.
};

struct LinkResultsReply
{
  LinkResultsOutcome m_outcome = LinkResultsOutcome::Ended;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("outcome", aSelf.m_outcome);
  }
};

} // namespace egretturn
