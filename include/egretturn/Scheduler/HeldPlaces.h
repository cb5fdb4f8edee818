// Counts demands against workers without an attempt: for a gang that is put together, and for tasks
// that may not start yet.
#pragma once

#include "egretturn/Scheduler/Fleet.h"

#include <vector>

namespace egretturn {

/// Counts \p aDemand against \p aWorker until Release().
void Reserve(Worker& aWorker, const Demand& aDemand);
void Release(Worker& aWorker, const Demand& aDemand);

/// Keeps the places of tasks from the tasks that rank after them, until the end of a pass. Not
/// thread-safe.
class HeldPlaces
{
public:
  /// Holds the place also where it is not free yet: then nothing else starts there that needs room.
  /// \pre \p aWorker lives until ReleaseAll().
  void Hold(Worker& aWorker, const Demand& aDemand);
  void ReleaseAll();

private:
  struct Place
  {
    Worker* m_worker;
    Demand m_demand;
  };

  std::vector<Place> m_places;
};

} // namespace egretturn
