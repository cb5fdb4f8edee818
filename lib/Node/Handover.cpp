// Handover of the leadership between instances, and of the placed tasks to the new leader.
#include "egretturn/Node/Node.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kPlacedTimeout = std::chrono::milliseconds(1500);
static constexpr Duration kClaimTimeout = std::chrono::milliseconds(1700);
static constexpr Duration kPeerTimeout = std::chrono::seconds(2);
static constexpr Duration kPeerMemory = std::chrono::seconds(30); // then a silent peer is forgotten
// A peer that did not claim the leadership is not asked again for this long.
static constexpr Duration kHandoverRetryDelay = std::chrono::seconds(5);
static constexpr Duration kMinLeadingTime = std::chrono::seconds(1); // before a voluntary handover

// A leader hands over to a peer whose processor share is at least this many times its own.
static constexpr double kMinWeightRatio = 2.0;

static uint64_t
EpochOf(const PlacedTasksResponse& aPlaced)
{
  return std::max(aPlaced.m_epoch, aPlaced.m_recoveringEpoch);
}

PlacedTasksResponse
Node::MakePlacedTasksResponse(uint64_t aEpoch, Placements aPlacements)
{
  const bool unknownTasks =
    std::any_of(aPlacements.m_leases.begin(),
                aPlacements.m_leases.end(),
                [](const WorkerLease& aWorker) { return aWorker.m_hasUnknownTasks; });
  PlacedTasksResponse response;
  (unknownTasks ? response.m_recoveringEpoch : response.m_epoch) = aEpoch;
  response.m_tasks = std::move(aPlacements.m_tasks);
  response.m_leases = std::move(aPlacements.m_leases);
  return response;
}

void
Node::RequestPlacedTasks(const StoredClaim& aPrevious)
{
  const PlacedTasksRequest message{ aPrevious.m_epoch + 1 };
  m_client.Send(
    aPrevious.m_address,
    MakeRequest(
      boost::beast::http::verb::post, PathOf(PeerOperation::Placed), PackCompact(message)),
    kPlacedTimeout,
    [self = shared_from_this(), session = m_session, epoch = aPrevious.m_epoch](
      const ClientResponse& aResponse) {
      PlacedTasksResponse placed;
      if (aResponse.m_result != ClientResult::Completed ||
          !UnpackCompact(aResponse.m_response.body(), placed) || EpochOf(placed) != epoch) {
        Log(LogLine(LogLevel::Info, "placed_unknown")
              .Add("predecessor_epoch", epoch)
              .Add("effect", "earlier jobs wait until every worker has been polled"));
        return;
      }
      session->RestorePlacements({ placed.m_tasks, placed.m_leases });
    });
}

/// Returns the tasks that this instance had placed. It stops leading first, so that the list is
/// final.
PlacedTasksResponse
Node::ServePlaced(const std::string& aBody)
{
  PlacedTasksRequest message;
  if (!UnpackCompact(aBody, message)) {
    return {};
  }
  if (m_session && m_session->Claim().m_epoch < message.m_epoch) {
    OnStepDown("a new leader requested the placed tasks");
    EndSession();
  }
  return EpochOf(m_lastPlaced) + 1 == message.m_epoch ? m_lastPlaced : PlacedTasksResponse();
}

void
Node::HandOver()
{
  m_shuttingDown = true;
  if (!m_session) {
    m_nextPingAt = BootClockNow(); // the leader should know at once
    return;
  }
  HandOverTo(StrongestPeer());
}

const Node::Peer*
Node::StrongestPeer() const
{
  const Instant now = BootClockNow();
  const Peer* best = nullptr;
  for (const std::pair<const std::string, Peer>& peerEntry : m_peers) {
    const Peer& peer = peerEntry.second;
    const bool recent = now - peer.m_lastHeardAt < kPeerTimeout;
    const bool failed =
      peerEntry.first == m_failedHandover.m_instance && now < m_failedHandover.m_retryAt;
    const bool eligible = recent && !failed && !peer.m_ping.m_stopping;
    if (eligible && (!best || peer.m_ping.m_weight > best->m_ping.m_weight)) {
      best = &peer;
    }
  }
  return best;
}

