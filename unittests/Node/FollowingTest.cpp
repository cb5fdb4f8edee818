// Tests how a leader learns whom its peers follow, without the store: as a leader that has lost it,
// and as a new leader that has to know that earlier ones stop.
#include "NodeFixture.h"

using namespace egretturn;
using namespace egretturn::nodetest;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the claim of a leader with the witnesses "a" and "b", of which the latter is at
/// \p aAddress.
static StoredClaim
ClaimWithWitnesses(const char* aAddress)
{
  StoredClaim claim = ClaimOf(1, "127.0.0.1:1");
  claim.m_witnesses = { { "a", "127.0.0.1:1" }, { "b", aAddress } };
  return claim;
}

/// Returns the response of an instance that follows \p aLeader.
static PeerResponse
FollowerOf(const StoredClaim& aLeader)
{
  PeerResponse response;
  response.m_outcome = PeerOutcome::NotLeader;
  response.m_leader = aLeader;
  return response;
}

/// Returns the last claim in the topic of jobs.
static StoredClaim
LastClaim(MemoryStore& aStore)
{
  StoredClaim last;
  aStore.ReadNewest(Topic::Jobs, [&](const Expected<TopicPage>& aPage) {
    REQUIRE(aPage);
    for (const KeyedRecord& record : aPage->m_records) {
      if (record.m_key == kClaimKey) {
        REQUIRE(UnpackCompact(record.m_value, last));
      }
    }
  });
  return last;
}

TEST_CASE("an instance follows a newer leader that asks it to, and names a newer one to others")
{
  NodeFixture fixture;
  fixture.Start();
  fixture.Ask(PeerOperation::Follow, PackCompact(ClaimOf(5, kNewLeader)));
  const PeerResponse older =
    fixture.Ask(PeerOperation::Follow, PackCompact(ClaimOf(4, kOldLeader)));
  CHECK(older.m_leader.m_epoch == 5);
  CHECK(older.m_leader.m_address == kNewLeader);
}

// Guards against a superseded leader that goes on until a worker refuses its calls.
TEST_CASE("a leader stops when a newer leader asks it to follow")
{
  NodeFixture fixture;
  fixture.StartAsLeader();
  const PeerResponse response =
    fixture.Ask(PeerOperation::Follow, PackCompact(ClaimOf(7, kNewLeader)));
  CHECK(response.m_leader.m_epoch == 7);
  const PeerResponse ping =
    fixture.Ask(PeerOperation::Ping, PackCompact(PingMessage{ "peer", kNewLeader, 0.1 }));
  CHECK(ping.m_outcome == PeerOutcome::NotLeader);
}

// Guards against a successor that does not know who may keep the leader going without the store.
TEST_CASE("a leader writes its witnesses with its claim, one in each zone if there are many")
{
  NodeFixture fixture;
  fixture.StartAsLeader();
  const char* zones[] = { "z0", "z0", "z1", "z1", "z2", "z2" };
  for (size_t i = 0; i < std::size(zones); ++i) {
    PingMessage ping{ "peer" + std::to_string(i), kNewLeader, 0.1 };
    ping.m_zone = zones[i];
    fixture.Ask(PeerOperation::Ping, PackCompact(ping));
  }
  fixture.m_io.run_for(milliseconds(500));
  const StoredClaim claim = LastClaim(fixture.m_store);
  REQUIRE(claim.m_witnesses.size() == 3);
  CHECK(claim.m_witnesses[0].m_instance.substr(0, 5) < "peer2");
  CHECK(claim.m_witnesses[2].m_instance >= "peer4");
}

