#include "egretturn/Journal/Writer.h"

#include "egretturn/Journal/Codec.h"

#include <algorithm>
#include <cassert>

namespace egretturn {

static constexpr size_t kMaxQueued = 50'000;
static constexpr double kMaxBurst = 4; // appends that may be sent back to back
static constexpr size_t kMaxSentBatches = 4096;

JournalWriter::JournalWriter(InstanceId aWriter, Duration aRetry)
  : m_writer(std::move(aWriter))
  , m_retry(aRetry)
{
}

void
JournalWriter::SetRate(double aRate)
{
  assert(aRate > 0 && "the append rate must be positive");
  m_rate = aRate;
}

std::optional<EntryToken>
JournalWriter::Append(Stream aStream, Entry aEntry)
{
  StreamQueue& queue = QueueOf(aStream);
  if (queue.m_queue.size() >= kMaxQueued) {
    return std::nullopt;
  }
  const EntryToken token = m_nextToken++;
  queue.m_queue.push_back(Queued{ token, std::move(aEntry) });
  return token;
}

void
JournalWriter::RefillCredit(Instant aNow)
{
  if (aNow <= m_refilledAt) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aNow - m_refilledAt).count();
  m_credit = std::min(kMaxBurst, m_credit + seconds * m_rate);
  m_refilledAt = aNow;
}

AppendCall
JournalWriter::BuildBatch(Stream aStream, StreamQueue& aQueue, Offset aIntakeSeen)
{
  Batch batch;
  batch.m_writer = m_writer;
  batch.m_sequence = ++aQueue.m_lastSequence;
  batch.m_intakeApplied = aIntakeSeen;
  SentBatch sent{ batch.m_sequence, {} };
  while (!aQueue.m_queue.empty() && batch.m_entries.size() < kMaxBatchEntries) {
    Queued& first = aQueue.m_queue.front();
    sent.m_tokens.push_back(first.m_token);
    batch.m_entries.push_back(std::move(first.m_entry));
    aQueue.m_queue.pop_front();
  }
  aQueue.m_unreadBatches.push_back(std::move(sent));
  if (aQueue.m_unreadBatches.size() > kMaxSentBatches) {
    aQueue.m_unreadBatches.pop_front();
  }
  return AppendCall{ aStream, batch.m_sequence, EncodeBatch(batch) };
}

std::vector<AppendCall>
JournalWriter::Poll(Instant aNow, Offset aIntakeSeen)
{
  RefillCredit(aNow);
  std::vector<AppendCall> calls;
  for (size_t i = 0; i < kStreamCount; ++i) {
    StreamQueue& queue = m_streamQueues[i];
    const bool retry = queue.m_inFlight && aNow >= queue.m_nextSendAt;
    const bool hasNewBatch = !queue.m_inFlight && !queue.m_queue.empty();
    if ((!retry && !hasNewBatch) || m_credit < 1) {
      continue;
    }
    m_credit -= 1;
    if (hasNewBatch) {
      queue.m_inFlight = BuildBatch(static_cast<Stream>(i), queue, aIntakeSeen);
    }
    queue.m_nextSendAt = aNow + m_retry;
    m_bytesSent += queue.m_inFlight->m_bytes.size();
    ++m_batchesSent;
    calls.push_back(*queue.m_inFlight);
  }
  return calls;
}

void
JournalWriter::OnAppended(Stream aStream, uint64_t aSequence)
{
  StreamQueue& queue = QueueOf(aStream);
  if (queue.m_inFlight && queue.m_inFlight->m_sequence == aSequence) {
    queue.m_inFlight.reset();
  }
}

void
JournalWriter::OnAppendFailed(Stream aStream, uint64_t aSequence, Instant aNow)
{
  StreamQueue& queue = QueueOf(aStream);
  if (queue.m_inFlight && queue.m_inFlight->m_sequence == aSequence) {
    // The log has responded, so there is no need to wait for the timeout. A quarter of the delay
    // keeps retries apart.
    queue.m_nextSendAt = std::min(queue.m_nextSendAt, aNow + m_retry / 4);
  }
}

EntryToken
JournalWriter::TakeToken(Stream aStream, uint64_t aSequence, size_t aIndex)
{
  std::deque<SentBatch>& sent = QueueOf(aStream).m_unreadBatches;
  const std::deque<SentBatch>::iterator it =
    std::find_if(sent.begin(), sent.end(), [aSequence](const SentBatch& aBatch) {
      return aBatch.m_sequence == aSequence;
    });
  if (it == sent.end() || aIndex >= it->m_tokens.size()) {
    return 0;
  }
  const EntryToken token = it->m_tokens[aIndex];
  if (aIndex + 1 == it->m_tokens.size()) {
    sent.erase(it);
  }
  return token;
}

size_t
JournalWriter::PendingEntries() const
{
  size_t pending = 0;
  for (const StreamQueue& queue : m_streamQueues) {
    pending += queue.m_queue.size() + (queue.m_inFlight ? 1 : 0);
  }
  return pending;
}

} // namespace egretturn
