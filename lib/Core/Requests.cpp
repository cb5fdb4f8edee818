#include "egretturn/Core/Requests.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>

namespace egretturn {

static constexpr double kBudgetBurst = 20;
static constexpr size_t kMaxQueuedPerSlot = 2; // per slot of the service
static constexpr uint32_t kMaxAttempts = 4;
static constexpr uint32_t kPeerExhausted = UINT32_MAX / 2; // exceeds what any peer offers
static constexpr uint32_t kMinServerErrorStatus = 500;
// How long a keyed request may run after its deadline, so that its outcome gets recorded.
static constexpr Duration kOrphanTimeout = std::chrono::seconds(30);

RequestController::RequestController(Context& aContext, RackController& aRacks, RouterMap& aRouters)
  : m_context(aContext)
  , m_racks(aRacks)
  , m_routers(aRouters)
  , m_retryBudget(0.1, kBudgetBurst)
  , m_hedgeBudget(0.02, kBudgetBurst)
{
}

RequestState*
RequestController::Find(RequestId aId)
{
  const std::unordered_map<RequestId, RequestState>::iterator it = m_requests.find(aId);
  return it == m_requests.end() ? nullptr : &it->second;
}

const RequestKind*
RequestController::KindOf(const RequestArrived& aRequest) const
{
  const Model& model = m_context.Config();
  const std::map<std::string, Service, std::less<>>::const_iterator service =
    model.m_services.find(aRequest.m_service);
  if (service == model.m_services.end()) {
    return nullptr;
  }
  const std::map<std::string, RequestKind, std::less<>>::const_iterator kind =
    service->second.m_requests.find(aRequest.m_request);
  return kind == service->second.m_requests.end() ? nullptr : &kind->second;
}

bool
RequestController::Reject(const RequestArrived& aRequest,
                          ErrorKind aKind,
                          std::string aText,
                          std::string aRemedy)
{
  ++m_counts.m_notRun;
  CompleteRequest completion;
  completion.m_id = aRequest.m_id;
  completion.m_outcome = Outcome::NotRun;
  completion.m_error = Error{ aKind, std::move(aText), std::move(aRemedy) };
  m_context.Log(LogLine(LogLevel::Info, "route")
                  .Add("request", aRequest.m_id)
                  .Add("service", aRequest.m_service)
                  .Add("outcome", NameOf(Outcome::NotRun))
                  .Add("reason", completion.m_error.m_message));
  m_context.Emit(std::move(completion));
  return false;
}

void
RequestController::OnArrived(const RequestArrived& aRequest)
{
  ++m_counts.m_arrived;
  if (!m_context.m_ready) {
    Reject(aRequest,
           ErrorKind::Unavailable,
           "this instance is not ready: " + m_context.m_notReadyReason,
           "retry through the balancer");
    return;
  }
  const RequestKind* kind = KindOf(aRequest);
  if (!kind) {
    Reject(aRequest,
           ErrorKind::NotFound,
           "no service '" + aRequest.m_service + "' with request kind '" + aRequest.m_request +
             "' is configured",
           "check the path against the configuration");
    return;
  }
  if (!kind->m_idempotent && aRequest.m_key.empty()) {
    Reject(aRequest,
           ErrorKind::BadInput,
           "header Idempotency-Key is missing",
           "send a unique key with each " + aRequest.m_request + " and repeat it with each retry");
    return;
  }
  RequestState& state = m_requests[aRequest.m_id];
  state.m_request = aRequest;
  state.m_idempotent = kind->m_idempotent;
  state.m_arrivedAt = m_context.m_now;
  const bool shorter =
    aRequest.m_deadline > Duration::zero() && aRequest.m_deadline < kind->m_deadline;
  state.m_deadline = m_context.m_now + (shorter ? aRequest.m_deadline : kind->m_deadline);
  m_deadlines.emplace(state.m_deadline, aRequest.m_id);
  if (!kind->m_idempotent && !aRequest.m_forwarded) {
    state.m_scopedKey = aRequest.m_service + "/" + aRequest.m_request + "/" + aRequest.m_key;
    AcquireKey(state);
    return;
  }
  Route(state);
}

void
RequestController::Route(RequestState& aState)
{
  if (m_context.m_now >= aState.m_deadline) {
    FailNotRun(
      aState, ErrorKind::Overloaded, "the deadline has passed", "retry with a later deadline");
    return;
  }
  if (RouteToWorker(aState) || RouteToPeer(aState)) {
    return;
  }
  Queue(aState);
}

bool
RequestController::RouteToWorker(RequestState& aState)
{
  const RouterMap::iterator router = m_routers.find(aState.m_request.m_service);
  if (router == m_routers.end()) {
    return false;
  }
  const WorkerId avoid = router->second.Targets().size() > 1 ? aState.m_lastWorker : 0;
  const std::optional<RouteChoice> choice =
    router->second.Choose(m_context.m_random, m_context.m_now, avoid);
  if (!choice) {
    return false;
  }
  const Target& target = router->second.Targets()[choice->m_target];
  const RequestAttempt attempt{ ++aState.m_attemptCount, target.m_worker, "", m_context.m_now };
  const std::string address = target.m_address;
  m_context.Log(LogLine(LogLevel::Info, "route")
                  .Add("request", aState.m_request.m_id)
                  .Add("service", aState.m_request.m_service)
                  .Add("attempt", attempt.m_attempt)
                  .Add("worker", address)
                  .Add("score", choice->m_score)
                  .Add("other", choice->m_alternative)
                  .Add("other_score", choice->m_alternativeScore)
                  .Add("reason", aState.m_attempts.empty() ? "chosen" : "hedge"));
  router->second.AcquireSlot(choice->m_target);
  SendTo(aState, attempt, address);
  return true;
}

void
RequestController::SendTo(RequestState& aState,
                          const RequestAttempt& aAttempt,
                          const std::string& aAddress)
{
  aState.m_phase = RequestPhase::Running;
  aState.m_lastWorker = aAttempt.m_worker;
  aState.m_attempts.push_back(aAttempt);
  if (aState.m_idempotent && !aState.m_hedged && aAttempt.m_worker != 0) {
    m_hedgeable.insert(aState.m_request.m_id);
  }
  Dispatch dispatch;
  dispatch.m_id = aState.m_request.m_id;
  dispatch.m_attempt = aAttempt.m_attempt;
  dispatch.m_address = aAddress;
  dispatch.m_peer = aAttempt.m_peer;
  dispatch.m_notAfter = aState.m_deadline;
  dispatch.m_timeout = aState.m_deadline - m_context.m_now;
  if (!aState.m_scopedKey.empty()) {
    dispatch.m_timeout += kOrphanTimeout;
  }
  m_context.Emit(std::move(dispatch));
}

void
RequestController::Queue(RequestState& aState)
{
  const RouterMap::const_iterator router = m_routers.find(aState.m_request.m_service);
  const uint32_t slots = router == m_routers.end() ? 0 : router->second.TotalSlots();
  std::deque<RequestId>& queue = m_queues[aState.m_request.m_service];
  if (slots == 0 && aState.m_request.m_forwarded) {
    FailNotRun(aState,
               ErrorKind::Overloaded,
               "no worker of the service is available on this instance",
               "retry");
    return;
  }
  const double meanUs = router == m_routers.end() ? 0 : router->second.MeanUs();
  const Duration wait(
    slots > 0 ? static_cast<int64_t>(meanUs * static_cast<double>(queue.size() + 1) / slots) : 0);
  const bool tooLate = m_context.m_now + wait >= aState.m_deadline;
  if (tooLate || queue.size() >= kMaxQueuedPerSlot * std::max<size_t>(slots, 8)) {
    FailNotRun(aState,
               ErrorKind::Overloaded,
               tooLate ? "the deadline cannot be met" : "the queue of the service is full",
               "retry after 1 s");
    return;
  }
  aState.m_phase = RequestPhase::Queued;
  queue.push_back(aState.m_request.m_id);
}

void
RequestController::DispatchQueued()
{
  for (std::pair<const std::string, std::deque<uint64_t>>& queueEntry : m_queues) {
    std::deque<uint64_t>& queue = queueEntry.second;
    while (!queue.empty()) {
      RequestState* state = Find(queue.front());
      if (state && state->m_phase == RequestPhase::Queued && !RouteToWorker(*state) &&
          !RouteToPeer(*state)) {
        break;
      }
      queue.pop_front();
    }
  }
}

void
RequestController::ReleaseSlotOf(const RequestState& aState, const RequestAttempt& aAttempt)
{
  const RouterMap::iterator router = m_routers.find(aState.m_request.m_service);
  if (aAttempt.m_worker != 0 && router != m_routers.end()) {
    router->second.ReleaseSlot(aAttempt.m_worker);
  }
}

void
RequestController::OnDispatchEnded(const DispatchEnded& aEnded)
{
  RequestState* state = Find(aEnded.m_id);
  if (!state) {
    return;
  }
  const std::vector<RequestAttempt>::iterator it = std::find_if(
    state->m_attempts.begin(), state->m_attempts.end(), [&aEnded](const RequestAttempt& aAttempt) {
      return aAttempt.m_attempt == aEnded.m_attempt;
    });
  if (it == state->m_attempts.end()) {
    return;
  }
  const RequestAttempt attempt = *it;
  state->m_attempts.erase(it);
  const bool completed = aEnded.m_result == DispatchResult::Completed;
  const bool failed = !completed || aEnded.m_status >= kMinServerErrorStatus;
  const RouterMap::iterator router = m_routers.find(state->m_request.m_service);
  if (attempt.m_worker != 0 && router != m_routers.end()) {
    router->second.RecordResponse(
      attempt.m_worker, m_context.m_now - attempt.m_startedAt, failed, m_context.m_now);
  }
  const bool peerNotRun = aEnded.m_peerOutcome == Outcome::NotRun;
  const bool certainlyNotRun = aEnded.m_result == DispatchResult::NotSent ||
                               aEnded.m_result == DispatchResult::Refused || peerNotRun;
  if (peerNotRun) {
    // The peer's last heartbeat is out of date; it is considered again after the next one.
    m_forwardedToPeer[{ attempt.m_peer, state->m_request.m_service }] = kPeerExhausted;
  }
  state->m_mayHaveRun = state->m_mayHaveRun || !certainlyNotRun;
  const bool peerUnknown = aEnded.m_peerOutcome == Outcome::Unknown;
  const bool succeeded =
    completed && !peerNotRun && !peerUnknown && (!failed || !state->m_idempotent);
  if (succeeded) {
    m_retryBudget.Earn();
    m_hedgeBudget.Earn();
    AbandonAttempts(*state, attempt.m_attempt);
    if (!state->m_scopedKey.empty()) {
      RecordOutcome(*state, KeyResult::Done, aEnded.m_status, aEnded.m_responseBody);
    }
    Finish(*state, Outcome::Done, attempt.m_attempt, Error{});
  } else {
    Retry(*state, aEnded);
  }
  DispatchQueued();
}

/// Retries a failed attempt if that is safe and within the budget; completes the request otherwise.
void
RequestController::Retry(RequestState& aState, const DispatchEnded& aEnded)
{
  if (!aState.m_attempts.empty()) {
    return; // a hedged attempt is still running
  }
  const bool safe = aState.m_idempotent || !aState.m_mayHaveRun;
  const bool orphaned = aState.m_phase == RequestPhase::Orphaned;
  const bool inTime = m_context.m_now < aState.m_deadline;
  if (safe && !orphaned && inTime && !aState.m_callerDisconnected &&
      aState.m_attemptCount < kMaxAttempts && m_retryBudget.Take()) {
    ++m_counts.m_retries;
    Route(aState);
    return;
  }
  if (!aState.m_mayHaveRun) {
    FailNotRun(aState,
               ErrorKind::Unavailable,
               "no target accepted the request (" + std::string(NameOf(aEnded.m_result)) + ")",
               "retry after 1 s");
    return;
  }
  if (aEnded.m_result == DispatchResult::Completed && !aEnded.m_peerOutcome) {
    Finish(aState, Outcome::Done, aEnded.m_attempt, Error{}); // the target's own error
    return;
  }
  Finish(aState,
         Outcome::Unknown,
         0,
         Error{ ErrorKind::Unavailable,
                "the response of the target is incomplete (" +
                  std::string(NameOf(aEnded.m_result)) + ")",
                aState.m_idempotent ? "retry" : "retry with the same key" });
}

void
RequestController::Hedge(RequestState& aState)
{
  const RouterMap::const_iterator router = m_routers.find(aState.m_request.m_service);
  if (router == m_routers.end() || aState.m_attempts.size() != 1 ||
      aState.m_attempts[0].m_worker == 0) {
    return;
  }
  const Duration after = router->second.HedgeDelay();
  const Duration running = m_context.m_now - aState.m_attempts[0].m_startedAt;
  if (after <= Duration::zero() || running < after || !m_hedgeBudget.Take()) {
    return;
  }
  aState.m_hedged = true;
  m_hedgeable.erase(aState.m_request.m_id);
  if (RouteToWorker(aState)) {
    ++m_counts.m_hedges;
  }
}

void
RequestController::AbandonAttempts(RequestState& aState, uint32_t aExcept)
{
  for (const RequestAttempt& attempt : aState.m_attempts) {
    if (attempt.m_attempt != aExcept) {
      m_context.Emit(AbandonDispatch{ aState.m_request.m_id, attempt.m_attempt });
      ReleaseSlotOf(aState, attempt);
    }
  }
  aState.m_attempts.clear();
}

void
RequestController::FailNotRun(RequestState& aState,
                              ErrorKind aKind,
                              std::string aText,
                              std::string aRemedy)
{
  if (aState.m_mayHaveRun) {
    // An earlier attempt may have run, so "not run" cannot be reported.
    Finish(aState, Outcome::Unknown, 0, Error{ aKind, std::move(aText), std::move(aRemedy) });
    return;
  }
  const bool holdsKey = !aState.m_scopedKey.empty() &&
                        aState.m_phase != RequestPhase::AwaitingIntent &&
                        aState.m_phase != RequestPhase::AwaitingKeyHolder;
  const KeyState* key = m_context.m_replica.Keys().Find(aState.m_scopedKey);
  if (holdsKey && key && key->m_holder == m_context.m_self && !key->m_done) {
    RecordOutcome(aState, KeyResult::NotRun, 0, "");
  }
  Finish(aState, Outcome::NotRun, 0, Error{ aKind, std::move(aText), std::move(aRemedy) });
}

void
RequestController::Finish(RequestState& aState, Outcome aOutcome, uint32_t aAttempt, Error aError)
{
  const RequestId id = aState.m_request.m_id;
  m_hedgeable.erase(id);
  m_deadlines.erase({ aState.m_deadline, id });
  if (aState.m_phase != RequestPhase::Orphaned) {
    m_counts.m_done += aOutcome == Outcome::Done ? 1 : 0;
    m_counts.m_notRun += aOutcome == Outcome::NotRun ? 1 : 0;
    m_counts.m_unknown += aOutcome == Outcome::Unknown ? 1 : 0;
    CompleteRequest completion;
    completion.m_id = id;
    completion.m_outcome = aOutcome;
    completion.m_attempt = aAttempt;
    completion.m_error = std::move(aError);
    if (aOutcome != Outcome::Done) {
      m_context.Log(LogLine(LogLevel::Info, "route")
                      .Add("request", id)
                      .Add("service", aState.m_request.m_service)
                      .Add("outcome", NameOf(aOutcome))
                      .Add("reason", completion.m_error.m_message));
    }
    m_context.Emit(std::move(completion));
  }
  m_requests.erase(id);
}

/// Handles an expired deadline of a request that is not completed.
void
RequestController::OnDeadline(RequestState& aState)
{
  const Error late{ ErrorKind::Unavailable,
                    "the deadline passed while the request was running",
                    aState.m_idempotent ? "retry" : "retry with the same key" };
  switch (aState.m_phase) {
    case RequestPhase::AwaitingKeyHolder:
      Finish(aState,
             Outcome::Unknown,
             0,
             Error{ ErrorKind::Unavailable,
                    "an earlier request with this key has no known outcome",
                    "retry with the same key" });
      return;
    case RequestPhase::AwaitingIntent:
      FailNotRun(aState,
                 ErrorKind::Unavailable,
                 "the log did not respond in time",
                 "retry with the same key");
      return;
    case RequestPhase::Queued:
      if (aState.m_mayHaveRun) {
        Finish(aState, Outcome::Unknown, 0, late);
      } else {
        FailNotRun(aState, ErrorKind::Overloaded, "no slot became free in time", "retry after 1 s");
      }
      return;
    case RequestPhase::Running:
      if (aState.m_scopedKey.empty()) {
        AbandonAttempts(aState, 0);
        Finish(aState, Outcome::Unknown, 0, late);
        return;
      }
      break;
    case RequestPhase::Orphaned:
      return;
  }
  // A keyed request continues to run, so that a retry with the same key receives its outcome.
  CompleteRequest completion;
  completion.m_id = aState.m_request.m_id;
  completion.m_outcome = Outcome::Unknown;
  completion.m_error = late;
  ++m_counts.m_unknown;
  m_context.Emit(std::move(completion));
  aState.m_phase = RequestPhase::Orphaned;
}

void
RequestController::OnCallerDisconnected(const CallerDisconnected& aDisconnected)
{
  RequestState* state = Find(aDisconnected.m_id);
  if (!state) {
    return;
  }
  state->m_callerDisconnected = true;
  if (state->m_scopedKey.empty()) {
    AbandonAttempts(*state, 0);
    Finish(*state, Outcome::Unknown, 0, Error{});
    DispatchQueued();
  }
}

void
RequestController::OnBusySlots(WorkerId aWorker, uint32_t aBusySlots)
{
  OwnedWorker* worker = m_racks.FindWorker(aWorker);
  if (!worker || !worker->m_mayHaveForeignRequests) {
    return;
  }
  // After a takeover without release, requests of the previous owner may still run here.
  bool foreign = false;
  for (std::pair<const std::string, Router>& routerEntry : m_routers) {
    Router& router = routerEntry.second;
    router.ObserveBusySlots(aWorker, aBusySlots);
    const Target* target = router.Find(aWorker);
    foreign = foreign || (target && target->m_otherOutstanding > 0);
  }
  worker->m_mayHaveForeignRequests = foreign;
}

void
RequestController::RefreshRouters()
{
  if (m_appliedRoutingVersion == m_racks.RoutingVersion()) {
    return;
  }
  m_appliedRoutingVersion = m_racks.RoutingVersion();
  const Model& model = m_context.Config();
  std::erase_if(m_routers,
                [&model](const auto& aRow) { return !model.m_services.contains(aRow.first); });
  m_retryBudget.SetShare(model.m_policy.m_retryShare);
  m_hedgeBudget.SetShare(model.m_policy.m_hedgeShare);
  for (const std::pair<const std::string, Service>& serviceEntry : model.m_services) {
    const std::string& name = serviceEntry.first;
    const Service& service = serviceEntry.second;
    std::vector<Target> targets;
    for (const std::pair<const std::string, OwnedRack>& rackEntry : m_racks.Racks()) {
      const std::string& rackName = rackEntry.first;
      const OwnedRack& rack = rackEntry.second;
      for (const std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
        const uint32_t id = workerEntry.first;
        const OwnedWorker& worker = workerEntry.second;
        const bool serves =
          std::find(service.m_pools.begin(), service.m_pools.end(), worker.m_pool) !=
          service.m_pools.end();
        if (serves && worker.AcceptsWork() && !rack.m_releasing) {
          Target target;
          target.m_worker = id;
          target.m_address = worker.m_address;
          target.m_rack = rackName;
          targets.push_back(std::move(target));
        }
      }
    }
    Router& router = m_routers.try_emplace(name, m_context.m_options.m_routing).first->second;
    router.Configure(service.m_slots, model.m_policy.m_tailWeight, model.m_policy.m_ejectShare);
    router.SetTargets(targets);
  }
}

std::vector<ServiceCapacity>
RequestController::FreeCapacity() const
{
  std::vector<ServiceCapacity> capacities;
  for (const std::pair<const std::string, Router>& routerEntry : m_routers) {
    const std::string& name = routerEntry.first;
    const Router& router = routerEntry.second;
    const uint32_t free = m_context.m_shuttingDown ? 0 : router.FreeSlots(m_context.m_now);
    capacities.push_back(ServiceCapacity{ name, free });
  }
  return capacities;
}

void
RequestController::Tick()
{
  RefreshRouters();
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_context.m_now) {
    const RequestId id = m_deadlines.begin()->second;
    m_deadlines.erase(m_deadlines.begin());
    if (RequestState* state = Find(id)) {
      OnDeadline(*state);
    }
  }
  const std::vector<RequestId> hedgeable(m_hedgeable.begin(), m_hedgeable.end());
  for (const RequestId id : hedgeable) {
    if (RequestState* state = Find(id)) {
      Hedge(*state);
    }
  }
  DispatchQueued();
}

} // namespace egretturn
