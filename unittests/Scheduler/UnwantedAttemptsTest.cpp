// Tests tasks that a worker runs, or has ended, although this leader has not started them there.
#include "SingleScheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <unordered_map>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A job that is submitted again after its old state was removed. Worker "busy" still runs its
/// first task; the leader has told it to stop, which takes long.
class ResubmissionWorld
{
public:
  ResubmissionWorld(const GraphStep& aStep, int64_t aBusyCpu, int64_t aFreeCpu)
    : m_scheduler(SchedulerLimits(), 2, m_now)
  {
    AddWorker("busy", aBusyCpu);
    AddWorker("free", aFreeCpu);
    m_scheduler.OnDirectoryRead();
    Advance(seconds(1));
    m_scheduler.Submit(1, MakeSubmission(kJob, aStep), m_now, WallMs());
  }

  void Advance(Duration aTime)
  {
    for (const Instant end = m_now + aTime; m_now < end; m_now += milliseconds(20)) {
      m_scheduler.Tick(m_now, WallMs());
      const size_t before = m_started.size();
      for (const Action& action : m_scheduler.TakeActions()) {
        Execute(action);
      }
      m_mostStartsInOneTick = std::max(m_mostStartsInOneTick, m_started.size() - before);
    }
  }

  static constexpr Duration kStopTime = seconds(5);

  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler;
  std::optional<Instant> m_stopsAt; ///< When the attempt on "busy" ends.
  std::unordered_map<TaskRef, WorkerName, TaskRefHash> m_started;
  size_t m_mostStartsInOneTick = 0;
  bool m_startedTwice = false; ///< The first task was started while "busy" ran it.

private:
  void AddWorker(const WorkerName& aName, int64_t aCpuMilli)
  {
    const WorkerReport report = MakeReport(aName, { aCpuMilli, 64000, 0 });
    m_scheduler.RestoreWorker(report, m_now);
    m_scheduler.UpdateWorker(report, m_now);
  }

  bool IsStopped() const { return m_stopsAt && m_now >= *m_stopsAt; }

  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (const StopTask* stop = std::get_if<StopTask>(&aAction)) {
      m_stopsAt = m_stopsAt.value_or(m_now + kStopTime);
      m_scheduler.OnStopResult(
        stop->m_worker, stop->m_task, stop->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      m_startedTwice = m_startedTwice || (start->m_task == kFirstTask && !IsStopped());
      m_started[start->m_task] = start->m_worker;
      m_attempts[start->m_task] = start->m_attempt;
      m_scheduler.OnStartResult(
        start->m_worker, start->m_task, start->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      m_scheduler.OnPollResponse(poll->m_worker, poll->m_number, StatusOf(poll->m_worker), m_now);
    }
  }

  WorkerStatus StatusOf(const WorkerName& aName)
  {
    WorkerStatus status;
    status.m_clockMs = WallMs();
    if (aName == "busy" && IsStopped()) {
      status.m_ended.push_back({ 1, kFirstTask, 1, AttemptEnd::Stopped, "" });
    } else if (aName == "busy") {
      status.m_running.push_back({ kFirstTask, 1, "", 10, 0 });
    }
    for (const std::pair<const TaskRef, WorkerName>& startedEntry : m_started) {
      if (startedEntry.second == aName) {
        status.m_running.push_back(
          { startedEntry.first, m_attempts[startedEntry.first], "", 10, 0 });
      }
    }
    return status;
  }

  int64_t WallMs() const { return ToMillis(m_now.time_since_epoch()); }

  std::unordered_map<TaskRef, AttemptNumber, TaskRefHash> m_attempts;
};

GraphStep
MakeStep(uint32_t aCount, bool aGang)
{
  GraphStep step;
  step.m_count = aCount;
  step.m_demand = { 2000, 1000, 0 };
  step.m_estimateMs = 60000;
  step.m_gang = aGang;
  return step;
}

} // namespace

