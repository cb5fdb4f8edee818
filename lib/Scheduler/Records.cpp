#include "egretturn/Scheduler/Records.h"

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
static constexpr std::string_view kWorkerPrefix = "worker/";

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
WorkerKey(std::string_view aWorker)
{
  return std::string(kWorkerPrefix).append(aWorker);
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
  if (ReadKey(aKey, kJobPrefix, aId)) {
    return RecordKind::Job;
  }
  return ReadKey(aKey, kProgressPrefix, aId) ? RecordKind::Progress : RecordKind::Unknown;
}

} // namespace egretturn
