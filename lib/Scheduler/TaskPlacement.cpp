// Which waiting task starts where; stops and evacuation.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

// A pass over many steps costs more, so that passes are farther apart.
static constexpr Duration kPlaceGap = std::chrono::milliseconds(5);
static constexpr Duration kPlaceGapPerStep = std::chrono::microseconds(150);
static constexpr Duration kLongestPlaceGap = std::chrono::milliseconds(45);
// What keeps tasks from workers also passes with time alone: avoidance, slowness, patience.
static constexpr Duration kLongestPlacePause = std::chrono::milliseconds(300);
static constexpr AttemptNumber kRunsPerEpoch = 1 << 20; // starts of one task under one epoch
// With room to spare, a job that has stood still for so long runs even beside what it presses.
static constexpr Duration kIdlePatience = std::chrono::milliseconds(1500);
static constexpr double kPlentyOfRoom = 0.7;

// An idle worker is looked at this long after a start, or earlier, once it has answered the start.
static constexpr Duration kLookAfterStart = std::chrono::milliseconds(1000);

static constexpr Duration kReportEvery = std::chrono::seconds(1);

// Of the processors, kept without serving tasks for work that would press them.
static constexpr double kShareKeptEmpty = 0.15;

void
Scheduler::NoteJob(const Job& aJob)
{
  const std::string& route = aJob.m_stored.m_terms.m_route;
  if (!aJob.IsLasting()) {
    m_workMeans.Note(route, aJob.TotalWork());
  }
  for (const GraphStep& step : aJob.m_stored.m_graph.m_steps) {
    if (step.m_bestEffort) {
      m_fillDemandMeans.Note(route, static_cast<double>(step.m_demand.m_cpuMilli));
    }
  }
}

OrderRank
Scheduler::RankOccurrence(const Job& aJob, const OccurrenceRecord& aOccurrence, Instant aNow) const
{
  const RemainingWork remaining = EstimateRemaining(aJob, aOccurrence);
  const JobTerms& terms = aJob.m_stored.m_terms;
  OrderInput input;
  input.m_priority = terms.m_priority;
  input.m_longRunning = aJob.IsLasting();
  input.m_age = aNow - aJob.m_submittedAt;
  input.m_objective = aJob.m_objective;
  input.m_path = remaining.m_path;
  input.m_totalWork = aJob.TotalWork();
  input.m_remainingWork = remaining.m_coreSeconds;
  input.m_meanWork = m_workMeans.Of(terms.m_route, input.m_totalWork);
  return RankOf(input);
}

std::vector<Scheduler::WaitingStep>
Scheduler::CollectWaiting(Instant aNow)
{
  std::vector<WaitingStep> waiting;
  for (auto it = m_waitingJobs.begin(); it != m_waitingJobs.end();) {
    Job* job = m_book.Find(*it);
    bool any = false;
    if (job && job->m_durable && !IsEnded(job->m_state)) {
      for (OccurrenceRecord& occurrence : job->m_occurrences) {
        const OrderRank rank = RankOccurrence(*job, occurrence, aNow);
        for (size_t s = 0; s < occurrence.m_steps.size(); ++s) {
          if (occurrence.m_steps[s].m_waiting == 0) {
            continue;
          }
          any = true;
          const bool held = job->m_recovered && !m_recovered && !m_placedBefore;
          if (!held && JobBook::IsReady(*job, occurrence, s)) {
            waiting.push_back({ job, &occurrence, static_cast<uint16_t>(s), rank });
          }
        }
      }
    }
    it = any ? std::next(it) : m_waitingJobs.erase(it);
  }
  std::sort(
    waiting.begin(), waiting.end(), [](const WaitingStep& aLeft, const WaitingStep& aRight) {
      return aLeft.m_rank < aRight.m_rank;
    });
  return waiting;
}

