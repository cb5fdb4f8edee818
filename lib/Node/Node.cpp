#include "egretturn/Node/Node.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/EnumTable.h"
#include "egretturn/Support/Log.h"

namespace egretturn {

static constexpr Duration kTick = std::chrono::milliseconds(150);
static constexpr Duration kPingEvery = std::chrono::milliseconds(500);
static constexpr Duration kPingTimeout = std::chrono::milliseconds(1700);

static constexpr Duration kFreshClaim = std::chrono::milliseconds(1800);
static constexpr Duration kAnnouncementWait = std::chrono::seconds(5);
static constexpr Duration kAnnouncementRetry = std::chrono::milliseconds(250);
static constexpr size_t kPeerBodyBytes = 1024 * 1024; // either way; lists of placed tasks are long

static constexpr EnumTable<PeerOperation, 7> kPaths{ {
  { PeerOperation::Submit, "/v1/peer/submit" },
  { PeerOperation::Cancel, "/v1/peer/cancel" },
  { PeerOperation::State, "/v1/peer/state" },
  { PeerOperation::Pending, "/v1/peer/pending" },
  { PeerOperation::Ping, "/v1/peer/ping" },
  { PeerOperation::Claim, "/v1/peer/claim" },
  { PeerOperation::Placed, "/v1/peer/placed" },
} };

std::string_view
PathOf(PeerOperation aOperation)
{
  return NameIn(kPaths, aOperation);
}

std::optional<PeerOperation>
OperationAt(std::string_view aPath)
{
  return ValueIn(kPaths, aPath);
}

Node::Node(boost::asio::io_context& aIo,
           NodeSettings aSettings,
           StorePort& aStore,
           WorkerPort& aWorkers,
           ReportDecoder aDecoder)
  : m_io(aIo)
  , m_settings(std::move(aSettings))
  , m_store(aStore)
  , m_workers(aWorkers)
  , m_decoder(std::move(aDecoder))
  , m_client(aIo, kPeerBodyBytes)
  , m_timer(aIo)
  , m_succession({ m_settings.m_id, m_settings.m_weight }, NowWithSuspend())
  , m_startedAt(NowWithSuspend())
{
}

Expected<void>
Node::Start()
{
  HttpLimits limits;
  limits.m_bodyBytes = kPeerBodyBytes;
  limits.m_idle = std::chrono::minutes(5);
  m_server = std::make_unique<HttpServer>(
    m_io, limits, [this](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
      const boost::beast::string_view target = aRequest.target();
      const std::optional<PeerOperation> operation =
        OperationAt(std::string_view(target.data(), target.size()));
      if (!operation) {
        aReply->Send(MakeResponse(404, "text/plain", "no such operation between instances"));
        return;
      }
      if (*operation == PeerOperation::Placed) {
        const PlacedMessage placed = ServePlaced(aRequest.body());
        aReply->Send(MakeResponse(200, "application/msgpack", PackCompact(placed)));
        return;
      }
      Serve(*operation, aRequest.body(), [aReply](const PeerAnswer& aAnswer) {
        aReply->Send(MakeResponse(200, "application/msgpack", PackCompact(aAnswer)));
      });
    });
  Expected<void> listening = m_server->Listen(m_settings.m_peerAddress);
  if (!listening) {
    return listening;
  }
  TopicFollower::Callbacks callbacks;
  callbacks.m_onRecord = [this](const KeyedRecord& aRecord) {
    StoredClaim claim;
    if (aRecord.m_key == kClaimKey && UnpackCompact(aRecord.m_value, claim)) {
      m_succession.OnClaim(claim, NowWithSuspend());
      if (m_decider && claim.m_epoch > m_decider->Claim().m_epoch) {
        OnStepDown("a newer claim was announced");
      }
    }
  };
  callbacks.m_onCaughtUp = [this] {
    const Instant now = NowWithSuspend();
    m_succession.OnStoreRead(now - m_startedAt, now);
  };
  const FollowPace pace{ kAnnouncementWait, Duration::zero(), kAnnouncementRetry };
  m_announcements =
    std::make_shared<TopicFollower>(m_io, m_store, Topic::Leader, pace, std::move(callbacks));
  m_startedAt = NowWithSuspend();
  m_announcements->Start();
  Tick();
  return {};
}

void
Node::Tick()
{
  const Instant now = NowWithSuspend();
  if (!m_decider && !m_leaving) {
    if (m_succession.ShouldClaim(now)) {
      Claim();
    }
  }
  YieldToStronger();
  if (!m_decider && m_succession.Leader() && !m_pinging && now >= m_pingAt) {
    PingLeader();
  }
  m_timer.expires_after(kTick);
  m_timer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError) {
      self->Tick();
    }
  });
}

