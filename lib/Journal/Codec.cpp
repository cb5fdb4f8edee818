#include "egretturn/Journal/Codec.h"

#include "egretturn/Support/EnumTable.h"

namespace egretturn {

static constexpr EnumTable<Stream, 3> kStreamNames{ {
  { Stream::Config, "config" },
  { Stream::Intake, "intake" },
  { Stream::Zone, "zone" },
} };

static constexpr EnumTable<TaskEndReason, 7> kEndNames{ {
  { TaskEndReason::Finished, "finished" },
  { TaskEndReason::Failed, "failed" },
  { TaskEndReason::Evicted, "evicted" },
  { TaskEndReason::Refused, "refused" },
  { TaskEndReason::Lost, "lost" },
  { TaskEndReason::LeaseExpired, "lapsed" },
  { TaskEndReason::Stopped, "stopped" },
} };

std::string_view
NameOf(Stream aStream)
{
  return NameIn(kStreamNames, aStream);
}

std::string_view
NameOf(TaskEndReason aReason)
{
  return NameIn(kEndNames, aReason);
}

std::string
EncodeBatch(const Batch& aBatch)
{
  return PackCompact(aBatch);
}

Expected<Batch>
DecodeBatch(std::string_view aBytes)
{
  Batch batch;
  if (!UnpackCompact(aBytes, batch)) {
    return Fail(ErrorKind::Corrupt,
                "a record of the log can't be decoded",
                "check that no other program writes to the stream");
  }
  if (batch.m_schema > kBatchSchema) {
    return Fail(ErrorKind::Corrupt,
                "a record has schema " + std::to_string(batch.m_schema) + ", newer than " +
                  std::to_string(kBatchSchema),
                "upgrade this instance");
  }
  return batch;
}

} // namespace egretturn
