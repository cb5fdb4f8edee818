// Tests that a long-running task that is away for long is at work again while short tasks keep
// taking each piece of room that becomes free (RULES.md, LOST).
#include "SingleScheduler.h"

#include "egretturn/Scheduler/LongRunningShare.h"
#include "egretturn/Scheduler/PassCursor.h"
#include "egretturn/Scheduler/PlaceClearing.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr GraphId kLasting = 1;
constexpr uint16_t kLastingTasks = 4;

// The rule's patience with a task that has run before.
constexpr Duration kMaxAway = seconds(6);

/// Workers of 16 cores that carry out calls at once. While it runs, more short tasks wait than fit.
class CrowdedFleet
{
public:
  explicit CrowdedFleet(int64_t aLastingCpuMilli)
    : CrowdedFleet(4, { MakeLastingStep(aLastingCpuMilli, kLastingTasks, 2) }, 24)
  {
  }

  /// Each of \p aLasting becomes a job.
  CrowdedFleet(size_t aWorkers, const std::vector<GraphStep>& aLasting, size_t aShortWaiting)
    : m_shortWanted(aShortWaiting)
    , m_scheduler(SchedulerLimits(), 1, m_now)
  {
    for (size_t i = 0; i < aWorkers; ++i) {
      AddWorker("w" + std::to_string(i));
    }
    m_scheduler.OnDirectoryRead();
    for (const GraphStep& step : aLasting) {
      SubmitLasting(step);
    }
    Advance(seconds(8)); // beyond the first seconds of the epoch
    REQUIRE(CountLasting() == m_lastingTasks);
    m_crowded = true;
    Advance(seconds(5));
  }

  static GraphStep MakeLastingStep(int64_t aCpuMilli, uint32_t aTasks, uint32_t aMaxPerWorker)
  {
    GraphStep step;
    step.m_demand = { aCpuMilli, 100, 0 };
    step.m_count = aTasks;
    step.m_estimateMs = 60000;
    step.m_longRunning = true;
    step.m_maxPerWorker = aMaxPerWorker;
    return step;
  }

  /// Submits a job of a long-running task whose turn comes after large tasks that end.
  void SubmitMixed()
  {
    GraphStep ends;
    ends.m_demand = { 10000, 100, 0 };
    ends.m_count = 40;
    ends.m_estimateMs = 1000;
    GraphStep lasts = MakeLastingStep(100, 1, 0);
    lasts.m_dependencies = { 0 };
    Submission submission = MakeSubmission(kMixed, ends);
    submission.m_graph.m_steps.push_back(lasts);
    m_scheduler.Submit(kMixed, std::move(submission), m_now, 0);
  }

  void SubmitLasting(const GraphStep& aStep)
  {
    const GraphId id = kLasting + m_lastingJobs++;
    m_lastingTasks += aStep.m_count;
    m_scheduler.Submit(id, MakeSubmission(id, aStep), m_now, 0);
  }

  void AddWorker(const WorkerName& aName)
  {
    m_scheduler.UpdateWorker(MakeReport(aName), m_now);
    m_running[aName];
  }

  /// Lets the worker of the first long-running task drain.
  void DrainFirst()
  {
    for (const WorkerTasks& worker : m_running) {
      if (CountLastingOf(worker.second) > 0) {
        WorkerReport report = MakeReport(worker.first);
        report.m_draining = true;
        m_scheduler.UpdateWorker(report, m_now);
        return;
      }
    }
  }

  void Advance(Duration aTime)
  {
    for (const Instant end = m_now + aTime; m_now < end;) {
      SubmitShort();
      AnswerPolls();
      RunScheduler(
        m_scheduler, m_now, milliseconds(20), [this](const Action& aAction) { Execute(aAction); });
      m_longestGap =
        CountLasting() == m_lastingTasks ? Duration::zero() : m_longestGap + milliseconds(20);
      m_maxAway = std::max(m_maxAway, m_longestGap);
    }
  }

  size_t CountLasting() const
  {
    size_t running = 0;
    for (const WorkerTasks& worker : m_running) {
      running += CountLastingOf(worker.second);
    }
    return running;
  }

