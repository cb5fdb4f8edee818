// One instance: forwards callers' requests to the leader, and leads itself after it has claimed the
// leadership.
#pragma once

#include "egretturn/Http/Http.h"
#include "egretturn/Node/LeaderElection.h"
#include "egretturn/Node/LeadershipClaimer.h"
#include "egretturn/Node/LinkShard.h"
#include "egretturn/Node/PeerLinkPort.h"
#include "egretturn/Node/PeerProtocol.h"
#include "egretturn/Node/WorkerLinks.h"

#include <set>

namespace egretturn {

struct NodeSettings
{
  std::string m_id;
  std::string m_peerAddress; ///< Address on which it listens for other instances.
  double m_weight = 0.1;     ///< Processor share, in cores.
  uint64_t m_incarnation = 0;
  std::string m_zone;                            ///< Its availability zone.
  std::map<std::string, std::string> m_regionOf; ///< By availability zone.
  SchedulerLimits m_limits;
  HttpLimits m_peerServer; ///< Of its server for other instances, but for the size of bodies.
  bool m_followsEvacuations = false; ///< The operator may request the evacuation of a zone.
};

/// An instance that takes part in leader election and serves requests, locally or by forwarding
/// them. Not thread-safe: all methods and callbacks run on the thread of the io_context.
class Node : public std::enable_shared_from_this<Node>
{
public:
  Node(boost::asio::io_context& aIo,
       NodeSettings aSettings,
       StorePort& aStore,
       WorkerPort& aWorkers,
       ReportDecoder aDecoder);

  /// Listens for other instances and starts to follow the announced leader.
  /// Errors: bad_input, unavailable if the peer address is taken.
  Expected<void> Start();

  /// Sends a request to the leader, retrying until \p aDeadline. \p aDone is called once.
  void Submit(Submission aSubmission, Duration aDeadline, PeerCallback aDone);
  void Cancel(GraphId aId, Duration aDeadline, PeerCallback aDone);
  void GetJobState(GraphId aId, Duration aDeadline, PeerCallback aDone);
  void CountPending(const std::string& aRoute, Duration aDeadline, PeerCallback aDone);

  /// Handles a record of the operator: \p aRequested to evacuate \p aZone, or taken back. From then
  /// on this instance starts no task there, as a leader or for one. A record that changes nothing
  /// is logged.
  void OnEvacuation(const std::string& aZone, bool aRequested);

  /// Handles that all records of the operator have been delivered that were there when the read was
  /// sent. With m_followsEvacuations, no task starts before the first time.
  void OnOperatorRead();

  /// Whether this instance leads or knows a live leader, and is not shutting down.
  bool IsReady() const;

  /// Gives up the leadership, asks a peer to take it, and never claims again. Requests are
  /// forwarded from then on.
  void HandOver();

  /// Completes all pending calls with what is known: not run, or unknown. Later calls complete
  /// immediately in the same way.
  void CompletePendingCalls();

  /// Returns the metrics in Prometheus text format.
  std::string Metrics();

private:
  struct Call;

