// The leader's side of the links: passes calls to workers on to the link shards that hold the
// connections to them, or makes them itself while the site is small.
#pragma once

#include "egretturn/Node/LinkPlan.h"
#include "egretturn/Node/LinkPort.h"
#include "egretturn/Node/Ports.h"
#include "egretturn/Support/LogRateLimiter.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace egretturn {

struct WorkerLinksSettings
{
  uint64_t m_epoch = 0;
  LinkInstance m_self;                           ///< The leader itself.
  std::map<std::string, std::string> m_regionOf; ///< By availability zone.
};

/// The state of one link, for metrics.
struct LinkStatus
{
  std::string m_instance;
  size_t m_workers = 0;
  size_t m_callsInFlight = 0;
  Duration m_silence{}; ///< Time since the shard was last heard from.
};

/// Calls workers for the leader of one epoch, directly or through link shards. A link that fails
/// ends its calls with WorkerCallResult::LinkLost, and its workers are called through others.
/// Pending callbacks of the port keep it alive. Not thread-safe.
class WorkerLinks
  : public WorkerPort
  , public std::enable_shared_from_this<WorkerLinks>
{
public:
  /// \p aMayCall tells whether the leader has evidence that it still leads.
  WorkerLinks(LinkPort& aPort,
              WorkerPort& aDirect,
              WorkerLinksSettings aSettings,
              std::function<bool()> aMayCall);

  /// Begins to check the links. A leader of many workers waits a little for shards before it calls
  /// all workers itself.
  void Begin();

  /// Ends all links: no message is sent and no callback of a call runs afterwards.
  void End();

  /// Sets the instances that can serve as shards, ordered by id.
  void SetInstances(std::vector<LinkInstance> aInstances);

  /// Handles results from a shard.
  LinkResultsReply OnResults(const LinkResults& aResults);

  void SetWorkerZone(const WorkerName& aWorker, const std::string& aZone) override;
  void RemoveWorker(const WorkerName& aWorker) override;
  void Poll(const PollWorker& aPoll, uint64_t aFence, PollCallback aDone) override;
  void Start(const StartTask& aStart, uint64_t aFence, WorkerCallCallback aDone) override;
  void Stop(const StopTask& aStop, uint64_t aFence, WorkerCallCallback aDone) override;
  void Throttle(const ThrottleTask& aThrottle, uint64_t aFence, WorkerCallCallback aDone) override;

  /// Returns the id of the instance that calls \p aWorker, which may be the leader's own.
  std::string HolderOf(const WorkerName& aWorker);

  /// Returns the status of all links in use.
  std::vector<LinkStatus> ListLinks() const;

private:
  /// A call that a shard has not reported on yet. One of the callbacks is set.
  struct PendingCall
  {
    PollCallback m_onPolled;
    WorkerCallCallback m_onCalled;
  };

  enum class LinkState
  {
    Closed,
    Opening, ///< The shard does not know yet that its session is confirmed.
    Open,
  };

  /// A message that is being filled.
  struct Draft
  {
    LinkOrders m_orders;
    size_t m_payloadBytes = 0;
    std::unordered_map<GraphId, uint32_t> m_payloadOf; ///< Index of the payload of each job.
  };

  struct Link
  {
    LinkInstance m_instance;
    LinkState m_state = LinkState::Closed;
    uint64_t m_session = 0;
    uint64_t m_lastSequence = 0; ///< Of the results that were processed last.
    std::deque<Draft> m_drafts;
    bool m_sending = false; ///< A message has no reply yet.
    bool m_flushScheduled = false;
    Instant m_nextFlushAt;
    Instant m_heardAt; ///< When new results came last, or when the session began or was confirmed.
    Instant m_excludedUntil;
    size_t m_workers = 0; ///< Number of routes through this link.
    std::unordered_map<LinkCallId, PendingCall> m_pending;
  };

  /// How a worker is called at present.
  struct Route
  {
    std::string m_zone;
    size_t m_choice = 0;       ///< Place in the worker's preferences; advanced by failed polls.
    uint64_t m_generation = 0; ///< Of the plan by which m_link was determined.
    Link* m_link = nullptr;    ///< nullptr if the leader itself calls the worker.
  };

  /// Determines who calls \p aWorker. Returns nullptr for the leader itself.
  Link* FindLink(const WorkerName& aWorker);
  Link* ChooseLink(const WorkerName& aWorker, const Route& aRoute);
  static void SetLink(Route& aRoute, Link* aLink);
  /// Returns whether calls have to wait for shards, because the leader can't carry all workers.
  bool MustWait() const;
  /// Keeps \p aCall until shards are known, if calls have to wait. Returns whether it does.
  bool HoldIfWaiting(std::function<void()> aCall);
  void ReleaseHeldCalls();
  void UpdatePlan();
  void CheckLinks();
  void Open(Link& aLink);
  void Close(Link& aLink);
  void Fail(Link& aLink, std::string_view aReason);
  /// Returns the message to which the next call is added.
  Draft& DraftOf(Link& aLink);
  void ScheduleFlush(Link& aLink);
  void Flush(Link& aLink);
  void Send(Link& aLink, LinkOrders aOrders);
  void OnOrdersReply(const std::string& aInstance,
                     uint64_t aSession,
                     const std::optional<LinkOrdersReply>& aReply);
  /// Returns \p aDone, preceded by a look at whether the worker should be called by another one.
  PollCallback WatchPoll(const WorkerName& aWorker, PollCallback aDone);
  LinkCallId AddPending(Link& aLink, PendingCall aCall);
  Duration FlushInterval() const;

  LinkPort& m_port;
  WorkerPort& m_direct;
  WorkerLinksSettings m_settings;
  std::function<bool()> m_mayCall;
  std::vector<LinkInstance> m_instances;
  LinkPlan m_plan;
  bool m_planStale = false;
  uint64_t m_generation = 1; ///< Rises with each change of the plan.
  bool m_sharded = false;    ///< The site has more workers than the leader can carry.
  std::unordered_map<std::string, std::unique_ptr<Link>> m_links; ///< By instance.
  std::unordered_map<WorkerName, Route> m_routes;
  std::map<std::string, size_t> m_workersByZone;
  std::vector<std::function<void()>> m_held; ///< Calls that wait for shards.
  LinkCallId m_lastCall = 0;
  uint64_t m_lastSession = 0;
  Instant m_waitUntil;
  bool m_ended = false;
  LogRateLimiter m_failureLimiter;
};

} // namespace egretturn
