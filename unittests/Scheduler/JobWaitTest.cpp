// Tests that for a job with nothing running, one value says what holds it.
#include "SingleScheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int64_t kWorkerCpu = 16000; ///< Thousandths of a core.
constexpr Demand kCapacity{ kWorkerCpu, 64000, 0 };

/// Longer than a job waits before it is reported, with the interval of the reports.
constexpr Duration kReportTime = milliseconds(3500);

/// How a worker behaves.
struct Behavior
{
  bool m_silent = false; ///< Its polls and starts get no response.
  bool m_endsComplete = true;
  std::vector<RunningAttempt> m_running;
  std::vector<EndedAttempt> m_ended;
};

GraphStep
MakeStep(uint32_t aCount, int64_t aCpuMilli)
{
  GraphStep step;
  step.m_count = aCount;
  step.m_demand = { aCpuMilli, 1000, 0 };
  step.m_estimateMs = 60000;
  return step;
}

/// A leader with workers that do what their Behavior says.
class WaitWorld
{
public:
  WaitWorld()
    : m_scheduler(SchedulerLimits(), 2, m_now)
  {
  }

  /// Adds a worker with a record in the store.
  Behavior& AddWorker(const WorkerName& aName)
  {
    m_scheduler.RestoreWorker(MakeReport(aName, kCapacity), m_now);
    m_scheduler.UpdateWorker(MakeReport(aName, kCapacity), m_now);
    m_scheduler.OnDirectoryRead();
    return m_workers[aName];
  }

  void Submit(GraphId aId, const GraphStep& aStep)
  {
    m_scheduler.Submit(aId, MakeSubmission(aId, aStep), m_now, WallMs());
  }

  void RestoreJob(GraphId aId, const GraphStep& aStep)
  {
    m_scheduler.RestoreJob(MakeStoredJob(aId, aStep), m_now, WallMs());
  }

  /// Adds a worker that falls silent, and submits kJob, whose only task goes there unanswered.
  /// Returns the worker.
  Behavior& SubmitToSilentWorker(const WorkerName& aName)
  {
    Behavior& worker = AddWorker(aName);
    Advance(milliseconds(500));
    worker.m_silent = true;
    Submit(kJob, MakeStep(1, 2000));
    return worker;
  }

  void Advance(Duration aTime)
  {
    RunScheduler(m_scheduler, m_now, aTime, [this](const Action& aAction) { Execute(aAction); });
  }

  /// Returns the report on the job, or nothing if it was not reported in the last second.
  std::optional<JobWait> WaitOf(GraphId aJob) const
  {
    for (const JobWait& wait : m_scheduler.WaitingJobs().m_longest) {
      if (wait.m_task.m_job == aJob) {
        return wait;
      }
    }
    return std::nullopt;
  }

  /// Advances until kJob is reported if nothing of it runs, and returns the report.
  JobWait AwaitReport()
  {
    Advance(kReportTime);
    const std::optional<JobWait> wait = WaitOf(kJob);
    REQUIRE(wait);
    return *wait;
  }

  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler;
  std::map<WorkerName, Behavior> m_workers;
  bool m_storeConfirms = true;

private:
  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      if (m_storeConfirms) {
        m_scheduler.OnAppended(append->m_batch, m_now);
      }
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      Start(*start);
    } else if (const StopTask* stop = std::get_if<StopTask>(&aAction)) {
      Stop(*stop);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      Poll(*poll);
    }
  }

  void Start(const StartTask& aStart)
  {
    Behavior& worker = m_workers[aStart.m_worker];
    if (!worker.m_silent) {
      worker.m_running.push_back({ aStart.m_task, aStart.m_attempt, "", 10, 0 });
    }
    m_scheduler.OnStartResult(aStart.m_worker,
                              aStart.m_task,
                              aStart.m_attempt,
                              worker.m_silent ? WorkerCallResult::NoResponse
                                              : WorkerCallResult::Accepted,
                              m_now);
  }

  void Stop(const StopTask& aStop)
  {
    const Behavior& worker = m_workers[aStop.m_worker];
    m_scheduler.OnStopResult(aStop.m_worker,
                             aStop.m_task,
                             aStop.m_attempt,
                             worker.m_silent ? WorkerCallResult::NoResponse
                                             : WorkerCallResult::Accepted,
                             m_now);
  }

  void Poll(const PollWorker& aPoll)
  {
    const Behavior& worker = m_workers[aPoll.m_worker];
    if (worker.m_silent) {
      m_scheduler.OnPollFailed(aPoll.m_worker, aPoll.m_number, WorkerCallResult::NoResponse, m_now);
      return;
    }
    WorkerStatus status;
    status.m_clockMs = WallMs();
    status.m_running = worker.m_running;
    status.m_ended = worker.m_ended;
    status.m_endsComplete = worker.m_endsComplete;
    for (RunningAttempt& running : status.m_running) {
      running.m_percent = static_cast<int>((m_now - m_createdAt) / kPerPercent);
    }
    m_scheduler.OnPollResponse(aPoll.m_worker, aPoll.m_number, status, m_now);
  }

  int64_t WallMs() const { return ToMillis(m_now.time_since_epoch()); }

  static constexpr Duration kPerPercent = milliseconds(200); // no attempt is a straggler

  const Instant m_createdAt = m_now;
};

} // namespace

