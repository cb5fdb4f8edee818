// Why tasks wait: what keeps them from each worker, gathered in a pass over the waiting steps, for
// logs and metrics.
#pragma once

#include "egretturn/Scheduler/Packing.h"

#include <map>

namespace egretturn {

/// What keeps the waiting tasks of one image, at one moment.
struct WaitingImage
{
  uint32_t m_steps = 0;
  uint32_t m_tasks = 0;
  uint32_t m_passedOver = 0;  ///< Tasks not tried, since a step like theirs found no room.
  Duration m_oldest{};        ///< Age of the oldest job among them.
  ObstacleCounts m_workers{}; ///< Workers by what keeps the last step tried from them.
};

/// Waiting tasks of all images.
struct WaitingTotals
{
  uint64_t m_tasks = 0;
  uint64_t m_passedOver = 0; ///< Those of them that were not tried.
};

/// Not thread-safe.
class WaitingReport
{
public:
  /// Notes \p aTasks tasks of \p aImage that were not tried.
  void NotePassedOver(ImageId aImage, uint32_t aTasks, Duration aAge);

  /// Notes \p aTasks tasks of \p aImage that found no room; \p aWorkers says why.
  void NoteNoRoom(ImageId aImage, uint32_t aTasks, Duration aAge, const ObstacleCounts& aWorkers);

  /// The sums over all images.
  WaitingTotals Totals() const;

  /// Logs a line for each image, with its name from \p aPressure.
  void LogLines(const PressureModel& aPressure) const;

private:
  WaitingImage& Note(ImageId aImage, uint32_t aTasks, Duration aAge);

  std::map<ImageId, WaitingImage> m_images;
};

} // namespace egretturn
