// Follows a keyed topic: reads the latest record of each key first, then every change.
#pragma once

#include "egretturn/Node/Ports.h"
#include "egretturn/Support/LogRateLimiter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

namespace egretturn {

/// Times between the reads of a follower.
struct FollowTiming
{
  Duration m_wait{};     ///< How long the store may hold a read until a record arrives.
  Duration m_interval{}; ///< Delay between successful reads.
  Duration m_retryDelay = std::chrono::milliseconds(250); ///< Delay after an error.
};

/// Delivers the records of one topic. Pending reads keep it alive.
/// Not thread-safe: all methods and callbacks run on the thread of the io_context.
class TopicFollower : public std::enable_shared_from_this<TopicFollower>
{
public:
  struct Callbacks
  {
    std::function<void(const KeyedRecord&)>
      m_onRecord;                       ///< An empty value means that the key was removed.
    std::function<void()> m_onCaughtUp; ///< Called after each read that reached the end.
  };

  TopicFollower(boost::asio::io_context& aIo,
                StorePort& aStore,
                Topic aTopic,
                FollowTiming aTiming,
                Callbacks aCallbacks);

  /// Starts to read; callbacks follow until Stop().
  void Start();

  /// Stops reading; no callback runs afterwards.
  void Stop();

  /// Whether the last read succeeded.
  bool IsHealthy() const { return m_healthy; }

  /// Returns the time since the last read that reached the end of the topic was sent, or since
  /// Start() if none has. Older changes have all been delivered. \pre Start() was called.
  Duration Age(Instant aNow) const { return aNow - m_currentAt; }

private:
  static constexpr uint64_t kMaxReadLogLines = 5; ///< For failed or slow reads, per period.
  static constexpr Duration kReadLogPeriod = std::chrono::seconds(10);

  void ReadAllKeys();
  void OnAllKeys(Expected<TopicPage> aPage);
  void ReadNextRecords();
  void OnTail(Expected<TopicPage> aPage);
  void OnTailError(const Error& aError);
  void ScheduleRead(Duration aDelay, void (TopicFollower::*aRead)());
  void Deliver(const KeyedRecord& aRecord);
  void LogRead(const Expected<TopicPage>& aPage, Duration aMaxWait);

  boost::asio::steady_timer m_timer;
  StorePort& m_store;
  Topic m_topic;
  FollowTiming m_timing;
  Callbacks m_callbacks;
  LogOffset m_next = 0;
  std::set<std::string> m_keys; ///< Keys that were delivered and not removed since.
  uint32_t m_corruptTails = 0;  ///< Consecutive reads that returned corrupt data.
  bool m_tailDeleted = false;   ///< The last tail read asked for deleted records.
  bool m_stopped = false;
  bool m_healthy = true;
  Instant m_readDueAt;  ///< When the read in flight was to be sent.
  Instant m_readSentAt; ///< When it was sent; later than due if the event loop was busy.
  Instant m_currentAt;  ///< When the last read that reached the end was sent.
  LogRateLimiter m_readLogLimiter{ kMaxReadLogLines, kReadLogPeriod };
};

} // namespace egretturn