  void ApplyEvacuations();
  void Serve(PeerOperation aOperation, const std::string& aBody, PeerCallback aDone);
  void ServeAsLeader(PeerOperation aOperation, const std::string& aBody, PeerCallback aDone);
  void ServePing(const std::string& aBody, const PeerCallback& aDone);
  struct Peer;
  /// Records the sender of \p aPing as a peer. Returns nullptr if it can't be one, or there are too
  /// many.
  const Peer* RecordPing(PingMessage aPing);
  void ServeClaim(const PeerCallback& aDone);
  PlacedTasksResponse ServePlaced(const std::string& aBody);
  LinkOrdersReply ServeLinkOrders(const std::string& aBody);
  LinkResultsReply ServeLinkResults(const std::string& aBody);
  /// Describes what the leader of \p aEpoch has placed. Instances without the later fields of the
  /// response take a list with unknown tasks as none.
  static PlacedTasksResponse MakePlacedTasksResponse(uint64_t aEpoch, Placements aPlacements);
  void RequestPlacedTasks(const StoredClaim& aPrevious);
  PeerResponse ServeFollow(const std::string& aBody);
  /// Returns the peers that this leader needs while the store is unavailable. \pre There is a
  /// session.
  std::vector<Witness> ChooseWitnesses() const;
  /// Asks those peers to follow this leader whose responses it needs now.
  void ContactFollowers();
  void AskToFollow(const Witness& aPeer);
  void OnFollowResponse(const std::string& aInstance,
                        Instant aSentAt,
                        const PeerResponse& aResponse);
  /// Records that \p aInstance follows this leader.
  void OnFollower(const std::string& aInstance);
  /// Returns whether each of \p aLeaders has a contact that follows this leader.
  bool AreEarlierLeadersStopping(const std::vector<EarlierLeader>& aLeaders) const;
  void ServeState(GraphId aId, const PeerCallback& aDone);
  void StartCall(PeerOperation aOperation,
                 std::string aBody,
                 Duration aDeadline,
                 PeerCallback aDone);
  void TryCall(const std::shared_ptr<Call>& aCall);
  void OnCallResponse(const std::shared_ptr<Call>& aCall, const ClientResponse& aResponse);
  void HandleResponse(const std::shared_ptr<Call>& aCall, const PeerResponse& aResponse);
  void RetryCallLater(const std::shared_ptr<Call>& aCall);
  void FailCall(const std::shared_ptr<Call>& aCall);
  void CompleteCall(const std::shared_ptr<Call>& aCall, const PeerResponse& aResponse);
  void Tick();
  void PingLeader();
  /// Handles the response to a ping that was sent to the leader of \p aEpoch.
  void OnPingResponse(uint64_t aEpoch, const ClientResponse& aResponse);
  void Claim();
  /// Announces the claim to the other instances; the next tick tries again if that fails.
  void Announce();
  void OnClaimResult(LeadershipClaimer::Outcome aOutcome);
  void OnRequestComplete(RequestToken aRequest, SubmitResult aResult);
  void OnStepDown(const std::string& aReason);
  void EndSession();
  PeerResponse MakeNotLeaderResponse() const;
  void BeginLinks(const StoredClaim& aClaim);
  LinkInstance DescribeSelf() const;
  /// Returns the peers that can call workers for this leader.
  std::vector<LinkInstance> ListLinkInstances() const;
  std::string LinkMetrics() const;
  std::string ShardMetrics() const;
  /// Forgets silent peers, and ranks the others by how well they would succeed this leader: the
  /// strongest first, then those of its region, which is near the store.
  void RankPeers();
  /// Returns the eligible peer with the highest weight, or nullptr.
  const Peer* StrongestPeer() const;
  void HandOverTo(const Peer* aTo);
  /// Asks \p aPeer to succeed this instance's epoch \p aEpoch, and the next one if it declines.
  void AskToClaim(const Peer& aPeer, uint64_t aEpoch);
  void OnAskedToClaim(const std::string& aInstance,
                      uint64_t aEpoch,
                      const ClientResponse& aResponse);
  void HandOverToStrongerPeer();
  /// Records a failed handover if the leadership came back from the peer that was asked to take it.
  void RecordFailedHandover(const std::optional<StoredClaim>& aPrevious, Instant aNow);

  struct Peer
  {
    PingMessage m_ping;
    Instant m_lastHeardAt;
    uint32_t m_rank = kNoRank; ///< Place in the line of succession.
  };

  /// A peer that was asked to take the leadership but did not.
  struct FailedHandover
  {
    std::string m_instance;
    Instant m_retryAt; ///< It is not asked again before this time.
  };

  boost::asio::io_context& m_io;
  NodeSettings m_settings;
  ZoneEvacuations m_evacuations;
  StorePort& m_store;
  WorkerPort& m_workers;
  ReportDecoder m_decoder;
  HttpClient m_client;
  PeerLinkPort m_linkPort;
  std::shared_ptr<LinkShard> m_shard;
  std::shared_ptr<WorkerLinks> m_links; ///< While this instance leads.
  std::unique_ptr<HttpServer> m_server;
  boost::asio::steady_timer m_timer;
  LeaderElection m_election;
  std::shared_ptr<TopicFollower> m_announcements;
  std::shared_ptr<LeaderSession> m_session;
  std::weak_ptr<LeadershipClaimer> m_claimer; ///< The claim in progress, if any.
  PlacedTasksResponse m_lastPlaced;           ///< For the last epoch that this instance led.
  std::unordered_map<RequestToken, PeerCallback> m_requests;
  std::unordered_map<std::string, Peer> m_peers; ///< Peers that have pinged this leader, by id.
  std::string m_handoverPeer;        ///< Peer that was asked to take the leadership, if any.
  FailedHandover m_failedHandover;   ///< The most recent one.
  std::set<std::string> m_followers; ///< Instances that have followed this leader.
  std::map<std::string, Instant> m_nextContactAt; ///< When they are asked next at the earliest.
  bool m_earlierLeadersStopping = false;   ///< No earlier leader can be calling workers for long.
  std::set<std::shared_ptr<Call>> m_calls; ///< Calls without a result yet.
  RequestToken m_nextRequest = 1;
  Instant m_startedAt;
  Instant m_leadingSince;
  Instant m_nextPingAt;
  uint64_t m_pingedEpoch = 0;     ///< Epoch of the leader that was pinged last.
  bool m_pinging = false;         ///< The last ping has no result yet.
  bool m_announcementDue = false; ///< The last announcement of this epoch has failed.
  bool m_shuttingDown = false;
  bool m_retriesStopped = false; ///< Set by CompletePendingCalls().
};

} // namespace egretturn
