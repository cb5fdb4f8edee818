// Tests that tasks without a fitting worker do not block tasks that fit.
#include "RandomRequests.h"

#include "egretturn/Scheduler/Scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;

namespace {

constexpr GraphId kServing = 1;
constexpr GraphId kReserving = 100; ///< Serves as well.

/// One worker with a serving task, beside which "heavy" work must not start, "light" work may, and
/// "medium" work may as long as it uses little.
struct SharedWorker
{
  explicit SharedWorker(int64_t aTailLatencyMs = 4)
    : m_tailLatencyMs(aTailLatencyMs)
    , m_scheduler(SchedulerLimits(), 1, m_now)
  {
    StoredModels learned;
    learned.m_interference.m_pairs.push_back({ "serving", "heavy", 8.0, 0.001 });
    learned.m_interference.m_pairs.push_back({ "serving", "medium", 2.0, 0.001 });
    learned.m_interference.m_pairs.push_back({ "serving", "light", 0.1, 0.001 });
    m_scheduler.RestoreModels(learned);
    WorkerReport report;
    report.m_id = "w";
    report.m_service = "desk";
    report.m_address = "10.0.0.1:80";
    report.m_capacity = { 16000, 64000, 0 };
    m_scheduler.UpdateWorker(report, m_now);
    m_scheduler.OnDirectoryRead();
    Submit(kServing, "serving", 2000);
    Advance();
  }

  void Submit(GraphId aId, const std::string& aImage, int64_t aCpuMilli, uint32_t aTasks = 1)
  {
    Submission submission;
    submission.m_id = aId;
    submission.m_terms = { aImage == "serving" ? "services" : "batch", "desk", 0, 3, 2.0, 500 };
    GraphStep step;
    step.m_count = aTasks;
    step.m_demand = { aCpuMilli, 1000, 0 };
    step.m_estimateMs = 60000;
    step.m_image = aImage;
    step.m_longRunning = aImage == "serving";
    step.m_targetMs = step.m_longRunning ? 18 : 0;
    step.m_bestEffort = !step.m_longRunning;
    submission.m_graph.m_steps.push_back(step);
    m_scheduler.Submit(aId, submission, m_now, 0);
  }

  void AdvanceOnce()
  {
    m_now += milliseconds(10);
    for (RunningAttempt& reported : m_running) {
      reported.m_percent = static_cast<int>((m_now - m_createdAt) / kPerPercent);
    }
    m_scheduler.Tick(m_now, ToMillis(m_now.time_since_epoch()));
    for (const Action& action : m_scheduler.TakeActions()) {
      Execute(action);
    }
  }

  void Advance()
  {
    for (int i = 0; i < 30; ++i) {
      AdvanceOnce();
    }
  }

  /// Advances until a job that has not started counts as idle.
  void AdvanceUntilIdle()
  {
    for (int i = 0; i < 10; ++i) {
      Advance();
    }
  }

  /// Returns the number of tasks of the job that have been started.
  size_t CountRunning(GraphId aId) const
  {
    return static_cast<size_t>(
      std::count_if(m_running.begin(), m_running.end(), [&](const RunningAttempt& aRunning) {
        return aRunning.m_task.m_job == aId;
      }));
  }

  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      m_started.insert(start->m_task.m_job);
      const GraphId job = start->m_task.m_job;
      const bool serving = job == kServing || job == kReserving;
      m_running.push_back(
        { start->m_task, start->m_attempt, "", 10, serving ? m_tailLatencyMs : 4 });
      m_scheduler.OnStartResult(
        "w", start->m_task, start->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const ThrottleTask* throttle = std::get_if<ThrottleTask>(&aAction)) {
      m_throttles.emplace(throttle->m_task.m_job, throttle->m_percent);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      WorkerStatus status;
      status.m_clockMs = ToMillis(m_now.time_since_epoch());
      status.m_running = m_running;
      m_scheduler.OnPollResponse("w", poll->m_number, status, m_now);
    }
  }

  static constexpr Duration kPerPercent = milliseconds(200); // no attempt is a straggler

  int64_t m_tailLatencyMs = 4; ///< Of the serving task; its target is 18 ms.
  Instant m_now{ std::chrono::hours(1) };
  const Instant m_createdAt = m_now;
  Scheduler m_scheduler;
  std::vector<RunningAttempt> m_running;
  std::set<GraphId> m_started;
  std::map<GraphId, int> m_throttles; ///< First value sent, in percent.
};

} // namespace

