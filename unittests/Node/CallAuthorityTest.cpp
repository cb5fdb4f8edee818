// Tests until when a leader may call workers after it has lost the store, its peers or time.
#include "egretturn/Node/CallAuthority.h"
#include "egretturn/Scheduler/Fleet.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration kStep = milliseconds(50);

namespace {

struct Leader
{
  Leader()
  {
    m_authority.OnConfirmed(m_now);
    m_authority.SetWitnesses({ "a", "b", "c" });
  }

  /// Runs for \p aTime. The witnesses in \p aFollowing respond each 300 ms to what was sent 40 ms
  /// before.
  void Run(Duration aTime, const std::vector<std::string>& aFollowing)
  {
    for (const Instant end = m_now + aTime; m_now < end; m_now += kStep) {
      if (m_now < m_nextResponsesAt) {
        continue;
      }
      m_nextResponsesAt = m_now + milliseconds(300);
      for (const std::string& witness : aFollowing) {
        m_authority.OnFollowed(witness, m_now - milliseconds(40));
      }
    }
  }

  bool MayCall() const { return m_authority.MayCall(m_now); }

  Instant m_now{ std::chrono::hours(1) };
  Instant m_nextResponsesAt = m_now;
  CallAuthority m_authority;
};

} // namespace

TEST_CASE("a leader whose claim is confirmed may call workers without peers")
{
  Leader leader;
  for (int i = 0; i < 10; ++i) {
    leader.Run(milliseconds(500), {});
    CHECK(leader.MayCall());
    leader.m_authority.OnConfirmed(leader.m_now);
  }
}

TEST_CASE("a leader that all of its witnesses follow may call workers while the store is down")
{
  Leader leader;
  for (int i = 0; i < 300; ++i) {
    leader.Run(milliseconds(100), { "a", "b", "c" });
    CHECK(leader.MayCall());
  }
}

// Guards against two leaders that act on either side of a cut (review/1, TWICE on real processes):
// any one peer was enough for the leader on the side without the store to go on.
TEST_CASE("a leader that one of its witnesses does not follow calls no workers without the store")
{
  Leader leader;
  leader.Run(seconds(10), { "a", "b", "c" });
  REQUIRE(leader.MayCall());
  leader.Run(LeaseLimits().m_noticeTime, { "a", "b" });
  for (int i = 0; i < 100; ++i) {
    leader.Run(milliseconds(100), { "a", "b", "d" });
    CHECK_FALSE(leader.MayCall());
  }
  CHECK(leader.m_authority.ListSilentWitnesses(leader.m_now) == std::vector<std::string>{ "c" });
}

// Guards against a leader without any witness, which no successor could wait for.
TEST_CASE("a leader without witnesses calls no workers without the store")
{
  Leader leader;
  leader.m_authority.SetWitnesses({});
  leader.Run(LeaseLimits().m_noticeTime, { "a", "b", "c" });
  CHECK_FALSE(leader.MayCall());
}

// Guards against tasks that run twice, because an isolated leader extends leases after its
// successor has counted them as expired.
TEST_CASE("a leader without the store and witnesses calls no workers after the time to notice")
{
  Leader leader;
  SECTION("the store's last confirmation precedes the successor's claim")
  {
    leader.Run(LeaseLimits().m_noticeTime, {});
  }
  SECTION("the last responses precede the successor's claim")
  {
    leader.Run(seconds(10), { "a", "b", "c" });
    leader.Run(LeaseLimits().m_noticeTime, {});
  }
  CHECK_FALSE(leader.MayCall());
}

// Guards against the same, by a leader that wakes up, or by a connection that was held up: old
// responses are taken for new ones.
TEST_CASE("a response counts from when its request was sent")
{
  Leader leader;
  leader.Run(seconds(10), { "a", "b", "c" });
  const Instant sentAt = leader.m_now;
  leader.m_now += seconds(5);
  for (const char* witness : { "a", "b", "c" }) {
    leader.m_authority.OnFollowed(witness, sentAt);
  }
  CHECK_FALSE(leader.MayCall());
  leader.m_authority.OnConfirmed(leader.m_now);
  CHECK(leader.MayCall());
}

TEST_CASE("a confirmation counts from when its request was sent")
{
  Leader leader;
  const Instant sentAt = leader.m_now;
  leader.Run(seconds(2), {});
  leader.m_authority.OnConfirmed(sentAt);
  CHECK_FALSE(leader.MayCall());
}
