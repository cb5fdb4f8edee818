// Tests what a new leader restores, and what it has to wait for.
#include "egretturn/Scheduler/Scheduler.h"

#include <catch2/catch.hpp>
#include <map>

using namespace egretturn;
using std::chrono::milliseconds;

static WorkerReport
MakeReport(const WorkerName& aName)
{
  WorkerReport report;
  report.m_id = aName;
  report.m_service = "desk";
  report.m_address = "10.0.0.1:80";
  report.m_capacity = { 16000, 64000, 0 };
  return report;
}

/// Advances time by \p aTime with workers that respond immediately and run nothing. Returns the
/// written records.
static std::vector<KeyedRecord>
Advance(Scheduler& aScheduler, Instant& aNow, Duration aTime)
{
  std::vector<KeyedRecord> written;
  for (const Instant end = aNow + aTime; aNow < end; aNow += milliseconds(20)) {
    aScheduler.Tick(aNow, ToMillis(aNow.time_since_epoch()));
    for (const Action& action : aScheduler.TakeActions()) {
      if (const AppendRecords* append = std::get_if<AppendRecords>(&action)) {
        written.insert(written.end(), append->m_records.begin(), append->m_records.end());
        aScheduler.OnAppended(append->m_batch, aNow);
      } else if (const PollWorker* poll = std::get_if<PollWorker>(&action)) {
        aScheduler.OnPollResponse(poll->m_worker, poll->m_number, WorkerStatus(), aNow);
      }
    }
  }
  return written;
}

TEST_CASE("an idle worker that has left is removed immediately, so that no new leader waits for it")
{
  Instant now(std::chrono::hours(1));
  Scheduler scheduler(SchedulerLimits(), 1, now);
  scheduler.UpdateWorker(MakeReport("w"), now);
  scheduler.OnDirectoryRead();
  Advance(scheduler, now, milliseconds(500));
  scheduler.DeregisterWorker("w", now);
  const std::vector<KeyedRecord> written = Advance(scheduler, now, milliseconds(500));
  REQUIRE(written.size() == 1);
  CHECK(written[0].m_key == WorkerKey("w"));
  CHECK(written[0].m_value.empty());
}

TEST_CASE("a task that an earlier epoch halted is resumed gradually")
{
  Instant now(std::chrono::hours(1));
  Scheduler scheduler(SchedulerLimits(), 2, now);
  StoredJob stored;
  stored.m_id = 7;
  stored.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
  GraphStep step;
  step.m_demand = { 2000, 1000, 0 };
  step.m_estimateMs = 60000;
  step.m_image = "filling";
  step.m_bestEffort = true;
  stored.m_graph.m_steps.push_back(step);
  scheduler.RestoreJob(stored, now, 0);
  scheduler.RestoreWorker(MakeReport("w"), now);
  scheduler.UpdateWorker(MakeReport("w"), now);
  scheduler.OnDirectoryRead();

  WorkerStatus status;
  status.m_running.push_back({ { 7, 0, 0, 0 }, 1, "", 40, 0 }); // it uses no processor time
  std::vector<int> throttles;
  for (int i = 0; i < 300; ++i, now += milliseconds(20)) {
    scheduler.Tick(now, ToMillis(now.time_since_epoch()));
    for (const Action& action : scheduler.TakeActions()) {
      if (const PollWorker* poll = std::get_if<PollWorker>(&action)) {
        scheduler.OnPollResponse("w", poll->m_number, status, now);
      } else if (const ThrottleTask* throttle = std::get_if<ThrottleTask>(&action)) {
        throttles.push_back(throttle->m_percent);
      }
    }
  }
  REQUIRE_FALSE(throttles.empty());
  CHECK(throttles.front() < 50); // interference must show before the task runs at full speed
  CHECK(throttles.back() == 100);
}

