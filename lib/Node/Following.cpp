// Tells other instances directly who leads, and learns from their responses whom they follow: a
// leader without the store needs this to go on, and a new leader to know that earlier ones stop.
#include "egretturn/Node/Node.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kFollowInterval = std::chrono::milliseconds(250);
static constexpr Duration kFollowTimeout = std::chrono::milliseconds(800);

// A leader asks its witnesses once the store has not confirmed its claim for this long, so that
// they have responded before CallAuthority needs them.
static constexpr Duration kUnconfirmedTime = std::chrono::milliseconds(600);

// One witness in each zone, so that a cut between zones leaves a witness on either side; more if
// there are few zones.
static constexpr size_t kMinWitnesses = 3;

static constexpr Duration kMaxWitnessSilence = std::chrono::seconds(2);

std::vector<Witness>
Node::ChooseWitnesses() const
{
  const Instant now = BootClockNow();
  const std::vector<Witness>& present = m_session->Witnesses();
  const auto isPresent = [&](const Peer* aPeer) {
    return std::any_of(present.begin(), present.end(), [&](const Witness& aWitness) {
      return aWitness.m_instance == aPeer->m_ping.m_instance;
    });
  };
  std::vector<const Peer*> candidates;
  for (const std::pair<const std::string, Peer>& peerEntry : m_peers) {
    const Peer& peer = peerEntry.second;
    if (now - peer.m_lastHeardAt < kMaxWitnessSilence && !peer.m_ping.m_stopping) {
      candidates.push_back(&peer);
    }
  }
  // The present ones first, so that they change only if one is lost.
  std::sort(candidates.begin(), candidates.end(), [&](const Peer* aLeft, const Peer* aRight) {
    return std::tuple(!isPresent(aLeft), aLeft->m_rank, aLeft->m_ping.m_instance) <
           std::tuple(!isPresent(aRight), aRight->m_rank, aRight->m_ping.m_instance);
  });
  std::set<std::string> zones;
  std::vector<Witness> witnesses;
  std::vector<const Peer*> others;
  const size_t maxWitnesses = std::max(kMinWitnesses, m_settings.m_regionOf.size());
  for (const Peer* peer : candidates) {
    // A stranger may name any zone.
    if (witnesses.size() < maxWitnesses && zones.insert(peer->m_ping.m_zone).second) {
      witnesses.push_back({ peer->m_ping.m_instance, peer->m_ping.m_address });
    } else {
      others.push_back(peer);
    }
  }
  for (size_t i = 0; i < others.size() && witnesses.size() < kMinWitnesses; ++i) {
    witnesses.push_back({ others[i]->m_ping.m_instance, others[i]->m_ping.m_address });
  }
  std::sort(witnesses.begin(), witnesses.end(), [](const Witness& aLeft, const Witness& aRight) {
    return aLeft.m_instance < aRight.m_instance;
  });
  return witnesses;
}

void
Node::ContactFollowers()
{
  if (!m_session) {
    return;
  }
  const Instant now = BootClockNow();
  std::vector<Witness> contacts;
  if (now - m_session->ConfirmedAt() >= kUnconfirmedTime) {
    contacts = m_session->Witnesses();
  }
  if (!m_earlierLeadersStopping) {
    for (const EarlierLeader& earlier : m_session->EarlierLeaders()) {
      contacts.insert(contacts.end(), earlier.m_contacts.begin(), earlier.m_contacts.end());
    }
  }
  for (const Witness& contact : contacts) {
    Instant& nextAt = m_nextContactAt[contact.m_instance];
    if (contact.m_instance != m_settings.m_id && now >= nextAt) {
      nextAt = now + kFollowInterval;
      AskToFollow(contact);
    }
  }
}

void
Node::AskToFollow(const Witness& aPeer)
{
  m_client.Send(aPeer.m_address,
                MakeRequest(boost::beast::http::verb::post,
                            PathOf(PeerOperation::Follow),
                            PackCompact(m_session->Claim())),
                kFollowTimeout,
                [self = shared_from_this(),
                 session = m_session,
                 instance = aPeer.m_instance,
                 sentAt = BootClockNow()](const ClientResponse& aResponse) {
                  PeerResponse response;
                  if (self->m_session == session && aResponse.m_result == ClientResult::Completed &&
                      UnpackCompact(aResponse.m_response.body(), response)) {
                    self->OnFollowResponse(instance, sentAt, response);
                  }
                });
}

void
Node::OnFollowResponse(const std::string& aInstance, Instant aSentAt, const PeerResponse& aResponse)
{
  const uint64_t epoch = m_session->Claim().m_epoch;
  if (aResponse.m_leader.m_epoch > epoch) {
    m_election.OnClaim(aResponse.m_leader, BootClockNow());
    OnStepDown("instance " + aInstance + " follows a newer leader");
  } else if (aResponse.m_leader.m_epoch == epoch) {
    m_session->OnFollowed(aInstance, aSentAt);
    OnFollower(aInstance);
  }
}

void
Node::OnFollower(const std::string& aInstance)
{
  m_followers.insert(aInstance);
  if (m_earlierLeadersStopping || !AreEarlierLeadersStopping(m_session->EarlierLeaders())) {
    return;
  }
  m_earlierLeadersStopping = true;
  Log(LogLine(LogLevel::Info, "earlier_leaders_stopping")
        .Add("epoch", m_session->Claim().m_epoch)
        .Add("ms", ToMillis(BootClockNow() - m_leadingSince)));
  m_session->OnEarlierLeadersStopping();
}

bool
Node::AreEarlierLeadersStopping(const std::vector<EarlierLeader>& aLeaders) const
{
  const auto follows = [&](const Witness& aContact) {
    return aContact.m_instance == m_settings.m_id || m_followers.count(aContact.m_instance) > 0;
  };
  return std::all_of(aLeaders.begin(), aLeaders.end(), [&](const EarlierLeader& aLeader) {
    return std::any_of(aLeader.m_contacts.begin(), aLeader.m_contacts.end(), follows);
  });
}

PeerResponse
Node::ServeFollow(const std::string& aBody)
{
  StoredClaim claim;
  if (UnpackCompact(aBody, claim) && claim.m_epoch > 0) {
    m_election.OnClaim(claim, BootClockNow()); // ignored unless it is newer
    m_shard->OnEpoch(claim.m_epoch);
    if (m_session && claim.m_epoch > m_session->Claim().m_epoch) {
      OnStepDown("a newer leader has called");
    }
  }
  return MakeNotLeaderResponse();
}

} // namespace egretturn
