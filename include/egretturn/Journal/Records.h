// Records that instances write to the platform's log, and the batches that carry them.
#pragma once

#include "egretturn/Config/Document.h"
#include "egretturn/Support/Fields.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace egretturn {

/// The streams of the log. Each availability zone has its own zone stream.
enum class Stream : uint8_t
{
  Config, ///< Published configurations; read by every instance.
  Intake, ///< Accepted jobs and keyed requests; read by every instance.
  Zone,   ///< Ownership and tasks of one availability zone; read by its instances.
};
constexpr size_t kStreamCount = 3;

/// Returns the lower-case name of \p aStream.
std::string_view NameOf(Stream aStream);

using Offset = uint64_t;
using JobId = uint64_t;   ///< Offset of the accepting batch and index in it; see MakeJobId().
using Epoch = uint32_t;   ///< Number of a claim of a rack, from 1.
using Attempt = uint32_t; ///< Number of an attempt of a task, from 1.

/// One incarnation of an instance: its configured id and a number drawn when the process started.
struct InstanceId
{
  std::string m_id;
  uint64_t m_incarnation = 0;

  std::strong_ordering operator<=>(const InstanceId&) const = default;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("id", aSelf.m_id);
    aVisit("incarnation", aSelf.m_incarnation);
  }
};

struct TaskId
{
  JobId m_job = 0;
  uint32_t m_index = 0;

  std::strong_ordering operator<=>(const TaskId&) const = default;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("job", aSelf.m_job);
    aVisit("index", aSelf.m_index);
  }
};

/// A job that a caller submitted. The first record with a key takes effect; later ones refer to it.
struct JobSubmit
{
  std::string m_key;
  std::string m_kind;
  std::string m_team;
  bool m_urgent = false;
  bool m_restartable = false;
  uint32_t m_tasks = 1;
  std::string m_zone;               ///< Availability zone that runs the job.
  std::vector<std::string> m_racks; ///< Task i belongs to rack i modulo the number of racks.
  std::vector<JobId> m_after;       ///< Jobs that must finish first.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("key", aSelf.m_key);
    aVisit("kind", aSelf.m_kind);
    aVisit("team", aSelf.m_team);
    aVisit("urgent", aSelf.m_urgent);
    aVisit("restartable", aSelf.m_restartable);
    aVisit("tasks", aSelf.m_tasks);
    aVisit("zone", aSelf.m_zone);
    aVisit("racks", aSelf.m_racks);
    aVisit("after", aSelf.m_after);
  }
};

/// The intent to dispatch a request with an idempotency key, written before the dispatch. Only the
/// writer of the first intent in log order may dispatch.
struct KeyIntent
{
  std::string m_key;
  uint64_t m_bodyHash = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("key", aSelf.m_key);
    aVisit("body_hash", aSelf.m_bodyHash);
  }
};

enum class KeyResult : uint8_t
{
  Done,
  NotRun, ///< Nothing was started; the key may be used again.
};

/// The result of a request with an idempotency key. Only takes effect if its writer also wrote the
/// first intent.
struct KeyOutcome
{
  std::string m_key;
  KeyResult m_result = KeyResult::NotRun;
  uint32_t m_status = 0;
  std::string m_body;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("key", aSelf.m_key);
    aVisit("fate", aSelf.m_result);
    aVisit("status", aSelf.m_status);
    aVisit("body", aSelf.m_body);
  }
};

/// A configuration change against version m_base. The first one in log order whose base matches the
/// current version takes effect.
struct ConfigPublish
{
  uint64_t m_base = 0;
  std::vector<ObjectChange> m_changes;
  std::string m_author;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("base", aSelf.m_base);
    aVisit("changes", aSelf.m_changes);
    aVisit("author", aSelf.m_author);
  }
};

/// The writer claims the rack. Takes effect if m_epoch is one above the last epoch.
struct RackClaim
{
  std::string m_rack;
  Epoch m_epoch = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("rack", aSelf.m_rack);
    aVisit("epoch", aSelf.m_epoch);
  }
};

/// The owner releases the rack and has stopped making decisions for it.
struct RackRelease
{
  std::string m_rack;
  Epoch m_epoch = 0;
  std::string m_successor;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("rack", aSelf.m_rack);
    aVisit("epoch", aSelf.m_epoch);
    aVisit("successor", aSelf.m_successor);
  }
};

