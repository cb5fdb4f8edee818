#include "egretturn/Core/Core.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/Base64.h"
#include "egretturn/Support/EnumTable.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kAskPeersFirst = std::chrono::milliseconds(400); // before the log is read
static constexpr Duration kAskPeersAgain = std::chrono::seconds(1);
static constexpr int kFarHeartbeat = 5;            // heartbeats to other zones, in intervals
static constexpr uint64_t kSnapshotRecords = 4000; // between snapshots of a stream
static constexpr int kSnapshotsPerRetention = 4;
static constexpr size_t kSnapshotPartBytes = 256 * 1024;
static constexpr Duration kPauseNoticed = std::chrono::milliseconds(500); // without any event
static constexpr Duration kLeaveWithoutLog = std::chrono::seconds(20);

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
    for (Following& following : m_following) {
      following.m_snapshotAt = aNow;
    }
  }
  NoticePause(aNow);
  std::visit(Overloaded{
               [&](const TickEvent&) { Tick(); },
               [&](const LogReadDone& aRead) { OnLogRead(aRead); },
               [&](const LogReadFailed& aFailed) { OnLogReadFailed(aFailed); },
               [&](const LogAppendEnded& aEnded) {
                 if (aEnded.m_taken) {
                   m_context.m_writer.OnAppended(aEnded.m_stream, aEnded.m_sequence);
                 } else {
                   m_context.m_writer.OnAppendFailed(aEnded.m_stream, aEnded.m_sequence, aNow);
                 }
                 WriteBatches();
               },
               [&](const PeerArrived& aPeer) { OnPeer(aPeer.m_message); },
               [&](const WorkerReplied& aAnswer) {
                 m_racks.OnWorkerAnswered(aAnswer);
                 if (aAnswer.m_replied) {
                   m_requests.OnWorkerBusy(aAnswer.m_worker, aAnswer.m_reply.m_busySlots);
                 }
               },
               [&](const DrainListArrived& aList) { m_racks.OnInstanceList(aList); },
               [&](const RequestArrived& aRequest) {
                 m_requests.OnArrived(aRequest);
                 WriteBatches();
               },
               [&](const DispatchEnded& aEnded) { m_requests.OnDispatchEnded(aEnded); },
               [&](const CallerDisconnected& aGone) { m_requests.OnCallerGone(aGone); },
               [&](const CommandArrived& aCommand) {
                 m_operators.OnCommand(aCommand);
                 WriteBatches();
               },
               [&](const ShutdownRequested&) {
                 if (!m_context.m_shuttingDown) {
                   m_context.m_shuttingDown = true;
                   m_leaveAt = aNow;
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
Core::NoticePause(Instant aNow)
{
  const Duration gap = aNow - m_lastStepAt;
  if (m_lastStepAt != Instant{} && gap >= kPauseNoticed) {
    m_context.Log(LogLine(LogLevel::Warning, "paused").Add("ms", ToMillis(gap)));
    m_racks.OnPaused();
    m_requests.RefreshRouters();
  }
  m_lastStepAt = aNow;
}

void
Core::Tick()
{
  m_context.m_members.Tick(m_context.m_now, m_context.IsLogCurrent());
  CheckReady();
  AskPeersForState();
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
  Leave();
}

void
Core::ReadStreams()
{
  const bool askFirst = m_context.m_now - m_context.m_startedAt < kAskPeersFirst;
  if (askFirst && !m_context.m_settings.m_peers.empty()) {
    return;
  }
  for (const Stream stream : kStreams) {
    Following& following = m_following[static_cast<size_t>(stream)];
    const bool timedOut = following.m_inFlight && m_context.m_now - following.m_requestedAt >
                                                    m_context.Times().m_logTimeout;
    if ((following.m_inFlight && !timedOut) || m_context.m_now < following.m_nextAt) {
      continue;
    }
    following.m_inFlight = true;
    following.m_requestedAt = m_context.m_now;
    m_context.Do(ReadLog{ stream, m_context.m_replica.Next(stream), m_context.m_now });
  }
}

void
Core::OnLogRead(const LogReadDone& aRead)
{
  Following& following = m_following[static_cast<size_t>(aRead.m_stream)];
  if (following.m_requestedAt == aRead.m_requestedAt) {
    following.m_inFlight = false;
    following.m_nextAt = m_context.m_now + m_context.Times().m_logPollInterval;
  }
  const Offset covers = m_context.m_replica.SnapshotCovers(aRead.m_stream);
  const bool wasBehind = m_context.m_replica.HasGap(aRead.m_stream);
  Apply(m_context.m_replica.Feed(aRead.m_stream, aRead.m_chunk));
  if (wasBehind && !m_context.m_replica.HasGap(aRead.m_stream)) {
    OnStateJump();
  }
  if (m_context.m_replica.SnapshotCovers(aRead.m_stream) != covers) {
    following.m_snapshotAt = m_context.m_now;
    following.m_snapshotFrom = m_context.m_replica.SnapshotCovers(aRead.m_stream);
  }
  if (m_context.m_replica.Next(aRead.m_stream) < aRead.m_chunk.m_next) {
    following.m_nextAt = m_context.m_now; // more is there
    return;
  }
  if (!m_context.m_replica.CanExport(aRead.m_stream)) {
    return;
  }
  following.m_caughtUp = true;
  if (aRead.m_stream == Stream::Zone) {
    m_context.m_zoneReadAt = std::max(m_context.m_zoneReadAt, aRead.m_requestedAt);
  } else if (aRead.m_stream == Stream::Intake) {
    m_context.m_intakeReadAt = std::max(m_context.m_intakeReadAt, aRead.m_requestedAt);
  }
}

void
Core::OnLogReadFailed(const LogReadFailed& aFailed)
{
  Following& following = m_following[static_cast<size_t>(aFailed.m_stream)];
  if (following.m_requestedAt == aFailed.m_requestedAt) {
    following.m_inFlight = false;
    // Spread over a few intervals, so that a log that comes back is not met by all at once.
    const uint64_t jitter = m_context.m_random.Below(4) + 2;
    following.m_nextAt = m_context.m_now + m_context.Times().m_logPollInterval * jitter;
  }
}

void
Core::Apply(const std::vector<Applied>& aApplied)
{
  for (const Applied& applied : aApplied) {
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
  CheckConfig();
}

void
Core::CheckConfig()
{
  if (m_context.m_replica.ConfigVersion() == m_seenConfig) {
    return;
  }
  m_seenConfig = m_context.m_replica.ConfigVersion();
  m_context.Log(LogLine(LogLevel::Info, "config_in_force").Add("version", m_seenConfig));
  const double instances = static_cast<double>(m_context.m_settings.m_peers.size() + 1);
  m_context.m_writer.SetRate(
    static_cast<double>(m_context.Config().m_policy.m_logAppendsPerSecond) / instances);
  m_racks.Refresh();
}

void
Core::WriteBatches()
{
  for (AppendCall& call :
       m_context.m_writer.Poll(m_context.m_now, m_context.m_replica.AppliedTo(Stream::Intake))) {
    m_context.Do(AppendLog{ std::move(call) });
  }
}

void
Core::SendHeartbeats()
{
  m_heartbeatAt = m_context.m_now;
  const bool far =
    m_context.m_now - m_farHeartbeatAt >= kFarHeartbeat * m_context.Times().m_heartbeat;
  if (far) {
    m_farHeartbeatAt = m_context.m_now;
  }
  Heartbeat heartbeat;
  heartbeat.m_logCurrent = m_context.IsLogCurrent();
  heartbeat.m_ready = m_context.m_ready;
  heartbeat.m_shuttingDown = m_context.m_shuttingDown;
  heartbeat.m_configVersion = m_context.m_replica.ConfigVersion();
  heartbeat.m_zoneOffset = m_context.m_replica.AppliedTo(Stream::Zone);
  heartbeat.m_services = m_requests.Room();
  for (const std::pair<const std::string, Member>& memberEntry : m_context.m_members.All()) {
    const std::string& id = memberEntry.first;
    const Member& member = memberEntry.second;
    const bool local = m_context.m_members.IsLocal(member);
    if (!local && !far) {
      continue;
    }
    Heartbeat addressed = heartbeat;
    if (local) {
      addressed.m_racks = m_tasks.Room();
      addressed.m_consents = !m_context.m_replica.Racks().HasUnappliedClaimAgainst(
        member.m_current, member.m_lastHeartbeat.m_zoneOffset);
    }
    m_context.m_members.StampHeartbeat(addressed, id, m_context.m_now);
    m_context.Do(SendPeer{ id, std::move(addressed) });
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

/// An instance that starts, or fell behind what the log keeps, takes a peer's state first: nearest,
/// and there also while the log is away.
void
Core::AskPeersForState()
{
  if (m_askedPeersAt != Instant{} && m_context.m_now - m_askedPeersAt < kAskPeersAgain) {
    return;
  }
  m_askedPeersAt = m_context.m_now;
  for (const Stream stream : kStreams) {
    const bool behind = m_context.m_replica.HasGap(stream);
    if (m_following[static_cast<size_t>(stream)].m_caughtUp && !behind) {
      continue;
    }
    for (const std::pair<const std::string, Member>& memberEntry : m_context.m_members.All()) {
      const std::string& id = memberEntry.first;
      const Member& member = memberEntry.second;
      const bool first = m_context.m_startedAt == m_context.m_now;
      const bool local = m_context.m_members.IsLocal(member);
      if (local || (stream != Stream::Zone && !first)) {
        m_context.Do(SendPeer{ id, StateRequest{ stream, m_context.m_replica.AppliedTo(stream) } });
      }
    }
  }
}

void
Core::OnStateRequest(const std::string& aPeer, const StateRequest& aRequest)
{
  const Member* member = m_context.m_members.Find(aPeer);
  const bool fits =
    member && (aRequest.m_stream != Stream::Zone || m_context.m_members.IsLocal(*member));
  if (!fits || !m_context.m_replica.CanExport(aRequest.m_stream) ||
      m_context.m_replica.AppliedTo(aRequest.m_stream) < aRequest.m_applied) {
    return;
  }
  const StreamState state = m_context.m_replica.Export(aRequest.m_stream);
  m_context.Do(SendPeer{
    aPeer, StateReply{ aRequest.m_stream, state.m_covers, ToBase64(PackCompact(state)) } });
}

void
Core::OnStateReply(const StateReply& aReply)
{
  const Replica& replica = m_context.m_replica;
  if (m_following[static_cast<size_t>(aReply.m_stream)].m_caughtUp &&
      !replica.HasGap(aReply.m_stream)) {
    return; // late; to jump ahead would skip the fate of this instance's own records
  }
  if (replica.CanExport(aReply.m_stream) && replica.AppliedTo(aReply.m_stream) == aReply.m_covers) {
    m_following[static_cast<size_t>(aReply.m_stream)].m_caughtUp = true; // there is nothing more
    return;
  }
  StreamState state;
  const bool good = IsBase64(aReply.m_state) && UnpackCompact(FromBase64(aReply.m_state), state) &&
                    state.m_stream == aReply.m_stream;
  if (!good || !m_context.m_replica.Restore(state)) {
    return;
  }
  m_following[static_cast<size_t>(aReply.m_stream)].m_caughtUp = true;
  m_context.Log(LogLine(LogLevel::Info, "state_from_peer")
                  .Add("stream", NameOf(aReply.m_stream))
                  .Add("covers", aReply.m_covers)
                  .Add("bytes", static_cast<uint64_t>(aReply.m_state.size())));
  CheckConfig();
  OnStateJump();
}

/// A restored state has skipped records, among them perhaps this instance's own: what waited for
/// them is decided again from the state.
void
Core::OnStateJump()
{
  m_racks.OnStateJump();
  m_tasks.OnStateJump();
  m_racks.Refresh();
}

void
Core::WriteSnapshots()
{
  if (!m_context.IsLogCurrent() || !m_context.m_ready) {
    return;
  }
  for (const Stream stream : kStreams) {
    Following& following = m_following[static_cast<size_t>(stream)];
    const Offset applied = m_context.m_replica.AppliedTo(stream);
    const Duration age = m_context.m_now - following.m_snapshotAt;
    // The lower half of the ids is early, so that mostly one instance writes.
    const uint64_t spread = HashBytes(m_context.m_self.m_id) % 16;
    const bool old = age > m_context.Times().m_logRetention / kSnapshotsPerRetention +
                             m_context.Times().m_logTimeout * spread;
    const bool many =
      applied > following.m_snapshotFrom + kSnapshotRecords + spread * kSnapshotRecords / 16;
    if ((old || many) && applied > 0 && m_context.m_replica.CanExport(stream)) {
      following.m_snapshotAt = m_context.m_now;
      following.m_snapshotFrom = applied;
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
Core::CheckReady()
{
  std::string reason;
  for (const Stream stream : kStreams) {
    const Following& following = m_following[static_cast<size_t>(stream)];
    if (m_context.m_replica.HasGap(stream)) {
      reason = "the log no longer keeps records that are needed of stream " +
               std::string(NameOf(stream)) + ", and no snapshot covers them";
    } else if (!following.m_caughtUp) {
      reason = "stream " + std::string(NameOf(stream)) +
               " has not been read: neither the log nor a peer has answered";
    }
  }
  if (reason.empty() && m_context.m_replica.ConfigVersion() == 0) {
    reason = "no configuration has been published";
  }
  if (m_context.m_shuttingDown) {
    reason = "shutting down";
  }
  const bool ready = reason.empty();
  // While it shuts down an instance goes on with what it is sent; only the balancer turns away.
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
Core::Leave()
{
  if (!m_context.m_shuttingDown || m_exited) {
    return;
  }
  const Duration since = m_context.m_now - m_leaveAt;
  if (since < m_context.Times().m_drainWait || m_requests.Active() > 0) {
    return;
  }
  if (!m_racks.OwnsNothing()) {
    m_racks.ReleaseAll();
    if (since < kLeaveWithoutLog) {
      return;
    }
  }
  if (m_context.m_writer.PendingEntries() > 0 && since < kLeaveWithoutLog) {
    return;
  }
  for (const std::pair<const std::string, Member>& idEntry : m_context.m_members.All()) {
    const std::string& id = idEntry.first;
    m_context.Do(SendPeer{ id, Goodbye{} });
  }
  m_context.Log(LogLine(LogLevel::Info, "shutdown_done"));
  m_context.Do(ExitProcess{});
  m_exited = true;
}

} // namespace egretturn
