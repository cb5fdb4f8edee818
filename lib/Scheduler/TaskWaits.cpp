// Reports why tasks wait: summed by image, and for the jobs that have waited longest, by task.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>
#include <tuple>

namespace egretturn {

static constexpr Duration kWaitingReportInterval = std::chrono::seconds(1);

// A job with nothing running for this long is reported: changes of a step take less.
static constexpr Duration kMinReportedWait = std::chrono::seconds(2);
static constexpr size_t kMaxReportedJobs = 5; // in one report, to bound the log

void
Scheduler::ReportTasks(AddTasksToReport aAdd,
                       const WaitingStep& aWaiting,
                       uint32_t aTasks,
                       Instant aNow)
{
  if (!m_waitingReport) {
    return;
  }
  const ImageId image = m_interference.Intern(StepOf(aWaiting).m_image);
  ((*m_waitingReport).*aAdd)(image, aTasks, aNow - aWaiting.m_job->m_submittedAt);
}

void
Scheduler::ReportSkippedStep(const WaitingStep& aWaiting, Instant aNow)
{
  const uint32_t tasks = aWaiting.m_occurrence->m_steps[aWaiting.m_step].m_waiting;
  ReportTasks(&WaitingReport::AddSkipped, aWaiting, tasks, aNow);
  NoteHeldStep(aWaiting, WaitCause::PassedOver);
}

void
Scheduler::NoteHeldStep(const WaitingStep& aWaiting, WaitCause aCause)
{
  if (m_waitingReport && StepOf(aWaiting).m_longRunning) {
    m_absences.NoteStep(MakeTaskRef(aWaiting, 0), aCause);
  }
}

void
Scheduler::ReportUnplacedStep(const WaitingStep& aWaiting,
                              const PlacementRequest& aRequest,
                              Instant aNow)
{
  if (!m_waitingReport) {
    return;
  }
  const StepRecord& record = aWaiting.m_occurrence->m_steps[aWaiting.m_step];
  const bool waitsForZone = WaitsForZone(m_fleet, aRequest, aNow);
  m_waitingReport->AddUnplaced(aRequest.m_image,
                               record.m_waiting,
                               aNow - aWaiting.m_job->m_submittedAt,
                               CountObstacles(m_fleet, aRequest, aNow),
                               waitsForZone);
  NoteHeldStep(aWaiting, waitsForZone ? WaitCause::Evacuated : WaitCause::NoWorker);
}

void
Scheduler::FinishWaitingReport(const std::vector<FailedStep>& aFailed, Instant aNow)
{
  if (!m_waitingReport) {
    return;
  }
  const WaitingTotals totals = m_waitingReport->Totals();
  m_counters.m_tasksWaiting = totals.m_tasks;
  m_counters.m_tasksSkipped = totals.m_skipped;
  m_counters.m_tasksRecovering = totals.m_recovering;
  m_counters.m_tasksUnconfirmed = totals.m_unconfirmed;
  m_counters.m_tasksEvacuated = totals.m_evacuated;
  if (LogEnabled(LogLevel::Info)) {
    m_waitingReport->LogLines(m_interference);
    m_interference.LogChanges();
  }
  m_waitingReport.reset();
  ReportWaitingJobs(aFailed, aNow);
}

/// Returns when a task with \p aTask as its record last ran, as far as is known; \p aNow if it
/// runs.
static Instant
LastRan(const TaskRecord& aTask, const TaskRef& aRef, Instant aNow)
{
  Instant lastRan = aTask.m_lastRanAt;
  for (const LiveAttempt& live : aTask.m_attempts) {
    const auto it = live.m_worker->m_attempts.find(aRef);
    if (it == live.m_worker->m_attempts.end() || it->second.m_phase != AttemptPhase::Running) {
      continue;
    }
    // While polls succeed, a poll in flight may wait for an end.
    const bool inContact = live.m_worker->m_failedPolls == 0;
    lastRan = std::max(lastRan, inContact ? aNow : LastSeenRunning(*live.m_worker, it->second));
  }
  return lastRan;
}

bool
Scheduler::HasAttempts(const WaitingTask& aWaiting)
{
  const StepRecord& step = aWaiting.m_step.m_occurrence->m_steps[aWaiting.m_step.m_step];
  return !step.m_tasks[aWaiting.m_index].m_attempts.empty();
}

WaitCause
Scheduler::FindCauseOfAbsence(const WaitingTask& aWaiting, const Worker*& aHolder, Instant aNow)
{
  const Job& job = *aWaiting.m_step.m_job;
  const TaskRef ref = MakeTaskRef(aWaiting.m_step, aWaiting.m_index);
  const StepRecord& record = aWaiting.m_step.m_occurrence->m_steps[aWaiting.m_step.m_step];
  const TaskRecord& task = record.m_tasks[aWaiting.m_index];
  if (!task.m_attempts.empty()) {
    aHolder = task.m_attempts.back().m_worker;
    const auto it = aHolder->m_attempts.find(ref);
    const bool stops =
      it != aHolder->m_attempts.end() && it->second.m_phase == AttemptPhase::Stopping;
    return stops ? WaitCause::StoppingElsewhere : WaitCause::AttemptNotRunning;
  }
  if (m_fleet.HasAttempt(ref)) {
    return WaitCause::StoppingElsewhere;
  }
  if (const std::vector<Worker*>* lateStarters = m_fleet.FindLateStarts(ref)) {
    aHolder = lateStarters->front();
    return WaitCause::StartMayFollow;
  }
  if (StepOf(aWaiting.m_step).m_gang && record.m_waiting < record.m_tasks.Size()) {
    return WaitCause::GangIncomplete;
  }
  if (MayRunElsewhere(job, ref, aNow)) {
    return WaitCause::Recovering;
  }
  if (m_waitingJobs.count(ref.m_job) == 0 || record.m_waiting == 0) {
    return WaitCause::NotTried;
  }
  const WaitCause otherwise =
    NeedsConfirmation(job, aNow) ? WaitCause::Unconfirmed : WaitCause::Startable;
  return m_absences.FindStep(MakeTaskRef(aWaiting.m_step, 0)).value_or(otherwise);
}

void
Scheduler::FollowAbsence(const WaitingTask& aWaiting, Instant aNow)
{
  const Worker* holder = nullptr;
  const WaitCause cause = FindCauseOfAbsence(aWaiting, holder, aNow);
  m_absences.OnAway(MakeTaskRef(aWaiting.m_step, aWaiting.m_index),
                    aWaiting.m_since,
                    cause,
                    holder ? &holder->m_report.m_id : nullptr,
                    aNow);
}

void
Scheduler::FollowLongRunning(const WaitingTask& aTask, const TaskRecord& aRecord, Instant aNow)
{
  if (aTask.m_since == aNow && !aRecord.m_attempts.empty()) {
    m_absences.OnAtWork(MakeTaskRef(aTask.m_step, aTask.m_index),
                        aRecord.m_attempts.back().m_worker->m_report.m_id,
                        aNow);
  } else {
    FollowAbsence(aTask, aNow);
  }
}

void
Scheduler::FollowUnstarted(const WaitingStep& aStep, Instant aTurn, Instant aNow)
{
  const TaskTable& tasks = aStep.m_occurrence->m_steps[aStep.m_step].m_tasks;
  const size_t unstarted = tasks.CountUntouched();
  const size_t followed = std::min(unstarted, AbsenceLog::kMaxUnstartedOfStep);
  size_t found = 0;
  for (size_t i = 0; i < tasks.Size() && found < followed; ++i) {
    const TaskTable::Records& records = tasks.GetRecords();
    if (records.count(static_cast<uint16_t>(i)) == 0 && !tasks[i].m_done) {
      ++found;
      FollowAbsence({ aStep, i, aTurn }, aNow);
    }
  }
  if (unstarted > found) {
    m_absences.CountNotFollowed(unstarted - found, aTurn, aNow);
  }
}

void
Scheduler::AddWaitingTasks(const WaitingStep& aStep, JobActivity& aActivity, Instant aNow)
{
  const TaskTable& tasks = aStep.m_occurrence->m_steps[aStep.m_step].m_tasks;
  const Instant turn =
    std::max({ m_createdAt, aStep.m_job->m_submittedAt, aStep.m_occurrence->m_openedAt });
  const bool longRunning = StepOf(aStep).m_longRunning;
  std::optional<WaitingTask>& named =
    longRunning ? aActivity.m_longRunning : aActivity.m_shortRunning;
  const auto add = [&](size_t aIndex, const TaskRecord& aTask, Instant aRan) {
    const WaitingTask waiting{ aStep, aIndex, longRunning ? std::max(turn, aRan) : turn };
    // A task without attempts tells why nothing else starts.
    const bool earlier = longRunning && named && waiting.m_since < named->m_since;
    const bool unheld = !longRunning && named && aTask.m_attempts.empty() && HasAttempts(*named);
    if (!named || earlier || unheld) {
      named = waiting;
    }
  };
  if (const std::optional<size_t> untouched = tasks.FirstUntouched()) {
    aActivity.m_tasks += static_cast<uint32_t>(tasks.CountUntouched());
    add(*untouched, tasks[*untouched], Instant()); // the others are like it
    if (longRunning) {
      FollowUnstarted(aStep, turn, aNow);
    }
  }
  for (const TaskTable::Records::value_type& taskEntry : tasks.GetRecords()) {
    const TaskRecord& task = taskEntry.second;
    const Instant ran = LastRan(task, MakeTaskRef(aStep, taskEntry.first), aNow);
    aActivity.m_lastRan = std::max(aActivity.m_lastRan, longRunning ? Instant() : ran);
    if (!task.m_done && ran != aNow) {
      ++aActivity.m_tasks;
      add(taskEntry.first, task, ran);
    }
    if (!task.m_done && longRunning) {
      FollowLongRunning({ aStep, taskEntry.first, std::max(turn, ran) }, task, aNow);
    }
  }
}

std::optional<WaitingTask>
Scheduler::FindLongestWait(Job& aJob, uint32_t& aTasks, Instant aNow)
{
  JobActivity activity;
  activity.m_lastRan = aJob.m_lastRanAt;
  for (OccurrenceRecord& occurrence : aJob.m_occurrences) {
    for (size_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const StepRecord& record = occurrence.m_steps[s];
      if (record.m_done < record.m_tasks.Size() && JobRegistry::IsReady(aJob, occurrence, s)) {
        AddWaitingTasks({ &aJob, &occurrence, static_cast<uint16_t>(s), {} }, activity, aNow);
      }
    }
  }
  aTasks = activity.m_tasks;
  std::optional<WaitingTask>& together = activity.m_shortRunning;
  if (together) {
    together->m_since = std::max(together->m_since, activity.m_lastRan);
  }
  const std::optional<WaitingTask>& alone = activity.m_longRunning;
  return alone && (!together || alone->m_since < together->m_since) ? alone : together;
}

void
Scheduler::ReportWaitingJobs(const std::vector<FailedStep>& aFailed, Instant aNow)
{
  m_nextWaitingReportAt = aNow + kWaitingReportInterval;
  m_room.Update(m_fleet, aNow);
  if (LogEnabled(LogLevel::Info)) {
    m_room.LogLines(aNow);
  }
  std::vector<std::pair<WaitingTask, uint32_t>> waiting;
  for (const std::pair<const GraphId, std::unique_ptr<Job>>& jobEntry : m_jobs.All()) {
    Job& job = *jobEntry.second;
    if (!job.m_durable || IsEnded(job.m_state)) {
      continue;
    }
    uint32_t tasks = 0;
    const std::optional<WaitingTask> longest = FindLongestWait(job, tasks, aNow);
    if (longest && aNow - longest->m_since >= kMinReportedWait) {
      waiting.emplace_back(*longest, tasks);
    }
  }
  const size_t reported = std::min(waiting.size(), kMaxReportedJobs);
  std::partial_sort(waiting.begin(),
                    waiting.begin() + static_cast<ptrdiff_t>(reported),
                    waiting.end(),
                    [](const std::pair<WaitingTask, uint32_t>& aLeft,
                       const std::pair<WaitingTask, uint32_t>& aRight) {
                      const GraphId left = aLeft.first.m_step.m_job->m_stored.m_id;
                      const GraphId right = aRight.first.m_step.m_job->m_stored.m_id;
                      return std::tie(aLeft.first.m_since, left) <
                             std::tie(aRight.first.m_since, right);
                    });
  const AbsenceReport& absences = m_absences.FinishLook(aNow);
  m_counters.m_longRunningAway = absences.m_longAway;
  m_counters.m_longRunningLongestAwayMs = static_cast<uint64_t>(ToMillis(absences.m_longest));
  m_counters.m_longRunningNotFollowed = absences.m_notFollowed;
  m_counters.m_jobsWaiting = waiting.size();
  m_jobWaits.m_heldBack = waiting.size() - reported;
  m_jobWaits.m_longest.clear();
  for (size_t i = 0; i < reported; ++i) {
    m_jobWaits.m_longest.push_back(ExplainWait(waiting[i].first, aFailed, aNow));
    m_jobWaits.m_longest.back().m_tasks = waiting[i].second;
  }
  if (LogEnabled(LogLevel::Info)) {
    LogJobWaits(m_jobWaits);
  }
}

HoldingWorker
Scheduler::DescribeWorker(const Worker& aWorker, const TaskRef& aTask, Instant aNow)
{
  HoldingWorker described;
  described.m_name = aWorker.m_report.m_id;
  described.m_leaseRemaining = std::max(aWorker.m_leaseExpiresAt - aNow, Duration::zero());
  described.m_unheard =
    aWorker.m_failedPolls > 0 ? aNow - aWorker.m_lostContactAt : Duration::zero();
  const auto it = aWorker.m_attempts.find(aTask);
  if (it != aWorker.m_attempts.end()) {
    described.m_phase = it->second.m_phase;
    described.m_inPhase = aNow - it->second.m_phaseSince;
  }
  return described;
}

JobWait
Scheduler::ExplainWait(const WaitingTask& aWaiting,
                       const std::vector<FailedStep>& aFailed,
                       Instant aNow)
{
  JobWait wait;
  wait.m_task = MakeTaskRef(aWaiting.m_step, aWaiting.m_index);
  wait.m_waited = aNow - aWaiting.m_since;
  if (!ExplainByAttempts(aWaiting, wait, aNow)) {
    ExplainByPlacement(aWaiting, aFailed, wait, aNow);
  }
  return wait;
}

const Worker*
Scheduler::FindWorkerOf(const TaskRef& aTask) const
{
  if (!m_fleet.HasAttempt(aTask)) {
    return nullptr;
  }
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (worker->m_attempts.count(aTask) > 0) {
      return worker.get();
    }
  }
  return nullptr;
}

