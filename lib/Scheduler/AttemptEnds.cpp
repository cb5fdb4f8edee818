// What workers report: ends, runs that go on, and runs that have vanished.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kLookRetry = std::chrono::milliseconds(200);
static constexpr Duration kLongestLookRetry = std::chrono::milliseconds(1000);
static constexpr Duration kLongestIdleLookRetry = std::chrono::milliseconds(2000); // without runs
static constexpr Duration kUndurableLook = std::chrono::milliseconds(400);
static constexpr int kUnpacedUse = 60;    // percent of its demand that a task uses at least
static constexpr uint32_t kBadStreak = 3; // failures in a row after which a worker is avoided
static constexpr Duration kStreakGap = std::chrono::seconds(10); // without a failure, it is over
static constexpr Duration kFirstAvoidance = std::chrono::seconds(1);
static constexpr uint32_t kLongestAvoidance = 3; // doublings of the first one

void
Scheduler::LogRun(const char* aEvent,
                  const Worker& aWorker,
                  const TaskRef& aTask,
                  AttemptNumber aRun,
                  std::string_view aCause)
{
  if (LogEnabled(LogLevel::Info)) {
    Log(LogLine(LogLevel::Info, aEvent)
          .Add("job", FormatGraphId(aTask.m_job))
          .Add("task", FormatTaskRef(aTask))
          .Add("run", aRun)
          .Add("worker", aWorker.m_report.m_id)
          .Add("cause", aCause));
  }
}

void
Scheduler::NoteFailure(Worker& aWorker, Instant aSince, Instant aNow)
{
  if (aSince >= std::max(aWorker.m_lastBadAt, aWorker.m_avoidUntil) + kStreakGap) {
    aWorker.m_badStreak = 0;
  }
  aWorker.m_lastBadAt = aNow;
  ++aWorker.m_badStreak;
  if (aWorker.m_badStreak < kBadStreak) {
    return;
  }
  const uint32_t doublings = std::min(aWorker.m_badStreak - kBadStreak, kLongestAvoidance);
  aWorker.m_avoidUntil = aNow + kFirstAvoidance * (1 << doublings);
  Log(LogLine(LogLevel::Warning, "worker_avoided")
        .Add("worker", aWorker.m_report.m_id)
        .Add("failures", aWorker.m_badStreak)
        .Add("for_ms", ToMillis(aWorker.m_avoidUntil - aNow)));
}

/// Takes the run off the task. Returns the step's record if the task now waits.
static void
DetachRun(Job& aJob,
          const TaskRef& aRef,
          TaskRecord& aTask,
          const Worker& aWorker,
          AttemptNumber aRun,
          Instant aNow)
{
  const auto it =
    std::find_if(aTask.m_attempts.begin(), aTask.m_attempts.end(), [&](const LiveRun& aLive) {
      return aLive.m_worker == &aWorker && aLive.m_attempt == aRun;
    });
  if (it == aTask.m_attempts.end()) {
    return;
  }
  aTask.m_attempts.erase(it);
  --aJob.m_liveRuns;
  aJob.m_activeAt = aNow;
  if (aTask.m_attempts.empty() && !aTask.m_done) {
    ++JobBook::FindOccurrence(aJob, aRef.m_occurrence)->m_steps[aRef.m_step].m_waiting;
  }
}

void
Scheduler::EndJob(Job& aJob, JobState aState, Instant aNow)
{
  aJob.m_state = aState;
  aJob.m_endedMs = m_wallMs;
  StopAllRuns(aJob, aNow);
  aJob.m_occurrences.clear();
  m_waitingJobs.erase(aJob.m_stored.m_id);
  MarkDirty(aJob);
  m_urgent = true;
  Log(LogLine(LogLevel::Info, "job_ended")
        .Add("job", FormatGraphId(aJob.m_stored.m_id))
        .Add("state", NameOf(aState))
        .Add("route", aJob.m_stored.m_terms.m_route)
        .Add("age_ms", ToMillis(aNow - aJob.m_submittedAt))
        .Add("objective_ms", ToMillis(aJob.m_objective))
        .Add("core_seconds", aJob.TotalWork()));
}