  /// Returns how long at the most one of the long-running tasks had no run.
  Duration MaxAway() const { return m_maxAway; }
  size_t CountShortEnds() const { return m_shortEnds; }
  const SchedulerCounters& Counters() const { return m_scheduler.Counters(); }

private:
  struct Run
  {
    AttemptNumber m_attempt = 0;
    Instant m_endsAt;
  };

  struct WaitingPoll
  {
    PollWorker m_poll;
    Instant m_until;
  };
  using Runs = std::unordered_map<TaskRef, Run, TaskRefHash>;
  using WorkerTasks = std::pair<const WorkerName, Runs>;

  static constexpr GraphId kMixed = 90;
  static constexpr GraphId kFirstShort = 100;

  static size_t CountLastingOf(const Runs& aRuns)
  {
    return static_cast<size_t>(std::count_if(
      aRuns.begin(), aRuns.end(), [](const auto& aRun) { return aRun.first.m_job < kFirstShort; }));
  }

  /// Submits jobs of one task each, until enough wait to fill all that becomes free.
  void SubmitShort()
  {
    while (m_crowded && m_shortWaiting < m_shortWanted) {
      GraphStep step;
      step.m_demand = { 2000, 100, 0 };
      step.m_estimateMs = 1000;
      ++m_shortWaiting;
      ++m_nextShort;
      m_scheduler.Submit(m_nextShort, MakeSubmission(m_nextShort, step), m_now, 0);
    }
  }

  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      Start(*start);
    } else if (const StopTask* stop = std::get_if<StopTask>(&aAction)) {
      End(stop->m_worker, stop->m_task, AttemptEnd::Stopped);
      m_scheduler.OnStopResult(
        stop->m_worker, stop->m_task, stop->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      m_polls[poll->m_worker] = { *poll, m_now + poll->m_wait };
    }
  }

  void Start(const StartTask& aStart)
  {
    const bool lasting = aStart.m_task.m_job < kFirstShort;
    m_shortWaiting -= lasting ? 0 : 1;
    // So that hardly two of them end at once.
    const Duration time = milliseconds(900 + 20 * (aStart.m_task.m_job * 7 % 11));
    m_running[aStart.m_worker][aStart.m_task] = { aStart.m_attempt,
                                                  lasting ? Instant::max() : m_now + time };
    m_scheduler.OnStartResult(
      aStart.m_worker, aStart.m_task, aStart.m_attempt, WorkerCallResult::Accepted, m_now);
  }

  void End(const WorkerName& aWorker, const TaskRef& aTask, AttemptEnd aEnd)
  {
    Runs& runs = m_running[aWorker];
    const Runs::iterator run = runs.find(aTask);
    if (run != runs.end()) {
      m_ended[aWorker].push_back({ ++m_endNumber, aTask, run->second.m_attempt, aEnd, "" });
      runs.erase(run);
    }
  }

  int PercentOf(const Run& aRun) const
  {
    return aRun.m_endsAt == Instant::max()
             ? 0
             : 100 - static_cast<int>(std::max(Duration::zero(), aRun.m_endsAt - m_now) /
                                      milliseconds(11));
  }

  /// Returns the tasks on \p aWorker that are over.
  std::vector<TaskRef> ListOver(const WorkerName& aWorker) const
  {
    std::vector<TaskRef> over;
    for (const Runs::value_type& run : m_running.at(aWorker)) {
      if (run.second.m_endsAt <= m_now) {
        over.push_back(run.first);
      }
    }
    return over;
  }

  /// Answers the polls that have waited for long enough, or whose worker has an end to report.
  void AnswerPolls()
  {
    for (WorkerTasks& worker : m_running) {
      for (const TaskRef& task : ListOver(worker.first)) {
        End(worker.first, task, AttemptEnd::Done);
        ++m_shortEnds;
      }
      const std::map<WorkerName, WaitingPoll>::iterator poll = m_polls.find(worker.first);
      const std::vector<EndedAttempt>& ended = m_ended[worker.first];
      const bool news = !ended.empty() && ended.back().m_number > m_lastReported[worker.first];
      if (poll != m_polls.end() && (news || poll->second.m_until <= m_now)) {
        const PollWorker answered = poll->second.m_poll;
        m_polls.erase(poll);
        Answer(answered);
      }
    }
  }

  void Answer(const PollWorker& aPoll)
  {
    std::vector<EndedAttempt>& ended = m_ended[aPoll.m_worker];
    ended.erase(std::remove_if(ended.begin(),
                               ended.end(),
                               [&](const EndedAttempt& aEnded) {
                                 return aEnded.m_number <= aPoll.m_acknowledged;
                               }),
                ended.end());
    WorkerStatus status;
    status.m_clockMs = ToMillis(m_now.time_since_epoch());
    status.m_ended = ended;
    status.m_endsComplete = true;
    m_lastReported[aPoll.m_worker] = ended.empty() ? 0 : ended.back().m_number;
    for (const Runs::value_type& run : m_running[aPoll.m_worker]) {
      status.m_running.push_back({ run.first, run.second.m_attempt, "", PercentOf(run.second), 0 });
    }
    m_scheduler.OnPollResponse(aPoll.m_worker, aPoll.m_number, status, m_now);
  }

  size_t m_shortWanted;
  GraphId m_lastingJobs = 0;
  size_t m_lastingTasks = 0;
  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler;
  std::map<WorkerName, Runs> m_running;
  std::map<WorkerName, WaitingPoll> m_polls;
  std::unordered_map<WorkerName, std::vector<EndedAttempt>> m_ended;
  std::unordered_map<WorkerName, uint64_t> m_lastReported; ///< The number of the end.
  uint64_t m_endNumber = 0;
  GraphId m_nextShort = kFirstShort;
  size_t m_shortWaiting = 0;
  size_t m_shortEnds = 0;
  bool m_crowded = false;
  Duration m_longestGap{};
  Duration m_maxAway{};
};

} // namespace

