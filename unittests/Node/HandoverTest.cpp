// Tests which instance a node accepts as leader, and the handover of the leadership.
#include "NodeFixture.h"

using namespace egretturn;
using namespace egretturn::nodetest;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Encodes \p aMessage as a version without the fields after the first \p aFields does.
template<HasFields T>
static std::string
PackShortened(const T& aMessage, size_t aFields)
{
  Json json = Encode(aMessage, FieldStyle::Compact);
  while (json.size() > aFields) {
    json.erase(json.size() - 1);
  }
  std::string bytes;
  Json::to_msgpack(json, bytes);
  return bytes;
}

// Guards against replacing a live leader because the previous leader responds that it does not
// lead.
TEST_CASE("a response of the previous leader does not affect the new leader")
{
  NodeFixture fixture;
  fixture.m_store.Announce(ClaimOf(1, kOldLeader));
  const std::unique_ptr<HttpServer> old = fixture.MakePeer(kOldLeader);
  fixture.Start();
  fixture.m_io.run_for(milliseconds(100));
  REQUIRE(fixture.HeldRequests(PeerOperation::Ping).size() == 1);

  fixture.m_store.Announce(ClaimOf(2, kNewLeader));
  PeerResponse response;
  response.m_outcome = PeerOutcome::NotLeader;
  response.m_leader = ClaimOf(1, kOldLeader); // it has not heard of the new leader
  fixture.HeldRequests(PeerOperation::Ping)[0]->Send(
    MakeResponse(200, "application/msgpack", PackCompact(response)));
  fixture.m_io.run_for(milliseconds(50));
  CHECK(fixture.m_node->IsReady());
}

// Guards against repeated handovers to a peer that can't claim the leadership.
TEST_CASE("the leadership is not immediately handed over again to a peer that did not claim it")
{
  NodeFixture fixture;
  const std::unique_ptr<HttpServer> strong = fixture.MakePeer(kNewLeader);
  fixture.Start();
  HttpClient client(fixture.m_io, 4096);
  const PingMessage ping{ "strong", kNewLeader, 1.0 };
  for (int i = 0; i < 14; ++i) { // the peer pings but does not claim
    client.Send(kNodeAddress,
                MakeRequest(boost::beast::http::verb::post,
                            std::string(PathOf(PeerOperation::Ping)),
                            PackCompact(ping)),
                seconds(1),
                [](const ClientResponse&) {});
    fixture.m_io.run_for(milliseconds(400));
  }
  CHECK(fixture.HeldRequests(PeerOperation::Claim).size() == 1);
  CHECK(fixture.m_node->IsReady());
}

// Guards against superseding a sound leader that is 0.8 s old: an instance whose claim lost to
// another claimant took that claim for a sign that the old leader still writes, and counted the
// time without a ping from a moment before the new leader's claim.
TEST_CASE("an instance whose claim lost to another one waits for the new leader's whole timeout")
{
  NodeFixture fixture;
  fixture.m_store.AppendClaim(Topic::Jobs, ClaimOf(1, kOldLeader));
  fixture.m_store.Announce(ClaimOf(1, kOldLeader));
  fixture.m_store.m_beforeAppend = [&] {
    fixture.m_store.AppendClaim(Topic::Jobs, ClaimOf(2, kNewLeader));
  };
  const std::unique_ptr<HttpServer> old = fixture.MakePeer(kOldLeader);
  const std::unique_ptr<HttpServer> successor = fixture.MakePeer(kNewLeader);
  fixture.Start();
  for (int i = 0; i < 300 && fixture.m_store.m_claimTries == 0; ++i) {
    fixture.m_io.run_for(milliseconds(10));
  }
  REQUIRE(fixture.m_store.m_claimTries == 1);
  fixture.m_io.run_for(milliseconds(1200));
  CHECK(fixture.m_store.m_claimTries == 1);
  fixture.m_io.run_for(milliseconds(1000)); // the new leader has responded to nothing
  CHECK(fixture.m_store.m_claimTries > 1);
}

// Guards against superseding a sound leader that was never pinged, because a ping to its frozen
// predecessor was still waiting for the response.
TEST_CASE("a ping that the previous leader does not respond to does not delay pings to the new one")
{
  NodeFixture fixture;
  fixture.m_store.AppendClaim(Topic::Jobs, ClaimOf(1, kOldLeader));
  fixture.m_store.Announce(ClaimOf(1, kOldLeader));
  const std::unique_ptr<HttpServer> old = fixture.MakePeer(kOldLeader);
  const std::unique_ptr<HttpServer> successor = fixture.MakePeer(kNewLeader);
  fixture.Start();
  fixture.m_io.run_for(milliseconds(100));
  REQUIRE(fixture.HeldRequests(PeerOperation::Ping).size() == 1);

  fixture.m_store.AppendClaim(Topic::Jobs, ClaimOf(2, kNewLeader));
  fixture.m_store.Announce(ClaimOf(2, kNewLeader));
  fixture.m_io.run_for(milliseconds(300));
  CHECK(fixture.HeldRequests(PeerOperation::Ping).size() == 2);
}

