// Puts a batch of records together, within what the store takes at a time.
#pragma once

#include "egretturn/Scheduler/Actions.h"

namespace egretturn {

/// The records of one append, before it is sent. Not thread-safe.
class BatchDraft
{
public:
  /// The batch numbered \p aBatch, of \p aMaxBytes at most with the lengths of its records; see
  /// AppendedBytes(). A record has \p aMaxRecordBytes at most; see RecordBytes().
  BatchDraft(uint64_t aBatch, size_t aMaxBytes, size_t aMaxRecordBytes);

  /// Returns whether the store can keep \p aRecord, in whatever batch.
  bool IsStorable(const KeyedRecord& aRecord) const;

  /// Returns whether \p aRecord fits beside the others. Any one fits into an empty batch.
  bool HasRoomFor(const KeyedRecord& aRecord) const;

  /// Adds \p aRecord, or logs an error if the store can't keep it. Returns false then.
  bool Add(KeyedRecord aRecord);

  bool IsEmpty() const { return m_append.m_records.empty(); }

  /// Returns the batch, which is not used any more afterwards.
  AppendRecords Finish() { return std::move(m_append); }

private:
  AppendRecords m_append;
  size_t m_bytes = 0;
  size_t m_maxBytes;
  size_t m_maxRecordBytes;
};

} // namespace egretturn