void
Scheduler::ApplyDone(Job& aJob, TaskRecord& aTask, const TaskRef& aRef, Instant aNow)
{
  OccurrenceRecord& occurrence = *JobBook::FindOccurrence(aJob, aRef.m_occurrence);
  StepRecord& step = occurrence.m_steps[aRef.m_step];
  if (aTask.m_attempts.empty()) {
    --step.m_waiting;
  }
  aTask.m_done = true;
  aTask.m_checkpoint.clear();
  for (const LiveRun& other : aTask.m_attempts) {
    StopRun(*other.m_worker, aRef, aNow);
  }
  ++step.m_done;
  m_placeNeeded = true;
  MarkDirty(aJob);
  const bool complete =
    std::all_of(occurrence.m_steps.begin(), occurrence.m_steps.end(), [](const StepRecord& aStep) {
      return aStep.m_done == aStep.m_tasks.size();
    });
  if (!complete) {
    return;
  }
  occurrence.m_complete = true;
  occurrence.m_steps.clear();
  m_urgent = true;
  if (!aJob.HasOpenOccurrences()) {
    EndJob(aJob, JobState::Done, aNow);
  }
}

void
Scheduler::ApplyFailed(Job& aJob,
                       TaskRecord& aTask,
                       const TaskRef& aRef,
                       AttemptNumber aRun,
                       Worker& aWorker,
                       Instant aNow)
{
  aTask.m_avoid = &aWorker;
  if (aJob.m_stored.m_graph.m_steps[aRef.m_step].m_longRunning) {
    return;
  }
  std::vector<AttemptNumber>& failed = aTask.m_failedRuns;
  if (std::find(failed.begin(), failed.end(), aRun) == failed.end()) {
    failed.push_back(aRun);
    MarkDirty(aJob);
  }
  if (failed.size() >= aJob.m_stored.m_terms.m_maxAttempts) {
    EndJob(aJob, JobState::Failed, aNow);
  }
}

void
Scheduler::ApplyEnd(Job& aJob,
                    TaskRecord& aTask,
                    const EndedAttempt& aRow,
                    Worker& aWorker,
                    Instant aNow)
{
  const bool lasting = aJob.m_stored.m_graph.m_steps[aRow.m_task.m_step].m_longRunning;
  DetachRun(aJob, aRow.m_task, aTask, aWorker, aRow.m_attempt, aNow);
  m_waitingJobs.insert(aJob.m_stored.m_id);
  m_placeNeeded = true;
  if (!aRow.m_checkpoint.empty() && !aTask.m_done) {
    aTask.m_checkpoint = aRow.m_checkpoint;
    MarkDirty(aJob);
  }
  if (aRow.m_end == AttemptEnd::Done && !aTask.m_done && !lasting) {
    ApplyDone(aJob, aTask, aRow.m_task, aNow);
  } else if (aRow.m_end == AttemptEnd::Failed && !aTask.m_done) {
    ApplyFailed(aJob, aTask, aRow.m_task, aRow.m_attempt, aWorker, aNow);
  }
}

void
Scheduler::NoteDuration(const TaskRef& aTask, Duration aTook)
{
  Job* job = m_book.Find(aTask.m_job);
  if (!job || aTask.m_step >= job->m_stepMs.size()) {
    return;
  }
  const GraphStep& step = job->m_stored.m_graph.m_steps[aTask.m_step];
  const std::chrono::milliseconds expected(job->m_stepMs[aTask.m_step]); // before this run
  m_typicalPace.Note(SlownessOf(RunProgress{ aTook, expected, 100 }));
  m_durations.Learn(job->m_stored.m_terms.m_route, step.m_estimateMs, aTook);
  job->NoteDuration(aTask.m_step, ToMillis(aTook));
}

