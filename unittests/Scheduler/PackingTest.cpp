// Tests the choice of a worker under the loads that it is designed for.
#include "RandomRequests.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;

static const Instant kNow{ std::chrono::hours(1) };
static const std::string kService = "desk";

static Worker&
AddWorker(Fleet& aFleet, const std::string& aName, int64_t aCpu = 16000)
{
  WorkerReport report;
  report.m_id = aName;
  report.m_service = kService;
  report.m_rack = "r" + aName.substr(1);
  report.m_labels = { "a", report.m_rack };
  report.m_capacity = { aCpu, 64000, 0 };
  aFleet.Update(report, kNow);
  Worker& worker = *aFleet.Find(aName);
  worker.m_polled = true;
  worker.m_record = RecordState::Durable;
  return worker;
}

static void
AddAttempt(Fleet& aFleet,
           Worker& aWorker,
           uint16_t aIndex,
           ImageId aImage,
           int64_t aCpu,
           bool aBestEffort)
{
  AttemptState attempt;
  attempt.m_attempt = 1;
  attempt.m_demand = { aCpu, 1000, 0 };
  attempt.m_image = aImage;
  attempt.m_bestEffort = aBestEffort;
  attempt.m_longRunning = !aBestEffort;
  attempt.m_targetMs = aBestEffort ? 0 : 18;
  aFleet.AddAttempt(aWorker, { 7, 0, 0, aIndex }, attempt);
}

static PlacementRequest
RequestFor(const GraphStep& aStep, const ImageInterferenceModel& aModel, ImageId aImage)
{
  PlacementRequest request;
  request.m_step = &aStep;
  request.m_service = &kService;
  request.m_interference = &aModel;
  request.m_image = aImage;
  return request;
}

TEST_CASE("an attempt that is being stopped still counts against capacity")
{
  Fleet fleet{ LeaseLimits() };
  Worker& worker = AddWorker(fleet, "w1");
  AddAttempt(fleet, worker, 0, 0, 15000, false);
  worker.m_attempts.begin()->second.m_phase = AttemptPhase::Stopping;
  GraphStep step;
  step.m_demand = { 2000, 100, 0 };
  const ImageInterferenceModel model;
  CHECK(ChooseWorker(fleet, RequestFor(step, model, 9), kNow) == nullptr);
  fleet.RemoveAttempt(worker, { 7, 0, 0, 0 });
  CHECK(ChooseWorker(fleet, RequestFor(step, model, 9), kNow) == &worker);
}

TEST_CASE("serving tasks of one image share a worker, so that fewer images interfere")
{
  Fleet fleet{ LeaseLimits() };
  AddAttempt(fleet, AddWorker(fleet, "w1"), 0, 1, 3000, false);
  Worker& own = AddWorker(fleet, "w2");
  AddAttempt(fleet, own, 1, 2, 3000, false);
  AddWorker(fleet, "w3");
  GraphStep step;
  step.m_demand = { 3000, 1000, 0 };
  step.m_longRunning = true;
  step.m_targetMs = 18;
  const ImageInterferenceModel model;
  CHECK(ChooseWorker(fleet, RequestFor(step, model, 2), kNow) == &own);
}

TEST_CASE("work that interferes with a serving image is placed on a worker without serving tasks")
{
  Fleet fleet{ LeaseLimits() };
  ImageInterferenceModel model;
  const ImageId serving = model.Intern("serving");
  const ImageId heavy = model.Intern("heavy");
  for (int i = 0; i < 50; ++i) {
    model.Learn(serving, 0.5, { { heavy, 0.1 } });
  }
  AddAttempt(fleet, AddWorker(fleet, "w1", 32000), 0, serving, 3000, false);
  Worker& empty = AddWorker(fleet, "w2", 8000);
  GraphStep step;
  step.m_demand = { 3000, 1000, 0 };
  step.m_bestEffort = true;
  CHECK(ChooseWorker(fleet, RequestFor(step, model, heavy), kNow) == &empty);
}

TEST_CASE("labels, limits per worker and draining are respected")
{
  Fleet fleet{ LeaseLimits() };
  Worker& worker = AddWorker(fleet, "w1");
  GraphStep step;
  step.m_demand = { 100, 100, 0 };
  step.m_maxPerWorker = 1;
  const ImageInterferenceModel model;
  PlacementRequest request = RequestFor(step, model, 0);
  std::vector<const Worker*> siblings = { &worker };
  request.m_siblings = &siblings;
  CHECK(ChooseWorker(fleet, request, kNow) == nullptr);
  siblings.clear();
  CHECK(ChooseWorker(fleet, request, kNow) == &worker);
  step.m_label = "b";
  CHECK(ChooseWorker(fleet, request, kNow) == nullptr);
  step.m_label = "a";
  worker.m_report.m_draining = true;
  CHECK(ChooseWorker(fleet, request, kNow) == nullptr);
}

