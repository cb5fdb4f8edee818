#include "egretturn/Daemon/Daemon.h"

#include "egretturn/Support/EnumTable.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <sstream>

namespace egretturn {

static constexpr size_t kEventQueueCapacity = 32'768;
static constexpr size_t kActionQueueCapacity = 65'536;
static constexpr Duration kMinShutdownTime = std::chrono::milliseconds(500);
static constexpr Duration kStatusInterval = std::chrono::milliseconds(200);

Daemon::Daemon(const Settings& aSettings, uint64_t aIncarnation)
  : m_settings(aSettings)
  , m_self{ aSettings.m_id, aIncarnation }
  , m_core(m_settings, m_self, aIncarnation)
  , m_events(kEventQueueCapacity)
  , m_dataLoop(kActionQueueCapacity)
  , m_logLoop(kActionQueueCapacity)
  , m_workerLoop(kActionQueueCapacity)
  , m_peerLoop(kActionQueueCapacity)
  , m_dataPlane(m_dataLoop, m_events, m_settings, m_statusBoard)
  , m_logClient(m_logLoop, m_events, m_settings, m_logCounters)
  , m_workerClient(m_workerLoop, m_events, m_workerCounters)
  , m_peerClient(m_peerLoop, m_settings, m_self, m_peerCounters)
  , m_signals(m_dataLoop.Io())
{
}

Daemon::~Daemon()
{
  m_events.Close();
  m_dataLoop.Stop();
  m_logLoop.Stop();
  m_workerLoop.Stop();
  m_peerLoop.Stop();
}

void
Daemon::WatchSignals()
{
  m_signals.async_wait([this](const boost::system::error_code& aError, int) {
    if (aError) {
      return;
    }
    m_events.PushUnbounded(ShutdownRequested{}); // a repeated request has no effect
    WatchSignals();
  });
}

Expected<void>
Daemon::Run()
{
  Expected<void> listening = m_dataPlane.Listen();
  if (!listening) {
    return listening;
  }
  boost::system::error_code ignored;
  m_signals.add(SIGTERM, ignored);
  m_signals.add(SIGINT, ignored);
  WatchSignals();
  m_logClient.PollInstanceList();
  m_dataLoop.Start([this](Action aAction) { m_dataPlane.Handle(std::move(aAction)); });
  m_logLoop.Start([this](const Action& aAction) { m_logClient.Handle(aAction); });
  m_workerLoop.Start([this](const Action& aAction) { m_workerClient.Handle(aAction); });
  m_peerLoop.Start([this](const Action& aAction) { m_peerClient.Handle(aAction); });
  Log(LogLine(LogLevel::Info, "started")
        .Add("zone", m_settings.m_zone)
        .Add("listen", m_settings.m_listen)
        .Add("incarnation", m_self.m_incarnation)
        .Add("version", EGRETTURN_VERSION));
  Instant nextTickAt{};
  Instant nextStatusAt{};
  while (!HasShutDown()) {
    const Instant waitStart = MonotonicNow();
    const Duration wait = nextTickAt > waitStart ? nextTickAt - waitStart : Duration::zero();
    for (Event& event : m_events.PopAll(wait)) {
      ExecuteAll(m_core.Step(event, MonotonicNow()));
    }
    const Instant now = MonotonicNow();
    if (now >= nextTickAt) {
      ExecuteAll(m_core.Step(TickEvent{}, now));
      nextTickAt = now + kTickInterval;
    }
    SubmitBatches();
    if (now >= nextStatusAt) {
      PublishStatus();
      nextStatusAt = now + kStatusInterval;
    }
  }
  Log(LogLine(LogLevel::Info, "stopped"));
  return {};
}

/// Requests that arrived before the core's last decision are still served before the daemon exits.
bool
Daemon::HasShutDown() const
{
  return m_exitRequestedAt != Instant{} && MonotonicNow() - m_exitRequestedAt >= kMinShutdownTime &&
         m_core.Requests().Active() == 0;
}

void
Daemon::ExecuteAll(std::vector<Action> aActions)
{
  for (Action& action : aActions) {
    Execute(std::move(action));
  }
}

/// Executes \p aAction, or adds it to the batch of the event loop thread that executes it.
void
Daemon::Execute(Action aAction)
{
  if (WriteLog* write = std::get_if<WriteLog>(&aAction)) {
    Log(std::move(write->m_line));
    return;
  }
  if (std::holds_alternative<ExitProcess>(aAction)) {
    m_exitRequestedAt = MonotonicNow();
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

/// Submits the actions of a round of events, with one wake-up for each event loop thread instead of
/// one for each action. A dropped call is treated as a call without a response: it is retried, or
/// its request times out.
void
Daemon::SubmitBatches()
{
  m_droppedActions += m_dataLoop.SubmitAll(m_dataBatch);
  m_droppedActions += m_logLoop.SubmitAll(m_logBatch);
  m_droppedActions += m_workerLoop.SubmitAll(m_workerBatch);
  m_droppedActions += m_peerLoop.SubmitAll(m_peerBatch);
}

static void
WriteTraffic(std::ostringstream& aText, const char* aName, const TrafficCounters& aCounters)
{
  aText << "egretturn_link_bytes_total{link=\"" << aName << "\",direction=\"sent\"} "
        << aCounters.m_sent << '\n'
        << "egretturn_link_bytes_total{link=\"" << aName << "\",direction=\"received\"} "
        << aCounters.m_received << '\n'
        << "egretturn_link_calls_total{link=\"" << aName << "\"} " << aCounters.m_calls << '\n';
}

void
Daemon::PublishStatus()
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
  WriteTraffic(text, "log", m_logCounters);
  WriteTraffic(text, "workers", m_workerCounters);
  WriteTraffic(text, "peers", m_peerCounters);
  m_statusBoard.Publish(state.m_ready && !state.m_shuttingDown, state.m_notReadyReason, text.str());
}

} // namespace egretturn
