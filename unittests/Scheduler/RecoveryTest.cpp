// Tests what a new leader restores, and what it has to wait for.
#include "SingleScheduler.h"

#include <catch2/catch.hpp>
#include <map>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;

/// Advances time by \p aTime with workers that respond immediately and run nothing. Returns the
/// written records.
static std::vector<KeyedRecord>
Advance(Scheduler& aScheduler, Instant& aNow, Duration aTime)
{
  std::vector<KeyedRecord> written;
  RunScheduler(aScheduler, aNow, aTime, [&](const Action& aAction) {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      written.insert(written.end(), append->m_records.begin(), append->m_records.end());
      aScheduler.OnAppended(append->m_batch, aNow);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      aScheduler.OnPollResponse(poll->m_worker, poll->m_number, WorkerStatus(), aNow);
    }
  });
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

/// Returns a job with one long-running task, which an earlier epoch has accepted.
static StoredJob
MakeLongRunningJob(GraphId aId)
{
  GraphStep step;
  step.m_demand = { 2000, 1000, 0 };
  step.m_longRunning = true;
  return MakeStoredJob(aId, step);
}

namespace {

/// A new leader with one worker that responds, "w". Polls of all other workers fail.
struct Recovery
{
  Recovery()
    : m_scheduler(SchedulerLimits(), 2, m_now)
  {
    m_scheduler.RestoreJob(MakeLongRunningJob(7), m_now, 0);
    m_scheduler.RestoreWorker(MakeReport("w"), m_now);
  }

  void ReadDirectory()
  {
    m_scheduler.UpdateWorker(MakeReport("w"), m_now);
    m_scheduler.OnDirectoryRead();
  }

  void Advance(Duration aTime)
  {
    RunScheduler(m_scheduler, m_now, aTime, [this](const Action& aAction) { Execute(aAction); });
  }

  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (std::get_if<StartTask>(&aAction)) {
      m_startedAt = m_startedAt.value_or(m_now);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      if (poll->m_worker == "w") {
        m_scheduler.OnPollResponse("w", poll->m_number, WorkerStatus(), m_now);
      } else {
        m_scheduler.OnPollFailed(poll->m_worker, poll->m_number, m_failure, m_now);
      }
    }
  }

  Instant m_now{ std::chrono::hours(1) };
  Instant m_epochStart = m_now;
  Scheduler m_scheduler;
  WorkerCallResult m_failure = WorkerCallResult::NoResponse; ///< Of the other workers' polls.
  std::optional<Instant> m_startedAt;                        ///< When the first task was started.
};

} // namespace

/// The longest lease that an earlier epoch can have granted before its successor's claim.
static constexpr Duration kLongestLease = milliseconds(6123); // on a clock that is 2% slow
/// Until then a new leader may wait for a worker that does not respond: the longest lease, and the
/// time that an earlier leader may need to notice its successor.
static constexpr Duration kMaxRecoveryTime = kLongestLease + milliseconds(2500);

// Guards against two leaders that act on either side of a cut: the leases of a worker that only the
// earlier one reaches were counted from the new one's claim, although the earlier one went on.
TEST_CASE("a new leader counts leases from when earlier leaders are known to stop")
{
  Recovery recovery;
  recovery.m_scheduler.ExpectEarlierLeaders();
  recovery.m_scheduler.RestoreWorker(MakeReport("unreachable"), recovery.m_now);
  recovery.ReadDirectory();
  recovery.Advance(std::chrono::seconds(20));
  CHECK_FALSE(recovery.m_startedAt);

  recovery.m_scheduler.OnEarlierLeadersStopping(recovery.m_now);
  const Instant stoppingAt = recovery.m_now;
  recovery.Advance(kMaxRecoveryTime);
  REQUIRE(recovery.m_startedAt);
  CHECK(*recovery.m_startedAt - stoppingAt >= kLongestLease + LeaseLimits().m_noticeTime);
}

// Guards against tasks that wait forever, since all instances that knew the earlier leader are
// lost.
TEST_CASE("a new leader does not wait for ever for earlier leaders that it cannot reach")
{
  Recovery recovery;
  recovery.m_scheduler.ExpectEarlierLeaders();
  recovery.m_scheduler.RestoreWorker(MakeReport("unreachable"), recovery.m_now);
  recovery.ReadDirectory();
  recovery.Advance(std::chrono::seconds(40));
  CHECK(recovery.m_startedAt);
}

