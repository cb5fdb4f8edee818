#include "egretturn/Scheduler/LongRunningAbsence.h"

#include <algorithm>

namespace egretturn {

std::optional<Instant>
AwaySince(const Job& aJob, const OccurrenceRecord& aOccurrence, const TaskRecord& aTask)
{
  if (aTask.m_lastRanAt != Instant()) {
    return aTask.m_lastRanAt;
  }
  if (!aJob.m_recovered || aJob.m_state != JobState::Running) {
    return std::nullopt;
  }
  const bool scheduled = aJob.m_stored.m_graph.m_occurrences > 0;
  return scheduled ? std::max(aJob.m_submittedAt, aOccurrence.m_openedAt) : aJob.m_submittedAt;
}

std::optional<Instant>
LongestAwaySince(const Job& aJob, const OccurrenceRecord& aOccurrence)
{
  std::optional<Instant> since;
  const auto add = [&](const TaskRecord& aTask) {
    const std::optional<Instant> away = AwaySince(aJob, aOccurrence, aTask);
    since = away && (!since || *away < *since) ? away : since;
  };
  for (const StepRecord& step : aOccurrence.m_steps) {
    if (step.m_waiting == 0) {
      continue;
    }
    if (step.m_tasks.CountUntouched() > 0) {
      add(TaskRecord());
    }
    for (const TaskTable::Records::value_type& taskEntry : step.m_tasks.GetRecords()) {
      if (!taskEntry.second.m_done && taskEntry.second.m_attempts.empty()) {
        add(taskEntry.second);
      }
    }
  }
  return since;
}

} // namespace egretturn
