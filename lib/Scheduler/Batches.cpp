// Writes what must last, in batches of which one is in flight, and what follows once it is durable.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kUrgentBatchGap = std::chrono::milliseconds(10);
static constexpr Duration kBatchGap = std::chrono::milliseconds(50);
static constexpr Duration kLearnedEvery = std::chrono::seconds(3);

bool
Scheduler::AppendJobRecords(Job& aJob, AppendRecords& aBatch, size_t& aBytes)
{
  const GraphId id = aJob.m_stored.m_id;
  KeyedRecord progress{ ProgressKey(id), PackCompact(DescribeProgress(aJob)) };
  KeyedRecord job;
  if (!aJob.m_jobWritten) {
    job = { JobKey(id), PackCompact(aJob.m_stored) };
  }
  const size_t bytes =
    progress.m_key.size() + progress.m_value.size() + job.m_key.size() + job.m_value.size();
  if (aBytes + bytes > m_limits.m_maxBatchBytes && aBytes > 0) {
    return false;
  }
  aBytes += bytes;
  if (!aJob.m_jobWritten) {
    aJob.m_jobWritten = true;
    aBatch.m_records.push_back(std::move(job));
    if (aJob.m_state == JobState::Queued) {
      return true; // nothing has happened to it yet
    }
  }
  aBatch.m_records.push_back(std::move(progress));
  return true;
}

void
Scheduler::AppendWorkerRecords(AppendRecords& aBatch)
{
  if (!m_workersUnwritten) {
    return;
  }
  m_workersUnwritten = false;
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (worker->m_record == RecordState::Missing) {
      worker->m_record = RecordState::InBatch;
      aBatch.m_records.push_back(
        { WorkerKey(worker->m_report.m_id), PackCompact(worker->m_report) });
    }
  }
}

bool
Scheduler::HasToWrite() const
{
  return !m_dirty.empty() || !m_dropKeys.empty() || m_workersUnwritten;
}

Instant
Scheduler::BatchDueAt() const
{
  return m_urgent ? m_nextBatchAt : m_nextBatchAt + (kBatchGap - kUrgentBatchGap);
}

void
Scheduler::WriteBatch(Instant aNow)
{
  if (m_batchInFlight || !HasToWrite()) {
    return;
  }
  if (aNow < BatchDueAt()) {
    return;
  }
  AppendRecords batch;
  batch.m_batch = ++m_batch;
  // Before the others: a worker or a job may have come again under a key that is dropped.
  for (std::string& key : m_dropKeys) {
    batch.m_records.push_back({ std::move(key), "" });
  }
  m_dropKeys.clear();
  AppendWorkerRecords(batch);
  size_t bytes = 0;
  while (!m_dirty.empty()) {
    Job* job = m_book.Find(*m_dirty.begin());
    if (job && !AppendJobRecords(*job, batch, bytes)) {
      break;
    }
    if (job) {
      m_batchJobs.push_back({ job->m_stored.m_id, job->m_state });
    }
    m_dirty.erase(m_dirty.begin());
  }
  if (aNow - m_learnedWrittenAt >= kLearnedEvery) {
    m_learnedWrittenAt = aNow; // with a batch that is written anyway
    const StoredModels learned{ m_pressure.Describe(), m_durations.Describe() };
    batch.m_records.push_back({ std::string(kLearnedKey), PackCompact(learned) });
  }
  m_urgent = !m_dirty.empty();
  if (batch.m_records.empty()) {
    m_batchJobs.clear();
    return;
  }
  // With all changes in this batch, the ends seen until now are durable once it is.
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    worker->m_endsInBatch = m_dirty.empty() ? worker->m_endsSeen : worker->m_endsDurable;
  }
  m_batchInFlight = true;
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
  m_nextBatchAt = aNow + kUrgentBatchGap;
  for (const BatchedJob& batched : m_batchJobs) {
    Job* job = m_book.Find(batched.m_id);
    if (!job) {
      continue;
    }
    if (!job->m_durable) {
      job->m_durable = true;
      ++m_counters.m_accepted;
      m_waitingJobs.insert(batched.m_id);
      m_placeNeeded = true;
      Log(LogLine(LogLevel::Info, "job_accepted")
            .Add("job", FormatGraphId(batched.m_id))
            .Add("route", job->m_stored.m_terms.m_route)
            .Add("objective_ms", ToMillis(job->m_objective))
            .Add("core_seconds", job->TotalWork())
            .Add("epoch", m_epoch));
    }
    job->m_durableState = batched.m_state;
    for (RequestToken request : std::exchange(job->m_submitters, {})) {
      Emit(CompleteRequest{ request, SubmitResult::Accepted });
    }
    if (IsEnded(batched.m_state)) {
      for (RequestToken request : std::exchange(job->m_cancellers, {})) {
        Emit(CompleteRequest{ request, SubmitResult::Accepted });
      }
    }
  }
  m_batchJobs.clear();
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (worker->m_record == RecordState::InBatch) {
      worker->m_record = RecordState::Durable;
      m_placeNeeded = true;
    }
    if (worker->m_endsInBatch > worker->m_endsDurable) {
      SetEndsDurable(*worker, worker->m_endsInBatch);
      worker->m_lookDueAt = std::min(worker->m_lookDueAt, aNow);
    }
  }
}

void
Scheduler::SetEndsDurable(Worker& aWorker, uint64_t aNumber)
{
  aWorker.m_endsDurable = aNumber;
  std::vector<EndedAttempt>& ends = aWorker.m_undurableEnds;
  ends.erase(std::remove_if(ends.begin(),
                            ends.end(),
                            [&](const EndedAttempt& aRow) { return aRow.m_number <= aNumber; }),
             ends.end());
}

} // namespace egretturn
