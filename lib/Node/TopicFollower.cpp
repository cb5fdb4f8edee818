#include "egretturn/Node/TopicFollower.h"

#include "egretturn/Support/EnumTable.h"
#include "egretturn/Support/Log.h"

#include <ctime>
#include <utility>

namespace egretturn {

// After so many consecutive corrupt tails, the latest record of each key is read instead.
static constexpr uint32_t kMaxCorruptTails = 3;

// A read that is sent or answered later than this is logged.
static constexpr Duration kSlowRead = std::chrono::milliseconds(500);

static constexpr EnumTable<Topic, 4> kTopicNames{ {
  { Topic::Jobs, "jobs" },
  { Topic::Leader, "leader" },
  { Topic::Operator, "operator" },
  { Topic::Directory, "directory" },
} };

Instant
BootClockNow()
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
                             FollowTiming aTiming,
                             Callbacks aCallbacks)
  : m_timer(aIo)
  , m_store(aStore)
  , m_topic(aTopic)
  , m_timing(aTiming)
  , m_callbacks(std::move(aCallbacks))
{
}

void
TopicFollower::Start()
{
  m_readDueAt = BootClockNow();
  m_currentAt = m_readDueAt;
  ReadAllKeys();
}

void
TopicFollower::Stop()
{
  m_stopped = true;
  m_timer.cancel();
}

void
TopicFollower::ScheduleRead(Duration aDelay, void (TopicFollower::*aRead)())
{
  m_readDueAt = BootClockNow() + aDelay;
  m_timer.expires_after(aDelay);
  m_timer.async_wait([self = shared_from_this(), aRead](boost::system::error_code aError) {
    if (!aError && !self->m_stopped) {
      (self.get()->*aRead)();
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
TopicFollower::LogRead(const Expected<TopicPage>& aPage, Duration aMaxWait)
{
  const Instant now = BootClockNow();
  const Duration took = now - m_readSentAt;
  const Duration late = m_readSentAt - m_readDueAt;
  const bool slow = took > aMaxWait + kSlowRead || late > kSlowRead;
  if (aPage && !slow) {
    return;
  }
  const std::optional<uint64_t> suppressed = m_readLogLimiter.TryAcquire(now);
  if (!suppressed) {
    return;
  }
  LogLine line(aPage ? LogLevel::Info : LogLevel::Warning,
               aPage ? "topic_read_slow" : "topic_read_failed");
  line.Add("topic", NameIn(kTopicNames, m_topic));
  if (!aPage) {
    line.Add("error", aPage.error().Text());
  }
  Log(line.Add("took_ms", ToMillis(took))
        .Add("sent_late_ms", ToMillis(late))
        .Add("age_ms", ToMillis(Age(now)))
        .Add("lines_held_back", *suppressed));
}

void
TopicFollower::ReadAllKeys()
{
  m_readSentAt = BootClockNow();
  m_store.ReadNewest(m_topic, [self = shared_from_this()](Expected<TopicPage> aPage) {
    if (!self->m_stopped) {
      self->OnAllKeys(std::move(aPage));
    }
  });
}

void
TopicFollower::OnAllKeys(Expected<TopicPage> aPage)
{
  m_healthy = aPage.has_value();
  LogRead(aPage, Duration::zero());
  if (!aPage) {
    ScheduleRead(m_timing.m_retryDelay, &TopicFollower::ReadAllKeys);
    return;
  }
  std::set<std::string> removed = std::move(m_keys);
  m_keys.clear();
  for (const KeyedRecord& record : aPage->m_records) {
    removed.erase(record.m_key);
    Deliver(record);
  }
  for (const std::string& key : removed) {
    Deliver({ key, "" }); // removed by a record that was not read
  }
  m_next = aPage->m_end;
  m_currentAt = m_readSentAt;
  m_readDueAt = BootClockNow();
  m_callbacks.m_onCaughtUp();
  ReadNextRecords();
}

void
TopicFollower::ReadNextRecords()
{
  m_readSentAt = BootClockNow();
  m_store.ReadTail(
    m_topic, m_next, m_timing.m_wait, [self = shared_from_this()](Expected<TopicPage> aPage) {
      if (!self->m_stopped) {
        self->OnTail(std::move(aPage));
      }
    });
}

void
TopicFollower::OnTail(Expected<TopicPage> aPage)
{
  m_healthy = aPage.has_value();
  LogRead(aPage, m_timing.m_wait);
  if (!aPage) {
    OnTailError(aPage.error());
    return;
  }
  m_corruptTails = 0;
  m_tailDeleted = false;
  for (const KeyedRecord& record : aPage->m_records) {
    Deliver(record);
  }
  m_next += aPage->m_records.size();
  if (m_next < aPage->m_end && !aPage->m_records.empty()) {
    m_readDueAt = BootClockNow();
    ReadNextRecords();
    return;
  }
  if (m_next < aPage->m_end) {
    // The response made no progress.
    ScheduleRead(m_timing.m_retryDelay, &TopicFollower::ReadNextRecords);
    return;
  }
  m_currentAt = m_readSentAt;
  m_callbacks.m_onCaughtUp();
  ScheduleRead(m_timing.m_interval, &TopicFollower::ReadNextRecords);
}

void
TopicFollower::OnTailError(const Error& aError)
{
  if (aError.m_kind == ErrorKind::NotFound) {
    const bool again = std::exchange(m_tailDeleted, true);
    ScheduleRead(again ? m_timing.m_retryDelay : Duration::zero(), &TopicFollower::ReadAllKeys);
    return;
  }
  // The same bytes may stay corrupt forever. Reading the latest record of each key skips them.
  m_corruptTails += aError.m_kind == ErrorKind::Corrupt ? 1 : 0;
  if (m_corruptTails < kMaxCorruptTails) {
    ScheduleRead(m_timing.m_retryDelay, &TopicFollower::ReadNextRecords);
    return;
  }
  m_corruptTails = 0;
  Log(LogLine(LogLevel::Warning, "tail_unreadable")
        .Add("offset", m_next)
        .Add("error", aError.Text()));
  ScheduleRead(m_timing.m_retryDelay, &TopicFollower::ReadAllKeys);
}

} // namespace egretturn
