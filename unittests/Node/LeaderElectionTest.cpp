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
  election.OnPing({ true, 0.1 }, kStart + seconds(1));
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
    election.OnPing({ false, 0.1 }, kStart + i * milliseconds(250));
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

// Guards against ten instances that claim within 20 ms, each of which reads all jobs first.
TEST_CASE("peers claim one after the other, in the order that the leader named")
{
  std::vector<LeaderElection> elections;
  for (uint32_t rank = 0; rank < 4; ++rank) {
    LeaderElection election({ "instance-" + std::to_string(rank), 0.5 }, kStart);
    election.OnStoreRead(milliseconds(2), kStart);
    election.OnClaim(ClaimOf(4, 0.5), kStart);
    election.OnPing({ true, 0.5, rank }, kStart);
    elections.push_back(election);
  }
  const Instant lostAt = kStart + LeaderElectionSettings().m_leaderTimeout;
  for (int i = 0; i < 4; ++i) {
    const Instant now = lostAt + milliseconds(300 * i);
    for (int rank = 0; rank < 4; ++rank) {
      CHECK(elections[static_cast<size_t>(rank)].ShouldClaim(now) == (rank <= i));
    }
  }
}

// Guards against a storm of claims while the store is down or rejects them.
TEST_CASE("failed claims are repeated more and more rarely, but not by the first in line")
{
  LeaderElection first = MakeElection(0.5);
  LeaderElection other = MakeElection(0.5);
  first.OnClaim(ClaimOf(4, 0.5), kStart);
  other.OnClaim(ClaimOf(4, 0.5), kStart);
  first.OnPing({ true, 0.5, 0 }, kStart);
  other.OnPing({ true, 0.5, 5 }, kStart);
  std::vector<int> claims(2);
  for (Duration time = seconds(2); time < seconds(32); time += milliseconds(10)) {
    int* count = claims.data();
    for (LeaderElection* election : { &first, &other }) {
      if (election->ShouldClaim(kStart + time)) {
        ++*count;
        election->OnClaimFailed(kStart + time);
      }
      ++count;
    }
  }
  CHECK(claims[0] >= 90);
  CHECK(claims[1] <= 8);
}
