// Stand-in for the platform's append-only log service, without networking.
#pragma once

#include "egretturn/Journal/Reader.h"
#include "egretturn/Support/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace egretturn {

/// Models the streams of the log: records with offsets and limited retention. Not thread-safe.
class LogModel
{
public:
  /// Sets the age at which records are discarded.
  void SetRetention(Duration aRetention) { m_retention = aRetention; }

  /// Sets the number of appends per second that are accepted from all writers together; zero for no
  /// limit.
  void SetRateLimit(double aPerSecond) { m_rateLimit = aPerSecond; }

  /// Appends \p aBytes as one record. Returns its offset, or nothing if the rate limit is exceeded.
  std::optional<Offset> Append(const std::string& aStream, std::string aBytes, Instant aNow);

  /// Returns at most \p aMaxRecords records, starting with offset \p aFrom or the oldest one kept.
  LogChunk Read(const std::string& aStream, Offset aFrom, size_t aMaxRecords, Instant aNow);

  /// Returns the number of accepted appends.
  uint64_t Appends() const { return m_appends; }

  /// Returns the number of bytes in all accepted appends.
  uint64_t Bytes() const { return m_bytes; }

private:
  struct StoredRecord
  {
    Instant m_appendedAt{};
    std::string m_bytes;
  };
  struct StreamData
  {
    Offset m_oldest = 0;
    std::deque<StoredRecord> m_records;
  };
  void DiscardExpired(StreamData& aStream, Instant aNow);

  Duration m_retention = std::chrono::hours(24);
  double m_rateLimit = 0;
  double m_tokens = 0;
  Instant m_refilled{};
  uint64_t m_appends = 0;
  uint64_t m_bytes = 0;
  std::map<std::string, StreamData> m_streams;
};

} // namespace egretturn
