// Tests the loss of contact with workers: which polls are sent, and how workers are used
// afterwards.
#include "egretturn/Scheduler/Scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>

using namespace egretturn;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A scheduler whose workers respond immediately unless they are unreachable. They execute nothing.
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

  /// Submits a long-running task that reserves \p aCpuMilli.
  void SubmitLongRunning(GraphId aId, int64_t aCpuMilli) { Submit(aId, aCpuMilli, true); }

  /// Submits a task that takes a minute and reserves \p aCpuMilli.
  void SubmitOneMinute(GraphId aId, int64_t aCpuMilli) { Submit(aId, aCpuMilli, false); }

  void Cancel(GraphId aId) { m_scheduler.Cancel(1, aId, m_now, WallMs()); }

  /// Ends the oldest attempt of \p aWorker. \pre There is one.
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
    for (const Instant end = m_now + aTime; m_now < end; m_now += m_tickInterval) {
      m_scheduler.Tick(m_now, WallMs());
      for (const Action& action : m_scheduler.TakeActions()) {
        Execute(action);
      }
    }
  }

  const Worker& WorkerOf(const WorkerName& aName) { return *m_scheduler.Workers().Find(aName); }

  Duration m_tickInterval = milliseconds(20);
  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler{ SchedulerLimits(), 1, m_now };
  std::set<WorkerName> m_unreachable;
  std::set<WorkerName> m_ordersLost; ///< Starts and stops get no response there, polls do.
  std::set<WorkerName> m_replaced;   ///< Another process responds at their address.
  std::map<WorkerName, std::vector<RunningAttempt>> m_running;
  std::map<WorkerName, int64_t> m_incarnations; ///< As the workers themselves report them.
  std::map<WorkerName, int64_t> m_clockLeadsMs; ///< Ahead of the wall clock.
  std::string m_address = kAddress;             ///< Where the workers can be reached.
  std::map<WorkerName, std::vector<EndedAttempt>> m_ended;
  std::map<WorkerName, uint64_t> m_acknowledged; ///< Highest sequence number of an end.
  bool m_confirmationsHeld = false; ///< The store accepts appends, but does not confirm them.
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

  /// Returns the attempts that \p aWorker reports, with progress by the time since their start.
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
      const bool lost = m_ordersLost.count(stop->m_worker) > 0;
      m_scheduler.OnStopResult(stop->m_worker,
                               stop->m_task,
                               stop->m_attempt,
                               lost ? WorkerCallResult::NoResponse : WorkerCallResult::Accepted,
                               m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      const bool reached =
        IsReachable(start->m_worker, start->m_address) && m_ordersLost.count(start->m_worker) == 0;
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
      if (m_replaced.count(poll->m_worker) > 0) {
        m_scheduler.OnPollFailed(
          poll->m_worker, poll->m_number, WorkerCallResult::IncarnationMismatch, m_now);
        return;
      }
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

// Regression test for incident LOST: a healthy, registered worker was never used again.
TEST_CASE(
  "a worker that was unreachable for longer than its lease is polled again and accepts work")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  REQUIRE(world.m_running["w"].size() == 1);

  world.m_unreachable.insert("w");
  world.Advance(seconds(9));
  REQUIRE(world.WorkerOf("w").m_attempts.empty()); // its lease has expired

  world.m_unreachable.clear();
  world.m_running["w"].clear(); // expired there
  world.Advance(seconds(2));
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against the same failure through the directory: an entry expires and returns.
TEST_CASE(
  "a worker that registers again after its entry expired while it was unreachable is polled again")
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

// Guards against a task that keeps waiting after its obstacle has passed with time alone.
TEST_CASE("a task starts when the avoidance of a worker ends, without any other event")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.Advance(seconds(1));
  Worker& worker = *world.m_scheduler.Workers().Find("w");
  worker.m_avoidUntil = world.m_now + seconds(1);
  world.SubmitLongRunning(1, 5000);
  world.Advance(milliseconds(900));
  REQUIRE(world.m_running["w"].empty());
  world.Advance(milliseconds(500)); // before it would start on an avoided worker
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against a flood of polls to workers behind a network partition.
TEST_CASE("hundreds of unreachable idle workers are polled at most once a second each")
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

// Guards against an entry by another writer that keeps a live worker out of use permanently.
TEST_CASE(
  "an entry with an incarnation far in the future does not invalidate the worker's own responses")
{
  static constexpr int64_t kFarAhead = int64_t{ 1 } << 60;
  ContactWorld world;
  world.m_incarnations["w"] = 1000;
  world.RegisterWorker("w", kFarAhead);
  world.Advance(seconds(2));
  CHECK(AcceptsWork(world.WorkerOf("w"), world.m_now));
  CHECK(world.m_polls == 2); // the second response confirms the first
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  CHECK(world.m_running["w"].size() == 1);

  world.RegisterWorker("w", 1000); // its own entry returns
  CHECK(world.WorkerOf("w").m_report.m_incarnation == 1000);
}

// Guards against a worker that no poll brings back, because its wall clock was set back before its
// restart.
TEST_CASE("a worker that restarts with an earlier wall clock is used again")
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

// Guards against a clock that is always estimated too low, so that each start is rejected as too
// late.
TEST_CASE("a worker that was idle for minutes accepts work")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.Advance(std::chrono::minutes(7)); // a clock that may be 2% slow is 8 s behind by then
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(2));
  CHECK(world.m_running["w"].size() == 1);
}

