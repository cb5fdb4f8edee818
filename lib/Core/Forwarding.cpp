// Forwarding of requests to peers, in the same availability zone or over a link within its budget.
#include "egretturn/Core/Requests.h"
#include "egretturn/Support/EnumTable.h"

namespace egretturn {

static constexpr double kLinkBurstSeconds = 1; // burst, as seconds of the link's rate

bool
RequestController::TakeLinkBudget(const RequestState& aState, const Member& aPeer)
{
  if (aPeer.m_settings.m_region == m_context.m_settings.m_region) {
    return true;
  }
  for (const std::pair<const std::string, PlacementRule>& ruleEntry : m_context.Config().m_rules) {
    const std::string& name = ruleEntry.first;
    const PlacementRule& rule = ruleEntry.second;
    if (rule.m_service != aState.m_request.m_service) {
      continue;
    }
    const double rate = static_cast<double>(rule.m_linkBytesPerSecond);
    const auto [it, added] =
      m_linkBudgets.try_emplace(name, TokenBucket(rate, rate * kLinkBurstSeconds));
    it->second.SetRate(rate, rate * kLinkBurstSeconds);
    const double bytes = static_cast<double>(aState.m_request.m_bodyBytes) + 512; // headers
    if (it->second.Take(bytes, m_context.m_now)) {
      m_counts.m_linkBytes += static_cast<uint64_t>(bytes);
      return true;
    }
  }
  return false;
}

std::string
RequestController::ChoosePeer(const RequestState& aState, bool aOwnZone)
{
  std::set<std::string> spillZones;
  for (const std::pair<const std::string, PlacementRule>& ruleEntry : m_context.Config().m_rules) {
    const PlacementRule& rule = ruleEntry.second;
    if (rule.m_service == aState.m_request.m_service) {
      spillZones.insert(rule.m_spillZones.begin(), rule.m_spillZones.end());
    }
  }
  std::string best;
  int64_t maxSlots = 0;
  for (const std::pair<const std::string, Member>& memberEntry : m_context.m_members.All()) {
    const std::string& id = memberEntry.first;
    const Member& member = memberEntry.second;
    const bool local = m_context.m_members.IsLocal(member);
    const bool allowed = aOwnZone ? local : !local && spillZones.contains(member.m_settings.m_zone);
    if (!allowed || !m_context.m_members.IsAlive(id, m_context.m_now) ||
        !member.m_lastHeartbeat.m_ready) {
      continue;
    }
    if (m_peerHeartbeat[id] != member.m_lastHeartbeat.m_sequence) {
      m_peerHeartbeat[id] = member.m_lastHeartbeat.m_sequence;
      std::erase_if(m_forwardedToPeer,
                    [&peer = id](const auto& aRow) { return aRow.first.first == peer; });
    }
    for (const ServiceCapacity& capacity : member.m_lastHeartbeat.m_services) {
      const std::map<std::pair<std::string, std::string>, uint32_t>::const_iterator forwarded =
        m_forwardedToPeer.find({ id, capacity.m_service });
      const int64_t freeSlots = int64_t{ capacity.m_freeSlots } -
                                (forwarded == m_forwardedToPeer.end() ? 0 : forwarded->second);
      // Peers in other availability zones keep half of their free slots for their own callers.
      const int64_t offered = local ? freeSlots : freeSlots / 2;
      if (capacity.m_service == aState.m_request.m_service && offered > maxSlots) {
        best = id;
        maxSlots = offered;
      }
    }
  }
  return best;
}

bool
RequestController::RouteToPeer(RequestState& aState)
{
  if (aState.m_request.m_forwarded) {
    return false; // forwarded at most once
  }
  for (const bool ownZone : { true, false }) {
    const std::string peer = ChoosePeer(aState, ownZone);
    const Member* member = peer.empty() ? nullptr : m_context.m_members.Find(peer);
    if (!member || (!ownZone && !TakeLinkBudget(aState, *member))) {
      continue;
    }
    ++m_forwardedToPeer[{ peer, aState.m_request.m_service }];
    ++m_counts.m_forwards;
    const RequestAttempt attempt{ ++aState.m_attemptCount, 0, peer, m_context.m_now };
    m_context.Log(LogLine(LogLevel::Info, "route")
                    .Add("request", aState.m_request.m_id)
                    .Add("service", aState.m_request.m_service)
                    .Add("attempt", attempt.m_attempt)
                    .Add("peer", peer)
                    .Add("reason", ownZone ? "peer_has_room" : "spill"));
    SendTo(aState, attempt, member->m_settings.m_address);
    return true;
  }
  return false;
}

} // namespace egretturn
