// What an epoch takes over from the one before, and what has to wait until all workers were seen.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

void
Scheduler::RestoreJob(StoredJob aJob, Instant aNow, int64_t aWallMs)
{
  if (m_book.Find(aJob.m_id)) {
    return;
  }
  const int64_t ageMs = std::max<int64_t>(0, aWallMs - aJob.m_acceptedMs);
  Job& job = m_book.Add(std::move(aJob), m_durations, aNow - std::chrono::milliseconds(ageMs));
  job.m_durable = true;
  job.m_jobWritten = true;
  job.m_recovered = true;
  NoteJob(job);
  m_waitingJobs.insert(job.m_stored.m_id);
  m_scheduledJobs.insert(job.m_stored.m_id);
  m_placeNeeded = true;
}

void
Scheduler::RestoreProgress(GraphId aId, const StoredProgress& aProgress)
{
  Job* job = m_book.Find(aId);
  if (!job) {
    m_dropKeys.push_back(ProgressKey(aId));
    return;
  }
  ApplyProgress(*job, aProgress);
}

void
Scheduler::RestoreModels(const StoredModels& aStored)
{
  m_pressure.Restore(aStored.m_pressure);
  m_durations.Restore(aStored.m_durations);
}

void
Scheduler::RestoreWorker(const WorkerReport& aReport, Instant aNow)
{
  m_fleet.Update(aReport, aNow);
  Worker* worker = m_fleet.Find(aReport.m_id);
  worker->m_record = RecordState::Durable;
  worker->m_listed = false; // until the directory says so
  m_fleet.ExtendLease(*worker, aNow);
}

std::optional<std::vector<PlacedTask>>
Scheduler::DescribePlaced() const
{
  if (!m_recovered) {
    return std::nullopt;
  }
  std::vector<PlacedTask> placed;
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    for (const std::pair<const TaskRef, WorkerRun>& taskEntry : worker->m_attempts) {
      const TaskRef& task = taskEntry.first;
      placed.push_back({ worker->m_report.m_id, task });
    }
    for (const EndedAttempt& row : worker->m_undurableEnds) {
      placed.push_back({ worker->m_report.m_id, row.m_task });
    }
  }
  return placed;
}

void
Scheduler::RestorePlaced(const std::vector<PlacedTask>& aPlaced)
{
  m_placeNeeded = true;
  m_placedBefore.emplace();
  for (const PlacedTask& placed : aPlaced) {
    (*m_placedBefore)[placed.m_task].push_back(placed.m_worker);
  }
}

/// Whether an earlier epoch may have started \p aTask on a worker that was not looked at yet.
bool
Scheduler::MayRunElsewhere(const Job& aJob, const TaskRef& aTask)
{
  if (m_recovered || !aJob.m_recovered) {
    return false;
  }
  if (!m_placedBefore) {
    return true;
  }
  const auto it = m_placedBefore->find(aTask);
  if (it == m_placedBefore->end()) {
    return false;
  }
  return std::any_of(it->second.begin(), it->second.end(), [&](const WorkerName& aName) {
    const Worker* worker = m_fleet.Find(aName);
    return !worker || !worker->m_looked;
  });
}

void
Scheduler::CheckRecovery(Instant aNow)
{
  if (m_recovered || !m_directoryComplete) {
    return;
  }
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (!worker->m_looked && aNow < worker->m_leaseOverAt) {
      return;
    }
  }
  m_recovered = true;
  m_placedBefore.reset();
  m_placeNeeded = true;
  Log(LogLine(LogLevel::Info, "recovered")
        .Add("epoch", m_epoch)
        .Add("jobs", uint64_t{ m_book.All().size() })
        .Add("workers", uint64_t{ m_fleet.All().size() })
        .Add("ms", ToMillis(aNow - m_createdAt)));
}

} // namespace egretturn
