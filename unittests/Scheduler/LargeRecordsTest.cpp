// Tests that nothing is written that the store's limits of a record and of an append refuse, and
// that progress in several records is read back whole.
#include "SingleScheduler.h"

#include "egretturn/Journal/Codec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;

static constexpr size_t kStoreRecordBytes = 262144;
static constexpr GraphId kLargeJob = 7;
static constexpr int64_t kAcceptedMs = 5;
static constexpr Demand kCapacity{ 16000000, 64000000, 0 };

/// Returns a job of \p aSteps steps of \p aTasks tasks each, which an earlier epoch has accepted.
static StoredJob
MakeJob(GraphId aId, size_t aSteps, uint32_t aTasks)
{
  GraphStep step;
  step.m_count = aTasks;
  step.m_demand = { 100, 100, 0 };
  step.m_estimateMs = 60000;
  step.m_checkpoints = true;
  StoredJob stored = MakeStoredJob(aId, step);
  stored.m_acceptedMs = kAcceptedMs;
  stored.m_graph.m_steps.assign(aSteps, step);
  return stored;
}

static std::string
CheckpointOf(const TaskRef& aTask)
{
  std::string text = FormatTaskRef(aTask);
  text.resize(300, '.');
  return text;
}

/// Returns the end of a task whose lease has expired, with its checkpoint.
static EndedAttempt
ExpiredEnd(uint64_t aNumber, const TaskRef& aTask)
{
  return { aNumber, aTask, 1, AttemptEnd::LeaseExpired, CheckpointOf(aTask) };
}

static SchedulerLimits
LimitRecords(size_t aRecordBytes)
{
  SchedulerLimits limits;
  limits.m_maxRecordBytes = aRecordBytes;
  return limits;
}

static SchedulerLimits
MakeLimits(size_t aBatchBytes)
{
  SchedulerLimits limits;
  limits.m_maxBatchBytes = aBatchBytes;
  limits.m_maxRecordBytes = std::min(limits.m_maxRecordBytes, aBatchBytes);
  return limits;
}

namespace {

/// A leader with one worker that responds, and the records that it has written.
struct Leader
{
  Leader(const SchedulerLimits& aLimits, uint64_t aEpoch)
    : m_scheduler(aLimits, aEpoch, m_now)
  {
  }

  void AddWorker()
  {
    m_scheduler.RestoreWorker(MakeReport("w", kCapacity), m_now);
    m_scheduler.UpdateWorker(MakeReport("w", kCapacity), m_now);
    m_scheduler.OnDirectoryRead();
  }

  /// Restores kLargeJob, and adds a worker that lists each of its tasks as expired.
  void RestoreExpiredTasks(uint32_t aSteps, uint32_t aTasks)
  {
    m_scheduler.RestoreJob(MakeJob(kLargeJob, aSteps, aTasks), m_now, 0);
    for (uint32_t i = 0; i < aSteps * aTasks; ++i) {
      const TaskRef task{ kLargeJob, 0, uint16_t(i / aTasks), uint16_t(i % aTasks) };
      m_status.m_ended.push_back(ExpiredEnd(i + 1, task));
    }
    AddWorker();
  }

  void Advance(Duration aTime)
  {
    RunScheduler(m_scheduler, m_now, aTime, [this](const Action& aAction) { Execute(aAction); });
  }

  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      Append(*append);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      m_starts[FormatTaskRef(start->m_task)] = start->m_checkpoint;
    } else if (const CompleteRequest* request = std::get_if<CompleteRequest>(&aAction)) {
      m_results[request->m_request] = request->m_result;
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      m_acknowledged = std::max(m_acknowledged, poll->m_acknowledged);
      m_scheduler.OnPollResponse(poll->m_worker, poll->m_number, m_status, m_now);
    }
  }

  void Append(const AppendRecords& aAppend)
  {
    size_t bytes = 0;
    for (const KeyedRecord& record : aAppend.m_records) {
      const size_t size = 1 + record.m_key.size() + record.m_value.size();
      m_largestRecord = std::max(m_largestRecord, size);
      bytes += 4 + size;
      if (record.m_value.empty()) {
        m_store.erase(record.m_key);
      } else {
        m_store[record.m_key] = record.m_value;
      }
    }
    m_largestAppend = std::max(m_largestAppend, bytes);
    ++m_appends;
    if (m_confirms) {
      m_scheduler.OnAppended(aAppend.m_batch, m_now);
    }
  }

  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler;
  WorkerStatus m_status; ///< Of each response.
  std::map<std::string, std::string> m_store;
  std::map<std::string, std::string> m_starts; ///< The checkpoint of each started task.
  std::map<RequestToken, SubmitResult> m_results;
  uint64_t m_acknowledged = 0;
  size_t m_largestRecord = 0;
  size_t m_largestAppend = 0;
  size_t m_appends = 0;
  bool m_confirms = true; ///< The store responds.
};

} // namespace

