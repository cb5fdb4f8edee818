// Restores the state of the previous epoch, and determines what has to wait until all workers have
// been polled.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

// Earlier leaders are taken as stopped after this time if none of their witnesses can be reached:
// they have all been lost, or a cut separates an instance that none of them knew.
static constexpr Duration kMaxActiveTime = std::chrono::seconds(30);

void
Scheduler::RestoreJob(StoredJob aJob, Instant aNow, int64_t aWallMs)
{
  if (m_jobs.Find(aJob.m_id)) {
    return;
  }
  m_wallMs = aWallMs;
  const int64_t ageMs = std::max<int64_t>(0, aWallMs - aJob.m_acceptedMs);
  Job& job = m_jobs.Add(std::move(aJob), m_durations, aNow - std::chrono::milliseconds(ageMs));
  job.m_durable = true;
  job.m_recordWritten = true;
  job.m_recovered = true;
  AddToRouteMeans(job);
  m_waitingJobs.insert(job.m_stored.m_id);
  m_jobsWithFutureOccurrences.insert(job.m_stored.m_id);
  m_placementNeeded = true;
}

void
Scheduler::RestoreProgress(GraphId aId, const StoredProgress& aProgress)
{
  Job* job = m_jobs.Find(aId);
  if (!job) {
    m_keysToDelete.push_back(ProgressKey(aId));
    return;
  }
  ApplyProgress(*job, aProgress);
  m_jobs.Recount(*job);
  // The job has not ended later than now, whatever the record says. Earlier versions say nothing.
  const int64_t nowMs = m_retentionClock.NowMs();
  const bool known = job->m_endedReadingMs != RetentionClock::kNoReading;
  job->m_endedReadingMs = known ? std::min(job->m_endedReadingMs, nowMs) : nowMs;
  if (IsEnded(job->m_state)) {
    m_jobs.ReleaseInputs(*job);
  }
}

void
Scheduler::RestoreTombstone(GraphId aId, const StoredTombstone& aStored)
{
  // The record has not become durable later than now, whatever it says.
  m_tombstones.Restore(aId, std::min(aStored.m_readingMs, m_retentionClock.NowMs()));
}

void
Scheduler::RestoreProgressPart(const std::string& aKey,
                               GraphId aId,
                               const StoredProgressPart& aPart,
                               Instant aNow)
{
  Job* job = m_jobs.Find(aId);
  const bool valid =
    job && !IsEnded(job->m_state) && job->m_stored.m_acceptedMs == aPart.m_acceptedMs;
  if (!valid) {
    m_keysToDelete.push_back(aKey);
    return;
  }
  job->m_progressParts[aKey] = 0; // written again with the next change
  m_jobs.OpenThrough(*job, aPart.m_occurrence.m_number);
  OccurrenceRecord* occurrence = JobRegistry::FindOccurrence(*job, aPart.m_occurrence.m_number);
  if (!occurrence || occurrence->m_complete) {
    return;
  }
  if (job->m_state == JobState::Queued) {
    job->m_state = JobState::Running;
    job->m_durableState = JobState::Running;
  }
  MergeProgress(*occurrence, aPart.m_occurrence);
  // An earlier version knows nothing of parts, and may have run the tasks that it took for undone.
  if (JobRegistry::IsDone(*occurrence)) {
    CompleteOccurrence(*job, *occurrence, aNow);
  }
}

void
Scheduler::RestoreModels(const StoredModels& aStored)
{
  m_interference.Restore(aStored.m_interference);
  m_durations.Restore(aStored.m_durations);
}

void
Scheduler::RestoreWorker(const WorkerReport& aReport, Instant aNow)
{
  m_fleet.Update(aReport, aNow);
  Worker* worker = m_fleet.Find(aReport.m_id);
  worker->m_record = RecordState::Durable;
  worker->m_registered = false; // until the directory has an entry
  worker->m_restored = true;
  worker->m_recordedAddress = aReport.m_address;
  const Duration activeTime =
    m_earlierLeadersActive ? kMaxActiveTime : m_fleet.Limits().m_noticeTime;
  worker->m_leaseExpiresAt = m_fleet.LatestLeaseExpiry(aNow + activeTime);
}

