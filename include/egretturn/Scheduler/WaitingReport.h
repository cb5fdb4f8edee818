// Reports why tasks wait, for logs and metrics: counts the workers by what keeps the tasks from
// them during one pass over the waiting steps.
#pragma once

#include "egretturn/Scheduler/Packing.h"

#include <map>
#include <set>

namespace egretturn {

/// Why the tasks of one image wait, at one point in time.
struct WaitingImage
{
  uint32_t m_steps = 0;
  uint32_t m_tasks = 0;
  uint32_t m_skipped = 0;       ///< Tasks that were not tried, because a similar step did not fit.
  uint32_t m_recovering = 0;    ///< Tasks that may run on a worker of an earlier epoch.
  uint32_t m_unconfirmed = 0;   ///< Tasks that need a fresh confirmation that this leader leads.
  uint32_t m_incomplete = 0;    ///< Tasks of gangs of which a member still has an attempt.
  uint32_t m_evacuated = 0;     ///< Tasks that would fit in a zone that takes no starts.
  uint32_t m_stopping = 0;      ///< Tasks of which a worker still stops an attempt.
  Duration m_oldestAge{};       ///< Age of the oldest of their jobs.
  ObstacleCounts m_obstacles{}; ///< Workers by what keeps the last tried step from them.
};

/// The jobs of one service that have had nothing running for a while, although tasks of them wait.
struct IdleJobs
{
  std::set<GraphId> m_jobs;
  Duration m_longestIdle{};
  double m_reserved = 0; ///< Share of the service's processors.
};

/// Totals over the waiting tasks of all images.
struct WaitingTotals
{
  uint64_t m_tasks = 0;
  uint64_t m_skipped = 0;     ///< The part of m_tasks that was not tried.
  uint64_t m_recovering = 0;  ///< The part of m_tasks that may run on a worker of an earlier epoch.
  uint64_t m_evacuated = 0;   ///< The part of m_tasks that would fit in a zone without starts.
  uint64_t m_unconfirmed = 0; ///< The part of m_tasks that needs a fresh confirmation.
};

/// Collects why tasks wait. Not thread-safe.
class WaitingReport
{
public:
  /// Adds \p aTasks tasks of \p aImage that were not tried.
  void AddSkipped(ImageId aImage, uint32_t aTasks, Duration aAge);

  /// Adds \p aTasks tasks of \p aImage that fit on no worker; \p aObstacles tells why, and
  /// \p aWaitsForZone that they would fit in a zone that takes no starts.
  void AddUnplaced(ImageId aImage,
                   uint32_t aTasks,
                   Duration aAge,
                   const ObstacleCounts& aObstacles,
                   bool aWaitsForZone);

  /// Adds \p aTasks tasks of \p aImage that an earlier epoch may have started on a worker that has
  /// not been polled yet.
  void AddRecovering(ImageId aImage, uint32_t aTasks, Duration aAge);

  /// Adds \p aTasks tasks of \p aImage that need a fresh confirmation that this leader leads.
  void AddUnconfirmed(ImageId aImage, uint32_t aTasks, Duration aAge);

  /// Adds \p aTasks tasks of \p aImage whose gangs still have attempts of other members.
  void AddIncomplete(ImageId aImage, uint32_t aTasks, Duration aAge);

  /// Adds \p aTasks tasks of \p aImage of which a worker still stops an attempt, or of whose gang.
  void AddStopping(ImageId aImage, uint32_t aTasks, Duration aAge);

  /// Adds a job of \p aService that has had nothing running for \p aIdle although tasks of it wait,
  /// while \p aReserved of the processors of the service are reserved.
  void AddIdleJob(GraphId aJob, const std::string& aService, Duration aIdle, double aReserved);

  /// Returns the totals over all images.
  WaitingTotals Totals() const;

  /// Logs a line for each image, with its name from \p aInterference, and one for each service with
  /// idle jobs.
  void LogLines(const ImageInterferenceModel& aInterference) const;

private:
  WaitingImage& AddTasks(ImageId aImage, uint32_t aTasks, Duration aAge);

  std::map<ImageId, WaitingImage> m_images;
  std::map<std::string, IdleJobs> m_idleJobs; ///< By service.
};

} // namespace egretturn
