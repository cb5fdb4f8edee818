// Decides which racks this instance claims, keeps and releases.
#include "egretturn/Core/Racks.h"
#include "egretturn/Support/EnumTable.h"

#include <algorithm>

namespace egretturn {

// A rack is released only after another instance has been its desired owner for this long, so that
// a new member has shown that it stays alive.
static constexpr Duration kRebalanceDelay = std::chrono::seconds(2);
static constexpr size_t kMaxConcurrentReleases = 2; // spreads moves over time
static constexpr Duration kLogLossHandOverDelay = std::chrono::seconds(2);

std::vector<std::string>
RackController::ZoneRacks() const
{
  std::set<std::string> racks;
  for (const std::pair<const std::string, Pool>& poolEntry : m_context.Config().m_pools) {
    const Pool& pool = poolEntry.second;
    if (pool.m_zone == m_context.m_settings.m_zone) {
      racks.insert(pool.m_rack);
    }
  }
  return std::vector<std::string>(racks.begin(), racks.end());
}

void
RackController::TickClaims()
{
  if (!m_context.IsLogCurrent()) {
    if (!m_context.m_shuttingDown) {
      HandOverWithoutLog(); // during shutdown only once the requests have completed
    }
    return;
  }
  m_logLostAt = Instant{};
  // Before that, missing heartbeats do not show that a peer has failed.
  const Duration observationTime = m_context.Times().m_suspect + m_context.Times().m_heartbeat;
  if (m_context.m_now - m_context.m_startedAt < observationTime || !m_context.m_ready) {
    return;
  }
  const std::map<std::string, std::string> desired = DesiredOwners(
    ZoneRacks(), m_context.m_members.Eligible(m_context.m_now, m_context.m_shuttingDown));
  for (const std::pair<const std::string, std::string>& ownerEntry : desired) {
    const std::string& rack = ownerEntry.first;
    const std::string& owner = ownerEntry.second;
    ConsiderClaim(rack, owner);
  }
}

void
RackController::ConsiderClaim(const std::string& aRack, const std::string& aDesired)
{
  if (m_claims.contains(aRack)) {
    return;
  }
  const bool isDesiredHere = aDesired == m_context.m_self.m_id && !m_context.m_shuttingDown;
  const RackOwner* recorded = m_context.m_replica.Racks().Find(aRack);
  if (!recorded) {
    if (isDesiredHere) {
      Claim(aRack, 1, "unowned");
    }
    return;
  }
  if (recorded->m_owner == m_context.m_self && !recorded->m_released) {
    OwnedRack* ownedRack = Find(aRack);
    if ((ownedRack && isDesiredHere) || (ownedRack && ownedRack->m_releasing)) {
      m_ownerMismatchSince.erase(aRack);
      return;
    }
    const Instant since = m_ownerMismatchSince.emplace(aRack, m_context.m_now).first->second;
    if (m_context.m_now - since < kRebalanceDelay) {
      return;
    }
    if (ownedRack) {
      Release(*ownedRack, aDesired, "rebalance");
    } else if (!m_context.m_shuttingDown) {
      Claim(aRack, recorded->m_epoch + 1, "heir_silent"); // handed over, but not claimed
    }
    return;
  }
  const Epoch next = recorded->m_epoch + 1;
  const std::map<std::string, Epoch>::const_iterator handed = m_handedOver.find(aRack);
  if (handed != m_handedOver.end() && handed->second == recorded->m_epoch) {
    Claim(aRack, next, "handed_over");
  } else if (!isDesiredHere) {
    return;
  } else if (recorded->m_released) {
    Claim(aRack, next, "released");
  } else if (!m_context.m_members.IsAlive(recorded->m_owner, m_context.m_now)) {
    Claim(aRack, next, "owner_silent");
  } else {
    const Member* owner = m_context.m_members.Find(recorded->m_owner.m_id);
    const Instant since = m_ownerMismatchSince.emplace(aRack, m_context.m_now).first->second;
    if (!owner || owner->m_lastHeartbeat.m_logCurrent) {
      m_ownerMismatchSince.erase(aRack);
    } else if (m_context.m_now - since >= 2 * kLogLossHandOverDelay) {
      Claim(aRack, next, "owner_without_log");
    }
  }
}

void
RackController::Claim(const std::string& aRack, Epoch aEpoch, const char* aReason)
{
  const std::optional<EntryToken> token =
    m_context.m_writer.Append(Stream::Zone, RackClaim{ aRack, aEpoch });
  if (!token) {
    return;
  }
  m_claims[aRack] = *token;
  m_context.Log(LogLine(LogLevel::Info, "rack_claim")
                  .Add("rack", aRack)
                  .Add("epoch", aEpoch)
                  .Add("reason", aReason));
}

void
RackController::Release(OwnedRack& aRack, const std::string& aSuccessor, const char* aReason)
{
  const size_t releasing = static_cast<size_t>(std::count_if(
    m_racks.begin(), m_racks.end(), [](const auto& aRow) { return aRow.second.m_releasing; }));
  if (aRack.m_releasing || (!m_context.m_shuttingDown && releasing >= kMaxConcurrentReleases)) {
    return;
  }
  const RackRelease release{ aRack.m_rack, aRack.m_epoch, aSuccessor };
  if (!m_context.m_writer.Append(Stream::Zone, release)) {
    return;
  }
  aRack.m_releasing = true; // from now on, its workers receive no calls
  ++m_routingVersion;
  m_context.Log(LogLine(LogLevel::Info, "rack_release")
                  .Add("rack", aRack.m_rack)
                  .Add("epoch", aRack.m_epoch)
                  .Add("successor", aSuccessor)
                  .Add("reason", aReason));
}

void
RackController::ReleaseAll()
{
  if (!m_context.IsLogCurrent()) {
    HandOverWithoutLog();
    return;
  }
  const std::map<std::string, std::string> desired =
    DesiredOwners(ZoneRacks(), m_context.m_members.Eligible(m_context.m_now, true));
  for (std::pair<const std::string, OwnedRack>& rackEntry : m_racks) {
    const std::string& name = rackEntry.first;
    OwnedRack& rack = rackEntry.second;
    const std::map<std::string, std::string>::const_iterator it = desired.find(name);
    Release(rack, it == desired.end() ? "" : it->second, "shutdown");
  }
}

/// Hands racks over by message while the log is unavailable: when this instance shuts down, or when
/// only this instance has lost access to the log. The receiving peer claims them as soon as it can.
void
RackController::HandOverWithoutLog()
{
  if (m_logLostAt == Instant{}) {
    m_logLostAt = m_context.m_now;
  }
  const bool onlyOwnLogLost = m_context.m_now - m_logLostAt >= kLogLossHandOverDelay &&
                              m_context.m_members.PeerReadsLog(m_context.m_now);
  if ((!m_context.m_shuttingDown && !onlyOwnLogLost) || m_racks.empty()) {
    return;
  }
  std::vector<std::string> successors = m_context.m_members.Eligible(m_context.m_now, true);
  if (onlyOwnLogLost) {
    std::erase_if(successors, [this](const std::string& aPeer) {
      return !m_context.m_members.Find(aPeer)->m_lastHeartbeat.m_logCurrent;
    });
  }
  const std::map<std::string, std::string> desired = DesiredOwners(ZoneRacks(), successors);
  std::vector<std::string> handedOver;
  for (const std::pair<const std::string, OwnedRack>& rackEntry : m_racks) {
    const std::string& name = rackEntry.first;
    const OwnedRack& rack = rackEntry.second;
    const std::map<std::string, std::string>::const_iterator it = desired.find(name);
    if (it != desired.end()) {
      m_context.Emit(SendPeer{ it->second, HandOver{ name, rack.m_epoch } });
      handedOver.push_back(name);
    } else if (m_context.m_shuttingDown) {
      handedOver.push_back(name);
    }
  }
  for (const std::string& name : handedOver) {
    Drop(name, "handed_over");
  }
}

void
RackController::OnHandOver(const InstanceId& aFrom, const HandOver& aHandOver)
{
  const RackOwner* recorded = m_context.m_replica.Racks().Find(aHandOver.m_rack);
  const bool current = recorded && recorded->m_epoch == aHandOver.m_epoch && !recorded->m_released;
  if (!current || m_context.m_shuttingDown) {
    return;
  }
  m_handedOver[aHandOver.m_rack] = aHandOver.m_epoch;
  m_context.Log(LogLine(LogLevel::Info, "rack_handed_over")
                  .Add("rack", aHandOver.m_rack)
                  .Add("epoch", aHandOver.m_epoch)
                  .Add("from", aFrom.m_id));
  if (m_context.IsLogCurrent() || recorded->m_owner != aFrom ||
      m_racks.contains(aHandOver.m_rack)) {
    return; // claimed by the next tick
  }
  TakeOver(aHandOver.m_rack, aHandOver.m_epoch, false);
  m_racks[aHandOver.m_rack].m_provisional = true;
}

void
RackController::OnApplied(const AppliedEntry& aApplied, EntryToken aToken)
{
  const bool isOwn = aApplied.m_writer == m_context.m_self;
  if (const RackClaim* claim = std::get_if<RackClaim>(&aApplied.m_entry)) {
    const std::map<std::string, EntryToken>::iterator it = m_claims.find(claim->m_rack);
    if (it != m_claims.end() && it->second == aToken) {
      m_claims.erase(it);
    }
    if (!aApplied.m_effective) {
      return;
    }
    const std::map<std::string, Epoch>::iterator handed = m_handedOver.find(claim->m_rack);
    const bool handedOver = handed != m_handedOver.end() && handed->second + 1 == claim->m_epoch;
    const RackOwner* recorded = m_context.m_replica.Racks().Find(claim->m_rack);
    const bool awaitExpiry = !handedOver && recorded->m_previous.m_incarnation != 0;
    if (handed != m_handedOver.end()) {
      m_handedOver.erase(handed);
    }
    Drop(claim->m_rack, "superseded");
    if (isOwn) {
      TakeOver(claim->m_rack, claim->m_epoch, awaitExpiry);
    }
    return;
  }
  if (const RackRelease* release = std::get_if<RackRelease>(&aApplied.m_entry)) {
    if (aApplied.m_effective && isOwn) {
      Drop(release->m_rack, "released");
    }
    return;
  }
  if (const TaskStart* start = std::get_if<TaskStart>(&aApplied.m_entry)) {
    m_adopting.erase(start->m_task);
    return;
  }
  const TaskEnd* end = std::get_if<TaskEnd>(&aApplied.m_entry);
  const TaskState* task = end ? m_context.m_replica.Jobs().FindTask(end->m_task) : nullptr;
  OwnedWorker* worker = task ? FindWorker(task->m_worker) : nullptr;
  if (worker && aApplied.m_effective) {
    OnEndApplied(*end, *worker);
  }
}

void
RackController::TakeOver(const std::string& aRack, Epoch aEpoch, bool aAwaitExpiry)
{
  OwnedRack& rack = m_racks[aRack];
  rack = OwnedRack{};
  rack.m_rack = aRack;
  rack.m_epoch = aEpoch;
  const Duration wait = m_context.Times().m_authority + m_context.Times().m_messageDelay;
  rack.m_pollFrom = aAwaitExpiry ? m_context.m_now + wait : m_context.m_now;
  m_context.Log(LogLine(LogLevel::Info, "rack_takeover")
                  .Add("rack", aRack)
                  .Add("epoch", aEpoch)
                  .Add("wait_ms", aAwaitExpiry ? ToMillis(wait) : int64_t{ 0 }));
  SyncWorkers(rack);
  for (std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
    OwnedWorker& worker = workerEntry.second;
    worker.m_mayHaveForeignRequests = aAwaitExpiry;
  }
  ++m_routingVersion;
}

void
RackController::Drop(const std::string& aRack, const char* aReason)
{
  if (m_racks.erase(aRack) == 0) {
    return;
  }
  m_ownerMismatchSince.erase(aRack);
  ++m_routingVersion;
  m_context.Log(LogLine(LogLevel::Info, "rack_drop").Add("rack", aRack).Add("reason", aReason));
}

} // namespace egretturn