void
Node::PingLeader()
{
  m_pinging = true;
  m_pingAt = NowWithSuspend() + kPingEvery;
  const PingMessage ping{ m_settings.m_id, m_settings.m_peerAddress, m_settings.m_weight };
  HttpRequest request =
    MakeRequest(boost::beast::http::verb::post, PathOf(PeerOperation::Ping), PackCompact(ping));
  m_client.Send(m_succession.Leader()->m_address,
                std::move(request),
                kPingTimeout,
                [self = shared_from_this(),
                 epoch = m_succession.Leader()->m_epoch](const ClientResponse& aAnswer) {
                  self->m_pinging = false;
                  self->OnPinged(epoch, aAnswer);
                });
}

void
Node::OnPinged(uint64_t aEpoch, const ClientResponse& aAnswer)
{
  const Instant now = NowWithSuspend();
  PeerAnswer answer;
  if (aAnswer.m_result != ClientResult::Completed ||
      !UnpackCompact(aAnswer.m_response.body(), answer)) {
    return; // silence is judged by time
  }
  m_succession.OnClaim(answer.m_leader, now); // passed over unless it is newer
  const uint64_t leader = m_succession.Leader()->m_epoch;
  if (answer.m_outcome == PeerOutcome::Ok && answer.m_leader.m_epoch == leader) {
    m_succession.OnPing(answer.m_storeAvailable, answer.m_strongest, now);
  } else if (answer.m_outcome != PeerOutcome::Ok && aEpoch == leader) {
    m_succession.OnLeaderGone(now); // an earlier leader could not tell
  }
}

void
Node::Claim()
{
  if (m_claiming) {
    return;
  }
  m_claiming = true;
  StoredClaim identity;
  identity.m_instance = m_settings.m_id;
  identity.m_address = m_settings.m_peerAddress;
  identity.m_incarnation = m_settings.m_incarnation;
  identity.m_weight = m_settings.m_weight;
  const uint64_t known = m_succession.Leader() ? m_succession.Leader()->m_epoch : 0;
  Log(LogLine(LogLevel::Info, "claiming").Add("succeeds_epoch", known));
  std::make_shared<LeadershipClaimer>(
    m_io,
    m_store,
    identity,
    known,
    m_succession.GivesWay(),
    [self = shared_from_this()](LeadershipClaimer::Outcome aOutcome) {
      self->m_claiming = false;
      self->OnClaimed(std::move(aOutcome));
    })
    ->Start();
}

void
Node::OnClaimed(LeadershipClaimer::Outcome aOutcome)
{
  const Instant now = NowWithSuspend();
  if (aOutcome.m_other) {
    m_succession.OnClaim(*aOutcome.m_other, now);
  }
  if (aOutcome.m_leaderWrites) {
    m_succession.OnLeaderWrites(now);
    return;
  }
  if (!aOutcome.m_own || m_leaving) {
    m_succession.OnClaimFailed(now);
    return;
  }
  const StoredClaim& claim = *aOutcome.m_own;
  const std::optional<StoredClaim> predecessor = m_succession.Leader();
  Log(LogLine(LogLevel::Info, "deciding")
        .Add("epoch", claim.m_epoch)
        .Add("jobs", uint64_t{ aOutcome.m_state.m_jobs.size() }));
  m_succession.OnClaim(claim, now);
  NoteRefusal(predecessor, now);
  m_decidingSince = now;
  m_peers.clear();
  LeaderSession::Callbacks callbacks;
  const std::weak_ptr<Node> weak = weak_from_this();
  callbacks.m_onAnswer = [weak](RequestToken aRequest, SubmitResult aResult) {
    if (const std::shared_ptr<Node> self = weak.lock()) {
      self->OnAnswer(aRequest, aResult);
    }
  };
  callbacks.m_onStepDown = [weak](const std::string& aReason) {
    if (const std::shared_ptr<Node> self = weak.lock()) {
      self->OnStepDown(aReason);
    }
  };
  m_decider = std::make_shared<LeaderSession>(
    m_io, m_store, m_workers, m_decoder, m_settings.m_limits, claim, std::move(callbacks));
  m_decider->Start(std::move(aOutcome.m_state));
  if (predecessor && predecessor->m_epoch + 1 == claim.m_epoch) {
    AskPredecessor(*predecessor);
  }
  m_store.Append(
    Topic::Leader, { { std::string(kClaimKey), PackCompact(claim) } }, [](AppendResult) {});
}

