// Tests which jobs count as pending: those of which no task is known to have begun.
#include "SingleScheduler.h"

#include "egretturn/Journal/Codec.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A leader with one worker, "w", that responds to starts as it is told.
class PendingWorld
{
public:
  PendingWorld()
    : m_scheduler(SchedulerLimits(), 2, m_now)
  {
    m_scheduler.RestoreWorker(MakeReport("w"), m_now);
    m_scheduler.UpdateWorker(MakeReport("w"), m_now);
    m_scheduler.OnDirectoryRead();
  }

  static GraphStep MakeStep(uint32_t aTasks)
  {
    GraphStep step;
    step.m_count = aTasks;
    step.m_demand = { 1000, 500, 0 };
    step.m_estimateMs = 60000;
    step.m_checkpoints = true; // so that a draining worker is told to stop it
    return step;
  }

  void Submit(uint32_t aTasks = 1)
  {
    m_scheduler.Submit(1, MakeSubmission(kJob, MakeStep(aTasks)), m_now, WallMs());
  }

  /// Submits a job of one task, whose start is sent and not answered.
  void SubmitUnanswered()
  {
    Submit();
    Advance(milliseconds(100));
    REQUIRE(m_starts == 1);
  }

  void Restore() { m_scheduler.RestoreJob(MakeStoredJob(kJob, MakeStep(1)), m_now, WallMs()); }

  void Advance(Duration aTime)
  {
    RunScheduler(m_scheduler, m_now, aTime, [this](const Action& aAction) { Execute(aAction); });
  }

  /// Answers the last start with \p aResult.
  void AnswerLast(WorkerCallResult aResult)
  {
    m_scheduler.OnStartResult("w", m_lastStart.m_task, m_lastStart.m_attempt, aResult, m_now);
  }

  uint64_t CountPending() { return m_scheduler.CountPending("route"); }

  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler;
  std::optional<WorkerCallResult> m_startResult; ///< Of each start; none: no answer.
  bool m_silent = false;                         ///< Polls get no response.
  std::vector<RunningAttempt> m_running;
  std::vector<EndedAttempt> m_ended;
  size_t m_starts = 0;
  StartTask m_lastStart;
  Instant m_acceptedAt;               ///< When the last start was accepted.
  std::vector<KeyedRecord> m_records; ///< All that were appended.

private:
  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_records.insert(m_records.end(), append->m_records.begin(), append->m_records.end());
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      ++m_starts;
      m_lastStart = *start;
      if (m_startResult == WorkerCallResult::Accepted) {
        m_running.push_back({ start->m_task, start->m_attempt, "", 0, 0 });
        m_acceptedAt = m_now;
      }
      if (m_startResult) {
        AnswerLast(*m_startResult);
      }
    } else if (const StopTask* stop = std::get_if<StopTask>(&aAction)) {
      m_scheduler.OnStopResult(
        "w", stop->m_task, stop->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      Poll(*poll);
    }
  }

  void Poll(const PollWorker& aPoll)
  {
    if (m_silent) {
      m_scheduler.OnPollFailed("w", aPoll.m_number, WorkerCallResult::NoResponse, m_now);
      return;
    }
    for (RunningAttempt& reported : m_running) { // it gets ahead, so nothing moves it
      reported.m_percent = static_cast<int>((m_now - m_acceptedAt) / milliseconds(600));
    }
    WorkerStatus status;
    status.m_clockMs = WallMs();
    status.m_running = m_running;
    status.m_ended = m_ended;
    m_scheduler.OnPollResponse("w", aPoll.m_number, status, m_now);
  }

  int64_t WallMs() const { return ToMillis(m_now.time_since_epoch()); }
};

} // namespace

