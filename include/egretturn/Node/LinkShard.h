// The side of a link that calls workers: executes a leader's orders and reports the results.
#pragma once

#include "egretturn/Node/LinkPort.h"
#include "egretturn/Node/Ports.h"
#include "egretturn/Scheduler/ZoneEvacuations.h"

#include <memory>
#include <unordered_map>

namespace egretturn {

/// Counters for metrics.
struct LinkShardCounters
{
  uint64_t m_calls = 0;        ///< Calls to workers.
  uint64_t m_refusedCalls = 0; ///< Calls of messages that were not executed.
  uint64_t m_evacuated = 0;    ///< Starts that were refused, because their zone is evacuated.
  uint64_t m_results = 0;      ///< Messages with results.
};

/// Holds connections to workers for the current leader. Orders are executed only while the leader
/// has recently confirmed that it leads, so that a shard which was suspended does not act on old
/// ones. Pending callbacks keep it alive. Not thread-safe.
class LinkShard : public std::enable_shared_from_this<LinkShard>
{
public:
  /// \p aInstance is the id of this instance.
  LinkShard(LinkPort& aPort, WorkerPort& aWorkers, std::string aInstance);

  /// Executes the calls of \p aOrders, or refuses all of them.
  LinkOrdersReply OnOrders(const LinkOrders& aOrders);

  /// Ends the session of an earlier epoch, since the leader of \p aEpoch is known.
  void OnEpoch(uint64_t aEpoch);

  /// Sets the zones whose workers get no starts from now on: the leader may not know of a request
  /// yet, or may be cut off from the store. A shard that has not read any relies on the leader.
  void SetEvacuations(ZoneEvacuations aEvacuations) { m_evacuations = std::move(aEvacuations); }

  /// Returns the number of calls that workers have not responded to yet.
  size_t CallsInFlight() const;

  const LinkShardCounters& Counters() const { return m_counters; }

private:
  /// One leader's session. Results of an earlier session are dropped.
  struct Session
  {
    uint64_t m_epoch = 0;
    uint64_t m_number = 0;
    std::string m_leader;
    Duration m_flushInterval{};
    Instant m_confirmedAt; ///< When the heartbeat was sent that the leader has last confirmed.
    bool m_confirmed = false;
    Instant m_answeredAt;         ///< When the leader last replied.
    LinkResults m_draft;          ///< Results that were not sent yet.
    LinkResults m_unacknowledged; ///< The message in flight.
    bool m_sending = false;
    bool m_flushScheduled = false;
    Instant m_flushAt;     ///< When the scheduled flush is due.
    Instant m_nextFlushAt; ///< No message is sent before.
    size_t m_callsInFlight = 0;
    std::unordered_map<WorkerName, Instant> m_respondedAt; ///< Last response of each worker.
  };

  void Open(const LinkOrders& aOrders);
  static bool IsValid(const LinkOrders& aOrders);
  void Execute(const LinkOrders& aOrders);
  /// Reports the start as not sent if its zone is evacuated. Returns false otherwise.
  bool RefuseEvacuated(const LinkStart& aStart);
  /// Returns the fence of a call, which a leader of an earlier version does not name.
  uint64_t FenceOfCall(uint64_t aFence) const;
  void ExecutePoll(const LinkPoll& aPoll);
  /// Polls the worker once to learn whether the process still runs that listed the ends, and if so
  /// acknowledges them.
  void PollBeforeAcknowledging(const LinkPoll& aPoll);
  void SendPoll(const LinkPoll& aPoll, PollCallback aDone);
  PollCallback ReportPoll(const std::shared_ptr<Session>& aSession, LinkCallId aCall);
  /// Returns whether the leader has confirmed lately that it leads. \pre There is a session.
  bool IsConfirmed() const;
  /// Returns whether \p aSession is the current one.
  bool IsCurrent(const std::shared_ptr<Session>& aSession) const { return aSession == m_session; }
  WorkerCallCallback ReportCall(LinkCallId aCall);
  void ScheduleFlush(const std::shared_ptr<Session>& aSession, Duration aDelay);
  void Flush(const std::shared_ptr<Session>& aSession);
  void SendUnacknowledged(const std::shared_ptr<Session>& aSession);
  void OnResultsReply(const std::shared_ptr<Session>& aSession,
                      Instant aSentAt,
                      const std::optional<LinkResultsReply>& aReply);
  void EndSession(std::string_view aReason);

  LinkPort& m_port;
  WorkerPort& m_workers;
  std::string m_instance;
  uint64_t m_newestEpoch = 0;
  ZoneEvacuations m_evacuations;
  std::shared_ptr<Session> m_session;
  LinkShardCounters m_counters;
};

} // namespace egretturn