// Guards against a job that waits for room and whose workers' obstacles nobody can see.
TEST_CASE("a job that fits nowhere is reported with the obstacles of the workers")
{
  WaitWorld world;
  world.AddWorker("w");
  world.Submit(kJob, MakeStep(2, kWorkerCpu + 1));
  const JobWait wait = world.AwaitReport();
  CHECK(wait.m_cause == WaitCause::NoWorker);
  CHECK(wait.m_task == kFirstTask);
  CHECK(wait.m_tasks == 2);
  CHECK(wait.m_waited >= seconds(2));
  CHECK(wait.m_waited <= kReportTime);
  CHECK(wait.m_obstacles[static_cast<size_t>(Obstacle::Processors)] == 1);
}

// Guards against reports on jobs that are at work, which would hide the others.
TEST_CASE("a job with a task at work is not reported, however many of its tasks wait")
{
  WaitWorld world;
  world.AddWorker("w");
  world.Submit(kJob, MakeStep(3, kWorkerCpu));
  world.Advance(seconds(5));
  CHECK(world.m_scheduler.Counters().m_starts == 1);
  CHECK_FALSE(world.WaitOf(kJob));
  CHECK(world.m_scheduler.Counters().m_jobsWaiting == 0);
}

// Guards against a lasting task that is missing unseen, because others of its job run.
TEST_CASE("a long-running task that does not run is reported although others of its job run")
{
  WaitWorld world;
  world.AddWorker("w");
  GraphStep step = MakeStep(2, kWorkerCpu);
  step.m_longRunning = true;
  world.Submit(kJob, step);
  const JobWait wait = world.AwaitReport();
  CHECK(wait.m_cause == WaitCause::NoWorker);
  CHECK(wait.m_task == TaskRef{ kJob, 0, 0, 1 });
  CHECK(wait.m_tasks == 1);
}

// Guards against a job that was not tried, and for which no line says why.
TEST_CASE("a job that is passed over is reported with the request that did not fit")
{
  WaitWorld world;
  world.AddWorker("w");
  world.Submit(kJob, MakeStep(1, kWorkerCpu + 1));
  world.Submit(kJob + 1, MakeStep(1, kWorkerCpu + 1));
  world.Advance(kReportTime);
  const std::optional<JobWait> first = world.WaitOf(kJob);
  const std::optional<JobWait> second = world.WaitOf(kJob + 1);
  REQUIRE(first);
  REQUIRE(second);
  const bool firstTried = first->m_cause == WaitCause::NoWorker;
  const JobWait& tried = firstTried ? *first : *second;
  const JobWait& passedOver = firstTried ? *second : *first;
  CHECK(tried.m_cause == WaitCause::NoWorker);
  CHECK(passedOver.m_cause == WaitCause::PassedOver);
  CHECK(passedOver.m_behind == tried.m_task);
}