/// Assigns attempt m_attempt of a task to m_worker. Recorded before the worker is called.
struct TaskStart
{
  TaskId m_task;
  Attempt m_attempt = 0;
  WorkerId m_worker = 0;
  Epoch m_epoch = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("task", aSelf.m_task);
    aVisit("attempt", aSelf.m_attempt);
    aVisit("worker", aSelf.m_worker);
    aVisit("epoch", aSelf.m_epoch);
  }
};

enum class TaskEndReason : uint8_t
{
  Finished,
  Failed,       ///< The task itself failed on the worker.
  Evicted,      ///< Stopped to free capacity, with a checkpoint if the kind supports it.
  Refused,      ///< The worker refused the attempt without running it.
  Lost,         ///< The worker no longer reports the attempt.
  LeaseExpired, ///< The worker was out of contact for longer than the lease.
  Stopped,      ///< Stopped after a cancellation.
};

/// Returns the lower-case name of \p aReason.
std::string_view NameOf(TaskEndReason aReason);

/// The attempt is confirmed to have ended.
struct TaskEnd
{
  TaskId m_task;
  Attempt m_attempt = 0;
  Epoch m_epoch = 0;
  TaskEndReason m_reason = TaskEndReason::Finished;
  std::string m_checkpoint;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("task", aSelf.m_task);
    aVisit("attempt", aSelf.m_attempt);
    aVisit("epoch", aSelf.m_epoch);
    aVisit("reason", aSelf.m_reason);
    aVisit("checkpoint", aSelf.m_checkpoint);
  }
};

/// Moves a waiting task to another rack of the availability zone.
struct TaskMove
{
  TaskId m_task;
  Epoch m_epoch = 0; ///< Epoch of the rack that the task leaves.
  std::string m_rack;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("task", aSelf.m_task);
    aVisit("epoch", aSelf.m_epoch);
    aVisit("rack", aSelf.m_rack);
  }
};

/// A caller's cancellation of a job. Tasks that have not ended end without being started again.
struct JobCancel
{
  JobId m_job = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("job", aSelf.m_job);
  }
};

/// Marks a job that can never run. Recorded by the owner of a rack that holds one of its tasks.
struct JobFail
{
  JobId m_job = 0;
  std::string m_reason;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("job", aSelf.m_job);
    aVisit("reason", aSelf.m_reason);
  }
};

/// One part of a snapshot: the stream's state after all records below offset m_covers.
struct SnapshotPart
{
  Offset m_covers = 0;
  uint32_t m_part = 0;
  uint32_t m_parts = 1;
  std::string m_bytes;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("covers", aSelf.m_covers);
    aVisit("part", aSelf.m_part);
    aVisit("parts", aSelf.m_parts);
    aVisit("bytes", aSelf.m_bytes);
  }
};

/// An entry of a batch. New types must be added at the end, since the index is the tag in the log.
using Entry = std::variant<JobSubmit,
                           KeyIntent,
                           KeyOutcome,
                           ConfigPublish,
                           RackClaim,
                           RackRelease,
                           TaskStart,
                           TaskEnd,
                           TaskMove,
                           JobCancel,
                           JobFail,
                           SnapshotPart>;

/// The entries that one append writes.
struct Batch
{
  uint32_t m_schema = 1;
  InstanceId m_writer;
  uint64_t m_sequence = 0;    ///< Number of the batch on this stream by this writer, from 1.
  Offset m_intakeApplied = 0; ///< Offset up to which the writer had applied the intake stream.
  std::vector<Entry> m_entries;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("schema", aSelf.m_schema);
    aVisit("writer", aSelf.m_writer);
    aVisit("sequence", aSelf.m_sequence);
    aVisit("intake_seen", aSelf.m_intakeApplied);
    aVisit("entries", aSelf.m_entries);
  }
};

constexpr uint32_t kBatchSchema = 1;
constexpr uint32_t kMaxBatchEntries = 1024; // also the number of job ids reserved for each offset

/// Returns the id of the job accepted by entry \p aIndex of the batch at \p aOffset.
constexpr JobId
MakeJobId(Offset aOffset, size_t aIndex)
{
  return aOffset * kMaxBatchEntries + aIndex;
}

} // namespace egretturn
