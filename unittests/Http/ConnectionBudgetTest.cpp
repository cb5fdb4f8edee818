// Tests which connections are closed, without a network, and how a process's limits are divided.
#include "egretturn/Http/ConnectionBudget.h"
#include "egretturn/Http/ServerLimits.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Instant kStart{ seconds(100) };

TEST_CASE("nothing is closed within the limits")
{
  ConnectionBudget budget(1000, 2);
  const ConnectionBudget::Id first = budget.Open(kStart);
  budget.SetHeld(first, 1000);
  CHECK_FALSE(budget.FindToFreeBytes(kStart));
  CHECK_FALSE(budget.IsFull());
  budget.Open(kStart);
  CHECK(budget.IsFull());
}

TEST_CASE("bytes are freed where much is held for long")
{
  ConnectionBudget budget(1000, 10);
  const ConnectionBudget::Id slow = budget.Open(kStart);
  const ConnectionBudget::Id fresh = budget.Open(kStart + seconds(5));
  budget.SetHeld(slow, 500);
  budget.SetHeld(fresh, 800);
  CHECK(budget.FindToFreeBytes(kStart + seconds(5) + milliseconds(10)) == slow);
  budget.Close(slow);
  budget.Close(slow); // has no effect
  CHECK(budget.HeldBytes() == 800);
  CHECK_FALSE(budget.FindToFreeBytes(kStart + seconds(6)));
}

TEST_CASE("a request with the handler is not closed, and a response only after unfinished requests")
{
  ConnectionBudget budget(1000, 3);
  const ConnectionBudget::Id serving = budget.Open(kStart);
  const ConnectionBudget::Id sending = budget.Open(kStart);
  const ConnectionBudget::Id receiving = budget.Open(kStart + seconds(9));
  budget.SetState(serving, ConnectionState::Serving, kStart);
  budget.SetState(sending, ConnectionState::Sending, kStart);
  budget.SetHeld(serving, 900);
  budget.SetHeld(sending, 900);
  budget.SetHeld(receiving, 10);
  CHECK(budget.FindToFreeBytes(kStart + seconds(9)) == receiving);
  budget.Close(receiving);
  CHECK(budget.FindToFreeBytes(kStart + seconds(9)) == sending);
  budget.Close(sending);
  budget.SetHeld(serving, 2000);
  CHECK_FALSE(budget.FindToFreeBytes(kStart + seconds(9)));
  CHECK_FALSE(budget.FindToFreeConnection(kStart + seconds(9)));
}

TEST_CASE(
  "a new connection replaces an unfinished request, else an idle one, else a stalled reader")
{
  ConnectionBudget budget(1000, 4);
  const ConnectionBudget::Id sending = budget.Open(kStart);
  const ConnectionBudget::Id idle = budget.Open(kStart);
  const ConnectionBudget::Id older = budget.Open(kStart + seconds(1));
  const ConnectionBudget::Id newer = budget.Open(kStart + seconds(2));
  budget.SetState(sending, ConnectionState::Sending, kStart);
  budget.SetState(idle, ConnectionState::Idle, kStart);
  for (const ConnectionBudget::Id expected : { older, newer, idle }) {
    CHECK(budget.FindToFreeConnection(kStart + seconds(3)) == expected);
    budget.Close(expected);
  }
  CHECK_FALSE(budget.FindToFreeConnection(kStart + seconds(1)));
  CHECK(budget.FindToFreeConnection(kStart + seconds(3)) == sending);
}

TEST_CASE("the servers of a process leave memory and descriptors to its state and its calls")
{
  static constexpr uint64_t kMemory = 160ULL * 1024 * 1024;
  static constexpr uint64_t kDescriptors = 4100;
  const ServerLimits limits = DivideLimits(kMemory, kDescriptors);
  CHECK(limits.m_callers.m_heldBytes + limits.m_peers.m_heldBytes +
          limits.m_readiness.m_heldBytes <=
        kMemory / 3);
  CHECK(limits.m_callers.m_connections + limits.m_peers.m_connections +
          limits.m_readiness.m_connections <=
        (kDescriptors - 200) * 3 / 4);
  CHECK(limits.m_callers.m_heldBytes > 2 * limits.m_callers.m_bodyBytes);
  CHECK(DivideLimits(kMemory, 1).m_callers.m_connections == 1);
}