void
Node::RankPeers()
{
  if (!m_session) {
    return;
  }
  const Instant now = BootClockNow();
  std::erase_if(m_peers, [&](const std::pair<const std::string, Peer>& aEntry) {
    return now - aEntry.second.m_lastHeardAt >= kPeerMemory;
  });
  const std::string region = DescribeSelf().m_region;
  std::vector<Peer*> ranked;
  for (std::pair<const std::string, Peer>& peerEntry : m_peers) {
    Peer& peer = peerEntry.second;
    peer.m_rank = kNoRank;
    if (now - peer.m_lastHeardAt < kPeerTimeout && !peer.m_ping.m_stopping) {
      ranked.push_back(&peer);
    }
  }
  std::sort(ranked.begin(), ranked.end(), [&](const Peer* aLeft, const Peer* aRight) {
    const PingMessage& left = aLeft->m_ping;
    const PingMessage& right = aRight->m_ping;
    return std::tuple(-left.m_weight, left.m_region != region, left.m_instance) <
           std::tuple(-right.m_weight, right.m_region != region, right.m_instance);
  });
  for (size_t i = 0; i < ranked.size(); ++i) {
    ranked[i]->m_rank = static_cast<uint32_t>(i);
  }
}

void
Node::HandOverTo(const Peer* aTo)
{
  const uint64_t epoch = m_session->Claim().m_epoch;
  Log(LogLine(LogLevel::Info, "hand_over")
        .Add("epoch", epoch)
        .Add("to", aTo ? aTo->m_ping.m_instance : "nobody"));
  EndSession();
  const Instant now = BootClockNow();
  m_election.OnLeaderLost(now);
  m_election.OnClaimFailed(now); // lets the new leader claim first
  m_handoverPeer.clear();
  if (aTo) {
    AskToClaim(*aTo, epoch);
  }
}

void
Node::AskToClaim(const Peer& aPeer, uint64_t aEpoch)
{
  m_handoverPeer = aPeer.m_ping.m_instance;
  m_client.Send(
    aPeer.m_ping.m_address,
    MakeRequest(boost::beast::http::verb::post, PathOf(PeerOperation::Claim), ""),
    kClaimTimeout,
    [self = shared_from_this(), instance = aPeer.m_ping.m_instance, aEpoch](
      const ClientResponse& aResponse) { self->OnAskedToClaim(instance, aEpoch, aResponse); });
}

void
Node::OnAskedToClaim(const std::string& aInstance, uint64_t aEpoch, const ClientResponse& aResponse)
{
  PeerResponse response;
  const bool declined = aResponse.m_result == ClientResult::Completed &&
                        UnpackCompact(aResponse.m_response.body(), response) && response.m_declined;
  const bool succeeded = m_session || m_election.Leader()->m_epoch > aEpoch;
  if (succeeded || !(declined || aResponse.m_result == ClientResult::NotSent)) {
    return;
  }
  m_peers.erase(aInstance);
  const Peer* next = StrongestPeer();
  Log(LogLine(LogLevel::Warning, "hand_over_declined")
        .Add("epoch", aEpoch)
        .Add("by", aInstance)
        .Add("next", next ? next->m_ping.m_instance : "nobody"));
  if (next) {
    AskToClaim(*next, aEpoch);
  }
}

void
Node::RecordFailedHandover(const std::optional<StoredClaim>& aPrevious, Instant aNow)
{
  const std::string peer = std::exchange(m_handoverPeer, std::string());
  const bool cameBack = aPrevious && aPrevious->m_instance == m_settings.m_id;
  if (peer.empty() || !cameBack) {
    return;
  }
  m_failedHandover = { peer, aNow + kHandoverRetryDelay }; // the peer's claim may fail at the store
  Log(LogLine(LogLevel::Warning, "hand_over_refused")
        .Add("by", peer)
        .Add("retry_ms", ToMillis(kHandoverRetryDelay)));
}

void
Node::HandOverToStrongerPeer()
{
  if (!m_session || m_shuttingDown || !m_session->IsStoreAvailable()) {
    return;
  }
  const bool settled = BootClockNow() - m_leadingSince >= kMinLeadingTime;
  const Peer* strongest =
    settled && m_session->GetScheduler().IsRecovered() ? StrongestPeer() : nullptr;
  if (strongest && strongest->m_ping.m_weight >= kMinWeightRatio * m_settings.m_weight) {
    HandOverTo(strongest);
  }
}

void
Node::ServeClaim(const PeerCallback& aDone)
{
  m_election.OnHandOver(BootClockNow());
  if (!m_session && !m_shuttingDown) {
    Claim();
  }
  PeerResponse response = MakeNotLeaderResponse();
  response.m_declined = m_shuttingDown;
  aDone(response);
}

} // namespace egretturn
