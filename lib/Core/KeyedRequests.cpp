// Keyed requests: the first intent in log order is dispatched; the others receive its outcome.
#include "egretturn/Core/Requests.h"
#include "egretturn/Support/EnumTable.h"

namespace egretturn {

/// Appends the intent of a keyed request. The request is routed when the intent is read back.
void
RequestController::AcquireKey(RequestState& aState)
{
  const KeyState* keyState = m_context.m_replica.Keys().Find(aState.m_scopedKey);
  if (keyState && keyState->m_bodyHash != aState.m_request.m_bodyHash) {
    FailNotRun(aState,
               ErrorKind::Conflict,
               "the idempotency key was already used with a different body",
               "send a new request with a new key");
    return;
  }
  if (keyState && keyState->m_done) {
    CompleteFromRecord(aState, *keyState);
    return;
  }
  if (keyState) {
    aState.m_phase = RequestPhase::AwaitingKeyHolder;
    m_waitingByKey[aState.m_scopedKey].insert(aState.m_request.m_id);
    return;
  }
  const bool logCurrent = m_context.IsLogCurrent() && m_context.m_intakeCaughtUpAt != Instant{};
  const std::optional<EntryToken> token =
    logCurrent ? m_context.m_writer.Append(
                   Stream::Intake, KeyIntent{ aState.m_scopedKey, aState.m_request.m_bodyHash })
               : std::nullopt;
  if (!token) {
    FailNotRun(aState,
               ErrorKind::Unavailable,
               "the log, which keyed requests require, is unreachable",
               "retry with the same key after 5 s");
    return;
  }
  aState.m_phase = RequestPhase::AwaitingIntent;
  m_pendingIntents[*token] = aState.m_request.m_id;
}

void
RequestController::OnApplied(const AppliedEntry& aApplied, EntryToken aToken)
{
  if (const KeyIntent* intent = std::get_if<KeyIntent>(&aApplied.m_entry)) {
    OnIntent(*intent, aApplied, aToken);
  } else if (const KeyOutcome* outcome = std::get_if<KeyOutcome>(&aApplied.m_entry)) {
    if (aApplied.m_effective) {
      OnOutcome(*outcome);
    }
  }
}

void
RequestController::OnIntent(const KeyIntent& aIntent,
                            const AppliedEntry& aApplied,
                            EntryToken aToken)
{
  if (aApplied.m_writer != m_context.m_self) {
    return;
  }
  const std::map<EntryToken, RequestId>::iterator it = m_pendingIntents.find(aToken);
  RequestState* state = it == m_pendingIntents.end() ? nullptr : Find(it->second);
  if (it != m_pendingIntents.end()) {
    m_pendingIntents.erase(it);
  }
  if (!state) {
    if (aApplied.m_intent == IntentVerdict::Granted) {
      // The caller was told that the request did not run, so the key is released.
      m_context.m_writer.Append(Stream::Intake,
                                KeyOutcome{ aIntent.m_key, KeyResult::NotRun, 0, "" });
    }
    return;
  }
  switch (aApplied.m_intent) {
    case IntentVerdict::Granted:
      state->m_phase = RequestPhase::Queued;
      Route(*state);
      return;
    case IntentVerdict::Completed: {
      const KeyState* key = m_context.m_replica.Keys().Find(aIntent.m_key);
      if (key && key->m_done) {
        CompleteFromRecord(*state, *key);
        return;
      }
      break;
    }
    case IntentVerdict::BodyMismatch:
      FailNotRun(*state,
                 ErrorKind::Conflict,
                 "the idempotency key was already used with a different body",
                 "send a new request with a new key");
      return;
    case IntentVerdict::Pending:
      break;
  }
  state->m_phase = RequestPhase::AwaitingKeyHolder;
  m_waitingByKey[aIntent.m_key].insert(state->m_request.m_id);
}

void
RequestController::OnOutcome(const KeyOutcome& aOutcome)
{
  const std::unordered_map<std::string, std::set<RequestId>>::iterator it =
    m_waitingByKey.find(aOutcome.m_key);
  if (it == m_waitingByKey.end()) {
    return;
  }
  const std::set<RequestId> waiting = std::move(it->second);
  m_waitingByKey.erase(it);
  for (const RequestId id : waiting) {
    RequestState* state = Find(id);
    if (!state || state->m_phase != RequestPhase::AwaitingKeyHolder) {
      continue;
    }
    const KeyState* key = m_context.m_replica.Keys().Find(aOutcome.m_key);
    if (key && key->m_done) {
      CompleteFromRecord(*state, *key);
    } else {
      AcquireKey(*state); // the holder did not run it, so the first of the waiting requests may
    }
  }
}

void
RequestController::CompleteFromRecord(RequestState& aState, const KeyState& aKey)
{
  ++m_counts.m_done;
  CompleteRequest completion;
  completion.m_id = aState.m_request.m_id;
  completion.m_outcome = Outcome::Done;
  completion.m_recordedStatus = aKey.m_status;
  completion.m_recordedBody = aKey.m_body;
  m_context.Log(LogLine(LogLevel::Info, "route")
                  .Add("request", aState.m_request.m_id)
                  .Add("service", aState.m_request.m_service)
                  .Add("outcome", NameOf(Outcome::Done))
                  .Add("reason", "recorded"));
  m_context.Emit(std::move(completion));
  m_deadlines.erase({ aState.m_deadline, aState.m_request.m_id });
  m_requests.erase(aState.m_request.m_id);
}

void
RequestController::RecordOutcome(const RequestState& aState,
                                 KeyResult aResult,
                                 uint32_t aStatus,
                                 std::string aBody)
{
  m_context.m_writer.Append(Stream::Intake,
                            KeyOutcome{ aState.m_scopedKey, aResult, aStatus, std::move(aBody) });
}

} // namespace egretturn
