#include "egretturn/Node/TopicFollower.h"

#include "egretturn/Support/Log.h"

#include <ctime>
#include <utility>

namespace egretturn {

static constexpr uint32_t kUnreadableTails = 3; // in a row, before the newest records are read

Instant
NowWithSuspend()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::seconds(now.tv_sec) +
                 std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

int64_t
WallNowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

TopicFollower::TopicFollower(boost::asio::io_context& aIo,
                             StorePort& aStore,
                             Topic aTopic,
                             FollowPace aPace,
                             Callbacks aCallbacks)
  : m_timer(aIo)
  , m_store(aStore)
  , m_topic(aTopic)
  , m_pace(aPace)
  , m_callbacks(std::move(aCallbacks))
{
}

void
TopicFollower::Start()
{
  ReadAll();
}

void
TopicFollower::Stop()
{
  m_stopped = true;
  m_timer.cancel();
}

void
TopicFollower::After(Duration aPause, void (TopicFollower::*aStep)())
{
  m_timer.expires_after(aPause);
  m_timer.async_wait([self = shared_from_this(), aStep](boost::system::error_code aError) {
    if (!aError && !self->m_stopped) {
      (self.get()->*aStep)();
    }
  });
}

void
TopicFollower::Deliver(const KeyedRecord& aRecord)
{
  if (aRecord.m_value.empty()) {
    m_keys.erase(aRecord.m_key);
  } else {
    m_keys.insert(aRecord.m_key);
  }
  m_callbacks.m_onRecord(aRecord);
}

void
TopicFollower::ReadAll()
{
  m_store.ReadNewest(m_topic, [self = shared_from_this()](Expected<TopicPage> aPage) {
    if (!self->m_stopped) {
      self->OnAll(std::move(aPage));
    }
  });
}

void
TopicFollower::OnAll(Expected<TopicPage> aPage)
{
  m_healthy = aPage.has_value();
  if (!aPage) {
    Log(LogLine(LogLevel::Debug, "topic_unread").Add("error", aPage.error().Text()));
    After(m_pace.m_retry, &TopicFollower::ReadAll);
    return;
  }
  std::set<std::string> gone = std::move(m_keys);
  m_keys.clear();
  for (const KeyedRecord& record : aPage->m_records) {
    gone.erase(record.m_key);
    Deliver(record);
  }
  for (const std::string& key : gone) {
    Deliver({ key, "" }); // dropped while the records in between were not read
  }
  m_next = aPage->m_end;
  m_callbacks.m_onCaughtUp();
  ReadOn();
}

void
TopicFollower::ReadOn()
{
  m_store.ReadTail(
    m_topic, m_next, m_pace.m_wait, [self = shared_from_this()](Expected<TopicPage> aPage) {
      if (!self->m_stopped) {
        self->OnTail(std::move(aPage));
      }
    });
}

void
TopicFollower::OnTail(Expected<TopicPage> aPage)
{
  m_healthy = aPage.has_value();
  if (!aPage) {
    OnUnreadTail(aPage.error());
    return;
  }
  m_unreadableTails = 0;
  m_lastDeleted = false;
  for (const KeyedRecord& record : aPage->m_records) {
    Deliver(record);
  }
  m_next += aPage->m_records.size();
  if (m_next < aPage->m_end && !aPage->m_records.empty()) {
    ReadOn();
    return;
  }
  if (m_next < aPage->m_end) {
    After(m_pace.m_retry, &TopicFollower::ReadOn); // an answer that brings it no further
    return;
  }
  m_callbacks.m_onCaughtUp();
  After(m_pace.m_pause, &TopicFollower::ReadOn);
}

void
TopicFollower::OnUnreadTail(const Error& aError)
{
  if (aError.m_kind == ErrorKind::NotFound) {
    const bool again = std::exchange(m_lastDeleted, true);
    After(again ? m_pace.m_retry : Duration::zero(), &TopicFollower::ReadAll);
    return;
  }
  // The same bytes may stand there for ever; the newest records lead past them.
  m_unreadableTails += aError.m_kind == ErrorKind::Corrupt ? 1 : 0;
  if (m_unreadableTails < kUnreadableTails) {
    After(m_pace.m_retry, &TopicFollower::ReadOn);
    return;
  }
  m_unreadableTails = 0;
  Log(LogLine(LogLevel::Warning, "tail_unreadable")
        .Add("offset", m_next)
        .Add("error", aError.Text()));
  After(m_pace.m_retry, &TopicFollower::ReadAll);
}

} // namespace egretturn