// Guards against LOST on days on which workers leave for good: short tasks took each piece of room
// that became free, and none ever added up to the size of a long-running task.
TEST_CASE("a long-running task whose worker leaves is at work again while short tasks keep coming")
{
  CrowdedFleet fleet(6000);
  fleet.DrainFirst();
  const size_t ended = fleet.CountShortEnds();
  fleet.Advance(seconds(30));
  CHECK(fleet.CountLasting() == kLastingTasks);
  CHECK(fleet.MaxAway() <= kMaxAway);
  CHECK(fleet.Counters().m_placesCleared > 0);
  CHECK(fleet.CountShortEnds() > ended + 300); // 10 cores or more are left for them all the time
}

// Answers workers that are replaced: a new one is not filled with short tasks first.
TEST_CASE("a new worker takes the long-running tasks that are away for long before short tasks")
{
  CrowdedFleet fleet(12000);
  fleet.DrainFirst(); // no other worker has the room for its task beside its own
  fleet.Advance(seconds(20));
  REQUIRE(fleet.CountLasting() == kLastingTasks - 1);
  fleet.AddWorker("w4");
  fleet.Advance(milliseconds(500));
  CHECK(fleet.CountLasting() == kLastingTasks);
}

// Guards against short tasks that wait for room kept for new long-running jobs beyond the capacity.
TEST_CASE("no place is cleared for long-running tasks that have never run")
{
  CrowdedFleet fleet(6000);
  fleet.SubmitLasting(CrowdedFleet::MakeLastingStep(10000, 4, 2));
  fleet.Advance(seconds(20));
  CHECK(fleet.Counters().m_placesCleared == 0);
}

// Guards against LOST where more waits than one pass collects: the others must not take the room
// that is cleared for a task that this pass does not see.
TEST_CASE("a long-running task is at work again though more short tasks wait than a pass collects")
{
  CrowdedFleet fleet(4, { CrowdedFleet::MakeLastingStep(6000, kLastingTasks, 2) }, 12000);
  fleet.DrainFirst();
  fleet.Advance(seconds(20));
  CHECK(fleet.CountLasting() == kLastingTasks);
  CHECK(fleet.MaxAway() <= kMaxAway);
}

// A job with one task on each worker has one too many once a worker leaves; each try of it is
// compared with all its siblings.
TEST_CASE("short tasks go on starting beside wide long-running jobs that fit nowhere")
{
  const size_t workers = 2100;
  const GraphStep oneOnEach = CrowdedFleet::MakeLastingStep(100, workers, 1);
  CrowdedFleet fleet(workers, { oneOnEach, oneOnEach }, 24);
  fleet.DrainFirst();
  fleet.Advance(seconds(5));
  const size_t ended = fleet.CountShortEnds();
  fleet.Advance(seconds(5));
  CHECK(fleet.CountLasting() == 2 * (workers - 1));
  CHECK(fleet.CountShortEnds() > ended + 100);
}

