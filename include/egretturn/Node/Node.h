// One instance: takes callers' requests, finds who decides, and decides itself when it has claimed.
#pragma once

#include "egretturn/Http/Http.h"
#include "egretturn/Node/LeaderElection.h"
#include "egretturn/Node/LeadershipClaimer.h"
#include "egretturn/Node/PeerProtocol.h"

#include <set>

namespace egretturn {

struct NodeSettings
{
  std::string m_id;
  std::string m_peerAddress; ///< Where other instances reach this one; it listens there.
  double m_weight = 0.1;     ///< Share of a processor.
  uint64_t m_incarnation = 0;
  SchedulerLimits m_limits;
};

/// Not thread-safe: all methods and callbacks on the thread of the io_context.
class Node : public std::enable_shared_from_this<Node>
{
public:
  Node(boost::asio::io_context& aIo,
       NodeSettings aSettings,
       StorePort& aStore,
       WorkerPort& aWorkers,
       ReportDecoder aDecoder);

  /// Listens for other instances and starts to look for a leader.
  /// Errors: bad_input, unavailable if the peer address is taken.
  Expected<void> Start();

  /// Hands a submission to whoever decides; tries again until \p aDeadline.
  void Submit(Submission aSubmission, Duration aDeadline, PeerCallback aDone);
  void Cancel(GraphId aId, Duration aDeadline, PeerCallback aDone);
  void State(GraphId aId, Duration aDeadline, PeerCallback aDone);
  void Pending(const std::string& aRoute, Duration aDeadline, PeerCallback aDone);

  /// Whether requests can be served now.
  bool IsReady() const;

  /// Stops deciding and asks a peer to succeed; requests are forwarded from then on.
  void HandOver();

  /// Answers the callers that still wait with what is known: not run, or unknown. Requests that
  /// come later are answered at once in the same way.
  void FinishCalls();

  /// Metrics as text.
  std::string Metrics();

private:
  struct Call;

  void Serve(PeerOperation aOperation, const std::string& aBody, PeerCallback aDone);
  void ServeDeciding(PeerOperation aOperation, const std::string& aBody, PeerCallback aDone);
  void ServePing(const std::string& aBody, const PeerCallback& aDone);
  void ServeClaim(const PeerCallback& aDone);
  PlacedMessage ServePlaced(const std::string& aBody);
  void AskPredecessor(const StoredClaim& aPredecessor);
  void ServeState(GraphId aId, const PeerCallback& aDone);
  void Begin(PeerOperation aOperation, std::string aBody, Duration aDeadline, PeerCallback aDone);
  void Try(const std::shared_ptr<Call>& aCall);
  void OnTried(const std::shared_ptr<Call>& aCall, const ClientResponse& aAnswer);
  void Settle(const std::shared_ptr<Call>& aCall, const PeerAnswer& aAnswer);
  void TryLater(const std::shared_ptr<Call>& aCall);
  void GiveUp(const std::shared_ptr<Call>& aCall);
  void Finish(const std::shared_ptr<Call>& aCall, const PeerAnswer& aAnswer);
  void Tick();
  void PingLeader();
  /// Takes the answer to a ping of the leader of \p aEpoch.
  void OnPinged(uint64_t aEpoch, const ClientResponse& aAnswer);
  void Claim();
  void OnClaimed(LeadershipClaimer::Outcome aOutcome);
  void OnAnswer(RequestToken aRequest, SubmitResult aResult);
  void OnStepDown(const std::string& aReason);
  void DropDecider();
  PeerAnswer NotDeciding() const;
  struct Peer;
  /// The strongest of the peers that may succeed this leader, or nullptr.
  const Peer* StrongestPeer() const;
  void PassOn(const Peer* aTo);
  void YieldToStronger();
  /// Notes that deciding has come back from where it was passed to, if that is so.
  void NoteRefusal(const std::optional<StoredClaim>& aPredecessor, Instant aNow);

  struct Peer
  {
    PingMessage m_ping;
    Instant m_heardAt;
  };

  /// A peer that was asked to succeed this leader and has not done so.
  struct Refusal
  {
    std::string m_instance;
    Instant m_until; ///< It is not asked before this.
  };

  boost::asio::io_context& m_io;
  NodeSettings m_settings;
  StorePort& m_store;
  WorkerPort& m_workers;
  ReportDecoder m_decoder;
  HttpClient m_client;
  std::unique_ptr<HttpServer> m_server;
  boost::asio::steady_timer m_timer;
  LeaderElection m_succession;
  std::shared_ptr<TopicFollower> m_announcements;
  std::shared_ptr<LeaderSession> m_decider;
  PlacedMessage m_lastPlaced; ///< Of the epoch under which this instance decided last.
  std::unordered_map<RequestToken, PeerCallback> m_requests;
  std::unordered_map<std::string, Peer> m_peers; ///< By id: those that pinged this leader.
  std::string m_passedTo;                        ///< Asked to succeed this leader, if any.
  Refusal m_refusal;                             ///< The last one.
  std::set<std::shared_ptr<Call>> m_calls;       ///< Callers that wait for an answer.
  RequestToken m_nextRequest = 1;
  Instant m_startedAt;
  Instant m_decidingSince;
  Instant m_pingAt;
  bool m_pinging = false;
  bool m_claiming = false;
  bool m_leaving = false;
  bool m_finishing = false; ///< No call is tried any more.
};

} // namespace egretturn