// Guards against superseding a sound leader whose claim can be read from the store before the
// leader itself knows that it succeeded.
TEST_CASE("a leader that waits for the result of its claim does not count as lost")
{
  NodeFixture fixture;
  fixture.m_store.Announce(ClaimOf(2, kNewLeader));
  const std::unique_ptr<HttpServer> leader = fixture.MakePeer(kNewLeader);
  fixture.Start();
  fixture.m_io.run_for(milliseconds(100));
  PeerResponse response;
  response.m_outcome = PeerOutcome::NotLeader;
  response.m_claimedEpoch = 2;
  fixture.RespondToPing(response);
  CHECK(fixture.m_node->IsReady());

  // A process that was restarted at the leader's address claims the next epoch.
  fixture.m_io.run_for(milliseconds(600));
  response.m_claimedEpoch = 3;
  fixture.RespondToPing(response);
  CHECK_FALSE(fixture.m_node->IsReady());
}

// Guards against waiting forever for a claimant that never learns the result of its claim.
TEST_CASE("a leader that does not learn the result of its claim is replaced after the timeout")
{
  NodeFixture fixture;
  fixture.m_store.AppendClaim(Topic::Jobs, ClaimOf(2, kNewLeader));
  fixture.m_store.Announce(ClaimOf(2, kNewLeader));
  const std::unique_ptr<HttpServer> leader = fixture.MakePeer(kNewLeader);
  fixture.Start();
  PeerResponse response;
  response.m_outcome = PeerOutcome::NotLeader;
  response.m_claimedEpoch = 2;
  for (int i = 0; i < 40; ++i) {
    fixture.m_io.run_for(milliseconds(50));
    if (!fixture.HeldRequests(PeerOperation::Ping).empty()) {
      fixture.RespondToPing(response);
    }
  }
  CHECK(fixture.m_store.m_claimTries > 0);
}

// Guards against a claimant that its peers take for a process that leads no more.
TEST_CASE("an instance says which epoch it is claiming until it knows the result")
{
  NodeFixture fixture;
  fixture.m_store.m_holdAppends = true;
  fixture.Start();
  for (int i = 0; i < 100 && !fixture.m_store.m_heldAppend; ++i) {
    fixture.m_io.run_for(milliseconds(10));
  }
  REQUIRE(fixture.m_store.m_heldAppend);
  const std::string ping = PackCompact(PingMessage{ "peer", kNewLeader, 0.1 });
  const PeerResponse claiming = fixture.Ask(PeerOperation::Ping, ping);
  CHECK(claiming.m_outcome == PeerOutcome::NotLeader);
  CHECK(claiming.m_claimedEpoch == 1);

  fixture.m_store.m_heldAppend();
  const PeerResponse leading = fixture.Ask(PeerOperation::Ping, ping);
  CHECK(leading.m_outcome == PeerOutcome::Ok);
  CHECK(leading.m_leader.m_epoch == 1);
}

// Guards against handing the leadership to a peer that is stopping, which loses the placed tasks.
TEST_CASE("a leader that stops does not hand over to a peer that is stopping")
{
  NodeFixture fixture;
  const std::unique_ptr<HttpServer> strong = fixture.MakePeer(kNewLeader);
  const std::unique_ptr<HttpServer> weak = fixture.MakePeer(kOldLeader);
  fixture.StartAsLeader();
  fixture.Ask(PeerOperation::Ping, PackCompact(PingMessage{ "strong", kNewLeader, 0.15, true }));
  fixture.Ask(PeerOperation::Ping, PackCompact(PingMessage{ "weak", kOldLeader, 0.1, false }));
  fixture.m_node->HandOver();
  fixture.m_io.run_for(milliseconds(100));
  CHECK(fixture.AskedToClaim() == std::vector<std::string>{ kOldLeader });
}