// Guards against large jobs that keep waiting while there is capacity for them.
TEST_CASE("work of an image that fits nowhere does not block larger work of another image")
{
  SharedWorker worker;
  REQUIRE(worker.m_started.count(kServing) == 1);
  worker.Submit(2, "heavy", 1000); // ranks first, and does not fit
  worker.Submit(3, "light", 2000);
  worker.Advance();
  CHECK(worker.m_started.count(2) == 0);
  CHECK(worker.m_started.count(3) == 1);
}

// Guards against jobs that keep waiting because their tasks demand more than others of the route.
TEST_CASE("a task with more than the typical demand starts throttled where a typical one could")
{
  SharedWorker worker;
  worker.Submit(2, "light", 1000);
  worker.Advance();
  worker.Submit(3, "medium", 2000);
  worker.Advance();
  REQUIRE(worker.m_started.count(3) == 1);
  REQUIRE(worker.m_throttles.count(3) == 1);
  CHECK(worker.m_throttles[3] < 75); // more would interfere with the serving task
  CHECK(worker.m_throttles[3] >= 50);
}

TEST_CASE("a typical task does not start where it would have to be throttled")
{
  SharedWorker worker;
  worker.Submit(2, "light", 2000);
  worker.Advance();
  worker.Submit(3, "medium", 2000);
  worker.Advance();
  CHECK(worker.m_started.count(3) == 0);
}

// Guards against jobs that have nothing running because other best-effort work is running.
TEST_CASE("an idle job starts beside work it interferes with, whatever best-effort work runs there")
{
  SharedWorker worker;
  worker.Submit(2, "light", 11000); // with the serving task, more than 0.7 of the worker
  worker.Advance();
  REQUIRE(worker.m_started.count(2) == 1);
  worker.Submit(3, "heavy", 1000);
  worker.Advance();
  CHECK(worker.m_started.count(3) == 0);
  worker.AdvanceUntilIdle();
  CHECK(worker.m_started.count(3) == 1);
}

// Guards against serving tasks that an idle job presses over their targets with a whole step.
TEST_CASE("an idle job starts a single task where it interferes, and that throttled")
{
  SharedWorker worker;
  worker.Submit(2, "heavy", 2000, 4);
  worker.AdvanceUntilIdle();
  CHECK(worker.CountRunning(2) == 1);
  REQUIRE(worker.m_throttles.count(2) == 1);
  CHECK(worker.m_throttles[2] <= 50);
  CHECK(worker.m_throttles[2] >= kMinStartPercent);
}

// Guards against idle jobs that are passed over for the other tasks of an idle job that started.
TEST_CASE("idle jobs of one image start in the same pass")
{
  SharedWorker worker;
  worker.Submit(2, "heavy", 1000, 2);
  worker.Submit(3, "heavy", 1000, 2);
  for (int i = 0; i < 300 && worker.m_started.size() == 1; ++i) {
    worker.AdvanceOnce();
  }
  CHECK(worker.CountRunning(2) == 1);
  CHECK(worker.CountRunning(3) == 1);
}

// Guards against serving tasks near their targets that an idle job presses over them.
TEST_CASE("an idle job does not start beside a serving task that is near its target")
{
  SharedWorker worker(16);
  worker.Submit(2, "heavy", 1000);
  worker.AdvanceUntilIdle();
  CHECK(worker.m_started.count(2) == 0);
}

// Guards against idle jobs that press serving tasks while reserved work leaves little capacity.
TEST_CASE("an idle job does not start beside what it interferes with while much is reserved")
{
  SharedWorker worker;
  worker.Submit(kReserving, "serving", 8000);
  worker.Advance();
  REQUIRE(worker.m_started.count(kReserving) == 1);
  worker.Submit(2, "heavy", 1000);
  worker.AdvanceUntilIdle();
  CHECK(worker.m_started.count(2) == 0);
}

// Guards against each way in which a request that is not tried may differ from the one that failed.
TEST_CASE("a request that the failure of another one rules out fits nowhere")
{
  uint64_t ruledOut = 0;
  for (uint64_t seed = 0; seed < 60000; ++seed) {
    RandomRequests world(seed);
    const GraphStep failedStep = world.RandomStep();
    const GraphStep step = world.RandomStep();
    const PlacementRequest failed = world.RandomRequest(failedStep);
    const PlacementRequest request = world.RandomRequest(step);
    if (ChooseWorker(world.m_fleet, failed, world.m_now) || !RulesOut(failed, request)) {
      continue;
    }
    ++ruledOut;
    CAPTURE(seed);
    CHECK(ChooseWorker(world.m_fleet, request, world.m_now) == nullptr);
  }
  CHECK(ruledOut > 100); // otherwise the seeds cover too little
}
