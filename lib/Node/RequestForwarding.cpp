// Forwards callers' requests to the leader and retries them until the deadline. All operations are
// idempotent by job id.
#include "egretturn/Journal/Codec.h"
#include "egretturn/Node/Node.h"

namespace egretturn {

static constexpr Duration kLeaderCallTimeout = std::chrono::milliseconds(1200);
static constexpr Duration kCallRetryDelay = std::chrono::milliseconds(100);
// How long a call waits while there is no leader.
static constexpr Duration kMaxLeaderWait = std::chrono::milliseconds(1500);

/// A caller's request to the leader, with its retries.
struct Node::Call
{
  explicit Call(boost::asio::io_context& aIo)
    : m_timer(aIo)
  {
  }

  PeerOperation m_operation = PeerOperation::State;
  std::string m_body;
  Instant m_startedAt;
  Instant m_deadline;
  bool m_mayHaveReachedLeader = false; ///< A try may have reached the leader and taken effect.
  bool m_hadLeader = false;            ///< A leader was known for at least one try.
  bool m_inFlight = false;             ///< A try is waiting for its response.
  PeerCallback m_done;
  boost::asio::steady_timer m_timer;
};

void
Node::Submit(Submission aSubmission, Duration aDeadline, PeerCallback aDone)
{
  const SubmitMessage message{ aSubmission.m_id,
                               std::move(aSubmission.m_terms),
                               std::move(aSubmission.m_graph) };
  StartCall(PeerOperation::Submit, PackCompact(message), aDeadline, std::move(aDone));
}

void
Node::Cancel(GraphId aId, Duration aDeadline, PeerCallback aDone)
{
  StartCall(PeerOperation::Cancel, PackCompact(JobMessage{ aId, "" }), aDeadline, std::move(aDone));
}

void
Node::GetJobState(GraphId aId, Duration aDeadline, PeerCallback aDone)
{
  StartCall(PeerOperation::State, PackCompact(JobMessage{ aId, "" }), aDeadline, std::move(aDone));
}

void
Node::CountPending(const std::string& aRoute, Duration aDeadline, PeerCallback aDone)
{
  StartCall(
    PeerOperation::Pending, PackCompact(JobMessage{ 0, aRoute }), aDeadline, std::move(aDone));
}

void
Node::StartCall(PeerOperation aOperation, std::string aBody, Duration aDeadline, PeerCallback aDone)
{
  const std::shared_ptr<Call> call = std::make_shared<Call>(m_io);
  call->m_operation = aOperation;
  call->m_body = std::move(aBody);
  call->m_startedAt = BootClockNow();
  call->m_deadline = call->m_startedAt + aDeadline;
  call->m_done = std::move(aDone);
  m_calls.insert(call);
  TryCall(call);
}

void
Node::TryCall(const std::shared_ptr<Call>& aCall)
{
  const Instant now = BootClockNow();
  if (m_retriesStopped) {
    FailCall(aCall);
    return;
  }
  if (m_session) {
    aCall->m_hadLeader = true;
    aCall->m_inFlight = true;
    ServeAsLeader(aCall->m_operation,
                  aCall->m_body,
                  [self = shared_from_this(), aCall](const PeerResponse& aResponse) {
                    self->HandleResponse(aCall, aResponse);
                  });
    return;
  }
  if (!m_election.HasLeader(now)) {
    RetryCallLater(aCall);
    return;
  }
  aCall->m_hadLeader = true;
  aCall->m_inFlight = true;
  const Duration left = aCall->m_deadline - now;
  m_client.Send(
    m_election.Leader()->m_address,
    MakeRequest(boost::beast::http::verb::post, PathOf(aCall->m_operation), aCall->m_body),
    std::min(left, kLeaderCallTimeout),
    [self = shared_from_this(), aCall](const ClientResponse& aResponse) {
      self->OnCallResponse(aCall, aResponse);
    });
}

void
Node::OnCallResponse(const std::shared_ptr<Call>& aCall, const ClientResponse& aResponse)
{
  PeerResponse response;
  if (aResponse.m_result == ClientResult::Completed &&
      UnpackCompact(aResponse.m_response.body(), response)) {
    HandleResponse(aCall, response);
    return;
  }
  if (aResponse.m_result != ClientResult::NotSent) {
    aCall->m_mayHaveReachedLeader = true;
  }
  RetryCallLater(aCall);
}

void
Node::HandleResponse(const std::shared_ptr<Call>& aCall, const PeerResponse& aResponse)
{
  if (aResponse.m_outcome == PeerOutcome::NotLeader) {
    m_election.OnClaim(aResponse.m_leader, BootClockNow()); // ignored unless it is newer
    RetryCallLater(aCall);
    return;
  }
  if (aResponse.m_outcome == PeerOutcome::Unknown) {
    aCall->m_mayHaveReachedLeader = true;
    RetryCallLater(aCall);
    return;
  }
  if (aResponse.m_outcome == PeerOutcome::NotRun && aCall->m_mayHaveReachedLeader) {
    PeerResponse unknown = aResponse;
    unknown.m_outcome = PeerOutcome::Unknown;
    CompleteCall(aCall, unknown);
    return;
  }
  CompleteCall(aCall, aResponse);
}

void
Node::CompleteCall(const std::shared_ptr<Call>& aCall, const PeerResponse& aResponse)
{
  if (m_calls.erase(aCall) > 0) {
    aCall->m_done(aResponse);
  }
}

void
Node::FailCall(const std::shared_ptr<Call>& aCall)
{
  PeerResponse response;
  response.m_outcome = aCall->m_mayHaveReachedLeader ? PeerOutcome::Unknown : PeerOutcome::NotRun;
  CompleteCall(aCall, response);
}

void
Node::CompletePendingCalls()
{
  m_retriesStopped = true;
  const std::set<std::shared_ptr<Call>> calls = m_calls;
  for (const std::shared_ptr<Call>& call : calls) {
    call->m_mayHaveReachedLeader = call->m_mayHaveReachedLeader || call->m_inFlight;
    FailCall(call);
  }
}

void
Node::RetryCallLater(const std::shared_ptr<Call>& aCall)
{
  aCall->m_inFlight = false;
  const Instant now = BootClockNow();
  const bool leaderWaitExpired = !aCall->m_hadLeader && now - aCall->m_startedAt >= kMaxLeaderWait;
  if (m_retriesStopped || now + kCallRetryDelay >= aCall->m_deadline || leaderWaitExpired) {
    FailCall(aCall);
    return;
  }
  aCall->m_timer.expires_after(kCallRetryDelay);
  aCall->m_timer.async_wait([self = shared_from_this(), aCall](boost::system::error_code aError) {
    if (!aError) {
      self->TryCall(aCall);
    }
  });
}

} // namespace egretturn