// Guards against jobs that are said to have begun although a worker has refused all their starts.
TEST_CASE("a job whose starts were all refused counts as pending")
{
  const WorkerCallResult refusal = GENERATE(WorkerCallResult::Superseded,
                                            WorkerCallResult::LeaseExpired,
                                            WorkerCallResult::NoCapacity,
                                            WorkerCallResult::InvalidTicket,
                                            WorkerCallResult::Rejected,
                                            WorkerCallResult::Unhealthy,
                                            WorkerCallResult::IncarnationMismatch,
                                            WorkerCallResult::NotSent);
  CAPTURE(NameOf(refusal));
  PendingWorld world;
  world.m_startResult = refusal;
  world.Submit();
  world.Advance(seconds(6));
  REQUIRE(world.m_starts > 1);
  CHECK(world.CountPending() == 1);
  CHECK(world.m_scheduler.StateOf(kJob) == JobState::Queued);
  world.m_startResult = WorkerCallResult::Accepted;
  world.Advance(seconds(20)); // the worker is avoided for a while
  REQUIRE(world.m_running.size() == 1);
  CHECK(world.CountPending() == 0);
  CHECK(world.m_scheduler.StateOf(kJob) == JobState::Running);
}

// Guards against jobs that are said to have begun although no worker has said so (rule MIXED).
TEST_CASE(
  "a job whose starts got no response counts as pending until a task is known to have begun")
{
  const WorkerCallResult unknown =
    GENERATE(WorkerCallResult::NoResponse, WorkerCallResult::LinkLost);
  CAPTURE(NameOf(unknown));
  PendingWorld world;
  world.m_startResult = unknown;
  world.Submit();
  world.Advance(milliseconds(500));
  REQUIRE(world.m_starts >= 1);
  CHECK(world.CountPending() == 1);
  CHECK(world.m_scheduler.StateOf(kJob) == JobState::Queued);
  world.m_startResult = WorkerCallResult::Unhealthy;
  world.Advance(seconds(10));
  REQUIRE(world.m_starts > 1);
  CHECK(world.CountPending() == 1);
  world.m_startResult = WorkerCallResult::Accepted;
  world.Advance(seconds(20)); // the worker is avoided for a while
  REQUIRE(world.m_running.size() == 1);
  CHECK(world.CountPending() == 0);
  CHECK(world.m_scheduler.StateOf(kJob) == JobState::Running);
}

// Guards against a job that counts as pending although the start without a response was executed.
TEST_CASE("a job counts as begun once a worker lists the task whose start got no response")
{
  PendingWorld world;
  world.SubmitUnanswered();
  world.AnswerLast(WorkerCallResult::NoResponse);
  CHECK(world.CountPending() == 1);
  world.m_running.push_back({ world.m_lastStart.m_task, world.m_lastStart.m_attempt, "", 10, 0 });
  world.Advance(milliseconds(500));
  CHECK(world.CountPending() == 0);
  CHECK(world.m_scheduler.StateOf(kJob) == JobState::Running);
}

// Guards against a job that counts as pending although its task runs while it is being stopped.
TEST_CASE("a job counts as begun if its start is accepted or listed after the order to stop it")
{
  const bool answered = GENERATE(true, false);
  CAPTURE(answered);
  PendingWorld world;
  world.SubmitUnanswered();
  WorkerReport draining = MakeReport("w");
  draining.m_draining = true;
  world.m_scheduler.UpdateWorker(draining, world.m_now);
  if (answered) {
    world.AnswerLast(WorkerCallResult::Accepted);
  } else {
    world.m_running.push_back({ world.m_lastStart.m_task, world.m_lastStart.m_attempt, "", 10, 0 });
    world.Advance(seconds(2));
  }
  CHECK(world.CountPending() == 0);
}

// Guards against a job that counts as pending because another of its tasks was refused.
TEST_CASE("a job of which one task runs is not pending, whatever happens to the other starts")
{
  PendingWorld world;
  world.m_startResult = WorkerCallResult::Accepted;
  world.Submit(40); // more than fit
  world.Advance(milliseconds(500));
  REQUIRE(world.m_running.size() == 16);
  world.m_startResult = WorkerCallResult::Unhealthy;
  world.m_ended.push_back(
    { 1, world.m_running.back().m_task, world.m_running.back().m_attempt, AttemptEnd::Done, "" });
  world.m_running.pop_back();
  world.Advance(seconds(3));
  REQUIRE(world.m_starts > 16);
  CHECK(world.CountPending() == 0);
}

