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

// Failed attempts of a task and the numbers of a task, at their usual size.
static constexpr size_t kTaskOverheadBytes = 128;

/// Packs a part of the progress. If it has more than \p aMaxBytes, which takes very many failed
/// attempts, checkpoints are left out, and then all but the last failed attempts of each task.
static KeyedRecord
PackProgressPart(const TaskRef& aFirst, StoredProgressPart aPart, size_t aMaxBytes)
{
  static constexpr size_t kMinFailedAttempts = 8;
  KeyedRecord record{ ProgressPartKey(aFirst), PackCompact(aPart) };
  if (RecordBytes(record) <= aMaxBytes) {
    return record;
  }
  Log(LogLine(LogLevel::Error, "progress_cut")
        .Add("key", record.m_key)
        .Add("bytes", uint64_t{ RecordBytes(record) })
        .Add("limit", uint64_t{ aMaxBytes }));
  for (StoredTask& task : aPart.m_occurrence.m_tasks) {
    task.m_checkpoint.clear();
  }
  record.m_value = PackCompact(aPart);
  if (RecordBytes(record) <= aMaxBytes) {
    return record;
  }
  for (StoredTask& task : aPart.m_occurrence.m_tasks) {
    std::vector<AttemptNumber>& failed = task.m_failedAttempts;
    const size_t kept = std::min(failed.size(), kMinFailedAttempts);
    failed.erase(failed.begin(), failed.end() - static_cast<std::ptrdiff_t>(kept));
  }
  record.m_value = PackCompact(aPart);
  return record;
}

std::map<std::string, KeyedRecord>
Scheduler::PackProgressParts(const Job& aJob) const
{
  const size_t tasks =
    std::max<size_t>(1, m_limits.m_maxRecordBytes / (kMaxCheckpointBytes + kTaskOverheadBytes));
  std::map<std::string, KeyedRecord> records;
  for (std::pair<TaskRef, StoredProgressPart>& partEntry : DescribeProgressParts(aJob, tasks)) {
    KeyedRecord record =
      PackProgressPart(partEntry.first, std::move(partEntry.second), m_limits.m_maxRecordBytes);
    std::string key = record.m_key;
    records.emplace(std::move(key), std::move(record));
  }
  return records;
}

bool
Scheduler::AppendProgress(Job& aJob, BatchDraft& aDraft)
{
  const std::string key = ProgressKey(aJob.m_stored.m_id);
  KeyedRecord whole{ key, PackCompact(DescribeProgress(aJob, ProgressDetail::Full)) };
  std::map<std::string, KeyedRecord> parts;
  if (!aDraft.IsStorable(whole)) {
    parts = PackProgressParts(aJob);
    whole.m_value = PackCompact(DescribeProgress(aJob, ProgressDetail::WithoutCheckpoints));
  }
  if (!aDraft.IsStorable(whole)) {
    whole.m_value = PackCompact(DescribeProgress(aJob, ProgressDetail::Outline));
  }
  // The record of the whole comes last: what it leaves out is in the store by then.
  for (std::pair<const std::string, KeyedRecord>& partEntry : parts) {
    const size_t hash = std::hash<std::string>{}(partEntry.second.m_value);
    const auto it = aJob.m_progressParts.find(partEntry.first);
    if (it != aJob.m_progressParts.end() && it->second == hash) {
      continue;
    }
    if (!aDraft.HasRoomFor(partEntry.second)) {
      return false;
    }
    if (aDraft.Add(std::move(partEntry.second))) {
      aJob.m_progressParts[partEntry.first] = hash;
    }
  }
  if (!aDraft.HasRoomFor(whole)) {
    return false;
  }
  aDraft.Add(std::move(whole));
  for (auto it = aJob.m_progressParts.begin(); it != aJob.m_progressParts.end();) {
    if (parts.count(it->first) > 0) {
      ++it;
      continue;
    }
    KeyedRecord deletion{ it->first, "" };
    if (aDraft.HasRoomFor(deletion)) {
      aDraft.Add(std::move(deletion));
    } else {
      m_keysToDelete.push_back(it->first); // with the next batch
    }
    it = aJob.m_progressParts.erase(it);
  }
  return true;
}

