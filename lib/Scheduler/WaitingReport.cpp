#include "egretturn/Scheduler/WaitingReport.h"

#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

// In one report, to bound the log: callers choose the names of images.
static constexpr size_t kMaxLoggedImages = 32;

WaitingImage&
WaitingReport::AddTasks(ImageId aImage, uint32_t aTasks, Duration aAge)
{
  WaitingImage& image = m_images[aImage];
  ++image.m_steps;
  image.m_tasks += aTasks;
  image.m_oldestAge = std::max(image.m_oldestAge, aAge);
  return image;
}

void
WaitingReport::AddSkipped(ImageId aImage, uint32_t aTasks, Duration aAge)
{
  AddTasks(aImage, aTasks, aAge).m_skipped += aTasks;
}

void
WaitingReport::AddUnplaced(ImageId aImage,
                           uint32_t aTasks,
                           Duration aAge,
                           const ObstacleCounts& aObstacles,
                           bool aWaitsForZone)
{
  WaitingImage& image = AddTasks(aImage, aTasks, aAge);
  image.m_obstacles = aObstacles;
  image.m_evacuated += aWaitsForZone ? aTasks : 0;
}

void
WaitingReport::AddRecovering(ImageId aImage, uint32_t aTasks, Duration aAge)
{
  AddTasks(aImage, aTasks, aAge).m_recovering += aTasks;
}

void
WaitingReport::AddUnconfirmed(ImageId aImage, uint32_t aTasks, Duration aAge)
{
  AddTasks(aImage, aTasks, aAge).m_unconfirmed += aTasks;
}

void
WaitingReport::AddIncomplete(ImageId aImage, uint32_t aTasks, Duration aAge)
{
  AddTasks(aImage, aTasks, aAge).m_incomplete += aTasks;
}

void
WaitingReport::AddStopping(ImageId aImage, uint32_t aTasks, Duration aAge)
{
  AddTasks(aImage, aTasks, aAge).m_stopping += aTasks;
}

void
WaitingReport::AddIdleJob(GraphId aJob,
                          const std::string& aService,
                          Duration aIdle,
                          double aReserved)
{
  IdleJobs& idle = m_idleJobs[aService];
  idle.m_jobs.insert(aJob);
  idle.m_longestIdle = std::max(idle.m_longestIdle, aIdle);
  idle.m_reserved = aReserved;
}

WaitingTotals
WaitingReport::Totals() const
{
  WaitingTotals totals;
  for (const std::pair<const ImageId, WaitingImage>& imageEntry : m_images) {
    totals.m_tasks += imageEntry.second.m_tasks;
    totals.m_skipped += imageEntry.second.m_skipped;
    totals.m_recovering += imageEntry.second.m_recovering;
    totals.m_unconfirmed += imageEntry.second.m_unconfirmed;
    totals.m_evacuated += imageEntry.second.m_evacuated;
  }
  return totals;
}

void
WaitingReport::LogLines(const ImageInterferenceModel& aInterference) const
{
  size_t lines = 0;
  for (const std::pair<const ImageId, WaitingImage>& imageEntry : m_images) {
    if (++lines > kMaxLoggedImages) {
      Log(LogLine(LogLevel::Info, "tasks_waiting_more")
            .Add("images", uint64_t{ m_images.size() - kMaxLoggedImages }));
      break;
    }
    const WaitingImage& image = imageEntry.second;
    LogLine line(LogLevel::Info, "tasks_waiting");
    line.Add("image", aInterference.NameOf(imageEntry.first))
      .Add("steps", image.m_steps)
      .Add("tasks", image.m_tasks)
      .Add("passed_over", image.m_skipped)
      .Add("recovering", image.m_recovering)
      .Add("unconfirmed", image.m_unconfirmed)
      .Add("zone_evacuated", image.m_evacuated)
      .Add("stopping", image.m_stopping)
      .Add("gang_incomplete", image.m_incomplete)
      .Add("oldest_ms", ToMillis(image.m_oldestAge));
    for (size_t i = 0; i < image.m_obstacles.size(); ++i) {
      if (image.m_obstacles[i] > 0) {
        line.Add(NameOf(static_cast<Obstacle>(i)), image.m_obstacles[i]);
      }
    }
    Log(std::move(line));
  }
  for (const std::pair<const std::string, IdleJobs>& serviceEntry : m_idleJobs) {
    Log(LogLine(LogLevel::Info, "jobs_idle")
          .Add("service", serviceEntry.first)
          .Add("jobs", serviceEntry.second.m_jobs.size())
          .Add("longest_ms", ToMillis(serviceEntry.second.m_longestIdle))
          .Add("reserved", serviceEntry.second.m_reserved));
  }
}

} // namespace egretturn
