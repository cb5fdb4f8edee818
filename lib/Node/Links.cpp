// Connects the links to the election: which instances can call workers for this leader, and the
// messages of both sides.
#include "egretturn/Journal/Codec.h"
#include "egretturn/Node/Node.h"
#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

// A peer that has not pinged for longer is not given workers. A link itself notices sooner that its
// shard is gone.
static constexpr Duration kMaxPingAge = std::chrono::seconds(2);

LinkInstance
Node::DescribeSelf() const
{
  const auto region = m_settings.m_regionOf.find(m_settings.m_zone);
  return { m_settings.m_id,
           m_settings.m_peerAddress,
           m_settings.m_zone,
           region == m_settings.m_regionOf.end() ? std::string() : region->second,
           m_settings.m_weight };
}

void
Node::BeginLinks(const StoredClaim& aClaim)
{
  WorkerLinksSettings settings;
  settings.m_epoch = aClaim.m_epoch;
  settings.m_self = DescribeSelf();
  settings.m_regionOf = m_settings.m_regionOf;
  m_links = std::make_shared<WorkerLinks>(
    m_linkPort, m_workers, std::move(settings), [weak = weak_from_this()] {
      const std::shared_ptr<Node> self = weak.lock();
      return self && self->m_session && self->m_session->MayCall();
    });
  m_links->Begin();
  m_shard->OnEpoch(aClaim.m_epoch);
}

std::vector<LinkInstance>
Node::ListLinkInstances() const
{
  const Instant now = BootClockNow();
  std::vector<LinkInstance> instances;
  for (const std::pair<const std::string, Peer>& peerEntry : m_peers) {
    const PingMessage& ping = peerEntry.second.m_ping;
    const bool usable = ping.m_takesLinkOrders && !ping.m_stopping &&
                        now - peerEntry.second.m_lastHeardAt < kMaxPingAge;
    if (usable) {
      instances.push_back(
        { ping.m_instance, ping.m_address, ping.m_zone, ping.m_region, ping.m_weight });
    }
  }
  std::sort(
    instances.begin(), instances.end(), [](const LinkInstance& aLeft, const LinkInstance& aRight) {
      return aLeft.m_id < aRight.m_id;
    });
  return instances;
}

LinkOrdersReply
Node::ServeLinkOrders(const std::string& aBody)
{
  LinkOrders orders;
  if (!UnpackCompact(aBody, orders)) {
    Log(LogLine(LogLevel::Warning, "link_orders_refused")
          .Add("reason", NameOf(LinkOrdersOutcome::Invalid))
          .Add("bytes", uint64_t{ aBody.size() }));
    return { LinkOrdersOutcome::Invalid };
  }
  const std::optional<StoredClaim>& leader = m_election.Leader();
  if (leader) {
    m_shard->OnEpoch(leader->m_epoch);
  }
  return m_shard->OnOrders(orders);
}

LinkResultsReply
Node::ServeLinkResults(const std::string& aBody)
{
  LinkResults results;
  if (!UnpackCompact(aBody, results)) {
    Log(
      LogLine(LogLevel::Warning, "link_results_unreadable").Add("bytes", uint64_t{ aBody.size() }));
    return { LinkResultsOutcome::Ended };
  }
  return m_links ? m_links->OnResults(results) : LinkResultsReply();
}

std::string
Node::LinkMetrics() const
{
  std::string text;
  if (!m_links) {
    return text;
  }
  for (const LinkStatus& link : m_links->ListLinks()) {
    const std::string label = "{instance=\"" + link.m_instance + "\"} ";
    text += "egretturn_link_workers" + label + std::to_string(link.m_workers) + "\n";
    text += "egretturn_link_calls_in_flight" + label + std::to_string(link.m_callsInFlight) + "\n";
    text += "egretturn_link_silence_ms" + label + std::to_string(ToMillis(link.m_silence)) + "\n";
  }
  return text;
}

std::string
Node::ShardMetrics() const
{
  const LinkShardCounters& counters = m_shard->Counters();
  return "egretturn_shard_calls_total " + std::to_string(counters.m_calls) +
         "\negretturn_shard_calls_refused_total " + std::to_string(counters.m_refusedCalls) +
         "\negretturn_shard_starts_evacuated_total " + std::to_string(counters.m_evacuated) +
         "\negretturn_zones_evacuated " + std::to_string(m_evacuations.Zones().size()) +
         "\negretturn_shard_calls_in_flight " + std::to_string(m_shard->CallsInFlight()) + "\n";
}

} // namespace egretturn
