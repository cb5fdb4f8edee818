// The records that instances keep on the platform's log, and the batches that carry them.
#pragma once

#include "egretturn/Config/Document.h"
#include "egretturn/Support/Fields.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace egretturn {

/// The streams of the log. Each availability zone has a tasks stream of its own.
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
using JobId = uint64_t;   ///< Offset of the accepting batch and place in it; see MakeJobId().
using Epoch = uint32_t;   ///< Counts the claims of one rack.
using Attempt = uint32_t; ///< Counts the starts of one task, from 1.

/// One run of a process: its configured id and a number drawn at its start.
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

/// A caller's job. The first record with a key counts; later ones refer to it.
struct JobSubmit
{
  std::string m_key;
  std::string m_kind;
  std::string m_team;
  bool m_urgent = false;
  bool m_restartable = false;
  uint32_t m_tasks = 1;
  std::string m_zone;               ///< Availability zone that runs the job.
  std::vector<std::string> m_racks; ///< Task i belongs to rack i modulo their number.
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

/// Written before a keyed request is dispatched. The first in log order may dispatch.
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
  NotRun, ///< Nothing was started; the key is free again.
};

/// What became of a keyed request. Counts only from the writer whose intent came first.
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

/// A change against version m_base. The first in log order with the matching base wins.
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

/// The writer takes the rack. Counts if m_epoch is one above the last.
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

/// The owner gives up the rack and has stopped deciding for it.
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

/// Attempt m_attempt of a task goes to m_worker. Recorded before the worker is told.
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
  Evicted,      ///< Stopped to make room, with a checkpoint where the kind has them.
  Refused,      ///< The worker refused before running.
  Lost,         ///< The worker no longer knows the attempt.
  LeaseExpired, ///< The worker was silent for longer than the lease.
  Stopped,      ///< Stopped after a cancellation.
};

/// Returns the lower-case name of \p aReason.
std::string_view NameOf(TaskEndReason aReason);

/// The attempt is confirmed to be over.
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

/// A waiting task goes to another rack of the availability zone.
struct TaskMove
{
  TaskId m_task;
  Epoch m_epoch = 0; ///< Of the rack that gives the task away.
  std::string m_rack;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("task", aSelf.m_task);
    aVisit("epoch", aSelf.m_epoch);
    aVisit("rack", aSelf.m_rack);
  }
};

/// A caller's cancellation. Tasks that have not ended by then end without running again.
struct JobCancel
{
  JobId m_job = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("job", aSelf.m_job);
  }
};

/// The job can never run. Recorded by the owner of a rack that holds one of its tasks.
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

/// A part of the stream's state after all records below offset m_covers.
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

/// New kinds are added at the end: the index is the tag in the log.
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

/// What one append carries.
struct Batch
{
  uint32_t m_schema = 1;
  InstanceId m_writer;
  uint64_t m_sequence = 0; ///< Counts the writer's batches on this stream, from 1.
  Offset m_intakeSeen = 0; ///< The writer had applied the intake stream up to here.
  std::vector<Entry> m_entries;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("schema", aSelf.m_schema);
    aVisit("writer", aSelf.m_writer);
    aVisit("sequence", aSelf.m_sequence);
    aVisit("intake_seen", aSelf.m_intakeSeen);
    aVisit("entries", aSelf.m_entries);
  }
};

constexpr uint32_t kBatchSchema = 1;
constexpr uint32_t kMaxBatchEntries = 1024; // also the stride of job ids within one batch

/// The id of the job accepted by entry \p aIndex of the batch at \p aOffset.
constexpr JobId
MakeJobId(Offset aOffset, size_t aIndex)
{
  return aOffset * kMaxBatchEntries + aIndex;
}

} // namespace egretturn