// Guards against two leaders that act on either side of a cut: the new one counted on the end of
// the old one although no instance that the old one depends on had heard of it.
TEST_CASE("a new leader asks the witnesses of earlier leaders until one follows it")
{
  NodeFixture fixture;
  fixture.m_store.AppendClaim(Topic::Jobs, ClaimWithWitnesses(kOldLeader));
  fixture.m_store.Announce(ClaimOf(1, "127.0.0.1:1"));
  const std::unique_ptr<HttpServer> witness = fixture.MakePeer(kOldLeader);
  fixture.Start();
  for (int i = 0; i < 60 && fixture.HeldRequests(PeerOperation::Follow).empty(); ++i) {
    fixture.m_io.run_for(milliseconds(100));
  }
  REQUIRE(!fixture.HeldRequests(PeerOperation::Follow).empty());
  const StoredClaim claim = LastClaim(fixture.m_store);
  REQUIRE(claim.m_instance == "instance");
  REQUIRE(claim.m_earlierLeaders.size() == 1);
  CHECK(claim.m_earlierLeaders[0].m_contacts.size() == 3); // with the leader itself

  fixture.Respond(PeerOperation::Follow, FollowerOf(ClaimOf(1, "127.0.0.1:1")));
  fixture.m_io.run_for(seconds(1));
  CHECK(fixture.HeldRequests(PeerOperation::Follow).size() >= 2); // asked again

  StoredClaim own = claim;
  own.m_earlierLeaders.clear();
  fixture.Respond(PeerOperation::Follow, FollowerOf(own));
  fixture.m_io.run_for(milliseconds(300));
  const size_t asked = fixture.m_bodies[std::string(PathOf(PeerOperation::Follow))].size();
  fixture.m_io.run_for(seconds(1));
  CHECK(fixture.m_bodies[std::string(PathOf(PeerOperation::Follow))].size() == asked);
}

TEST_CASE("a new leader stops if an instance that it asks follows a newer one")
{
  NodeFixture fixture;
  fixture.m_store.AppendClaim(Topic::Jobs, ClaimWithWitnesses(kOldLeader));
  fixture.m_store.Announce(ClaimOf(1, "127.0.0.1:1"));
  const std::unique_ptr<HttpServer> witness = fixture.MakePeer(kOldLeader);
  fixture.Start();
  for (int i = 0; i < 60 && fixture.HeldRequests(PeerOperation::Follow).empty(); ++i) {
    fixture.m_io.run_for(milliseconds(100));
  }
  REQUIRE(!fixture.HeldRequests(PeerOperation::Follow).empty());
  fixture.Respond(PeerOperation::Follow, FollowerOf(ClaimOf(900, kNewLeader)));
  const PeerResponse ping =
    fixture.Ask(PeerOperation::Ping, PackCompact(PingMessage{ "peer", kNewLeader, 0.1 }));
  CHECK(ping.m_outcome == PeerOutcome::NotLeader);
  CHECK(ping.m_leader.m_epoch == 900);
}

// A witness of the leader before stops following that by its own claim.
TEST_CASE("a new leader that was a witness itself asks nobody")
{
  NodeFixture fixture;
  StoredClaim previous = ClaimWithWitnesses(kOldLeader);
  previous.m_witnesses.push_back({ "instance", kNodeAddress });
  fixture.m_store.AppendClaim(Topic::Jobs, previous);
  fixture.m_store.Announce(ClaimOf(1, "127.0.0.1:1"));
  const std::unique_ptr<HttpServer> witness = fixture.MakePeer(kOldLeader);
  fixture.Start();
  for (int i = 0; i < 60 && LastClaim(fixture.m_store).m_instance != "instance"; ++i) {
    fixture.m_io.run_for(milliseconds(100));
  }
  fixture.m_io.run_for(milliseconds(500));
  CHECK(fixture.HeldRequests(PeerOperation::Follow).empty());
}

// Guards against the end of an earlier leader being forgotten over a short epoch in between.
TEST_CASE("a claim names the earlier leaders that the one before it had to reckon with")
{
  NodeFixture fixture;
  StoredClaim previous = ClaimOf(4, "127.0.0.1:1");
  previous.m_witnesses = { { "w", "127.0.0.1:1" } };
  previous.m_earlierLeaders = {
    { "leader-3", { { "a", "127.0.0.1:1" } } },
    { "leader-4", { { "b", "127.0.0.1:1" } } }, // the same instance, in an epoch that is over
  };
  fixture.m_store.AppendClaim(Topic::Jobs, previous);
  fixture.m_store.Announce(ClaimOf(4, "127.0.0.1:1"));
  fixture.Start();
  for (int i = 0; i < 60 && LastClaim(fixture.m_store).m_instance != "instance"; ++i) {
    fixture.m_io.run_for(milliseconds(100));
  }
  const std::vector<EarlierLeader> earlier = LastClaim(fixture.m_store).m_earlierLeaders;
  REQUIRE(earlier.size() == 2);
  CHECK(earlier[0].m_instance == "leader-4");
  CHECK(earlier[0].m_contacts.front().m_instance == "w");
  CHECK(earlier[1].m_instance == "leader-3");
}
