// Contact with workers: when it is lost, who asks again, and what the worker gets afterwards.
#include "egretturn/Scheduler/Scheduler.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>

using namespace egretturn;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A scheduler whose workers answer at once, but for those that can't be reached. They run nothing.
class ContactWorld
{
public:
  static constexpr const char* kAddress = "10.0.0.1:80";

  ContactWorld() { m_scheduler.OnDirectoryRead(); }

  void RegisterWorker(const WorkerName& aName,
                      int64_t aIncarnation = 0,
                      const std::string& aAddress = kAddress,
                      bool aDraining = false)
  {
    WorkerReport report;
    report.m_incarnation = aIncarnation;
    report.m_id = aName;
    report.m_service = "desk";
    report.m_address = aAddress;
    report.m_draining = aDraining;
    report.m_capacity = { 8000, 64000, 0 };
    m_scheduler.UpdateWorker(report, m_now);
  }

  /// Submits a task that lasts and reserves \p aCpuMilli.
  void SubmitLongRunning(GraphId aId, int64_t aCpuMilli) { Submit(aId, aCpuMilli, true); }

  /// Submits a task that takes a minute and reserves \p aCpuMilli.
  void SubmitOneMinute(GraphId aId, int64_t aCpuMilli) { Submit(aId, aCpuMilli, false); }

  void Cancel(GraphId aId) { m_scheduler.Cancel(1, aId, m_now, WallMs()); }

  /// Ends the oldest run of \p aWorker. \pre There is one.
  void End(const WorkerName& aWorker, AttemptEnd aEnd)
  {
    std::vector<RunningAttempt>& running = m_running[aWorker];
    std::vector<EndedAttempt>& ended = m_ended[aWorker];
    REQUIRE_FALSE(running.empty());
    const RunningAttempt& reported = running.front();
    ended.push_back({ ended.size() + 1, reported.m_task, reported.m_attempt, aEnd, "" });
    running.erase(running.begin());
  }

  void Advance(Duration aTime)
  {
    for (const Instant end = m_now + aTime; m_now < end; m_now += milliseconds(20)) {
      m_scheduler.Tick(m_now, WallMs());
      for (const Action& action : m_scheduler.TakeActions()) {
        Execute(action);
      }
    }
  }

  const Worker& WorkerOf(const WorkerName& aName) { return *m_scheduler.Workers().Find(aName); }

  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler{ SchedulerLimits(), 1, m_now };
  std::set<WorkerName> m_unreachable;
  std::map<WorkerName, std::vector<RunningAttempt>> m_running;
  std::map<WorkerName, int64_t> m_incarnations; ///< As the workers themselves say.
  std::map<WorkerName, int64_t> m_clockLeadsMs; ///< Of their clocks before the time of day.
  std::string m_address = kAddress;             ///< Where the workers are.
  std::map<WorkerName, std::vector<EndedAttempt>> m_ended;
  std::map<WorkerName, uint64_t> m_acknowledged; ///< Highest number of an end.
  bool m_confirmationsHeld = false;              ///< The store takes appends, but does not answer.
  std::optional<uint64_t> m_heldBatch;
  size_t m_polls = 0;
  Duration m_lastLease{}; ///< Of the last start, on the worker's clock.

private:
  static constexpr Duration kPerPercent = milliseconds(600);

  void Submit(GraphId aId, int64_t aCpuMilli, bool aLongRunning)
  {
    Submission submission;
    submission.m_id = aId;
    submission.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
    GraphStep step;
    step.m_demand = { aCpuMilli, 1000, 0 };
    step.m_longRunning = aLongRunning;
    if (aLongRunning) {
      m_longRunning.insert(aId);
    }
    step.m_estimateMs = aLongRunning ? 0 : ToMillis(100 * kPerPercent);
    submission.m_graph.m_steps.push_back(step);
    m_scheduler.Submit(aId, std::move(submission), m_now, WallMs());
  }

