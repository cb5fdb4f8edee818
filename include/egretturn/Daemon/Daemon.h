// The daemon: runs the core on one thread, and the servers and clients on event loop threads that
// exchange events and actions with it through bounded queues.
#pragma once

#include "egretturn/Config/Settings.h"
#include "egretturn/Core/Core.h"
#include "egretturn/Daemon/Clients.h"
#include "egretturn/Daemon/DataPlane.h"

#include <boost/asio/signal_set.hpp>
#include <memory>

namespace egretturn {

/// One running instance. The thread that calls Run() becomes the decision thread.
class Daemon
{
public:
  Daemon(const Settings& aSettings, uint64_t aIncarnation);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Serves until a graceful shutdown is complete. Errors: bad_input for an address in the settings
  /// that cannot be parsed, unavailable if a port is in use.
  Expected<void> Run();

private:
  void WatchSignals();
  void ExecuteAll(std::vector<Action> aActions);
  void Execute(Action aAction);
  void SubmitBatches();
  void PublishStatus();
  bool HasShutDown() const;

  Settings m_settings;
  InstanceId m_self;
  Core m_core;
  EventQueue m_events;
  StatusBoard m_statusBoard;
  TrafficCounters m_logCounters;
  TrafficCounters m_workerCounters;
  TrafficCounters m_peerCounters;
  EventLoopThread m_dataLoop;
  EventLoopThread m_logLoop;
  EventLoopThread m_workerLoop;
  EventLoopThread m_peerLoop;
  DataPlane m_dataPlane;
  LogClient m_logClient;
  WorkerClient m_workerClient;
  PeerClient m_peerClient;
  boost::asio::signal_set m_signals;
  std::vector<Action> m_dataBatch;
  std::vector<Action> m_logBatch;
  std::vector<Action> m_workerBatch;
  std::vector<Action> m_peerBatch;
  uint64_t m_droppedActions = 0;
  Instant m_exitRequestedAt{};
};

} // namespace egretturn