bool
Scheduler::ExplainByAttempts(const WaitingTask& aWaiting, JobWait& aWait, Instant aNow) const
{
  if (const Worker* worker = FindWorkerOf(aWait.m_task)) {
    aWait.m_worker = DescribeWorker(*worker, aWait.m_task, aNow);
    aWait.m_cause = aWait.m_worker.m_phase == AttemptPhase::Stopping ? WaitCause::StoppingElsewhere
                                                                     : WaitCause::AttemptNotRunning;
    return true;
  }
  if (const std::vector<Worker*>* lateStarters = m_fleet.FindLateStarts(aWait.m_task)) {
    aWait.m_worker = DescribeWorker(*lateStarters->front(), aWait.m_task, aNow);
    aWait.m_cause = WaitCause::StartMayFollow;
    return true;
  }
  const size_t members =
    StepOf(aWaiting.m_step).m_gang ? StepOf(aWaiting.m_step).m_count : size_t{ 0 };
  for (size_t i = 0; i < members; ++i) {
    const TaskRef member = MakeTaskRef(aWaiting.m_step, i);
    if (const Worker* worker = FindWorkerOf(member)) {
      aWait.m_cause = WaitCause::GangIncomplete;
      aWait.m_worker = DescribeWorker(*worker, member, aNow);
      aWait.m_behind = member;
      return true;
    }
  }
  return false;
}