  /// The rows of \p aWorker's runs, each farther by the time since its start.
  std::vector<RunningAttempt> ReportedAttempts(const WorkerName& aWorker)
  {
    std::vector<RunningAttempt> reportedAttempts = m_running[aWorker];
    for (RunningAttempt& reported : reportedAttempts) {
      const bool longRunning = reported.m_percent == 100;
      reported.m_percent =
        longRunning ? 100 : static_cast<int>((m_now - m_startedAt[reported.m_task]) / kPerPercent);
    }
    return reportedAttempts;
  }

  int64_t WallMs() const { return ToMillis(m_now.time_since_epoch()); }
  int64_t ClockMs(const WorkerName& aName) { return WallMs() + m_clockLeadsMs[aName]; }

  bool IsReachable(const WorkerName& aName, const std::string& aAddress) const
  {
    return m_unreachable.count(aName) == 0 && aAddress == m_address;
  }

  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      if (m_confirmationsHeld) {
        m_heldBatch = append->m_batch;
      } else {
        m_scheduler.OnAppended(append->m_batch, m_now);
      }
    } else if (const StopTask* stop = std::get_if<StopTask>(&aAction)) {
      m_scheduler.OnStopResult(
        stop->m_worker, stop->m_task, stop->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      const bool reached = IsReachable(start->m_worker, start->m_address);
      const bool late = start->m_leaseEndMs <= ClockMs(start->m_worker);
      const WorkerCallResult result = !reached ? WorkerCallResult::NoResponse
                                      : late   ? WorkerCallResult::LeaseExpired
                                               : WorkerCallResult::Accepted;
      m_lastLease = milliseconds(start->m_leaseEndMs - WallMs());
      m_scheduler.OnStartResult(start->m_worker, start->m_task, start->m_attempt, result, m_now);
      if (result == WorkerCallResult::Accepted) {
        const bool longRunning = m_longRunning.count(start->m_task.m_job) > 0;
        m_startedAt[start->m_task] = m_now;
        m_running[start->m_worker].push_back(
          { start->m_task, start->m_attempt, "", longRunning ? 100 : 0, 0 });
      }
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      ++m_polls;
      if (!IsReachable(poll->m_worker, poll->m_address)) {
        m_scheduler.OnPollFailed(
          poll->m_worker, poll->m_number, WorkerCallResult::NoResponse, m_now);
        return;
      }
      WorkerStatus status;
      status.m_clockMs = ClockMs(poll->m_worker);
      status.m_incarnation = m_incarnations[poll->m_worker];
      status.m_running = ReportedAttempts(poll->m_worker);
      status.m_ended = m_ended[poll->m_worker];
      uint64_t& acknowledged = m_acknowledged[poll->m_worker];
      acknowledged = std::max(acknowledged, poll->m_acknowledged);
      m_scheduler.OnPollResponse(poll->m_worker, poll->m_number, status, m_now);
    }
  }

  std::set<GraphId> m_longRunning;
  std::unordered_map<TaskRef, Instant, TaskRefHash> m_startedAt;
};

} // namespace

// Guards against the incident LOST: a sound, listed worker stayed out of use for good.
TEST_CASE("a worker that was out of reach for longer than its lease is asked again and takes work")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  REQUIRE(world.m_running["w"].size() == 1);

  world.m_unreachable.insert("w");
  world.Advance(seconds(9));
  REQUIRE(world.WorkerOf("w").m_attempts.empty()); // its lease is over

  world.m_unreachable.clear();
  world.m_running["w"].clear(); // lapsed there
  world.Advance(seconds(2));
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against the same through the directory: an entry that lapses and is back.
TEST_CASE("a worker that is listed again after its entry lapsed out of reach is asked again")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));

  world.m_unreachable.insert("w");
  world.Advance(seconds(3));
  world.m_scheduler.DeregisterWorker("w", world.m_now);
  world.Advance(seconds(3));
  world.RegisterWorker("w");
  world.Advance(seconds(6));
  world.m_unreachable.clear();
  world.m_running["w"].clear();
  world.Advance(seconds(2));
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
}

