#include "egretturn/Scheduler/Records.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/EnumTable.h"

namespace egretturn {

static constexpr EnumTable<JobState, 5> kStateNames{ {
  { JobState::Queued, "queued" },
  { JobState::Running, "running" },
  { JobState::Done, "done" },
  { JobState::Failed, "failed" },
  { JobState::Cancelled, "cancelled" },
} };

static constexpr std::string_view kJobPrefix = "job/";
static constexpr std::string_view kProgressPrefix = "progress/";
static constexpr std::string_view kProgressPartPrefix = "progress-part/";
static constexpr std::string_view kTombstonePrefix = "cancelled/";
static constexpr std::string_view kWorkerPrefix = "worker/";
static constexpr size_t kKeyLengthBytes = 1;
static constexpr size_t kRecordLengthBytes = 4;

std::string_view
NameOf(JobState aState)
{
  return NameIn(kStateNames, aState);
}

std::string
JobKey(GraphId aId)
{
  return std::string(kJobPrefix) + FormatGraphId(aId);
}

std::string
ProgressKey(GraphId aId)
{
  return std::string(kProgressPrefix) + FormatGraphId(aId);
}

std::string
TombstoneKey(GraphId aId)
{
  return std::string(kTombstonePrefix) + FormatGraphId(aId);
}

std::string
WorkerKey(std::string_view aWorker)
{
  return std::string(kWorkerPrefix).append(aWorker);
}

std::string
ProgressPartKey(const TaskRef& aFirst)
{
  return std::string(kProgressPartPrefix) + FormatTaskRef(aFirst);
}

size_t
RecordBytes(const KeyedRecord& aRecord)
{
  return kKeyLengthBytes + aRecord.m_key.size() + aRecord.m_value.size();
}

size_t
AppendedBytes(const KeyedRecord& aRecord)
{
  return kRecordLengthBytes + RecordBytes(aRecord);
}

KeyedRecord
MakeJobRecord(const StoredJob& aJob)
{
  return { JobKey(aJob.m_id), PackCompact(aJob) };
}

Expected<void>
CheckStorable(const StoredJob& aJob, size_t aMaxRecordBytes)
{
  const size_t bytes = RecordBytes(MakeJobRecord(aJob));
  if (bytes <= aMaxRecordBytes) {
    return {};
  }
  return Fail(ErrorKind::BadInput,
              "the record of the job has " + std::to_string(bytes) +
                " bytes, more than the store's limit of " + std::to_string(aMaxRecordBytes),
              "submit a job with fewer steps or shorter texts");
}

/// Parses \p aPrefix followed by an id. Returns false if \p aKey has another form.
static bool
ReadKey(std::string_view aKey, std::string_view aPrefix, GraphId& aId)
{
  if (!aKey.starts_with(aPrefix)) {
    return false;
  }
  const Expected<GraphId> id = ParseGraphId(aKey.substr(aPrefix.size()));
  aId = id.value_or(0);
  return id.has_value();
}

RecordKind
ClassifyKey(std::string_view aKey, GraphId& aId)
{
  if (aKey == kClaimKey) {
    return RecordKind::Claim;
  }
  if (aKey == kLearnedKey) {
    return RecordKind::Learned;
  }
  if (aKey.starts_with(kWorkerPrefix)) {
    return RecordKind::Worker;
  }
  if (aKey.starts_with(kProgressPartPrefix)) {
    const Expected<TaskRef> first = ParseTaskRef(aKey.substr(kProgressPartPrefix.size()));
    aId = first ? first->m_job : 0;
    return first ? RecordKind::ProgressPart : RecordKind::Unknown;
  }
  if (ReadKey(aKey, kJobPrefix, aId)) {
    return RecordKind::Job;
  }
  if (ReadKey(aKey, kTombstonePrefix, aId)) {
    return RecordKind::Tombstone;
  }
  return ReadKey(aKey, kProgressPrefix, aId) ? RecordKind::Progress : RecordKind::Unknown;
}

} // namespace egretturn
