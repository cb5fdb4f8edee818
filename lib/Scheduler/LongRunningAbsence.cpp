#include "egretturn/Scheduler/LongRunningAbsence.h"

#include <algorithm>

namespace egretturn {

/// Returns when the turn of the tasks of \p aOccurrence came.
static Instant
TurnOf(const Job& aJob, const OccurrenceRecord& aOccurrence)
{
  const bool openedEarlier = aJob.m_recovered && aJob.m_stored.m_graph.m_occurrences == 0;
  return openedEarlier ? aJob.m_submittedAt : std::max(aJob.m_submittedAt, aOccurrence.m_openedAt);
}

Instant
AwaySince(const Job& aJob, const OccurrenceRecord& aOccurrence, const TaskRecord& aTask)
{
  return std::max(TurnOf(aJob, aOccurrence), aTask.m_lastRanAt);
}

Instant
LongestAwaySince(const Job& aJob, const OccurrenceRecord& aOccurrence)
{
  const Instant turn = TurnOf(aJob, aOccurrence);
  Instant since = Instant::max();
  for (const StepRecord& step : aOccurrence.m_steps) {
    if (step.m_waiting == 0) {
      continue;
    }
    if (step.m_tasks.CountUntouched() > 0) {
      return turn;
    }
    for (const TaskTable::Records::value_type& taskEntry : step.m_tasks.GetRecords()) {
      const TaskRecord& task = taskEntry.second;
      if (!task.m_done && task.m_attempts.empty()) {
        since = std::min(since, AwaySince(aJob, aOccurrence, task));
      }
    }
  }
  return since == Instant::max() ? turn : since;
}

} // namespace egretturn
