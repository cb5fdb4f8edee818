// Writes the state that must be durable, in batches of which one is in flight, and handles their
// confirmation.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kUrgentBatchInterval = std::chrono::milliseconds(10);
static constexpr Duration kBatchInterval = std::chrono::milliseconds(50);
static constexpr Duration kModelsWriteInterval = std::chrono::seconds(3);

bool
Scheduler::AppendJobRecords(Job& aJob, AppendRecords& aBatch, size_t& aBytes)
{
  const GraphId id = aJob.m_stored.m_id;
  if (IsEnded(aJob.m_state) && !IsEnded(aJob.m_durableState)) {
    aJob.m_endedReadingMs = m_retentionClock.DurableByMs();
  }
  KeyedRecord progress{ ProgressKey(id), PackCompact(DescribeProgress(aJob)) };
  KeyedRecord job;
  if (!aJob.m_recordWritten) {
    job = { JobKey(id), PackCompact(aJob.m_stored) };
  }
  const size_t bytes =
    progress.m_key.size() + progress.m_value.size() + job.m_key.size() + job.m_value.size();
  if (aBytes + bytes > m_limits.m_maxBatchBytes && aBytes > 0) {
    return false;
  }
  aBytes += bytes;
  if (!aJob.m_recordWritten) {
    aJob.m_recordWritten = true;
    aBatch.m_records.push_back(std::move(job));
    if (aJob.m_state == JobState::Queued) {
      return true; // the job has no progress yet
    }
  }
  aBatch.m_records.push_back(std::move(progress));
  return true;
}

void
Scheduler::AppendWorkerRecords(AppendRecords& aBatch)
{
  if (!m_hasUnrecordedWorkers) {
    return;
  }
  m_hasUnrecordedWorkers = false;
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (worker->m_record == RecordState::Missing) {
      WorkerReport report = worker->m_report;
      if (!worker->m_lastAddress.empty()) {
        report.m_address = worker->m_lastAddress; // the directory's entry may be wrong
      }
      worker->m_record = RecordState::InBatch;
      worker->m_recordedAddress = report.m_address;
      aBatch.m_records.push_back({ WorkerKey(report.m_id), PackCompact(report) });
    }
  }
}

void
Scheduler::RecordAddress(Worker& aWorker)
{
  if (aWorker.m_record != RecordState::Durable ||
      aWorker.m_lastAddress == aWorker.m_recordedAddress) {
    return; // a record in flight is compared after the next response
  }
  aWorker.m_record = RecordState::Missing;
  m_hasUnrecordedWorkers = true;
}

bool
Scheduler::HasUnwrittenChanges() const
{
  return !m_dirtyJobs.empty() || !m_keysToDelete.empty() || m_hasUnrecordedWorkers;
}

Instant
Scheduler::BatchDueAt() const
{
  return m_urgent ? m_nextBatchAt : m_nextBatchAt + (kBatchInterval - kUrgentBatchInterval);
}

void
Scheduler::WriteBatch(Instant aNow)
{
  if (m_batchInFlight || !HasUnwrittenChanges()) {
    return;
  }
  if (aNow < BatchDueAt()) {
    return;
  }
  AppendRecords batch;
  batch.m_batch = ++m_batch;
  // Before the others, because a worker or a job may have been added again under a deleted key.
  for (std::string& key : m_keysToDelete) {
    batch.m_records.push_back({ std::move(key), "" });
  }
  m_keysToDelete.clear();
  AppendWorkerRecords(batch);
  size_t bytes = 0;
  while (!m_dirtyJobs.empty()) {
    Job* job = m_jobs.Find(*m_dirtyJobs.begin());
    if (job && !AppendJobRecords(*job, batch, bytes)) {
      break;
    }
    if (job) {
      m_batchJobs.push_back({ job->m_stored.m_id, job->m_state });
    }
    m_dirtyJobs.erase(m_dirtyJobs.begin());
  }
  if (aNow - m_modelsWrittenAt >= kModelsWriteInterval) {
    m_modelsWrittenAt = aNow; // only with a batch that is written anyway
    const StoredModels learned{ m_interference.Describe(), m_durations.Describe() };
    batch.m_records.push_back({ std::string(kLearnedKey), PackCompact(learned) });
  }
  m_urgent = !m_dirtyJobs.empty();
  if (batch.m_records.empty()) {
    m_batchJobs.clear();
    return;
  }
  // If this batch contains all changes, the ends processed until now are durable once it is.
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    worker->m_endsInBatch = m_dirtyJobs.empty() ? worker->m_endsProcessed : worker->m_endsDurable;
  }
  m_batchInFlight = true;
  m_batchSentAt = aNow;
  ++m_counters.m_batches;
  Emit(std::move(batch));
}

