#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kSweepInterval = std::chrono::milliseconds(100); // leases, stops, jobs
static constexpr Duration kStopRetryInterval = std::chrono::milliseconds(400);
static constexpr Duration kPollWait = std::chrono::milliseconds(1500);
// Where best-effort tasks run beside serving tasks, tail latencies are polled more often.
static constexpr Duration kServingPollWait = std::chrono::milliseconds(500);
// A lease is granted by the minimum that the worker's clock may show, so it shrinks as the last
// clock reading ages.
static constexpr Duration kMaxClockAge = std::chrono::seconds(60);
static constexpr Duration kMaxResponseAge =
  std::chrono::milliseconds(150); // no worker restarts faster

Scheduler::Scheduler(const SchedulerLimits& aLimits, uint64_t aEpoch, Instant aNow)
  : m_limits(aLimits)
  , m_epoch(aEpoch)
  , m_fleet(aLimits.m_lease)
  , m_jobs(aLimits.m_maxJobBytes)
  , m_tombstones(aLimits.m_maxTombstones, aLimits.m_endedJobRetention)
  , m_confirmation(aNow)
  , m_batchSentAt(aNow)
  , m_nextBatchAt(aNow)
  , m_createdAt(aNow)
  , m_nextRecoveryReportAt(aNow + kRecoveryReportInterval)
  , m_retentionClock(aNow)
  , m_nextPlacementAt(aNow)
  , m_nextSweepAt(aNow)
  , m_modelsWrittenAt(aNow)
{
}

const char*
Scheduler::FindRefusal(const Submission& aSubmission) const
{
  if (!m_storeAvailable) {
    return "store_unavailable";
  }
  if (m_jobs.All().size() >= m_limits.m_maxJobs) {
    return "too_many_jobs";
  }
  return m_jobs.HasRoomFor(aSubmission.m_terms.m_route, aSubmission.m_graph) ? nullptr
                                                                             : "no_memory_for_jobs";
}

void
Scheduler::Submit(RequestToken aRequest, Submission aSubmission, Instant aNow, int64_t aWallMs)
{
  m_wallMs = aWallMs;
  if (Job* known = m_jobs.Find(aSubmission.m_id)) {
    if (known->m_durable) {
      Emit(CompleteRequest{ aRequest, SubmitResult::Accepted });
    } else {
      known->m_submitRequests.push_back(aRequest);
    }
    return;
  }
  if (m_tombstones.IsDurable(aSubmission.m_id)) {
    ++m_counters.m_refused;
    ++m_counters.m_refusedAsCancelled;
    Log(LogLine(LogLevel::Info, "job_refused")
          .Add("job", FormatGraphId(aSubmission.m_id))
          .Add("reason", "cancelled_before"));
    Emit(CompleteRequest{ aRequest, SubmitResult::Cancelled });
    return;
  }
  if (const char* reason = FindRefusal(aSubmission)) {
    ++m_counters.m_refused;
    Log(LogLine(LogLevel::Info, "job_refused")
          .Add("job", FormatGraphId(aSubmission.m_id))
          .Add("reason", reason));
    Emit(CompleteRequest{ aRequest, SubmitResult::NotRun });
    return;
  }
  StoredJob stored;
  stored.m_id = aSubmission.m_id;
  stored.m_terms = std::move(aSubmission.m_terms);
  stored.m_graph = std::move(aSubmission.m_graph);
  stored.m_acceptedMs = aWallMs;
  if (const Expected<void> storable = CheckStorable(stored, m_limits.m_maxRecordBytes); !storable) {
    ++m_counters.m_refused;
    Log(LogLine(LogLevel::Info, "job_refused")
          .Add("job", FormatGraphId(stored.m_id))
          .Add("reason", "too_large")
          .Add("error", storable.error().Text()));
    Emit(CompleteRequest{ aRequest, SubmitResult::TooLarge });
    return;
  }
  Job& job = m_jobs.Add(std::move(stored), m_durations, aNow);
  AddToRouteMeans(job);
  job.m_submitRequests.push_back(aRequest);
  m_jobsWithFutureOccurrences.insert(job.m_stored.m_id);
  MarkDirty(job);
  m_urgent = true;
  if (m_tombstones.Contains(job.m_stored.m_id)) { // not durable yet
    job.m_cancelRequests = m_tombstones.TakeRequests(job.m_stored.m_id);
    EndJob(job, JobState::Cancelled, aNow);
  }
}

