#include "egretturn/Journal/Reader.h"

#include "egretturn/Journal/Codec.h"

#include <algorithm>

namespace egretturn {

static constexpr size_t kMaxIncarnations =
  8; // per instance id; older ones can't have appends in flight

std::vector<LoggedBatch>
StreamReader::Feed(const LogChunk& aChunk)
{
  std::vector<LoggedBatch> out;
  if (aChunk.m_oldest > m_next) {
    m_hasGap = true;
    m_gapEnd = aChunk.m_oldest;
    m_next = aChunk.m_oldest;
    m_held.clear();
    m_partialSnapshots.clear();
    m_snapshot.reset();
  }
  if (!m_hasGap) {
    for (const LoggedBatch& batch : m_held) {
      AppendIfNew(batch, out);
    }
    m_held.clear();
  }
  for (const LogRecord& record : aChunk.m_records) {
    if (record.m_offset < m_next) {
      continue;
    }
    m_next = record.m_offset + 1;
    Expected<Batch> batch = DecodeBatch(record.m_bytes);
    if (!batch) {
      ++m_corrupt;
      continue;
    }
    LoggedBatch logged{ record.m_offset, std::move(*batch) };
    RecordSnapshot(logged);
    if (m_hasGap) {
      m_held.push_back(std::move(logged));
    } else {
      AppendIfNew(logged, out);
    }
  }
  return out;
}

void
StreamReader::RecordSnapshot(const LoggedBatch& aBatch)
{
  std::optional<Snapshot> snapshot = AssembleSnapshot(aBatch);
  if (!snapshot) {
    return;
  }
  m_snapshotCovers = snapshot->m_covers;
  if (m_hasGap && !m_snapshot && CanRestore(snapshot->m_covers)) {
    m_snapshot = std::move(snapshot);
  }
}

bool
StreamReader::CanRestore(Offset aCovers) const
{
  return m_hasGap ? aCovers >= m_gapEnd : aCovers > m_next;
}

std::optional<StreamReader::Snapshot>
StreamReader::AssembleSnapshot(const LoggedBatch& aBatch)
{
  std::optional<Snapshot> complete;
  for (const Entry& entry : aBatch.m_batch.m_entries) {
    const SnapshotPart* part = std::get_if<SnapshotPart>(&entry);
    if (!part) {
      continue;
    }
    PartialSnapshot& partial = m_partialSnapshots[aBatch.m_batch.m_writer];
    if (partial.m_covers != part->m_covers) {
      partial = PartialSnapshot{ part->m_covers, {} };
    }
    partial.m_parts[part->m_part] = part->m_bytes;
    if (partial.m_parts.size() < part->m_parts) {
      continue;
    }
    complete = Snapshot{};
    complete->m_covers = part->m_covers;
    for (const std::pair<const uint32_t, std::string>& bytesEntry : partial.m_parts) {
      const std::string& bytes = bytesEntry.second;
      complete->m_bytes += bytes;
    }
    m_partialSnapshots.erase(aBatch.m_batch.m_writer);
  }
  return complete;
}

std::optional<StreamReader::Snapshot>
StreamReader::TakeSnapshot()
{
  std::optional<Snapshot> taken = std::move(m_snapshot);
  m_snapshot.reset();
  return taken;
}

void
StreamReader::Restore(Offset aCovers, const std::vector<WriterPosition>& aPositions)
{
  m_writerPositions.clear();
  for (const WriterPosition& position : aPositions) {
    m_writerPositions[position.m_writer.m_id].push_back(position);
  }
  std::erase_if(m_held, [aCovers](const LoggedBatch& aBatch) { return aBatch.m_offset < aCovers; });
  m_next = std::max(m_next, aCovers);
  m_hasGap = false;
}

std::vector<WriterPosition>
StreamReader::WriterPositions() const
{
  std::vector<WriterPosition> all;
  for (const std::pair<const std::string, std::vector<WriterPosition>>& positionsEntry :
       m_writerPositions) {
    const std::vector<WriterPosition>& positions = positionsEntry.second;
    all.insert(all.end(), positions.begin(), positions.end());
  }
  return all;
}

bool
StreamReader::IsDuplicate(const Batch& aBatch)
{
  std::vector<WriterPosition>& positions = m_writerPositions[aBatch.m_writer.m_id];
  for (WriterPosition& position : positions) {
    if (position.m_writer != aBatch.m_writer) {
      continue;
    }
    if (aBatch.m_sequence <= position.m_sequence) {
      return true;
    }
    position.m_sequence = aBatch.m_sequence;
    return false;
  }
  positions.push_back(WriterPosition{ aBatch.m_writer, aBatch.m_sequence });
  if (positions.size() > kMaxIncarnations) {
    positions.erase(positions.begin());
  }
  return false;
}

void
StreamReader::AppendIfNew(const LoggedBatch& aBatch, std::vector<LoggedBatch>& aOut)
{
  if (!IsDuplicate(aBatch.m_batch)) {
    aOut.push_back(aBatch);
  }
}

} // namespace egretturn
