#include "egretturn/Scheduler/WaitingReport.h"

#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

WaitingImage&
WaitingReport::Note(ImageId aImage, uint32_t aTasks, Duration aAge)
{
  WaitingImage& image = m_images[aImage];
  ++image.m_steps;
  image.m_tasks += aTasks;
  image.m_oldest = std::max(image.m_oldest, aAge);
  return image;
}

void
WaitingReport::NotePassedOver(ImageId aImage, uint32_t aTasks, Duration aAge)
{
  Note(aImage, aTasks, aAge).m_passedOver += aTasks;
}

void
WaitingReport::NoteNoRoom(ImageId aImage,
                          uint32_t aTasks,
                          Duration aAge,
                          const ObstacleCounts& aWorkers)
{
  Note(aImage, aTasks, aAge).m_workers = aWorkers;
}

WaitingTotals
WaitingReport::Totals() const
{
  WaitingTotals totals;
  for (const std::pair<const ImageId, WaitingImage>& imageEntry : m_images) {
    totals.m_tasks += imageEntry.second.m_tasks;
    totals.m_passedOver += imageEntry.second.m_passedOver;
  }
  return totals;
}

void
WaitingReport::LogLines(const PressureModel& aPressure) const
{
  for (const std::pair<const ImageId, WaitingImage>& imageEntry : m_images) {
    const WaitingImage& image = imageEntry.second;
    LogLine line(LogLevel::Info, "tasks_waiting");
    line.Add("image", aPressure.NameOf(imageEntry.first))
      .Add("steps", image.m_steps)
      .Add("tasks", image.m_tasks)
      .Add("passed_over", image.m_passedOver)
      .Add("oldest_ms", ToMillis(image.m_oldest));
    for (size_t i = 0; i < image.m_workers.size(); ++i) {
      if (image.m_workers[i] > 0) {
        line.Add(NameOf(static_cast<Obstacle>(i)), image.m_workers[i]);
      }
    }
    Log(std::move(line));
  }
}

} // namespace egretturn