void
Scheduler::Cancel(RequestToken aRequest, GraphId aId, Instant aNow, int64_t aWallMs)
{
  m_wallMs = aWallMs;
  Job* job = m_jobs.Find(aId);
  if (!job) {
    CancelUnknownJob({ aRequest, aId, aNow });
    return;
  }
  if (IsEnded(job->m_durableState)) {
    Emit(CompleteRequest{ aRequest, SubmitResult::Accepted });
    return;
  }
  job->m_cancelRequests.push_back(aRequest);
  if (!IsEnded(job->m_state)) {
    EndJob(*job, JobState::Cancelled, aNow);
  }
  m_urgent = true;
}

void
Scheduler::CancelUnknownJob(const UnknownJobCancel& aCancel)
{
  const bool added = m_tombstones.Add(aCancel);
  Log(LogLine(LogLevel::Info, added ? "cancel_of_unknown_job" : "cancel_refused")
        .Add("job", FormatGraphId(aCancel.m_id))
        .Add("epoch", m_epoch)
        .Add("tombstones", uint64_t{ m_tombstones.Size() }));
  if (!added) {
    ++m_counters.m_cancelsRefused;
    Emit(CompleteRequest{ aCancel.m_request, SubmitResult::NotRun });
    return;
  }
  m_urgent = true;
}

std::optional<JobState>
Scheduler::StateOf(GraphId aId)
{
  const Job* job = m_jobs.Find(aId);
  if (!job) {
    return std::nullopt;
  }
  if (IsEnded(job->m_durableState)) {
    return job->m_durableState;
  }
  return IsEnded(job->m_state) ? JobState::Running : job->m_state;
}

uint64_t
Scheduler::CountPending(const std::string& aRoute)
{
  uint64_t pending = 0;
  for (const std::pair<const GraphId, std::unique_ptr<Job>>& jobEntry : m_jobs.All()) {
    const std::unique_ptr<Job>& job = jobEntry.second;
    const bool waits = job->m_state == JobState::Queued && job->m_durable;
    pending += waits && job->m_stored.m_terms.m_route == aRoute ? 1 : 0;
  }
  return pending;
}

void
Scheduler::UpdateWorker(const WorkerReport& aReport, Instant aNow)
{
  Worker* known = m_fleet.Find(aReport.m_id);
  // Repeated entries require no poll.
  const bool otherIncarnation = known && aReport.m_incarnation != known->m_incarnation &&
                                aReport.m_incarnation != known->m_report.m_incarnation;
  if (known && (otherIncarnation || !known->m_registered)) {
    known->m_nextPollAt = aNow; // the worker itself reports what runs there
    known->m_statusStale = true;
  }
  // If nothing responds at the known address, an older entry can do no harm.
  if (known && known->m_failedPolls == 0 && aReport.m_incarnation < known->m_incarnation) {
    known->m_registered = true; // stale, or its clock was set back: its responses will tell
    return;
  }
  const bool startsDraining = aReport.m_draining && !(known && known->m_report.m_draining);
  // A worker without a record has no tasks of earlier epochs, so the recovery does not wait for it.
  const bool added = m_fleet.Update(aReport, aNow);
  m_hasUnrecordedWorkers = m_hasUnrecordedWorkers || added;
  Worker* worker = m_fleet.Find(aReport.m_id);
  if (added || startsDraining) {
    Log(LogLine(LogLevel::Info, added ? "worker_listed" : "worker_draining")
          .Add("worker", aReport.m_id)
          .Add("zone", aReport.m_zone)
          .Add("draining", aReport.m_draining ? 1 : 0));
  }
  if (startsDraining) {
    DrainWorker(*worker, aNow);
  }
  m_placementNeeded = true;
}

void
Scheduler::DeregisterWorker(const WorkerName& aId, Instant aNow)
{
  Worker* worker = m_fleet.Find(aId);
  if (!worker) {
    return;
  }
  Log(LogLine(LogLevel::Info, "worker_unlisted")
        .Add("worker", aId)
        .Add("runs", uint64_t{ worker->m_attempts.size() }));
  m_fleet.Deregister(aId);
  worker->m_nextPollAt = std::min(worker->m_nextPollAt, aNow);
}

void
Scheduler::OnDirectoryRead()
{
  m_directoryRead = true;
}

/// Returns whether \p aWorker has attempts that are to run on. A lease also tells for how long it
/// may hold ends that it has not listed yet.
static bool
NeedsLease(const Worker& aWorker)
{
  return !aWorker.m_endsComplete ||
         std::any_of(aWorker.m_attempts.begin(),
                     aWorker.m_attempts.end(),
                     [](const std::pair<const TaskRef, AttemptState>& aAttempt) {
                       return aAttempt.second.m_phase != AttemptPhase::Unconfirmed &&
                              aAttempt.second.m_phase != AttemptPhase::Stopping;
                     });
}

