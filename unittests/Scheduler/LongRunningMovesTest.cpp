// Tests that long-running tasks leave a worker that has turned slow, within what their steps may
// miss.
#include "egretturn/Scheduler/LongRunningMoves.h"

#include "SingleScheduler.h"

#include <catch2/catch.hpp>
#include <set>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a worker is slow if all of its serving tasks are beyond what their load explains")
{
  CHECK(IsServingSlow({ { 1.4, 0.5 }, { 2.0, 0.6 } }));
  CHECK_FALSE(IsServingSlow({ { 1.4, 0.5 }, { 0.6, 0.6 } })); // one task has a cause of its own
  CHECK_FALSE(IsServingSlow({ { 1.4, 1.2 } }));               // the load explains it
  CHECK_FALSE(IsServingSlow({}));
}

TEST_CASE("the limit of a step is kept by its moves")
{
  GraphStep step;
  CHECK(MayInterruptTask(step, 0));
  CHECK_FALSE(MayInterruptTask(step, 1));
  step.m_hasMaxUnavailable = true;
  CHECK_FALSE(MayInterruptTask(step, 0));
  step.m_maxUnavailable = 2;
  CHECK(MayInterruptTask(step, 1));
  CHECK_FALSE(MayInterruptTask(step, 2));
}

namespace {

/// A serving job on workers of which one may be slow. Starts and stops are executed at once.
class ServingFleet
{
public:
  static constexpr size_t kTasks = 4;
  static constexpr int64_t kTailMs = 6;

  explicit ServingFleet(uint32_t aMaxUnavailable, size_t aWorkers = kTasks + 2)
    : m_scheduler(SchedulerLimits(), 1, m_now)
  {
    for (size_t i = 0; i < aWorkers; ++i) {
      m_scheduler.UpdateWorker(MakeReport("w" + std::to_string(i), { 5000, 64000, 0 }), m_now);
    }
    m_scheduler.OnDirectoryRead();
    GraphStep step;
    step.m_demand = { 3000, 1000, 0 };
    step.m_count = kTasks;
    step.m_estimateMs = 60000;
    step.m_image = "serving";
    step.m_longRunning = true;
    step.m_targetMs = 18;
    step.m_hasMaxUnavailable = true;
    step.m_maxUnavailable = aMaxUnavailable;
    m_scheduler.Submit(1, MakeSubmission(kJob, step), m_now, 0);
    Run(seconds(8)); // beyond the first seconds of the epoch
    REQUIRE(m_workerOf.size() == kTasks);
  }

  void Run(Duration aTime)
  {
    RunScheduler(m_scheduler, m_now, aTime, [&](const Action& aAction) { Execute(aAction); });
  }

  /// Makes the worker of the first task slow, and returns it.
  WorkerName SlowDown()
  {
    m_slow = m_workerOf.begin()->second;
    return m_slow;
  }

  /// Returns the number of tasks on \p aWorker.
  size_t CountTasks(const WorkerName& aWorker) const
  {
    return static_cast<size_t>(
      std::count_if(m_workerOf.begin(), m_workerOf.end(), [&](const auto& aTask) {
        return aTask.second == aWorker;
      }));
  }

  size_t RunningTasks() const { return m_workerOf.size(); }
  int Stops() const { return m_stops; }

  /// Lets starts go unanswered from now on: no successor gets to work.
  void LoseStarts() { m_startsLost = true; }

private:
  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      if (!m_startsLost) {
        m_workerOf[start->m_task] = start->m_worker;
        m_attempts[start->m_task] = start->m_attempt;
        m_scheduler.OnStartResult(
          start->m_worker, start->m_task, start->m_attempt, WorkerCallResult::Accepted, m_now);
      }
    } else if (const StopTask* stop = std::get_if<StopTask>(&aAction)) {
      ++m_stops;
      m_workerOf.erase(stop->m_task);
      m_ended[stop->m_worker].push_back(
        { ++m_endNumber, stop->m_task, stop->m_attempt, AttemptEnd::Stopped, "" });
      m_scheduler.OnStopResult(
        stop->m_worker, stop->m_task, stop->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      Answer(*poll);
    }
  }

  void Answer(const PollWorker& aPoll)
  {
    WorkerStatus status;
    status.m_clockMs = ToMillis(m_now.time_since_epoch());
    status.m_ended = m_ended[aPoll.m_worker];
    for (const std::pair<const TaskRef, WorkerName>& task : m_workerOf) {
      if (task.second == aPoll.m_worker) {
        const int64_t tail = task.second == m_slow ? 6 * kTailMs : kTailMs;
        status.m_running.push_back({ task.first, m_attempts[task.first], "", 100, tail });
      }
    }
    m_scheduler.OnPollResponse(aPoll.m_worker, aPoll.m_number, status, m_now);
  }

  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler;
  std::unordered_map<TaskRef, WorkerName, TaskRefHash> m_workerOf;
  std::unordered_map<TaskRef, AttemptNumber, TaskRefHash> m_attempts;
  std::unordered_map<WorkerName, std::vector<EndedAttempt>> m_ended;
  uint64_t m_endNumber = 0;
  WorkerName m_slow;
  int m_stops = 0;
  bool m_startsLost = false;
};

} // namespace

// Load: a worker serves several times slower for many seconds, and others have room.
TEST_CASE("a serving task leaves a slow worker and is at work elsewhere")
{
  ServingFleet fleet(1);
  const WorkerName slow = fleet.SlowDown();
  fleet.Run(seconds(6));
  CHECK(fleet.CountTasks(slow) == 0);
  CHECK(fleet.RunningTasks() == ServingFleet::kTasks);
}

TEST_CASE("a worker that is slow for less than a move takes keeps its tasks")
{
  ServingFleet fleet(1);
  fleet.SlowDown();
  fleet.Run(milliseconds(1500));
  CHECK(fleet.Stops() == 0);
}

TEST_CASE("no task of a step that may miss none leaves a slow worker")
{
  ServingFleet fleet(0);
  fleet.SlowDown();
  fleet.Run(seconds(10));
  CHECK(fleet.Stops() == 0);
}

TEST_CASE("a serving task stays on a slow worker while no other one has room")
{
  ServingFleet fleet(1, ServingFleet::kTasks);
  fleet.SlowDown();
  fleet.Run(seconds(10));
  CHECK(fleet.Stops() == 0);
}

// Failure: the target of a move dies halfway, so that the task is not at work again.
TEST_CASE("no further task of a step moves until the one that has moved is at work again")
{
  ServingFleet fleet(1);
  fleet.LoseStarts();
  fleet.SlowDown();
  fleet.Run(seconds(5));
  CHECK(fleet.Stops() == 1);
  fleet.SlowDown(); // another worker
  fleet.Run(seconds(4));
  CHECK(fleet.RunningTasks() == ServingFleet::kTasks - 1);
}