// Guards against a leader that writes nothing any more, since the store refuses the record of a
// large job's progress each time.
TEST_CASE("no record exceeds the store's limit when many tasks of a job have checkpoints")
{
  Leader leader(SchedulerLimits(), 2);
  leader.RestoreExpiredTasks(4, 256);
  leader.Advance(milliseconds(1000));
  CHECK(leader.m_largestRecord <= kStoreRecordBytes);
  CHECK(leader.m_largestAppend <= SchedulerLimits().m_maxBatchBytes);
  CHECK(leader.m_acknowledged == 1024);
  const auto progress = leader.m_store.find(ProgressKey(kLargeJob));
  REQUIRE(progress != leader.m_store.end());
}

// Guards against an append beyond the store's limit of a request, which it refuses as a whole, when
// a new leader records many workers at a time.
TEST_CASE("the records of many workers are divided between appends")
{
  Leader leader(MakeLimits(64 * 1024), 1);
  leader.m_scheduler.OnDirectoryRead();
  WorkerReport report = MakeReport("w", kCapacity);
  report.m_labels.assign(32, std::string(250, 'l'));
  for (int i = 0; i < 50; ++i) {
    report.m_id = "w" + std::to_string(i);
    leader.m_scheduler.UpdateWorker(report, leader.m_now);
  }
  leader.Advance(milliseconds(2000));
  CHECK(leader.m_largestAppend <= 64 * 1024);
  CHECK(leader.m_store.size() >= 50); // each worker, and what was learned
}

// Guards against a record of what was learned that the store refuses, and the whole append with it.
TEST_CASE("what was learned is cut to the store's limit of a record")
{
  Leader leader(SchedulerLimits(), 1);
  StoredModels models;
  for (int i = 0; i < 100; ++i) {
    for (int j = 0; j < 100; ++j) {
      const double variance = i == 99 && j == 99 ? 0.001 : 0.4;
      models.m_interference.m_pairs.push_back({ "serving-image-" + std::to_string(i),
                                                "filling-image-" + std::to_string(j),
                                                1.5,
                                                variance });
    }
  }
  leader.m_scheduler.RestoreModels(models);
  leader.m_scheduler.RestoreJob(MakeJob(kLargeJob, 1, 1), leader.m_now, 0);
  leader.AddWorker();
  leader.Advance(milliseconds(4000)); // what was learned is written with a batch after 3 s
  leader.m_scheduler.Cancel(1, kLargeJob, leader.m_now, 0);
  leader.Advance(milliseconds(4000));
  CHECK(leader.m_largestRecord <= kStoreRecordBytes);
  StoredModels kept;
  REQUIRE(UnpackCompact(leader.m_store[std::string(kLearnedKey)], kept));
  REQUIRE(kept.m_interference.m_pairs.size() > 1000);
  CHECK(kept.m_interference.m_pairs.front().m_servingImage == "serving-image-99"); // the best known
}

