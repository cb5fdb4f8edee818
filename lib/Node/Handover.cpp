// How deciding passes from one instance to the next, and what the next one learns of it.
#include "egretturn/Node/Node.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/Log.h"

namespace egretturn {

static constexpr Duration kPlacedTimeout = std::chrono::milliseconds(1500);
static constexpr Duration kClaimTimeout = std::chrono::milliseconds(1700);
static constexpr Duration kPeerFresh = std::chrono::seconds(2);
static constexpr Duration kPassAgain = std::chrono::seconds(5); // to a peer that has not claimed
static constexpr Duration kSettledLeader = std::chrono::seconds(1); // before it passes on

// A leader passes on to an instance with so many times its share of a processor.
static constexpr double kMuchStronger = 2.0;

void
Node::AskPredecessor(const StoredClaim& aPredecessor)
{
  const SuccessorMessage message{ aPredecessor.m_epoch + 1 };
  m_client.Send(
    aPredecessor.m_address,
    MakeRequest(
      boost::beast::http::verb::post, PathOf(PeerOperation::Placed), PackCompact(message)),
    kPlacedTimeout,
    [self = shared_from_this(), decider = m_decider, epoch = aPredecessor.m_epoch](
      const ClientResponse& aAnswer) {
      PlacedMessage placed;
      if (aAnswer.m_result != ClientResult::Completed ||
          !UnpackCompact(aAnswer.m_response.body(), placed) || placed.m_epoch != epoch) {
        Log(LogLine(LogLevel::Info, "placed_unknown")
              .Add("predecessor_epoch", epoch)
              .Add("effect", "earlier jobs wait until each worker was looked at"));
        return;
      }
      decider->RestorePlaced(placed.m_tasks);
    });
}

/// What this instance had placed. It stops deciding first, so that this is its last word.
PlacedMessage
Node::ServePlaced(const std::string& aBody)
{
  SuccessorMessage message;
  if (!UnpackCompact(aBody, message)) {
    return {};
  }
  if (m_decider && m_decider->Claim().m_epoch < message.m_epoch) {
    OnStepDown("a successor asks what was placed");
    DropDecider();
  }
  return m_lastPlaced.m_epoch + 1 == message.m_epoch ? m_lastPlaced : PlacedMessage();
}

void
Node::HandOver()
{
  m_leaving = true;
  if (!m_decider) {
    return;
  }
  PassOn(StrongestPeer());
}

const Node::Peer*
Node::StrongestPeer() const
{
  const Instant now = NowWithSuspend();
  const Peer* best = nullptr;
  for (const std::pair<const std::string, Peer>& peerEntry : m_peers) {
    const Peer& peer = peerEntry.second;
    const bool fresh = now - peer.m_heardAt < kPeerFresh;
    const bool refuses = peerEntry.first == m_refusal.m_instance && now < m_refusal.m_until;
    if (fresh && !refuses && (!best || peer.m_ping.m_weight > best->m_ping.m_weight)) {
      best = &peer;
    }
  }
  return best;
}

void
Node::PassOn(const Peer* aTo)
{
  const std::string address = aTo ? aTo->m_ping.m_address : std::string();
  m_passedTo = aTo ? aTo->m_ping.m_instance : std::string();
  Log(LogLine(LogLevel::Info, "hand_over")
        .Add("epoch", m_decider->Claim().m_epoch)
        .Add("to", aTo ? aTo->m_ping.m_instance : "nobody"));
  DropDecider();
  const Instant now = NowWithSuspend();
  m_succession.OnLeaderGone(now);
  m_succession.OnClaimFailed(now); // the successor goes first
  if (!address.empty()) {
    m_client.Send(address,
                  MakeRequest(boost::beast::http::verb::post, PathOf(PeerOperation::Claim), ""),
                  kClaimTimeout,
                  [](const ClientResponse&) {});
  }
}

void
Node::NoteRefusal(const std::optional<StoredClaim>& aPredecessor, Instant aNow)
{
  const std::string asked = std::exchange(m_passedTo, std::string());
  const bool cameBack = aPredecessor && aPredecessor->m_instance == m_settings.m_id;
  if (asked.empty() || !cameBack) {
    return;
  }
  m_refusal = { asked, aNow + kPassAgain }; // the store may turn it away
  Log(LogLine(LogLevel::Warning, "hand_over_refused")
        .Add("by", asked)
        .Add("retry_ms", ToMillis(kPassAgain)));
}

void
Node::YieldToStronger()
{
  if (!m_decider || m_leaving || !m_decider->IsStoreAvailable()) {
    return;
  }
  const bool settled = NowWithSuspend() - m_decidingSince >= kSettledLeader;
  const Peer* strongest = settled && m_decider->Core().IsRecovered() ? StrongestPeer() : nullptr;
  if (strongest && strongest->m_ping.m_weight >= kMuchStronger * m_settings.m_weight) {
    PassOn(strongest);
  }
}

void
Node::ServeClaim(const PeerCallback& aDone)
{
  m_succession.OnHandOver(NowWithSuspend());
  if (!m_decider && !m_leaving) {
    Claim();
  }
  aDone(NotDeciding());
}

} // namespace egretturn
