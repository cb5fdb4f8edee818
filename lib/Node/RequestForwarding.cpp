// Brings callers' requests to whoever decides, and tries again while that may help. All operations
// are idempotent by job id.
#include "egretturn/Journal/Codec.h"
#include "egretturn/Node/Node.h"

namespace egretturn {

static constexpr Duration kTryTimeout = std::chrono::milliseconds(1200);
static constexpr Duration kTryAgain = std::chrono::milliseconds(100);
static constexpr Duration kLeaderWait =
  std::chrono::milliseconds(1500); // for a caller, without a leader

/// A caller's request on its way to whoever decides.
struct Node::Call
{
  explicit Call(boost::asio::io_context& aIo)
    : m_timer(aIo)
  {
  }

  PeerOperation m_operation = PeerOperation::State;
  std::string m_body;
  Instant m_beganAt;
  Instant m_deadline;
  bool m_mayBeDone = false; ///< An earlier try may have reached the leader.
  bool m_offered = false;   ///< A leader was there to try.
  bool m_trying = false;    ///< A try is on its way.
  PeerCallback m_done;
  boost::asio::steady_timer m_timer;
};

void
Node::Submit(Submission aSubmission, Duration aDeadline, PeerCallback aDone)
{
  const SubmitMessage message{ aSubmission.m_id,
                               std::move(aSubmission.m_terms),
                               std::move(aSubmission.m_graph) };
  Begin(PeerOperation::Submit, PackCompact(message), aDeadline, std::move(aDone));
}

void
Node::Cancel(GraphId aId, Duration aDeadline, PeerCallback aDone)
{
  Begin(PeerOperation::Cancel, PackCompact(JobMessage{ aId, "" }), aDeadline, std::move(aDone));
}

void
Node::State(GraphId aId, Duration aDeadline, PeerCallback aDone)
{
  Begin(PeerOperation::State, PackCompact(JobMessage{ aId, "" }), aDeadline, std::move(aDone));
}

void
Node::Pending(const std::string& aRoute, Duration aDeadline, PeerCallback aDone)
{
  Begin(PeerOperation::Pending, PackCompact(JobMessage{ 0, aRoute }), aDeadline, std::move(aDone));
}

void
Node::Begin(PeerOperation aOperation, std::string aBody, Duration aDeadline, PeerCallback aDone)
{
  const std::shared_ptr<Call> call = std::make_shared<Call>(m_io);
  call->m_operation = aOperation;
  call->m_body = std::move(aBody);
  call->m_beganAt = NowWithSuspend();
  call->m_deadline = call->m_beganAt + aDeadline;
  call->m_done = std::move(aDone);
  m_calls.insert(call);
  Try(call);
}

void
Node::Try(const std::shared_ptr<Call>& aCall)
{
  const Instant now = NowWithSuspend();
  if (m_finishing) {
    GiveUp(aCall);
    return;
  }
  if (m_decider) {
    aCall->m_offered = true;
    aCall->m_trying = true;
    ServeDeciding(aCall->m_operation,
                  aCall->m_body,
                  [self = shared_from_this(), aCall](const PeerAnswer& aAnswer) {
                    self->Settle(aCall, aAnswer);
                  });
    return;
  }
  if (!m_succession.HasLeader(now)) {
    TryLater(aCall);
    return;
  }
  aCall->m_offered = true;
  aCall->m_trying = true;
  const Duration left = aCall->m_deadline - now;
  m_client.Send(
    m_succession.Leader()->m_address,
    MakeRequest(boost::beast::http::verb::post, PathOf(aCall->m_operation), aCall->m_body),
    std::min(left, kTryTimeout),
    [self = shared_from_this(), aCall](const ClientResponse& aAnswer) {
      self->OnTried(aCall, aAnswer);
    });
}

void
Node::OnTried(const std::shared_ptr<Call>& aCall, const ClientResponse& aAnswer)
{
  PeerAnswer answer;
  if (aAnswer.m_result == ClientResult::Completed &&
      UnpackCompact(aAnswer.m_response.body(), answer)) {
    Settle(aCall, answer);
    return;
  }
  if (aAnswer.m_result != ClientResult::NotSent) {
    aCall->m_mayBeDone = true;
  }
  TryLater(aCall);
}

void
Node::Settle(const std::shared_ptr<Call>& aCall, const PeerAnswer& aAnswer)
{
  if (aAnswer.m_outcome == PeerOutcome::NotDeciding) {
    m_succession.OnClaim(aAnswer.m_leader, NowWithSuspend()); // passed over unless it is newer
    TryLater(aCall);
    return;
  }
  if (aAnswer.m_outcome == PeerOutcome::Unknown) {
    aCall->m_mayBeDone = true;
    TryLater(aCall);
    return;
  }
  if (aAnswer.m_outcome == PeerOutcome::NotRun && aCall->m_mayBeDone) {
    PeerAnswer unknown = aAnswer;
    unknown.m_outcome = PeerOutcome::Unknown;
    Finish(aCall, unknown);
    return;
  }
  Finish(aCall, aAnswer);
}

void
Node::Finish(const std::shared_ptr<Call>& aCall, const PeerAnswer& aAnswer)
{
  if (m_calls.erase(aCall) > 0) {
    aCall->m_done(aAnswer);
  }
}

void
Node::GiveUp(const std::shared_ptr<Call>& aCall)
{
  PeerAnswer answer;
  answer.m_outcome = aCall->m_mayBeDone ? PeerOutcome::Unknown : PeerOutcome::NotRun;
  Finish(aCall, answer);
}

void
Node::FinishCalls()
{
  m_finishing = true;
  const std::set<std::shared_ptr<Call>> calls = m_calls;
  for (const std::shared_ptr<Call>& call : calls) {
    call->m_mayBeDone = call->m_mayBeDone || call->m_trying;
    GiveUp(call);
  }
}

void
Node::TryLater(const std::shared_ptr<Call>& aCall)
{
  aCall->m_trying = false;
  const Instant now = NowWithSuspend();
  const bool lateForLeader = !aCall->m_offered && now - aCall->m_beganAt >= kLeaderWait;
  if (m_finishing || now + kTryAgain >= aCall->m_deadline || lateForLeader) {
    GiveUp(aCall);
    return;
  }
  aCall->m_timer.expires_after(kTryAgain);
  aCall->m_timer.async_wait([self = shared_from_this(), aCall](boost::system::error_code aError) {
    if (!aError) {
      self->Try(aCall);
    }
  });
}

} // namespace egretturn
