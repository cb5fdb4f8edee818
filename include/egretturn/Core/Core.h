// The deterministic decision core of one instance: maps an event and the current time to actions.
#pragma once

#include "egretturn/Core/Operators.h"
#include "egretturn/Core/Racks.h"
#include "egretturn/Core/Requests.h"
#include "egretturn/Core/Tasks.h"

#include <array>
#include <vector>

namespace egretturn {

/// Holds the state of one instance and makes its decisions. It has no sockets, threads, clocks or
/// entropy sources of its own. Not thread-safe; the decision thread owns it.
class Core
{
public:
  /// \pre The incarnation in \p aSelf was never used before by an instance with the same id.
  Core(const Settings& aSettings,
       InstanceId aSelf,
       uint64_t aSeed,
       const DecisionOptions& aOptions = DecisionOptions{});
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  /// Handles one event and returns the resulting actions. \pre \p aNow does not decrease.
  std::vector<Action> Step(const Event& aEvent, Instant aNow);

  // Accessors for metrics, benchmarks and tests.
  const Context& State() const { return m_context; }
  const RackController& Racks() const { return m_racks; }
  const RequestController& Requests() const { return m_requests; }
  const RouterMap& Routers() const { return m_routers; }

private:
  /// Progress of reading one stream of the log.
  struct StreamReadState
  {
    bool m_inFlight = false;
    /// The end of the stream was reached once, or a peer's state was restored.
    bool m_caughtUp = false;
    Instant m_requestedAt{};
    Instant m_nextAt{};
    Instant m_snapshotAt{}; ///< When a snapshot was last read or written.
    Offset m_snapshotOffset = 0;
  };

  void DetectPause(Instant aNow);
  void Tick();
  void OnLogRead(const LogReadDone& aRead);
  void OnLogReadFailed(const LogReadFailed& aFailed);
  void OnPeer(const PeerMessage& aMessage);
  void OnStateRequest(const std::string& aPeer, const StateRequest& aRequest);
  void OnStateReply(const StateReply& aReply);
  void NotifyApplied(const std::vector<AppliedEntry>& aApplied);
  void ReadStreams();
  void WriteBatches();
  void SendHeartbeats();
  void RequestPeerState();
  void OnStateRestored();
  void WriteSnapshots();
  void WriteSnapshot(Stream aStream);
  void UpdateReadiness();
  void OnConfigApplied();
  void ContinueShutdown();

  Context m_context;
  RouterMap m_routers;
  RackController m_racks;
  TaskController m_tasks;
  RequestController m_requests;
  OperatorController m_operators;
  std::array<StreamReadState, kStreamCount> m_readStates;
  uint64_t m_lastConfigVersion = 0;
  Instant m_heartbeatAt{};
  Instant m_remoteHeartbeatAt{};
  Instant m_peerStateRequestedAt{};
  Instant m_lastStepAt{};
  Instant m_shutdownRequestedAt{};
  bool m_exited = false;
};

} // namespace egretturn