/// Starts a leader of the next epoch from what \p aStore holds.
static void
Restore(Leader& aLeader, const std::map<std::string, std::string>& aStore)
{
  aLeader.m_store = aStore;
  std::vector<std::pair<GraphId, StoredProgress>> progress;
  std::vector<std::pair<std::string, StoredProgressPart>> parts;
  for (const std::pair<const std::string, std::string>& valueEntry : aStore) {
    GraphId id = 0;
    const RecordKind kind = ClassifyKey(valueEntry.first, id);
    StoredJob job;
    if (kind == RecordKind::Job) {
      REQUIRE(UnpackCompact(valueEntry.second, job));
      aLeader.m_scheduler.RestoreJob(std::move(job), aLeader.m_now, 0);
    } else if (kind == RecordKind::Progress) {
      REQUIRE(UnpackCompact(valueEntry.second, progress.emplace_back(id, StoredProgress()).second));
    } else if (kind == RecordKind::ProgressPart) {
      REQUIRE(UnpackCompact(valueEntry.second,
                            parts.emplace_back(valueEntry.first, StoredProgressPart()).second));
    }
  }
  for (const std::pair<GraphId, StoredProgress>& oneEntry : progress) {
    aLeader.m_scheduler.RestoreProgress(oneEntry.first, oneEntry.second);
  }
  for (const std::pair<std::string, StoredProgressPart>& partEntry : parts) {
    GraphId id = 0;
    ClassifyKey(partEntry.first, id);
    aLeader.m_scheduler.RestoreProgressPart(partEntry.first, id, partEntry.second, aLeader.m_now);
  }
}

static size_t
CountParts(const std::map<std::string, std::string>& aStore)
{
  return static_cast<size_t>(std::count_if(
    aStore.begin(), aStore.end(), [](const std::pair<const std::string, std::string>& aEntry) {
      GraphId id = 0;
      return ClassifyKey(aEntry.first, id) == RecordKind::ProgressPart;
    }));
}

/// Returns the records of a job with \p aTasks tasks. Every third one is done, every third one has
/// failed once, and the others have checkpoints.
static std::map<std::string, std::string>
WriteProgress(const SchedulerLimits& aLimits, uint32_t aTasks)
{
  Leader leader(aLimits, 2);
  const StoredJob job = MakeJob(kLargeJob, 1, aTasks);
  leader.m_store[JobKey(kLargeJob)] = PackCompact(job);
  leader.m_scheduler.RestoreJob(job, leader.m_now, 0);
  for (uint32_t i = 0; i < aTasks; ++i) {
    EndedAttempt ended = ExpiredEnd(i + 1, { kLargeJob, 0, 0, static_cast<uint16_t>(i) });
    ended.m_end = i % 3 == 0   ? AttemptEnd::Done
                  : i % 3 == 1 ? AttemptEnd::Failed
                               : AttemptEnd::LeaseExpired;
    ended.m_checkpoint = i % 3 == 2 ? ended.m_checkpoint : std::string();
    leader.m_status.m_ended.push_back(ended);
  }
  leader.AddWorker();
  leader.Advance(milliseconds(3000));
  CHECK(leader.m_acknowledged == aTasks);
  CHECK(leader.m_largestRecord <= aLimits.m_maxRecordBytes);
  CHECK(leader.m_largestAppend <= aLimits.m_maxBatchBytes);
  return leader.m_store;
}

// Guards against tasks that run again after their ends were acknowledged, or begin anew, since a
// new leader has read only a part of the progress.
TEST_CASE("a new leader reads progress back whole that takes several records")
{
  SchedulerLimits limits;
  // The whole progress in one record; done tasks and failures in one record; neither.
  limits.m_maxRecordBytes = GENERATE(65536, 2500, 400);
  limits.m_maxBatchBytes = std::max<size_t>(8192, limits.m_maxRecordBytes);
  static constexpr uint32_t kTasks = 150;
  const std::map<std::string, std::string> store = WriteProgress(limits, kTasks);
  CHECK((CountParts(store) > 0) == (limits.m_maxRecordBytes < 65536));

  Leader successor(limits, 3);
  Restore(successor, store);
  successor.AddWorker();
  successor.Advance(milliseconds(1000));
  CHECK(successor.m_starts.size() == kTasks - kTasks / 3);
  for (uint16_t i = 0; i < kTasks; ++i) {
    const TaskRef task{ kLargeJob, 0, 0, i };
    const auto it = successor.m_starts.find(FormatTaskRef(task));
    CHECK((it != successor.m_starts.end()) == (i % 3 != 0));
    if (i % 3 == 2 && it != successor.m_starts.end()) {
      CHECK(it->second == CheckpointOf(task));
    }
  }
  StoredProgress progress;
  REQUIRE(UnpackCompact(store.at(ProgressKey(kLargeJob)), progress));
  CHECK(progress.m_state == JobState::Running);
  REQUIRE(progress.m_occurrences.size() == 1);
  CHECK(progress.m_occurrences[0].m_done.empty() == (limits.m_maxRecordBytes == 400));
}

