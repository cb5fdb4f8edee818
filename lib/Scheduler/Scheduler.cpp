#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kSweep = std::chrono::milliseconds(100); // leases, stops, occurrences
static constexpr Duration kStopRetry = std::chrono::milliseconds(400);
static constexpr Duration kLookWait = std::chrono::milliseconds(1500);
static constexpr Duration kWatchfulLookWait = std::chrono::milliseconds(500);
// A lease is granted by the least that the worker's clock may show, so that it shrinks with this.
static constexpr Duration kClockAge = std::chrono::seconds(60);
static constexpr Duration kFreshAnswer =
  std::chrono::milliseconds(150); // no worker restarts in less

Scheduler::Scheduler(const SchedulerLimits& aLimits, uint64_t aEpoch, Instant aNow)
  : m_limits(aLimits)
  , m_epoch(aEpoch)
  , m_fleet(aLimits.m_lease)
  , m_nextBatchAt(aNow)
  , m_createdAt(aNow)
  , m_nextPlaceAt(aNow)
  , m_nextSweepAt(aNow)
  , m_learnedWrittenAt(aNow)
{
}

void
Scheduler::Submit(RequestToken aRequest, Submission aSubmission, Instant aNow, int64_t aWallMs)
{
  m_wallMs = aWallMs;
  if (Job* known = m_book.Find(aSubmission.m_id)) {
    if (known->m_durable) {
      Emit(CompleteRequest{ aRequest, SubmitResult::Accepted });
    } else {
      known->m_submitters.push_back(aRequest);
    }
    return;
  }
  if (!m_storeAvailable || m_book.All().size() >= m_limits.m_jobs) {
    ++m_counters.m_refused;
    Log(LogLine(LogLevel::Info, "job_refused")
          .Add("job", FormatGraphId(aSubmission.m_id))
          .Add("reason", m_storeAvailable ? "too_many_jobs" : "store_unavailable"));
    Emit(CompleteRequest{ aRequest, SubmitResult::NotRun });
    return;
  }
  StoredJob stored;
  stored.m_id = aSubmission.m_id;
  stored.m_terms = std::move(aSubmission.m_terms);
  stored.m_graph = std::move(aSubmission.m_graph);
  stored.m_acceptedMs = aWallMs;
  Job& job = m_book.Add(std::move(stored), m_durations, aNow);
  NoteJob(job);
  job.m_submitters.push_back(aRequest);
  m_scheduledJobs.insert(job.m_stored.m_id);
  MarkDirty(job);
  m_urgent = true;
}

void
Scheduler::Cancel(RequestToken aRequest, GraphId aId, Instant aNow, int64_t aWallMs)
{
  m_wallMs = aWallMs;
  Job* job = m_book.Find(aId);
  if (!job) {
    Emit(CompleteRequest{ aRequest, SubmitResult::NoSuchJob });
    return;
  }
  if (IsEnded(job->m_durableState)) {
    Emit(CompleteRequest{ aRequest, SubmitResult::Accepted });
    return;
  }
  job->m_cancellers.push_back(aRequest);
  if (!IsEnded(job->m_state)) {
    EndJob(*job, JobState::Cancelled, aNow);
  }
  m_urgent = true;
}

