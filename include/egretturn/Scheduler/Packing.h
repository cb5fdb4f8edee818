// Chooses the worker for a task by fit, load and locality. Pure functions.
#pragma once

#include "egretturn/Scheduler/JobBook.h"

namespace egretturn {

/// What a placement must respect besides the worker's own state.
struct PlacementRequest
{
  const GraphStep* m_step = nullptr;
  const std::string* m_service = nullptr;
  const Worker* m_avoid = nullptr;                        ///< Taken only if nothing else fits.
  const std::vector<const Worker*>* m_siblings = nullptr; ///< Workers of the step's live runs.
  const PressureModel* m_pressure = nullptr;
  ImageId m_image = 0;
  bool m_fewEmptyWorkers = false; ///< Few workers are left without serving tasks.
};

/// Whether \p aWorker may get new work at all at \p aNow.
bool TakesWork(const Worker& aWorker, Instant aNow);

/// Whether \p aWorker has room for one more task of \p aRequest.
bool Fits(const Worker& aWorker, const PlacementRequest& aRequest);

/// The best worker for \p aRequest, or nullptr if none fits.
Worker* ChooseWorker(Fleet& aFleet, const PlacementRequest& aRequest, Instant aNow);

} // namespace egretturn
