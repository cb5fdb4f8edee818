// Checks what callers see as a lost job: nothing of it runs although a task could.
#include "SchedulerWorld.h"

namespace egretturn::schedtest {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The bounds of RULES.md, LOST.
static constexpr Duration kMaxRunnableTime = seconds(3);
static constexpr Duration kCalmBefore = seconds(4);
static constexpr Duration kTimeAfterLastRun = seconds(6); // of a task that lasts
static constexpr double kMaxShareInUse = 0.5;
static constexpr uint32_t kTimesOver = 2;

static constexpr Duration kCheckInterval = milliseconds(100);

std::vector<int64_t>
SchedulerWorld::DescribeParties() const
{
  std::vector<int64_t> parties;
  for (const std::shared_ptr<Leader>& leader : m_leaders) {
    parties.push_back(leader->m_stopped ? -1 : static_cast<int64_t>(leader->m_epoch));
  }
  for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
    if (worker->HasLeft()) {
      continue;
    }
    parties.push_back(worker->Report().m_incarnation);
    parties.push_back(worker->m_failsAll ? 1 : 0);
  }
  return parties;
}

bool
SchedulerWorld::IsDisturbed()
{
  std::vector<int64_t> parties = DescribeParties();
  const bool changed = parties != m_parties;
  m_parties = std::move(parties);
  const bool led = !m_leaders.empty() && !m_leaders.back()->m_stopped;
  if (changed || !led || HasOtherFaults() || m_lateCallsUntil > m_now) {
    return true;
  }
  const Leader& leader = *m_leaders.back();
  const bool storeAway = m_faults.m_storeDown || m_faults.m_lostResponseProbability > 0 ||
                         leader.m_responseLost || !leader.m_reachesStore;
  const bool workerAway = std::any_of(
    m_workers.begin(), m_workers.end(), [&](const std::unique_ptr<FakeWorker>& aWorker) {
      return !aWorker->HasLeft() &&
             (aWorker->m_unreachableUntil > m_now || aWorker->m_deregisteredUntil > m_now);
    });
  const std::map<WorkerName, Instant>& cut = leader.m_caller->m_unreachableUntil;
  const bool cutOff =
    std::any_of(cut.begin(), cut.end(), [&](const std::pair<const WorkerName, Instant>& aCut) {
      return aCut.second > m_now;
    });
  return storeAway || workerAway || cutOff || m_faults.m_lateCallProbability > 0;
}

bool
SchedulerWorld::IsTaskDone(const TaskRef& aTask) const
{
  if (m_oracle.IsDoneForGood(aTask)) {
    return true;
  }
  const JobHistory& job = m_oracle.m_jobs.at(aTask.m_job);
  const GraphStep& step = job.m_submission.m_graph.m_steps[aTask.m_step];
  TaskRef task = aTask;
  for (uint32_t i = 0; i < step.m_count; ++i) {
    task.m_index = step.m_gang ? static_cast<uint16_t>(i) : aTask.m_index;
    for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
      if (worker->HoldsDoneEnd(task)) {
        return true;
      }
    }
    if (!step.m_gang) {
      break;
    }
  }
  return false;
}

bool
SchedulerWorld::IsStepDone(const TaskRef& aFirst) const
{
  const JobHistory& job = m_oracle.m_jobs.at(aFirst.m_job);
  TaskRef task = aFirst;
  for (uint32_t i = 0; i < job.m_submission.m_graph.m_steps[aFirst.m_step].m_count; ++i) {
    task.m_index = static_cast<uint16_t>(i);
    if (!IsTaskDone(task)) {
      return false;
    }
  }
  return true;
}

bool
SchedulerWorld::HasTurnCome(GraphId aId,
                            const JobHistory& aJob,
                            uint32_t aOccurrence,
                            size_t aStep) const
{
  const Graph& graph = aJob.m_submission.m_graph;
  const int64_t dueMs = graph.m_firstDueMs + aOccurrence * graph.m_intervalMs;
  if (graph.m_occurrences > 0 && WallMs() - kMaxClockLagMs < dueMs) {
    return false;
  }
  const std::vector<uint32_t>& dependencies = graph.m_steps[aStep].m_dependencies;
  return std::all_of(dependencies.begin(), dependencies.end(), [&](uint32_t aDependency) {
    return IsStepDone({ aId, aOccurrence, static_cast<uint16_t>(aDependency), 0 });
  });
}

bool
SchedulerWorld::IsAnythingRunning(GraphId aId, const JobHistory& aJob) const
{
  const Graph& graph = aJob.m_submission.m_graph;
  for (uint32_t k = 0; k < std::max<uint32_t>(1, graph.m_occurrences); ++k) {
    for (size_t s = 0; s < graph.m_steps.size(); ++s) {
      for (uint32_t i = 0; i < graph.m_steps[s].m_count; ++i) {
        if (m_oracle.IsRunning({ aId, k, static_cast<uint16_t>(s), static_cast<uint16_t>(i) })) {
          return true;
        }
      }
    }
  }
  return false;
}

