#include "egretturn/Scheduler/JobRegistry.h"

#include <algorithm>
#include <cassert>

namespace egretturn {

bool
Job::IsLongRunning() const
{
  const std::vector<GraphStep>& steps = m_stored.m_graph.m_steps;
  return std::any_of(
    steps.begin(), steps.end(), [](const GraphStep& aStep) { return aStep.m_longRunning; });
}

bool
Job::HasOpenOccurrences() const
{
  const uint32_t total = std::max<uint32_t>(1, m_stored.m_graph.m_occurrences);
  return m_nextOccurrence < total ||
         std::any_of(m_occurrences.begin(),
                     m_occurrences.end(),
                     [](const OccurrenceRecord& aOccurrence) { return !aOccurrence.m_complete; });
}

Job*
JobRegistry::Find(GraphId aId)
{
  const auto it = m_jobs.find(aId);
  return it == m_jobs.end() ? nullptr : it->second.get();
}

/// Sets the objective of \p aJob by the expected durations of its steps.
static void
SetObjective(Job& aJob)
{
  const JobTerms& terms = aJob.m_stored.m_terms;
  const int64_t pathMs = CriticalPathMs(aJob.m_stored.m_graph, aJob.m_stepDurationMs);
  const double stretchedMs = terms.m_stretch * static_cast<double>(pathMs);
  aJob.m_objective =
    std::chrono::milliseconds(terms.m_targetMs + static_cast<int64_t>(stretchedMs));
}

void
Job::RecordDuration(size_t aStep, int64_t aMs)
{
  m_stepDurationMs[aStep] =
    m_stepDurationMeasured[aStep] ? std::max(m_stepDurationMs[aStep], aMs) : aMs;
  m_stepDurationMeasured[aStep] = true;
  SetObjective(*this);
}

/// Returns the core-seconds of \p aTasks tasks of \p aStep that take \p aMs each.
static double
CoreSeconds(const GraphStep& aStep, size_t aTasks, int64_t aMs)
{
  static constexpr double kMilliPerUnit = 1e6; // thousandths of a core times milliseconds
  return static_cast<double>(aTasks) * static_cast<double>(aMs * aStep.m_demand.m_cpuMilli) /
         kMilliPerUnit;
}

double
Job::TotalWork() const
{
  double work = 0;
  for (size_t s = 0; s < m_stepDurationMs.size(); ++s) {
    const GraphStep& step = m_stored.m_graph.m_steps[s];
    work += CoreSeconds(step, step.m_count, m_stepDurationMs[s]);
  }
  return work;
}

/// Returns the bytes that an occurrence takes before any of its tasks has started.
static size_t
EstimateOccurrenceBytes(const Graph& aGraph)
{
  return sizeof(OccurrenceRecord) + aGraph.m_steps.size() * sizeof(StepRecord);
}

// What the tables of jobs take for one, beside the job itself.
static constexpr size_t kJobOverheadBytes = 400;

size_t
EstimateJobBytes(const Graph& aGraph)
{
  size_t bytes =
    sizeof(Job) + kJobOverheadBytes + aGraph.m_payload.capacity() + EstimateOccurrenceBytes(aGraph);
  for (const GraphStep& step : aGraph.m_steps) {
    bytes += sizeof(GraphStep) + step.m_label.capacity() + step.m_dataRack.capacity() +
             step.m_image.capacity() + step.m_dependencies.capacity() * sizeof(uint32_t);
    bytes += sizeof(int64_t); // its expected duration
  }
  return bytes;
}

bool
JobRegistry::HasRoomFor(const std::string& aRoute, const Graph& aGraph) const
{
  return m_budget.MayAccept(aRoute, EstimateJobBytes(aGraph));
}

/// Returns the number of occurrences of \p aJob that are open.
static size_t
CountOpen(const Job& aJob)
{
  return static_cast<size_t>(std::count_if(
    aJob.m_occurrences.begin(), aJob.m_occurrences.end(), [](const OccurrenceRecord& aOccurrence) {
      return !aOccurrence.m_complete;
    }));
}

bool
JobRegistry::MayOpenNext(const Job& aJob) const
{
  return CountOpen(aJob) == 0 || m_budget.MayGrow(EstimateOccurrenceBytes(aJob.m_stored.m_graph));
}

void
JobRegistry::CloseOccurrence(Job& aJob, OccurrenceRecord& aOccurrence)
{
  for (const StepRecord& step : aOccurrence.m_steps) {
    for (const TaskTable::Records::value_type& taskEntry : step.m_tasks.GetRecords()) {
      aJob.m_liveAttempts -= static_cast<uint32_t>(taskEntry.second.m_attempts.size());
    }
  }
  aOccurrence.m_complete = true;
  aOccurrence.m_steps = {};
  Recount(aJob);
}

void
JobRegistry::CloseAll(Job& aJob)
{
  aJob.m_occurrences = {};
  Recount(aJob);
}

void
JobRegistry::Recount(Job& aJob)
{
  const std::string& route = aJob.m_stored.m_terms.m_route;
  m_budget.Subtract(route, aJob.m_countedBytes);
  const size_t open = CountOpen(aJob);
  aJob.m_countedBytes = EstimateJobBytes(aJob.m_stored.m_graph) +
                        (aJob.m_occurrences.size() - open) * sizeof(OccurrenceRecord);
  if (open > 1) {
    aJob.m_countedBytes += (open - 1) * EstimateOccurrenceBytes(aJob.m_stored.m_graph);
  }
  m_budget.Add(route, aJob.m_countedBytes);
}

void
JobRegistry::ReleaseInputs(Job& aJob)
{
  assert(IsEnded(aJob.m_durableState) && aJob.m_recordWritten && "the job may still need them");
  Graph& graph = aJob.m_stored.m_graph;
  graph.m_payload = std::string();
  for (GraphStep& step : graph.m_steps) {
    step.m_label = std::string();
    step.m_dataRack = std::string();
    step.m_dependencies = {};
  }
  aJob.m_occurrences = {};
  Recount(aJob);
}

void
JobRegistry::Erase(GraphId aId)
{
  const auto it = m_jobs.find(aId);
  if (it != m_jobs.end()) {
    m_budget.Subtract(it->second->m_stored.m_terms.m_route, it->second->m_countedBytes);
    m_jobs.erase(it);
  }
}

Job&
JobRegistry::Add(StoredJob aStored, const DurationModel& aDurations, Instant aNow)
{
  assert(m_jobs.count(aStored.m_id) == 0 && "the job already exists");
  std::unique_ptr<Job> job = std::make_unique<Job>();
  job->m_submittedAt = aNow;
  job->m_lastActiveAt = aNow;
  job->m_stored = std::move(aStored);
  const std::string& route = job->m_stored.m_terms.m_route;
  for (const GraphStep& step : job->m_stored.m_graph.m_steps) {
    job->m_stepDurationMs.push_back(
      step.m_longRunning ? 0 : aDurations.Predict(route, step.m_estimateMs));
  }
  job->m_stepDurationMeasured.resize(job->m_stepDurationMs.size());
  SetObjective(*job);
  Job& added = *job;
  m_jobs.emplace(added.m_stored.m_id, std::move(job));
  Recount(added);
  return added;
}

static OccurrenceRecord&
OpenOccurrence(Job& aJob, uint32_t aNumber, Instant aNow = Instant())
{
  OccurrenceRecord& occurrence = aJob.m_occurrences.emplace_back();
  occurrence.m_number = aNumber;
  occurrence.m_openedAt = aNow;
  for (const GraphStep& step : aJob.m_stored.m_graph.m_steps) {
    occurrence.m_steps.emplace_back(step.m_count);
  }
  return occurrence;
}

bool
JobRegistry::OpenDue(Job& aJob, int64_t aWallMs, Instant aNow)
{
  const Graph& graph = aJob.m_stored.m_graph;
  if (graph.m_occurrences == 0) {
    if (aJob.m_nextOccurrence > 0) {
      return false;
    }
    OpenOccurrence(aJob, aJob.m_nextOccurrence++, aNow);
    return true;
  }
  bool opened = false;
  while (aJob.m_nextOccurrence < graph.m_occurrences &&
         graph.m_firstDueMs + aJob.m_nextOccurrence * graph.m_intervalMs <= aWallMs &&
         MayOpenNext(aJob)) {
    OpenOccurrence(aJob, aJob.m_nextOccurrence++, aNow);
    Recount(aJob);
    opened = true;
  }
  return opened;
}

bool
JobRegistry::OpenThrough(Job& aJob, uint32_t aNumber)
{
  const uint32_t total = std::max<uint32_t>(1, aJob.m_stored.m_graph.m_occurrences);
  if (aNumber >= total || aNumber < aJob.m_nextOccurrence) {
    return false;
  }
  while (aJob.m_nextOccurrence <= aNumber) {
    OpenOccurrence(aJob, aJob.m_nextOccurrence++);
  }
  Recount(aJob);
  return true;
}

OccurrenceRecord*
JobRegistry::FindOccurrence(Job& aJob, uint32_t aNumber)
{
  for (OccurrenceRecord& occurrence : aJob.m_occurrences) {
    if (occurrence.m_number == aNumber) {
      return &occurrence;
    }
  }
  return nullptr;
}

const GraphStep*
JobRegistry::FindGraphStep(const Job* aJob, const TaskRef& aTask)
{
  const bool known = aJob && aTask.m_step < aJob->m_stored.m_graph.m_steps.size();
  return known ? &aJob->m_stored.m_graph.m_steps[aTask.m_step] : nullptr;
}

StepRecord*
JobRegistry::FindStepOf(Job& aJob, const TaskRef& aTask)
{
  OccurrenceRecord* occurrence = FindOccurrence(aJob, aTask.m_occurrence);
  if (!occurrence || aTask.m_step >= occurrence->m_steps.size()) {
    return nullptr;
  }
  StepRecord& step = occurrence->m_steps[aTask.m_step];
  return aTask.m_index < step.m_tasks.Size() ? &step : nullptr;
}

TaskRecord*
JobRegistry::EditTask(Job& aJob, const TaskRef& aTask)
{
  StepRecord* step = FindStepOf(aJob, aTask);
  return step ? &step->m_tasks.Edit(aTask.m_index) : nullptr;
}

void
JobRegistry::ReleaseTask(Job& aJob, const TaskRef& aTask)
{
  if (StepRecord* step = FindStepOf(aJob, aTask)) {
    step->m_tasks.Release(aTask.m_index);
  }
}

bool
JobRegistry::IsDone(const OccurrenceRecord& aOccurrence)
{
  const std::vector<StepRecord>& steps = aOccurrence.m_steps;
  return std::all_of(steps.begin(), steps.end(), [](const StepRecord& aStep) {
    return aStep.m_done == aStep.m_tasks.Size();
  });
}

bool
JobRegistry::IsReady(const Job& aJob, const OccurrenceRecord& aOccurrence, size_t aStep)
{
  const std::vector<uint32_t>& dependencies = aJob.m_stored.m_graph.m_steps[aStep].m_dependencies;
  return std::all_of(dependencies.begin(), dependencies.end(), [&](uint32_t aDependency) {
    const StepRecord& step = aOccurrence.m_steps[aDependency];
    return step.m_done == step.m_tasks.Size();
  });
}

std::vector<const Worker*>
ListWorkersOf(const StepRecord& aStep)
{
  std::vector<const Worker*> workers;
  for (const TaskTable::Records::value_type& taskEntry : aStep.m_tasks.GetRecords()) {
    for (const LiveAttempt& attempt : taskEntry.second.m_attempts) {
      workers.push_back(attempt.m_worker);
    }
  }
  return workers;
}

RemainingWork
EstimateRemainingWork(const Job& aJob, const OccurrenceRecord& aOccurrence)
{
  const std::vector<GraphStep>& steps = aJob.m_stored.m_graph.m_steps;
  std::vector<int64_t> endMs(steps.size(), 0);
  RemainingWork remaining;
  int64_t longestPathMs = 0;
  for (size_t s = 0; s < aOccurrence.m_steps.size(); ++s) {
    const GraphStep& step = steps[s];
    const size_t open = aOccurrence.m_steps[s].m_tasks.Size() - aOccurrence.m_steps[s].m_done;
    for (uint32_t dependency : step.m_dependencies) {
      endMs[s] = std::max(endMs[s], endMs[dependency]);
    }
    endMs[s] += open > 0 ? aJob.m_stepDurationMs[s] : 0;
    longestPathMs = std::max(longestPathMs, endMs[s]);
    remaining.m_coreSeconds += CoreSeconds(step, open, aJob.m_stepDurationMs[s]);
  }
  remaining.m_criticalPath = std::chrono::milliseconds(longestPathMs);
  return remaining;
}

/// Adds the progress of the tasks from \p aFirst to \p aEnd of the step \p aStep to \p aStored.
static void
DescribeTasks(const TaskTable& aTasks,
              size_t aStep,
              size_t aFirst,
              size_t aEnd,
              bool aWithCheckpoints,
              StoredOccurrence& aStored)
{
  aStored.m_done.resize(aStep + 1);
  aTasks.VisitKnown(aFirst, aEnd, [&](size_t aIndex, const TaskRecord& aTask) {
    const std::string checkpoint = aWithCheckpoints ? aTask.m_checkpoint : std::string();
    if (aTask.m_done) {
      aStored.m_done[aStep].push_back(static_cast<uint16_t>(aIndex));
    } else if (!aTask.m_failedAttempts.empty() || !checkpoint.empty()) {
      aStored.m_tasks.push_back({ static_cast<uint16_t>(aStep),
                                  static_cast<uint16_t>(aIndex),
                                  aTask.m_failedAttempts,
                                  checkpoint });
    }
  });
}

static StoredOccurrence
DescribeOccurrence(const OccurrenceRecord& aOccurrence, ProgressDetail aDetail)
{
  StoredOccurrence stored;
  stored.m_number = aOccurrence.m_number;
  stored.m_complete = aOccurrence.m_complete;
  if (aOccurrence.m_complete || aDetail == ProgressDetail::Outline) {
    return stored;
  }
  for (size_t s = 0; s < aOccurrence.m_steps.size(); ++s) {
    const TaskTable& tasks = aOccurrence.m_steps[s].m_tasks;
    DescribeTasks(tasks, s, 0, tasks.Size(), aDetail == ProgressDetail::Full, stored);
  }
  return stored;
}

std::vector<std::pair<TaskRef, StoredProgressPart>>
DescribeProgressParts(const Job& aJob, size_t aTasks)
{
  assert(aTasks > 0 && "a part has tasks");
  std::vector<std::pair<TaskRef, StoredProgressPart>> parts;
  TaskRef first{ aJob.m_stored.m_id, 0, 0, 0 };
  for (const OccurrenceRecord& occurrence : aJob.m_occurrences) {
    first.m_occurrence = occurrence.m_number;
    for (size_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const TaskTable& tasks = occurrence.m_steps[s].m_tasks;
      first.m_step = static_cast<uint16_t>(s);
      for (size_t i = 0; i < tasks.Size(); i += aTasks) {
        first.m_index = static_cast<uint16_t>(i);
        StoredProgressPart part;
        part.m_acceptedMs = aJob.m_stored.m_acceptedMs;
        part.m_occurrence.m_number = occurrence.m_number;
        const size_t end = std::min(tasks.Size(), i + aTasks);
        DescribeTasks(tasks, s, i, end, true, part.m_occurrence);
        if (!part.m_occurrence.m_done[s].empty() || !part.m_occurrence.m_tasks.empty()) {
          parts.emplace_back(first, std::move(part));
        }
      }
    }
  }
  return parts;
}

StoredProgress
DescribeProgress(const Job& aJob, ProgressDetail aDetail)
{
  StoredProgress progress;
  progress.m_state = aJob.m_state;
  progress.m_endedMs = aJob.m_endedMs;
  progress.m_endedReadingMs = aJob.m_endedReadingMs;
  if (IsEnded(aJob.m_state)) {
    return progress;
  }
  for (const OccurrenceRecord& occurrence : aJob.m_occurrences) {
    progress.m_occurrences.push_back(DescribeOccurrence(occurrence, aDetail));
  }
  return progress;
}

/// Adds the facts of \p aStored to those known of \p aTask.
static void
MergeTask(TaskRecord& aTask, const StoredTask& aStored)
{
  std::vector<AttemptNumber>& failed = aTask.m_failedAttempts;
  for (const AttemptNumber attempt : aStored.m_failedAttempts) {
    if (std::find(failed.begin(), failed.end(), attempt) == failed.end()) {
      failed.push_back(attempt);
    }
  }
  if (aTask.m_checkpoint.empty() && !aTask.m_done) {
    aTask.m_checkpoint = aStored.m_checkpoint;
  }
}

void
MergeProgress(OccurrenceRecord& aOccurrence, const StoredOccurrence& aStored)
{
  for (size_t s = 0; s < aStored.m_done.size() && s < aOccurrence.m_steps.size(); ++s) {
    StepRecord& step = aOccurrence.m_steps[s];
    for (uint16_t index : aStored.m_done[s]) {
      if (index < step.m_tasks.Size() && !step.m_tasks[index].m_done) {
        step.m_tasks.MarkDone(index);
        ++step.m_done;
        --step.m_waiting;
      }
    }
  }
  for (const StoredTask& stored : aStored.m_tasks) {
    const bool known = stored.m_step < aOccurrence.m_steps.size() &&
                       stored.m_index < aOccurrence.m_steps[stored.m_step].m_tasks.Size();
    if (known) {
      MergeTask(aOccurrence.m_steps[stored.m_step].m_tasks.Edit(stored.m_index), stored);
    }
  }
}

static void
ApplyOccurrence(Job& aJob, const StoredOccurrence& aStored)
{
  OccurrenceRecord& occurrence = OpenOccurrence(aJob, aStored.m_number);
  aJob.m_nextOccurrence = std::max(aJob.m_nextOccurrence, aStored.m_number + 1);
  occurrence.m_complete = aStored.m_complete;
  if (aStored.m_complete) {
    occurrence.m_steps.clear();
    return;
  }
  MergeProgress(occurrence, aStored);
}

void
ApplyProgress(Job& aJob, const StoredProgress& aProgress)
{
  aJob.m_state = aProgress.m_state;
  aJob.m_durableState = aProgress.m_state;
  aJob.m_endedMs = aProgress.m_endedMs;
  aJob.m_endedReadingMs = aProgress.m_endedReadingMs;
  for (const StoredOccurrence& stored : aProgress.m_occurrences) {
    ApplyOccurrence(aJob, stored);
  }
}

} // namespace egretturn
