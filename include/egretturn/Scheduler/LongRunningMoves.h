// Decides when serving tasks leave a worker that has turned slow, within the limit of what their
// steps may miss.
#pragma once

#include "egretturn/Scheduler/Packing.h"

namespace egretturn {

/// The tail latency of a serving task, and the one that is expected of it.
struct TailSample
{
  double m_ratio = 0;         ///< Of tail latency to target.
  double m_expectedRatio = 0; ///< By the load of its job and the best-effort tasks beside it.
};

/// Returns a sample for each serving task on \p aWorker whose job's load is known. Not thread-safe.
std::vector<TailSample> CollectTailSamples(const Worker& aWorker,
                                           JobRegistry& aJobs,
                                           const ImageInterferenceModel& aInterference,
                                           Instant aNow);

/// Returns whether the worker of \p aSamples must be slow: each of its serving tasks has a multiple
/// of its expected tail latency. False without samples. Thread-safe.
bool IsServingSlow(const std::vector<TailSample>& aSamples);

/// Returns whether a worker that has been slow since \p aSince is likely to stay so for longer than
/// a move takes. Thread-safe.
bool IsMoveWorthwhile(Instant aSince, Instant aNow);

/// Returns how many tasks of the step of \p aTask are not known to be at work at \p aNow, whatever
/// the cause. \pre \p aStep is the record of that step, and long-running. Thread-compatible.
uint32_t CountUnavailable(const StepRecord& aStep, const TaskRef& aTask, Instant aNow);

/// Returns whether a task of \p aStep may be stopped while \p aUnavailable others of the step are
/// not at work. Without a limit, the tasks of a step move one at a time. Thread-safe.
bool MayInterruptTask(const GraphStep& aStep, uint32_t aUnavailable);

/// Returns whether a task of \p aRequest fits on another worker than \p aWorker that accepts new
/// work. Thread-compatible.
bool FitsElsewhere(const Fleet& aFleet,
                   const Worker& aWorker,
                   const PlacementRequest& aRequest,
                   Instant aNow);

} // namespace egretturn
