// Tests workers that hold more ends than they list in one response, as they do while the store is
// unavailable and no end can be acknowledged.
#include "RandomFaults.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr size_t kListedEnds = 10;
static constexpr uint32_t kTasks = 600;
static constexpr uint64_t kSeeds = 10;

/// Returns a job with many small tasks, which a worker ends faster than it can list them.
static Submission
ManySmallTasks()
{
  Submission submission;
  submission.m_id = 7;
  submission.m_terms = { "route", "desk", 0, 100, 2.0, 500 };
  GraphStep step;
  step.m_count = kTasks;
  step.m_demand = { 250, 100, 0 };
  step.m_estimateMs = 1000;
  submission.m_graph.m_steps.push_back(step);
  return submission;
}

/// Lets the job run while the store is unavailable, until workers hold more ends than they list.
static void
FillLists(SchedulerWorld& aWorld)
{
  for (const std::unique_ptr<FakeWorker>& worker : aWorld.m_workers) {
    worker->m_maxListedEnds = kListedEnds;
  }
  aWorld.ElectLeader(false);
  aWorld.Advance(seconds(1));
  aWorld.Submit(ManySmallTasks());
  aWorld.Advance(milliseconds(200));
  aWorld.m_faults.m_storeDown = true;
  aWorld.Advance(seconds(4));
}

// Guards against tasks that run again after they are done: an end that does not fit the list was
// taken for a lost attempt.
TEST_CASE("a task is not started again while a worker may still have to list its end")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SchedulerWorld world(seed, 8);
    FillLists(world);
    world.m_faults.m_storeDown = false;
    world.Settle();
    CHECK(world.StateOf(7) == JobState::Done);
    CheckViolations(world, seed);
  }
}

// Guards against the same failure after a change of leader: a worker counted as known after one
// response, whatever that left out.
TEST_CASE("a new leader starts no task that a worker may have ended without listing it")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SchedulerWorld world(seed, 8);
    FillLists(world);
    world.RemoveLeaders();
    world.ElectLeader(false); // the store confirms nothing for it either
    world.Advance(seconds(2));
    world.m_faults.m_storeDown = false;
    world.Settle();
    CHECK(world.StateOf(7) == JobState::Done);
    CheckViolations(world, seed);
  }
}

// Guards against ends that pile up without limit on a worker while none can be acknowledged.
TEST_CASE("a worker whose list of ends is full gets no more tasks until its ends are listed")
{
  SchedulerWorld world(1, 8);
  FillLists(world);
  world.Advance(seconds(3));
  const size_t starts = world.CountStarts();
  world.Advance(seconds(20));
  CHECK(world.CountStarts() == starts);
  CHECK(starts < kTasks);
  world.m_faults.m_storeDown = false;
  world.Advance(seconds(1));
  CHECK(world.CountStarts() > starts);
  world.Settle();
  CHECK(world.StateOf(7) == JobState::Done);
  CheckViolations(world, 1);
}

// Guards against workers that accept no work on a busy instance: each response was too old to
// acknowledge its ends by the time the scheduler ran, so the lists stayed full.
TEST_CASE("full lists of ends are emptied also if the scheduler runs rarely")
{
  for (const int64_t intervalMs : { 60, 200, 400 }) {
    SchedulerWorld world(1, 4);
    FillLists(world);
    world.m_faults.m_storeDown = false;
    world.KeepBusy(milliseconds(intervalMs), seconds(300));
    world.Advance(seconds(299));
    CAPTURE(intervalMs);
    CHECK(world.StateOf(7) == JobState::Done);
    CheckViolations(world, 1);
  }
}