TEST_CASE("workers are counted by the obstacle that keeps a task from them")
{
  Fleet fleet{ LeaseLimits() };
  ImageInterferenceModel model;
  const ImageId serving = model.Intern("serving");
  model.Restore({ { { "serving", "heavy", 8.0, 0.01 } } });
  const ImageId heavy = model.Intern("heavy");
  AddWorker(fleet, "free");
  AddAttempt(fleet, AddWorker(fleet, "beside"), 0, serving, 3000, false);
  AddAttempt(fleet, AddWorker(fleet, "full"), 0, heavy, 15000, true);
  Worker& nearTarget = AddWorker(fleet, "pressed");
  AddAttempt(fleet, nearTarget, 0, serving, 3000, false);
  nearTarget.m_nearTarget = true;
  AddWorker(fleet, "leaving").m_report.m_draining = true;
  GraphStep step;
  step.m_demand = { 3000, 1000, 0 };
  step.m_bestEffort = true;
  const ObstacleCounts counts = CountObstacles(fleet, RequestFor(step, model, heavy), kNow);
  for (Obstacle obstacle : { Obstacle::None,
                             Obstacle::Interference,
                             Obstacle::Processors,
                             Obstacle::NearTarget,
                             Obstacle::Draining }) {
    CAPTURE(NameOf(obstacle));
    CHECK(counts[static_cast<size_t>(obstacle)] == 1);
  }
}

TEST_CASE("the obstacle that keeps all new work from a worker is reported")
{
  Fleet fleet{ LeaseLimits() };
  Worker& worker = AddWorker(fleet, "w1");
  CHECK(FindUnavailability(worker, kNow) == Obstacle::None);
  worker.m_slowUntil = kNow + std::chrono::seconds(1);
  CHECK(FindUnavailability(worker, kNow) == Obstacle::Slow);
  worker.m_avoidUntil = kNow + std::chrono::seconds(1);
  CHECK(FindUnavailability(worker, kNow) == Obstacle::Avoided);
  worker.m_record = RecordState::InBatch;
  CHECK(FindUnavailability(worker, kNow) == Obstacle::Unrecorded);
  worker.m_failedPolls = 1;
  CHECK(FindUnavailability(worker, kNow) == Obstacle::Unreachable);
  worker.m_polled = false;
  CHECK(FindUnavailability(worker, kNow) == Obstacle::NotPolled);
  worker.m_report.m_draining = true;
  CHECK(FindUnavailability(worker, kNow) == Obstacle::Draining);
  worker.m_registered = false;
  CHECK(FindUnavailability(worker, kNow) == Obstacle::NotRegistered);
}

// Guards against placements that depend on the order in which steps of one image are tried.
TEST_CASE(
  "if a task does not fit because of its interference, a larger one of its image does not fit")
{
  Fleet fleet{ LeaseLimits() };
  ImageInterferenceModel model;
  const ImageId serving = model.Intern("serving");
  model.Restore({ { { "serving", "filling", 1.0, 0.01 } } });
  const ImageId bestEffort = model.Intern("filling");
  Worker& worker = AddWorker(fleet, "w1");
  AddAttempt(fleet, worker, 0, serving, 3000, false);
  AddAttempt(fleet, worker, 1, bestEffort, 1400, true);
  GraphStep small;
  small.m_demand = { 500, 1000, 0 };
  small.m_bestEffort = true;
  GraphStep large = small;
  large.m_demand.m_cpuMilli = 1000;
  PlacementRequest request = RequestFor(small, model, bestEffort);
  request.m_typicalCpu = 500;
  REQUIRE(FindObstacle(worker, request) == Obstacle::Interference);
  request.m_step = &large;
  CHECK(FindObstacle(worker, request) == Obstacle::Interference);
}

// Guards against tasks on a worker that has come back as another kind: the leader knew from its
// response that the process is new, and went by the labels of the one before (ROUTE).
TEST_CASE("a worker's labels do not count until its entry is of the process that responds")
{
  Fleet fleet{ LeaseLimits() };
  Worker& worker = AddWorker(fleet, "w1");
  const ImageInterferenceModel model;
  GraphStep step;
  step.m_demand = { 1000, 1000, 0 };
  step.m_label = "a";
  const PlacementRequest labelled = RequestFor(step, model, 0);
  worker.m_report.m_incarnation = 1000;
  worker.m_incarnation = 1000;
  CHECK(FindObstacle(worker, labelled) == Obstacle::None);
  worker.m_incarnation = 2000; // it has restarted
  CHECK(FindObstacle(worker, labelled) == Obstacle::LabelMismatch);
  worker.m_report.m_incarnation = 2000;
  CHECK(FindObstacle(worker, labelled) == Obstacle::None);

  // An entry by another writer, far ahead, takes no worker out of use, nor does one without a time.
  worker.m_report.m_incarnation = int64_t{ 1 } << 60;
  CHECK(FindObstacle(worker, labelled) == Obstacle::None);
  worker.m_report.m_incarnation = 0;
  CHECK(FindObstacle(worker, labelled) == Obstacle::None);
}
