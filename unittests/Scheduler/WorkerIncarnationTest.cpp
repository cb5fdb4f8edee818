// Tests workers that restart, and entries that name another incarnation or another address.
#include "ContactWorld.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an entry by another writer that keeps a live worker out of use permanently.
TEST_CASE(
  "an entry with an incarnation far in the future does not invalidate the worker's own responses")
{
  static constexpr int64_t kFarAhead = int64_t{ 1 } << 60;
  ContactWorld world;
  world.m_incarnations["w"] = 1000;
  world.RegisterWorker("w", kFarAhead);
  world.Advance(seconds(2));
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
  CHECK(world.m_polls == 2); // the second response confirms the first
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  CHECK(world.m_running["w"].size() == 1);

  world.RegisterWorker("w", 1000); // its own entry returns
  CHECK(world.WorkerOf("w").m_report.m_incarnation == 1000);
}

// Guards against a worker that no poll brings back, because its wall clock was set back before its
// restart.
TEST_CASE("a worker that restarts with an earlier wall clock is used again")
{
  ContactWorld world;
  world.RegisterWithTask("w", 5000, 5000); // of incarnation 5000
  REQUIRE(world.m_running["w"].size() == 1);

  world.Restart("w", 3000);
  world.m_scheduler.DeregisterWorker("w", world.m_now);
  world.RegisterWorker("w", 3000);
  world.Advance(seconds(9));
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against the same failure after a restart, which resets the worker's clock.
TEST_CASE("an idle worker that restarts with a different clock accepts work")
{
  ContactWorld world;
  world.m_incarnations["w"] = 1000;
  world.RegisterWorker("w", 1000);
  world.Advance(seconds(1));
  world.Restart("w", 2000);
  world.m_clockLeadsMs["w"] = 60000;
  SECTION("without an entry of the new incarnation") {}
  SECTION("immediately, because of its entry")
  {
    world.RegisterWorker("w", 2000);
    world.Advance(milliseconds(100));
    CHECK(world.m_polls == 3); // the first response of the new process decides nothing
    CHECK(world.WorkerOf("w").m_incarnation == 2000);
  }
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(2));
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against a worker whose entries are ignored because no poll asks for its incarnation.
TEST_CASE("an idle worker that drained and restarts with an earlier wall clock accepts work")
{
  ContactWorld world;
  world.m_incarnations["w"] = 5000;
  world.RegisterWorker("w", 5000, ContactWorld::kAddress, true);
  world.Advance(seconds(1));
  world.Restart("w", 3000);
  for (int i = 0; i < 5; ++i) {
    world.RegisterWorker("w", 3000);
    world.Advance(seconds(1));
  }
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
}

// Guards against polls that permanently go to an address that the worker has left.
TEST_CASE("a worker that restarts at another address with an earlier wall clock accepts work")
{
  ContactWorld world;
  world.RegisterWithTask("w", 5000, 5000); // of incarnation 5000
  world.Restart("w", 3000);
  world.m_address = "10.0.0.2:80";
  for (int i = 0; i < 10; ++i) {
    world.RegisterWorker("w", 3000, world.m_address);
    world.Advance(seconds(1));
  }
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against tasks that wait for the lease of a worker that is known to be gone.
TEST_CASE("tasks of a worker whose address another process has start elsewhere immediately")
{
  ContactWorld world;
  world.RegisterWithTask("w", 5000);
  REQUIRE(world.m_running["w"].size() == 1);

  world.m_replaced.insert("w");
  world.RegisterWorker("successor");
  world.Advance(seconds(1));
  CHECK(world.m_running["successor"].size() == 1);
}

// Guards against a task that runs twice, because a wrong entry names the address of another
// process.
TEST_CASE("a worker is not taken as gone because its entry names the address of another process")
{
  ContactWorld world;
  world.RegisterWithTask("w", 5000);
  REQUIRE(world.m_running["w"].size() == 1);

  world.RegisterWorker("w", 1, "10.0.0.2:80");
  world.m_replaced.insert("w");
  world.RegisterWorker("other");
  world.Advance(seconds(4)); // less than a lease
  CHECK(world.m_running["other"].empty());
}
