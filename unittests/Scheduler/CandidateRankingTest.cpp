// Tests that the ranking of workers for a step of many tasks chooses as if each task were placed by
// judging all workers again.
#include "RandomRequests.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;

static constexpr uint16_t kStepTasks = 12;

/// Returns the best worker but \p aExcluded by judging each one, or nullptr if the task fits
/// nowhere.
static Worker*
JudgeAllBut(Fleet& aFleet, const PlacementRequest& aRequest, const Worker* aExcluded)
{
  Worker* best = nullptr;
  for (const std::unique_ptr<Worker>& worker : aFleet.All()) {
    const bool fits = FindObstacle(*worker, aRequest) == Obstacle::None;
    if (fits && worker.get() != aExcluded &&
        (!best || ScoreOf(*worker, aRequest) > ScoreOf(*best, aRequest))) {
      best = worker.get();
    }
  }
  return best;
}

/// Returns the worker for one task that should avoid \p aAvoided.
static Worker*
JudgeAll(Fleet& aFleet, const PlacementRequest& aRequest, const Worker* aAvoided)
{
  Worker* other = JudgeAllBut(aFleet, aRequest, aAvoided);
  return other ? other : JudgeAllBut(aFleet, aRequest, nullptr);
}

static void
AddTask(Fleet& aFleet, Worker& aWorker, const PlacementRequest& aRequest, uint16_t aIndex)
{
  AttemptState attempt;
  attempt.m_demand = aRequest.m_step->m_demand;
  attempt.m_bestEffort = aRequest.m_step->m_bestEffort;
  attempt.m_image = aRequest.m_image;
  aFleet.AddAttempt(aWorker, { 8, 0, 0, aIndex }, attempt);
}

// Guards against a wide step that is spread worse than its tasks would be one by one.
TEST_CASE("a wide step is placed as its tasks would be one by one")
{
  uint64_t placed = 0;
  uint64_t avoided = 0;
  for (uint64_t seed = 0; seed < 4000; ++seed) {
    RandomRequests world(seed);
    const GraphStep step = world.RandomStep();
    std::vector<const Worker*> siblings;
    PlacementRequest request = world.RandomRequest(step);
    request.m_siblings = &siblings;
    CandidateRanking ranking(ListAvailableWorkers(world.m_fleet, world.m_now), request);
    for (uint16_t i = 0; i < kStepTasks; ++i) {
      const Worker* avoidedWorker =
        world.m_random.Below(4) == 0 ? JudgeAll(world.m_fleet, request, nullptr) : nullptr;
      Worker* expected = JudgeAll(world.m_fleet, request, avoidedWorker);
      Worker* worker = ranking.TakeBest(avoidedWorker);
      CAPTURE(seed, i);
      REQUIRE(worker == expected);
      if (!worker) {
        break;
      }
      ++placed;
      avoided += avoidedWorker && worker != avoidedWorker ? 1 : 0;
      AddTask(world.m_fleet, *worker, request, i);
      siblings.push_back(worker);
      ranking.Return(*worker);
    }
  }
  CHECK(placed > 4000); // otherwise the seeds cover too little
  CHECK(avoided > 100);
}

TEST_CASE("a worker to be avoided is chosen only if no other one fits")
{
  Fleet fleet{ LeaseLimits() };
  const std::string service = "desk";
  std::vector<Worker*> workers;
  for (const char* name : { "best", "other" }) {
    WorkerReport report;
    report.m_id = name;
    report.m_service = service;
    report.m_capacity = { workers.empty() ? 32000 : 4000, 4000, 0 };
    fleet.Update(report, Instant());
    workers.push_back(fleet.Find(name));
  }
  GraphStep step;
  step.m_demand = { 100, 100, 0 };
  PlacementRequest request;
  request.m_step = &step;
  request.m_service = &service;
  CHECK(CandidateRanking(workers, request).TakeBest(nullptr) == workers[0]);
  CHECK(CandidateRanking(workers, request).TakeBest(workers[0]) == workers[1]);
  CHECK(CandidateRanking({ workers[0] }, request).TakeBest(workers[0]) == workers[0]);
}
