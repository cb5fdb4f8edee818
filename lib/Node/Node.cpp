#include "egretturn/Node/Node.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/Log.h"

namespace egretturn {

static constexpr Duration kTickInterval = std::chrono::milliseconds(150);
static constexpr Duration kPingInterval = std::chrono::milliseconds(500);
static constexpr Duration kPingTimeout = std::chrono::milliseconds(1700);

static constexpr Duration kAnnouncementWait = std::chrono::seconds(5);
static constexpr Duration kAnnouncementRetry = std::chrono::milliseconds(250);

static constexpr size_t kMaxPeerBodyBytes =
  1024 * 1024; // request or response; lists of placed tasks are long

/// Returns that no zone is open before the operator's requests have been read, if they count.
static ZoneEvacuations
MakeEvacuations(const NodeSettings& aSettings)
{
  std::set<std::string> zones;
  for (const std::pair<const std::string, std::string>& zoneEntry : aSettings.m_regionOf) {
    zones.insert(zoneEntry.first);
  }
  ZoneEvacuations evacuations(std::move(zones));
  if (aSettings.m_followsEvacuations) {
    evacuations.ExpectRead();
  }
  return evacuations;
}

Node::Node(boost::asio::io_context& aIo,
           NodeSettings aSettings,
           StorePort& aStore,
           WorkerPort& aWorkers,
           ReportDecoder aDecoder)
  : m_io(aIo)
  , m_settings(std::move(aSettings))
  , m_evacuations(MakeEvacuations(m_settings))
  , m_store(aStore)
  , m_workers(aWorkers)
  , m_decoder(std::move(aDecoder))
  , m_client(aIo, kMaxPeerBodyBytes)
  , m_linkPort(aIo, m_client)
  , m_shard(std::make_shared<LinkShard>(m_linkPort, aWorkers, m_settings.m_id))
  , m_timer(aIo)
  , m_election({ m_settings.m_id, m_settings.m_weight }, BootClockNow())
  , m_startedAt(BootClockNow())
{
}

Expected<void>
Node::Start()
{
  HttpLimits limits = m_settings.m_peerServer;
  limits.m_bodyBytes = kMaxPeerBodyBytes;
  limits.m_idle = std::chrono::minutes(5);
  m_server = std::make_unique<HttpServer>(
    m_io, limits, [this](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
      const boost::beast::string_view target = aRequest.target();
      const std::optional<PeerOperation> operation =
        OperationAt(std::string_view(target.data(), target.size()));
      if (!operation) {
        aReply->Send(MakeResponse(404, "text/plain", "unknown operation between instances"));
        return;
      }
      const auto reply = [&](const auto& aMessage) {
        aReply->Send(MakeResponse(200, "application/msgpack", PackCompact(aMessage)));
      };
      if (*operation == PeerOperation::Placed) {
        reply(ServePlaced(aRequest.body()));
        return;
      }
      if (*operation == PeerOperation::Follow) {
        reply(ServeFollow(aRequest.body()));
        return;
      }
      if (*operation == PeerOperation::LinkOrders) {
        reply(ServeLinkOrders(aRequest.body()));
        return;
      }
      if (*operation == PeerOperation::LinkResults) {
        reply(ServeLinkResults(aRequest.body()));
        return;
      }
      Serve(*operation, aRequest.body(), [aReply](const PeerResponse& aResponse) {
        aReply->Send(MakeResponse(200, "application/msgpack", PackCompact(aResponse)));
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
      m_election.OnClaim(claim, BootClockNow());
      m_shard->OnEpoch(claim.m_epoch);
      if (m_session && claim.m_epoch > m_session->Claim().m_epoch) {
        OnStepDown("a newer claim was announced");
      }
    }
  };
  callbacks.m_onCaughtUp = [this] {
    const Instant now = BootClockNow();
    m_election.OnStoreRead(now - m_startedAt, now);
  };
  const FollowTiming timing{ kAnnouncementWait, Duration::zero(), kAnnouncementRetry };
  m_announcements =
    std::make_shared<TopicFollower>(m_io, m_store, Topic::Leader, timing, std::move(callbacks));
  m_startedAt = BootClockNow();
  m_announcements->Start();
  Tick();
  return {};
}

void
Node::Tick()
{
  const Instant now = BootClockNow();
  if (!m_session && !m_shuttingDown) {
    if (m_election.ShouldClaim(now)) {
      Claim();
    }
  }
  HandOverToStrongerPeer();
  RankPeers();
  ContactFollowers();
  if (m_session) {
    m_session->SetWitnesses(ChooseWitnesses());
  }
  if (m_links) {
    m_links->SetInstances(ListLinkInstances());
  }
  if (m_session && m_announcementDue) {
    Announce();
  }
  if (!m_session && m_election.Leader()) {
    // A leader that has not been pinged yet does not wait for a ping that its predecessor holds.
    const uint64_t leader = m_election.Leader()->m_epoch;
    if (leader != m_pingedEpoch || (!m_pinging && now >= m_nextPingAt)) {
      PingLeader();
    }
  }
  m_timer.expires_after(kTickInterval);
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
  m_pingedEpoch = m_election.Leader()->m_epoch;
  m_nextPingAt = BootClockNow() + kPingInterval;
  const LinkInstance self = DescribeSelf();
  const PingMessage ping{ self.m_id,   self.m_address, self.m_weight, m_shuttingDown,
                          self.m_zone, self.m_region,  true };
  HttpRequest request =
    MakeRequest(boost::beast::http::verb::post, PathOf(PeerOperation::Ping), PackCompact(ping));
  m_client.Send(m_election.Leader()->m_address,
                std::move(request),
                kPingTimeout,
                [self = shared_from_this(),
                 epoch = m_election.Leader()->m_epoch](const ClientResponse& aResponse) {
                  self->m_pinging = self->m_pinging && epoch != self->m_pingedEpoch;
                  self->OnPingResponse(epoch, aResponse);
                });
}

void
Node::OnPingResponse(uint64_t aEpoch, const ClientResponse& aResponse)
{
  const Instant now = BootClockNow();
  PeerResponse response;
  if (aResponse.m_result != ClientResult::Completed ||
      !UnpackCompact(aResponse.m_response.body(), response)) {
    return; // a lost leader is detected by its timeout
  }
  m_election.OnClaim(response.m_leader, now); // ignored unless it is newer
  const uint64_t leader = m_election.Leader()->m_epoch;
  if (response.m_outcome == PeerOutcome::Ok && response.m_leader.m_epoch == leader) {
    m_election.OnPing({ response.m_storeAvailable, response.m_maxWeight, response.m_rank }, now);
    return;
  }
  // Other instances can read a claim before its claimant knows that it succeeded. The claimant gets
  // the usual time to respond as the leader.
  const bool confirming = response.m_claimedEpoch == aEpoch;
  // A previous leader can't know the state of the new one.
  if (response.m_outcome != PeerOutcome::Ok && aEpoch == leader && !confirming) {
    m_election.OnLeaderLost(now);
  }
}

void
Node::Claim()
{
  if (!m_claimer.expired()) {
    return;
  }
  StoredClaim identity;
  identity.m_instance = m_settings.m_id;
  identity.m_address = m_settings.m_peerAddress;
  identity.m_incarnation = m_settings.m_incarnation;
  identity.m_weight = m_settings.m_weight;
  const uint64_t known = m_election.Leader() ? m_election.Leader()->m_epoch : 0;
  Log(LogLine(LogLevel::Info, "claiming").Add("succeeds_epoch", known));
  const std::shared_ptr<LeadershipClaimer> claimer = std::make_shared<LeadershipClaimer>(
    m_io,
    m_store,
    identity,
    known,
    m_election.DefersToWritingLeader(),
    [self = shared_from_this()] { return self->m_election.ShouldClaim(BootClockNow()); },
    [self = shared_from_this()](LeadershipClaimer::Outcome aOutcome) {
      self->m_claimer.reset();
      self->OnClaimResult(std::move(aOutcome));
    });
  m_claimer = claimer;
  claimer->Start();
}

void
Node::OnClaimResult(LeadershipClaimer::Outcome aOutcome)
{
  const Instant now = BootClockNow();
  if (aOutcome.m_other) {
    m_election.OnClaim(*aOutcome.m_other, now);
  }
  if (aOutcome.m_abandoned) {
    Log(
      LogLine(LogLevel::Info, "claim_abandoned").Add("reason", "the leader was heard from again"));
    return;
  }
  if (aOutcome.m_deferredToLeader) {
    m_election.OnLeaderWriting(now);
    return;
  }
  if (!aOutcome.m_own || m_shuttingDown) {
    m_election.OnClaimFailed(now);
    return;
  }
  const StoredClaim& claim = *aOutcome.m_own;
  const std::optional<StoredClaim> previous = m_election.Leader();
  Log(LogLine(LogLevel::Info, "deciding")
        .Add("epoch", claim.m_epoch)
        .Add("jobs", uint64_t{ aOutcome.m_state.m_jobs.size() }));
  m_election.OnClaim(claim, now);
  RecordFailedHandover(previous, now);
  m_leadingSince = now;
  m_peers.clear();
  m_followers.clear();
  m_earlierLeadersStopping = AreEarlierLeadersStopping(claim.m_earlierLeaders);
  aOutcome.m_state.m_earlierLeadersActive = !m_earlierLeadersStopping;
  LeaderSession::Callbacks callbacks;
  const std::weak_ptr<Node> weak = weak_from_this();
  callbacks.m_onRequestComplete = [weak](RequestToken aRequest, SubmitResult aResult) {
    if (const std::shared_ptr<Node> self = weak.lock()) {
      self->OnRequestComplete(aRequest, aResult);
    }
  };
  callbacks.m_onStepDown = [weak](const std::string& aReason) {
    if (const std::shared_ptr<Node> self = weak.lock()) {
      self->OnStepDown(aReason);
    }
  };
  BeginLinks(claim);
  m_session = std::make_shared<LeaderSession>(
    m_io, m_store, *m_links, m_decoder, m_settings.m_limits, claim, std::move(callbacks));
  m_session->SetEvacuations(m_evacuations);
  m_session->Start(std::move(aOutcome.m_state));
  if (previous && previous->m_epoch + 1 == claim.m_epoch) {
    RequestPlacedTasks(*previous);
  }
  Announce();
}

void
Node::Announce()
{
  m_announcementDue = false;
  const StoredClaim& claim = m_session->Claim();
  m_store.Append(Topic::Leader,
                 { { std::string(kClaimKey), PackCompact(claim) } },
                 [self = shared_from_this(), epoch = claim.m_epoch](const AppendResult& aResult) {
                   const bool leads = self->m_session && self->m_session->Claim().m_epoch == epoch;
                   if (leads && aResult.m_kind != AppendResult::Kind::Appended) {
                     Log(LogLine(LogLevel::Warning, "announcement_failed").Add("epoch", epoch));
                     self->m_announcementDue = true;
                   }
                 });
}

void
Node::EndSession()
{
  m_session->Stop();
  m_links->End();
  m_links.reset();
  m_lastPlaced = MakePlacedTasksResponse(m_session->Claim().m_epoch,
                                         m_session->GetScheduler().ListPlacements(BootClockNow()));
  m_session.reset();
  std::unordered_map<RequestToken, PeerCallback> requests = std::exchange(m_requests, {});
  for (std::pair<const RequestToken, std::function<void(const PeerResponse&)>>& doneEntry :
       requests) {
    std::function<void(const PeerResponse&)>& done = doneEntry.second;
    PeerResponse response;
    response.m_outcome = PeerOutcome::Unknown;
    done(response);
  }
}

void
Node::OnStepDown(const std::string& aReason)
{
  if (m_session->IsStopped()) {
    return; // it has stepped down, and its end is scheduled
  }
  const uint64_t epoch = m_session->Claim().m_epoch;
  Log(LogLine(LogLevel::Warning, "stepped_down").Add("epoch", epoch).Add("reason", aReason));
  // The session may be on the call stack; it is destroyed after the stack has unwound.
  boost::asio::post(m_io, [self = shared_from_this(), session = m_session] {
    if (self->m_session == session) {
      self->EndSession();
    }
  });
  m_session->Stop();
  m_links->End();
  if (m_election.Leader()->m_epoch == epoch) { // otherwise the successor is known, and not lost
    const Instant now = BootClockNow();
    m_election.OnLeaderLost(now);
    m_election.OnClaimFailed(now);
  }
}

bool
Node::IsReady() const
{
  return !m_shuttingDown && (m_session || m_election.HasLeader(BootClockNow()));
}

} // namespace egretturn