std::optional<JobState>
Scheduler::StateOf(GraphId aId)
{
  const Job* job = m_book.Find(aId);
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
  for (const std::pair<const GraphId, std::unique_ptr<Job>>& jobEntry : m_book.All()) {
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
  // Entries that are only repeated ask for nothing.
  const bool otherIncarnation = known && aReport.m_incarnation != known->m_incarnation &&
                                aReport.m_incarnation != known->m_report.m_incarnation;
  if (known && (otherIncarnation || !known->m_listed)) {
    known->m_lookDueAt = aNow; // the worker itself tells what runs there
    known->m_outdated = true;
  }
  // While nothing answers where it was, there is nothing to lose by an older entry.
  if (known && known->m_failedLooks == 0 && aReport.m_incarnation < known->m_incarnation) {
    known->m_listed = true; // stale, or written after its clock went back: its answers will tell
    return;
  }
  const bool startsDraining = aReport.m_draining && !(known && known->m_report.m_draining);
  const bool added = m_fleet.Update(aReport, aNow);
  m_workersUnwritten = m_workersUnwritten || added;
  Worker* worker = m_fleet.Find(aReport.m_id);
  if (added && !m_recovered) {
    m_fleet.ExtendLease(*worker, aNow); // by the deciding instance before this one
  }
  if (added || startsDraining) {
    Log(LogLine(LogLevel::Info, added ? "worker_listed" : "worker_draining")
          .Add("worker", aReport.m_id)
          .Add("zone", aReport.m_zone)
          .Add("draining", aReport.m_draining ? 1 : 0));
  }
  if (startsDraining) {
    EvacuateWorker(*worker, aNow);
  }
  m_placeNeeded = true;
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
  m_fleet.Unlist(aId);
  worker->m_lookDueAt = std::min(worker->m_lookDueAt, aNow);
}

void
Scheduler::OnDirectoryRead()
{
  m_directoryComplete = true;
}

void
Scheduler::SendLook(Worker& aWorker, Instant aNow)
{
  PollWorker look;
  look.m_number = ++m_lookNumber;
  aWorker.m_lookNumber = look.m_number;
  look.m_worker = aWorker.m_report.m_id;
  look.m_address = aWorker.m_report.m_address;
  // Ends are numbered anew in each life, and a worker may start again under its name. So ends are
  // acknowledged only right after an answer of the life that listed them.
  const bool fresh = aWorker.m_failedLooks == 0 && aNow - aWorker.m_clockAt < kFreshAnswer;
  if (fresh && aWorker.m_endsDurable > aWorker.m_endsAcknowledged) {
    look.m_acknowledged = aWorker.m_endsDurable;
  }
  aWorker.m_acknowledging = look.m_acknowledged;
  if (aWorker.m_failedLooks == 0 && !aWorker.m_attempts.empty()) {
    look.m_leaseEndMs = m_fleet.LeaseEnd(aWorker, aNow);
    m_fleet.ExtendLease(aWorker, aNow);
  }
  const bool acknowledged =
    aWorker.m_endsSeen <= aWorker.m_endsAcknowledged || aWorker.m_endsSeen == look.m_acknowledged;
  const bool known = aWorker.m_looked && !aWorker.m_outdated && aWorker.m_failedLooks == 0;
  const bool settled = known && acknowledged;
  if (settled && !aWorker.m_attempts.empty()) {
    look.m_wait =
      !aWorker.m_filling.empty() && !aWorker.m_serving.empty() ? kWatchfulLookWait : kLookWait;
  }
  aWorker.m_lookInFlight = true;
  aWorker.m_lookSentAt = aNow;
  ++m_counters.m_polls;
  Emit(std::move(look));
}

bool
Scheduler::NeedsLook(const Worker& aWorker)
{
  // Only an answer ends a loss of contact, so a worker that may get work again is asked until then.
  const bool outOfContact = aWorker.m_listed && aWorker.m_failedLooks > 0;
  return !aWorker.m_attempts.empty() || !aWorker.m_looked || aWorker.m_outdated || outOfContact ||
         aWorker.m_endsDurable > aWorker.m_endsAcknowledged;
}

void
Scheduler::SendLooks(Instant aNow)
{
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (!worker->m_lookInFlight && worker->m_lookDueAt <= aNow && NeedsLook(*worker)) {
      SendLook(*worker, aNow);
    }
  }
}

void
Scheduler::RetryStops(Instant aNow)
{
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    for (std::pair<const TaskRef, WorkerRun>& runEntry : worker->m_attempts) {
      const TaskRef& task = runEntry.first;
      WorkerRun& run = runEntry.second;
      const bool overdue = run.m_phase == RunPhase::Stopping && !run.m_stopAnswered &&
                           aNow - run.m_phaseSince >= kStopRetry;
      if (overdue && worker->m_failedLooks == 0) {
        run.m_phaseSince = aNow;
        Emit(StopTask{ worker->m_report.m_id, worker->m_report.m_address, task, run.m_attempt });
      }
    }
  }
}

