#include "egretturn/Journal/Writer.h"

#include "egretturn/Journal/Codec.h"

#include <algorithm>
#include <cassert>

namespace egretturn {

static constexpr size_t kMaxQueued = 50'000;
static constexpr double kMaxCredit = 4; // appends that may follow one another at once
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
  Lane& lane = LaneOf(aStream);
  if (lane.m_queue.size() >= kMaxQueued) {
    return std::nullopt;
  }
  const EntryToken token = m_nextToken++;
  lane.m_queue.push_back(Queued{ token, std::move(aEntry) });
  return token;
}

void
JournalWriter::Refill(Instant aNow)
{
  if (aNow <= m_refilled) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aNow - m_refilled).count();
  m_credit = std::min(kMaxCredit, m_credit + seconds * m_rate);
  m_refilled = aNow;
}

AppendCall
JournalWriter::Seal(Stream aStream, Lane& aLane, Offset aIntakeSeen)
{
  Batch batch;
  batch.m_writer = m_writer;
  batch.m_sequence = ++aLane.m_lastSequence;
  batch.m_intakeSeen = aIntakeSeen;
  SentBatch sent{ batch.m_sequence, {} };
  while (!aLane.m_queue.empty() && batch.m_entries.size() < kMaxBatchEntries) {
    Queued& first = aLane.m_queue.front();
    sent.m_tokens.push_back(first.m_token);
    batch.m_entries.push_back(std::move(first.m_entry));
    aLane.m_queue.pop_front();
  }
  aLane.m_sent.push_back(std::move(sent));
  if (aLane.m_sent.size() > kMaxSentBatches) {
    aLane.m_sent.pop_front();
  }
  return AppendCall{ aStream, batch.m_sequence, EncodeBatch(batch) };
}

std::vector<AppendCall>
JournalWriter::Poll(Instant aNow, Offset aIntakeSeen)
{
  Refill(aNow);
  std::vector<AppendCall> calls;
  for (size_t i = 0; i < kStreamCount; ++i) {
    Lane& lane = m_lanes[i];
    const bool retry = lane.m_inFlight && aNow >= lane.m_sendAt;
    const bool fresh = !lane.m_inFlight && !lane.m_queue.empty();
    if ((!retry && !fresh) || m_credit < 1) {
      continue;
    }
    m_credit -= 1;
    if (fresh) {
      lane.m_inFlight = Seal(static_cast<Stream>(i), lane, aIntakeSeen);
    }
    lane.m_sendAt = aNow + m_retry;
    m_bytesSent += lane.m_inFlight->m_bytes.size();
    ++m_batchesSent;
    calls.push_back(*lane.m_inFlight);
  }
  return calls;
}

void
JournalWriter::OnAppended(Stream aStream, uint64_t aSequence)
{
  Lane& lane = LaneOf(aStream);
  if (lane.m_inFlight && lane.m_inFlight->m_sequence == aSequence) {
    lane.m_inFlight.reset();
  }
}

void
JournalWriter::OnAppendFailed(Stream aStream, uint64_t aSequence, Instant aNow)
{
  Lane& lane = LaneOf(aStream);
  if (lane.m_inFlight && lane.m_inFlight->m_sequence == aSequence) {
    // The log answered, so that waiting out the timeout is of no use; a quarter keeps retries
    // apart.
    lane.m_sendAt = std::min(lane.m_sendAt, aNow + m_retry / 4);
  }
}

EntryToken
JournalWriter::TakeToken(Stream aStream, uint64_t aSequence, size_t aIndex)
{
  std::deque<SentBatch>& sent = LaneOf(aStream).m_sent;
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
  size_t waiting = 0;
  for (const Lane& lane : m_lanes) {
    waiting += lane.m_queue.size() + (lane.m_inFlight ? 1 : 0);
  }
  return waiting;
}

} // namespace egretturn
