// Tests until when a leader may call workers after it has lost the store, its peers or time.
#include "egretturn/Node/CallAuthority.h"
#include "egretturn/Scheduler/Fleet.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration kRunInterval = milliseconds(100);

namespace {

struct Leader
{
  Leader() { m_authority.OnConfirmed(m_now); }

  /// Runs for \p aTime. Peers ping it each 500 ms if \p aPinged is set.
  void Run(Duration aTime, bool aPinged)
  {
    for (const Instant end = m_now + aTime; m_now < end; m_now += kRunInterval) {
      m_authority.OnRun(m_now);
      if (aPinged && m_now >= m_nextPingAt) {
        m_authority.OnPing(m_now);
        m_nextPingAt = m_now + milliseconds(500);
      }
    }
  }

  bool MayCall() const { return m_authority.MayCall(m_now); }

  Instant m_now{ std::chrono::hours(1) };
  Instant m_nextPingAt = m_now;
  CallAuthority m_authority;
};

} // namespace

TEST_CASE("a leader whose claim is confirmed may call workers without peers")
{
  Leader leader;
  for (int i = 0; i < 10; ++i) {
    leader.Run(milliseconds(500), false);
    CHECK(leader.MayCall());
    leader.m_authority.OnConfirmed(leader.m_now);
  }
}

TEST_CASE("a leader that peers ping may call workers while the store is down")
{
  Leader leader;
  leader.Run(seconds(30), true);
  CHECK(leader.MayCall());
}

// Guards against tasks that run twice, because an isolated leader extends leases after its
// successor has counted them as expired.
TEST_CASE("a leader without the store and peers calls no workers after the time to notice")
{
  const Duration noticeTime = LeaseLimits().m_noticeTime;
  Leader leader;
  SECTION("the store's last confirmation precedes the successor's claim")
  {
    leader.Run(noticeTime, false);
  }
  SECTION("the last ping precedes the successor's announcement")
  {
    leader.Run(seconds(10), true);
    leader.m_authority.OnPing(leader.m_now);
    leader.Run(noticeTime, false);
  }
  CHECK_FALSE(leader.MayCall());
}

// Guards against the same, by a leader that wakes up and takes old pings for new ones.
TEST_CASE("pings from before a suspension do not count after it")
{
  Leader leader;
  leader.Run(seconds(10), true);
  leader.m_now += seconds(5);
  leader.m_authority.OnPing(leader.m_now); // read before the first run
  leader.m_authority.OnRun(leader.m_now);
  leader.m_authority.OnPing(leader.m_now + milliseconds(1)); // and after it
  CHECK_FALSE(leader.MayCall());
  leader.m_authority.OnConfirmed(leader.m_now);
  CHECK(leader.MayCall());
}

TEST_CASE("a confirmation counts from when its request was sent")
{
  Leader leader;
  const Instant sentAt = leader.m_now;
  leader.Run(seconds(2), false);
  leader.m_authority.OnConfirmed(sentAt);
  CHECK_FALSE(leader.MayCall());
}

// Node::Tick() runs each 150 ms and pings at the first tick after 500 ms, so a peer's pings arrive
// a little more than 600 ms apart, which is the time that a ping counts.
TEST_CASE("a leader that a single peer pings may call workers while the store is down")
{
  Instant now{ std::chrono::hours(1) };
  CallAuthority authority;
  const Instant start = now;
  Instant nextPingAt = now + seconds(1);
  int suspended = 0;
  for (; now < start + seconds(30); now += milliseconds(10)) {
    authority.OnRun(now);
    if (now >= nextPingAt) {
      authority.OnPing(now);
      nextPingAt += milliseconds(4 * 152); // four ticks, each a little late
    }
    suspended += now >= start + seconds(2) && !authority.MayCall(now) ? 1 : 0;
  }
  CHECK(suspended == 0);
}