bool
Scheduler::ExplainByRecovery(const WaitingTask& aWaiting, JobWait& aWait, Instant aNow)
{
  const Job& job = *aWaiting.m_step.m_job;
  const bool gang = StepOf(aWaiting.m_step).m_gang;
  const size_t first = gang ? 0 : aWaiting.m_index; // each member holds the whole gang
  const size_t end = gang ? StepOf(aWaiting.m_step).m_count : first + 1;
  for (size_t i = first; i < end; ++i) {
    const TaskRef task = MakeTaskRef(aWaiting.m_step, i);
    if (!MayRunElsewhere(job, task, aNow)) {
      continue;
    }
    aWait.m_cause = WaitCause::Recovering;
    if (const Worker* worker = FindAwaitedWorker(job, task, aNow)) {
      aWait.m_worker = DescribeWorker(*worker, task, aNow);
    }
    return true;
  }
  return false;
}

const FailedStep*
Scheduler::FindRulingOut(const WaitingStep& aWaiting,
                         const PlacementRequest& aRequest,
                         const std::vector<FailedStep>& aFailed,
                         Instant aNow) const
{
  const JobRank rank = RankOccurrence(*aWaiting.m_job, *aWaiting.m_occurrence, aNow);
  const FailedStep* found = nullptr;
  for (const FailedStep& failed : aFailed) {
    const bool same = failed.m_waiting.m_occurrence == aWaiting.m_occurrence &&
                      failed.m_waiting.m_step == aWaiting.m_step;
    if (same) {
      return nullptr;
    }
    const bool before = !(rank < failed.m_waiting.m_rank);
    if (!found && before && RulesOut(failed.m_request, aRequest)) {
      found = &failed;
    }
  }
  return found;
}

