// Group commit: gathers entries into batches and keeps the appends of all instances under a share.
#pragma once

#include "egretturn/Journal/Records.h"
#include "egretturn/Support/Time.h"

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace egretturn {

/// Names an entry until its fate is read back. Zero is no token.
using EntryToken = uint64_t;

/// One append for the log. A retry repeats the same bytes, so that readers can drop doubles.
struct AppendCall
{
  Stream m_stream = Stream::Config;
  uint64_t m_sequence = 0;
  std::string m_bytes;
};

/// Writer of one instance to its three streams. Not thread-safe.
class JournalWriter
{
public:
  JournalWriter(InstanceId aWriter, Duration aRetry);

  /// Appends per second that this instance may make. \pre \p aRate > 0.
  void SetRate(double aRate);

  /// Queues \p aEntry. Returns no token when too many entries wait.
  std::optional<EntryToken> Append(Stream aStream, Entry aEntry);

  /// The appends to make now, retries included. \p aIntakeSeen is recorded in new batches.
  std::vector<AppendCall> Poll(Instant aNow, Offset aIntakeSeen);

  /// The log took batch \p aSequence, or it was read back.
  void OnAppended(Stream aStream, uint64_t aSequence);

  /// The answer for batch \p aSequence was an error: nothing is known of its fate.
  void OnAppendFailed(Stream aStream, uint64_t aSequence, Instant aNow);

  /// The token of entry \p aIndex of this writer's batch \p aSequence; zero once it was taken.
  EntryToken TakeToken(Stream aStream, uint64_t aSequence, size_t aIndex);

  /// Entries queued or in flight.
  size_t PendingEntries() const;

  /// Bytes and batches handed out, retries included.
  uint64_t BytesSent() const { return m_bytesSent; }
  uint64_t BatchesSent() const { return m_batchesSent; }

private:
  struct Queued
  {
    EntryToken m_token;
    Entry m_entry;
  };
  struct SentBatch
  {
    uint64_t m_sequence;
    std::vector<EntryToken> m_tokens;
  };
  struct Lane
  {
    std::deque<Queued> m_queue;
    std::optional<AppendCall> m_inFlight;
    Instant m_sendAt{};
    uint64_t m_lastSequence = 0;
    std::deque<SentBatch> m_sent; ///< Whose entries have not all been read back.
  };

  AppendCall Seal(Stream aStream, Lane& aLane, Offset aIntakeSeen);
  void Refill(Instant aNow);
  Lane& LaneOf(Stream aStream) { return m_lanes[static_cast<size_t>(aStream)]; }

  const InstanceId m_writer;
  const Duration m_retry;
  double m_rate = 10;
  double m_credit = 1;
  Instant m_refilled{};
  EntryToken m_nextToken = 1;
  uint64_t m_bytesSent = 0;
  uint64_t m_batchesSent = 0;
  std::array<Lane, kStreamCount> m_lanes;
};

} // namespace egretturn
