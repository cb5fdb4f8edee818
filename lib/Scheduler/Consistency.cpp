// Finds contradictions in the scheduler's own records. A task that no record counts as waiting
// never starts, and no report names it.
#include "egretturn/Scheduler/Scheduler.h"

#include <algorithm>

namespace egretturn {

static bool
IsWaiting(const TaskRecord& aTask)
{
  return !aTask.m_done && aTask.m_attempts.empty();
}

/// Returns whether each attempt of \p aTask is one that its worker has, too.
static bool
AreAttemptsOnWorkers(const TaskRecord& aTask, const TaskRef& aRef)
{
  return std::all_of(
    aTask.m_attempts.begin(), aTask.m_attempts.end(), [&](const LiveAttempt& aAttempt) {
      const auto it = aAttempt.m_worker->m_attempts.find(aRef);
      return it != aAttempt.m_worker->m_attempts.end() &&
             it->second.m_attempt == aAttempt.m_attempt;
    });
}

void
Scheduler::CheckOccurrence(const Job& aJob,
                           const OccurrenceRecord& aOccurrence,
                           std::vector<std::string>& aFound) const
{
  for (size_t s = 0; s < aOccurrence.m_steps.size(); ++s) {
    const StepRecord& step = aOccurrence.m_steps[s];
    TaskRef ref{ aJob.m_stored.m_id, aOccurrence.m_number, static_cast<uint16_t>(s), 0 };
    size_t waiting = step.m_tasks.CountUntouched();
    size_t done = step.m_tasks.CountReleased();
    for (const TaskTable::Records::value_type& taskEntry : step.m_tasks.GetRecords()) {
      waiting += IsWaiting(taskEntry.second) ? 1 : 0;
      done += taskEntry.second.m_done ? 1 : 0;
    }
    if (waiting != step.m_waiting) {
      aFound.push_back("a step counts other tasks as waiting: " + FormatTaskRef(ref));
    }
    if (done != step.m_done) {
      aFound.push_back("a step counts other tasks as done: " + FormatTaskRef(ref));
    }
    if (waiting > 0 && aJob.m_durable && m_waitingJobs.count(aJob.m_stored.m_id) == 0) {
      aFound.push_back("no placement pass will find a waiting task: " + FormatTaskRef(ref));
    }
    for (const TaskTable::Records::value_type& taskEntry : step.m_tasks.GetRecords()) {
      ref.m_index = taskEntry.first;
      if (!AreAttemptsOnWorkers(taskEntry.second, ref)) {
        aFound.push_back("a task has an attempt that its worker has not: " + FormatTaskRef(ref));
      }
    }
  }
}

void
Scheduler::CheckJobRecord(const Job& aJob, std::vector<std::string>& aFound) const
{
  size_t attempts = 0;
  for (const OccurrenceRecord& occurrence : aJob.m_occurrences) {
    CheckOccurrence(aJob, occurrence, aFound);
    for (const StepRecord& step : occurrence.m_steps) {
      for (const TaskTable::Records::value_type& taskEntry : step.m_tasks.GetRecords()) {
        attempts += taskEntry.second.m_attempts.size();
      }
    }
  }
  const std::string name = FormatGraphId(aJob.m_stored.m_id);
  if (attempts != aJob.m_liveAttempts) {
    aFound.push_back("a job counts other attempts: " + name);
  }
  const uint32_t total = std::max<uint32_t>(1, aJob.m_stored.m_graph.m_occurrences);
  const bool opens = m_jobsWithFutureOccurrences.count(aJob.m_stored.m_id) > 0;
  if (aJob.m_nextOccurrence < total && !opens) {
    aFound.push_back("an occurrence will never open: " + name);
  }
}

std::vector<std::string>
Scheduler::ListInconsistencies() const
{
  std::vector<std::string> found;
  for (const std::pair<const GraphId, std::unique_ptr<Job>>& jobEntry : m_jobs.All()) {
    if (!IsEnded(jobEntry.second->m_state)) {
      CheckJobRecord(*jobEntry.second, found);
    }
  }
  return found;
}

} // namespace egretturn