// Guards against failed attempts that are forgotten with the leader, so that a task fails for ever.
TEST_CASE("failed attempts in parts of the progress count under a new leader")
{
  const SchedulerLimits limits = LimitRecords(400);
  Leader successor(limits, 3);
  Restore(successor, WriteProgress(limits, 150));
  // Each task may fail three times, so two more failures of one task end the job.
  const TaskRef task{ kLargeJob, 0, 0, 1 };
  successor.m_status.m_ended = { { 1, task, 2, AttemptEnd::Failed, "" },
                                 { 2, task, 3, AttemptEnd::Failed, "" } };
  successor.AddWorker();
  successor.Advance(milliseconds(1000));
  CHECK(successor.m_scheduler.StateOf(kLargeJob) == JobState::Failed);
}

// Guards against records that stay in the store for ever.
TEST_CASE("the parts of a job's progress are deleted when it ends")
{
  const SchedulerLimits limits = LimitRecords(400);
  Leader successor(limits, 3);
  Restore(successor, WriteProgress(limits, 150));
  CHECK(CountParts(successor.m_store) > 0);
  successor.AddWorker();
  successor.m_scheduler.Cancel(1, kLargeJob, successor.m_now, 0);
  successor.Advance(milliseconds(1000));
  CHECK(successor.m_results.at(1) == SubmitResult::Accepted);
  CHECK(CountParts(successor.m_store) == 0);
}

// Guards against a new job that takes tasks for done which an earlier job with its id has done.
TEST_CASE("parts of the progress of an earlier job with the same id are deleted")
{
  const SchedulerLimits limits = LimitRecords(400);
  std::map<std::string, std::string> store = WriteProgress(limits, 150);
  StoredJob later = MakeJob(kLargeJob, 1, 150);
  later.m_acceptedMs = kAcceptedMs + 1;
  store[JobKey(kLargeJob)] = PackCompact(later);
  store.erase(ProgressKey(kLargeJob));
  Leader successor(limits, 3);
  Restore(successor, store);
  successor.AddWorker();
  successor.Advance(milliseconds(1000));
  CHECK(CountParts(successor.m_store) == 0);
  CHECK(successor.m_starts.size() == 150);
}

// Guards against a job that stands still: an earlier version, which knows no parts, has run the
// tasks again that it took for undone, and its record and the parts together name all tasks.
TEST_CASE("a job ends of which parts and a record without them name all tasks as done")
{
  Leader leader(SchedulerLimits(), 3);
  leader.m_scheduler.RestoreJob(MakeJob(kLargeJob, 1, 3), leader.m_now, 0);
  StoredProgress progress;
  progress.m_state = JobState::Running;
  progress.m_occurrences.push_back({ 0, { { 1, 2 } }, { { 0, 0, { 1 }, "newer" } }, false });
  leader.m_scheduler.RestoreProgress(kLargeJob, progress);
  StoredProgressPart part{ kAcceptedMs, { 0, { { 0 } }, {}, false } };
  const std::string key = ProgressPartKey({ kLargeJob, 0, 0, 0 });
  leader.m_store[key] = PackCompact(part);
  leader.m_scheduler.RestoreProgressPart(key, kLargeJob, part, leader.m_now);
  leader.AddWorker();
  leader.Advance(milliseconds(1000));
  CHECK(leader.m_scheduler.StateOf(kLargeJob) == JobState::Done);
  CHECK(leader.m_starts.empty());
  CHECK(CountParts(leader.m_store) == 0);
}

// Guards against a checkpoint of a part that replaces a later one of an earlier version.
TEST_CASE("a checkpoint in the record of the whole progress counts before that of a part")
{
  Leader leader(SchedulerLimits(), 3);
  leader.m_scheduler.RestoreJob(MakeJob(kLargeJob, 1, 2), leader.m_now, 0);
  StoredProgress progress;
  progress.m_state = JobState::Running;
  progress.m_occurrences.push_back({ 0, { {} }, { { 0, 0, {}, "newer" } }, false });
  leader.m_scheduler.RestoreProgress(kLargeJob, progress);
  StoredProgressPart part{ kAcceptedMs,
                           { 0, { {} }, { { 0, 0, {}, "older" }, { 0, 1, {}, "only" } }, false } };
  leader.m_scheduler.RestoreProgressPart(
    ProgressPartKey({ kLargeJob, 0, 0, 0 }), kLargeJob, part, leader.m_now);
  leader.AddWorker();
  leader.Advance(milliseconds(1000));
  CHECK(leader.m_starts.at(FormatTaskRef({ kLargeJob, 0, 0, 0 })) == "newer");
  CHECK(leader.m_starts.at(FormatTaskRef({ kLargeJob, 0, 0, 1 })) == "only");
}