bool
Scheduler::AppendJobRecords(Job& aJob, BatchDraft& aDraft)
{
  if (IsEnded(aJob.m_state) && !IsEnded(aJob.m_durableState)) {
    aJob.m_endedReadingMs = m_retentionClock.DurableByMs();
  }
  if (!aJob.m_recordWritten) {
    KeyedRecord job = MakeJobRecord(aJob.m_stored);
    if (!aDraft.HasRoomFor(job)) {
      return false;
    }
    aDraft.Add(std::move(job));
    aJob.m_recordWritten = true;
    if (aJob.m_state == JobState::Queued) {
      return true; // the job has no progress yet
    }
  }
  return AppendProgress(aJob, aDraft);
}

void
Scheduler::AppendWorkerRecords(BatchDraft& aDraft)
{
  if (!m_hasUnrecordedWorkers) {
    return;
  }
  m_hasUnrecordedWorkers = false;
  for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
    if (worker->m_record != RecordState::Missing) {
      continue;
    }
    WorkerReport report = worker->m_report;
    if (!worker->m_lastAddress.empty()) {
      report.m_address = worker->m_lastAddress; // the directory's entry may be wrong
    }
    KeyedRecord record{ WorkerKey(report.m_id), PackCompact(report) };
    if (!aDraft.HasRoomFor(record)) {
      m_hasUnrecordedWorkers = true;
      return;
    }
    if (aDraft.Add(std::move(record))) {
      worker->m_record = RecordState::InBatch;
      worker->m_recordedAddress = report.m_address;
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
  return !m_dirtyJobs.empty() || !m_keysToDelete.empty() || m_hasUnrecordedWorkers ||
         m_tombstones.NextUnwritten();
}

Instant
Scheduler::BatchDueAt() const
{
  return m_urgent ? m_nextBatchAt : m_nextBatchAt + (kBatchInterval - kUrgentBatchInterval);
}

bool
Scheduler::AppendDeletions(BatchDraft& aDraft)
{
  size_t added = 0;
  while (added < m_keysToDelete.size()) {
    KeyedRecord deletion{ m_keysToDelete[added], "" };
    if (!aDraft.HasRoomFor(deletion)) {
      break;
    }
    aDraft.Add(std::move(deletion));
    ++added;
  }
  m_keysToDelete.erase(m_keysToDelete.begin(),
                       m_keysToDelete.begin() + static_cast<std::ptrdiff_t>(added));
  return m_keysToDelete.empty();
}

void
Scheduler::AppendJobs(BatchDraft& aDraft)
{
  while (!m_dirtyJobs.empty()) {
    auto it = m_dirtyJobs.lower_bound(m_nextDirtyJob);
    it = it == m_dirtyJobs.end() ? m_dirtyJobs.begin() : it;
    m_nextDirtyJob = *it;
    Job* job = m_jobs.Find(*it);
    if (job && !AppendJobRecords(*job, aDraft)) {
      // The progress of a large job takes several batches, of which others need a share.
      m_nextDirtyJob += job->m_progressParts.empty() ? 0 : 1;
      return;
    }
    if (job) {
      m_batchJobs.push_back({ job->m_stored.m_id, job->m_state });
    }
    m_dirtyJobs.erase(it);
  }
  m_nextDirtyJob = 0;
}

void
Scheduler::AppendTombstones(BatchDraft& aDraft)
{
  const StoredTombstone stored{ m_retentionClock.DurableByMs() };
  while (const std::optional<GraphId> id = m_tombstones.NextUnwritten()) {
    KeyedRecord record{ TombstoneKey(*id), PackCompact(stored) };
    if (!aDraft.HasRoomFor(record)) {
      return;
    }
    aDraft.Add(std::move(record));
    m_tombstones.OnWritten(*id);
  }
}

void
Scheduler::AppendModels(BatchDraft& aDraft, Instant aNow)
{
  // Only with a batch that is written anyway.
  if (aDraft.IsEmpty() || aNow - m_modelsWrittenAt < kModelsWriteInterval) {
    return;
  }
  KeyedRecord learned = PackModels(aDraft);
  if (aDraft.HasRoomFor(learned)) {
    m_modelsWrittenAt = aNow;
    aDraft.Add(std::move(learned));
  }
}

KeyedRecord
Scheduler::PackModels(const BatchDraft& aDraft) const
{
  StoredModels models{ m_interference.Describe(), m_durations.Describe() };
  std::vector<StoredImagePair>& pairs = models.m_interference.m_pairs;
  std::vector<StoredDurations>& durations = models.m_durations;
  KeyedRecord learned{ std::string(kLearnedKey), PackCompact(models) };
  if (aDraft.IsStorable(learned)) {
    return learned;
  }
  Log(LogLine(LogLevel::Warning, "models_cut")
        .Add("bytes", uint64_t{ RecordBytes(learned) })
        .Add("limit", uint64_t{ m_limits.m_maxRecordBytes })
        .Add("pairs", uint64_t{ pairs.size() })
        .Add("routes", uint64_t{ durations.size() }));
  // The best known are kept.
  std::sort(
    pairs.begin(), pairs.end(), [](const StoredImagePair& aOne, const StoredImagePair& aTwo) {
      return aOne.m_variance < aTwo.m_variance;
    });
  std::sort(durations.begin(),
            durations.end(),
            [](const StoredDurations& aOne, const StoredDurations& aTwo) {
              return aOne.m_count > aTwo.m_count;
            });
  while (!aDraft.IsStorable(learned) && !(pairs.empty() && durations.empty())) {
    pairs.resize(pairs.size() / 2);
    durations.resize(durations.size() / 2);
    learned.m_value = PackCompact(models);
  }
  return learned;
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
  BatchDraft draft(++m_batch, m_limits.m_maxBatchBytes, m_limits.m_maxRecordBytes);
  // Before the others, because what has a deleted key may have been added again.
  if (AppendDeletions(draft)) {
    AppendWorkerRecords(draft);
    AppendTombstones(draft);
    AppendJobs(draft);
    AppendModels(draft, aNow);
  }
  m_urgent = HasUnwrittenChanges();
  if (draft.IsEmpty()) {
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
  Emit(draft.Finish());
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
      m_jobs.ReleaseInputs(*job);
      for (RequestToken request : std::exchange(job->m_cancelRequests, {})) {
        Emit(CompleteRequest{ request, SubmitResult::Accepted });
      }
    }
  }
  m_batchJobs.clear();
  for (RequestToken request : m_tombstones.OnBatchDurable(m_retentionClock.NowMs())) {
    Emit(CompleteRequest{ request, SubmitResult::NoSuchJob });
  }
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
Scheduler::OnRecordRefused(const std::string& aKey, Instant aNow)
{
  GraphId id = 0;
  const RecordKind kind = ClassifyKey(aKey, id);
  Job* job = m_jobs.Find(id);
  if (kind == RecordKind::Worker) {
    for (const std::unique_ptr<Worker>& worker : m_fleet.All()) {
      if (WorkerKey(worker->m_report.m_id) == aKey && worker->m_record == RecordState::InBatch) {
        worker->m_record = RecordState::Missing;
      }
    }
  } else if (kind == RecordKind::ProgressPart && job) {
    job->m_progressParts.erase(aKey);
  } else if (kind == RecordKind::Job && job && !job->m_durable) {
    ++m_counters.m_refused;
    for (RequestToken request : job->m_submitRequests) {
      Emit(CompleteRequest{ request, SubmitResult::TooLarge });
    }
    const std::vector<RequestToken> cancels = std::move(job->m_cancelRequests);
    m_waitingJobs.erase(id);
    m_dirtyJobs.erase(id);
    m_jobs.Erase(id);
    for (RequestToken request : cancels) {
      CancelUnknownJob({ request, id, aNow });
    }
  } else if (kind == RecordKind::Tombstone) {
    for (RequestToken request : m_tombstones.OnRecordRefused(id)) {
      Emit(CompleteRequest{ request, SubmitResult::Unknown });
    }
  }
}

void
Scheduler::OnConfirmed(Instant aSince, Instant aNow)
{
  if (m_confirmation.OnConfirmed(aSince, aNow)) {
    m_placementNeeded = true;
    m_nextPlacementAt = std::min(m_nextPlacementAt, aNow); // the sooner, the less has changed
  }
}

void
Scheduler::ExpireUnconfirmedCancels(Instant aNow)
{
  for (RequestToken request : m_tombstones.TakeExpiredRequests(aNow)) {
    Emit(CompleteRequest{ request, SubmitResult::Unknown });
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