bool
Scheduler::FitsNow(const WaitingTask& aWaiting, PlacementRequest& aRequest, const JobWait& aWait)
{
  if (!aRequest.m_step->m_gang) {
    return aWait.m_obstacles[static_cast<size_t>(Obstacle::None)] > 0;
  }
  const size_t members =
    aWaiting.m_step.m_occurrence->m_steps[aWaiting.m_step.m_step].m_tasks.Size();
  return ChooseGangWorkers(members, aRequest).size() == members;
}

void
Scheduler::ExplainByPlacement(const WaitingTask& aWaiting,
                              const std::vector<FailedStep>& aFailed,
                              JobWait& aWait,
                              Instant aNow)
{
  if (ExplainByRecovery(aWaiting, aWait, aNow)) {
    return;
  }
  const StepRecord& record = aWaiting.m_step.m_occurrence->m_steps[aWaiting.m_step.m_step];
  if (m_waitingJobs.count(aWait.m_task.m_job) == 0 || record.m_waiting == 0) {
    aWait.m_cause = WaitCause::NotTried;
    return;
  }
  const std::vector<const Worker*> siblings = ListWorkersOf(record);
  PlacementRequest request = MakePlacementRequest(aWaiting.m_step, aNow);
  request.m_siblings = &siblings;
  if (const FailedStep* failed = FindRulingOut(aWaiting.m_step, request, aFailed, aNow)) {
    aWait.m_cause = WaitCause::PassedOver;
    aWait.m_behind = MakeTaskRef(failed->m_waiting, 0);
    return;
  }
  aWait.m_obstacles = CountObstacles(m_fleet, request, aNow);
  if (!FitsNow(aWaiting, request, aWait)) {
    aWait.m_cause = WaitCause::NoWorker;
  } else if (NeedsConfirmation(*aWaiting.m_step.m_job, aNow)) {
    aWait.m_cause = WaitCause::Unconfirmed;
    aWait.m_confirmationRequested = m_confirmation.IsRequested();
    if (m_confirmation.LearnedAt() != Instant()) {
      aWait.m_confirmationAge = aNow - m_confirmation.LearnedAt();
    }
  }
}

} // namespace egretturn
