// Follows one stream: drops doubled batches, notices gaps and gathers snapshots.
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

/// The answer to a read: records from the offset asked for, and the bounds of what is kept.
struct LogChunk
{
  std::vector<LogRecord> m_records;
  Offset m_oldest = 0; ///< Lowest offset still kept.
  Offset m_next = 0;   ///< Offset of the next append.
};

/// How far one writer's batches have been read.
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

struct LoggedBatch
{
  Offset m_offset = 0;
  Batch m_batch;
};

/// Reader of one stream. Not thread-safe.
class StreamReader
{
public:
  /// Takes the answer to a read from Next(). Returns the new batches in log order, doubles dropped.
  /// After a gap it returns nothing until a snapshot that reaches into the kept records was read.
  std::vector<LoggedBatch> Feed(const LogChunk& aChunk);

  /// The offset to read from.
  Offset Next() const { return m_next; }

  /// Whether records were missed and no snapshot covers them yet.
  bool HasGap() const { return m_behind; }

  /// A snapshot that can end the gap, once. Records after it are held until Restore().
  struct Snapshot
  {
    Offset m_covers = 0;
    std::string m_bytes;
  };
  std::optional<Snapshot> TakeSnapshot();

  /// Whether a state up to \p aCovers is ahead of what was read, and reaches the kept records.
  bool CanRestore(Offset aCovers) const;

  /// The state up to \p aCovers was taken from elsewhere, with the writers' marks in it.
  void Restore(Offset aCovers, const std::vector<WriterPosition>& aMarks);

  /// Marks of all known writers, for a snapshot.
  std::vector<WriterPosition> WriterPositions() const;

  /// Offset that the newest whole snapshot in the stream covers; zero for none.
  Offset SnapshotCovers() const { return m_snapshotCovers; }

  /// Records that did not decode.
  uint64_t Corrupt() const { return m_corrupt; }

private:
  void Accept(const LoggedBatch& aBatch, std::vector<LoggedBatch>& aOut);
  bool IsDouble(const Batch& aBatch);
  std::optional<Snapshot> GatherSnapshot(const LoggedBatch& aBatch);
  void NoteSnapshot(const LoggedBatch& aBatch);

  struct Gathering
  {
    Offset m_covers = 0;
    std::map<uint32_t, std::string> m_parts;
  };

  Offset m_next = 0;
  bool m_behind = false;
  Offset m_gapFrom = 0;
  Offset m_snapshotCovers = 0;
  uint64_t m_corrupt = 0;
  std::map<std::string, std::vector<WriterPosition>>
    m_writerPositions; ///< Of each id, oldest incarnation first.
  std::map<InstanceId, Gathering> m_gathering;
  std::vector<LoggedBatch> m_held; ///< Read after the gap, waiting for the snapshot.
  std::optional<Snapshot> m_snapshot;
};

} // namespace egretturn