// Guards against jobs that wait until all of a large job's progress is written.
TEST_CASE("a job is accepted while the progress of a large one takes many appends")
{
  Leader leader(MakeLimits(8192), 2);
  leader.RestoreExpiredTasks(4, 1000);
  leader.Advance(milliseconds(100));
  CHECK(leader.m_acknowledged == 0); // not all is written
  StoredJob other = MakeJob(kLargeJob + 1, 1, 1);
  leader.m_scheduler.Submit(1, { other.m_id, other.m_terms, other.m_graph }, leader.m_now, 0);
  leader.Advance(milliseconds(100));
  REQUIRE(leader.m_results.count(1) == 1);
  CHECK(leader.m_results.at(1) == SubmitResult::Accepted);
  CHECK(leader.m_acknowledged == 0);
  leader.Advance(milliseconds(8000));
  CHECK(leader.m_acknowledged == 4000);
}

// Guards against appends whose size grows with all of the job's progress at each change.
TEST_CASE("only the parts that have changed are written again")
{
  Leader leader(SchedulerLimits(), 2);
  leader.RestoreExpiredTasks(4, 256);
  leader.Advance(milliseconds(1000));
  CHECK(leader.m_acknowledged == 1024);
  leader.m_largestAppend = 0;
  leader.m_status.m_ended = { { 1025, { kLargeJob, 0, 0, 0 }, 2, AttemptEnd::Done, "" } };
  leader.Advance(milliseconds(1000));
  CHECK(leader.m_acknowledged == 1025);
  CHECK(leader.m_largestAppend < 64 * 1024); // of more than 315,000 bytes of progress
}

// Guards against a job that is accepted or stops all others, though the store can't keep its
// record.
TEST_CASE("a job whose record exceeds the store's limit is refused as too large")
{
  const SchedulerLimits limits = LimitRecords(2000);
  Leader leader(limits, 1);
  leader.AddWorker();
  StoredJob large = MakeJob(kLargeJob, 1, 1);
  large.m_graph.m_payload.resize(2000, 'p');
  const Expected<void> storable = CheckStorable(large, limits.m_maxRecordBytes);
  REQUIRE_FALSE(storable);
  CHECK(storable.error().m_kind == ErrorKind::BadInput);
  leader.m_scheduler.Submit(1, { large.m_id, large.m_terms, large.m_graph }, leader.m_now, 0);
  StoredJob usual = MakeJob(kLargeJob + 1, 1, 1);
  leader.m_scheduler.Submit(2, { usual.m_id, usual.m_terms, usual.m_graph }, leader.m_now, 0);
  leader.Advance(milliseconds(200));
  CHECK(leader.m_results.at(1) == SubmitResult::TooLarge);
  CHECK(leader.m_results.at(2) == SubmitResult::Accepted);
  CHECK_FALSE(leader.m_scheduler.StateOf(kLargeJob).has_value());
}

// Guards against a caller that waits for a job whose record the store refuses all the same.
TEST_CASE("a new job is refused when the store refuses its record")
{
  Leader leader(SchedulerLimits(), 1);
  leader.AddWorker();
  leader.Advance(milliseconds(200));
  leader.m_confirms = false;
  StoredJob job = MakeJob(kLargeJob, 1, 1);
  leader.m_scheduler.Submit(1, { job.m_id, job.m_terms, job.m_graph }, leader.m_now, 0);
  leader.Advance(milliseconds(200));
  leader.m_scheduler.OnRecordRefused(JobKey(kLargeJob), leader.m_now);
  leader.Advance(milliseconds(200));
  CHECK(leader.m_results.at(1) == SubmitResult::TooLarge);
  CHECK_FALSE(leader.m_scheduler.StateOf(kLargeJob).has_value());
  CHECK(leader.m_starts.empty());
}