void
Scheduler::SendPoll(Worker& aWorker, Instant aNow)
{
  PollWorker poll;
  poll.m_number = ++m_pollNumber;
  aWorker.m_pollNumber = poll.m_number;
  poll.m_worker = aWorker.m_report.m_id;
  poll.m_address = aWorker.m_report.m_address;
  poll.m_fence = FenceFor(aWorker);
  // Ends are numbered anew in each incarnation, and a worker may restart under its name. So ends
  // are acknowledged only right after a response of the incarnation that reported them.
  const bool responseRecent =
    aWorker.m_failedPolls == 0 && aNow - aWorker.m_clockReadAt < kMaxResponseAge;
  if (responseRecent && aWorker.m_endsDurable > aWorker.m_endsAcknowledged) {
    poll.m_acknowledged = aWorker.m_endsDurable;
    poll.m_incarnation = aWorker.m_incarnation;
  }
  aWorker.m_endsBeingAcknowledged = poll.m_acknowledged;
  if (aWorker.m_failedPolls == 0 && NeedsLease(aWorker)) {
    poll.m_leaseEndMs = m_fleet.LeaseEnd(aWorker, aNow);
    m_fleet.ExtendLease(aWorker, aNow);
  }
  const bool acknowledged = aWorker.m_endsProcessed <= aWorker.m_endsAcknowledged ||
                            aWorker.m_endsProcessed == poll.m_acknowledged;
  const bool known = aWorker.m_polled && !aWorker.m_statusStale && aWorker.m_failedPolls == 0;
  const bool settled = known && acknowledged;
  if (settled && !aWorker.m_attempts.empty()) {
    poll.m_wait = aWorker.m_servingGroups.empty() ? kPollWait : kServingPollWait;
  }
  aWorker.m_pollAddress = poll.m_address;
  aWorker.m_pollInFlight = true;
  aWorker.m_pollSentAt = aNow;
  ++m_counters.m_polls;
  Emit(std::move(poll));
}

bool
Scheduler::NeedsPoll(const Worker& aWorker)
{
  // Only a response restores contact, so a worker that may receive work again is polled until then.
  const bool outOfContact = aWorker.m_registered && aWorker.m_failedPolls > 0;
  return !aWorker.m_attempts.empty() || !aWorker.m_lateStarts.empty() || !aWorker.m_polled ||
         aWorker.m_statusStale || outOfContact || !aWorker.m_endsComplete ||
         aWorker.m_endsDurable > aWorker.m_endsAcknowledged;
}

void
Scheduler::PollDueWorkers(Instant aNow)
{
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (!worker->m_pollInFlight && worker->m_nextPollAt <= aNow && NeedsPoll(*worker)) {
      SendPoll(*worker, aNow);
    }
  }
}

void
Scheduler::RetryStops(Instant aNow)
{
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    for (std::pair<const TaskRef, AttemptState>& attemptEntry : worker->m_attempts) {
      const TaskRef& task = attemptEntry.first;
      AttemptState& attempt = attemptEntry.second;
      const bool overdue = attempt.m_phase == AttemptPhase::Stopping && !attempt.m_stopConfirmed &&
                           aNow - attempt.m_phaseSince >= kStopRetryInterval;
      if (overdue && worker->m_failedPolls == 0) {
        attempt.m_phaseSince = aNow;
        EmitStop(*worker, task, attempt.m_attempt);
      }
    }
  }
}

void
Scheduler::CheckWorkers(Instant aNow)
{
  std::vector<WorkerName> removable;
  UpdateUnreadLeases(aNow); // before such a worker is removed
  // Ends that were reported during a batch and have changed nothing are followed by no other batch.
  const bool nothingToWrite = m_dirtyJobs.empty() && !m_batchInFlight;
  m_counters.m_workersRegistered = 0;
  m_counters.m_workersUnreachable = 0;
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    m_counters.m_workersRegistered += worker->m_registered ? 1 : 0;
    m_counters.m_workersUnreachable += worker->m_registered && worker->m_failedPolls > 0 ? 1 : 0;
    const bool clockStale = worker->m_polled && aNow - worker->m_clockReadAt >= kMaxClockAge;
    worker->m_statusStale = worker->m_statusStale || (worker->m_registered && clockStale);
    if (nothingToWrite && worker->m_endsProcessed > worker->m_endsDurable) {
      SetEndsDurable(*worker, worker->m_endsProcessed);
      worker->m_nextPollAt = std::min(worker->m_nextPollAt, aNow); // the poll acknowledges them
    }
    if (!worker->m_attempts.empty() && aNow >= worker->m_leaseExpiresAt) {
      MarkAttemptsExpired(*worker, aNow);
    }
    ExpireLateStarts(*worker, aNow);
    // A worker that was read in full runs exactly the attempts in m_attempts, and holds no end of
    // another one, so no lease needs to expire first.
    const bool allKnown = worker->m_readInFull && worker->m_endsComplete;
    const bool idle = worker->m_attempts.empty() && worker->m_lateStarts.empty() &&
                      (allKnown || aNow >= worker->m_leaseExpiresAt);
    if (idle && !worker->m_registered && worker->m_nonDurableEnds.empty()) {
      removable.push_back(worker->m_report.m_id);
    }
  }
  for (const WorkerName& id : removable) {
    m_keysToDelete.push_back(WorkerKey(id));
    m_fleet.Erase(id);
    Emit(ForgetWorker{ id });
  }
}

