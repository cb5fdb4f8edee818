// Tests which workers are avoided after failures, for how long, and when tasks start on them all
// the same.
#include "ContactWorld.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a task that keeps waiting after its obstacle has passed with time alone.
TEST_CASE("a task starts when the avoidance of a worker ends, without any other event")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.Advance(seconds(1));
  Worker& worker = *world.m_scheduler.Workers().Find("w");
  worker.m_avoidUntil = world.m_now + seconds(1);
  world.SubmitLongRunning(1, 5000);
  world.Advance(milliseconds(900));
  REQUIRE(world.m_running["w"].empty());
  world.Advance(milliseconds(500)); // before it would start on an avoided worker
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against an avoidance that grows over the day on a worker whose tasks never end as done.
TEST_CASE("failures of long-running tasks, minutes apart, do not keep a worker out of use")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.SubmitLongRunning(1, 5000);
  for (int failures = 0; failures < 6; ++failures) {
    world.Advance(seconds(60));
    REQUIRE(world.m_running["w"].size() == 1);
    world.End("w", AttemptEnd::Failed);
    world.Advance(milliseconds(500));
    CHECK(world.m_running["w"].size() == 1);
  }
}

// Guards against further starts on a worker that fails every attempt, but takes long to fail it.
TEST_CASE("a worker that fails every attempt is avoided, however long its attempts take to fail")
{
  ContactWorld world;
  world.RegisterWorker("w");
  for (GraphId id = 1; id <= 4; ++id) {
    world.SubmitOneMinute(id, 8000); // one at a time
  }
  for (int failures = 0; failures < 3; ++failures) {
    world.Advance(seconds(30));
    REQUIRE(world.m_running["w"].size() == 1);
    world.End("w", AttemptEnd::Failed);
  }
  world.Advance(milliseconds(500));
  CHECK(world.m_running["w"].empty());
}

// Guards against a whole fleet that is avoided for seconds, since calls of one moment each counted
// as a failure of their worker: a pause of the leader's process or its link looks like that.
TEST_CASE("sound workers accept work within 3 s of a moment in which no start was answered")
{
  ContactWorld world;
  world.RegisterWorker("a");
  world.RegisterWorker("b");
  world.Advance(seconds(2));
  world.m_unreachable = { "a", "b" };
  for (GraphId id = 1; id <= 8; ++id) {
    world.SubmitOneMinute(id, 1000); // all fit on one of the workers
  }
  world.Advance(milliseconds(200));
  world.m_unreachable.clear();
  world.Advance(seconds(1)); // contact is regained
  REQUIRE(world.WorkerOf("a").m_failedPolls == 0);
  REQUIRE(world.WorkerOf("b").m_failedPolls == 0);
  world.Advance(seconds(3));
  CHECK(world.m_running["a"].size() + world.m_running["b"].size() == 8);
}

// Guards against a whole fleet that is avoided for seconds because of one job whose tasks fail.
TEST_CASE("a job starts within 3 s after tasks of another job have failed on all workers")
{
  ContactWorld world;
  world.RegisterWorker("a");
  world.RegisterWorker("b");
  for (GraphId id = 1; id <= 12; ++id) {
    world.SubmitOneMinute(id, 1000);
  }
  world.Advance(seconds(2));
  REQUIRE(world.m_running["a"].size() == 6);
  REQUIRE(world.m_running["b"].size() == 6);
  for (int i = 0; i < 6; ++i) {
    world.End("a", AttemptEnd::Failed);
    world.End("b", AttemptEnd::Failed);
  }
  for (GraphId id = 1; id <= 12; ++id) {
    world.Cancel(id);
  }
  world.SubmitOneMinute(100, 1000);
  world.SubmitLongRunning(101, 1000);
  world.Advance(seconds(1)); // the failures are known
  world.Advance(seconds(3));
  CHECK(world.m_running["a"].size() + world.m_running["b"].size() == 2);
}

// Guards against a task that waits although only avoided workers have room for it.
TEST_CASE("a task that finds no other worker for a while starts on one that is avoided")
{
  ContactWorld world;
  world.RegisterWithTask("full", 8000);
  REQUIRE(world.m_running["full"].size() == 1);
  world.RegisterWorker("avoided");
  world.Advance(seconds(1));
  world.m_scheduler.Workers().Find("avoided")->m_avoidUntil = world.m_now + seconds(8);
  world.SubmitLongRunning(2, 5000);
  world.Advance(seconds(1));
  CHECK(world.m_running["avoided"].empty());
  world.Advance(seconds(2)); // 3 s in all
  CHECK(world.m_running["avoided"].size() == 1);
}
