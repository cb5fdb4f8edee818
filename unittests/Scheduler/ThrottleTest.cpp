// Tests that a serving task above its target gets relief, whatever was learned of its neighbors.
#include "egretturn/Scheduler/Scheduler.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;

static Submission
MakeJob(GraphId aId, bool aServing)
{
  Submission submission;
  submission.m_id = aId;
  submission.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
  GraphStep step;
  step.m_demand = { 2000, 1000, 0 };
  step.m_estimateMs = 60000;
  step.m_image = aServing ? "serving" : "filling";
  step.m_longRunning = aServing;
  step.m_targetMs = aServing ? 18 : 0;
  step.m_bestEffort = !aServing;
  submission.m_graph.m_steps.push_back(step);
  return submission;
}

namespace {

/// One worker whose serving task reports a given tail latency, and the throttle calls to it.
struct OneWorker
{
  explicit OneWorker(int64_t aTailLatencyMs)
    : m_tailLatencyMs(aTailLatencyMs)
    , m_scheduler(SchedulerLimits(), 1, m_now)
  {
    WorkerReport report;
    report.m_id = "w";
    report.m_service = "desk";
    report.m_address = "10.0.0.1:80";
    report.m_capacity = { 16000, 64000, 0 };
    m_scheduler.UpdateWorker(report, m_now);
    m_scheduler.OnDirectoryRead();
  }

  void SubmitServing() { m_scheduler.Submit(1, MakeJob(kServing, true), m_now, 0); }

  /// Sets the tail latency that the serving task reports from now on; 0 for none.
  void SetTailLatency(int64_t aTailLatencyMs)
  {
    m_tailLatencyMs = aTailLatencyMs;
    for (RunningAttempt& reported : m_running) {
      reported.m_usage = reported.m_task.m_job == kServing ? aTailLatencyMs : reported.m_usage;
    }
  }

  void SubmitBestEffort() { m_scheduler.Submit(2, MakeJob(kBestEffort, false), m_now, 0); }

  void Advance()
  {
    m_now += milliseconds(10);
    for (RunningAttempt& reported : m_running) {
      reported.m_percent = static_cast<int>((m_now - m_startedAt) / kPerPercent); // not a straggler
    }
    m_scheduler.Tick(m_now, ToMillis(m_now.time_since_epoch()));
    for (const Action& action : m_scheduler.TakeActions()) {
      Execute(action);
    }
  }

  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      const bool bestEffort = start->m_task.m_job == kBestEffort;
      m_bestEffortStarts += bestEffort ? 1 : 0;
      m_running.push_back(
        { start->m_task, start->m_attempt, "", 0, bestEffort ? 2000 : m_tailLatencyMs });
      m_scheduler.OnStartResult(
        "w", start->m_task, start->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      m_pollWait = poll->m_wait;
      WorkerStatus status;
      status.m_clockMs = ToMillis(m_now.time_since_epoch());
      status.m_running = m_running;
      m_scheduler.OnPollResponse("w", poll->m_number, status, m_now);
    } else if (const ThrottleTask* throttle = std::get_if<ThrottleTask>(&aAction)) {
      m_halted = m_halted || throttle->m_percent == 0;
      m_throttlePercent = throttle->m_percent;
    }
  }

  static constexpr GraphId kServing = 1;
  static constexpr GraphId kBestEffort = 2;
  static constexpr Duration kPerPercent = milliseconds(200);

  int64_t m_tailLatencyMs; ///< Of the serving task.
  Instant m_now{ std::chrono::hours(1) };
  const Instant m_startedAt = m_now;
  Scheduler m_scheduler;
  std::vector<RunningAttempt> m_running;
  int m_bestEffortStarts = 0;
  bool m_halted = false;
  int m_throttlePercent = 100; ///< As last sent.
  Duration m_pollWait{};       ///< Of the last poll.
};

} // namespace

