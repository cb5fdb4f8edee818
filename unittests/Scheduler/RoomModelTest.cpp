// Tests the model of the room that the tasks arriving at a service can use.
#include "RandomRequests.h"

#include "egretturn/Scheduler/RoomModel.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;

static const Instant kNow{ std::chrono::hours(1) };
static const std::string kService = "desk";
static const std::string kShortRoute = "checks";
static const std::string kLongRunningRoute = "watches";

static Worker&
AddWorker(Fleet& aFleet, const std::string& aName, int64_t aCpu, int64_t aUsed)
{
  WorkerReport report;
  report.m_id = aName;
  report.m_service = kService;
  report.m_capacity = { aCpu, 256000, 0 };
  aFleet.Update(report, kNow);
  Worker& worker = *aFleet.Find(aName);
  worker.m_polled = true;
  worker.m_record = RecordState::Durable;
  if (aUsed > 0) {
    AttemptState attempt;
    attempt.m_demand = { aUsed, 1000, 0 };
    attempt.m_longRunning = true;
    aFleet.AddAttempt(worker, { 7, 0, 0, 0 }, attempt);
  }
  return worker;
}

static GraphStep
MakeStep(int64_t aCpu, uint32_t aCount, bool aLongRunning)
{
  GraphStep step;
  step.m_count = aCount;
  step.m_demand = { aCpu, 1000, 0 };
  step.m_estimateMs = 640;
  step.m_longRunning = aLongRunning;
  return step;
}

static void
Learn(RoomModel& aModel, const GraphStep& aStep, Instant aNow, bool aArrived = true)
{
  JobTerms terms;
  terms.m_service = kService;
  terms.m_route = aStep.m_longRunning ? kLongRunningRoute : kShortRoute;
  Graph graph;
  graph.m_steps = { aStep };
  aModel.Learn(terms, graph, aArrived, aNow);
}

TEST_CASE("free room in pieces too small for a short task is splintered, not usable")
{
  Fleet fleet{ LeaseLimits() };
  for (int i = 0; i < 10; ++i) {
    AddWorker(fleet, "small" + std::to_string(i), 64000, 59000);
  }
  AddWorker(fleet, "large", 64000, 39000);
  RoomModel model;
  Learn(model, MakeStep(8000, 10, false), kNow);
  model.Update(fleet, kNow);
  const Room room = model.RoomOf(kService);
  CHECK(room.m_free == 75000);
  CHECK(room.m_usable == Approx(24000).margin(500)); // three tasks on one worker
  CHECK(room.m_splintered == Approx(51000).margin(500));
  CHECK(model.CountFitting(kService, kShortRoute) == 3);
  CHECK(model.CountFitting(kService, kLongRunningRoute) == 0);
}

TEST_CASE("long-running and best-effort tasks are no short work")
{
  Fleet fleet{ LeaseLimits() };
  AddWorker(fleet, "w1", 64000, 0);
  RoomModel model;
  GraphStep step = MakeStep(8000, 10, false);
  step.m_bestEffort = true;
  Learn(model, step, kNow);
  Learn(model, MakeStep(13000, 14, true), kNow);
  model.Update(fleet, kNow);
  CHECK(model.LoadOf(kService, kNow) == 0);
  CHECK(model.CountFitting(kService, kShortRoute) == 0);
  CHECK_FALSE(model.RoomOf(kService).m_scarce);
}

// After a seventh of the workers was lost and their long-running tasks came back on the others, no
// short job started any more. The measurement has to say so.
TEST_CASE("room is scarce once the workers that are left hold pieces only")
{
  Fleet fleet{ LeaseLimits() };
  AddWorker(fleet, "lost", 160000, 0);
  for (int i = 0; i < 6; ++i) {
    AddWorker(fleet, "left" + std::to_string(i), 16000, 15000);
  }
  RoomModel model;
  Learn(model, MakeStep(2000, 10, false), kNow);
  model.Update(fleet, kNow);
  CHECK_FALSE(model.RoomOf(kService).m_scarce);
  fleet.Deregister("lost");
  model.Update(fleet, kNow + std::chrono::seconds(1));
  const Room room = model.RoomOf(kService);
  CHECK(room.m_scarce);
  CHECK(room.m_free == 6000);
  CHECK(room.m_usable == Approx(0).margin(300));
  CHECK(model.CountFitting(kService, kShortRoute) == 0);
}

TEST_CASE("the load of a route follows the rate at which its jobs arrive")
{
  RoomModel model;
  Instant now = kNow;
  for (int i = 0; i < 300; ++i) { // 10 tasks of 8 cores and 0.64 s, ten times a second
    Learn(model, MakeStep(8000, 10, false), now);
    now += std::chrono::milliseconds(100);
  }
  CHECK(model.LoadOf(kService, now) == Approx(512000).epsilon(0.05));
  now += std::chrono::seconds(40);
  CHECK(model.LoadOf(kService, now) < 51200);
}

// A new leader restores the jobs of the one before: it knows their shapes, but they don't arrive.
TEST_CASE("restored jobs teach shapes and do not count as arrivals")
{
  Fleet fleet{ LeaseLimits() };
  AddWorker(fleet, "w1", 64000, 40000);
  RoomModel model;
  Learn(model, MakeStep(8000, 10, false), kNow, false);
  model.Update(fleet, kNow);
  CHECK(model.LoadOf(kService, kNow) == 0);
  CHECK(model.CountFitting(kService, kShortRoute) == 3);
  CHECK_FALSE(model.RoomOf(kService).m_scarce); // until jobs arrive
}

// A worker that accepts nothing offers no room, whatever is free on it.
TEST_CASE("the room of workers that accept no work does not count")
{
  Fleet fleet{ LeaseLimits() };
  AddWorker(fleet, "w1", 64000, 40000);
  Worker& cutOff = AddWorker(fleet, "w2", 64000, 40000);
  cutOff.m_failedPolls = 1;
  RoomModel model;
  Learn(model, MakeStep(8000, 10, false), kNow);
  model.Update(fleet, kNow);
  CHECK(model.RoomOf(kService).m_free == 24000);
  cutOff.m_failedPolls = 0;
  model.Update(fleet, kNow + std::chrono::seconds(1));
  CHECK(model.RoomOf(kService).m_free == 48000);
}

TEST_CASE("no piece is more usable than it is large")
{
  const PieceTable table({ { 7700, 1 }, { 3000, 2 } }, 96000);
  for (int64_t free = -500; free <= 120000; free += 130) {
    CAPTURE(free);
    CHECK(table.UsableOf(free) <= static_cast<double>(std::max<int64_t>(0, free)));
  }
  CHECK(table.UsableOf(2800) == 0);
  CHECK(table.UsableOf(95000) > 85000);
}
