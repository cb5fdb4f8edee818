// Chooses the worker for a task by fit, load and locality. All functions are pure.
#pragma once

#include "egretturn/Scheduler/JobRegistry.h"

#include <array>
#include <string_view>

namespace egretturn {

/// Why a task cannot be placed on a worker.
enum class Obstacle : uint8_t
{
  None,
  NotRegistered, ///< The directory has no entry for the worker.
  Draining,
  Evacuated,         ///< The operator has requested the evacuation of its zone.
  EvacuationsUnread, ///< Such a request may be in force that was not read yet.
  NotPolled,         ///< It has not responded to a poll under this epoch yet.
  Unreachable,       ///< Its last polls failed.
  EndsUnlisted, ///< It has more ends to list than fit a response, so new ones would stay unknown.
  Unrecorded,   ///< Its record is not in the store yet.
  Avoided,      ///< For its recent failures.
  Slow,
  OtherService,
  LabelMismatch,
  MaxPerWorker, ///< The step's limit of tasks per worker is reached.
  Memory,       ///< Not enough memory or accelerators.
  Processors,
  NearTarget,          ///< A serving task there is near its target.
  UnknownInterference, ///< Interference is unknown both for another image there and for this one.
  Interference, ///< Known or assumed interference would exceed the target of a serving task there.
};

constexpr size_t kObstacles = static_cast<size_t>(Obstacle::Interference) + 1;

/// No best-effort task is throttled to less than this when it starts: it would move away again, or
/// not get ahead.
constexpr int kMinStartPercent = 25;

/// Number of workers by obstacle.
using ObstacleCounts = std::array<uint32_t, kObstacles>;

/// Returns the stable name of \p aObstacle. Thread-safe.
std::string_view NameOf(Obstacle aObstacle);

/// The constraints of a placement besides the worker's own state.
struct PlacementRequest
{
  const GraphStep* m_step = nullptr;
  const std::string* m_service = nullptr;
  const std::vector<const Worker*>* m_siblings = nullptr; ///< Workers of the step's live attempts.
  const ImageInterferenceModel* m_interference = nullptr;
  ImageId m_image = 0;
  double m_farFactor = 1;  ///< See SchedulerLimits.
  double m_typicalCpu = 0; ///< Mean best-effort demand in thousandths of a core; 0 if unknown.
  bool m_fewEmptyWorkers = false; ///< Few workers without serving tasks are left.
  bool m_mayInterfere = false;    ///< May start beside serving tasks that it interferes with.
};

/// Returns why \p aWorker accepts no new work at \p aNow, or Obstacle::None.
Obstacle FindUnavailability(const Worker& aWorker, Instant aNow);

/// Returns whether \p aWorker accepts new work at \p aNow.
bool AcceptsWork(const Worker& aWorker, Instant aNow);

/// Returns the workers that accept new work at \p aNow.
std::vector<Worker*> ListAvailableWorkers(Fleet& aFleet, Instant aNow);

/// Workers that accept no new work only because their attempts have failed or are slow.
struct PenalizedWorkers
{
  std::vector<Worker*> m_all;
  std::vector<Worker*> m_withoutRecentFailure;
};

/// Returns the workers that are avoided or slow at \p aNow.
PenalizedWorkers ListPenalizedWorkers(Fleet& aFleet, Instant aNow);

/// Returns the share of full speed, from 0 to 1, to which all tasks of \p aImage on \p aWorker must
/// be throttled so that the serving tasks there stay below their targets, once tasks that demand
/// \p aAdded thousandths of a core are added.
double AllowedThrottleShare(const Worker& aWorker,
                            const ImageInterferenceModel& aInterference,
                            ImageId aImage,
                            int64_t aAdded);

/// Returns why one more task of \p aRequest does not fit on \p aWorker, or Obstacle::None. Does not
/// check whether the worker accepts new work.
Obstacle FindObstacle(const Worker& aWorker, const PlacementRequest& aRequest);

/// Returns whether \p aWorker is of the request's service, has its label, and has not reached its
/// limit of tasks per worker. Does not look at the room there.
bool MeetsConstraints(const Worker& aWorker, const PlacementRequest& aRequest);

/// Returns whether the failure to place \p aFailed implies that \p aRequest does not fit on the
/// same fleet either, so that it need not be tried. May return false for a request that does not
/// fit, but never returns true for one that fits.
bool RulesOut(const PlacementRequest& aFailed, const PlacementRequest& aRequest);

/// Returns whether a task of \p aRequest would fit on a worker whose zone takes no starts now, if
/// the zone took them.
bool WaitsForZone(const Fleet& aFleet, const PlacementRequest& aRequest, Instant aNow);

/// Counts the workers by what keeps one more task of \p aRequest from them.
ObstacleCounts CountObstacles(const Fleet& aFleet, const PlacementRequest& aRequest, Instant aNow);

/// Returns how well a task of \p aRequest is placed on \p aWorker; the highest score is best.
/// \pre The task fits there.
double ScoreOf(const Worker& aWorker, const PlacementRequest& aRequest);

} // namespace egretturn
