// Tests the loss of contact with workers: which polls are sent, and how workers are used
// afterwards.
#include "ContactWorld.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Regression test for incident LOST: a healthy, registered worker was never used again.
TEST_CASE(
  "a worker that was unreachable for longer than its lease is polled again and accepts work")
{
  ContactWorld world;
  world.RegisterWithTask("w", 5000);
  REQUIRE(world.m_running["w"].size() == 1);

  world.m_unreachable.insert("w");
  world.Advance(seconds(9));
  REQUIRE(world.WorkerOf("w").m_attempts.empty()); // its lease has expired

  world.m_unreachable.clear();
  world.m_running["w"].clear(); // expired there
  world.Advance(seconds(2));
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against the same failure through the directory: an entry expires and returns.
TEST_CASE(
  "a worker that registers again after its entry expired while it was unreachable is polled again")
{
  ContactWorld world;
  world.RegisterWithTask("w", 5000);

  world.m_unreachable.insert("w");
  world.Advance(seconds(3));
  world.m_scheduler.DeregisterWorker("w", world.m_now);
  world.Advance(seconds(3));
  world.RegisterWorker("w");
  world.Advance(seconds(6));
  world.m_unreachable.clear();
  world.m_running["w"].clear();
  world.Advance(seconds(2));
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
}

// Guards against a flood of polls to workers behind a network partition.
TEST_CASE("hundreds of unreachable idle workers are polled at most once a second each")
{
  static constexpr size_t kWorkers = 500;
  static constexpr Duration kSpan = seconds(60);
  ContactWorld world;
  for (size_t i = 0; i < kWorkers; ++i) {
    const WorkerName name = "w" + std::to_string(i);
    world.RegisterWorker(name);
    world.m_unreachable.insert(name);
  }
  world.Advance(seconds(10));
  const size_t before = world.m_polls;
  world.Advance(kSpan);
  CHECK(world.m_polls - before <= kWorkers * static_cast<size_t>(kSpan / seconds(1)));
  world.m_unreachable.clear();
  world.Advance(seconds(3));
  for (const std::unique_ptr<Worker>& worker : world.m_scheduler.Workers().All()) {
    REQUIRE(AcceptsWork(*worker, world.m_now));
  }
}

// Guards against a clock that is always estimated too low, so that each start is rejected as too
// late.
TEST_CASE("a worker that was idle for minutes accepts work")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.Advance(std::chrono::minutes(7)); // a clock that may be 2% slow is 8 s behind by then
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(2));
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against repeated entries that cancel the delay between polls.
TEST_CASE("the heartbeats of an unreachable worker cause no polls")
{
  static constexpr int kSeconds = 30;
  ContactWorld world;
  world.m_unreachable.insert("w");
  for (int i = 0; i < 10 * kSeconds; ++i) {
    world.RegisterWorker("w", 1000);
    world.Advance(milliseconds(100));
  }
  CHECK(world.m_polls <= kSeconds);
}

// Guards against a start that is late or expires immediately, because the clock reading is too old.
TEST_CASE("a worker that was idle for minutes receives its first task with most of a lease")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.Advance(std::chrono::minutes(6));
  CHECK(world.m_polls <= 8); // few polls, because the worker is idle
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  REQUIRE(world.m_running["w"].size() == 1);
  CHECK(world.m_lastLease >= seconds(4));
}