// Guards against a task that waits on after what kept it from a worker has passed with time alone.
TEST_CASE("a task starts once a worker is avoided no more, though nothing else happens")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.Advance(seconds(1));
  Worker& worker = *world.m_scheduler.Workers().Find("w");
  worker.m_avoidUntil = world.m_now + seconds(3);
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(2));
  REQUIRE(world.m_running["w"].empty());
  world.Advance(seconds(2));
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against a storm of looks at what a cut has taken away.
TEST_CASE("hundreds of idle workers out of reach are asked at most once a second each")
{
  static constexpr size_t kWorkers = 500;
  static constexpr Duration kSpan = seconds(60);
  ContactWorld world;
  for (size_t i = 0; i < kWorkers; ++i) {
    const WorkerName name = "w" + std::to_string(i);
    world.RegisterWorker(name);
    world.m_unreachable.insert(name);
  }
  world.Advance(seconds(10));
  const size_t before = world.m_polls;
  world.Advance(kSpan);
  CHECK(world.m_polls - before <= kWorkers * static_cast<size_t>(kSpan / seconds(1)));
  world.m_unreachable.clear();
  world.Advance(seconds(3));
  for (const std::unique_ptr<Worker>& worker : world.m_scheduler.Workers().All()) {
    REQUIRE(AcceptsWork(*worker, world.m_now));
  }
}

// Guards against an entry of another writer that keeps a live worker out of use for good.
TEST_CASE(
  "an entry that names a start far ahead does not keep a worker's own answers from counting")
{
  static constexpr int64_t kFarAhead = int64_t{ 1 } << 60;
  ContactWorld world;
  world.m_incarnations["w"] = 1000;
  world.RegisterWorker("w", kFarAhead);
  world.Advance(seconds(2));
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
  CHECK(world.m_polls == 2); // the second one confirms the first
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  CHECK(world.m_running["w"].size() == 1);

  world.RegisterWorker("w", 1000); // its own entry is back
  CHECK(world.WorkerOf("w").m_report.m_incarnation == 1000);
}

// Guards against a worker that no look brings back, since its time of day went back at its restart.
TEST_CASE("a worker that starts again with an earlier time of day is used again")
{
  ContactWorld world;
  world.m_incarnations["w"] = 5000;
  world.RegisterWorker("w", 5000);
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  REQUIRE(world.m_running["w"].size() == 1);

  world.m_running["w"].clear();
  world.m_incarnations["w"] = 3000;
  world.m_scheduler.DeregisterWorker("w", world.m_now);
  world.RegisterWorker("w", 3000);
  world.Advance(seconds(9));
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against a clock that is estimated too low for good: each start is refused as too late.
TEST_CASE("a worker that was idle for minutes takes work")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.Advance(std::chrono::minutes(7)); // a clock that may be 2% slow is 8 s behind by then
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(2));
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against the same after a restart, whose clock starts anew.
TEST_CASE("an idle worker that starts again with another clock takes work")
{
  ContactWorld world;
  world.m_incarnations["w"] = 1000;
  world.RegisterWorker("w", 1000);
  world.Advance(seconds(1));
  world.m_incarnations["w"] = 2000;
  world.m_clockLeadsMs["w"] = 60000;
  SECTION("though no entry tells of it") {}
  SECTION("told by its entry, at once")
  {
    world.RegisterWorker("w", 2000);
    world.Advance(milliseconds(100));
    CHECK(world.m_polls == 2);
    CHECK(world.WorkerOf("w").m_incarnation == 2000);
  }
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(2));
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against a worker whose entries count no more, since nothing asks which life they are of.
TEST_CASE("an idle worker that drained and starts again with an earlier time of day takes work")
{
  ContactWorld world;
  world.m_incarnations["w"] = 5000;
  world.RegisterWorker("w", 5000, ContactWorld::kAddress, true);
  world.Advance(seconds(1));
  world.m_incarnations["w"] = 3000;
  for (int i = 0; i < 5; ++i) {
    world.RegisterWorker("w", 3000);
    world.Advance(seconds(1));
  }
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
}