// Guards against the same failure after a restart, which resets the worker's clock.
TEST_CASE("an idle worker that restarts with a different clock accepts work")
{
  ContactWorld world;
  world.m_incarnations["w"] = 1000;
  world.RegisterWorker("w", 1000);
  world.Advance(seconds(1));
  world.m_incarnations["w"] = 2000;
  world.m_clockLeadsMs["w"] = 60000;
  SECTION("without an entry of the new incarnation") {}
  SECTION("immediately, because of its entry")
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

// Guards against a worker whose entries are ignored because no poll asks for its incarnation.
TEST_CASE("an idle worker that drained and restarts with an earlier wall clock accepts work")
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

// Guards against polls that permanently go to an address that the worker has left.
TEST_CASE("a worker that restarts at another address with an earlier wall clock accepts work")
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

// Guards against repeated entries that cancel the delay between polls.
TEST_CASE("the heartbeats of an unreachable worker cause no polls")
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
TEST_CASE("failures of long-running tasks, minutes apart, do not keep a worker out of use")
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

// Guards against further starts on a worker that fails every attempt, but takes long to fail it.
TEST_CASE("a worker that fails every attempt is avoided, however long its attempts take to fail")
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

// Guards against an end that is never acknowledged, because no poll follows it.
TEST_CASE("an end that is reported during a batch is acknowledged once the batch is durable")
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

// Guards against a start that is late or expires immediately, because the clock reading is too old.
TEST_CASE("a worker that was idle for minutes receives its first task with most of a lease")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.Advance(std::chrono::minutes(6));
  CHECK(world.m_polls <= 8); // few polls, because the worker is idle
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  REQUIRE(world.m_running["w"].size() == 1);
  CHECK(world.m_lastLease >= seconds(4));
}

// Guards against tasks that wait for the lease of a worker that is known to be gone.
TEST_CASE("tasks of a worker whose address another process has start elsewhere immediately")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  REQUIRE(world.m_running["w"].size() == 1);

  world.m_replaced.insert("w");
  world.RegisterWorker("successor");
  world.Advance(seconds(1));
  CHECK(world.m_running["successor"].size() == 1);
}

// Guards against a task that runs twice, because a wrong entry names the address of another
// process.
TEST_CASE("a worker is not taken as gone because its entry names the address of another process")
{
  ContactWorld world;
  world.RegisterWorker("w");
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  REQUIRE(world.m_running["w"].size() == 1);

  world.RegisterWorker("w", 1, "10.0.0.2:80");
  world.m_replaced.insert("w");
  world.RegisterWorker("other");
  world.Advance(seconds(4)); // less than a lease
  CHECK(world.m_running["other"].empty());
}