void
Scheduler::HandleEnd(Worker& aWorker, const EndedAttempt& aRow, Instant aNow)
{
  LogRun("run_ended", aWorker, aRow.m_task, aRow.m_attempt, NameOf(aRow.m_end));
  const auto it = aWorker.m_attempts.find(aRow.m_task);
  Instant soundUntil = aNow; // a task that lasts fails at any time, and only such ends tell of it
  if (it != aWorker.m_attempts.end() && it->second.m_attempt == aRow.m_attempt) {
    soundUntil = it->second.m_longRunning ? aNow : it->second.m_startedAt;
    if (aRow.m_end == AttemptEnd::Done && it->second.m_undisturbed) {
      NoteDuration(aRow.m_task, aNow - it->second.m_startedAt);
    }
    Fleet::RemoveRun(aWorker, aRow.m_task);
    m_placeNeeded = true;
  }
  if (aRow.m_end == AttemptEnd::Done) {
    ++m_counters.m_endsDone;
    aWorker.m_badStreak = 0;
  } else if (aRow.m_end == AttemptEnd::Failed) {
    ++m_counters.m_endsFailed;
    NoteFailure(aWorker, soundUntil, aNow);
  } else {
    ++m_counters.m_endsOther;
  }
  Job* job = m_book.Find(aRow.m_task.m_job);
  if (!job || IsEnded(job->m_state)) {
    return;
  }
  TaskRecord* task = JobBook::FindTask(*job, aRow.m_task);
  if (!task) {
    return;
  }
  if (!job->m_stored.m_graph.m_steps[aRow.m_task.m_step].m_gang || aRow.m_end != AttemptEnd::Done) {
    ApplyEnd(*job, *task, aRow, aWorker, aNow);
    return;
  }
  // One done member stands for the whole gang.
  EndedAttempt member = aRow;
  const size_t members = job->m_stored.m_graph.m_steps[aRow.m_task.m_step].m_count;
  for (size_t i = 0; i < members && !IsEnded(job->m_state); ++i) {
    member.m_task.m_index = static_cast<uint16_t>(i);
    TaskRecord* record = JobBook::FindTask(*job, member.m_task);
    if (record && !record->m_done) {
      ApplyEnd(*job, *record, member, aWorker, aNow);
    }
  }
}

/// The pace that an earlier epoch has most likely ordered for a task that uses \p aUsedMilli of the
/// \p aDemandMilli that it asks for.
static int
PaceByUse(int64_t aUsedMilli, int64_t aDemandMilli)
{
  const int percent = static_cast<int>(100 * aUsedMilli / std::max<int64_t>(1, aDemandMilli));
  return percent >= kUnpacedUse ? 100 : percent;
}

void
Scheduler::AdoptRun(Worker& aWorker, const RunningAttempt& aRow, Instant aNow)
{
  Job* job = m_book.Find(aRow.m_task.m_job);
  if (job && !IsEnded(job->m_state)) {
    m_book.OpenDue(*job, m_wallMs);
  }
  TaskRecord* task = job && !IsEnded(job->m_state) ? JobBook::FindTask(*job, aRow.m_task) : nullptr;
  WorkerRun run;
  run.m_attempt = aRow.m_attempt;
  run.m_phase = RunPhase::Running;
  run.m_undisturbed = false; // when it started is not known
  run.m_startedAt = aNow;
  run.m_phaseSince = aNow;
  run.m_progressedAt = aNow;
  if (job && aRow.m_task.m_step < job->m_stored.m_graph.m_steps.size()) {
    const GraphStep& step = job->m_stored.m_graph.m_steps[aRow.m_task.m_step];
    run.m_demand = step.m_demand;
    run.m_bestEffort = step.m_bestEffort;
    run.m_longRunning = step.m_longRunning;
    run.m_targetMs = step.m_targetMs;
    run.m_image = m_pressure.Intern(step.m_image);
  }
  run.m_pace = run.m_bestEffort ? PaceByUse(aRow.m_usage, run.m_demand.m_cpuMilli) : 100;
  Fleet::AddRun(aWorker, aRow.m_task, run);
  for (FillGroup& group : aWorker.m_filling) {
    if (group.m_image == run.m_image && run.m_bestEffort) {
      group.m_pace = std::min(group.m_pace, run.m_pace);
    }
  }
  const bool wanted = task && !task->m_done && task->m_attempts.empty();
  LogRun(wanted ? "run_adopted" : "run_unwanted", aWorker, aRow.m_task, aRow.m_attempt, "listed");
  if (!wanted) {
    StopRun(aWorker, aRow.m_task, aNow);
    return;
  }
  task->m_attempts.push_back({ &aWorker, aRow.m_attempt });
  ++job->m_liveRuns;
  job->m_activeAt = aNow;
  --JobBook::FindOccurrence(*job, aRow.m_task.m_occurrence)->m_steps[aRow.m_task.m_step].m_waiting;
  if (job->m_state == JobState::Queued) {
    job->m_state = JobState::Running;
  }
}