// Guards against looks at an address that the worker has left for good.
TEST_CASE("a worker that starts again elsewhere with an earlier time of day takes work")
{
  ContactWorld world;
  world.m_incarnations["w"] = 5000;
  world.RegisterWorker("w", 5000);
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  world.m_running["w"].clear();
  world.m_incarnations["w"] = 3000;
  world.m_address = "10.0.0.2:80";
  for (int i = 0; i < 10; ++i) {
    world.RegisterWorker("w", 3000, world.m_address);
    world.Advance(seconds(1));
  }
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against entries that are only repeated and undo the pauses between looks.
TEST_CASE("the heartbeats of a worker out of reach cause no looks")
{
  static constexpr int kSeconds = 30;
  ContactWorld world;
  world.m_unreachable.insert("w");
  for (int i = 0; i < 10 * kSeconds; ++i) {
    world.RegisterWorker("w", 1000);
    world.Advance(milliseconds(100));
  }
  CHECK(world.m_polls <= kSeconds);
}

// Guards against an avoidance that grows over the day on a worker whose tasks never end as done.
TEST_CASE("failures of tasks that last, minutes apart, do not keep a worker out of use")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.SubmitLongRunning(1, 5000);
  for (int failures = 0; failures < 6; ++failures) {
    world.Advance(seconds(60));
    REQUIRE(world.m_running["w"].size() == 1);
    world.End("w", AttemptEnd::Failed);
    world.Advance(milliseconds(500));
    CHECK(world.m_running["w"].size() == 1);
  }
}

// Guards against starts on a worker that lets each run fail, only because that takes it long.
TEST_CASE("a worker that fails all that it starts is avoided, however long its runs take to fail")
{
  ContactWorld world;
  world.RegisterWorker("w");
  for (GraphId id = 1; id <= 4; ++id) {
    world.SubmitOneMinute(id, 8000); // one at a time
  }
  for (int failures = 0; failures < 3; ++failures) {
    world.Advance(seconds(30));
    REQUIRE(world.m_running["w"].size() == 1);
    world.End("w", AttemptEnd::Failed);
  }
  world.Advance(milliseconds(500));
  CHECK(world.m_running["w"].empty());
}

// Guards against an end that is never acknowledged, as nothing asks the worker again after it.
TEST_CASE("an end that is listed while a batch is in flight is acknowledged once that is durable")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  REQUIRE(world.m_running["w"].size() == 1);

  world.m_confirmationsHeld = true;
  world.Cancel(1);
  world.Advance(milliseconds(100));
  REQUIRE(world.m_heldBatch);
  world.End("w", AttemptEnd::Stopped);
  world.Advance(milliseconds(200));
  REQUIRE(world.WorkerOf("w").m_attempts.empty());

  world.m_confirmationsHeld = false;
  world.m_scheduler.OnAppended(*world.m_heldBatch, world.m_now);
  world.Advance(seconds(3));
  CHECK(world.m_acknowledged["w"] == 1);
  world.m_scheduler.DeregisterWorker("w", world.m_now);
  world.Advance(seconds(1));
  CHECK_FALSE(world.m_scheduler.Workers().Find("w"));
}

// Guards against a start that comes too late or lapses at once, since nobody asked for the clock.
TEST_CASE("a worker that was idle for minutes gets its first task with most of a lease")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.Advance(std::chrono::minutes(6));
  CHECK(world.m_polls <= 8); // rarely, as nothing happens there
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  REQUIRE(world.m_running["w"].size() == 1);
  CHECK(world.m_lastLease >= seconds(4));
}