// Guards against a handover that ends at a peer that began to stop after its last ping.
TEST_CASE("a leader that stops asks the next peer if the first one declines")
{
  NodeFixture fixture;
  const std::unique_ptr<HttpServer> strong = fixture.MakePeer(kNewLeader);
  const std::unique_ptr<HttpServer> weak = fixture.MakePeer(kOldLeader);
  fixture.StartAsLeader();
  fixture.Ask(PeerOperation::Ping, PackCompact(PingMessage{ "strong", kNewLeader, 0.15 }));
  fixture.Ask(PeerOperation::Ping, PackCompact(PingMessage{ "weak", kOldLeader, 0.1 }));
  fixture.m_node->HandOver();
  fixture.m_io.run_for(milliseconds(100));
  REQUIRE(fixture.AskedToClaim() == std::vector<std::string>{ kNewLeader });
  PeerResponse response;
  response.m_outcome = PeerOutcome::NotLeader;
  SECTION("it declines")
  {
    response.m_declined = true;
    fixture.RespondToClaim(response);
    CHECK(fixture.AskedToClaim() == std::vector<std::string>{ kNewLeader, kOldLeader });
    fixture.RespondToClaim(response); // there is nobody left to ask
    CHECK(fixture.AskedToClaim().size() == 2);
  }
  SECTION("it accepts")
  {
    fixture.RespondToClaim(response);
    CHECK(fixture.AskedToClaim().size() == 1);
  }
  SECTION("it declines after another instance has claimed")
  {
    fixture.m_store.Announce(ClaimOf(2, kOldLeader));
    response.m_declined = true;
    fixture.RespondToClaim(response);
    CHECK(fixture.AskedToClaim().size() == 1);
  }
}

// Guards against a leader that can't tell which of its peers are stopping.
TEST_CASE("an instance that is stopping says so in its pings and declines to claim")
{
  {
    NodeFixture sound;
    sound.Start();
    CHECK_FALSE(sound.Ask(PeerOperation::Claim, "").m_declined);
  }
  NodeFixture fixture;
  fixture.m_store.Announce(ClaimOf(1, kNewLeader));
  const std::unique_ptr<HttpServer> leader = fixture.MakePeer(kNewLeader);
  fixture.Start();
  fixture.m_io.run_for(milliseconds(100));
  PeerResponse response;
  response.m_outcome = PeerOutcome::Ok;
  response.m_leader = ClaimOf(1, kNewLeader);
  fixture.RespondToPing(response);
  const std::vector<std::string>& pings =
    fixture.m_bodies[std::string(PathOf(PeerOperation::Ping))];
  PingMessage ping;
  REQUIRE(UnpackCompact(pings.back(), ping));
  CHECK_FALSE(ping.m_stopping);

  fixture.m_node->HandOver();
  CHECK(fixture.Ask(PeerOperation::Claim, "").m_declined);
  fixture.m_io.run_for(milliseconds(200)); // less than the interval between pings
  REQUIRE(UnpackCompact(pings.back(), ping));
  CHECK(ping.m_stopping);
}

// Guards against a peer of an earlier version that counts as stopping or as declining.
TEST_CASE("messages of earlier versions, without the last fields, keep their meaning")
{
  PingMessage ping;
  REQUIRE(UnpackCompact(PackShortened(PingMessage{ "peer", kNewLeader, 0.5 }, 3), ping));
  CHECK(ping.m_weight == 0.5);
  CHECK_FALSE(ping.m_stopping);
  PeerResponse response;
  REQUIRE(UnpackCompact(PackShortened(PeerResponse(), 6), response));
  CHECK(response.m_claimedEpoch == 0);
  CHECK_FALSE(response.m_declined);
}

// Guards against peers that keep following a superseded leader, because the store refused the only
// announcement of its successor.
TEST_CASE("a leader announces its claim again if the store refuses the announcement")
{
  NodeFixture fixture;
  fixture.m_store.m_failedAnnouncements = 2;
  fixture.Start();
  fixture.m_io.run_for(seconds(2));
  CHECK(fixture.m_store.Size(Topic::Leader) == 1);
}

// Guards against leaders that follow each other without end: a superseded one counted its successor
// as lost, and claimed unless that responded to a ping within a fraction of a second.
TEST_CASE("a leader that steps down for a known successor gives that the usual time to respond")
{
  NodeFixture fixture;
  fixture.StartAsLeader();
  const std::unique_ptr<HttpServer> successor = fixture.MakePeer(kNewLeader); // does not respond
  SECTION("by its announcement")
  {
    fixture.m_store.AppendClaim(Topic::Jobs, ClaimOf(2, kNewLeader));
    fixture.m_store.Announce(ClaimOf(2, kNewLeader));
  }
  SECTION("by its own call")
  {
    fixture.m_store.AppendClaim(Topic::Jobs, ClaimOf(2, kNewLeader));
    fixture.Ask(PeerOperation::Follow, PackCompact(ClaimOf(2, kNewLeader)));
  }
  fixture.m_io.run_for(milliseconds(50));
  const size_t records = fixture.m_store.Size(Topic::Jobs);
  fixture.m_io.run_for(milliseconds(1000));
  CHECK(fixture.m_store.Size(Topic::Jobs) == records); // no claim
  fixture.m_io.run_for(milliseconds(1500));
  CHECK(fixture.m_store.Size(Topic::Jobs) > records);
}