void
Scheduler::HandleRow(Worker& aWorker, const RunningAttempt& aRow, Instant aNow)
{
  const auto it = aWorker.m_attempts.find(aRow.m_task);
  if (it == aWorker.m_attempts.end()) {
    AdoptRun(aWorker, aRow, aNow);
    return;
  }
  WorkerRun& run = it->second;
  if (run.m_attempt != aRow.m_attempt) {
    return; // an older run of the task, whose end is about to be listed
  }
  if (run.m_phase == RunPhase::Sent || run.m_phase == RunPhase::NoResponse) {
    run.m_phase = RunPhase::Running;
    run.m_phaseSince = aNow;
    run.m_progressedAt = aNow;
  }
  if (aRow.m_percent > run.m_percent) {
    run.m_progressedAt = aNow;
  }
  run.m_percent = aRow.m_percent;
  run.m_usage = aRow.m_usage;
  if (aRow.m_checkpoint.empty()) {
    return;
  }
  Job* job = m_book.Find(aRow.m_task.m_job);
  TaskRecord* task = job ? JobBook::FindTask(*job, aRow.m_task) : nullptr;
  if (task && !task->m_done) {
    task->m_checkpoint = aRow.m_checkpoint; // written with the next end or stop of the job
  }
}

void
Scheduler::LoseRun(Worker& aWorker, const TaskRef& aTask, Instant aNow, const char* aCause)
{
  const AttemptNumber run = aWorker.m_attempts.at(aTask).m_attempt;
  LogRun("run_lost", aWorker, aTask, run, aCause);
  Fleet::RemoveRun(aWorker, aTask);
  m_placeNeeded = true;
  Job* job = m_book.Find(aTask.m_job);
  if (!job || IsEnded(job->m_state)) {
    return;
  }
  if (TaskRecord* task = JobBook::FindTask(*job, aTask)) {
    DetachRun(*job, aTask, *task, aWorker, run, aNow);
    m_waitingJobs.insert(aTask.m_job);
  }
}

void
Scheduler::LoseAllRuns(Worker& aWorker, Instant aNow, const char* aCause)
{
  while (!aWorker.m_attempts.empty()) {
    const TaskRef task = aWorker.m_attempts.begin()->first;
    LoseRun(aWorker, task, aNow, aCause);
  }
}

bool
Scheduler::BelievesAnswer(Worker& aWorker, int64_t aIncarnation)
{
  // Of two answers in a row, the second look was sent after the first answer had come, so that the
  // same incarnation in both is the present one.
  const int64_t latest = std::max(aWorker.m_incarnation, aWorker.m_report.m_incarnation);
  if (aIncarnation == 0 || aIncarnation >= latest || aIncarnation == aWorker.m_doubtedIncarnation) {
    return true;
  }
  Log(LogLine(LogLevel::Info, "worker_answer_doubted")
        .Add("worker", aWorker.m_report.m_id)
        .Add("incarnation", aIncarnation)
        .Add("latest_known", latest));
  aWorker.m_doubtedIncarnation = aIncarnation;
  return false;
}

void
Scheduler::Reincarnate(Worker& aWorker, int64_t aIncarnation)
{
  const bool restarted = aWorker.m_incarnation != 0;
  aWorker.m_incarnation = aIncarnation;
  if (!restarted) {
    return;
  }
  Log(LogLine(LogLevel::Info, "worker_restarted")
        .Add("worker", aWorker.m_report.m_id)
        .Add("incarnation", aIncarnation)
        .Add("runs", uint64_t{ aWorker.m_attempts.size() }));
  // Orders on their way may have reached the new life, so each run is judged by the look's lists.
  aWorker.m_endsSeen = 0;
  aWorker.m_endsDurable = 0;
  aWorker.m_undurableEnds.clear();
  aWorker.m_endsInBatch = 0;
  aWorker.m_endsAcknowledged = 0;
  aWorker.m_acknowledging = 0;
}

