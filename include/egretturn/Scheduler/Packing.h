// Chooses the worker for a task by fit, load and locality. Pure functions.
#pragma once

#include "egretturn/Scheduler/JobRegistry.h"

#include <array>
#include <string_view>

namespace egretturn {

/// What keeps a task from a worker.
enum class Obstacle : uint8_t
{
  None,
  Unlisted, ///< The directory has no entry for the worker.
  Draining,
  NotLooked,    ///< It has not answered under this epoch yet.
  OutOfContact, ///< Its last looks got no answer.
  Unrecorded,   ///< Its record is not in the store yet.
  Avoided,      ///< For its failures of late.
  Slow,
  OtherService,
  Label,
  Spread, ///< The step's limit for one worker.
  Memory, ///< Memory or accelerators.
  Processors,
  Pressed,    ///< A serving task there is near its target.
  OnTrial,    ///< Another image there is on trial, and this one would be.
  WouldPress, ///< By what was learned, or is assumed, of the images.
};

constexpr size_t kObstacles = static_cast<size_t>(Obstacle::WouldPress) + 1;

/// Workers by obstacle.
using ObstacleCounts = std::array<uint32_t, kObstacles>;

/// The stable name of \p aObstacle. Thread-safe.
std::string_view NameOf(Obstacle aObstacle);

/// What a placement must respect besides the worker's own state.
struct PlacementRequest
{
  const GraphStep* m_step = nullptr;
  const std::string* m_service = nullptr;
  const Worker* m_avoid = nullptr;                        ///< Taken only if nothing else fits.
  const std::vector<const Worker*>* m_siblings = nullptr; ///< Workers of the step's live runs.
  const PressureModel* m_pressure = nullptr;
  ImageId m_image = 0;
  double m_typicalCpu = 0; ///< Mean demand of tasks that fill, thousandths of a core; 0 if unknown.
  bool m_fewEmptyWorkers = false; ///< Few workers are left without serving tasks.
};

/// What keeps all new work from \p aWorker at \p aNow.
Obstacle FindUnavailability(const Worker& aWorker, Instant aNow);

/// Whether \p aWorker may get new work at all at \p aNow.
bool TakesWork(const Worker& aWorker, Instant aNow);

/// The share of their full pace, from 0 to 1, at which all tasks of \p aImage on \p aWorker may
/// work so that serving tasks there stay under their targets, with tasks of \p aAdded thousandths
/// of a core more.
double AllowedPace(const Worker& aWorker,
                   const PressureModel& aPressure,
                   ImageId aImage,
                   int64_t aAdded);

/// What keeps one more task of \p aRequest from \p aWorker, if that takes work at all.
Obstacle FindObstacle(const Worker& aWorker, const PlacementRequest& aRequest);

/// Whether the failure to place \p aFailed rules out \p aRequest on the same fleet, so that it need
/// not be tried. May miss cases, but never says so wrongly.
bool RulesOut(const PlacementRequest& aFailed, const PlacementRequest& aRequest);

/// What keeps one more task of \p aRequest from each worker.
ObstacleCounts CountObstacles(const Fleet& aFleet, const PlacementRequest& aRequest, Instant aNow);

/// The best worker for \p aRequest, or nullptr if none fits.
Worker* ChooseWorker(Fleet& aFleet, const PlacementRequest& aRequest, Instant aNow);

} // namespace egretturn