void
Scheduler::MarkAttemptsExpired(Worker& aWorker, Instant aNow)
{
  for (const std::pair<const TaskRef, AttemptState>& attemptEntry : aWorker.m_attempts) {
    if (Job* job = m_jobs.Find(attemptEntry.first.m_job)) {
      job->m_attemptExpiredAt = aNow;
    }
    KeepLateStart(aWorker, attemptEntry.first, attemptEntry.second, aNow);
  }
  MarkAllAttemptsLost(aWorker, aNow, "lease_over");
}

void
Scheduler::OpenOccurrences(int64_t aWallMs, Instant aNow)
{
  for (auto it = m_jobsWithFutureOccurrences.begin(); it != m_jobsWithFutureOccurrences.end();) {
    Job* job = m_jobs.Find(*it);
    if (job && job->m_durable && !IsEnded(job->m_state) && m_jobs.OpenDue(*job, aWallMs, aNow)) {
      m_waitingJobs.insert(*it);
      m_placementNeeded = true;
    }
    const uint32_t total = job ? std::max<uint32_t>(1, job->m_stored.m_graph.m_occurrences) : 0;
    const bool finished = !job || IsEnded(job->m_state) || job->m_nextOccurrence >= total;
    it = finished ? m_jobsWithFutureOccurrences.erase(it) : std::next(it);
  }
}

void
Scheduler::RemoveEndedJobs()
{
  const int64_t keepMs = ToMillis(m_limits.m_endedJobRetention);
  const int64_t nowMs = m_retentionClock.NowMs();
  std::vector<GraphId> removed;
  for (const std::pair<const GraphId, std::unique_ptr<Job>>& jobEntry : m_jobs.All()) {
    const Job& job = *jobEntry.second;
    const bool old = IsEnded(job.m_durableState) && job.m_endedReadingMs + keepMs < nowMs;
    if (!old) {
      continue;
    }
    const GraphId id = jobEntry.first;
    removed.push_back(id);
    Log(LogLine(LogLevel::Info, "job_removed")
          .Add("job", FormatGraphId(id))
          .Add("kept_ms", nowMs - job.m_endedReadingMs));
    m_keysToDelete.push_back(JobKey(id));
    m_keysToDelete.push_back(ProgressKey(id));
    for (const std::pair<const std::string, size_t>& partEntry : job.m_progressParts) {
      m_keysToDelete.push_back(partEntry.first);
    }
  }
  for (const GraphId id : removed) {
    m_jobs.Erase(id);
  }
  for (const GraphId id : m_tombstones.RemoveOld(nowMs)) {
    m_keysToDelete.push_back(TombstoneKey(id));
  }
}

void
Scheduler::Tick(Instant aNow, int64_t aWallMs)
{
  m_wallMs = aWallMs;
  m_retentionClock.Advance(aNow, m_storeAvailable);
  OpenOccurrences(aWallMs, aNow);
  if (aNow >= m_nextSweepAt) {
    m_nextSweepAt = aNow + kSweepInterval;
    RetryStops(aNow);
    CheckWorkers(aNow);
    CheckRecovery(aNow);
    RemoveEndedJobs();
  }
  PlaceWaitingSteps(aNow);
  PollDueWorkers(aNow);
  WriteBatch(aNow);
}

Instant
Scheduler::NextTickAt(Instant aNow) const
{
  Instant wake = m_nextSweepAt;
  if (m_placementNeeded) {
    wake = std::min(wake, m_nextPlacementAt);
  }
  if (!m_batchInFlight && HasUnwrittenChanges()) {
    wake = std::min(wake, BatchDueAt());
  }
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (!worker->m_pollInFlight && NeedsPoll(*worker)) {
      wake = std::min(wake, worker->m_nextPollAt);
    }
  }
  return std::max(wake, aNow);
}

std::vector<Action>
Scheduler::TakeActions()
{
  return std::exchange(m_actions, {});
}

} // namespace egretturn