// Guards against tasks that wait for the lease of a worker that is known to be gone.
TEST_CASE("a new leader does not wait for a worker whose address another incarnation has")
{
  Recovery recovery;
  recovery.m_scheduler.RestoreWorker(MakeReport("gone"), recovery.m_now);
  recovery.m_failure = WorkerCallResult::IncarnationMismatch;
  recovery.ReadDirectory();
  recovery.Advance(milliseconds(500));
  CHECK(recovery.m_startedAt);
}

// Guards against a task that runs twice, because a wrong entry names the address of another worker.
TEST_CASE("a new leader waits for a worker that may live at its recorded address")
{
  Recovery recovery;
  recovery.m_scheduler.RestoreWorker(MakeReport("unreachable"), recovery.m_now);
  WorkerReport wrong = MakeReport("unreachable");
  wrong.m_address = "10.0.0.2:80";
  recovery.m_scheduler.UpdateWorker(wrong, recovery.m_now);
  recovery.m_failure = WorkerCallResult::IncarnationMismatch;
  recovery.ReadDirectory();
  recovery.Advance(kLongestLease);
  CHECK_FALSE(recovery.m_startedAt);
}

// Guards against long-running tasks that wait anew in each of several short epochs, although each
// leader is alive when its successor asks it.
TEST_CASE("a recovery that a successor continues does not begin anew")
{
  Recovery first;
  first.m_scheduler.RestoreWorker(MakeReport("unreachable"), first.m_now);
  first.ReadDirectory();
  first.Advance(milliseconds(5000));
  const Placements placements = first.m_scheduler.ListPlacements(first.m_now);
  REQUIRE_FALSE(first.m_startedAt);

  Recovery second;
  second.m_now = first.m_now;
  second.m_scheduler.RestoreWorker(MakeReport("unreachable"), second.m_now);
  second.ReadDirectory();
  second.m_scheduler.RestorePlacements(placements, second.m_now);
  second.Advance(kMaxRecoveryTime);
  REQUIRE(second.m_startedAt);
  const Duration waited = *second.m_startedAt - first.m_epochStart;
  CHECK(waited >= kLongestLease);
  CHECK(waited <= kMaxRecoveryTime);
}

// Guards against a task that runs twice: the leader before the predecessor may call a worker that
// only it can reach for the time to notice after the predecessor's claim, which a predecessor of a
// short epoch does not outlast. RestorePlacements() counts the leases from the list's arrival.
TEST_CASE("a successor waits for the leases of the leader before a predecessor of a short epoch")
{
  Recovery first;
  first.m_scheduler.RestoreWorker(MakeReport("unreachable"), first.m_now);
  first.ReadDirectory();
  first.Advance(milliseconds(200));
  const Placements placements = first.m_scheduler.ListPlacements(first.m_now);
  REQUIRE_FALSE(first.m_startedAt);
  REQUIRE(placements.m_leases.size() == 1);
  CHECK(milliseconds(placements.m_leases[0].m_remainingMs) >=
        LeaseLimits().m_noticeTime + kLongestLease - milliseconds(200));

  Recovery second;
  second.m_now = first.m_now;
  second.m_scheduler.RestoreWorker(MakeReport("unreachable"), second.m_now);
  second.ReadDirectory();
  second.m_scheduler.RestorePlacements(placements, second.m_now);
  second.Advance(kMaxRecoveryTime);
  REQUIRE(second.m_startedAt);
  CHECK(*second.m_startedAt - first.m_epochStart >= LeaseLimits().m_noticeTime + kLongestLease);
}

namespace {

/// The leader of epoch 1 with one task, which runs on "w" until "w" is out of reach.
struct LeaderOfLostWorker
{
  void Advance(Duration aTime, bool aReachable)
  {
    RunScheduler(m_scheduler, m_now, aTime, [this, aReachable](const Action& aAction) {
      Execute(aAction, aReachable);
    });
  }

  void Execute(const Action& aAction, bool aReachable)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      m_status.m_running.push_back({ start->m_task, start->m_attempt, "", 40, 0 });
      m_lastGrantAt = m_now;
      m_scheduler.OnStartResult(
        "w", start->m_task, start->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      m_lastGrantAt = poll->m_leaseEndMs > 0 ? m_now : m_lastGrantAt;
      if (aReachable) {
        m_scheduler.OnPollResponse("w", poll->m_number, m_status, m_now);
      } else {
        m_scheduler.OnPollFailed("w", poll->m_number, WorkerCallResult::NoResponse, m_now);
      }
    }
  }

