// Requests of callers: admission, idempotency keys, routing, queues, retries, hedging and outcomes.
#pragma once

#include "egretturn/Core/Racks.h"
#include "egretturn/Core/Tasks.h"
#include "egretturn/Routing/Budget.h"
#include "egretturn/Routing/Router.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace egretturn {

/// Phases of a request until it completes.
enum class RequestPhase
{
  AwaitingIntent,    ///< The intent for its key was not read back yet.
  AwaitingKeyHolder, ///< Another request holds its key.
  Queued,            ///< No slot is free.
  Running,
  Orphaned, ///< Reported as unknown; still running so that its outcome can be recorded.
};

/// One attempt to run a request on a worker or a peer.
struct RequestAttempt
{
  uint32_t m_attempt = 0;
  WorkerId m_worker = 0; ///< Zero if it was sent to a peer.
  std::string m_peer;
  Instant m_startedAt{};
};

/// State of a request until it completes.
struct RequestState
{
  RequestArrived m_request;
  RequestPhase m_phase = RequestPhase::Queued;
  std::string m_scopedKey; ///< Service, request and key; empty unless acquired here.
  bool m_idempotent = false;
  bool m_hedged = false;
  bool m_mayHaveRun = false; ///< At least one attempt may have reached a target.
  bool m_callerDisconnected = false;
  Instant m_arrivedAt{};
  Instant m_deadline{};
  uint32_t m_attemptCount = 0;
  std::vector<RequestAttempt> m_attempts;
  WorkerId m_lastWorker = 0;
};

/// Counters for the metrics endpoint.
struct RequestCounts
{
  uint64_t m_arrived = 0;
  uint64_t m_done = 0;
  uint64_t m_notRun = 0;
  uint64_t m_unknown = 0;
  uint64_t m_retries = 0;
  uint64_t m_hedges = 0;
  uint64_t m_forwards = 0;
  uint64_t m_linkBytes = 0;
};

/// Routes the requests that arrived at this instance and tracks them until they complete.
/// Not thread-safe.
class RequestController
{
public:
  RequestController(Context& aContext, RackController& aRacks, RouterMap& aRouters);

  /// Handles expired deadlines, hedges slow requests and dispatches queued ones.
  void Tick();

  /// Accepts and routes a request, or rejects it.
  void OnArrived(const RequestArrived& aRequest);

  /// Completes or retries a request after one of its attempts has ended.
  void OnDispatchEnded(const DispatchEnded& aEnded);

  /// Abandons the request unless its outcome must be recorded under a key.
  void OnCallerDisconnected(const CallerDisconnected& aDisconnected);

  /// Handles an intent or outcome that was read back.
  void OnApplied(const AppliedEntry& aApplied, EntryToken aToken);

  /// Updates how many slots of a worker are in use by requests of its previous owner.
  void OnBusySlots(WorkerId aWorker, uint32_t aBusySlots);

  /// Updates the routers after a change of the owned racks without waiting for the next tick.
  void RefreshRouters();

  /// Returns the free slots that heartbeats offer to peers.
  std::vector<ServiceCapacity> FreeCapacity() const;

  /// Returns the number of requests whose callers still wait or whose outcome is not recorded yet.
  size_t Active() const { return m_requests.size(); }
  const RequestCounts& Counts() const { return m_counts; }

private:
  RequestState* Find(RequestId aId);
  const RequestKind* KindOf(const RequestArrived& aRequest) const;
  bool Reject(const RequestArrived& aRequest,
              ErrorKind aKind,
              std::string aText,
              std::string aRemedy);
  void AcquireKey(RequestState& aState);
  void OnIntent(const KeyIntent& aIntent, const AppliedEntry& aApplied, EntryToken aToken);
  void OnOutcome(const KeyOutcome& aOutcome);
  void CompleteFromRecord(RequestState& aState, const KeyState& aKey);
  void Route(RequestState& aState);
  bool RouteToWorker(RequestState& aState);
  bool RouteToPeer(RequestState& aState);
  std::string ChoosePeer(const RequestState& aState, bool aOwnZone);
  bool TakeLinkBudget(const RequestState& aState, const Member& aPeer);
  void Queue(RequestState& aState);
  void DispatchQueued();
  void SendTo(RequestState& aState, const RequestAttempt& aAttempt, const std::string& aAddress);
  void Retry(RequestState& aState, const DispatchEnded& aEnded);
  void Hedge(RequestState& aState);
  void OnDeadline(RequestState& aState);
  void Finish(RequestState& aState, Outcome aOutcome, uint32_t aAttempt, Error aError);
  void FailNotRun(RequestState& aState, ErrorKind aKind, std::string aText, std::string aRemedy);
  void RecordOutcome(const RequestState& aState,
                     KeyResult aResult,
                     uint32_t aStatus,
                     std::string aBody);
  void AbandonAttempts(RequestState& aState, uint32_t aExcept);
  void ReleaseSlotOf(const RequestState& aState, const RequestAttempt& aAttempt);

  Context& m_context;
  RackController& m_racks;
  RouterMap& m_routers;
  std::unordered_map<RequestId, RequestState> m_requests;
  std::map<EntryToken, RequestId> m_pendingIntents;
  /// Requests that wait for the outcome of another request with the same key.
  std::unordered_map<std::string, std::set<RequestId>> m_waitingByKey;
  /// Queued requests by service.
  std::map<std::string, std::deque<RequestId>, std::less<>> m_queues;
  /// Requests forwarded since the last heartbeat, by peer and service.
  std::map<std::pair<std::string, std::string>, uint32_t> m_forwardedToPeer;
  std::map<std::string, uint64_t> m_peerHeartbeat;
  std::map<std::string, TokenBucket> m_linkBudgets; ///< Link budgets by placement rule.
  ShareBudget m_retryBudget;
  ShareBudget m_hedgeBudget;
  std::set<std::pair<Instant, RequestId>> m_deadlines;
  std::set<RequestId> m_hedgeable;
  uint64_t m_appliedRoutingVersion = 0;
  RequestCounts m_counts;
};

} // namespace egretturn
