// Handles poll responses: ended attempts, running attempts, and attempts that were lost.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kPollRetryDelay = std::chrono::milliseconds(200);
static constexpr Duration kMaxPollRetryDelay = std::chrono::milliseconds(1000);
static constexpr Duration kMaxIdlePollRetryDelay =
  std::chrono::milliseconds(2000); // without attempts
static constexpr Duration kNonDurableEndsPollDelay = std::chrono::milliseconds(400);
static constexpr Duration kLateStartPollDelay =
  std::chrono::milliseconds(500); // where nothing runs
static constexpr int kMinUnthrottledUsePercent =
  60; // minimum share of its demand that an unthrottled task uses

void
Scheduler::LogAttempt(const char* aEvent,
                      const Worker& aWorker,
                      const TaskRef& aTask,
                      AttemptNumber aAttempt,
                      std::string_view aCause)
{
  if (LogEnabled(LogLevel::Info)) {
    Log(LogLine(LogLevel::Info, aEvent)
          .Add("job", FormatGraphId(aTask.m_job))
          .Add("task", FormatTaskRef(aTask))
          .Add("run", aAttempt)
          .Add("worker", aWorker.m_report.m_id)
          .Add("cause", aCause));
  }
}

/// Removes the attempt from the task. The task waits again if it is not done and has no other
/// attempt.
static void
DetachAttempt(Job& aJob,
              const TaskRef& aRef,
              TaskRecord& aTask,
              const Worker& aWorker,
              AttemptNumber aAttempt,
              Instant aNow)
{
  const auto it = std::find_if(
    aTask.m_attempts.begin(), aTask.m_attempts.end(), [&](const LiveAttempt& aLiveAttempt) {
      return aLiveAttempt.m_worker == &aWorker && aLiveAttempt.m_attempt == aAttempt;
    });
  if (it == aTask.m_attempts.end()) {
    return;
  }
  aTask.m_attempts.erase(it);
  --aJob.m_liveAttempts;
  aJob.m_lastActiveAt = aNow;
  if (aTask.m_attempts.empty() && !aTask.m_done) {
    ++JobRegistry::FindOccurrence(aJob, aRef.m_occurrence)->m_steps[aRef.m_step].m_waiting;
  }
}

void
Scheduler::RecordBegun(Job& aJob)
{
  if (aJob.m_state == JobState::Queued) {
    aJob.m_state = JobState::Running;
  }
}

void
Scheduler::RecordRun(const TaskRef& aTask, Instant aAt)
{
  Job* job = m_jobs.Find(aTask.m_job);
  StepRecord* step = job ? JobRegistry::FindStepOf(*job, aTask) : nullptr;
  if (!step) {
    return;
  }
  job->m_lastRanAt = std::max(job->m_lastRanAt, aAt);
  if (TaskRecord* task = step->m_tasks.Find(aTask.m_index)) {
    task->m_lastRanAt = std::max(task->m_lastRanAt, aAt);
  }
}