void
Scheduler::OnEarlierLeadersStopping(Instant aNow)
{
  if (!m_earlierLeadersActive) {
    return;
  }
  m_earlierLeadersActive = false;
  // Later than any lease that this leader has granted itself.
  const Instant expiry = m_fleet.LatestLeaseExpiry(aNow + m_fleet.Limits().m_noticeTime);
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    worker->m_leaseExpiresAt = std::min(worker->m_leaseExpiresAt, expiry);
  }
  m_placementNeeded = true;
}

/// Returns whether \p aWorker may run tasks that an earlier epoch has started, or may have ended
/// them without a report.
static bool
MayRunEarlierTasks(const Worker& aWorker, Instant aNow)
{
  return !aWorker.m_readInFull && aNow < aWorker.m_leaseExpiresAt;
}

Placements
Scheduler::ListPlacements(Instant aNow) const
{
  Placements placements;
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    const WorkerName& name = worker->m_report.m_id;
    for (const std::pair<const TaskRef, AttemptState>& taskEntry : worker->m_attempts) {
      placements.m_tasks.push_back({ name, taskEntry.first });
    }
    for (const LateStart& start : worker->m_lateStarts) {
      placements.m_tasks.push_back({ name, start.m_task });
    }
    for (const NonDurableEnd& end : worker->m_nonDurableEnds) {
      placements.m_tasks.push_back({ name, end.m_task });
    }
    const bool unread = !m_recovered && MayRunEarlierTasks(*worker, aNow);
    // A successor has to learn of ends that are not durable, however long ago the lease expired.
    const bool runsKnownTasks = !worker->m_attempts.empty() && worker->m_nonDurableEnds.empty();
    if (unread || runsKnownTasks) {
      const Duration remaining = std::max(worker->m_leaseExpiresAt - aNow, Duration::zero());
      placements.m_leases.push_back(
        { name, ToMillis(remaining) + 1, unread && m_previousPlacements.MayRunUnknownTasks(name) });
    }
  }
  if (m_recovered) {
    return placements;
  }
  for (const PreviousPlacements::Index::value_type& taskEntry : m_previousPlacements.Tasks()) {
    for (const WorkerName& name : taskEntry.second) {
      const Worker* worker = m_fleet.Find(name);
      if (worker && MayRunEarlierTasks(*worker, aNow)) {
        placements.m_tasks.push_back({ name, taskEntry.first });
      }
    }
  }
  return placements;
}

void
Scheduler::RestorePlacements(const Placements& aPlacements, Instant aNow)
{
  if (m_recovered) {
    return;
  }
  m_placementNeeded = true;
  m_unreadLeasesEnd = aNow; // the previous leader may have given up tasks until now
  m_previousPlacements.Restore(aPlacements.m_tasks);
  std::unordered_map<WorkerName, Instant> expiries;
  for (const WorkerLease& lease : aPlacements.m_leases) {
    // Of the leader before the previous one as well, which may not have noticed yet.
    expiries[lease.m_worker] = aNow + std::chrono::milliseconds(lease.m_remainingMs);
    const Worker* worker = m_fleet.Find(lease.m_worker);
    if (worker && !worker->m_readInFull && lease.m_hasUnknownTasks) {
      m_previousPlacements.AddWorkerWithUnknownTasks(lease.m_worker);
    }
  }
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    const auto it = expiries.find(worker->m_report.m_id);
    // The previous leader has stopped, so it grants no more leases.
    const Instant expiry = it == expiries.end() ? m_fleet.LatestLeaseExpiry(aNow) : it->second;
    if (!worker->m_polled) {
      worker->m_leaseExpiresAt = std::min(worker->m_leaseExpiresAt, expiry);
    }
  }
}

void
Scheduler::UpdateUnknownTasks(Instant aNow)
{
  const bool settled = m_previousPlacements.RemoveSettled([&](const WorkerName& aName) {
    const Worker* worker = m_fleet.Find(aName);
    return !worker || !MayRunEarlierTasks(*worker, aNow);
  });
  m_placementNeeded = m_placementNeeded || settled;
}

bool
Scheduler::IsBlockedByRecovery(const Job& aJob) const
{
  return aJob.m_recovered && !m_recovered && m_previousPlacements.HasUnknownTasks();
}

bool
Scheduler::MayRunElsewhere(const Job& aJob, const TaskRef& aTask, Instant aNow)
{
  if (m_recovered || !aJob.m_recovered) {
    return false;
  }
  return IsBlockedByRecovery(aJob) || FindUnreadWorkerOf(aTask, aNow) != nullptr;
}

