#include "egretturn/Node/LeaderElection.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const Instant kStart{ std::chrono::hours(1) };

static LeaderElection
MakeElection(double aWeight)
{
  LeaderElection election({ "instance-1", aWeight }, kStart);
  election.OnStoreRead(milliseconds(2), kStart);
  return election;
}

static StoredClaim
ClaimOf(uint64_t aEpoch, double aWeight)
{
  return { aEpoch, "instance-2", "10.0.0.2:7000", 1, aWeight };
}

TEST_CASE("an instance does not claim before it has read the store")
{
  const LeaderElection election({ "instance-1", 0.1 }, kStart);
  CHECK_FALSE(election.ShouldClaim(kStart + seconds(10)));
}

TEST_CASE("a leader is replaced after it stops responding to pings, and not before")
{
  LeaderElection election = MakeElection(0.1);
  election.OnClaim(ClaimOf(4, 0.1), kStart);
  CHECK_FALSE(election.ShouldClaim(kStart + seconds(1)));
  election.OnPing(true, 0.1, kStart + seconds(1));
  const Duration timeout = LeaderElectionSettings().m_leaderTimeout;
  CHECK_FALSE(election.ShouldClaim(kStart + seconds(1) + timeout - milliseconds(1)));
  static constexpr Duration kMaxDelay =
    milliseconds(600); // for equal weights and a short round trip to the store
  CHECK(election.ShouldClaim(kStart + seconds(1) + timeout + kMaxDelay));
}

TEST_CASE("a leader that lost the store is replaced although it responds to pings")
{
  LeaderElection election = MakeElection(0.1);
  election.OnClaim(ClaimOf(4, 0.1), kStart);
  for (int i = 1; i <= 8; ++i) {
    election.OnPing(false, 0.1, kStart + i * milliseconds(250));
  }
  CHECK(election.ShouldClaim(kStart + seconds(2)));
}

TEST_CASE("an instance with a low weight waits for one with a high weight to claim")
{
  LeaderElection weak = MakeElection(0.07);
  LeaderElection strong = MakeElection(0.5);
  for (LeaderElection* election : { &weak, &strong }) {
    election->OnClaim(ClaimOf(4, 0.5), kStart);
    election->OnLeaderLost(kStart);
  }
  CHECK(strong.ShouldClaim(kStart + milliseconds(300)));
  CHECK_FALSE(weak.ShouldClaim(kStart + milliseconds(800)));
  CHECK(weak.ShouldClaim(kStart + seconds(2)));
}

TEST_CASE("a claim defers once to a leader that is still writing")
{
  LeaderElection election = MakeElection(0.1);
  election.OnClaim(ClaimOf(4, 0.1), kStart);
  CHECK(election.DefersToWritingLeader());
  election.OnLeaderWriting(kStart + seconds(3));
  CHECK_FALSE(election.ShouldClaim(kStart + seconds(3)));
  CHECK_FALSE(election.DefersToWritingLeader());
  CHECK(election.ShouldClaim(kStart + seconds(5)));
}

TEST_CASE("an older claim does not replace a newer one")
{
  LeaderElection election = MakeElection(0.1);
  election.OnClaim(ClaimOf(4, 0.1), kStart);
  election.OnClaim(ClaimOf(3, 0.1), kStart);
  CHECK(election.Leader()->m_epoch == 4);
}
