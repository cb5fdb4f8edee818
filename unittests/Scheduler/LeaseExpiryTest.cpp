// Tests when a task starts elsewhere whose worker is out of contact: after the end of the lease,
// and with a confirmation of the leadership.
#include "ContactWorld.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against tasks that never start again on an instance that is busy or slow: the confirmation
// that they need was too old whenever there was time to place them.
TEST_CASE("a task whose lease has expired starts elsewhere also if the scheduler runs rarely")
{
  for (const int64_t intervalMs : { 20, 60, 300 }) {
    ContactWorld world;
    world.m_tickInterval = milliseconds(intervalMs);
    world.RegisterWorker("a");
    world.SubmitLongRunning(1, 5000);
    world.Advance(seconds(2));
    REQUIRE(world.m_running["a"].size() == 1);
    world.RegisterWorker("b");
    world.Advance(seconds(2));

    world.m_unreachable.insert("a");
    world.Advance(seconds(10));
    CHECK(world.m_running["b"].size() == 1);
  }
}

// Guards against a task that runs twice: an instance that was superseded before the lease expired
// learns nothing of it while the store does not confirm its claim.
TEST_CASE("a task whose lease has expired starts only once the leadership was confirmed after that")
{
  ContactWorld world;
  world.RegisterWithTask("a", 5000);
  world.RegisterWorker("b");
  world.Advance(seconds(2));
  REQUIRE(world.m_running["a"].size() == 1);

  world.m_confirmationsHeld = true;
  world.m_unreachable.insert("a");
  const Instant cutAt = world.m_now;
  world.Advance(seconds(10));
  REQUIRE(world.WorkerOf("a").m_attempts.empty());
  CHECK(world.m_running["b"].empty());
  SECTION("by the store, by a request from before the end of the lease")
  {
    world.m_scheduler.OnConfirmed(cutAt + seconds(5), world.m_now);
    world.Advance(seconds(1));
    CHECK(world.m_running["b"].empty());
  }
  SECTION("by a later request")
  {
    world.m_scheduler.OnConfirmed(world.m_now, world.m_now);
    world.Advance(seconds(1));
    CHECK(world.m_running["b"].size() == 1);
  }
}

// Guards against a task that waits for as long as a worker responds to polls, but to no order: each
// poll extended the lease that bounds how long an unanswered start counts.
TEST_CASE("a start that was never answered counts no longer than its own lease")
{
  ContactWorld world;
  world.RegisterWithLostStart("a");
  REQUIRE(world.WorkerOf("a").m_attempts.size() == 1);
  world.m_scheduler.DeregisterWorker("a", world.m_now); // nothing else starts there
  world.RegisterWorker("b");
  world.AdvancePastLeases();
  CHECK(world.m_running["b"].size() == 1);
}

// Guards against a task that waits for one lease after the other: once it had been given up on a
// worker that answers no orders, that worker had most room again.
TEST_CASE("a task that was lost on a worker starts on another one if there is one")
{
  ContactWorld world;
  world.RegisterWithLostStart("a");
  REQUIRE(world.WorkerOf("a").m_attempts.size() == 1);
  world.RegisterWorker("b");
  world.AdvancePastLeases();
  CHECK(world.m_running["b"].size() == 1);
}

// Guards against a task that waits for a confirmation while tasks that rank after it take each
// place that becomes free: nothing is kept for it until the store has answered.
TEST_CASE("a task that needs a confirmation gets the next place, before tasks that rank after it")
{
  ContactWorld world;
  world.RegisterWithTask("a", 4000);
  REQUIRE(world.m_running["a"].size() == 1);
  world.RegisterWorker("b");
  world.Advance(seconds(1));
  world.m_unreachable.insert("a");
  for (GraphId id = 2; id <= 60; ++id) {
    world.SubmitOneMinute(id, 4000);
  }
  world.Advance(seconds(10));
  REQUIRE(world.WorkerOf("a").m_attempts.empty());
  const auto isRunning = [&] {
    const std::vector<RunningAttempt>& running = world.m_running["b"];
    return std::any_of(running.begin(), running.end(), [](const RunningAttempt& aAttempt) {
      return aAttempt.m_task.m_job == 1;
    });
  };
  REQUIRE_FALSE(isRunning()); // there was no room
  REQUIRE(world.m_running["b"].size() == 2);

  int freed = 0;
  for (; freed < 20 && !isRunning(); ++freed) {
    world.Advance(milliseconds(140));
    world.End("b", AttemptEnd::Done);
    world.Advance(milliseconds(160));
  }
  CHECK(freed <= 2);
}

// Guards against LOST on days on which workers drain: one exits before the end of a run that it was
// told to stop is read, and short work beside it has extended the lease until the exit.
TEST_CASE("a stopped run on a worker that drains and exits counts no longer than callers bear")
{
  SchedulerLimits limits;
  limits.m_lease.m_maxDuration = seconds(10);
  const bool beside = GENERATE(false, true);
  ContactWorld world(limits);
  world.RegisterWorker("a");
  world.SubmitLongRunning(1, 5000);
  if (beside) {
    world.SubmitOneMinute(2, 1000);
  }
  world.Advance(seconds(2));
  REQUIRE(world.m_running["a"].size() == (beside ? 2 : 1));
  world.RegisterWorker("b");
  world.m_ordersLost.insert("a"); // it goes on, though told to stop
  world.RegisterWorker("a", 0, ContactWorld::kAddress, true);
  world.Advance(seconds(4));
  world.m_unreachable.insert("a");
  world.m_scheduler.DeregisterWorker("a", world.m_now);
  world.Advance(milliseconds(8500)); // of 9 s
  CHECK_FALSE(world.m_running["b"].empty());
}

TEST_CASE("a lease is as long as the platform allows unless the worker drains")
{
  LeaseLimits limits;
  limits.m_maxDuration = seconds(10);
  const Fleet fleet(limits);
  const Instant now{ std::chrono::hours(1) };
  Worker worker;
  worker.m_polled = true;
  worker.m_clockReadAt = now;
  CHECK(fleet.LeaseEnd(worker, now) == 10000);
  worker.m_report.m_draining = true;
  CHECK(fleet.LeaseEnd(worker, now) == 7300);
  worker.m_lateStarts.emplace_back(); // may be executed by a process that takes any lease
  CHECK(fleet.LeaseEnd(worker, now) == 10000);
  limits.m_maxDuration = seconds(6);
  worker.m_lateStarts.clear();
  CHECK(Fleet(limits).LeaseEnd(worker, now) == 6000);
}
