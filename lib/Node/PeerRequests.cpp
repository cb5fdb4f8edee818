// Serves what other instances ask of this one, and what callers ask of it as the leader.
#include "egretturn/Journal/Codec.h"
#include "egretturn/Node/Node.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kMaxClaimAge = std::chrono::milliseconds(1800);
// Far more than instances; a stranger may claim any number of names.
static constexpr size_t kMaxPeers = 4096;
PeerResponse
Node::MakeNotLeaderResponse() const
{
  PeerResponse response;
  response.m_outcome = PeerOutcome::NotLeader;
  if (m_election.Leader()) {
    response.m_leader = *m_election.Leader();
  }
  if (const std::shared_ptr<LeadershipClaimer> claimer = m_claimer.lock()) {
    response.m_claimedEpoch = claimer->ClaimedEpoch();
  }
  return response;
}

void
Node::Serve(PeerOperation aOperation, const std::string& aBody, PeerCallback aDone)
{
  if (aOperation == PeerOperation::Ping) {
    ServePing(aBody, aDone);
  } else if (aOperation == PeerOperation::Claim) {
    ServeClaim(aDone);
  } else if (m_session) {
    ServeAsLeader(aOperation, aBody, std::move(aDone));
  } else {
    aDone(MakeNotLeaderResponse());
  }
}

/// Returns whether the texts of \p aPing are as long as those of an instance may be.
static bool
IsPlausible(const PingMessage& aPing)
{
  const std::string* texts[] = {
    &aPing.m_instance, &aPing.m_address, &aPing.m_zone, &aPing.m_region
  };
  return std::all_of(std::begin(texts), std::end(texts), [](const std::string* aText) {
    return aText->size() <= kMaxNameBytes;
  });
}

const Node::Peer*
Node::RecordPing(PingMessage aPing)
{
  if (!IsPlausible(aPing)) {
    return nullptr;
  }
  const auto known = m_peers.find(aPing.m_instance);
  if (known == m_peers.end() && m_peers.size() >= kMaxPeers) {
    return nullptr; // RankPeers() makes room as soon as others are silent
  }
  Peer& peer = known == m_peers.end() ? m_peers[aPing.m_instance] : known->second;
  peer.m_ping = std::move(aPing);
  peer.m_lastHeardAt = BootClockNow();
  return &peer;
}

void
Node::ServePing(const std::string& aBody, const PeerCallback& aDone)
{
  if (!m_session) {
    aDone(MakeNotLeaderResponse());
    return;
  }
  PeerResponse response;
  PingMessage ping;
  if (UnpackCompact(aBody, ping)) {
    if (const Peer* peer = RecordPing(std::move(ping))) {
      response.m_rank = peer->m_rank;
    }
  }
  response.m_outcome = PeerOutcome::Ok;
  response.m_leader = m_session->Claim();
  response.m_storeAvailable = m_session->IsStoreAvailable();
  const Peer* strongest = StrongestPeer();
  response.m_maxWeight =
    std::max(m_settings.m_weight, strongest ? strongest->m_ping.m_weight : 0.0);
  aDone(response);
}

void
Node::ServeState(GraphId aId, const PeerCallback& aDone)
{
  PeerResponse response;
  const std::optional<JobState> state = m_session->StateOf(aId);
  if (state) {
    response.m_outcome = PeerOutcome::Ok;
    response.m_state = *state;
  } else if (BootClockNow() - m_session->ConfirmedAt() < kMaxClaimAge) {
    response.m_outcome = PeerOutcome::NoSuchJob;
  } else {
    m_session
      ->RenewClaim(); // another instance may have claimed the leadership and accepted the job
    response.m_outcome = PeerOutcome::Unknown;
  }
  aDone(response);
}

void
Node::ServeAsLeader(PeerOperation aOperation, const std::string& aBody, PeerCallback aDone)
{
  PeerResponse response;
  if (aOperation == PeerOperation::Submit) {
    SubmitMessage message;
    if (!UnpackCompact(aBody, message)) {
      response.m_outcome = PeerOutcome::NotRun;
      aDone(response);
      return;
    }
    const RequestToken token = m_nextRequest++;
    m_requests.emplace(token, std::move(aDone));
    m_session->Submit(token,
                      { message.m_id, std::move(message.m_terms), std::move(message.m_graph) });
    return;
  }
  JobMessage message;
  if (!UnpackCompact(aBody, message)) {
    aDone(response);
    return;
  }
  if (aOperation == PeerOperation::Cancel) {
    const RequestToken token = m_nextRequest++;
    m_requests.emplace(token, std::move(aDone));
    m_session->Cancel(token, message.m_id);
  } else if (aOperation == PeerOperation::State) {
    ServeState(message.m_id, aDone);
  } else {
    response.m_outcome = PeerOutcome::Ok;
    response.m_count = m_session->CountPending(message.m_route);
    aDone(response);
  }
}

void
Node::OnRequestComplete(RequestToken aRequest, SubmitResult aResult)
{
  const auto it = m_requests.find(aRequest);
  if (it == m_requests.end()) {
    return;
  }
  const PeerCallback done = std::move(it->second);
  m_requests.erase(it);
  PeerResponse response;
  switch (aResult) {
    case SubmitResult::Accepted:
      response.m_outcome = PeerOutcome::Ok;
      break;
    case SubmitResult::NotRun:
    case SubmitResult::TooLarge:
      response.m_outcome = PeerOutcome::NotRun;
      break;
    case SubmitResult::Cancelled:
      response.m_outcome = PeerOutcome::Cancelled;
      break;
    case SubmitResult::Unknown:
      response.m_outcome = PeerOutcome::Unknown;
      break;
    case SubmitResult::NoSuchJob:
      response.m_outcome = PeerOutcome::NoSuchJob;
      break;
  }
  done(response);
}

} // namespace egretturn