// Guards against a job that the leader counts as running while callers see it waiting: its only
// start got no response, and its worker is out of contact.
TEST_CASE("a job whose start got no response is reported with the worker and its lease")
{
  WaitWorld world;
  world.SubmitToSilentWorker("w");
  const JobWait wait = world.AwaitReport();
  CHECK(wait.m_cause == WaitCause::AttemptNotRunning);
  CHECK(wait.m_worker.m_name == "w");
  CHECK(wait.m_worker.m_phase == AttemptPhase::Unconfirmed);
  CHECK(wait.m_worker.m_inPhase >= seconds(2));
  CHECK(wait.m_worker.m_leaseRemaining > Duration::zero());
  CHECK(wait.m_worker.m_unheard > Duration::zero());
}

// Guards against a run that counts until its lease ends although nobody hears of it.
TEST_CASE("a job that runs only on a worker out of contact is reported")
{
  WaitWorld world;
  Behavior& worker = world.AddWorker("w");
  world.Submit(kJob, MakeStep(1, 2000));
  world.Advance(seconds(2));
  REQUIRE(worker.m_running.size() == 1);
  worker.m_silent = true;
  const JobWait wait = world.AwaitReport();
  CHECK(wait.m_cause == WaitCause::AttemptNotRunning);
  CHECK(wait.m_worker.m_name == "w");
  CHECK(wait.m_worker.m_phase == AttemptPhase::Running);
  CHECK(wait.m_waited <= kReportTime);
}

// Guards against an end that a worker has no room to list, and that holds its task unseen.
TEST_CASE("a job whose end is not listed is reported")
{
  WaitWorld world;
  Behavior& worker = world.AddWorker("w");
  world.Submit(kJob, MakeStep(1, 2000));
  world.Advance(seconds(1));
  REQUIRE(worker.m_running.size() == 1);
  worker.m_running.clear();
  worker.m_endsComplete = false;
  const JobWait wait = world.AwaitReport();
  CHECK(wait.m_cause == WaitCause::AttemptNotRunning);
  CHECK(wait.m_worker.m_phase == AttemptPhase::EndUnlisted);
}

// Guards against a task that waits unseen for the stop of an attempt that nobody wanted.
TEST_CASE("a job of which a worker still stops an attempt is reported with that worker")
{
  WaitWorld world;
  Behavior& busy = world.AddWorker("busy");
  world.AddWorker("free");
  busy.m_running.push_back({ kFirstTask, 1, "", 10, 0 });
  world.Advance(seconds(1));
  world.Submit(kJob, MakeStep(1, 2000));
  const JobWait wait = world.AwaitReport();
  CHECK(wait.m_cause == WaitCause::StoppingElsewhere);
  CHECK(wait.m_worker.m_name == "busy");
  CHECK(wait.m_worker.m_phase == AttemptPhase::Stopping);
}

// Guards against a gang that waits in silence for a member that can't be stopped.
TEST_CASE("a gang of which a member is still present is reported with that member")
{
  WaitWorld world;
  world.AddWorker("a");
  world.AddWorker("b");
  GraphStep step = MakeStep(2, kWorkerCpu);
  step.m_gang = true;
  world.Submit(kJob, step);
  world.Advance(seconds(1));
  REQUIRE(world.m_workers["a"].m_running.size() == 1);
  REQUIRE(world.m_workers["b"].m_running.size() == 1);
  Behavior& worker = world.m_workers["a"];
  const RunningAttempt ended = worker.m_running.front();
  worker.m_running.clear();
  worker.m_ended.push_back({ 1, ended.m_task, ended.m_attempt, AttemptEnd::Failed, "" });
  world.m_workers["b"].m_silent = true;
  const JobWait wait = world.AwaitReport();
  CHECK(wait.m_cause == WaitCause::GangIncomplete);
  CHECK(wait.m_task == ended.m_task);
  CHECK(wait.m_worker.m_name == "b");
  CHECK(wait.m_worker.m_phase == AttemptPhase::Running);
  REQUIRE(wait.m_behind);
  CHECK(wait.m_behind->m_index == 1 - ended.m_task.m_index);
  CHECK(world.m_scheduler.Counters().m_tasksWaiting == 1);
}