// Guards against a long-running task that stays on a draining worker, and is not restarted when the
// worker has left, because the worker began to drain before the new leader knew what runs there.
TEST_CASE("a new leader moves the tasks that it finds on a draining worker")
{
  Instant now(std::chrono::hours(1));
  Scheduler scheduler(SchedulerLimits(), 2, now);
  StoredJob stored;
  stored.m_id = 7;
  stored.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
  GraphStep step;
  step.m_demand = { 2000, 1000, 0 };
  step.m_longRunning = true;
  stored.m_graph.m_steps.push_back(step);
  scheduler.RestoreJob(stored, now, 0);
  scheduler.RestoreWorker(MakeReport("w"), now);
  WorkerReport draining = MakeReport("w");
  draining.m_draining = true;
  scheduler.UpdateWorker(draining, now);
  scheduler.OnDirectoryRead();

  WorkerStatus status;
  status.m_running.push_back({ { 7, 0, 0, 0 }, 1, "", 40, 0 });
  size_t stops = 0;
  for (int i = 0; i < 25; ++i, now += milliseconds(20)) {
    scheduler.Tick(now, ToMillis(now.time_since_epoch()));
    for (const Action& action : scheduler.TakeActions()) {
      if (const PollWorker* poll = std::get_if<PollWorker>(&action)) {
        scheduler.OnPollResponse("w", poll->m_number, status, now);
      } else if (const StopTask* stop = std::get_if<StopTask>(&action)) {
        CHECK(stop->m_task == TaskRef{ 7, 0, 0, 0 });
        scheduler.OnStopResult("w", stop->m_task, stop->m_attempt, WorkerCallResult::Accepted, now);
        ++stops;
      }
    }
  }
  CHECK(stops == 1);
}

namespace {

/// A store that keeps the newest record of each key, and whose confirmations can be delayed.
class SlowStore
{
public:
  explicit SlowStore(Scheduler& aScheduler)
    : m_scheduler(aScheduler)
  {
  }

  /// Advances time by \p aTime with workers that respond immediately. Appends are confirmed unless
  /// \p aHeld.
  void Advance(Instant& aNow, Duration aTime, bool aHeld)
  {
    for (const Instant end = aNow + aTime; aNow < end; aNow += milliseconds(20)) {
      m_scheduler.Tick(aNow, ToMillis(aNow.time_since_epoch()));
      for (const Action& action : m_scheduler.TakeActions()) {
        if (const AppendRecords* append = std::get_if<AppendRecords>(&action)) {
          m_appended = *append;
        } else if (const PollWorker* poll = std::get_if<PollWorker>(&action)) {
          m_scheduler.OnPollResponse(poll->m_worker, poll->m_number, WorkerStatus(), aNow);
        }
      }
      if (m_appended && !aHeld) {
        for (const KeyedRecord& record : m_appended->m_records) {
          m_records[record.m_key] = record.m_value;
        }
        m_scheduler.OnAppended(m_appended->m_batch, aNow);
        m_appended.reset();
      }
    }
  }

  std::map<std::string, std::string> m_records;

private:
  Scheduler& m_scheduler;
  std::optional<AppendRecords> m_appended;
};

} // namespace

static Submission
MakeSubmission(GraphId aId)
{
  Submission submission;
  submission.m_id = aId;
  submission.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
  submission.m_graph.m_steps.emplace_back();
  return submission;
}

// Guards against a live worker without a record, which a new leader would not poll.
TEST_CASE("a worker that leaves and registers again while the store is slow keeps its record")
{
  Instant now(std::chrono::hours(1));
  Scheduler scheduler(SchedulerLimits(), 1, now);
  SlowStore store(scheduler);
  scheduler.UpdateWorker(MakeReport("w"), now);
  scheduler.OnDirectoryRead();
  store.Advance(now, milliseconds(500), false);
  scheduler.Submit(1, MakeSubmission(7), now, ToMillis(now.time_since_epoch()));
  store.Advance(now, milliseconds(200), true);
  scheduler.DeregisterWorker("w", now);
  store.Advance(now, milliseconds(300), true);
  scheduler.UpdateWorker(MakeReport("w"), now);
  store.Advance(now, milliseconds(500), false);
  CHECK_FALSE(store.m_records[WorkerKey("w")].empty());
}

// Guards against an accepted job whose record is deleted with that of an earlier job of the same
// id.
TEST_CASE("a job that is submitted again after its old state was removed keeps its record")
{
  Instant now(std::chrono::hours(1));
  SchedulerLimits limits;
  limits.m_endedJobRetention = std::chrono::seconds(1);
  Scheduler scheduler(limits, 1, now);
  SlowStore store(scheduler);
  scheduler.Submit(1, MakeSubmission(7), now, ToMillis(now.time_since_epoch()));
  store.Advance(now, milliseconds(200), false);
  scheduler.Cancel(2, 7, now, ToMillis(now.time_since_epoch()));
  store.Advance(now, milliseconds(200), false);
  scheduler.Submit(3, MakeSubmission(8), now, ToMillis(now.time_since_epoch()));
  store.Advance(now, milliseconds(1500), true);
  REQUIRE_FALSE(scheduler.StateOf(7));
  scheduler.Submit(4, MakeSubmission(7), now, ToMillis(now.time_since_epoch()));
  store.Advance(now, milliseconds(500), false);
  CHECK(scheduler.StateOf(7));
  CHECK_FALSE(store.m_records[JobKey(7)].empty());
}
