// Tells since when the long-running tasks of a job that have run before are away.
#pragma once

#include "egretturn/Scheduler/JobRegistry.h"

#include <optional>

namespace egretturn {

/// Returns since when \p aTask of \p aOccurrence, which has no attempt, is away: since it last ran;
/// nothing if it has never run. An epoch that has restored a job does not know which of its tasks
/// have run, nor when; then since the job was accepted, if any of them has. Thread-safe.
std::optional<Instant> AwaySince(const Job& aJob,
                                 const OccurrenceRecord& aOccurrence,
                                 const TaskRecord& aTask);

/// Returns since when the waiting task of \p aOccurrence that is away for longest is away; nothing
/// if none is. Thread-safe.
std::optional<Instant> LongestAwaySince(const Job& aJob, const OccurrenceRecord& aOccurrence);

} // namespace egretturn