// Guards against tasks that never start again on an instance that is busy or slow: the confirmation
// that they need was too old whenever there was time to place them.
TEST_CASE("a task whose lease has expired starts elsewhere also if the scheduler runs rarely")
{
  for (const int64_t intervalMs : { 20, 60, 300 }) {
    ContactWorld world;
    world.m_tickInterval = milliseconds(intervalMs);
    world.RegisterWorker("a");
    world.SubmitLongRunning(1, 5000);
    world.Advance(seconds(2));
    REQUIRE(world.m_running["a"].size() == 1);
    world.RegisterWorker("b");
    world.Advance(seconds(2));

    world.m_unreachable.insert("a");
    world.Advance(seconds(10));
    CHECK(world.m_running["b"].size() == 1);
  }
}

// Guards against a task that runs twice: an instance that was superseded before the lease expired
// learns nothing of it while the store does not confirm its claim.
TEST_CASE("a task whose lease has expired starts only once the leadership was confirmed after that")
{
  ContactWorld world;
  world.RegisterWorker("a");
  world.SubmitLongRunning(1, 5000);
  world.Advance(seconds(1));
  world.RegisterWorker("b");
  world.Advance(seconds(2));
  REQUIRE(world.m_running["a"].size() == 1);

  world.m_confirmationsHeld = true;
  world.m_unreachable.insert("a");
  const Instant cutAt = world.m_now;
  world.Advance(seconds(10));
  REQUIRE(world.WorkerOf("a").m_attempts.empty());
  CHECK(world.m_running["b"].empty());
  SECTION("by the store, by a request from before the end of the lease")
  {
    world.m_scheduler.OnConfirmed(cutAt + seconds(5), world.m_now);
    world.Advance(seconds(1));
    CHECK(world.m_running["b"].empty());
  }
  SECTION("by a later request")
  {
    world.m_scheduler.OnConfirmed(world.m_now, world.m_now);
    world.Advance(seconds(1));
    CHECK(world.m_running["b"].size() == 1);
  }
}

// Guards against a task that waits for as long as a worker responds to polls, but to no order: each
// poll extended the lease that bounds how long an unanswered start counts.
TEST_CASE("a start that was never answered counts no longer than its own lease")
{
  ContactWorld world;
  world.RegisterWorker("a");
  world.m_ordersLost.insert("a");
  world.Advance(seconds(1));
  world.SubmitLongRunning(1, 5000);
  world.Advance(milliseconds(500));
  REQUIRE(world.WorkerOf("a").m_attempts.size() == 1);
  world.m_scheduler.DeregisterWorker("a", world.m_now); // nothing else starts there
  world.RegisterWorker("b");
  const Duration lease = world.m_scheduler.Workers().LatestLeaseExpiry(world.m_now) - world.m_now;
  world.Advance(lease + seconds(1));
  CHECK(world.m_running["b"].size() == 1);
}

// Guards against a task that waits for one lease after the other: once it had been given up on a
// worker that answers no orders, that worker had most room again.
TEST_CASE("a task that was lost on a worker starts on another one if there is one")
{
  ContactWorld world;
  world.RegisterWorker("a");
  world.m_ordersLost.insert("a");
  world.Advance(seconds(1));
  world.SubmitLongRunning(1, 5000);
  world.Advance(milliseconds(500));
  REQUIRE(world.WorkerOf("a").m_attempts.size() == 1);
  world.RegisterWorker("b");
  const Duration lease = world.m_scheduler.Workers().LatestLeaseExpiry(world.m_now) - world.m_now;
  world.Advance(lease + seconds(1));
  CHECK(world.m_running["b"].size() == 1);
}

// Guards against ends that are never acknowledged on an instance that is busy or slow: an
// acknowledgement is only sent within 150 ms of a response, and each poll comes later than that.
TEST_CASE("ends are acknowledged also if the scheduler runs rarely")
{
  for (const int64_t intervalMs : { 20, 160, 300 }) {
    ContactWorld world;
    world.m_tickInterval = milliseconds(intervalMs);
    world.RegisterWorker("a");
    world.SubmitOneMinute(1, 5000);
    world.Advance(seconds(2));
    REQUIRE(world.m_running["a"].size() == 1);
    world.End("a", AttemptEnd::Done);
    world.Advance(seconds(10));
    INFO("ms between passes: " << intervalMs);
    CHECK(world.m_acknowledged["a"] == 1);
  }
}