  Instant m_now{ std::chrono::hours(1) };
  Instant m_lastGrantAt = m_now; ///< When the last call with a lease was sent.
  Scheduler m_scheduler{ SchedulerLimits(), 1, m_now };
  WorkerStatus m_status;
};

} // namespace

// Guards against long-running tasks that wait anew in the next epoch: the predecessor has polled
// the worker, lost it, and knows when its lease is over, but lists only unpolled workers with it.
TEST_CASE("a successor waits for a worker that its predecessor has lost only until its lease ends")
{
  LeaderOfLostWorker first;
  Submission submission;
  submission.m_id = 7;
  submission.m_terms = MakeLongRunningJob(7).m_terms;
  submission.m_graph = MakeLongRunningJob(7).m_graph;
  first.m_scheduler.UpdateWorker(MakeReport("w"), first.m_now);
  first.m_scheduler.OnDirectoryRead();
  first.m_scheduler.Submit(1, submission, first.m_now, ToMillis(first.m_now.time_since_epoch()));
  first.Advance(milliseconds(1000), true);
  REQUIRE(first.m_status.m_running.size() == 1);
  first.Advance(milliseconds(5000), false);
  const Placements placements = first.m_scheduler.ListPlacements(first.m_now);
  REQUIRE(placements.m_tasks.size() == 1);

  Recovery second; // here "w" responds, and is another worker
  second.m_now = first.m_now;
  second.m_scheduler.RestoreWorker(MakeReport("lost"), second.m_now);
  second.ReadDirectory();
  Placements renamed = placements;
  renamed.m_tasks[0].m_worker = "lost";
  for (WorkerLease& unpolled : renamed.m_leases) {
    unpolled.m_worker = "lost";
  }
  second.m_scheduler.RestorePlacements(renamed, second.m_now);
  second.Advance(kMaxRecoveryTime);
  REQUIRE(second.m_startedAt);
  CHECK(*second.m_startedAt - first.m_lastGrantAt >= kLongestLease);
  CHECK(*second.m_startedAt - first.m_lastGrantAt <= kLongestLease + milliseconds(1000));
}

TEST_CASE("a successor does not wait for a worker that its predecessor has polled")
{
  Recovery first;
  first.m_scheduler.RestoreWorker(MakeReport("unreachable"), first.m_now);
  first.ReadDirectory();
  first.Advance(milliseconds(1000));

  Recovery second;
  second.m_now = first.m_now;
  second.m_scheduler.RestoreWorker(MakeReport("w2"), second.m_now);
  second.ReadDirectory();
  second.m_scheduler.RestorePlacements(first.m_scheduler.ListPlacements(first.m_now), second.m_now);
  second.Advance(milliseconds(1000));
  CHECK(second.m_startedAt); // "unreachable" was removed from the store: no task can be there
}

TEST_CASE("tasks that wait for the recovery are counted with the waiting tasks")
{
  Recovery recovery;
  recovery.m_scheduler.RestoreWorker(MakeReport("unreachable"), recovery.m_now);
  recovery.ReadDirectory();
  recovery.Advance(milliseconds(2000));
  CHECK(recovery.m_scheduler.Counters().m_tasksWaiting == 1);
  CHECK(recovery.m_scheduler.Counters().m_tasksRecovering == 1);
  recovery.Advance(kMaxRecoveryTime);
  CHECK(recovery.m_startedAt);
  CHECK(recovery.m_scheduler.Counters().m_tasksRecovering == 0);
}

TEST_CASE("a task is not started while it may run on a worker that does not respond")
{
  Recovery recovery;
  recovery.m_scheduler.RestoreWorker(MakeReport("unreachable"), recovery.m_now);
  recovery.ReadDirectory();
  recovery.Advance(kMaxRecoveryTime);
  REQUIRE(recovery.m_startedAt);
  CHECK(*recovery.m_startedAt - recovery.m_epochStart >= kLongestLease);
}

