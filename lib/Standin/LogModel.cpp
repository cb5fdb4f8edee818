#include "egretturn/Standin/LogModel.h"

#include <algorithm>

namespace egretturn {

void
LogModel::DiscardExpired(StreamData& aStream, Instant aNow)
{
  while (!aStream.m_records.empty() &&
         aStream.m_records.front().m_appendedAt < aNow - m_retention) {
    aStream.m_records.pop_front();
    ++aStream.m_oldest;
  }
}

std::optional<Offset>
LogModel::Append(const std::string& aStream, std::string aBytes, Instant aNow)
{
  if (m_rateLimit > 0) {
    const double seconds = std::chrono::duration<double>(aNow - m_refilled).count();
    m_tokens = std::min(m_rateLimit, m_tokens + seconds * m_rateLimit);
    m_refilled = aNow;
    if (m_tokens < 1) {
      return std::nullopt;
    }
    m_tokens -= 1;
  }
  StreamData& stream = m_streams[aStream];
  DiscardExpired(stream, aNow);
  ++m_appends;
  m_bytes += aBytes.size();
  stream.m_records.push_back(StoredRecord{ aNow, std::move(aBytes) });
  return stream.m_oldest + stream.m_records.size() - 1;
}

LogChunk
LogModel::Read(const std::string& aStream, Offset aFrom, size_t aMaxRecords, Instant aNow)
{
  StreamData& stream = m_streams[aStream];
  DiscardExpired(stream, aNow);
  LogChunk chunk;
  chunk.m_oldest = stream.m_oldest;
  chunk.m_next = stream.m_oldest + stream.m_records.size();
  for (Offset offset = std::max(aFrom, chunk.m_oldest);
       offset < chunk.m_next && chunk.m_records.size() < aMaxRecords;
       ++offset) {
    chunk.m_records.push_back(
      LogRecord{ offset, stream.m_records[offset - chunk.m_oldest].m_bytes });
  }
  return chunk;
}

} // namespace egretturn