// Guards against a gang that fits in part and waits in silence.
TEST_CASE("a gang of which not all members fit is reported and counted")
{
  WaitWorld world;
  world.AddWorker("w");
  GraphStep step = MakeStep(2, kWorkerCpu);
  step.m_gang = true;
  world.Submit(kJob, step);
  const JobWait wait = world.AwaitReport();
  CHECK(wait.m_cause == WaitCause::NoWorker);
  CHECK(wait.m_obstacles[static_cast<size_t>(Obstacle::None)] == 1);
  CHECK(world.m_scheduler.Counters().m_tasksWaiting == 2);
}

// Guards against a recovery whose awaited worker nobody can name, and a confirmation that is taken
// for a part of the recovery.
TEST_CASE("a job that waits for the recovery is reported, and then that it waits to be confirmed")
{
  WaitWorld world;
  world.RestoreJob(kJob, MakeStep(1, 2000));
  world.AddWorker("w");
  world.AddWorker("lost").m_silent = true;
  world.m_storeConfirms = false;
  world.Advance(kReportTime);
  const std::optional<JobWait> recovering = world.WaitOf(kJob);
  REQUIRE(recovering);
  CHECK(recovering->m_cause == WaitCause::Recovering);
  CHECK(recovering->m_worker.m_name == "lost");
  CHECK(recovering->m_worker.m_leaseRemaining > Duration::zero());
  CHECK(world.m_scheduler.Counters().m_tasksRecovering == 1);
  CHECK(world.m_scheduler.Counters().m_tasksUnconfirmed == 0);

  world.Advance(seconds(8));
  REQUIRE(world.m_scheduler.IsRecovered());
  const std::optional<JobWait> unconfirmed = world.WaitOf(kJob);
  REQUIRE(unconfirmed);
  CHECK(unconfirmed->m_cause == WaitCause::Unconfirmed);
  CHECK(unconfirmed->m_confirmationRequested);
  CHECK_FALSE(unconfirmed->m_confirmationAge);
  CHECK(world.m_scheduler.Counters().m_tasksRecovering == 0);
  CHECK(world.m_scheduler.Counters().m_tasksUnconfirmed == 1);
}

// Guards against a log that is flooded while many jobs wait.
TEST_CASE("the jobs that have waited longest are reported, and the others are counted")
{
  WaitWorld world;
  world.AddWorker("w");
  for (GraphId id = 1; id <= 12; ++id) {
    world.Submit(id, MakeStep(1, kWorkerCpu + 1));
    world.Advance(milliseconds(100));
  }
  world.Advance(kReportTime);
  const JobWaits& waits = world.m_scheduler.WaitingJobs();
  REQUIRE(waits.m_longest.size() == 5);
  CHECK(waits.m_heldBack == 7);
  CHECK(world.m_scheduler.Counters().m_jobsWaiting == 12);
  for (size_t i = 0; i < waits.m_longest.size(); ++i) {
    CHECK(waits.m_longest[i].m_task.m_job == i + 1);
  }
}

// Guards against a report that goes on after the job has started.
TEST_CASE("a job is no longer reported once it runs")
{
  WaitWorld world;
  Behavior& worker = world.SubmitToSilentWorker("w");
  world.Advance(kReportTime);
  REQUIRE(world.WaitOf(kJob));
  worker.m_silent = false;
  world.Advance(seconds(12)); // the attempt without a response is given up first
  REQUIRE(worker.m_running.size() == 1);
  CHECK_FALSE(world.WaitOf(kJob));
  CHECK(world.m_scheduler.WaitingJobs().m_longest.empty());
}

/// Returns a step whose tasks are long-running.
static GraphStep
MakeLongRunningStep(uint32_t aCount, int64_t aCpuMilli)
{
  GraphStep step = MakeStep(aCount, aCpuMilli);
  step.m_longRunning = true;
  return step;
}

