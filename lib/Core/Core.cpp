#include "egretturn/Core/Core.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/Base64.h"
#include "egretturn/Support/EnumTable.h"

#include <algorithm>

namespace egretturn {

// How long a starting instance waits for the state of its peers before it reads the log.
static constexpr Duration kPeerStateHeadStart = std::chrono::milliseconds(400);
static constexpr Duration kPeerStateRetryInterval = std::chrono::seconds(1);
static constexpr int kHeartbeatsPerRemoteHeartbeat = 5;       // remote: in another zone
static constexpr uint64_t kMaxRecordsBetweenSnapshots = 4000; // of one stream
static constexpr int kSnapshotsPerRetention = 4;
static constexpr size_t kSnapshotPartBytes = 256 * 1024;
static constexpr Duration kMinReportedPause = std::chrono::milliseconds(500); // between two events
static constexpr Duration kMaxShutdownLogWait = std::chrono::seconds(20);

static constexpr std::array<Stream, kStreamCount> kStreams{ Stream::Config,
                                                            Stream::Intake,
                                                            Stream::Zone };

Core::Core(const Settings& aSettings,
           InstanceId aSelf,
           uint64_t aSeed,
           const DecisionOptions& aOptions)
  : m_context(aSettings, std::move(aSelf), aSeed)
  , m_racks(m_context)
  , m_tasks(m_context, m_racks, m_routers)
  , m_requests(m_context, m_racks, m_routers)
  , m_operators(m_context, m_racks, m_tasks, m_requests)
{
  m_context.m_options = aOptions;
}

std::vector<Action>
Core::Step(const Event& aEvent, Instant aNow)
{
  m_context.m_now = aNow;
  if (m_context.m_startedAt == Instant{}) {
    m_context.m_startedAt = aNow;
    for (StreamReadState& readState : m_readStates) {
      readState.m_snapshotAt = aNow;
    }
  }
  DetectPause(aNow);
  std::visit(Overloaded{
               [&](const TickEvent&) { Tick(); },
               [&](const LogReadDone& aRead) { OnLogRead(aRead); },
               [&](const LogReadFailed& aFailed) { OnLogReadFailed(aFailed); },
               [&](const LogAppendEnded& aEnded) {
                 if (aEnded.m_accepted) {
                   m_context.m_writer.OnAppended(aEnded.m_stream, aEnded.m_sequence);
                 } else {
                   m_context.m_writer.OnAppendFailed(aEnded.m_stream, aEnded.m_sequence, aNow);
                 }
                 WriteBatches();
               },
               [&](const PeerArrived& aPeer) { OnPeer(aPeer.m_message); },
               [&](const WorkerReplied& aReplied) {
                 m_racks.OnWorkerReplied(aReplied);
                 if (aReplied.m_replied) {
                   m_requests.OnBusySlots(aReplied.m_worker, aReplied.m_reply.m_busySlots);
                 }
               },
               [&](const DrainListArrived& aList) { m_racks.OnDrainList(aList); },
               [&](const RequestArrived& aRequest) {
                 m_requests.OnArrived(aRequest);
                 WriteBatches();
               },
               [&](const DispatchEnded& aEnded) { m_requests.OnDispatchEnded(aEnded); },
               [&](const CallerDisconnected& aDisconnected) {
                 m_requests.OnCallerDisconnected(aDisconnected);
               },
               [&](const CommandArrived& aCommand) {
                 m_operators.OnCommand(aCommand);
                 WriteBatches();
               },
               [&](const ShutdownRequested&) {
                 if (!m_context.m_shuttingDown) {
                   m_context.m_shuttingDown = true;
                   m_shutdownRequestedAt = aNow;
                   m_context.Log(LogLine(LogLevel::Info, "shutdown_begins"));
                   SendHeartbeats();
                 }
               },
             },
             aEvent);
  std::vector<Action> actions;
  actions.swap(m_context.m_actions);
  return actions;
}

void
Core::DetectPause(Instant aNow)
{
  const Duration gap = aNow - m_lastStepAt;
  if (m_lastStepAt != Instant{} && gap >= kMinReportedPause) {
    m_context.Log(LogLine(LogLevel::Warning, "paused").Add("ms", ToMillis(gap)));
    m_racks.OnProcessPaused();
    m_requests.RefreshRouters();
  }
  m_lastStepAt = aNow;
}

void
Core::Tick()
{
  m_context.m_members.Tick(m_context.m_now, m_context.IsLogCurrent());
  UpdateReadiness();
  RequestPeerState();
  ReadStreams();
  m_racks.Tick();
  m_requests.Tick();
  m_tasks.Tick();
  m_operators.Tick();
  WriteSnapshots();
  WriteBatches();
  if (m_context.m_now - m_heartbeatAt >= m_context.Times().m_heartbeat) {
    SendHeartbeats();
  }
  ContinueShutdown();
}

void
Core::ReadStreams()
{
  const bool awaitPeers = m_context.m_now - m_context.m_startedAt < kPeerStateHeadStart;
  if (awaitPeers && !m_context.m_settings.m_peers.empty()) {
    return;
  }
  for (const Stream stream : kStreams) {
    StreamReadState& readState = m_readStates[static_cast<size_t>(stream)];
    const bool timedOut = readState.m_inFlight && m_context.m_now - readState.m_requestedAt >
                                                    m_context.Times().m_logTimeout;
    if ((readState.m_inFlight && !timedOut) || m_context.m_now < readState.m_nextAt) {
      continue;
    }
    readState.m_inFlight = true;
    readState.m_requestedAt = m_context.m_now;
    m_context.Emit(ReadLog{ stream, m_context.m_replica.Next(stream), m_context.m_now });
  }
}

void
Core::OnLogRead(const LogReadDone& aRead)
{
  StreamReadState& readState = m_readStates[static_cast<size_t>(aRead.m_stream)];
  if (readState.m_requestedAt == aRead.m_requestedAt) {
    readState.m_inFlight = false;
    readState.m_nextAt = m_context.m_now + m_context.Times().m_logPollInterval;
  }
  const Offset covers = m_context.m_replica.SnapshotCovers(aRead.m_stream);
  const bool hadGap = m_context.m_replica.HasGap(aRead.m_stream);
  NotifyApplied(m_context.m_replica.Feed(aRead.m_stream, aRead.m_chunk));
  if (hadGap && !m_context.m_replica.HasGap(aRead.m_stream)) {
    OnStateRestored();
  }
  if (m_context.m_replica.SnapshotCovers(aRead.m_stream) != covers) {
    readState.m_snapshotAt = m_context.m_now;
    readState.m_snapshotOffset = m_context.m_replica.SnapshotCovers(aRead.m_stream);
  }
  if (m_context.m_replica.Next(aRead.m_stream) < aRead.m_chunk.m_next) {
    readState.m_nextAt = m_context.m_now; // more records follow
    return;
  }
  if (!m_context.m_replica.CanExport(aRead.m_stream)) {
    return;
  }
  readState.m_caughtUp = true;
  if (aRead.m_stream == Stream::Zone) {
    m_context.m_zoneCaughtUpAt = std::max(m_context.m_zoneCaughtUpAt, aRead.m_requestedAt);
  } else if (aRead.m_stream == Stream::Intake) {
    m_context.m_intakeCaughtUpAt = std::max(m_context.m_intakeCaughtUpAt, aRead.m_requestedAt);
  }
}

void
Core::OnLogReadFailed(const LogReadFailed& aFailed)
{
  StreamReadState& readState = m_readStates[static_cast<size_t>(aFailed.m_stream)];
  if (readState.m_requestedAt == aFailed.m_requestedAt) {
    readState.m_inFlight = false;
    // Spreads the retries, so that not all instances access a recovering log at the same time.
    const uint64_t jitter = m_context.m_random.Below(4) + 2;
    readState.m_nextAt = m_context.m_now + m_context.Times().m_logPollInterval * jitter;
  }
}

void
Core::NotifyApplied(const std::vector<AppliedEntry>& aApplied)
{
  for (const AppliedEntry& applied : aApplied) {
    EntryToken token = 0;
    if (applied.m_writer == m_context.m_self) {
      token = m_context.m_writer.TakeToken(applied.m_stream, applied.m_sequence, applied.m_index);
      m_context.m_writer.OnAppended(applied.m_stream, applied.m_sequence);
    }
    m_racks.OnApplied(applied, token);
    m_tasks.OnApplied(applied, token);
    m_requests.OnApplied(applied, token);
    m_operators.OnApplied(applied, token);
  }
  OnConfigApplied();
}

void
Core::OnConfigApplied()
{
  if (m_context.m_replica.ConfigVersion() == m_lastConfigVersion) {
    return;
  }
  m_lastConfigVersion = m_context.m_replica.ConfigVersion();
  m_context.Log(LogLine(LogLevel::Info, "config_in_force").Add("version", m_lastConfigVersion));
  const double instances = static_cast<double>(m_context.m_settings.m_peers.size() + 1);
  m_context.m_writer.SetRate(
    static_cast<double>(m_context.Config().m_policy.m_logAppendsPerSecond) / instances);
  m_racks.Refresh();
}

void
Core::WriteBatches()
{
  for (AppendCall& call : m_context.m_writer.Poll(
         m_context.m_now, m_context.m_replica.AppliedOffset(Stream::Intake))) {
    m_context.Emit(AppendLog{ std::move(call) });
  }
}

void
Core::SendHeartbeats()
{
  m_heartbeatAt = m_context.m_now;
  const bool includeRemote = m_context.m_now - m_remoteHeartbeatAt >=
                             kHeartbeatsPerRemoteHeartbeat * m_context.Times().m_heartbeat;
  if (includeRemote) {
    m_remoteHeartbeatAt = m_context.m_now;
  }
  Heartbeat heartbeat;
  heartbeat.m_logCurrent = m_context.IsLogCurrent();
  heartbeat.m_ready = m_context.m_ready;
  heartbeat.m_shuttingDown = m_context.m_shuttingDown;
  heartbeat.m_configVersion = m_context.m_replica.ConfigVersion();
  heartbeat.m_zoneOffset = m_context.m_replica.AppliedOffset(Stream::Zone);
  heartbeat.m_services = m_requests.FreeCapacity();
  for (const std::pair<const std::string, Member>& memberEntry : m_context.m_members.All()) {
    const std::string& id = memberEntry.first;
    const Member& member = memberEntry.second;
    const bool local = m_context.m_members.IsLocal(member);
    if (!local && !includeRemote) {
      continue;
    }
    Heartbeat addressed = heartbeat;
    if (local) {
      addressed.m_racks = m_tasks.FreeCapacity();
      addressed.m_consents = !m_context.m_replica.Racks().HasUnappliedClaimAgainst(
        member.m_current, member.m_lastHeartbeat.m_zoneOffset);
    }
    m_context.m_members.StampHeartbeat(addressed, id, m_context.m_now);
    m_context.Emit(SendPeer{ id, std::move(addressed) });
  }
}

void
Core::OnPeer(const PeerMessage& aMessage)
{
  std::visit(Overloaded{
               [&](const Heartbeat& aBody) {
                 m_context.m_members.OnHeartbeat(aMessage.m_from, aBody, m_context.m_now);
               },
               [&](const StateRequest& aBody) { OnStateRequest(aMessage.m_from.m_id, aBody); },
               [&](const StateReply& aBody) { OnStateReply(aBody); },
               [&](const HandOver& aBody) { m_racks.OnHandOver(aMessage.m_from, aBody); },
               [&](const Goodbye&) { m_context.m_members.OnGoodbye(aMessage.m_from); },
             },
             aMessage.m_body);
}

/// Requests the state of peers at startup and after a gap in the log. A peer is the closest source
/// and is reachable while the log is unavailable.
void
Core::RequestPeerState()
{
  if (m_peerStateRequestedAt != Instant{} &&
      m_context.m_now - m_peerStateRequestedAt < kPeerStateRetryInterval) {
    return;
  }
  m_peerStateRequestedAt = m_context.m_now;
  for (const Stream stream : kStreams) {
    const bool hasGap = m_context.m_replica.HasGap(stream);
    if (m_readStates[static_cast<size_t>(stream)].m_caughtUp && !hasGap) {
      continue;
    }
    for (const std::pair<const std::string, Member>& memberEntry : m_context.m_members.All()) {
      const std::string& id = memberEntry.first;
      const Member& member = memberEntry.second;
      const bool first = m_context.m_startedAt == m_context.m_now;
      const bool local = m_context.m_members.IsLocal(member);
      if (local || (stream != Stream::Zone && !first)) {
        m_context.Emit(
          SendPeer{ id, StateRequest{ stream, m_context.m_replica.AppliedOffset(stream) } });
      }
    }
  }
}

void
Core::OnStateRequest(const std::string& aPeer, const StateRequest& aRequest)
{
  const Member* member = m_context.m_members.Find(aPeer);
  const bool relevant =
    member && (aRequest.m_stream != Stream::Zone || m_context.m_members.IsLocal(*member));
  if (!relevant || !m_context.m_replica.CanExport(aRequest.m_stream) ||
      m_context.m_replica.AppliedOffset(aRequest.m_stream) < aRequest.m_applied) {
    return;
  }
  const StreamState state = m_context.m_replica.Export(aRequest.m_stream);
  m_context.Emit(SendPeer{
    aPeer, StateReply{ aRequest.m_stream, state.m_covers, ToBase64(PackCompact(state)) } });
}

void
Core::OnStateReply(const StateReply& aReply)
{
  const Replica& replica = m_context.m_replica;
  if (m_readStates[static_cast<size_t>(aReply.m_stream)].m_caughtUp &&
      !replica.HasGap(aReply.m_stream)) {
    return; // too late; skipping ahead would hide what became of this instance's own records
  }
  if (replica.CanExport(aReply.m_stream) &&
      replica.AppliedOffset(aReply.m_stream) == aReply.m_covers) {
    m_readStates[static_cast<size_t>(aReply.m_stream)].m_caughtUp = true; // nothing newer
    return;
  }
  StreamState state;
  const bool valid = IsBase64(aReply.m_state) && UnpackCompact(FromBase64(aReply.m_state), state) &&
                     state.m_stream == aReply.m_stream;
  if (!valid || !m_context.m_replica.Restore(state)) {
    return;
  }
  m_readStates[static_cast<size_t>(aReply.m_stream)].m_caughtUp = true;
  m_context.Log(LogLine(LogLevel::Info, "state_from_peer")
                  .Add("stream", NameOf(aReply.m_stream))
                  .Add("covers", aReply.m_covers)
                  .Add("bytes", static_cast<uint64_t>(aReply.m_state.size())));
  OnConfigApplied();
  OnStateRestored();
}

/// Handles a restored state. It skipped records, possibly this instance's own, so that decisions
/// that waited for them are made again from the state.
void
Core::OnStateRestored()
{
  m_racks.OnStateRestored();
  m_tasks.OnStateRestored();
  m_racks.Refresh();
}

void
Core::WriteSnapshots()
{
  if (!m_context.IsLogCurrent() || !m_context.m_ready) {
    return;
  }
  for (const Stream stream : kStreams) {
    StreamReadState& readState = m_readStates[static_cast<size_t>(stream)];
    const Offset applied = m_context.m_replica.AppliedOffset(stream);
    const Duration age = m_context.m_now - readState.m_snapshotAt;
    // The hash of the id delays the snapshots of most instances, so that usually only one writes.
    const uint64_t spread = HashBytes(m_context.m_self.m_id) % 16;
    const bool old = age > m_context.Times().m_logRetention / kSnapshotsPerRetention +
                             m_context.Times().m_logTimeout * spread;
    const bool many = applied > readState.m_snapshotOffset + kMaxRecordsBetweenSnapshots +
                                  spread * kMaxRecordsBetweenSnapshots / 16;
    if ((old || many) && applied > 0 && m_context.m_replica.CanExport(stream)) {
      readState.m_snapshotAt = m_context.m_now;
      readState.m_snapshotOffset = applied;
      WriteSnapshot(stream);
    }
  }
}

void
Core::WriteSnapshot(Stream aStream)
{
  const StreamState state = m_context.m_replica.Export(aStream);
  const std::string bytes = PackCompact(state);
  const uint32_t parts = static_cast<uint32_t>(bytes.size() / kSnapshotPartBytes + 1);
  for (uint32_t part = 0; part < parts; ++part) {
    m_context.m_writer.Append(
      aStream,
      SnapshotPart{
        state.m_covers, part, parts, bytes.substr(part * kSnapshotPartBytes, kSnapshotPartBytes) });
  }
  m_context.Log(LogLine(LogLevel::Info, "snapshot")
                  .Add("stream", NameOf(aStream))
                  .Add("covers", state.m_covers)
                  .Add("bytes", static_cast<uint64_t>(bytes.size())));
}

void
Core::UpdateReadiness()
{
  std::string reason;
  for (const Stream stream : kStreams) {
    const StreamReadState& readState = m_readStates[static_cast<size_t>(stream)];
    if (m_context.m_replica.HasGap(stream)) {
      reason = "the log no longer retains required records of stream " +
               std::string(NameOf(stream)) + ", and no snapshot covers them";
    } else if (!readState.m_caughtUp) {
      reason = "stream " + std::string(NameOf(stream)) +
               " has not been read: neither the log nor a peer has responded";
    }
  }
  if (reason.empty() && m_context.m_replica.ConfigVersion() == 0) {
    reason = "no configuration has been published";
  }
  if (m_context.m_shuttingDown) {
    reason = "shutting down";
  }
  const bool ready = reason.empty();
  // While shutting down, this instance still serves requests; readiness only stops the load
  // balancer from sending new ones.
  const bool serves = ready || (m_context.m_shuttingDown && m_context.m_ready);
  if (reason != m_context.m_notReadyReason) {
    m_context.Log(LogLine(LogLevel::Info, "readiness")
                    .Add("ready", ready ? "yes" : "no")
                    .Add("reason", reason));
  }
  m_context.m_notReadyReason = reason;
  m_context.m_ready = serves;
}

void
Core::ContinueShutdown()
{
  if (!m_context.m_shuttingDown || m_exited) {
    return;
  }
  const Duration since = m_context.m_now - m_shutdownRequestedAt;
  if (since < m_context.Times().m_drainWait || m_requests.Active() > 0) {
    return;
  }
  if (!m_racks.OwnsNoRacks()) {
    m_racks.ReleaseAll();
    if (since < kMaxShutdownLogWait) {
      return;
    }
  }
  if (m_context.m_writer.PendingEntries() > 0 && since < kMaxShutdownLogWait) {
    return;
  }
  for (const std::pair<const std::string, Member>& idEntry : m_context.m_members.All()) {
    const std::string& id = idEntry.first;
    m_context.Emit(SendPeer{ id, Goodbye{} });
  }
  m_context.Log(LogLine(LogLevel::Info, "shutdown_done"));
  m_context.Emit(ExitProcess{});
  m_exited = true;
}

} // namespace egretturn
