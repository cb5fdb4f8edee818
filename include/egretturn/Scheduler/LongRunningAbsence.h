// Tells since when the long-running tasks of a job are away.
#pragma once

#include "egretturn/Scheduler/JobRegistry.h"

namespace egretturn {

/// Returns since when \p aTask of \p aOccurrence, which has no attempt, is away: since it last ran,
/// or since its turn came. An epoch that has restored the job knows neither; then since the job was
/// accepted. Thread-safe.
Instant AwaySince(const Job& aJob, const OccurrenceRecord& aOccurrence, const TaskRecord& aTask);

/// Returns since when the waiting task of \p aOccurrence that is away for longest is away, or when
/// the occurrence's turn came if none waits. Thread-safe.
Instant LongestAwaySince(const Job& aJob, const OccurrenceRecord& aOccurrence);

} // namespace egretturn