/// Advances until the absence of a task ends that is reported, for \p aTime at the most.
static ReportedAbsence
AwaitEndOfAbsence(WaitWorld& aWorld, Duration aTime)
{
  for (const Instant end = aWorld.m_now + aTime; aWorld.m_now < end;) {
    aWorld.Advance(milliseconds(500));
    for (const ReportedAbsence& line : aWorld.m_scheduler.GetAbsences().m_lines) {
      if (line.m_event != AbsenceEvent::StillAway) {
        return line;
      }
    }
  }
  FAIL("no absence has ended");
  return {};
}

static Duration
TimeOf(const ReportedAbsence& aLine, WaitCause aCause)
{
  return aLine.m_absence.m_byCause[static_cast<size_t>(aCause)];
}

// Guards against an absence of which, afterwards, nobody can tell what held the task: only the five
// longest waits were reported, by second.
TEST_CASE("a long-running task that had no room is reported with that cause once it runs")
{
  WaitWorld world;
  world.AddWorker("w");
  world.Submit(kJob, MakeLongRunningStep(2, kWorkerCpu));
  world.Advance(seconds(8));
  REQUIRE(world.m_scheduler.Counters().m_starts == 1);
  CHECK(world.m_scheduler.Counters().m_longRunningAway == 1);
  CHECK(world.m_scheduler.Counters().m_longRunningLongestAwayMs >= 6900);
  world.AddWorker("new");
  const ReportedAbsence line = AwaitEndOfAbsence(world, seconds(5));
  CHECK(line.m_absence.m_task == TaskRef{ kJob, 0, 0, 1 });
  CHECK(line.m_event == AbsenceEvent::AtWork);
  CHECK(line.m_absence.m_worker == "new");
  CHECK(line.m_away >= seconds(8));
  CHECK(line.m_away <= milliseconds(8500));
  CHECK(TimeOf(line, WaitCause::NoWorker) >= line.m_away - seconds(1));
  world.Advance(seconds(2));
  CHECK(world.m_scheduler.Counters().m_longRunningAway == 0);
  CHECK(world.m_scheduler.Counters().m_longRunningLongestAwayMs == 0);
}

// Guards against the same of a run that counts until its lease ends although nobody hears of it.
TEST_CASE(
  "a long-running task on a worker out of contact is reported with that worker once it runs")
{
  WaitWorld world;
  Behavior& worker = world.AddWorker("w");
  world.Submit(kJob, MakeLongRunningStep(1, 2000));
  world.Advance(seconds(2));
  REQUIRE(worker.m_running.size() == 1);
  worker.m_silent = true;
  world.Advance(seconds(2));
  world.AddWorker("other");
  const ReportedAbsence line = AwaitEndOfAbsence(world, seconds(20));
  CHECK(line.m_absence.m_task == kFirstTask);
  CHECK(line.m_event == AbsenceEvent::AtWork);
  CHECK(line.m_absence.m_worker == "other");
  CHECK(line.m_absence.m_holder == "w");
  CHECK(TimeOf(line, WaitCause::AttemptNotRunning) >= line.m_away - seconds(2));
}

// Guards against the same after a change of leaders.
TEST_CASE(
  "a long-running task that waits for the recovery is reported with that cause once it runs")
{
  WaitWorld world;
  world.RestoreJob(kJob, MakeLongRunningStep(1, 2000));
  world.AddWorker("w");
  world.AddWorker("lost").m_silent = true;
  const ReportedAbsence line = AwaitEndOfAbsence(world, seconds(30));
  CHECK(line.m_absence.m_task == kFirstTask);
  CHECK(line.m_event == AbsenceEvent::AtWork);
  CHECK(TimeOf(line, WaitCause::Recovering) >= line.m_away - seconds(2));
}

// Guards against lines on a job that the callers have withdrawn as if its task ran.
TEST_CASE("a long-running task whose job is cancelled while it is away is reported as gone")
{
  WaitWorld world;
  world.AddWorker("w");
  world.Submit(kJob, MakeLongRunningStep(1, kWorkerCpu + 1));
  world.Advance(seconds(5));
  world.m_scheduler.Cancel(99, kJob, world.m_now, ToMillis(world.m_now.time_since_epoch()));
  const ReportedAbsence line = AwaitEndOfAbsence(world, seconds(5));
  CHECK(line.m_event == AbsenceEvent::Gone);
}