void
Scheduler::CheckLeases(Instant aNow)
{
  std::vector<WorkerName> gone;
  // Ends that were listed during a batch and have changed nothing are followed by no other batch.
  const bool nothingToWrite = m_dirty.empty() && !m_batchInFlight;
  m_counters.m_workersRegistered = 0;
  m_counters.m_workersUnreachable = 0;
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    m_counters.m_workersRegistered += worker->m_listed ? 1 : 0;
    m_counters.m_workersUnreachable += worker->m_listed && worker->m_failedLooks > 0 ? 1 : 0;
    const bool clockStale = worker->m_looked && aNow - worker->m_clockAt >= kClockAge;
    worker->m_outdated = worker->m_outdated || (worker->m_listed && clockStale);
    if (nothingToWrite && worker->m_endsSeen > worker->m_endsDurable) {
      SetEndsDurable(*worker, worker->m_endsSeen);
      worker->m_lookDueAt = std::min(worker->m_lookDueAt, aNow); // acknowledges them
    }
    if (!worker->m_attempts.empty() && aNow >= worker->m_leaseOverAt) {
      LoseAllRuns(*worker, aNow, "lease_over");
    }
    // A worker that has been looked at holds what m_attempts says, so that no lease is waited out.
    const bool idle =
      worker->m_attempts.empty() && (worker->m_looked || aNow >= worker->m_leaseOverAt);
    if (idle && !worker->m_listed && worker->m_undurableEnds.empty()) {
      gone.push_back(worker->m_report.m_id);
    }
  }
  for (const WorkerName& id : gone) {
    m_dropKeys.push_back(WorkerKey(id));
    m_fleet.Erase(id);
  }
}

void
Scheduler::OpenOccurrences(int64_t aWallMs)
{
  for (auto it = m_scheduledJobs.begin(); it != m_scheduledJobs.end();) {
    Job* job = m_book.Find(*it);
    if (job && job->m_durable && !IsEnded(job->m_state) && m_book.OpenDue(*job, aWallMs)) {
      m_waitingJobs.insert(*it);
      m_placeNeeded = true;
    }
    const uint32_t total = job ? std::max<uint32_t>(1, job->m_stored.m_graph.m_occurrences) : 0;
    const bool finished = !job || IsEnded(job->m_state) || job->m_nextOccurrence >= total;
    it = finished ? m_scheduledJobs.erase(it) : std::next(it);
  }
}

void
Scheduler::ForgetEnded(int64_t aWallMs)
{
  const int64_t keepMs = ToMillis(m_limits.m_endedJobRetention);
  for (auto it = m_book.All().begin(); it != m_book.All().end();) {
    const Job& job = *it->second;
    const bool old = IsEnded(job.m_durableState) && job.m_endedMs + keepMs < aWallMs;
    if (!old) {
      ++it;
      continue;
    }
    m_dropKeys.push_back(JobKey(it->first));
    m_dropKeys.push_back(ProgressKey(it->first));
    it = m_book.All().erase(it);
  }
}

void
Scheduler::Tick(Instant aNow, int64_t aWallMs)
{
  m_wallMs = aWallMs;
  OpenOccurrences(aWallMs);
  if (aNow >= m_nextSweepAt) {
    m_nextSweepAt = aNow + kSweep;
    RetryStops(aNow);
    CheckLeases(aNow);
    CheckRecovery(aNow);
    ForgetEnded(aWallMs);
  }
  PlaceWaiting(aNow);
  SendLooks(aNow);
  WriteBatch(aNow);
}

Instant
Scheduler::NextWake(Instant aNow) const
{
  Instant wake = m_nextSweepAt;
  if (m_placeNeeded) {
    wake = std::min(wake, m_nextPlaceAt);
  }
  if (!m_batchInFlight && HasToWrite()) {
    wake = std::min(wake, BatchDueAt());
  }
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (!worker->m_lookInFlight && NeedsLook(*worker)) {
      wake = std::min(wake, worker->m_lookDueAt);
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