// Guards against two attempts of a task at the same time: one that the leader did not want and
// stops, and one that it starts meanwhile.
TEST_CASE("a task is not started while a worker still stops an attempt of it")
{
  const bool busyFirst = GENERATE(false, true); // the worker that runs the task is the best one
  CAPTURE(busyFirst);
  ResubmissionWorld world(MakeStep(1, false), busyFirst ? 32000 : 8000, 16000);
  world.Advance(ResubmissionWorld::kStopTime - seconds(2));
  REQUIRE(world.m_stopsAt);
  CHECK(world.m_started.empty());
  CHECK(world.m_scheduler.Counters().m_tasksWaiting == 1);
  world.Advance(seconds(3));
  CHECK(world.m_started.size() == 1);
  CHECK_FALSE(world.m_startedTwice);
}

// Guards against a gang of which one task does not start, so that the others wait for it in vain.
TEST_CASE("a gang starts whole after the attempt of one of its tasks was stopped")
{
  const bool busyFirst = GENERATE(false, true);
  CAPTURE(busyFirst);
  ResubmissionWorld world(MakeStep(2, true), busyFirst ? 32000 : 8000, 16000);
  world.Advance(ResubmissionWorld::kStopTime - seconds(2));
  REQUIRE(world.m_stopsAt);
  CHECK(world.m_started.empty());
  CHECK(world.m_scheduler.Counters().m_tasksWaiting == 2);
  world.Advance(seconds(3));
  CHECK(world.m_mostStartsInOneTick == 2);
  CHECK_FALSE(world.m_startedTwice);
}

namespace {

/// A new leader whose clock is behind that of its predecessor: worker "w" reports the first task of
/// an occurrence that is not due yet.
struct ClockBehindWorld
{
  explicit ClockBehindWorld(WorkerStatus aStatus)
    : m_scheduler(SchedulerLimits(), 2, m_now)
    , m_status(std::move(aStatus))
  {
    StoredJob stored = MakeStoredJob(kJob, MakeStep(2, false));
    stored.m_graph.m_occurrences = 1;
    stored.m_graph.m_firstDueMs = ToMillis((m_now + seconds(3)).time_since_epoch());
    const WorkerReport report = MakeReport("w");
    m_scheduler.RestoreJob(stored, m_now, ToMillis(m_now.time_since_epoch()));
    m_scheduler.RestoreWorker(report, m_now);
    m_scheduler.UpdateWorker(report, m_now);
    m_scheduler.OnDirectoryRead();
    RunScheduler(
      m_scheduler, m_now, seconds(5), [this](const Action& aAction) { Execute(aAction); });
  }

  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (std::get_if<StopTask>(&aAction)) {
      ++m_stops;
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      m_started.push_back(start->m_task);
      m_status.m_running.push_back({ start->m_task, start->m_attempt, "", 10, 0 });
      m_scheduler.OnStartResult(
        start->m_worker, start->m_task, start->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      m_status.m_clockMs = ToMillis(m_now.time_since_epoch());
      for (RunningAttempt& running : m_status.m_running) {
        running.m_percent = static_cast<int>((m_now - m_beginsAt) / kPerPercent);
      }
      m_scheduler.OnPollResponse(poll->m_worker, poll->m_number, m_status, m_now);
    }
  }

  static constexpr Duration kPerPercent = milliseconds(100); // an attempt makes steady progress

  Instant m_beginsAt{ std::chrono::hours(1) };
  Instant m_now = m_beginsAt;
  Scheduler m_scheduler;
  WorkerStatus m_status;
  std::vector<TaskRef> m_started;
  size_t m_stops = 0;
};

} // namespace

// Guards against a second run of a task whose end was reported to a leader with a slower clock.
TEST_CASE("an end that is reported before its occurrence is due by the leader's clock counts")
{
  WorkerStatus status;
  status.m_ended.push_back({ 1, kFirstTask, 1, AttemptEnd::Done, "" });
  const ClockBehindWorld world(status);
  CHECK(world.m_started == std::vector<TaskRef>{ { kJob, 0, 0, 1 } });
}

// Guards against work that is stopped and done again, because the new leader's clock is slower.
TEST_CASE("a task of an occurrence that is not due by the leader's clock runs on")
{
  WorkerStatus status;
  status.m_running.push_back({ kFirstTask, 1, "", 10, 0 });
  const ClockBehindWorld world(status);
  CHECK(world.m_stops == 0);
  CHECK(world.m_started == std::vector<TaskRef>{ { kJob, 0, 0, 1 } });
}
