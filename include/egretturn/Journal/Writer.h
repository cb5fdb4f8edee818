// Group commit: collects entries into batches and limits the appends of each instance, so that all
// instances together stay within a share of the log's capacity.
#pragma once

#include "egretturn/Journal/Records.h"
#include "egretturn/Support/Time.h"

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace egretturn {

/// Identifies an entry until it is read back from the log. Zero is not a valid token.
using EntryToken = uint64_t;

/// One append to the log. A retry sends the same bytes, so that readers can drop duplicates.
struct AppendCall
{
  Stream m_stream = Stream::Config;
  uint64_t m_sequence = 0;
  std::string m_bytes;
};

/// Writes the entries of one instance to its three streams. Not thread-safe.
class JournalWriter
{
public:
  JournalWriter(InstanceId aWriter, Duration aRetry);

  /// Sets the maximum number of appends per second of this instance. \pre \p aRate > 0.
  void SetRate(double aRate);

  /// Queues \p aEntry for a batch. Returns no token if the queue is full.
  std::optional<EntryToken> Append(Stream aStream, Entry aEntry);

  /// Returns the appends to send now, including retries. \p aIntakeSeen is recorded in new batches.
  std::vector<AppendCall> Poll(Instant aNow, Offset aIntakeSeen);

  /// Records that batch \p aSequence was appended: the log confirmed it, or it was read back.
  void OnAppended(Stream aStream, uint64_t aSequence);

  /// Records an error for the append of batch \p aSequence, which may or may not have been
  /// appended.
  void OnAppendFailed(Stream aStream, uint64_t aSequence, Instant aNow);

  /// Returns the token of entry \p aIndex of this writer's batch \p aSequence. Returns zero if the
  /// last token of the batch was already taken or the batch is not known.
  EntryToken TakeToken(Stream aStream, uint64_t aSequence, size_t aIndex);

  /// Returns the number of queued entries plus the number of batches in flight.
  size_t PendingEntries() const;

  /// Return the bytes and batches sent, including retries.
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
  struct StreamQueue
  {
    std::deque<Queued> m_queue;
    std::optional<AppendCall> m_inFlight;
    Instant m_nextSendAt{};
    uint64_t m_lastSequence = 0;
    std::deque<SentBatch> m_unreadBatches; ///< Batches whose entries have not all been read back.
  };

  AppendCall BuildBatch(Stream aStream, StreamQueue& aQueue, Offset aIntakeSeen);
  void RefillCredit(Instant aNow);
  StreamQueue& QueueOf(Stream aStream) { return m_streamQueues[static_cast<size_t>(aStream)]; }

  const InstanceId m_writer;
  const Duration m_retry;
  double m_rate = 10;
  double m_credit = 1;
  Instant m_refilledAt{};
  EntryToken m_nextToken = 1;
  uint64_t m_bytesSent = 0;
  uint64_t m_batchesSent = 0;
  std::array<StreamQueue, kStreamCount> m_streamQueues;
};

} // namespace egretturn
