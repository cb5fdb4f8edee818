// Follows a keyed topic: the newest record of each key first, then every change.
#pragma once

#include "egretturn/Node/Ports.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

namespace egretturn {

/// How a follower waits for changes.
struct FollowPace
{
  Duration m_wait{};                                 ///< How long a read may wait at the store.
  Duration m_pause{};                                ///< Between reads.
  Duration m_retry = std::chrono::milliseconds(250); ///< After an error.
};

/// Not thread-safe: all methods and callbacks on the thread of the io_context.
class TopicFollower : public std::enable_shared_from_this<TopicFollower>
{
public:
  struct Callbacks
  {
    std::function<void(const KeyedRecord&)> m_onRecord; ///< An empty value: the key is gone.
    std::function<void()> m_onCaughtUp;                 ///< After each read that reached the end.
  };

  TopicFollower(boost::asio::io_context& aIo,
                StorePort& aStore,
                Topic aTopic,
                FollowPace aPace,
                Callbacks aCallbacks);

  void Start();

  /// No callback runs afterwards.
  void Stop();

  /// Whether the last read succeeded.
  bool IsHealthy() const { return m_healthy; }

private:
  void ReadAll();
  void OnAll(Expected<TopicPage> aPage);
  void ReadOn();
  void OnTail(Expected<TopicPage> aPage);
  void OnUnreadTail(const Error& aError);
  void After(Duration aPause, void (TopicFollower::*aStep)());
  void Deliver(const KeyedRecord& aRecord);

  boost::asio::steady_timer m_timer;
  StorePort& m_store;
  Topic m_topic;
  FollowPace m_pace;
  Callbacks m_callbacks;
  LogOffset m_next = 0;
  std::set<std::string> m_keys;   ///< Seen and not dropped.
  uint32_t m_unreadableTails = 0; ///< In a row.
  bool m_lastDeleted = false;     ///< The records of the last tail had been deleted.
  bool m_stopped = false;
  bool m_healthy = true;
};

} // namespace egretturn