// Guards against a whole fleet that is avoided for seconds, since calls of one moment each counted
// as a failure of their worker: a pause of the leader's process or its link looks like that.
TEST_CASE("sound workers accept work within 3 s of a moment in which no start was answered")
{
  ContactWorld world;
  world.RegisterWorker("a");
  world.RegisterWorker("b");
  world.Advance(seconds(2));
  world.m_unreachable = { "a", "b" };
  for (GraphId id = 1; id <= 8; ++id) {
    world.SubmitOneMinute(id, 1000); // all fit on one of the workers
  }
  world.Advance(milliseconds(200));
  world.m_unreachable.clear();
  world.Advance(seconds(1)); // contact is regained
  REQUIRE(world.WorkerOf("a").m_failedPolls == 0);
  REQUIRE(world.WorkerOf("b").m_failedPolls == 0);
  world.Advance(seconds(3));
  CHECK(world.m_running["a"].size() + world.m_running["b"].size() == 8);
}

// Guards against a whole fleet that is avoided for seconds because of one job whose tasks fail.
TEST_CASE("a job starts within 3 s after tasks of another job have failed on all workers")
{
  ContactWorld world;
  world.RegisterWorker("a");
  world.RegisterWorker("b");
  for (GraphId id = 1; id <= 12; ++id) {
    world.SubmitOneMinute(id, 1000);
  }
  world.Advance(seconds(2));
  REQUIRE(world.m_running["a"].size() == 6);
  REQUIRE(world.m_running["b"].size() == 6);
  for (int i = 0; i < 6; ++i) {
    world.End("a", AttemptEnd::Failed);
    world.End("b", AttemptEnd::Failed);
  }
  for (GraphId id = 1; id <= 12; ++id) {
    world.Cancel(id);
  }
  world.SubmitOneMinute(100, 1000);
  world.SubmitLongRunning(101, 1000);
  world.Advance(seconds(1)); // the failures are known
  world.Advance(seconds(3));
  CHECK(world.m_running["a"].size() + world.m_running["b"].size() == 2);
}

// Guards against a task that waits for a confirmation while tasks that rank after it take each
// place that becomes free: nothing is kept for it until the store has answered.
TEST_CASE("a task that needs a confirmation gets the next place, before tasks that rank after it")
{
  ContactWorld world;
  world.RegisterWorker("a");
  world.SubmitLongRunning(1, 4000);
  world.Advance(seconds(1));
  REQUIRE(world.m_running["a"].size() == 1);
  world.RegisterWorker("b");
  world.Advance(seconds(1));
  world.m_unreachable.insert("a");
  for (GraphId id = 2; id <= 60; ++id) {
    world.SubmitOneMinute(id, 4000);
  }
  world.Advance(seconds(10));
  REQUIRE(world.WorkerOf("a").m_attempts.empty());
  const auto isRunning = [&] {
    const std::vector<RunningAttempt>& running = world.m_running["b"];
    return std::any_of(running.begin(), running.end(), [](const RunningAttempt& aAttempt) {
      return aAttempt.m_task.m_job == 1;
    });
  };
  REQUIRE_FALSE(isRunning()); // there was no room
  REQUIRE(world.m_running["b"].size() == 2);

  int freed = 0;
  for (; freed < 20 && !isRunning(); ++freed) {
    world.Advance(milliseconds(140));
    world.End("b", AttemptEnd::Done);
    world.Advance(milliseconds(160));
  }
  CHECK(freed <= 2);
}

// Guards against a task that waits although only avoided workers have room for it.
TEST_CASE("a task that finds no other worker for a while starts on one that is avoided")
{
  ContactWorld world;
  world.RegisterWorker("full");
  world.SubmitLongRunning(1, 8000);
  world.Advance(seconds(1));
  REQUIRE(world.m_running["full"].size() == 1);
  world.RegisterWorker("avoided");
  world.Advance(seconds(1));
  world.m_scheduler.Workers().Find("avoided")->m_avoidUntil = world.m_now + seconds(8);
  world.SubmitLongRunning(2, 5000);
  world.Advance(seconds(1));
  CHECK(world.m_running["avoided"].empty());
  world.Advance(seconds(2)); // 3 s in all
  CHECK(world.m_running["avoided"].size() == 1);
}
