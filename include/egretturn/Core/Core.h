// The deterministic decision core of one instance: step(event, now) -> actions.
#pragma once

#include "egretturn/Core/Operators.h"
#include "egretturn/Core/Racks.h"
#include "egretturn/Core/Requests.h"
#include "egretturn/Core/Tasks.h"

#include <array>
#include <vector>

namespace egretturn {

/// State and decisions of one instance, without sockets, threads, clocks or random sources of its
/// own. Not thread-safe; the decision thread owns it.
class Core
{
public:
  /// \p aSelf carries an incarnation that no earlier run of this id has used.
  Core(const Settings& aSettings,
       InstanceId aSelf,
       uint64_t aSeed,
       const DecisionOptions& aOptions = DecisionOptions{});
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  /// Takes one event and returns what is to be done. \pre \p aNow never goes back.
  std::vector<Action> Step(const Event& aEvent, Instant aNow);

  const Context& State() const { return m_context; }
  const RackController& Racks() const { return m_racks; }
  const RequestController& Requests() const { return m_requests; }
  const RouterMap& Routers() const { return m_routers; }

private:
  /// Reading of one stream.
  struct Following
  {
    bool m_inFlight = false;
    bool m_caughtUp = false; ///< The end was reached once, or a peer's state was taken.
    Instant m_requestedAt{};
    Instant m_nextAt{};
    Instant m_snapshotAt{}; ///< When a snapshot was last seen or written.
    Offset m_snapshotFrom = 0;
  };

  void NoticePause(Instant aNow);
  void Tick();
  void OnLogRead(const LogReadDone& aRead);
  void OnLogReadFailed(const LogReadFailed& aFailed);
  void OnPeer(const PeerMessage& aMessage);
  void OnStateRequest(const std::string& aPeer, const StateRequest& aRequest);
  void OnStateReply(const StateReply& aReply);
  void Apply(const std::vector<Applied>& aApplied);
  void ReadStreams();
  void WriteBatches();
  void SendHeartbeats();
  void AskPeersForState();
  void OnStateJump();
  void WriteSnapshots();
  void WriteSnapshot(Stream aStream);
  void CheckReady();
  void CheckConfig();
  void Leave();

  Context m_context;
  RouterMap m_routers;
  RackController m_racks;
  TaskController m_tasks;
  RequestController m_requests;
  OperatorController m_operators;
  std::array<Following, kStreamCount> m_following;
  uint64_t m_seenConfig = 0;
  Instant m_heartbeatAt{};
  Instant m_farHeartbeatAt{};
  Instant m_askedPeersAt{};
  Instant m_lastStepAt{};
  Instant m_leaveAt{};
  bool m_exited = false;
};

} // namespace egretturn