// Guards against a task that runs while its job is shown as pending, since the answer is late.
TEST_CASE("a job counts as begun once a worker lists its task, before the start is answered")
{
  PendingWorld world;
  world.SubmitUnanswered();
  world.m_running.push_back({ world.m_lastStart.m_task, world.m_lastStart.m_attempt, "", 10, 0 });
  world.Advance(seconds(2));
  CHECK(world.CountPending() == 0);
  CHECK(world.m_scheduler.StateOf(kJob) == JobState::Running);
}

// Guards against a job that counts as pending after its only run has failed.
TEST_CASE("a job counts as begun once a worker lists an end of its task")
{
  PendingWorld world;
  world.Restore();
  world.m_ended.push_back({ 1, kFirstTask, 1, AttemptEnd::Failed, "" });
  world.Advance(seconds(2));
  CHECK(world.CountPending() == 0);
}

// Guards against a new leader that shows jobs as pending whose tasks it has found running.
TEST_CASE("a job counts as begun once a new leader adopts its task")
{
  PendingWorld world;
  world.Restore();
  CHECK(world.CountPending() == 1);
  world.m_running.push_back({ kFirstTask, 1, "", 10, 0 });
  world.Advance(seconds(2));
  CHECK(world.CountPending() == 0);
}

// Guards against a new leader that forgets that a job has begun.
TEST_CASE("a job that had begun by its stored progress is not pending after a refused start")
{
  PendingWorld world;
  world.Restore();
  StoredProgress progress;
  progress.m_state = JobState::Running;
  world.m_scheduler.RestoreProgress(kJob, progress);
  world.m_startResult = WorkerCallResult::Unhealthy;
  world.Advance(seconds(2));
  REQUIRE(world.m_starts >= 1);
  CHECK(world.CountPending() == 0);
}

// Guards against a job that counts as begun because its refusal arrived after the order to stop.
TEST_CASE("a job whose start is refused after it was to be stopped counts as pending")
{
  PendingWorld world;
  world.SubmitUnanswered();
  WorkerReport draining = MakeReport("w");
  draining.m_draining = true;
  world.m_scheduler.UpdateWorker(draining, world.m_now);
  world.AnswerLast(WorkerCallResult::Unhealthy);
  world.Advance(seconds(3));
  CHECK(world.CountPending() == 1);
}

// Guards against jobs that are said to have begun because their starts went to a worker that was
// lost with them (rule MIXED).
TEST_CASE("a job whose start was given up with the worker's lease counts as pending")
{
  const bool answered = GENERATE(false, true);
  CAPTURE(answered);
  PendingWorld world;
  world.SubmitUnanswered();
  world.m_silent = true;
  if (answered) {
    world.AnswerLast(WorkerCallResult::NoResponse);
  }
  world.Advance(seconds(10));
  CHECK(world.CountPending() == 1);
  CHECK(world.m_scheduler.StateOf(kJob) == JobState::Queued);
}

// Guards against a new leader that takes a start which its predecessor gave up for a begun task.
TEST_CASE("a start that was given up leaves no progress by which its job has begun")
{
  PendingWorld world;
  world.SubmitUnanswered();
  world.AnswerLast(WorkerCallResult::NoResponse);
  world.m_silent = true;
  world.Advance(seconds(10));
  world.m_silent = false;
  world.m_startResult = WorkerCallResult::Unhealthy;
  world.Advance(seconds(10)); // the next start needs a confirmation, which writes the progress
  size_t written = 0;
  for (const KeyedRecord& record : world.m_records) {
    GraphId id = 0;
    StoredProgress progress;
    if (ClassifyKey(record.m_key, id) == RecordKind::Progress) {
      REQUIRE(UnpackCompact(record.m_value, progress));
      CHECK(progress.m_state == JobState::Queued);
      ++written;
    }
  }
  CHECK(written > 0);
}