void
Node::OnAnswer(RequestToken aRequest, SubmitResult aResult)
{
  const auto it = m_requests.find(aRequest);
  if (it == m_requests.end()) {
    return;
  }
  const PeerCallback done = std::move(it->second);
  m_requests.erase(it);
  PeerAnswer answer;
  switch (aResult) {
    case SubmitResult::Accepted:
      answer.m_outcome = PeerOutcome::Ok;
      break;
    case SubmitResult::NotRun:
      answer.m_outcome = PeerOutcome::NotRun;
      break;
    case SubmitResult::Unknown:
      answer.m_outcome = PeerOutcome::Unknown;
      break;
    case SubmitResult::NoSuchJob:
      answer.m_outcome = PeerOutcome::NoSuchJob;
      break;
  }
  done(answer);
}

void
Node::DropDecider()
{
  m_decider->Stop();
  const std::optional<std::vector<PlacedTask>> placed = m_decider->Core().DescribePlaced();
  m_lastPlaced = {};
  if (placed) {
    m_lastPlaced = { m_decider->Claim().m_epoch, *placed };
  }
  m_decider.reset();
  std::unordered_map<RequestToken, PeerCallback> requests = std::exchange(m_requests, {});
  for (std::pair<const RequestToken, std::function<void(const PeerAnswer&)>>& doneEntry :
       requests) {
    std::function<void(const PeerAnswer&)>& done = doneEntry.second;
    PeerAnswer answer;
    answer.m_outcome = PeerOutcome::Unknown;
    done(answer);
  }
}

void
Node::OnStepDown(const std::string& aReason)
{
  Log(LogLine(LogLevel::Warning, "stepped_down")
        .Add("epoch", m_decider->Claim().m_epoch)
        .Add("reason", aReason));
  const Instant now = NowWithSuspend();
  // The decider may be on the stack; it is dropped once that has unwound.
  boost::asio::post(m_io, [self = shared_from_this(), decider = m_decider] {
    if (self->m_decider == decider) {
      self->DropDecider();
    }
  });
  m_decider->Stop();
  m_succession.OnLeaderGone(now);
  m_succession.OnClaimFailed(now);
}

PeerAnswer
Node::NotDeciding() const
{
  PeerAnswer answer;
  answer.m_outcome = PeerOutcome::NotDeciding;
  if (m_succession.Leader()) {
    answer.m_leader = *m_succession.Leader();
  }
  return answer;
}

void
Node::Serve(PeerOperation aOperation, const std::string& aBody, PeerCallback aDone)
{
  if (aOperation == PeerOperation::Ping) {
    ServePing(aBody, aDone);
  } else if (aOperation == PeerOperation::Claim) {
    ServeClaim(aDone);
  } else if (m_decider) {
    ServeDeciding(aOperation, aBody, std::move(aDone));
  } else {
    aDone(NotDeciding());
  }
}

