#include "egretturn/Node/LeaderElection.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const Instant kStart{ std::chrono::hours(1) };

static LeaderElection
Make(double aWeight)
{
  LeaderElection succession({ "instance-1", aWeight }, kStart);
  succession.OnStoreRead(milliseconds(2), kStart);
  return succession;
}

static StoredClaim
ClaimOf(uint64_t aEpoch, double aWeight)
{
  return { aEpoch, "instance-2", "10.0.0.2:7000", 1, aWeight };
}

TEST_CASE("nobody claims before the store was read")
{
  const LeaderElection succession({ "instance-1", 0.1 }, kStart);
  CHECK_FALSE(succession.ShouldClaim(kStart + seconds(10)));
}

TEST_CASE("a silent leader is succeeded, one that answers is not")
{
  LeaderElection succession = Make(0.1);
  succession.OnClaim(ClaimOf(4, 0.1), kStart);
  CHECK_FALSE(succession.ShouldClaim(kStart + seconds(1)));
  succession.OnPing(true, 0.1, kStart + seconds(1));
  const Duration silence = LeaderElectionSettings().m_silence;
  CHECK_FALSE(succession.ShouldClaim(kStart + seconds(1) + silence - milliseconds(1)));
  static constexpr Duration kLongestDelay = milliseconds(600); // equal weights, a near store
  CHECK(succession.ShouldClaim(kStart + seconds(1) + silence + kLongestDelay));
}

TEST_CASE("a leader that lost the store is succeeded although it answers")
{
  LeaderElection succession = Make(0.1);
  succession.OnClaim(ClaimOf(4, 0.1), kStart);
  for (int i = 1; i <= 8; ++i) {
    succession.OnPing(false, 0.1, kStart + i * milliseconds(250));
  }
  CHECK(succession.ShouldClaim(kStart + seconds(2)));
}

TEST_CASE("a weak instance leaves a strong one the time to claim")
{
  LeaderElection weak = Make(0.07);
  LeaderElection strong = Make(0.5);
  for (LeaderElection* succession : { &weak, &strong }) {
    succession->OnClaim(ClaimOf(4, 0.5), kStart);
    succession->OnLeaderGone(kStart);
  }
  CHECK(strong.ShouldClaim(kStart + milliseconds(300)));
  CHECK_FALSE(weak.ShouldClaim(kStart + milliseconds(800)));
  CHECK(weak.ShouldClaim(kStart + seconds(2)));
}

TEST_CASE("a claim gives way once to a leader that goes on writing")
{
  LeaderElection succession = Make(0.1);
  succession.OnClaim(ClaimOf(4, 0.1), kStart);
  CHECK(succession.GivesWay());
  succession.OnLeaderWrites(kStart + seconds(3));
  CHECK_FALSE(succession.ShouldClaim(kStart + seconds(3)));
  CHECK_FALSE(succession.GivesWay());
  CHECK(succession.ShouldClaim(kStart + seconds(5)));
}

TEST_CASE("an older claim does not replace a newer one")
{
  LeaderElection succession = Make(0.1);
  succession.OnClaim(ClaimOf(4, 0.1), kStart);
  succession.OnClaim(ClaimOf(3, 0.1), kStart);
  CHECK(succession.Leader()->m_epoch == 4);
}
