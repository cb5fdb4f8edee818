// Defines the records that the scheduler keeps in the store: one for each accepted job, one or more
// for its progress, and the claim of the leader.
#pragma once

#include "egretturn/JobGraph/Graph.h"
#include "egretturn/Scheduler/RetentionClock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretturn {

/// The terms that a route sets for its jobs. Copied into the job when it is accepted.
struct JobTerms
{
  std::string m_route;
  std::string m_service; ///< The service whose workers run the tasks.
  uint32_t m_priority = 0;
  uint32_t m_maxAttempts = 1; ///< Number of failed attempts after which a task has failed.
  double m_stretch = 1.0;
  int64_t m_targetMs = 0; ///< The latency objective is m_stretch x critical path + m_targetMs.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("route", aSelf.m_route);
    aVisit("service", aSelf.m_service);
    aVisit("priority", aSelf.m_priority);
    aVisit("attempts", aSelf.m_maxAttempts);
    aVisit("stretch", aSelf.m_stretch);
    aVisit("target_ms", aSelf.m_targetMs);
  }
};

/// An accepted job.
struct StoredJob
{
  GraphId m_id = 0;
  JobTerms m_terms;
  Graph m_graph;
  int64_t m_acceptedMs = 0; ///< Unix time; used only to order recovered jobs.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("id", aSelf.m_id);
    aVisit("terms", aSelf.m_terms);
    aVisit("graph", aSelf.m_graph);
    aVisit("accepted_ms", aSelf.m_acceptedMs);
  }
};

/// Progress of one task that has failed attempts or a saved checkpoint.
struct StoredTask
{
  uint16_t m_step = 0;
  uint16_t m_index = 0;
  std::vector<uint64_t> m_failedAttempts; ///< Each failed attempt counts once.
  std::string m_checkpoint;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("step", aSelf.m_step);
    aVisit("index", aSelf.m_index);
    aVisit("failed_runs", aSelf.m_failedAttempts);
    aVisit("checkpoint", aSelf.m_checkpoint);
  }
};

/// Progress of one occurrence of a job.
struct StoredOccurrence
{
  uint32_t m_number = 0;
  std::vector<std::vector<uint16_t>> m_done; ///< Done tasks by step; empty when all are done.
  std::vector<StoredTask> m_tasks;
  bool m_complete = false;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("number", aSelf.m_number);
    aVisit("done", aSelf.m_done);
    aVisit("tasks", aSelf.m_tasks);
    aVisit("complete", aSelf.m_complete);
  }
};

/// Progress of consecutive tasks of one step, kept in a record of its own when the progress of the
/// whole job does not fit into one record. It names only facts that stay true, so an outdated part
/// does no harm.
struct StoredProgressPart
{
  int64_t m_acceptedMs = 0; ///< Of the job; tells it from an earlier job with the same id.
  StoredOccurrence m_occurrence;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("accepted_ms", aSelf.m_acceptedMs);
    aVisit("occurrence", aSelf.m_occurrence);
  }
};

/// The state of a job. Done, Failed and Cancelled are final.
enum class JobState : uint8_t
{
  Queued,
  Running,
  Done,
  Failed,
  Cancelled,
};

/// Returns the stable lower-case name of \p aState.
std::string_view NameOf(JobState aState);

/// Returns whether a job in \p aState needs no more work.
constexpr bool
IsEnded(JobState aState)
{
  return aState == JobState::Done || aState == JobState::Failed || aState == JobState::Cancelled;
}

/// Progress of a job; occurrences are stored only while it has not ended.
struct StoredProgress
{
  JobState m_state = JobState::Queued;
  std::vector<StoredOccurrence> m_occurrences;
  int64_t m_endedMs = 0; ///< Unix time at which the job ended; by it earlier versions forget it.
  /// Reading of the retention clock by which the end was durable.
  int64_t m_endedReadingMs = RetentionClock::kNoReading;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("state", aSelf.m_state);
    aVisit("occurrences", aSelf.m_occurrences);
    aVisit("ended_ms", aSelf.m_endedMs);
    aVisit("ended_reading_ms", aSelf.m_endedReadingMs);
  }
};