PlacementRequest
Scheduler::MakeRequest(const WaitingStep& aWaiting, Instant aNow)
{
  const Job& job = *aWaiting.m_job;
  const bool idle = job.m_liveRuns == 0 && aNow - job.m_activeAt >= kIdlePatience;
  PlacementRequest request;
  request.m_step = &StepOf(aWaiting);
  request.m_service = &job.m_stored.m_terms.m_service;
  request.m_pressure = idle && m_fleet.ShareInUse() < kPlentyOfRoom ? nullptr : &m_pressure;
  request.m_image = m_pressure.Intern(request.m_step->m_image);
  request.m_typicalCpu = m_fillDemandMeans.Of(job.m_stored.m_terms.m_route, 0);
  request.m_fewEmptyWorkers =
    request.m_step->m_targetMs > 0 && m_fleet.ShareWithoutServing() < kShareKeptEmpty;
  return request;
}

void
Scheduler::PlaceWaiting(Instant aNow)
{
  const bool overdue = !m_waitingJobs.empty() && aNow >= m_nextPlaceAt + kLongestPlacePause;
  if ((!m_placeNeeded && !overdue) || aNow < m_nextPlaceAt) {
    return;
  }
  m_placeNeeded = false;
  const std::vector<WaitingStep> steps = CollectWaiting(aNow);
  m_nextPlaceAt =
    aNow + kPlaceGap + std::min<Duration>(kPlaceGapPerStep * steps.size(), kLongestPlaceGap);
  if (aNow >= m_nextReportAt) {
    m_waiting.emplace();
  }
  std::vector<PlacementRequest> noRoom;
  for (const WaitingStep& waiting : steps) {
    const PlacementRequest request = MakeRequest(waiting, aNow);
    const bool hopeless =
      std::any_of(noRoom.begin(), noRoom.end(), [&](const PlacementRequest& aFailed) {
        return RulesOut(aFailed, request);
      });
    if (hopeless) {
      ReportPassedOver(waiting, aNow);
    } else if (!PlaceStep(waiting, request, aNow)) {
      noRoom.push_back(request);
    }
  }
  FinishReport(aNow);
}

void
Scheduler::ReportPassedOver(const WaitingStep& aWaiting, Instant aNow)
{
  if (!m_waiting) {
    return;
  }
  const StepRecord& record = aWaiting.m_occurrence->m_steps[aWaiting.m_step];
  const ImageId image = m_pressure.Intern(StepOf(aWaiting).m_image);
  m_waiting->NotePassedOver(image, record.m_waiting, aNow - aWaiting.m_job->m_submittedAt);
}

void
Scheduler::ReportNoRoom(const WaitingStep& aWaiting, const PlacementRequest& aRequest, Instant aNow)
{
  if (!m_waiting) {
    return;
  }
  const StepRecord& record = aWaiting.m_occurrence->m_steps[aWaiting.m_step];
  m_waiting->NoteNoRoom(aRequest.m_image,
                        record.m_waiting,
                        aNow - aWaiting.m_job->m_submittedAt,
                        CountObstacles(m_fleet, aRequest, aNow));
}

void
Scheduler::FinishReport(Instant aNow)
{
  if (!m_waiting) {
    return;
  }
  m_nextReportAt = aNow + kReportEvery;
  const WaitingTotals totals = m_waiting->Totals();
  m_counters.m_tasksWaiting = totals.m_tasks;
  m_counters.m_tasksSkipped = totals.m_passedOver;
  if (LogEnabled(LogLevel::Info)) {
    m_waiting->LogLines(m_pressure);
    m_pressure.LogChanges();
  }
  m_waiting.reset();
}

const GraphStep&
Scheduler::StepOf(const WaitingStep& aWaiting)
{
  return aWaiting.m_job->m_stored.m_graph.m_steps[aWaiting.m_step];
}

TaskRef
Scheduler::RefOf(const WaitingStep& aWaiting, size_t aIndex)
{
  return { aWaiting.m_job->m_stored.m_id,
           aWaiting.m_occurrence->m_number,
           aWaiting.m_step,
           static_cast<uint16_t>(aIndex) };
}

