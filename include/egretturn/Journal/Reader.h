// Reads one stream of the log: drops duplicate batches, detects gaps and assembles snapshots.
#pragma once

#include "egretturn/Journal/Records.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egretturn {

/// One record as the log returned it.
struct LogRecord
{
  Offset m_offset = 0;
  std::string m_bytes;
};

/// The response to a read: records from the requested offset on, and the range that the log keeps.
struct LogChunk
{
  std::vector<LogRecord> m_records;
  Offset m_oldest = 0; ///< Lowest offset still kept.
  Offset m_next = 0;   ///< Offset of the next append.
};

/// Sequence number of the last batch read from one writer.
struct WriterPosition
{
  InstanceId m_writer;
  uint64_t m_sequence = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("writer", aSelf.m_writer);
    aVisit("sequence", aSelf.m_sequence);
  }
};

/// A decoded batch and its offset in the log.
struct LoggedBatch
{
  Offset m_offset = 0;
  Batch m_batch;
};

/// Decodes the records of one stream in log order. Not thread-safe.
class StreamReader
{
public:
  /// Processes the response to a read from Next(). Returns the new batches in log order, without
  /// duplicates. After a gap, returns nothing until a state that reaches the kept records is
  /// restored.
  std::vector<LoggedBatch> Feed(const LogChunk& aChunk);

  /// Returns the offset of the next read.
  Offset Next() const { return m_next; }

  /// Whether records were missed that no restored state covers yet.
  bool HasGap() const { return m_hasGap; }

  /// A complete snapshot and the offset that it covers.
  struct Snapshot
  {
    Offset m_covers = 0;
    std::string m_bytes;
  };

  /// Returns a snapshot that can close the gap, once. Records after it are held until Restore().
  std::optional<Snapshot> TakeSnapshot();

  /// Whether a state up to \p aCovers is newer than what was read and reaches the kept records.
  bool CanRestore(Offset aCovers) const;

  /// Continues after \p aCovers, up to which the caller has restored a state that includes the
  /// writers' positions \p aPositions.
  void Restore(Offset aCovers, const std::vector<WriterPosition>& aPositions);

  /// Returns the positions of all known writers, for a snapshot.
  std::vector<WriterPosition> WriterPositions() const;

  /// Returns the offset that the latest complete snapshot in the stream covers, or zero.
  Offset SnapshotCovers() const { return m_snapshotCovers; }

  /// Returns the number of records that could not be decoded.
  uint64_t CorruptRecords() const { return m_corrupt; }

private:
  void AppendIfNew(const LoggedBatch& aBatch, std::vector<LoggedBatch>& aOut);
  bool IsDuplicate(const Batch& aBatch);
  std::optional<Snapshot> AssembleSnapshot(const LoggedBatch& aBatch);
  void RecordSnapshot(const LoggedBatch& aBatch);

  struct PartialSnapshot
  {
    Offset m_covers = 0;
    std::map<uint32_t, std::string> m_parts;
  };

  Offset m_next = 0;
  bool m_hasGap = false;
  Offset m_gapEnd = 0;
  Offset m_snapshotCovers = 0;
  uint64_t m_corrupt = 0;
  std::map<std::string, std::vector<WriterPosition>>
    m_writerPositions; ///< By instance id, oldest incarnation first.
  std::map<InstanceId, PartialSnapshot> m_partialSnapshots;
  std::vector<LoggedBatch> m_held; ///< Batches after a gap, held until a state is restored.
  std::optional<Snapshot> m_snapshot;
};

} // namespace egretturn
