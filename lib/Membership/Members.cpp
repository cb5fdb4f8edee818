#include "egretturn/Membership/Members.h"

#include <algorithm>

namespace egretturn {

static constexpr size_t kMaxRecentSends = 64;

Members::Members(const Settings& aSettings, InstanceId aSelf)
  : m_zone(aSettings.m_zone)
  , m_timing(aSettings.m_timing)
  , m_self(std::move(aSelf))
{
  for (const PeerSettings& peer : aSettings.m_peers) {
    Member& member = m_members[peer.m_id];
    member.m_settings = peer;
    member.m_current.m_id = peer.m_id;
  }
}

const Member*
Members::Find(const std::string& aPeer) const
{
  const std::map<std::string, Member>::const_iterator it = m_members.find(aPeer);
  return it == m_members.end() ? nullptr : &it->second;
}

/// Records the incarnation of a sender. Returns false if it is superseded.
static bool
AcceptIncarnation(Member& aMember, uint64_t aIncarnation)
{
  if (aMember.m_superseded.contains(aIncarnation)) {
    return false;
  }
  if (aMember.m_current.m_incarnation == aIncarnation) {
    return true;
  }
  if (aMember.m_current.m_incarnation != 0) {
    aMember.m_superseded.insert(aMember.m_current.m_incarnation);
  }
  aMember.m_current.m_incarnation = aIncarnation;
  aMember.m_exited = false;
  aMember.m_lastHeartbeat = Heartbeat{};
  aMember.m_consentUntil = Instant{};
  return true;
}

bool
Members::OnHeartbeat(const InstanceId& aFrom, const Heartbeat& aHeartbeat, Instant aNow)
{
  const std::map<std::string, Member>::iterator it = m_members.find(aFrom.m_id);
  if (it == m_members.end() || !AcceptIncarnation(it->second, aFrom.m_incarnation)) {
    return false;
  }
  Member& member = it->second;
  if (member.m_exited) {
    return false; // delayed until after the goodbye
  }
  if (aHeartbeat.m_sequence <= member.m_lastHeartbeat.m_sequence) {
    return true; // reordered; a newer heartbeat was already recorded
  }
  if (aNow - member.m_lastHeardAt >= m_timing.m_suspect) {
    member.m_aliveSince = aNow;
  }
  member.m_lastHeardAt = aNow;
  member.m_lastHeartbeat = aHeartbeat;
  member.m_consentRequired = true;
  if (!aHeartbeat.m_consents) {
    member.m_consentUntil = Instant{};
    return true;
  }
  if (aHeartbeat.m_echoIncarnation != m_self.m_incarnation) {
    return true;
  }
  for (const std::pair<uint64_t, Instant>& sent : member.m_recentSends) {
    const uint64_t sequence = sent.first;
    const Instant sentAt = sent.second;
    if (sequence == aHeartbeat.m_echo) {
      member.m_consentUntil = std::max(member.m_consentUntil, sentAt + m_timing.m_authority);
    }
  }
  return true;
}

void
Members::OnGoodbye(const InstanceId& aFrom)
{
  const std::map<std::string, Member>::iterator it = m_members.find(aFrom.m_id);
  if (it == m_members.end() || !AcceptIncarnation(it->second, aFrom.m_incarnation)) {
    return;
  }
  it->second.m_exited = true;
  it->second.m_consentRequired = false;
}

void
Members::StampHeartbeat(Heartbeat& aHeartbeat, const std::string& aPeer, Instant aNow)
{
  const std::map<std::string, Member>::iterator it = m_members.find(aPeer);
  if (it == m_members.end()) {
    return;
  }
  Member& member = it->second;
  aHeartbeat.m_sequence = ++member.m_lastSentSequence;
  aHeartbeat.m_echo = member.m_lastHeartbeat.m_sequence;
  aHeartbeat.m_echoIncarnation = member.m_current.m_incarnation;
  member.m_recentSends.emplace_back(member.m_lastSentSequence, aNow);
  if (member.m_recentSends.size() > kMaxRecentSends) {
    member.m_recentSends.pop_front();
  }
}

void
Members::Tick(Instant aNow, bool aLogCurrent)
{
  if (!aLogCurrent) {
    return;
  }
  // After this time, a claim of a silent peer would have been read from the log.
  const Duration claimVisibleAfter =
    m_timing.m_suspect + m_timing.m_authority + m_timing.m_messageDelay;
  for (std::pair<const std::string, Member>& memberEntry : m_members) {
    Member& member = memberEntry.second;
    if (member.m_consentRequired && aNow - member.m_lastHeardAt > claimVisibleAfter) {
      member.m_consentRequired = false;
    }
  }
}

std::optional<Instant>
Members::ConsentUntil(Instant aNow) const
{
  Instant until = Instant::max();
  for (const std::pair<const std::string, Member>& memberEntry : m_members) {
    const Member& member = memberEntry.second;
    if (!IsLocal(member) || !member.m_consentRequired) {
      continue;
    }
    if (member.m_consentUntil <= aNow) {
      return std::nullopt;
    }
    until = std::min(until, member.m_consentUntil);
  }
  return until == Instant::max() ? aNow + m_timing.m_authority : until;
}

bool
Members::IsAlive(const std::string& aPeer, Instant aNow) const
{
  if (aPeer == m_self.m_id) {
    return true;
  }
  const Member* member = Find(aPeer);
  return member && member->m_current.m_incarnation != 0 && !member->m_exited &&
         aNow - member->m_lastHeardAt < m_timing.m_suspect;
}

bool
Members::IsAlive(const InstanceId& aInstance, Instant aNow) const
{
  if (aInstance == m_self) {
    return true;
  }
  const Member* member = Find(aInstance.m_id);
  return member && member->m_current == aInstance && IsAlive(aInstance.m_id, aNow);
}

std::vector<std::string>
Members::Eligible(Instant aNow, bool aSelfShuttingDown) const
{
  std::vector<std::string> ids;
  if (!aSelfShuttingDown) {
    ids.push_back(m_self.m_id);
  }
  for (const std::pair<const std::string, Member>& memberEntry : m_members) {
    const std::string& id = memberEntry.first;
    const Member& member = memberEntry.second;
    if (IsLocal(member) && IsAlive(id, aNow) && member.m_lastHeartbeat.m_ready &&
        !member.m_lastHeartbeat.m_shuttingDown) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

bool
Members::PeerReadsLog(Instant aNow) const
{
  for (const std::pair<const std::string, Member>& memberEntry : m_members) {
    const std::string& id = memberEntry.first;
    const Member& member = memberEntry.second;
    if (IsLocal(member) && IsAlive(id, aNow) && member.m_lastHeartbeat.m_logCurrent) {
      return true;
    }
  }
  return false;
}

} // namespace egretturn