void
Scheduler::EndJob(Job& aJob, JobState aState, Instant aNow)
{
  aJob.m_state = aState;
  aJob.m_endedMs = m_wallMs;
  StopAllAttempts(aJob, aNow);
  m_jobs.CloseAll(aJob);
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
Scheduler::ApplyTaskDone(Job& aJob, TaskRecord& aTask, const TaskRef& aRef, Instant aNow)
{
  OccurrenceRecord& occurrence = *JobRegistry::FindOccurrence(aJob, aRef.m_occurrence);
  StepRecord& step = occurrence.m_steps[aRef.m_step];
  if (aTask.m_attempts.empty()) {
    --step.m_waiting;
  }
  aTask.m_done = true;
  aTask.m_checkpoint.clear();
  for (const LiveAttempt& other : aTask.m_attempts) {
    StopAttempt(*other.m_worker, aRef, aNow);
  }
  ++step.m_done;
  m_placementNeeded = true;
  MarkDirty(aJob);
  if (JobRegistry::IsDone(occurrence)) {
    CompleteOccurrence(aJob, occurrence, aNow);
  }
}

void
Scheduler::CompleteOccurrence(Job& aJob, OccurrenceRecord& aOccurrence, Instant aNow)
{
  m_jobs.CloseOccurrence(aJob, aOccurrence);
  m_urgent = true;
  MarkDirty(aJob);
  if (!aJob.HasOpenOccurrences()) {
    EndJob(aJob, JobState::Done, aNow);
  }
}

void
Scheduler::ApplyTaskFailure(Job& aJob,
                            TaskRecord& aTask,
                            const TaskRef& aRef,
                            AttemptNumber aAttempt,
                            Worker& aWorker,
                            Instant aNow)
{
  aTask.m_avoidedWorker = &aWorker;
  if (aJob.m_stored.m_graph.m_steps[aRef.m_step].m_longRunning) {
    return;
  }
  std::vector<AttemptNumber>& failed = aTask.m_failedAttempts;
  if (std::find(failed.begin(), failed.end(), aAttempt) == failed.end()) {
    failed.push_back(aAttempt);
    MarkDirty(aJob);
  }
  if (failed.size() >= aJob.m_stored.m_terms.m_maxAttempts) {
    EndJob(aJob, JobState::Failed, aNow);
  }
}

void
Scheduler::ApplyAttemptEnd(Job& aJob,
                           TaskRecord& aTask,
                           const EndedAttempt& aReported,
                           Worker& aWorker,
                           Instant aNow)
{
  const bool longRunning = aJob.m_stored.m_graph.m_steps[aReported.m_task.m_step].m_longRunning;
  DetachAttempt(aJob, aReported.m_task, aTask, aWorker, aReported.m_attempt, aNow);
  RecordBegun(aJob);
  RecordRun(aReported.m_task, aNow);
  m_waitingJobs.insert(aJob.m_stored.m_id);
  m_placementNeeded = true;
  if (!aReported.m_checkpoint.empty() && !aTask.m_done) {
    aTask.m_checkpoint = aReported.m_checkpoint;
    MarkDirty(aJob);
  }
  if (aReported.m_end == AttemptEnd::Done && !aTask.m_done && !longRunning) {
    ApplyTaskDone(aJob, aTask, aReported.m_task, aNow);
  } else if (aReported.m_end == AttemptEnd::Failed && !aTask.m_done) {
    ApplyTaskFailure(aJob, aTask, aReported.m_task, aReported.m_attempt, aWorker, aNow);
  }
}

void
Scheduler::RecordDuration(const TaskRef& aTask, Duration aDuration)
{
  Job* job = m_jobs.Find(aTask.m_job);
  if (!job || aTask.m_step >= job->m_stepDurationMs.size()) {
    return;
  }
  const GraphStep& step = job->m_stored.m_graph.m_steps[aTask.m_step];
  const std::chrono::milliseconds expected(
    job->m_stepDurationMs[aTask.m_step]); // before this attempt
  m_slownessModel.Add(SlownessOf(AttemptProgress{ aDuration, expected, 100 }));
  m_durations.Learn(job->m_stored.m_terms.m_route, step.m_estimateMs, aDuration);
  job->RecordDuration(aTask.m_step, ToMillis(aDuration));
}

void
Scheduler::ProcessEndedAttempt(Worker& aWorker, const EndedAttempt& aReported, Instant aNow)
{
  LogAttempt("run_ended", aWorker, aReported.m_task, aReported.m_attempt, NameOf(aReported.m_end));
  const auto it = aWorker.m_attempts.find(aReported.m_task);
  Instant healthyUntil = aNow; // long-running tasks fail at any time and report only failures
  if (it != aWorker.m_attempts.end() && it->second.m_attempt == aReported.m_attempt) {
    healthyUntil = it->second.m_longRunning ? aNow : it->second.m_startedAt;
    if (aReported.m_end == AttemptEnd::Done && it->second.m_hasValidDuration) {
      RecordDuration(aReported.m_task, aNow - it->second.m_startedAt);
    }
    m_fleet.RemoveAttempt(aWorker, aReported.m_task);
    m_placementNeeded = true;
  }
  if (aReported.m_end == AttemptEnd::Done) {
    ++m_counters.m_endsDone;
    aWorker.m_consecutiveFailures = 0;
  } else if (aReported.m_end == AttemptEnd::Failed) {
    ++m_counters.m_endsFailed;
    RecordFailure(aWorker, healthyUntil, aNow);
  } else {
    ++m_counters.m_endsOther;
  }
  Job* job = m_jobs.Find(aReported.m_task.m_job);
  TaskRecord* task = FindReportedTask(job, aReported.m_task);
  if (!task) {
    return;
  }
  ApplyAttemptEnd(*job, *task, aReported, aWorker, aNow);
  JobRegistry::ReleaseTask(*job, aReported.m_task);
  if (aReported.m_end == AttemptEnd::Done) {
    CompleteGang(*job, aReported.m_task, aNow);
  }
}

void
Scheduler::CompleteGang(Job& aJob, const TaskRef& aDone, Instant aNow)
{
  const GraphStep& step = aJob.m_stored.m_graph.m_steps[aDone.m_step];
  if (!step.m_gang || step.m_longRunning) {
    return;
  }
  const size_t members = step.m_count;
  TaskRef member = aDone;
  for (size_t i = 0; i < members && !IsEnded(aJob.m_state); ++i) {
    member.m_index = static_cast<uint16_t>(i);
    StepRecord* record = JobRegistry::FindStepOf(aJob, member);
    if (record && !record->m_tasks[i].m_done) {
      ApplyTaskDone(aJob, record->m_tasks.Edit(i), member, aNow);
      JobRegistry::ReleaseTask(aJob, member);
    }
  }
}

/// Returns the throttle that an earlier epoch has most likely set for a task that uses
/// \p aUsedMilli of its demand \p aDemandMilli.
static int
EstimateThrottle(int64_t aUsedMilli, int64_t aDemandMilli)
{
  const int percent = static_cast<int>(100 * aUsedMilli / std::max<int64_t>(1, aDemandMilli));
  return percent >= kMinUnthrottledUsePercent ? 100 : percent;
}

TaskRecord*
Scheduler::FindReportedTask(Job* aJob, const TaskRef& aTask)
{
  if (!aJob || IsEnded(aJob->m_state)) {
    return nullptr;
  }
  // The clock of the leader that started the task may have been ahead of this one's.
  if (aJob->m_recovered && m_jobs.OpenThrough(*aJob, aTask.m_occurrence)) {
    m_waitingJobs.insert(aTask.m_job);
    m_placementNeeded = true;
  }
  return JobRegistry::EditTask(*aJob, aTask);
}

void
Scheduler::AdoptAttempt(Worker& aWorker, const RunningAttempt& aReported, Instant aNow)
{
  Job* job = m_jobs.Find(aReported.m_task.m_job);
  TaskRecord* task = FindReportedTask(job, aReported.m_task);
  AttemptState attempt;
  attempt.m_attempt = aReported.m_attempt;
  attempt.m_phase = AttemptPhase::Running;
  attempt.m_hasValidDuration = false; // its start time is unknown
  attempt.m_startedAt = aNow;
  attempt.m_phaseSince = aNow;
  attempt.m_progressedAt = aNow;
  if (const GraphStep* step = JobRegistry::FindGraphStep(job, aReported.m_task)) {
    attempt.m_demand = step->m_demand;
    attempt.m_bestEffort = step->m_bestEffort;
    attempt.m_longRunning = step->m_longRunning;
    attempt.m_targetMs = step->m_targetMs;
    attempt.m_image = m_interference.Intern(step->m_image);
  }
  attempt.m_throttlePercent =
    attempt.m_bestEffort ? EstimateThrottle(aReported.m_usage, attempt.m_demand.m_cpuMilli) : 100;
  m_fleet.AddAttempt(aWorker, aReported.m_task, attempt);
  for (BestEffortGroup& group : aWorker.m_bestEffortGroups) {
    if (group.m_image == attempt.m_image && attempt.m_bestEffort) {
      group.m_throttlePercent = std::min(group.m_throttlePercent, attempt.m_throttlePercent);
    }
  }
  const bool needed = task && !task->m_done && task->m_attempts.empty();
  LogAttempt(needed ? "run_adopted" : "run_unwanted",
             aWorker,
             aReported.m_task,
             aReported.m_attempt,
             "listed");
  if (job) {
    RecordBegun(*job);
  }
  if (!needed) {
    if (task) {
      JobRegistry::ReleaseTask(*job, aReported.m_task);
    }
    StopAttempt(aWorker, aReported.m_task, aNow);
    return;
  }
  task->m_attempts.push_back({ &aWorker, aReported.m_attempt });
  ++job->m_liveAttempts;
  job->m_lastActiveAt = aNow;
  --JobRegistry::FindOccurrence(*job, aReported.m_task.m_occurrence)
      ->m_steps[aReported.m_task.m_step]
      .m_waiting;
}

void
Scheduler::UpdateRunningAttempt(Worker& aWorker, const RunningAttempt& aReported, Instant aNow)
{
  const auto it = aWorker.m_attempts.find(aReported.m_task);
  if (it == aWorker.m_attempts.end()) {
    AdoptAttempt(aWorker, aReported, aNow);
    return;
  }
  AttemptState& attempt = it->second;
  if (attempt.m_phase != AttemptPhase::Running) {
    if (Job* job = m_jobs.Find(aReported.m_task.m_job)) {
      RecordBegun(*job);
    }
  }
  if (attempt.m_attempt != aReported.m_attempt) {
    return; // an older attempt of the task, whose end will be reported next
  }
  attempt.m_startPending = false;
  if (attempt.m_phase != AttemptPhase::Running && attempt.m_phase != AttemptPhase::Stopping) {
    attempt.m_phase = AttemptPhase::Running;
    attempt.m_phaseSince = aNow;
    attempt.m_progressedAt = aNow;
  }
  if (aReported.m_percent > attempt.m_percent) {
    attempt.m_progressedAt = aNow;
  }
  attempt.m_percent = aReported.m_percent;
  attempt.m_usage = aReported.m_usage;
  if (aReported.m_checkpoint.empty()) {
    return;
  }
  Job* job = m_jobs.Find(aReported.m_task.m_job);
  StepRecord* step = job ? JobRegistry::FindStepOf(*job, aReported.m_task) : nullptr;
  TaskRecord* task = step ? step->m_tasks.Find(aReported.m_task.m_index) : nullptr;
  if (task && !task->m_done) {
    task->m_checkpoint = aReported.m_checkpoint; // written with the next end or stop of the job
  }
}

void
Scheduler::MarkAttemptLost(Worker& aWorker, const TaskRef& aTask, Instant aNow, const char* aCause)
{
  const AttemptState& lost = aWorker.m_attempts.at(aTask);
  const AttemptNumber attempt = lost.m_attempt;
  if (lost.m_phase == AttemptPhase::Running) {
    RecordRun(aTask, LastSeenRunning(aWorker, lost));
  }
  LogAttempt("run_lost", aWorker, aTask, attempt, aCause);
  m_fleet.RemoveAttempt(aWorker, aTask);
  m_placementNeeded = true;
  Job* job = m_jobs.Find(aTask.m_job);
  if (!job || IsEnded(job->m_state)) {
    return;
  }
  if (TaskRecord* task = JobRegistry::EditTask(*job, aTask)) {
    task->m_avoidedWorker = &aWorker;
    DetachAttempt(*job, aTask, *task, aWorker, attempt, aNow);
    JobRegistry::ReleaseTask(*job, aTask);
    m_waitingJobs.insert(aTask.m_job);
  }
}

void
Scheduler::MarkAllAttemptsLost(Worker& aWorker, Instant aNow, const char* aCause)
{
  while (!aWorker.m_attempts.empty()) {
    const TaskRef task = aWorker.m_attempts.begin()->first;
    MarkAttemptLost(aWorker, task, aNow, aCause);
  }
}

void
Scheduler::RemoveLostAttempts(Worker& aWorker, const WorkerStatus& aStatus, Instant aNow)
{
  std::unordered_set<TaskRef, TaskRefHash> reportedTasks;
  for (const RunningAttempt& reported : aStatus.m_running) {
    reportedTasks.insert(reported.m_task);
  }
  std::vector<TaskRef> lost;
  std::vector<TaskRef> toStop;
  for (std::pair<const TaskRef, AttemptState>& attemptEntry : aWorker.m_attempts) {
    const TaskRef& task = attemptEntry.first;
    AttemptState& attempt = attemptEntry.second;
    if (reportedTasks.count(task) > 0 || attempt.m_phaseSince >= aWorker.m_pollSentAt) {
      continue;
    }
    const bool wasThere = attempt.m_phase == AttemptPhase::Running ||
                          attempt.m_phase == AttemptPhase::EndUnlisted || attempt.m_stopConfirmed;
    if (attempt.m_phase == AttemptPhase::Unconfirmed) {
      toStop.push_back(task); // a stop prevents a late start from being executed
    } else if (wasThere && aStatus.m_endsComplete) {
      lost.push_back(task);
    } else if (attempt.m_phase == AttemptPhase::Running) {
      attempt.m_phase = AttemptPhase::EndUnlisted; // its end may be one that is not listed yet
      RecordRun(task, aNow);
      attempt.m_phaseSince = aNow;
    }
  }
  for (const TaskRef& task : toStop) {
    StopAttempt(aWorker, task, aNow);
  }
  for (const TaskRef& task : lost) {
    KeepLateStart(aWorker, task, aWorker.m_attempts.at(task), aNow);
    MarkAttemptLost(aWorker, task, aNow, "not_listed");
  }
}

void
Scheduler::OnPollResponse(const WorkerName& aId,
                          uint64_t aNumber,
                          const WorkerStatus& aStatus,
                          Instant aNow)
{
  Worker* worker = m_fleet.Find(aId);
  if (!worker || worker->m_pollNumber != aNumber) {
    return;
  }
  worker->m_pollInFlight = false;
  if (!IsCurrentIncarnation(*worker, aStatus.m_incarnation)) {
    worker->m_nextPollAt = aNow + kPollRetryDelay;
    return;
  }
  if (aStatus.m_incarnation != worker->m_incarnation && aStatus.m_incarnation != 0) {
    const bool restarted = worker->m_incarnation != 0;
    SetIncarnation(*worker, aStatus.m_incarnation);
    if (restarted) {
      OnWorkerRestarted(*worker, aStatus, aNow);
      return;
    }
  }
  if (worker->m_fenceRaised) {
    worker->m_fenceRaised = false;
    // A call to the process before may have arrived until now.
    m_fleet.ExtendLeaseOfAnyCall(*worker, aNow);
  }
  if (worker->m_failedPolls > 0) {
    Log(LogLine(LogLevel::Info, "worker_regained_contact")
          .Add("worker", aId)
          .Add("failed_looks", worker->m_failedPolls)
          .Add("lost_ms", ToMillis(aNow - worker->m_lostContactAt)));
    worker->m_regainedContactAt = aNow;
    m_placementNeeded = true;
  }
  worker->m_failedPolls = 0;
  worker->m_polled = true;
  worker->m_endsComplete = aStatus.m_endsComplete;
  worker->m_readInFull = worker->m_readInFull || aStatus.m_endsComplete;
  worker->m_lastAddress = worker->m_pollAddress;
  RecordAddress(*worker);
  worker->m_statusStale = false;
  worker->m_clockMs = aStatus.m_clockMs;
  worker->m_clockReadAt = aNow;
  worker->m_endsAcknowledged =
    std::max(worker->m_endsAcknowledged, worker->m_endsBeingAcknowledged);
  for (const EndedAttempt& reported : aStatus.m_ended) {
    if (reported.m_number > worker->m_endsProcessed) {
      ProcessEndedAttempt(*worker, reported, aNow);
      worker->m_endsProcessed = reported.m_number;
      worker->m_nonDurableEnds.push_back({ reported.m_number, reported.m_task });
    }
  }
  for (const RunningAttempt& reported : aStatus.m_running) {
    UpdateRunningAttempt(*worker, reported, aNow);
  }
  RemoveLostAttempts(*worker, aStatus, aNow);
  UpdateLateStarts(*worker, aStatus, aNow);
  if (worker->m_report.m_draining) {
    DrainWorker(*worker, aNow); // attempts adopted after the directory reported the draining
  }
  AdjustThrottles(*worker, aNow);
  RescheduleStragglers(*worker, aNow);
  MoveFromSlowWorker(*worker, aNow);
  if (m_dirtyJobs.empty() && !m_batchInFlight) {
    SetEndsDurable(*worker, worker->m_endsProcessed); // no effect of these ends is left to write
  }
  const bool nonDurable = worker->m_endsProcessed > worker->m_endsDurable;
  const bool unacknowledged = worker->m_endsDurable > worker->m_endsAcknowledged;
  const bool onlyLateStarts = worker->m_attempts.empty() && !worker->m_lateStarts.empty();
  worker->m_nextPollAt = aNow + (unacknowledged   ? Duration::zero()
                                 : nonDurable     ? kNonDurableEndsPollDelay
                                 : onlyLateStarts ? kLateStartPollDelay
                                                  : kPollDelay);
  if (unacknowledged) {
    SendPoll(*worker, aNow); // the next tick may come too late to acknowledge them
  }
  CheckRecovery(aNow);
}

void
Scheduler::OnPollFailed(const WorkerName& aId,
                        uint64_t aNumber,
                        WorkerCallResult aResult,
                        Instant aNow)
{
  Worker* worker = m_fleet.Find(aId);
  if (!worker || worker->m_pollNumber != aNumber) {
    return;
  }
  if (aResult == WorkerCallResult::Fenced) { // the fence has not risen since the poll was sent
    Emit(StepDown{ "fenced by worker " + aId });
    return;
  }
  worker->m_pollInFlight = false;
  if (aResult == WorkerCallResult::LinkLost) {
    worker->m_nextPollAt =
      aNow + kPollDelay; // the worker may be in order: another instance asks it
    return;
  }
  if (aResult == WorkerCallResult::IncarnationMismatch &&
      worker->m_pollAddress == worker->m_recordedAddress) {
    OnWorkerGone(*worker, aNow);
  }
  if (++worker->m_failedPolls == 1) {
    worker->m_lostContactAt = aNow;
    Log(LogLine(LogLevel::Warning, "worker_lost_contact")
          .Add("worker", aId)
          .Add("result", NameOf(aResult))
          .Add("runs", uint64_t{ worker->m_attempts.size() }));
  }
  const bool settling = std::any_of(worker->m_lateStarts.begin(),
                                    worker->m_lateStarts.end(),
                                    [](const LateStart& aStart) { return !aStart.m_settled; });
  const Duration maxDelay = settling                     ? kPollRetryDelay
                            : worker->m_attempts.empty() ? kMaxIdlePollRetryDelay
                                                         : kMaxPollRetryDelay;
  worker->m_nextPollAt =
    aNow + std::min<Duration>(kPollRetryDelay * worker->m_failedPolls, maxDelay);
}

} // namespace egretturn