/// A job that was cancelled before it was accepted, and that no leader accepts any more.
struct StoredTombstone
{
  int64_t m_readingMs = 0; ///< Reading of the retention clock by which the record was durable.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("reading_ms", aSelf.m_readingMs);
  }
};

/// An instance that has to follow a leader while the store does not confirm the leader's claim.
struct Witness
{
  std::string m_instance;
  std::string m_address; ///< For calls between instances.

  bool operator==(const Witness&) const = default;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("instance", aSelf.m_instance);
    aVisit("address", aSelf.m_address);
  }
};

/// A leader of an earlier epoch that may still call workers. For that all of its witnesses have to
/// follow it, so it stops soon after one of them, or it itself, follows a later leader.
struct EarlierLeader
{
  std::string m_instance;
  std::vector<Witness> m_contacts; ///< Its witnesses and itself.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("instance", aSelf.m_instance);
    aVisit("contacts", aSelf.m_contacts);
  }
};

/// The claim of the leader. The epoch rises with each claim and is the fencing token of its worker
/// calls.
struct StoredClaim
{
  uint64_t m_epoch = 0;
  std::string m_instance;
  std::string m_address;              ///< For calls between instances.
  uint64_t m_incarnation = 0;         ///< Differs for each start of the instance's process.
  double m_weight = 0;                ///< The instance's share of a processor.
  int64_t m_readingMs = 0;            ///< Of the retention clock, when the record was written.
  std::vector<Witness> m_witnesses{}; ///< None: it calls no workers without the store.
  std::vector<EarlierLeader> m_earlierLeaders{}; ///< Those that have not certainly stopped.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("epoch", aSelf.m_epoch);
    aVisit("instance", aSelf.m_instance);
    aVisit("address", aSelf.m_address);
    aVisit("incarnation", aSelf.m_incarnation);
    aVisit("weight", aSelf.m_weight);
    aVisit("reading_ms", aSelf.m_readingMs);
    aVisit("witnesses", aSelf.m_witnesses);
    aVisit("earlier_leaders", aSelf.m_earlierLeaders);
  }
};

constexpr size_t kMaxKeyBytes = 255; ///< Of a keyed record; the length is stored in one byte.
constexpr size_t kMaxCheckpointBytes = 4096; ///< Longer ones are not kept.

/// One record. The newest value of a key wins; an empty value deletes the key.
struct KeyedRecord
{
  std::string m_key;
  std::string m_value;

  bool operator==(const KeyedRecord&) const = default;
};

/// Returns the bytes of \p aRecord that count towards the store's limit of a record. Thread-safe.
size_t RecordBytes(const KeyedRecord& aRecord);

/// Returns the bytes that \p aRecord takes in an append, with the lengths before it. Thread-safe.
size_t AppendedBytes(const KeyedRecord& aRecord);

/// Returns the record of \p aJob. Thread-safe.
KeyedRecord MakeJobRecord(const StoredJob& aJob);

/// Checks that the store can keep the record of \p aJob. Errors: bad_input if the record is larger
/// than \p aMaxRecordBytes. Thread-safe.
Expected<void> CheckStorable(const StoredJob& aJob, size_t aMaxRecordBytes);

/// Returns the key of a record. Thread-safe.
std::string JobKey(GraphId aId);
std::string ProgressKey(GraphId aId);
std::string TombstoneKey(GraphId aId);
std::string WorkerKey(std::string_view aWorker);

/// Returns the key of the part of a job's progress that begins at the task \p aFirst. Thread-safe.
std::string ProgressPartKey(const TaskRef& aFirst);

constexpr std::string_view kClaimKey = "claim";
constexpr std::string_view kLearnedKey = "learned";

/// The kind of a record, by its key.
enum class RecordKind
{
  Claim,
  Job,
  Progress,
  ProgressPart,
  Tombstone,
  Worker,
  Learned,
  Unknown,
};

/// Returns the kind of a record by its key, and sets \p aId to its job, if it has one. Thread-safe.
RecordKind ClassifyKey(std::string_view aKey, GraphId& aId);

} // namespace egretturn
