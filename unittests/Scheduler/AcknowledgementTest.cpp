// Tests that the ends that workers report are acknowledged.
#include "ContactWorld.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an end that is never acknowledged, because no poll follows it.
TEST_CASE("an end that is reported during a batch is acknowledged once the batch is durable")
{
  ContactWorld world;
  world.RegisterWithTask("w", 5000);
  REQUIRE(world.m_running["w"].size() == 1);

  world.m_confirmationsHeld = true;
  world.Cancel(1);
  world.Advance(milliseconds(100));
  REQUIRE(world.m_heldBatch);
  world.End("w", AttemptEnd::Stopped);
  world.Advance(milliseconds(200));
  REQUIRE(world.WorkerOf("w").m_attempts.empty());

  world.m_confirmationsHeld = false;
  world.m_scheduler.OnAppended(*world.m_heldBatch, world.m_now);
  world.Advance(seconds(3));
  CHECK(world.m_acknowledged["w"] == 1);
  world.m_scheduler.DeregisterWorker("w", world.m_now);
  world.Advance(seconds(1));
  CHECK_FALSE(world.m_scheduler.Workers().Find("w"));
}

// Guards against ends that are never acknowledged on an instance that is busy or slow: an
// acknowledgement is only sent within 150 ms of a response, and each poll comes later than that.
TEST_CASE("ends are acknowledged also if the scheduler runs rarely")
{
  for (const int64_t intervalMs : { 20, 160, 300 }) {
    ContactWorld world;
    world.m_tickInterval = milliseconds(intervalMs);
    world.RegisterWorker("a");
    world.SubmitOneMinute(1, 5000);
    world.Advance(seconds(2));
    REQUIRE(world.m_running["a"].size() == 1);
    world.End("a", AttemptEnd::Done);
    world.Advance(seconds(10));
    INFO("ms between passes: " << intervalMs);
    CHECK(world.m_acknowledged["a"] == 1);
  }
}