void
Scheduler::DropVanished(Worker& aWorker, const WorkerStatus& aView, Instant aNow)
{
  std::unordered_set<TaskRef, TaskRefHash> listed;
  for (const RunningAttempt& row : aView.m_running) {
    listed.insert(row.m_task);
  }
  std::vector<TaskRef> vanished;
  std::vector<TaskRef> toStop;
  for (const std::pair<const TaskRef, WorkerRun>& runEntry : aWorker.m_attempts) {
    const TaskRef& task = runEntry.first;
    const WorkerRun& run = runEntry.second;
    if (listed.count(task) > 0 || run.m_phaseSince >= aWorker.m_lookSentAt) {
      continue;
    }
    if (run.m_phase == RunPhase::NoResponse) {
      toStop.push_back(task); // a stop keeps a late start from being carried out
    } else if (run.m_phase == RunPhase::Running || run.m_stopAnswered) {
      vanished.push_back(task);
    }
  }
  for (const TaskRef& task : toStop) {
    StopRun(aWorker, task, aNow);
  }
  for (const TaskRef& task : vanished) {
    LoseRun(aWorker, task, aNow, "not_listed");
  }
}

void
Scheduler::OnPollResponse(const WorkerName& aId,
                          uint64_t aNumber,
                          const WorkerStatus& aView,
                          Instant aNow)
{
  Worker* worker = m_fleet.Find(aId);
  if (!worker || worker->m_lookNumber != aNumber) {
    return;
  }
  worker->m_lookInFlight = false;
  if (!BelievesAnswer(*worker, aView.m_incarnation)) {
    worker->m_lookDueAt = aNow + kLookRetry;
    return;
  }
  if (aView.m_incarnation != worker->m_incarnation && aView.m_incarnation != 0) {
    Reincarnate(*worker, aView.m_incarnation);
  }
  if (worker->m_failedLooks > 0) {
    Log(LogLine(LogLevel::Info, "worker_regained_contact")
          .Add("worker", aId)
          .Add("failed_looks", worker->m_failedLooks)
          .Add("lost_ms", ToMillis(aNow - worker->m_lostContactAt)));
    m_placeNeeded = true;
  }
  worker->m_failedLooks = 0;
  worker->m_looked = true;
  worker->m_outdated = false;
  worker->m_clockMs = aView.m_clockMs;
  worker->m_clockAt = aNow;
  worker->m_endsAcknowledged = std::max(worker->m_endsAcknowledged, worker->m_acknowledging);
  for (const EndedAttempt& row : aView.m_ended) {
    if (row.m_number > worker->m_endsSeen) {
      HandleEnd(*worker, row, aNow);
      worker->m_endsSeen = row.m_number;
      worker->m_undurableEnds.push_back(row);
    }
  }
  for (const RunningAttempt& row : aView.m_running) {
    HandleRow(*worker, row, aNow);
  }
  DropVanished(*worker, aView, aNow);
  if (worker->m_report.m_draining) {
    EvacuateWorker(*worker, aNow); // of what was adopted after the directory said so
  }
  AdjustPace(*worker, aNow);
  MoveStragglers(*worker, aNow);
  if (m_dirty.empty() && !m_batchInFlight) {
    SetEndsDurable(*worker, worker->m_endsSeen); // nothing of these ends is left to write
  }
  const bool undurable = worker->m_endsSeen > worker->m_endsDurable;
  const bool unacknowledged = worker->m_endsDurable > worker->m_endsAcknowledged;
  worker->m_lookDueAt = aNow + (unacknowledged ? Duration::zero()
                                : undurable    ? kUndurableLook
                                               : kLookGap);
  CheckRecovery(aNow);
}

void
Scheduler::OnPollFailed(const WorkerName& aId,
                        uint64_t aNumber,
                        WorkerCallResult aResult,
                        Instant aNow)
{
  if (StepsDown(aId, aResult)) {
    return;
  }
  Worker* worker = m_fleet.Find(aId);
  if (!worker || worker->m_lookNumber != aNumber) {
    return;
  }
  worker->m_lookInFlight = false;
  if (++worker->m_failedLooks == 1) {
    worker->m_lostContactAt = aNow;
    Log(LogLine(LogLevel::Warning, "worker_lost_contact")
          .Add("worker", aId)
          .Add("result", NameOf(aResult))
          .Add("runs", uint64_t{ worker->m_attempts.size() }));
  }
  const Duration longest = worker->m_attempts.empty() ? kLongestIdleLookRetry : kLongestLookRetry;
  worker->m_lookDueAt = aNow + std::min<Duration>(kLookRetry * worker->m_failedLooks, longest);
}

} // namespace egretturn
