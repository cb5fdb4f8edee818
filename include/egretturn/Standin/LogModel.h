// Stand-in for the platform's append-only log service: a model without sockets.
#pragma once

#include "egretturn/Journal/Reader.h"
#include "egretturn/Support/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace egretturn {

/// Streams of records with offsets and limited retention. Not thread-safe.
class LogModel
{
public:
  /// Records older than this are dropped.
  void SetRetention(Duration aRetention) { m_retention = aRetention; }

  /// Appends a second that are taken from all writers; zero for no limit.
  void SetRateLimit(double aPerSecond) { m_rateLimit = aPerSecond; }

  /// Appends \p aBytes. Returns its offset, or nothing when the rate limit is reached.
  std::optional<Offset> Append(const std::string& aStream, std::string aBytes, Instant aNow);

  /// Records from \p aFrom on, at most \p aMaxRecords.
  LogChunk Read(const std::string& aStream, Offset aFrom, size_t aMaxRecords, Instant aNow);

  uint64_t Appends() const { return m_appends; }
  uint64_t Bytes() const { return m_bytes; }

private:
  struct Kept
  {
    Instant m_at{};
    std::string m_bytes;
  };
  struct StreamData
  {
    Offset m_oldest = 0;
    std::deque<Kept> m_records;
  };
  void Expire(StreamData& aStream, Instant aNow);

  Duration m_retention = std::chrono::hours(24);
  double m_rateLimit = 0;
  double m_credit = 0;
  Instant m_refilled{};
  uint64_t m_appends = 0;
  uint64_t m_bytes = 0;
  std::map<std::string, StreamData> m_streams;
};

} // namespace egretturn
