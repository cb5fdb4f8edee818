#include "egretturn/Scheduler/CancelTombstones.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace egretturn {

static constexpr Duration kMaxRequestWait = std::chrono::milliseconds(1000);

template<typename Predicate>
std::vector<RequestToken>
CancelTombstones::Take(const Predicate& aIsTaken)
{
  const auto taken =
    std::stable_partition(m_requests.begin(),
                          m_requests.end(),
                          [&](const UnknownJobCancel& aCancel) { return !aIsTaken(aCancel); });
  std::vector<RequestToken> requests;
  std::transform(taken,
                 m_requests.end(),
                 std::back_inserter(requests),
                 [](const UnknownJobCancel& aCancel) { return aCancel.m_request; });
  m_requests.erase(taken, m_requests.end());
  return requests;
}

CancelTombstones::CancelTombstones(size_t aMaxIds, Duration aKeepTime)
  : m_maxIds(aMaxIds)
  , m_keepTime(std::max(aKeepTime, kMinTombstoneTime))
{
}

bool
CancelTombstones::Add(const UnknownJobCancel& aCancel)
{
  const auto known = m_ids.find(aCancel.m_id);
  if (known == m_ids.end() && m_ids.size() >= m_maxIds) {
    return false;
  }
  if (known == m_ids.end()) {
    m_ids.emplace(aCancel.m_id, Tombstone());
  } else {
    m_byReading.erase({ known->second.m_readingMs, aCancel.m_id });
  }
  m_unwritten.insert(aCancel.m_id);
  m_requests.push_back(aCancel);
  return true;
}

void
CancelTombstones::Restore(GraphId aId, int64_t aReadingMs)
{
  SetDurable(aId, aReadingMs);
}

void
CancelTombstones::SetDurable(GraphId aId, int64_t aReadingMs)
{
  m_ids[aId] = { true, aReadingMs };
  if (m_unwritten.count(aId) == 0) {
    m_byReading.emplace(aReadingMs, aId);
  }
}

bool
CancelTombstones::IsDurable(GraphId aId) const
{
  const auto it = m_ids.find(aId);
  return it != m_ids.end() && it->second.m_durable;
}

std::vector<RequestToken>
CancelTombstones::TakeRequests(GraphId aId)
{
  return Take([&](const UnknownJobCancel& aCancel) { return aCancel.m_id == aId; });
}

std::vector<RequestToken>
CancelTombstones::TakeExpiredRequests(Instant aNow)
{
  return Take([&](const UnknownJobCancel& aCancel) {
    return aNow - aCancel.m_receivedAt >= kMaxRequestWait;
  });
}

std::optional<GraphId>
CancelTombstones::NextUnwritten() const
{
  return m_unwritten.empty() ? std::nullopt : std::optional<GraphId>(*m_unwritten.begin());
}

void
CancelTombstones::OnWritten(GraphId aId)
{
  const size_t removed = m_unwritten.erase(aId);
  assert(removed == 1 && "the record did not have to be written");
  static_cast<void>(removed);
  m_inBatch.insert(aId);
}

std::vector<RequestToken>
CancelTombstones::OnBatchDurable(int64_t aReadingMs)
{
  const std::set<GraphId> written = std::exchange(m_inBatch, {});
  for (const GraphId id : written) {
    SetDurable(id, aReadingMs);
  }
  // Those that came for an id while its record was in the batch wait for the next one.
  return Take([&](const UnknownJobCancel& aCancel) {
    return written.count(aCancel.m_id) > 0 && m_unwritten.count(aCancel.m_id) == 0;
  });
}

std::vector<RequestToken>
CancelTombstones::OnRecordRefused(GraphId aId)
{
  m_inBatch.erase(aId);
  if (m_unwritten.count(aId) > 0) {
    return {}; // it is written again
  }
  const auto it = m_ids.find(aId);
  if (it != m_ids.end() && it->second.m_durable) {
    m_byReading.emplace(it->second.m_readingMs, aId); // an earlier record holds
  } else {
    m_ids.erase(aId);
  }
  return TakeRequests(aId);
}

std::vector<GraphId>
CancelTombstones::RemoveOld(int64_t aNowMs)
{
  const int64_t oldestKeptMs = aNowMs - ToMillis(m_keepTime);
  std::vector<GraphId> removed;
  while (!m_byReading.empty() && m_byReading.begin()->first < oldestKeptMs) {
    removed.push_back(m_byReading.begin()->second);
    m_ids.erase(removed.back());
    m_byReading.erase(m_byReading.begin());
  }
  return removed;
}

} // namespace egretturn
