// Injects random faults into the scheduler; an oracle checks the result. A seed reproduces a
// sequence.
#include "SchedulerWorld.h"

#include "egretturn/Support/Log.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr uint64_t kSeeds = 60;
static constexpr int kSteps = 120;
static constexpr uint64_t kMaxNoticeMs = 1000; // until a superseded leader calls no workers

static void
InjectWorkerFault(SchedulerWorld& aWorld)
{
  FakeWorker& worker = *aWorld.m_workers[aWorld.m_random.Below(aWorld.m_workers.size())];
  const Duration span = milliseconds(500 + aWorld.m_random.Below(9000));
  switch (aWorld.m_random.Below(5)) {
    case 0:
      worker.Restart(aWorld.Now());
      break;
    case 1:
      worker.m_unreachableUntil = aWorld.Now() + span;
      break;
    case 2:
      worker.m_deregisteredUntil = aWorld.Now() + span;
      break;
    case 3:
      aWorld.ListGoneWorker(span);
      break;
    default:
      worker.m_failsAll = !worker.m_failsAll && aWorld.m_random.Below(3) == 0;
  }
}

static void
InjectSystemFault(SchedulerWorld& aWorld)
{
  switch (aWorld.m_random.Below(7)) {
    case 0:
      aWorld.ElectLeader(true);
      break;
    case 1:
      aWorld.ElectLeader(false);
      break;
    case 2:
      aWorld.RemoveLeaders();
      aWorld.Advance(milliseconds(aWorld.m_random.Below(8000)));
      aWorld.ElectLeader(false);
      break;
    case 3:
      aWorld.SupersedeUnnoticed(milliseconds(aWorld.m_random.Below(kMaxNoticeMs)));
      if (aWorld.m_random.Below(2) == 0) { // the successor's epoch is short
        aWorld.Advance(milliseconds(aWorld.m_random.Below(kMaxNoticeMs)));
        aWorld.ElectLeader(true);
      }
      break;
    case 4:
      aWorld.m_faults.m_storeDown = !aWorld.m_faults.m_storeDown;
      break;
    case 5:
      aWorld.m_faults.m_lateCallProbability = aWorld.m_random.Below(2) == 0 ? 0.0 : 0.06;
      break;
    default:
      aWorld.m_faults.m_lostResponseProbability = aWorld.m_random.Below(2) == 0 ? 0.0 : 0.3;
  }
}

static void
RunSeed(uint64_t aSeed)
{
  SchedulerWorld world(aSeed, 8);
  std::vector<GraphId> jobs;
  world.ElectLeader(false);
  world.Advance(seconds(1));
  for (int step = 0; step < kSteps; ++step) {
    const uint64_t draw = world.m_random.Below(20);
    if (draw < 9) {
      jobs.push_back(world.SubmitRandom());
    } else if (draw == 9 && !jobs.empty()) {
      world.Cancel(jobs[world.m_random.Below(jobs.size())]);
    } else if (draw == 10) {
      InjectWorkerFault(world);
    } else if (draw == 11) {
      InjectSystemFault(world);
    }
    world.Advance(milliseconds(world.m_random.Below(600)));
  }
  for (const std::pair<const GraphId, JobHistory>& historyEntry : world.m_oracle.m_jobs) {
    const GraphId id = historyEntry.first;
    const JobHistory& history = historyEntry.second;
    if (history.m_submission.m_graph.m_steps[0].m_longRunning) {
      world.Cancel(id);
    }
  }
  world.Settle();
  world.CheckWorkersAvailable();
  world.CheckJobs();
  world.CheckRestarts();
  INFO("seed " << aSeed);
  for (const std::string& violation : world.m_oracle.m_violations) {
    UNSCOPED_INFO(violation);
  }
  CHECK(world.m_oracle.m_violations.empty());
}

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
    INFO("seed " << seed);
    for (const std::string& violation : world.m_oracle.m_violations) {
      UNSCOPED_INFO(violation);
    }
    CHECK(world.m_oracle.m_violations.empty());
  }
}

TEST_CASE("the scheduler keeps its guarantees under random faults")
{
  // EGRETTURN_FUZZ_SEED=N sets the first seed.
  const char* first = std::getenv("EGRETTURN_FUZZ_SEED");
  const uint64_t kCount = std::getenv("EGRETTURN_FUZZ_COUNT")
                            ? std::strtoull(std::getenv("EGRETTURN_FUZZ_COUNT"), nullptr, 10)
                            : kSeeds;
  const uint64_t from = first ? std::strtoull(first, nullptr, 10) : 1;
  if (std::getenv("EGRETTURN_FUZZ_LOG")) {
    StartLogging(LogLevel::Info, "fuzz");
  }
  for (uint64_t seed = from; seed < from + kCount; ++seed) {
    RunSeed(seed);
  }
  StopLogging();
}