const Worker*
Scheduler::FindUnreadWorkerOf(const TaskRef& aTask, Instant aNow) const
{
  // A restored worker is only removed once none of its leases can be valid.
  for (const WorkerName& name : m_previousPlacements.WorkersOf(aTask)) {
    const Worker* worker = m_fleet.Find(name);
    if (worker && MayRunEarlierTasks(*worker, aNow)) {
      return worker;
    }
  }
  return nullptr;
}

const Worker*
Scheduler::FindLastUnread(Instant aNow) const
{
  const Worker* last = nullptr;
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    const bool later = !last || worker->m_leaseExpiresAt > last->m_leaseExpiresAt;
    last = MayRunEarlierTasks(*worker, aNow) && later ? worker.get() : last;
  }
  return last;
}

const Worker*
Scheduler::FindAwaitedWorker(const Job& aJob, const TaskRef& aTask, Instant aNow) const
{
  if (!m_previousPlacements.IsKnown()) {
    return FindLastUnread(aNow);
  }
  return IsBlockedByRecovery(aJob)
           ? m_fleet.Find(m_previousPlacements.WorkersWithUnknownTasks().front())
           : FindUnreadWorkerOf(aTask, aNow);
}

void
Scheduler::UpdateUnreadLeases(Instant aNow)
{
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (worker->m_restored && !worker->m_readInFull && worker->m_leaseExpiresAt <= aNow) {
      m_unreadLeasesEnd = std::max(m_unreadLeasesEnd, worker->m_leaseExpiresAt);
    }
  }
}

bool
Scheduler::NeedsConfirmation(const Job& aJob, Instant aNow) const
{
  const Instant expiredAt =
    std::max(aJob.m_attemptExpiredAt, aJob.m_recovered ? m_unreadLeasesEnd : Instant());
  return expiredAt != Instant() && !m_confirmation.Covers(expiredAt, aNow);
}

bool
Scheduler::MayStartTasksOf(const Job& aJob, Instant aNow)
{
  if (!NeedsConfirmation(aJob, aNow)) {
    return true;
  }
  m_confirmation.Request();
  MarkDirty(aJob); // any append is a confirmation, also of a record that has not changed
  m_urgent = true;
  return false;
}

void
Scheduler::ReportRecovery(Instant aNow)
{
  if (aNow < m_nextRecoveryReportAt || !LogEnabled(LogLevel::Info)) {
    return;
  }
  m_nextRecoveryReportAt = aNow + kRecoveryReportInterval;
  uint64_t awaited = 0;
  uint64_t unregistered = 0;
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (!MayRunEarlierTasks(*worker, aNow)) {
      continue;
    }
    ++awaited;
    unregistered += worker->m_registered ? 0 : 1;
  }
  LogLine line(LogLevel::Info, "recovery_waiting");
  line.Add("epoch", m_epoch)
    .Add("ms", ToMillis(aNow - m_createdAt))
    .Add("directory_read", m_directoryRead ? 1 : 0)
    .Add("placed_known", m_previousPlacements.IsKnown() ? 1 : 0)
    .Add("workers", awaited)
    .Add("workers_with_unknown_tasks",
         uint64_t{ m_previousPlacements.WorkersWithUnknownTasks().size() })
    .Add("unlisted", unregistered);
  if (const Worker* last = FindLastUnread(aNow)) {
    line.Add("last_worker", last->m_report.m_id)
      .Add("remaining_ms", ToMillis(last->m_leaseExpiresAt - aNow))
      .Add("failed_looks", last->m_failedPolls);
  }
  Log(std::move(line));
}

void
Scheduler::CheckRecovery(Instant aNow)
{
  if (m_recovered) {
    return;
  }
  ReportRecovery(aNow);
  UpdateUnknownTasks(aNow);
  const bool waits = std::any_of(
    m_fleet.All().begin(), m_fleet.All().end(), [&](const std::unique_ptr<Worker>& aWorker) {
      return MayRunEarlierTasks(*aWorker, aNow);
    });
  if (waits || !m_directoryRead) {
    return;
  }
  m_recovered = true;
  m_previousPlacements.Clear();
  m_placementNeeded = true;
  Log(LogLine(LogLevel::Info, "recovered")
        .Add("epoch", m_epoch)
        .Add("jobs", uint64_t{ m_jobs.All().size() })
        .Add("workers", uint64_t{ m_fleet.All().size() })
        .Add("ms", ToMillis(aNow - m_createdAt)));
}

} // namespace egretturn