bool
Scheduler::PlaceStep(const WaitingStep& aWaiting, PlacementRequest aRequest, Instant aNow)
{
  StepRecord& record = aWaiting.m_occurrence->m_steps[aWaiting.m_step];
  std::vector<const Worker*> siblings;
  for (const TaskRecord& task : record.m_tasks) {
    for (const LiveRun& run : task.m_attempts) {
      siblings.push_back(run.m_worker);
    }
  }
  aRequest.m_siblings = &siblings;
  if (aRequest.m_step->m_gang) {
    PlaceGang(aWaiting, aRequest, aNow);
    return true;
  }
  for (size_t i = 0; i < record.m_tasks.size() && record.m_waiting > 0; ++i) {
    const TaskRecord& task = record.m_tasks[i];
    const TaskRef ref = RefOf(aWaiting, i);
    if (task.m_done || !task.m_attempts.empty() || MayRunElsewhere(*aWaiting.m_job, ref)) {
      continue;
    }
    aRequest.m_avoid = task.m_avoid;
    Worker* worker = ChooseWorker(m_fleet, aRequest, aNow);
    if (!worker) {
      ReportNoRoom(aWaiting, aRequest, aNow);
      return false;
    }
    StartRun(aWaiting, i, *worker, aRequest.m_pressure != nullptr, aNow);
    siblings.push_back(worker);
  }
  return true;
}

void
Scheduler::PlaceGang(const WaitingStep& aWaiting, PlacementRequest& aRequest, Instant aNow)
{
  StepRecord& record = aWaiting.m_occurrence->m_steps[aWaiting.m_step];
  if (record.m_waiting < record.m_tasks.size()) {
    return; // members of the last run are still being stopped
  }
  for (size_t i = 0; i < record.m_tasks.size(); ++i) {
    if (MayRunElsewhere(*aWaiting.m_job, RefOf(aWaiting, i))) {
      return;
    }
  }
  // Room is taken on trial, member by member, so that members on one worker add up.
  std::vector<Worker*> chosen;
  std::vector<const Worker*> siblings;
  aRequest.m_siblings = &siblings;
  while (chosen.size() < record.m_tasks.size()) {
    Worker* worker = ChooseWorker(m_fleet, aRequest, aNow);
    if (!worker) {
      break;
    }
    const Demand& demand = aRequest.m_step->m_demand;
    worker->m_used.m_cpuMilli += demand.m_cpuMilli;
    worker->m_used.m_memoryMb += demand.m_memoryMb;
    worker->m_used.m_accelerators += demand.m_accelerators;
    chosen.push_back(worker);
    siblings.push_back(worker);
  }
  for (Worker* worker : chosen) {
    const Demand& demand = aRequest.m_step->m_demand;
    worker->m_used.m_cpuMilli -= demand.m_cpuMilli;
    worker->m_used.m_memoryMb -= demand.m_memoryMb;
    worker->m_used.m_accelerators -= demand.m_accelerators;
  }
  if (chosen.size() < record.m_tasks.size()) {
    return;
  }
  // All members carry the same run number and the same checkpoint.
  uint32_t starts = 0;
  std::string checkpoint;
  for (const TaskRecord& task : record.m_tasks) {
    starts = std::max(starts, task.m_starts);
    checkpoint = task.m_checkpoint.empty() ? checkpoint : task.m_checkpoint;
  }
  for (size_t i = 0; i < chosen.size(); ++i) {
    record.m_tasks[i].m_starts = starts;
    record.m_tasks[i].m_checkpoint = checkpoint;
    StartRun(aWaiting, i, *chosen[i], aRequest.m_pressure != nullptr, aNow);
  }
}

