// Callers' requests: admission, at most once by key, routing, queues, retries, hedges and outcomes.
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

enum class RequestPhase
{
  AwaitingIntent, ///< Its key's record has not been read back.
  AwaitingOther,  ///< Another request holds its key.
  Queued,         ///< No slot is free.
  Running,
  Orphaned, ///< Answered as unknown; it runs on so that its outcome can be recorded.
};

/// One dispatch of a request.
struct RequestRun
{
  uint32_t m_attempt = 0;
  WorkerId m_worker = 0; ///< Zero for a peer.
  std::string m_peer;
  Instant m_startedAt{};
};

struct RequestState
{
  RequestArrived m_request;
  RequestPhase m_phase = RequestPhase::Queued;
  std::string m_fullKey; ///< Service and caller's key; empty unless the key is guarded here.
  bool m_idempotent = false;
  bool m_hedged = false;
  bool m_mayHaveRun = false; ///< Some attempt may have reached a target.
  bool m_callerGone = false;
  Instant m_arrivedAt{};
  Instant m_deadline{};
  uint32_t m_attemptCount = 0;
  std::vector<RequestRun> m_attempts;
  WorkerId m_lastWorker = 0;
};

/// Counters for metrics.
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

/// Decides for the requests that arrived at this instance. Not thread-safe.
class RequestController
{
public:
  RequestController(Context& aContext, RackController& aRacks, RouterMap& aRouters);

  void Tick();
  void OnArrived(const RequestArrived& aRequest);
  void OnDispatchEnded(const DispatchEnded& aEnded);
  void OnCallerGone(const CallerDisconnected& aGone);
  void OnApplied(const Applied& aApplied, EntryToken aToken);
  void OnWorkerBusy(WorkerId aWorker, uint32_t aBusySlots);

  /// Follows changes of the owned racks at once instead of at the next tick.
  void RefreshRouters();

  /// Room that this instance offers to peers, for heartbeats.
  std::vector<ServiceCapacity> Room() const;

  /// Requests that callers still wait for, or whose outcome is to be recorded.
  size_t Active() const { return m_requests.size(); }
  const RequestCounts& Counts() const { return m_counts; }

private:
  RequestState* Find(RequestId aId);
  const RequestKind* KindOf(const RequestArrived& aRequest) const;
  bool Reject(const RequestArrived& aRequest,
              ErrorKind aKind,
              std::string aText,
              std::string aRemedy);
  void GuardKey(RequestState& aState);
  void OnIntent(const KeyIntent& aIntent, const Applied& aApplied, EntryToken aToken);
  void OnOutcome(const KeyOutcome& aOutcome);
  void AnswerRecorded(RequestState& aState, const KeyState& aKey);
  void Route(RequestState& aState);
  bool RouteToWorker(RequestState& aState);
  bool RouteToPeer(RequestState& aState);
  std::string ChoosePeer(const RequestState& aState, bool aOwnZone);
  bool WithinLinkBudget(const RequestState& aState, const Member& aPeer);
  void Queue(RequestState& aState);
  void ServeQueues();
  void SendTo(RequestState& aState, const RequestRun& aRun, const std::string& aAddress);
  void Retry(RequestState& aState, const DispatchEnded& aEnded);
  void Hedge(RequestState& aState);
  void OnDeadline(RequestState& aState);
  void Finish(RequestState& aState, Outcome aOutcome, uint32_t aAttempt, Error aError);
  void NotRun(RequestState& aState, ErrorKind aKind, std::string aText, std::string aRemedy);
  void RecordOutcome(const RequestState& aState,
                     KeyResult aFate,
                     uint32_t aStatus,
                     std::string aBody);
  void AbandonRuns(RequestState& aState, uint32_t aExcept);
  void FreeRun(const RequestState& aState, const RequestRun& aRun);

  Context& m_context;
  RackController& m_racks;
  RouterMap& m_routers;
  std::unordered_map<RequestId, RequestState> m_requests;
  std::map<EntryToken, RequestId> m_intents;
  std::unordered_map<std::string, std::set<RequestId>> m_byKey; ///< Waiting for another's outcome.
  std::map<std::string, std::deque<RequestId>, std::less<>> m_queues; ///< By service.
  std::map<std::pair<std::string, std::string>, uint32_t>
    m_sentToPeer; ///< Since its last heartbeat.
  std::map<std::string, uint64_t> m_peerHeard;
  std::map<std::string, TokenBucket> m_links; ///< By placement rule.
  ShareBudget m_retryBudget;
  ShareBudget m_hedgeBudget;
  std::set<std::pair<Instant, RequestId>> m_deadlines;
  std::set<RequestId> m_hedgeable;
  uint64_t m_seenChanges = 0;
  RequestCounts m_counts;
};

} // namespace egretturn
