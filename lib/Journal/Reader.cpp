#include "egretturn/Journal/Reader.h"

#include "egretturn/Journal/Codec.h"

#include <algorithm>

namespace egretturn {

static constexpr size_t kKeptIncarnations = 8; // of one id; older ones can have nothing in flight

std::vector<LoggedBatch>
StreamReader::Feed(const LogChunk& aChunk)
{
  std::vector<LoggedBatch> out;
  if (aChunk.m_oldest > m_next) {
    m_behind = true;
    m_gapFrom = aChunk.m_oldest;
    m_next = aChunk.m_oldest;
    m_held.clear();
    m_gathering.clear();
    m_snapshot.reset();
  }
  if (!m_behind) {
    for (const LoggedBatch& batch : m_held) {
      Accept(batch, out);
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
    LoggedBatch read{ record.m_offset, std::move(*batch) };
    NoteSnapshot(read);
    if (m_behind) {
      m_held.push_back(std::move(read));
    } else {
      Accept(read, out);
    }
  }
  return out;
}

void
StreamReader::NoteSnapshot(const LoggedBatch& aBatch)
{
  std::optional<Snapshot> snapshot = GatherSnapshot(aBatch);
  if (!snapshot) {
    return;
  }
  m_snapshotCovers = snapshot->m_covers;
  if (m_behind && !m_snapshot && CanRestore(snapshot->m_covers)) {
    m_snapshot = std::move(snapshot);
  }
}

bool
StreamReader::CanRestore(Offset aCovers) const
{
  return m_behind ? aCovers >= m_gapFrom : aCovers > m_next;
}

std::optional<StreamReader::Snapshot>
StreamReader::GatherSnapshot(const LoggedBatch& aBatch)
{
  std::optional<Snapshot> whole;
  for (const Entry& entry : aBatch.m_batch.m_entries) {
    const SnapshotPart* part = std::get_if<SnapshotPart>(&entry);
    if (!part) {
      continue;
    }
    Gathering& gathering = m_gathering[aBatch.m_batch.m_writer];
    if (gathering.m_covers != part->m_covers) {
      gathering = Gathering{ part->m_covers, {} };
    }
    gathering.m_parts[part->m_part] = part->m_bytes;
    if (gathering.m_parts.size() < part->m_parts) {
      continue;
    }
    whole = Snapshot{};
    whole->m_covers = part->m_covers;
    for (const std::pair<const uint32_t, std::string>& bytesEntry : gathering.m_parts) {
      const std::string& bytes = bytesEntry.second;
      whole->m_bytes += bytes;
    }
    m_gathering.erase(aBatch.m_batch.m_writer);
  }
  return whole;
}

std::optional<StreamReader::Snapshot>
StreamReader::TakeSnapshot()
{
  std::optional<Snapshot> taken = std::move(m_snapshot);
  m_snapshot.reset();
  return taken;
}

void
StreamReader::Restore(Offset aCovers, const std::vector<WriterPosition>& aMarks)
{
  m_writerPositions.clear();
  for (const WriterPosition& mark : aMarks) {
    m_writerPositions[mark.m_writer.m_id].push_back(mark);
  }
  std::erase_if(m_held, [aCovers](const LoggedBatch& aBatch) { return aBatch.m_offset < aCovers; });
  m_next = std::max(m_next, aCovers);
  m_behind = false;
}

std::vector<WriterPosition>
StreamReader::WriterPositions() const
{
  std::vector<WriterPosition> all;
  for (const std::pair<const std::string, std::vector<WriterPosition>>& marksEntry :
       m_writerPositions) {
    const std::vector<WriterPosition>& marks = marksEntry.second;
    all.insert(all.end(), marks.begin(), marks.end());
  }
  return all;
}

bool
StreamReader::IsDouble(const Batch& aBatch)
{
  std::vector<WriterPosition>& marks = m_writerPositions[aBatch.m_writer.m_id];
  for (WriterPosition& mark : marks) {
    if (mark.m_writer != aBatch.m_writer) {
      continue;
    }
    if (aBatch.m_sequence <= mark.m_sequence) {
      return true;
    }
    mark.m_sequence = aBatch.m_sequence;
    return false;
  }
  marks.push_back(WriterPosition{ aBatch.m_writer, aBatch.m_sequence });
  if (marks.size() > kKeptIncarnations) {
    marks.erase(marks.begin());
  }
  return false;
}

void
StreamReader::Accept(const LoggedBatch& aBatch, std::vector<LoggedBatch>& aOut)
{
  if (!IsDouble(aBatch.m_batch)) {
    aOut.push_back(aBatch);
  }
}

} // namespace egretturn