void
Node::ServePing(const std::string& aBody, const PeerCallback& aDone)
{
  if (!m_decider) {
    aDone(NotDeciding());
    return;
  }
  PingMessage ping;
  if (UnpackCompact(aBody, ping)) {
    m_peers[ping.m_instance] = { ping, NowWithSuspend() };
  }
  PeerAnswer answer;
  answer.m_outcome = PeerOutcome::Ok;
  answer.m_leader = m_decider->Claim();
  answer.m_storeAvailable = m_decider->IsStoreAvailable();
  const Peer* strongest = StrongestPeer();
  answer.m_strongest = std::max(m_settings.m_weight, strongest ? strongest->m_ping.m_weight : 0.0);
  aDone(answer);
}

void
Node::ServeState(GraphId aId, const PeerCallback& aDone)
{
  PeerAnswer answer;
  const std::optional<JobState> state = m_decider->StateOf(aId);
  if (state) {
    answer.m_outcome = PeerOutcome::Ok;
    answer.m_state = *state;
  } else if (NowWithSuspend() - m_decider->ConfirmedAt() < kFreshClaim) {
    answer.m_outcome = PeerOutcome::NoSuchJob;
  } else {
    m_decider->Confirm(); // another instance may have claimed and accepted it
    answer.m_outcome = PeerOutcome::Unknown;
  }
  aDone(answer);
}

void
Node::ServeDeciding(PeerOperation aOperation, const std::string& aBody, PeerCallback aDone)
{
  PeerAnswer answer;
  if (aOperation == PeerOperation::Submit) {
    SubmitMessage message;
    if (!UnpackCompact(aBody, message)) {
      answer.m_outcome = PeerOutcome::NotRun;
      aDone(answer);
      return;
    }
    const RequestToken token = m_nextRequest++;
    m_requests.emplace(token, std::move(aDone));
    m_decider->Submit(token,
                      { message.m_id, std::move(message.m_terms), std::move(message.m_graph) });
    return;
  }
  JobMessage message;
  if (!UnpackCompact(aBody, message)) {
    aDone(answer);
    return;
  }
  if (aOperation == PeerOperation::Cancel) {
    const std::optional<JobState> known = m_decider->StateOf(message.m_id);
    if (!known) {
      ServeState(message.m_id, aDone);
      return;
    }
    const RequestToken token = m_nextRequest++;
    m_requests.emplace(token, std::move(aDone));
    m_decider->Cancel(token, message.m_id);
  } else if (aOperation == PeerOperation::State) {
    ServeState(message.m_id, aDone);
  } else {
    answer.m_outcome = PeerOutcome::Ok;
    answer.m_count = m_decider->CountPending(message.m_route);
    aDone(answer);
  }
}

bool
Node::IsReady() const
{
  return !m_leaving && (m_decider || m_succession.HasLeader(NowWithSuspend()));
}

/// A counter and its name.
struct MetricRow
{
  const char* m_name;
  uint64_t m_value;
};

std::string
Node::Metrics()
{
  std::string text = "egretturn_deciding " + std::to_string(m_decider ? 1 : 0) + "\n";
  if (!m_decider) {
    return text;
  }
  const SchedulerCounters& counters = m_decider->Core().Counters();
  const MetricRow rows[] = {
    { "egretturn_jobs", m_decider->Core().JobCount() },
    { "egretturn_jobs_accepted_total", counters.m_accepted },
    { "egretturn_jobs_refused_total", counters.m_refused },
    { "egretturn_starts_total", counters.m_starts },
    { "egretturn_ends_done_total", counters.m_endsDone },
    { "egretturn_ends_failed_total", counters.m_endsFailed },
    { "egretturn_ends_other_total", counters.m_endsOther },
    { "egretturn_stops_total", counters.m_stops },
    { "egretturn_paces_total", counters.m_throttles },
    { "egretturn_looks_total", counters.m_polls },
    { "egretturn_batches_total", counters.m_batches },
    { "egretturn_tasks_waiting", counters.m_tasksWaiting },
    { "egretturn_tasks_passed_over", counters.m_tasksSkipped },
    { "egretturn_workers_listed", counters.m_workersRegistered },
    { "egretturn_workers_out_of_contact", counters.m_workersUnreachable },
  };
  for (const MetricRow& row : rows) {
    text.append(row.m_name).append(1, ' ').append(std::to_string(row.m_value)).append(1, '\n');
  }
  return text;
}

} // namespace egretturn
