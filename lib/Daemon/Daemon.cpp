#include "egretturn/Daemon/Daemon.h"

#include "egretturn/Support/EnumTable.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <sstream>

namespace egretturn {

static constexpr size_t kEventCapacity = 32'768;
static constexpr size_t kActionCapacity = 65'536;
static constexpr Duration kLinger = std::chrono::milliseconds(500);
static constexpr Duration kStatusInterval = std::chrono::milliseconds(200);

Shell::Shell(const Settings& aSettings, uint64_t aIncarnation)
  : m_settings(aSettings)
  , m_self{ aSettings.m_id, aIncarnation }
  , m_core(m_settings, m_self, aIncarnation)
  , m_events(kEventCapacity)
  , m_dataLoop(kActionCapacity)
  , m_logLoop(kActionCapacity)
  , m_workerLoop(kActionCapacity)
  , m_peerLoop(kActionCapacity)
  , m_dataPlane(m_dataLoop, m_events, m_settings, m_board)
  , m_logLink(m_logLoop, m_events, m_settings, m_logCounters)
  , m_workerLink(m_workerLoop, m_events, m_workerCounters)
  , m_peerLink(m_peerLoop, m_settings, m_self, m_peerCounters)
  , m_signals(m_dataLoop.Io())
{
}

Shell::~Shell()
{
  m_events.Close();
  m_dataLoop.Stop();
  m_logLoop.Stop();
  m_workerLoop.Stop();
  m_peerLoop.Stop();
}

void
Shell::WatchSignals()
{
  m_signals.async_wait([this](const boost::system::error_code& aError, int) {
    if (aError) {
      return;
    }
    m_events.PushReserved(ShutdownRequested{}); // a second signal changes nothing
    WatchSignals();
  });
}

Expected<void>
Shell::Run()
{
  Expected<void> listening = m_dataPlane.Listen();
  if (!listening) {
    return listening;
  }
  boost::system::error_code ignored;
  m_signals.add(SIGTERM, ignored);
  m_signals.add(SIGINT, ignored);
  WatchSignals();
  m_logLink.FollowList();
  m_dataLoop.Start([this](Action aAction) { m_dataPlane.Handle(std::move(aAction)); });
  m_logLoop.Start([this](const Action& aAction) { m_logLink.Handle(aAction); });
  m_workerLoop.Start([this](const Action& aAction) { m_workerLink.Handle(aAction); });
  m_peerLoop.Start([this](const Action& aAction) { m_peerLink.Handle(aAction); });
  Log(LogLine(LogLevel::Info, "started")
        .Add("zone", m_settings.m_zone)
        .Add("listen", m_settings.m_listen)
        .Add("incarnation", m_self.m_incarnation)
        .Add("version", EGRETTURN_VERSION));
  Instant tickAt{};
  Instant statusAt{};
  while (!HasEnded()) {
    const Instant before = MonotonicNow();
    const Duration wait = tickAt > before ? tickAt - before : Duration::zero();
    for (Event& event : m_events.PopAll(wait)) {
      Carry(m_core.Step(event, MonotonicNow()));
    }
    const Instant now = MonotonicNow();
    if (now >= tickAt) {
      Carry(m_core.Step(TickEvent{}, now));
      tickAt = now + kTickInterval;
    }
    HandOver();
    if (now >= statusAt) {
      PublishStatus();
      statusAt = now + kStatusInterval;
    }
  }
  Log(LogLine(LogLevel::Info, "stopped"));
  return {};
}

/// After the core's last decision, requests that had arrived by then are still served.
bool
Shell::HasEnded() const
{
  return m_exitAt != Instant{} && MonotonicNow() - m_exitAt >= kLinger &&
         m_core.Requests().Active() == 0;
}

void
Shell::Carry(std::vector<Action> aActions)
{
  for (Action& action : aActions) {
    CarryOne(std::move(action));
  }
}

/// Puts \p aAction with those of its loop.
void
Shell::CarryOne(Action aAction)
{
  if (WriteLog* write = std::get_if<WriteLog>(&aAction)) {
    Log(std::move(write->m_line));
    return;
  }
  if (std::holds_alternative<ExitProcess>(aAction)) {
    m_exitAt = MonotonicNow();
    boost::asio::post(m_dataLoop.Io(), [this] { m_dataPlane.StopAccepting(); });
    return;
  }
  std::vector<Action>* batch = &m_dataBatch;
  if (std::holds_alternative<ReadLog>(aAction) || std::holds_alternative<AppendLog>(aAction)) {
    batch = &m_logBatch;
  } else if (std::holds_alternative<CallWorker>(aAction)) {
    batch = &m_workerBatch;
  } else if (std::holds_alternative<SendPeer>(aAction)) {
    batch = &m_peerBatch;
  }
  batch->push_back(std::move(aAction));
}

/// Hands over what a round of events has decided: one wake-up for each loop instead of one an
/// action. A dropped call counts as one without an answer: it is repeated, or its request times
/// out.
void
Shell::HandOver()
{
  m_droppedActions += m_dataLoop.SubmitAll(m_dataBatch);
  m_droppedActions += m_logLoop.SubmitAll(m_logBatch);
  m_droppedActions += m_workerLoop.SubmitAll(m_workerBatch);
  m_droppedActions += m_peerLoop.SubmitAll(m_peerBatch);
}

static void
WriteLink(std::ostringstream& aText, const char* aName, const LinkCounters& aCounters)
{
  aText << "egretturn_link_bytes_total{link=\"" << aName << "\",direction=\"sent\"} "
        << aCounters.m_sent << '\n'
        << "egretturn_link_bytes_total{link=\"" << aName << "\",direction=\"received\"} "
        << aCounters.m_received << '\n'
        << "egretturn_link_calls_total{link=\"" << aName << "\"} " << aCounters.m_calls << '\n';
}

void
Shell::PublishStatus()
{
  const Context& state = m_core.State();
  const RequestCounts& counts = m_core.Requests().Counts();
  std::ostringstream text;
  text << "# TYPE egretturn_requests_total counter\n"
       << "egretturn_requests_total{outcome=\"done\"} " << counts.m_done << '\n'
       << "egretturn_requests_total{outcome=\"not-run\"} " << counts.m_notRun << '\n'
       << "egretturn_requests_total{outcome=\"unknown\"} " << counts.m_unknown << '\n'
       << "# TYPE egretturn_retries_total counter\n"
       << "egretturn_retries_total " << counts.m_retries << '\n'
       << "# TYPE egretturn_hedges_total counter\n"
       << "egretturn_hedges_total " << counts.m_hedges << '\n'
       << "# TYPE egretturn_forwards_total counter\n"
       << "egretturn_forwards_total " << counts.m_forwards << '\n'
       << "# TYPE egretturn_requests_active gauge\n"
       << "egretturn_requests_active " << m_core.Requests().Active() << '\n'
       << "# TYPE egretturn_racks_owned gauge\n"
       << "egretturn_racks_owned " << m_core.Racks().Racks().size() << '\n'
       << "# TYPE egretturn_config_version gauge\n"
       << "egretturn_config_version " << state.m_replica.ConfigVersion() << '\n'
       << "# TYPE egretturn_log_fresh gauge\n"
       << "egretturn_log_fresh " << (state.IsLogCurrent() ? 1 : 0) << '\n'
       << "# TYPE egretturn_log_entries_waiting gauge\n"
       << "egretturn_log_entries_waiting " << state.m_writer.PendingEntries() << '\n'
       << "# TYPE egretturn_log_appends_total counter\n"
       << "egretturn_log_appends_total " << state.m_writer.BatchesSent() << '\n'
       << "# TYPE egretturn_actions_dropped_total counter\n"
       << "egretturn_actions_dropped_total " << m_droppedActions << '\n'
       << "# TYPE egretturn_link_bytes_total counter\n";
  WriteLink(text, "log", m_logCounters);
  WriteLink(text, "workers", m_workerCounters);
  WriteLink(text, "peers", m_peerCounters);
  m_board.Publish(state.m_ready && !state.m_shuttingDown, state.m_notReadyReason, text.str());
}

} // namespace egretturn
