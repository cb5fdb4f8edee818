// Chooses where room is cleared for a long-running task that fits nowhere: where tasks that end
// leave it before long, if no other task takes their room.
#pragma once

#include "egretturn/Scheduler/Packing.h"

namespace egretturn {

/// Returns the one of \p aWorkers that lacks the least room for a task of \p aRequest, of those
/// that have it without the tasks that end; nullptr if there is none. \pre \p aWorkers accept new
/// work, and the request's siblings are set. Thread-safe.
Worker* ChooseWorkerToClear(const std::vector<Worker*>& aWorkers, const PlacementRequest& aRequest);

} // namespace egretturn