/// Returns how long the serving task of \p aWorker is above its target until the best-effort task
/// is halted.
static Duration
TimeUntilHalted(OneWorker& aWorker)
{
  aWorker.SubmitServing();
  aWorker.SubmitBestEffort(); // both start before a tail latency is reported
  for (int i = 0; i < 100 && aWorker.m_running.size() < 2; ++i) {
    aWorker.Advance();
  }
  REQUIRE(aWorker.m_running.size() == 2);
  const Instant overTargetSince = aWorker.m_now;
  for (int i = 0; i < 1000 && !aWorker.m_halted; ++i) {
    aWorker.Advance();
  }
  REQUIRE(aWorker.m_halted);
  return aWorker.m_now - overTargetSince;
}

// The users' bound, less the time that a tail latency takes to fall.
static constexpr Duration kHaltBound = std::chrono::seconds(4) - std::chrono::seconds(1);

TEST_CASE("a serving task above its target halts its best-effort neighbors within the bound")
{
  OneWorker worker(40);
  CHECK(TimeUntilHalted(worker) < kHaltBound);
}

TEST_CASE("a serving task above its target halts even neighbors that were learned to be harmless")
{
  OneWorker worker(40);
  StoredModels learned;
  learned.m_interference.m_pairs.push_back({ "serving", "filling", 0.0, 0.001 });
  worker.m_scheduler.RestoreModels(learned);
  CHECK(TimeUntilHalted(worker) < kHaltBound);
}

// Guards against a halt that only a reported tail latency ends, when the task no longer reports
// any.
TEST_CASE("a halted task resumes once the serving task has reported no tail latency for a while")
{
  OneWorker worker(40);
  TimeUntilHalted(worker);
  worker.SetTailLatency(0);
  for (int i = 0; i < 500; ++i) {
    worker.Advance();
  }
  CHECK(worker.m_throttlePercent > 0);
}

TEST_CASE("no best-effort task starts beside a serving task that is near its target")
{
  OneWorker worker(16);
  worker.SubmitServing();
  for (int i = 0; i < 50; ++i) {
    worker.Advance();
  }
  REQUIRE(worker.m_running.size() == 1);
  worker.SubmitBestEffort();
  for (int i = 0; i < 50; ++i) {
    worker.Advance();
  }
  CHECK(worker.m_bestEffortStarts == 0);
}

// Guards against a serving task that reports no tail latency yet and whose load is about to rise.
TEST_CASE("a serving task that starts beside interfering tasks throttles them at once")
{
  OneWorker worker(0);
  StoredModels learned;
  learned.m_interference.m_pairs.push_back({ "serving", "filling", 3.0, 0.001 });
  worker.m_scheduler.RestoreModels(learned);
  worker.SubmitBestEffort();
  for (int i = 0; i < 100 && worker.m_running.empty(); ++i) {
    worker.Advance();
  }
  REQUIRE(worker.m_running.size() == 1);
  worker.SubmitServing();
  for (int i = 0; i < 100 && worker.m_running.size() < 2; ++i) {
    worker.Advance();
  }
  REQUIRE(worker.m_running.size() == 2);
  CHECK(worker.m_throttlePercent < 100);
}

// Guards against throttling that begins only where the next report may be above the target.
TEST_CASE("best-effort tasks are throttled before a varying tail latency misses its target")
{
  OneWorker worker(15); // target: 18 ms
  worker.SubmitServing();
  worker.SubmitBestEffort();
  for (int i = 0; i < 200; ++i) {
    worker.Advance();
  }
  REQUIRE(worker.m_running.size() == 2);
  CHECK(worker.m_throttlePercent < 100);
}

// Guards against a best-effort task that starts during a long poll and goes unseen until it ends.
TEST_CASE("a worker with serving tasks is polled often before best-effort tasks start there")
{
  OneWorker worker(5);
  worker.SubmitServing();
  for (int i = 0; i < 100; ++i) {
    worker.Advance();
  }
  REQUIRE(worker.m_running.size() == 1);
  CHECK(worker.m_pollWait > Duration::zero());
  CHECK(worker.m_pollWait <= milliseconds(500));
}