void
Scheduler::OnAppended(uint64_t aBatch, Instant aNow)
{
  if (aBatch != m_batch || !m_batchInFlight) {
    return;
  }
  m_batchInFlight = false;
  m_retentionClock.Advance(aNow, m_storeAvailable);
  OnConfirmed(m_batchSentAt, aNow);
  m_nextBatchAt = aNow + kUrgentBatchInterval;
  for (const BatchedJob& batched : m_batchJobs) {
    Job* job = m_jobs.Find(batched.m_id);
    if (!job) {
      continue;
    }
    if (!job->m_durable) {
      job->m_durable = true;
      ++m_counters.m_accepted;
      m_waitingJobs.insert(batched.m_id);
      m_placementNeeded = true;
      Log(LogLine(LogLevel::Info, "job_accepted")
            .Add("job", FormatGraphId(batched.m_id))
            .Add("route", job->m_stored.m_terms.m_route)
            .Add("objective_ms", ToMillis(job->m_objective))
            .Add("core_seconds", job->TotalWork())
            .Add("epoch", m_epoch));
    }
    if (IsEnded(batched.m_state) && !IsEnded(job->m_durableState)) {
      job->m_endedReadingMs = m_retentionClock.NowMs(); // callers are shown the end from now on
    }
    job->m_durableState = batched.m_state;
    for (RequestToken request : std::exchange(job->m_submitRequests, {})) {
      Emit(CompleteRequest{ request, SubmitResult::Accepted });
    }
    if (IsEnded(batched.m_state)) {
      for (RequestToken request : std::exchange(job->m_cancelRequests, {})) {
        Emit(CompleteRequest{ request, SubmitResult::Accepted });
      }
    }
  }
  m_batchJobs.clear();
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (worker->m_record == RecordState::InBatch) {
      worker->m_record = RecordState::Durable;
      m_placementNeeded = true;
    }
    if (worker->m_endsInBatch > worker->m_endsDurable) {
      SetEndsDurable(*worker, worker->m_endsInBatch);
      worker->m_nextPollAt = std::min(worker->m_nextPollAt, aNow);
    }
  }
}

void
Scheduler::OnConfirmed(Instant aSince, Instant aNow)
{
  if (aSince <= m_confirmedSince) {
    return;
  }
  m_confirmedSince = aSince;
  m_confirmedAt = aNow;
  if (std::exchange(m_confirmationRequested, false)) {
    m_confirmationUnused = true;
    m_placementNeeded = true;
    m_nextPlacementAt = std::min(m_nextPlacementAt, aNow); // the sooner, the less has changed
  }
}

void
Scheduler::SetEndsDurable(Worker& aWorker, uint64_t aNumber)
{
  aWorker.m_endsDurable = aNumber;
  std::vector<NonDurableEnd>& ends = aWorker.m_nonDurableEnds;
  ends.erase(std::remove_if(ends.begin(),
                            ends.end(),
                            [&](const NonDurableEnd& aEnd) { return aEnd.m_number <= aNumber; }),
             ends.end());
}

} // namespace egretturn
