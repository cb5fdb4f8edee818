#include "egretturn/Scheduler/BatchDraft.h"

#include "egretturn/Support/Log.h"

namespace egretturn {

BatchDraft::BatchDraft(uint64_t aBatch, size_t aMaxBytes, size_t aMaxRecordBytes)
  : m_maxBytes(aMaxBytes)
  , m_maxRecordBytes(aMaxRecordBytes)
{
  m_append.m_batch = aBatch;
}

bool
BatchDraft::IsStorable(const KeyedRecord& aRecord) const
{
  return RecordBytes(aRecord) <= m_maxRecordBytes;
}

bool
BatchDraft::HasRoomFor(const KeyedRecord& aRecord) const
{
  return IsEmpty() || m_bytes + AppendedBytes(aRecord) <= m_maxBytes;
}

bool
BatchDraft::Add(KeyedRecord aRecord)
{
  if (!IsStorable(aRecord)) {
    Log(LogLine(LogLevel::Error, "record_too_large")
          .Add("key", aRecord.m_key)
          .Add("bytes", uint64_t{ RecordBytes(aRecord) })
          .Add("limit", uint64_t{ m_maxRecordBytes })
          .Add("remedy", "raise the store's limit of a record"));
    return false;
  }
  m_bytes += AppendedBytes(aRecord);
  m_append.m_records.push_back(std::move(aRecord));
  return true;
}

} // namespace egretturn