double
SchedulerWorld::ShareInUse() const
{
  Demand used;
  Demand capacity;
  for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
    if (!worker->m_failsAll && !worker->HasLeft()) {
      used.m_cpuMilli += worker->TotalDemand().m_cpuMilli;
      used.m_memoryMb += worker->TotalDemand().m_memoryMb;
      capacity.m_cpuMilli += worker->Report().m_capacity.m_cpuMilli;
      capacity.m_memoryMb += worker->Report().m_capacity.m_memoryMb;
    }
  }
  const double cpu = static_cast<double>(used.m_cpuMilli) /
                     static_cast<double>(std::max<int64_t>(1, capacity.m_cpuMilli));
  const double memory = static_cast<double>(used.m_memoryMb) /
                        static_cast<double>(std::max<int64_t>(1, capacity.m_memoryMb));
  return std::max(cpu, memory);
}

bool
SchedulerWorld::FitsTwice(const TaskRef& aTask, const GraphStep& aStep) const
{
  const uint32_t needed = kTimesOver * (aStep.m_gang ? aStep.m_count : 1);
  TaskRef first = aTask;
  first.m_index = 0;
  int64_t room = 0;
  for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
    if (worker->m_failsAll || worker->HasLeft() || worker->Report().m_draining) {
      continue;
    }
    const Demand used = worker->TotalDemand();
    const Demand& capacity = worker->Report().m_capacity;
    int64_t fit = std::min((capacity.m_cpuMilli - used.m_cpuMilli) / aStep.m_demand.m_cpuMilli,
                           (capacity.m_memoryMb - used.m_memoryMb) / aStep.m_demand.m_memoryMb);
    if (aStep.m_maxPerWorker > 0) {
      const uint32_t siblings = m_oracle.CountRunning(first, worker->Report().m_id);
      fit = std::min<int64_t>(fit, static_cast<int64_t>(aStep.m_maxPerWorker) - siblings);
    }
    room += std::max<int64_t>(0, fit);
  }
  return room >= needed;
}

void
SchedulerWorld::NoteRunnable(const std::string& aWhat, bool aRunnable)
{
  if (!aRunnable) {
    m_runnableSince.erase(aWhat);
    return;
  }
  const Instant since = m_runnableSince.emplace(aWhat, m_now).first->second;
  if (m_now - std::max(since, m_calmSince + kCalmBefore) > kMaxRunnableTime) {
    m_oracle.ReportViolation("could run and doesn't: " + aWhat);
    m_runnableSince.erase(aWhat);
  }
}

void
SchedulerWorld::CheckJobRuns(GraphId aId, const JobHistory& aJob, double aShareInUse)
{
  const Graph& graph = aJob.m_submission.m_graph;
  std::string waiting;
  if (aShareInUse < kMaxShareInUse && !IsAnythingRunning(aId, aJob)) {
    for (uint32_t k = 0; k < std::max<uint32_t>(1, graph.m_occurrences); ++k) {
      for (size_t s = 0; s < graph.m_steps.size() && waiting.empty(); ++s) {
        for (uint32_t i = 0; i < graph.m_steps[s].m_count && waiting.empty(); ++i) {
          const TaskRef task{ aId, k, static_cast<uint16_t>(s), static_cast<uint16_t>(i) };
          const bool runnable =
            !IsTaskDone(task) && HasTurnCome(aId, aJob, k, s) && FitsTwice(task, graph.m_steps[s]);
          waiting = runnable ? FormatTaskRef(task) : "";
        }
      }
    }
  }
  NoteRunnable("job " + FormatGraphId(aId), !waiting.empty());
}

void
SchedulerWorld::CheckLongRunningJob(GraphId aId, const JobHistory& aJob)
{
  const std::vector<GraphStep>& steps = aJob.m_submission.m_graph.m_steps;
  for (size_t s = 0; s < steps.size(); ++s) {
    for (uint32_t i = 0; i < steps[s].m_count; ++i) {
      const TaskRef task{ aId, 0, static_cast<uint16_t>(s), static_cast<uint16_t>(i) };
      const std::string name = FormatTaskRef(task);
      const bool running = m_oracle.IsRunning(task);
      if (running) {
        m_lastRunAt[name] = m_now;
      }
      const auto last = m_lastRunAt.find(name);
      const bool recent = last != m_lastRunAt.end() && m_now - last->second < kTimeAfterLastRun;
      const bool away = !running && !recent;
      m_asked += away && m_now >= m_calmSince + kCalmBefore ? 1 : 0;
      NoteRunnable("task " + name, away && FitsTwice(task, steps[s]));
    }
  }
}

void
SchedulerWorld::CheckRunnableTasks()
{
  if (IsDisturbed()) {
    m_calmSince = m_now;
  }
  if (m_now < m_nextRunnableCheckAt) {
    return;
  }
  m_nextRunnableCheckAt = m_now + kCheckInterval;
  const double shareInUse = ShareInUse();
  for (const std::pair<const GraphId, JobHistory>& jobEntry : m_oracle.m_jobs) {
    const GraphId id = jobEntry.first;
    const JobHistory& job = jobEntry.second;
    const std::optional<JobState> state = StateOf(id);
    if (!job.m_accepted || job.m_cancelled || !state || IsEnded(*state)) {
      m_runnableSince.erase("job " + FormatGraphId(id));
    } else if (job.m_submission.m_graph.m_steps[0].m_longRunning) {
      CheckLongRunningJob(id, job);
    } else {
      CheckJobRuns(id, job, shareInUse);
    }
  }
}

} // namespace egretturn::schedtest
