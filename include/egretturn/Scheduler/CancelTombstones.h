// Remembers the ids of jobs that were cancelled before any submission of them was accepted, so that
// a submission that arrives later is refused. Each id has a record in the store, a tombstone, which
// hands it on to later leaders.
#pragma once

#include "egretturn/Scheduler/Actions.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace egretturn {

/// For how long a cancelled id is kept at least, also where the state of ended jobs is kept for a
/// shorter time: a submission that is under way may be late all the same.
constexpr Duration kMinTombstoneTime = std::chrono::seconds(120);

/// A request to cancel a job that is not known here.
struct UnknownJobCancel
{
  RequestToken m_request = 0;
  GraphId m_id = 0;
  Instant m_receivedAt;
};

/// The ids, and the requests that wait until the records of theirs are durable. Not thread-safe.
class CancelTombstones
{
public:
  /// At most \p aMaxIds ids are remembered at a time, each for \p aKeepTime and kMinTombstoneTime
  /// at least.
  CancelTombstones(size_t aMaxIds, Duration aKeepTime);

  /// Adds a request, which waits for a record that is written from now on, also if there is one
  /// already: the id is remembered anew. Returns false if there are too many ids.
  bool Add(const UnknownJobCancel& aCancel);

  /// Adds an id whose record was in the store at \p aReadingMs of the retention clock.
  void Restore(GraphId aId, int64_t aReadingMs);

  /// Returns whether \p aId is remembered, whether its record is durable or not.
  bool Contains(GraphId aId) const { return m_ids.count(aId) > 0; }

  /// Returns whether the store has a record of \p aId, so that no leader accepts the job.
  bool IsDurable(GraphId aId) const;

  /// Removes and returns the requests for \p aId that wait, in the order of their arrival.
  std::vector<RequestToken> TakeRequests(GraphId aId);

  /// Removes and returns the requests that have waited for too long, since the leader has probably
  /// lost the store or has a successor.
  std::vector<RequestToken> TakeExpiredRequests(Instant aNow);

  /// Returns an id whose record has to be written, or nothing if there is none.
  std::optional<GraphId> NextUnwritten() const;

  /// Handles that the record of \p aId is in the batch that is put together. \pre It had to be
  /// written.
  void OnWritten(GraphId aId);

  /// Handles that the batch is durable at \p aReadingMs of the retention clock. Removes and returns
  /// the requests that have waited for it.
  std::vector<RequestToken> OnBatchDurable(int64_t aReadingMs);

  /// Handles that the store refuses the record of \p aId. Removes and returns the requests that
  /// wait for it.
  std::vector<RequestToken> OnRecordRefused(GraphId aId);

  /// Forgets and returns the ids that have been kept for long enough at \p aNowMs of the retention
  /// clock. Their records are to be deleted.
  std::vector<GraphId> RemoveOld(int64_t aNowMs);

  /// Returns the number of ids.
  size_t Size() const { return m_ids.size(); }

private:
  struct Tombstone
  {
    bool m_durable = false;
    int64_t m_readingMs = 0; ///< When its last record was durable, by the retention clock.
  };

  void SetDurable(GraphId aId, int64_t aReadingMs);

  /// Removes and returns the requests for which \p aIsTaken is true.
  template<typename Predicate>
  std::vector<RequestToken> Take(const Predicate& aIsTaken);

  size_t m_maxIds;
  Duration m_keepTime;
  std::unordered_map<GraphId, Tombstone> m_ids;
  std::set<std::pair<int64_t, GraphId>> m_byReading; ///< Those that wait for no record.
  std::set<GraphId> m_unwritten;
  std::set<GraphId> m_inBatch;
  std::vector<UnknownJobCancel> m_requests; ///< In the order of their arrival.
};

} // namespace egretturn
