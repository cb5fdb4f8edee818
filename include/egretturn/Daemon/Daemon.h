// The daemon around the core: a thread for each duty, joined by bounded rings.
#pragma once

#include "egretturn/Config/Settings.h"
#include "egretturn/Core/Core.h"
#include "egretturn/Daemon/Clients.h"
#include "egretturn/Daemon/DataPlane.h"

#include <boost/asio/signal_set.hpp>
#include <memory>

namespace egretturn {

/// One running instance. Run() blocks the thread that becomes the decision thread.
class Shell
{
public:
  Shell(const Settings& aSettings, uint64_t aIncarnation);
  ~Shell();
  Shell(const Shell&) = delete;
  Shell& operator=(const Shell&) = delete;

  /// Serves until a graceful shutdown has ended. Errors: unavailable if a port is taken.
  Expected<void> Run();

private:
  void WatchSignals();
  void Carry(std::vector<Action> aActions);
  void CarryOne(Action aAction);
  void HandOver();
  void PublishStatus();
  bool HasEnded() const;

  Settings m_settings;
  InstanceId m_self;
  Core m_core;
  EventRing m_events;
  StatusBoard m_board;
  LinkCounters m_logCounters;
  LinkCounters m_workerCounters;
  LinkCounters m_peerCounters;
  DutyLoop m_dataLoop;
  DutyLoop m_logLoop;
  DutyLoop m_workerLoop;
  DutyLoop m_peerLoop;
  DataPlane m_dataPlane;
  LogLink m_logLink;
  WorkerLink m_workerLink;
  PeerLink m_peerLink;
  boost::asio::signal_set m_signals;
  std::vector<Action> m_dataBatch;
  std::vector<Action> m_logBatch;
  std::vector<Action> m_workerBatch;
  std::vector<Action> m_peerBatch;
  uint64_t m_droppedActions = 0;
  Instant m_exitAt{};
};

} // namespace egretturn