TEST_CASE("no room is cleared for tasks that end of a job with a long-running step")
{
  CrowdedFleet fleet(6000);
  const uint64_t cleared = fleet.Counters().m_placesCleared;
  fleet.SubmitMixed();
  fleet.Advance(seconds(5));
  CHECK(fleet.Counters().m_placesCleared == cleared);
}

TEST_CASE("short tasks keep their floor while more long-running tasks wait than fit")
{
  CrowdedFleet fleet(4, { CrowdedFleet::MakeLastingStep(4000, kLastingTasks, 0) }, 24);
  fleet.SubmitLasting(CrowdedFleet::MakeLastingStep(4000, 40, 0));
  fleet.Advance(seconds(30));
  const size_t ended = fleet.CountShortEnds();
  fleet.Advance(seconds(20));
  // Of 64 cores at least 0.02 for 20 s, at 2 cores for 1 s each.
  CHECK(fleet.CountShortEnds() >= ended + 12);
}

// The same for tasks that have run: what was displaced for good must not starve all else.
TEST_CASE("short tasks keep their floor while displaced long-running tasks wait for good")
{
  CrowdedFleet fleet(4, { CrowdedFleet::MakeLastingStep(4000, 12, 4) }, 24);
  fleet.DrainFirst();
  fleet.Advance(seconds(1));
  fleet.DrainFirst(); // the others have 32 cores for 48
  fleet.Advance(seconds(30));
  const size_t ended = fleet.CountShortEnds();
  fleet.Advance(seconds(20));
  CHECK(fleet.CountLasting() < 12);
  // Of 32 cores at least 0.02 for 20 s, at 2 cores for 1 s each.
  CHECK(fleet.CountShortEnds() >= ended + 6);
}

TEST_CASE("room is cleared where the least of it lacks beside what lasts and what is held")
{
  Worker full;
  full.m_report = MakeReport("full");
  full.m_used.m_cpuMilli = 16000;
  Worker half = full;
  half.m_used.m_cpuMilli = 12000;
  Worker lasting = full;
  lasting.m_used.m_cpuMilli = 11000;
  lasting.m_longRunning.m_cpuMilli = 11000;
  GraphStep step;
  step.m_demand = { 6000, 100, 0 };
  const std::string service = "desk";
  const std::vector<const Worker*> siblings;
  PlacementRequest request;
  request.m_step = &step;
  request.m_service = &service;
  request.m_siblings = &siblings;
  CHECK(ChooseWorkerToClear({ &full, &half, &lasting }, request) == &half);
  half.m_held.m_cpuMilli = 12000;
  CHECK(ChooseWorkerToClear({ &full, &half, &lasting }, request) == &full);
  full.m_report.m_service = "other";
  CHECK(ChooseWorkerToClear({ &full, &half, &lasting }, request) == nullptr);
}

TEST_CASE("a cursor goes on with what was not tried, and begins anew once all was")
{
  PassCursor cursor;
  CHECK_FALSE(cursor.Advance(3, 2));
  std::vector<int> steps{ 0, 1, 2 };
  cursor.Rotate(steps);
  CHECK(steps == std::vector<int>{ 2, 0, 1 });
  CHECK(cursor.Advance(3, 1));
  steps = { 0, 1, 2 };
  cursor.Rotate(steps);
  CHECK(steps == std::vector<int>{ 0, 1, 2 });
  CHECK(cursor.Advance(3, 3));
}

TEST_CASE("long-running tasks go first only while some of their service is left to others")
{
  Worker worker;
  worker.m_report = MakeReport("w");
  worker.m_longRunning.m_cpuMilli = 12000;
  const LongRunningShare share({ &worker });
  CHECK(share.MayGoFirst("desk", 3000));
  CHECK_FALSE(share.MayGoFirst("desk", 4000));
  CHECK_FALSE(share.MayGoFirst("other", 1000));
}