// Guards against long-running tasks that wait without end after a change of leader, because each
// entry that appears in the directory meanwhile prolongs the wait for all of them.
TEST_CASE("workers that register during the recovery do not prolong it")
{
  Recovery recovery;
  recovery.m_scheduler.RestoreWorker(MakeReport("unreachable"), recovery.m_now);
  recovery.m_failure = WorkerCallResult::IncarnationMismatch;
  recovery.ReadDirectory();
  for (int i = 0; i < 10; ++i) {
    recovery.m_scheduler.UpdateWorker(MakeReport("new" + std::to_string(i)), recovery.m_now);
    recovery.Advance(std::chrono::seconds(2));
  }
  REQUIRE(recovery.m_startedAt);
  CHECK(*recovery.m_startedAt - recovery.m_epochStart <= kMaxRecoveryTime);
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

// Guards against a live worker without a record, which a new leader would not poll.
TEST_CASE("a worker that leaves and registers again while the store is slow keeps its record")
{
  Instant now(std::chrono::hours(1));
  Scheduler scheduler(SchedulerLimits(), 1, now);
  SlowStore store(scheduler);
  scheduler.UpdateWorker(MakeReport("w"), now);
  scheduler.OnDirectoryRead();
  store.Advance(now, milliseconds(500), false);
  scheduler.Submit(1, MakeSubmission(7, GraphStep()), now, ToMillis(now.time_since_epoch()));
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
  scheduler.Submit(1, MakeSubmission(7, GraphStep()), now, ToMillis(now.time_since_epoch()));
  store.Advance(now, milliseconds(200), false);
  scheduler.Cancel(2, 7, now, ToMillis(now.time_since_epoch()));
  store.Advance(now, milliseconds(200), false);
  scheduler.Submit(3, MakeSubmission(8, GraphStep()), now, ToMillis(now.time_since_epoch()));
  store.Advance(now, milliseconds(1500), true);
  REQUIRE_FALSE(scheduler.StateOf(7));
  scheduler.Submit(4, MakeSubmission(7, GraphStep()), now, ToMillis(now.time_since_epoch()));
  store.Advance(now, milliseconds(500), false);
  CHECK(scheduler.StateOf(7));
  CHECK_FALSE(store.m_records[JobKey(7)].empty());
}

// Guards against a task that runs twice: its lease has expired by the account of a leader that was
// superseded before that, whose successor is superseded as well, and asked it for its tasks.
TEST_CASE("a task that a superseded predecessor has given up starts only after a confirmation")
{
  LeaderOfLostWorker first;
  first.m_scheduler.OnDirectoryRead();
  first.m_scheduler.UpdateWorker(MakeReport("w"), first.m_now);
  first.m_scheduler.Submit(1,
                           { 7, MakeLongRunningJob(7).m_terms, MakeLongRunningJob(7).m_graph },
                           first.m_now,
                           ToMillis(first.m_now.time_since_epoch()));
  first.Advance(std::chrono::seconds(2), true);
  REQUIRE(first.m_scheduler.ListPlacements(first.m_now).m_tasks.size() == 1);
  const Instant lostAt = first.m_now;
  first.Advance(milliseconds(5800), false);
  REQUIRE(first.m_scheduler.ListPlacements(first.m_now).m_tasks.size() == 1);

  // The successor claims; a third leader may claim at any time after that.
  Scheduler second(SchedulerLimits(), 2, first.m_now);
  StoredJob job = MakeLongRunningJob(7);
  second.RestoreJob(job, first.m_now, 0);
  second.RestoreWorker(MakeReport("w"), first.m_now);
  second.RestoreWorker(MakeReport("b"), first.m_now);
  second.UpdateWorker(MakeReport("w"), first.m_now);
  second.UpdateWorker(MakeReport("b"), first.m_now);
  second.OnDirectoryRead();
  const Instant claimedAt = first.m_now;
  while (!first.m_scheduler.ListPlacements(first.m_now).m_tasks.empty()) {
    first.Advance(milliseconds(20), false);
  }
  INFO("given up " << ToMillis(first.m_now - claimedAt) << " ms after the claim, "
                   << ToMillis(first.m_now - lostAt) << " ms after contact was lost");
  REQUIRE(first.m_now - claimedAt < milliseconds(1000));
  second.RestorePlacements(first.m_scheduler.ListPlacements(first.m_now), first.m_now);
  size_t starts = 0;
  for (Instant now = first.m_now; now < claimedAt + milliseconds(1000); now += milliseconds(20)) {
    second.Tick(now, ToMillis(now.time_since_epoch()));
    for (const Action& action : second.TakeActions()) { // the store confirms nothing
      if (const PollWorker* poll = std::get_if<PollWorker>(&action)) {
        if (poll->m_worker == "b") {
          second.OnPollResponse("b", poll->m_number, WorkerStatus(), now);
        } else {
          second.OnPollFailed("w", poll->m_number, WorkerCallResult::NoResponse, now);
        }
      }
      starts += std::holds_alternative<StartTask>(action) ? 1 : 0;
    }
  }
  CHECK(starts == 0);
}
