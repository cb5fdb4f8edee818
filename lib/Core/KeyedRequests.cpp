// Keyed requests: the first intent in log order dispatches, the others are told its outcome.
#include "egretturn/Core/Requests.h"
#include "egretturn/Support/EnumTable.h"

namespace egretturn {

void
RequestController::GuardKey(RequestState& aState)
{
  const KeyState* known = m_context.m_replica.Keys().Find(aState.m_fullKey);
  if (known && known->m_bodyHash != aState.m_request.m_bodyHash) {
    NotRun(aState,
           ErrorKind::Conflict,
           "the idempotency key was used with another body",
           "send a new request with a new key");
    return;
  }
  if (known && known->m_done) {
    AnswerRecorded(aState, *known);
    return;
  }
  if (known) {
    aState.m_phase = RequestPhase::AwaitingOther;
    m_byKey[aState.m_fullKey].insert(aState.m_request.m_id);
    return;
  }
  const bool fresh = m_context.IsLogCurrent() && m_context.m_intakeReadAt != Instant{};
  const std::optional<EntryToken> token =
    fresh ? m_context.m_writer.Append(Stream::Intake,
                                      KeyIntent{ aState.m_fullKey, aState.m_request.m_bodyHash })
          : std::nullopt;
  if (!token) {
    NotRun(aState,
           ErrorKind::Unavailable,
           "the log that guards keyed requests cannot be reached",
           "retry with the same key after 5 s");
    return;
  }
  aState.m_phase = RequestPhase::AwaitingIntent;
  m_intents[*token] = aState.m_request.m_id;
}

void
RequestController::OnApplied(const Applied& aApplied, EntryToken aToken)
{
  if (const KeyIntent* intent = std::get_if<KeyIntent>(&aApplied.m_entry)) {
    OnIntent(*intent, aApplied, aToken);
  } else if (const KeyOutcome* outcome = std::get_if<KeyOutcome>(&aApplied.m_entry)) {
    if (aApplied.m_counts) {
      OnOutcome(*outcome);
    }
  }
}

void
RequestController::OnIntent(const KeyIntent& aIntent, const Applied& aApplied, EntryToken aToken)
{
  if (aApplied.m_writer != m_context.m_self) {
    return;
  }
  const std::map<EntryToken, RequestId>::iterator it = m_intents.find(aToken);
  RequestState* state = it == m_intents.end() ? nullptr : Find(it->second);
  if (it != m_intents.end()) {
    m_intents.erase(it);
  }
  if (!state) {
    if (aApplied.m_intent == IntentVerdict::Granted) {
      // Its caller was told that it did not run; free the key.
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
        AnswerRecorded(*state, *key);
        return;
      }
      break;
    }
    case IntentVerdict::BodyMismatch:
      NotRun(*state,
             ErrorKind::Conflict,
             "the idempotency key was used with another body",
             "send a new request with a new key");
      return;
    case IntentVerdict::Pending:
      break;
  }
  state->m_phase = RequestPhase::AwaitingOther;
  m_byKey[aIntent.m_key].insert(state->m_request.m_id);
}

void
RequestController::OnOutcome(const KeyOutcome& aOutcome)
{
  const std::unordered_map<std::string, std::set<RequestId>>::iterator it =
    m_byKey.find(aOutcome.m_key);
  if (it == m_byKey.end()) {
    return;
  }
  const std::set<RequestId> waiting = std::move(it->second);
  m_byKey.erase(it);
  for (const RequestId id : waiting) {
    RequestState* state = Find(id);
    if (!state || state->m_phase != RequestPhase::AwaitingOther) {
      continue;
    }
    const KeyState* key = m_context.m_replica.Keys().Find(aOutcome.m_key);
    if (key && key->m_done) {
      AnswerRecorded(*state, *key);
    } else {
      GuardKey(*state); // the holder did not run it; the first of the others may
    }
  }
}

void
RequestController::AnswerRecorded(RequestState& aState, const KeyState& aKey)
{
  ++m_counts.m_done;
  CompleteRequest answer;
  answer.m_id = aState.m_request.m_id;
  answer.m_outcome = Outcome::Done;
  answer.m_recordedStatus = aKey.m_status;
  answer.m_recordedBody = aKey.m_body;
  m_context.Log(LogLine(LogLevel::Info, "route")
                  .Add("request", aState.m_request.m_id)
                  .Add("service", aState.m_request.m_service)
                  .Add("outcome", NameOf(Outcome::Done))
                  .Add("reason", "recorded"));
  m_context.Do(std::move(answer));
  m_deadlines.erase({ aState.m_deadline, aState.m_request.m_id });
  m_requests.erase(aState.m_request.m_id);
}

void
RequestController::RecordOutcome(const RequestState& aState,
                                 KeyResult aFate,
                                 uint32_t aStatus,
                                 std::string aBody)
{
  m_context.m_writer.Append(Stream::Intake,
                            KeyOutcome{ aState.m_fullKey, aFate, aStatus, std::move(aBody) });
}

} // namespace egretturn
