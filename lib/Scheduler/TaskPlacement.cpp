// Decides which waiting task starts on which worker; stops attempts and drains workers.
#include "egretturn/Scheduler/CandidateRanking.h"
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>
#include <cassert>

namespace egretturn {

static constexpr AttemptNumber kAttemptsPerEpoch = 1 << 20; // starts of one task under one epoch

// An idle worker is polled this long after a start, or earlier, once it has responded to the start.
static constexpr Duration kPollDelayAfterStart = std::chrono::milliseconds(1000);

const GraphStep&
Scheduler::StepOf(const WaitingStep& aWaiting)
{
  return aWaiting.m_job->m_stored.m_graph.m_steps[aWaiting.m_step];
}

TaskRef
Scheduler::MakeTaskRef(const WaitingStep& aWaiting, size_t aIndex)
{
  return { aWaiting.m_job->m_stored.m_id,
           aWaiting.m_occurrence->m_number,
           aWaiting.m_step,
           static_cast<uint16_t>(aIndex) };
}

bool
Scheduler::PlaceStepAndCharge(const WaitingStep& aWaiting,
                              const PlacementRequest& aRequest,
                              Instant aNow)
{
  const StepRecord& record = aWaiting.m_occurrence->m_steps[aWaiting.m_step];
  const uint32_t waitingBefore = record.m_waiting;
  const FloorCandidate step = DescribeForFloors(aWaiting, aNow);
  const bool placed = PlaceStep(aWaiting, aRequest, aNow);
  if (record.m_waiting < waitingBefore) {
    m_floors.Charge(step, step.m_work * (waitingBefore - record.m_waiting) / waitingBefore);
  }
  return placed;
}

bool
Scheduler::PlaceStep(const WaitingStep& aWaiting, PlacementRequest aRequest, Instant aNow)
{
  StepRecord& record = aWaiting.m_occurrence->m_steps[aWaiting.m_step];
  std::vector<const Worker*> siblings = ListWorkersOf(record);
  aRequest.m_siblings = &siblings;
  if (aRequest.m_step->m_gang) {
    return PlaceGang(aWaiting, aRequest, aNow);
  }
  std::optional<CandidateRanking> ranking;
  std::optional<NearPlaces> nearPlaces;
  for (size_t i = 0; i < record.m_tasks.Size() && record.m_waiting > 0; ++i) {
    const TaskRecord& task = record.m_tasks[i];
    const TaskRef ref = MakeTaskRef(aWaiting, i);
    if (task.m_done || !task.m_attempts.empty()) {
      continue;
    }
    if (MayRunElsewhere(*aWaiting.m_job, ref, aNow)) {
      ReportTasks(&WaitingReport::AddRecovering, aWaiting, 1, aNow);
      continue;
    }
    if (m_fleet.HasAttempt(ref)) {
      ReportTasks(&WaitingReport::AddStopping, aWaiting, 1, aNow);
      continue;
    }
    const std::vector<Worker*>* lateStarters = m_fleet.FindLateStarts(ref);
    Worker* worker =
      lateStarters ? ChooseLateStarter(aWaiting, i, *lateStarters, aRequest, aNow) : nullptr;
    if (lateStarters && !worker && !MayStartBesideLateStart(aWaiting, i, aNow)) {
      ReportTasks(&WaitingReport::AddStopping, aWaiting, 1, aNow);
      continue;
    }
    if (!ranking) {
      TakeComparisons(aRequest, m_availableWorkers.size());
      ranking.emplace(m_availableWorkers, aRequest);
    }
    if (!worker) {
      worker = ranking->TakeBest(task.m_avoidedWorker);
      if (worker && PutsOffStart(aWaiting, i, *worker, aRequest, nearPlaces, aNow)) {
        ranking->Return(*worker);
        continue;
      }
    }
    const bool lastResort = !worker && MayUseLastResort(aWaiting, i, aNow);
    if (lastResort) {
      worker =
        CandidateRanking(LastResortOf(*aRequest.m_step), aRequest).TakeBest(task.m_avoidedWorker);
    }
    if (!worker) {
      ReportUnplacedStep(aWaiting, aRequest, aNow);
      return false;
    }
    if (!m_passBudget.TakeStart()) {
      return true; // the next pass goes on here
    }
    if (MayStartTasksOf(*aWaiting.m_job, aNow)) {
      StartAttempt(aWaiting, i, *worker, aNow);
      record.m_tasks.Edit(i).m_nextLastResortAt = aNow + kMaxJobIdleTime;
    } else {
      ReportTasks(&WaitingReport::AddUnconfirmed, aWaiting, 1, aNow);
      m_heldPlaces.Hold(*worker, aRequest.m_step->m_demand);
    }
    siblings.push_back(worker);
    // The job is no longer idle, and a first sibling sets the preferred rack.
    const bool changesAll = lastResort || lateStarters || aRequest.m_mayInterfere ||
                            (aRequest.m_step->m_sameRack && siblings.size() == 1);
    aRequest.m_mayInterfere = false;
    if (changesAll) {
      ranking.reset();
    } else {
      ranking->Return(*worker);
    }
  }
  return true;
}

void
Scheduler::TakeComparisons(const PlacementRequest& aRequest, size_t aWorkers)
{
  const bool compares = aRequest.m_step->m_maxPerWorker > 0;
  m_passBudget.TakeComparisons(aWorkers, compares ? aRequest.m_siblings->size() : 0);
}

std::vector<Worker*>
Scheduler::ChooseGangWorkers(size_t aMembers, PlacementRequest& aRequest)
{
  // Capacity is reserved tentatively, member by member, so that members on one worker add up.
  std::vector<Worker*> chosen;
  std::vector<const Worker*> siblings;
  aRequest.m_siblings = &siblings;
  std::optional<CandidateRanking> ranking;
  while (chosen.size() < aMembers) {
    if (!ranking) {
      TakeComparisons(aRequest, m_availableWorkers.size());
      ranking.emplace(m_availableWorkers, aRequest);
    }
    TakeComparisons(aRequest, 1);
    Worker* worker = ranking->TakeBest(nullptr);
    if (!worker) {
      break;
    }
    Reserve(*worker, aRequest.m_step->m_demand);
    chosen.push_back(worker);
    siblings.push_back(worker);
    if (aRequest.m_step->m_sameRack && siblings.size() == 1) {
      ranking.reset(); // the first member sets the preferred rack
    } else {
      ranking->Return(*worker);
    }
  }
  for (Worker* worker : chosen) {
    Release(*worker, aRequest.m_step->m_demand);
  }
  aRequest.m_siblings = nullptr;
  return chosen;
}

bool
Scheduler::PlaceGang(const WaitingStep& aWaiting, PlacementRequest& aRequest, Instant aNow)
{
  StepRecord& record = aWaiting.m_occurrence->m_steps[aWaiting.m_step];
  if (record.m_waiting < record.m_tasks.Size()) { // members of the last attempt are still there
    ReportTasks(&WaitingReport::AddIncomplete, aWaiting, record.m_waiting, aNow);
    return true;
  }
  for (size_t i = 0; i < record.m_tasks.Size(); ++i) {
    const TaskRef ref = MakeTaskRef(aWaiting, i);
    if (MayRunElsewhere(*aWaiting.m_job, ref, aNow)) {
      ReportTasks(&WaitingReport::AddRecovering, aWaiting, record.m_waiting, aNow);
      return true;
    }
    const bool lateStart =
      m_fleet.FindLateStarts(ref) && !MayStartBesideLateStart(aWaiting, i, aNow);
    if (m_fleet.HasAttempt(ref) || lateStart) {
      ReportTasks(&WaitingReport::AddStopping, aWaiting, record.m_waiting, aNow);
      return true;
    }
  }
  const std::vector<Worker*> chosen = ChooseGangWorkers(record.m_tasks.Size(), aRequest);
  if (chosen.size() < record.m_tasks.Size()) {
    ReportUnplacedStep(aWaiting, aRequest, aNow);
    return false;
  }
  if (!MayStartTasksOf(*aWaiting.m_job, aNow)) {
    ReportTasks(&WaitingReport::AddUnconfirmed, aWaiting, record.m_waiting, aNow);
    for (Worker* worker : chosen) {
      m_heldPlaces.Hold(*worker, aRequest.m_step->m_demand);
    }
    return true;
  }
  // All members have the same attempt number and the same checkpoint.
  uint32_t starts = 0;
  std::string checkpoint;
  for (const TaskTable::Records::value_type& taskEntry : record.m_tasks.GetRecords()) {
    const TaskRecord& task = taskEntry.second;
    starts = std::max(starts, task.m_starts);
    checkpoint = task.m_checkpoint.empty() ? checkpoint : task.m_checkpoint;
  }
  for (size_t i = 0; i < chosen.size(); ++i) {
    TaskRecord& task = record.m_tasks.Edit(i);
    task.m_starts = starts;
    task.m_checkpoint = checkpoint;
    m_passBudget.TakeStart();
    StartAttempt(aWaiting, i, *chosen[i], aNow);
  }
  return true;
}

void
Scheduler::StartAttempt(const WaitingStep& aWaiting, size_t aIndex, Worker& aWorker, Instant aNow)
{
  Job& job = *aWaiting.m_job;
  const GraphStep& step = StepOf(aWaiting);
  StepRecord& record = aWaiting.m_occurrence->m_steps[aWaiting.m_step];
  TaskRecord& task = record.m_tasks.Edit(aIndex);
  const TaskRef ref = MakeTaskRef(aWaiting, aIndex);
  assert(!m_fleet.HasAttempt(ref) && "two attempts of a task would run at the same time");
  assert(aWorker.m_record == RecordState::Durable && "the next leader finds no attempt there");
  const AttemptNumber number = (m_epoch - 1) * kAttemptsPerEpoch + ++task.m_starts;
  if (task.m_attempts.empty()) {
    --record.m_waiting;
  }
  task.m_attempts.push_back({ &aWorker, number });
  ++job.m_liveAttempts;
  job.m_lastActiveAt = aNow;
  AttemptState attempt;
  attempt.m_attempt = number;
  attempt.m_demand = step.m_demand;
  attempt.m_bestEffort = step.m_bestEffort;
  attempt.m_longRunning = step.m_longRunning;
  attempt.m_targetMs = step.m_targetMs;
  attempt.m_image = m_interference.Intern(step.m_image);
  attempt.m_startedAt = aNow;
  attempt.m_startPending = true;
  attempt.m_hasValidDuration = task.m_checkpoint.empty();
  attempt.m_phaseSince = aNow;
  attempt.m_progressedAt = aNow;
  NotePlace(aWaiting, task, aWorker, attempt, aNow);
  if (!NeedsPoll(aWorker)) {
    aWorker.m_nextPollAt = aNow + kPollDelayAfterStart;
  }
  m_fleet.AddAttempt(aWorker, ref, attempt);
  if (attempt.m_bestEffort) {
    ThrottleForNewAttempt(aWorker, attempt.m_image, aNow);
  } else if (attempt.m_targetMs > 0) {
    for (const BestEffortGroup& group : aWorker.m_bestEffortGroups) {
      ThrottleForNewAttempt(aWorker, group.m_image, aNow);
      ApplyThrottle(aWorker, group, aNow);
    }
  }
  StartTask start;
  start.m_worker = aWorker.m_report.m_id;
  start.m_address = aWorker.m_report.m_address;
  start.m_task = ref;
  start.m_attempt = number;
  start.m_payload = job.m_stored.m_graph.m_payload;
  start.m_checkpoint = task.m_checkpoint;
  start.m_leaseEndMs = m_fleet.LeaseEnd(aWorker, aNow);
  start.m_fence = FenceFor(aWorker);
  m_fleet.ExtendLease(aWorker, aNow);
  ++m_counters.m_starts;
  if (step.m_longRunning) {
    m_absences.OnStart(ref, start.m_worker, aNow);
  }
  if (LogEnabled(LogLevel::Info)) {
    Log(LogLine(LogLevel::Info, "run_start")
          .Add("job", FormatGraphId(ref.m_job))
          .Add("task", FormatTaskRef(ref))
          .Add("run", number)
          .Add("worker", start.m_worker)
          .Add("image", step.m_image)
          .Add("cpu", step.m_demand.m_cpuMilli)
          .Add("waited_ms", ToMillis(aNow - job.m_submittedAt))
          .Add("used_cpu", aWorker.m_used.m_cpuMilli)
          .Add("fill_cpu", aWorker.m_bestEffortCpu));
  }
  Emit(std::move(start));
}

void
Scheduler::StopAttempt(Worker& aWorker, const TaskRef& aTask, Instant aNow)
{
  const auto it = aWorker.m_attempts.find(aTask);
  if (it == aWorker.m_attempts.end() || it->second.m_phase == AttemptPhase::Stopping ||
      it->second.m_phase == AttemptPhase::EndUnlisted) {
    return;
  }
  if (it->second.m_phase == AttemptPhase::Running) {
    RecordRun(aTask, LastSeenRunning(aWorker, it->second));
  }
  it->second.m_phase = AttemptPhase::Stopping;
  it->second.m_phaseSince = aNow;
  it->second.m_stopConfirmed = false;
  ++m_counters.m_stops;
  EmitStop(aWorker, aTask, it->second.m_attempt);
}

void
Scheduler::StopAllAttempts(Job& aJob, Instant aNow)
{
  for (OccurrenceRecord& occurrence : aJob.m_occurrences) {
    for (size_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const TaskTable& tasks = occurrence.m_steps[s].m_tasks;
      for (const TaskTable::Records::value_type& taskEntry : tasks.GetRecords()) {
        const TaskRef ref{
          aJob.m_stored.m_id, occurrence.m_number, static_cast<uint16_t>(s), taskEntry.first
        };
        for (const LiveAttempt& attempt : taskEntry.second.m_attempts) {
          StopAttempt(*attempt.m_worker, ref, aNow);
        }
      }
    }
  }
}

void
Scheduler::DrainWorker(Worker& aWorker, Instant aNow)
{
  std::vector<TaskRef> movable;
  for (const std::pair<const TaskRef, AttemptState>& refEntry : aWorker.m_attempts) {
    const TaskRef& ref = refEntry.first;
    const GraphStep* step = JobRegistry::FindGraphStep(m_jobs.Find(ref.m_job), ref);
    if (!step || refEntry.second.m_phase == AttemptPhase::Stopping) {
      continue; // also an attempt that was never requested, of a step that may not exist
    }
    if (step->m_longRunning || step->m_checkpoints) {
      movable.push_back(ref);
    }
  }
  for (const TaskRef& ref : movable) {
    StopAttempt(aWorker, ref, aNow);
  }
}

} // namespace egretturn