void
Scheduler::StartRun(const WaitingStep& aWaiting,
                    size_t aIndex,
                    Worker& aWorker,
                    bool aPaced,
                    Instant aNow)
{
  Job& job = *aWaiting.m_job;
  const GraphStep& step = StepOf(aWaiting);
  StepRecord& record = aWaiting.m_occurrence->m_steps[aWaiting.m_step];
  TaskRecord& task = record.m_tasks[aIndex];
  const TaskRef ref = RefOf(aWaiting, aIndex);
  if (aWorker.m_attempts.count(ref) > 0) {
    return; // a run of the task is still being stopped there
  }
  const AttemptNumber number = (m_epoch - 1) * kRunsPerEpoch + ++task.m_starts;
  if (task.m_attempts.empty()) {
    --record.m_waiting;
  }
  task.m_attempts.push_back({ &aWorker, number });
  ++job.m_liveRuns;
  job.m_activeAt = aNow;
  WorkerRun run;
  run.m_attempt = number;
  run.m_demand = step.m_demand;
  run.m_bestEffort = step.m_bestEffort;
  run.m_longRunning = step.m_longRunning;
  run.m_targetMs = step.m_targetMs;
  run.m_image = m_pressure.Intern(step.m_image);
  run.m_startedAt = aNow;
  run.m_undisturbed = task.m_checkpoint.empty();
  run.m_phaseSince = aNow;
  run.m_progressedAt = aNow;
  if (!NeedsLook(aWorker)) {
    aWorker.m_lookDueAt = aNow + kLookAfterStart;
  }
  Fleet::AddRun(aWorker, ref, run);
  if (run.m_bestEffort && aPaced) {
    PaceForNewRun(aWorker, run.m_image, aNow);
  }
  StartTask start;
  start.m_worker = aWorker.m_report.m_id;
  start.m_address = aWorker.m_report.m_address;
  start.m_task = ref;
  start.m_attempt = number;
  start.m_payload = job.m_stored.m_graph.m_payload;
  start.m_checkpoint = task.m_checkpoint;
  start.m_leaseEndMs = m_fleet.LeaseEnd(aWorker, aNow);
  m_fleet.ExtendLease(aWorker, aNow);
  if (job.m_state == JobState::Queued) {
    job.m_state = JobState::Running;
  }
  ++m_counters.m_starts;
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
          .Add("fill_cpu", aWorker.m_fillCpu));
  }
  Emit(std::move(start));
}

void
Scheduler::StopRun(Worker& aWorker, const TaskRef& aTask, Instant aNow)
{
  const auto it = aWorker.m_attempts.find(aTask);
  if (it == aWorker.m_attempts.end() || it->second.m_phase == RunPhase::Stopping) {
    return;
  }
  it->second.m_phase = RunPhase::Stopping;
  it->second.m_phaseSince = aNow;
  it->second.m_stopAnswered = false;
  ++m_counters.m_stops;
  Emit(StopTask{ aWorker.m_report.m_id, aWorker.m_report.m_address, aTask, it->second.m_attempt });
}

void
Scheduler::StopAllRuns(Job& aJob, Instant aNow)
{
  for (OccurrenceRecord& occurrence : aJob.m_occurrences) {
    for (size_t s = 0; s < occurrence.m_steps.size(); ++s) {
      std::vector<TaskRecord>& tasks = occurrence.m_steps[s].m_tasks;
      for (size_t i = 0; i < tasks.size(); ++i) {
        const TaskRef ref{ aJob.m_stored.m_id,
                           occurrence.m_number,
                           static_cast<uint16_t>(s),
                           static_cast<uint16_t>(i) };
        for (const LiveRun& run : tasks[i].m_attempts) {
          StopRun(*run.m_worker, ref, aNow);
        }
      }
    }
  }
}

void
Scheduler::EvacuateWorker(Worker& aWorker, Instant aNow)
{
  std::vector<TaskRef> movable;
  for (const std::pair<const TaskRef, WorkerRun>& refEntry : aWorker.m_attempts) {
    const TaskRef& ref = refEntry.first;
    const Job* job = m_book.Find(ref.m_job);
    if (!job || refEntry.second.m_phase == RunPhase::Stopping) {
      continue; // also what was never asked for, of a step that may not exist
    }
    const GraphStep& step = job->m_stored.m_graph.m_steps[ref.m_step];
    if (step.m_longRunning || step.m_checkpoints) {
      movable.push_back(ref);
    }
  }
  for (const TaskRef& ref : movable) {
    StopRun(aWorker, ref, aNow);
  }
}

} // namespace egretturn
