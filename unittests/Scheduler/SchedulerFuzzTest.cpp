// Injects random faults into the scheduler; an oracle checks the result. A seed reproduces a
// sequence.
#include "RandomFaults.h"

#include "egretturn/Support/Log.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr uint64_t kSeeds = 60;

// Guards against a task that runs twice: a superseded leader goes on calling workers that only it
// can reach while two epochs begin one after the other.
TEST_CASE("no task runs twice when a short epoch follows an unnoticed one")
{
  for (uint64_t seed = 1; seed <= 400; ++seed) {
    SchedulerWorld world(seed, 8);
    world.ElectLeader(false);
    for (int i = 0; i < 40; ++i) {
      world.SubmitRandom();
      world.Advance(milliseconds(100));
    }
    world.Advance(seconds(2));
    world.SupersedeUnnoticed(milliseconds(kMaxNoticeMs));
    world.Advance(milliseconds(50 + world.m_random.Below(200)));
    world.ElectLeader(true);
    world.Advance(seconds(12));
    CheckViolations(world, seed);
  }
}

// Guards against a leader that takes its recovery for complete, since the leases on workers that it
// can't reach have expired, while its successor reaches them and knows what they have done.
TEST_CASE("no task runs twice when leases expire for a superseded leader")
{
  for (uint64_t seed : ListSeeds(400)) {
    SchedulerWorld world(seed, 8);
    world.ElectLeader(false);
    for (int i = 0; i < 40; ++i) {
      world.SubmitRandom();
      world.Advance(milliseconds(100));
    }
    if (world.m_random.Below(2) == 0) { // the next epoch recovers, or this one loses its workers
      world.ElectLeader(false);
    }
    world.CutWorkersFromLeader(seconds(12));
    world.Advance(milliseconds(5800 + world.m_random.Below(2000)));
    world.SupersedeUnnoticed(milliseconds(kMaxNoticeMs));
    world.Advance(seconds(12));
    CheckViolations(world, seed);
  }
  StopLogging();
}

// Guards against tasks that run again, or jobs that stand still, since a leader has written or read
// only a part of the progress.
TEST_CASE("the scheduler keeps its guarantees while progress takes several records")
{
  static constexpr size_t kMaxRecordBytes = 320; // of a job's own record: fewer
  uint64_t parts = 0;
  for (uint64_t seed : ListSeeds(kSeeds)) {
    SchedulerWorld world(seed, 8);
    world.LimitRecords(kMaxRecordBytes);
    PlayRandomSteps(world);
    CheckViolations(world, seed);
    parts += world.CountParts();
  }
  StopLogging();
  CHECK(parts > 0);
}

TEST_CASE("the scheduler keeps its guarantees under random faults")
{
  for (uint64_t seed : ListSeeds(kSeeds)) {
    SchedulerWorld world(seed, 8);
    PlayRandomSteps(world);
    CheckViolations(world, seed);
  }
  StopLogging();
}
