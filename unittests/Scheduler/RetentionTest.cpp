// Tests for how long the state of an ended job can be queried, whatever clocks and leaders do.
#include "egretturn/Journal/Codec.h"
#include "egretturn/Scheduler/Scheduler.h"

#include <catch2/catch.hpp>
#include <map>

using namespace egretturn;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr GraphId kJob = 7;
static constexpr Duration kRetention = seconds(120);

/// How much longer than promised a job may be kept under one leader, and for each change of leader.
static constexpr Duration kMaxExtraTime = seconds(4);
static constexpr Duration kMaxExtraTimePerEpoch = seconds(3);

namespace {

/// Leaders that follow each other over one store, without workers, and a time of day that steps.
class RetentionWorld
{
public:
  RetentionWorld() { ElectLeader(); }

  /// Lets a new leader go on from what the store has.
  void ElectLeader()
  {
    ++m_epoch;
    m_scheduler = std::make_unique<Scheduler>(SchedulerLimits(), m_epoch, m_now);
    m_scheduler->RestoreRetentionClock(m_storedReadingMs);
    for (const std::pair<const std::string, std::string>& record : m_store) {
      GraphId id = 0;
      StoredJob job;
      if (ClassifyKey(record.first, id) == RecordKind::Job && UnpackCompact(record.second, job)) {
        m_scheduler->RestoreJob(std::move(job), m_now, WallMs());
      }
    }
    for (const std::pair<const std::string, std::string>& record : m_store) {
      GraphId id = 0;
      StoredProgress progress;
      if (ClassifyKey(record.first, id) == RecordKind::Progress &&
          UnpackCompact(record.second, progress)) {
        m_scheduler->RestoreProgress(id, progress);
      }
    }
    m_scheduler->OnDirectoryRead();
  }

  /// Submits a job and ends it.
  void EndJob()
  {
    Submission submission;
    submission.m_id = kJob;
    submission.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
    submission.m_graph.m_steps.emplace_back();
    m_scheduler->Submit(1, std::move(submission), m_now, WallMs());
    Advance(milliseconds(200));
    m_scheduler->Cancel(2, kJob, m_now, WallMs());
    Advance(milliseconds(200));
  }

  void Advance(Duration aTime)
  {
    for (const Instant end = m_now + aTime; m_now < end; m_now += milliseconds(20)) {
      m_scheduler->Tick(m_now, WallMs());
      for (const Action& action : m_scheduler->TakeActions()) {
        if (const AppendRecords* append = std::get_if<AppendRecords>(&action)) {
          m_pending = *append;
          m_pendingSince = m_now;
        }
      }
      WritePending();
    }
  }

  bool IsKnown() { return m_scheduler->StateOf(kJob).has_value(); }

  /// Returns how long the job is known from now on. A new leader comes each \p aLeaderTime.
  Duration MeasureKnownTime(Duration aLeaderTime)
  {
    const Instant begin = m_now;
    while (IsKnown() && m_now - begin < std::chrono::hours(2)) {
      Advance(aLeaderTime);
      if (IsKnown()) {
        ElectLeader();
      }
    }
    return m_now - begin;
  }

  /// Returns how long the job is known from now on under the present leader.
  Duration MeasureKnownTime()
  {
    const Instant begin = m_now;
    while (IsKnown() && m_now - begin < std::chrono::hours(2)) {
      Advance(milliseconds(100));
    }
    return m_now - begin;
  }

  Instant Now() const { return m_now; }
  int64_t WallMs() const { return ToMillis(m_now.time_since_epoch()) + m_clockLeadMs; }

  int64_t m_clockLeadMs = 0; ///< How far the time of day is ahead.
  bool m_storeAvailable = true;

private:
  static constexpr Duration kUnavailableAfter = milliseconds(800);

  void WritePending()
  {
    if (m_pending && !m_storeAvailable) {
      if (m_now - m_pendingSince >= kUnavailableAfter) {
        m_scheduler->SetStoreAvailable(false);
      }
      return;
    }
    if (m_pending) {
      for (const KeyedRecord& record : m_pending->m_records) {
        m_store[record.m_key] = record.m_value;
      }
      m_scheduler->SetStoreAvailable(true);
      m_scheduler->OnAppended(m_pending->m_batch, m_now);
      m_pending.reset();
    }
    if (m_storeAvailable && m_now - m_readingStoredAt >= seconds(1)) {
      m_storedReadingMs = m_scheduler->RetentionClockMs();
      m_readingStoredAt = m_now;
    }
  }

  Instant m_now{ std::chrono::hours(1) };
  uint64_t m_epoch = 0;
  std::unique_ptr<Scheduler> m_scheduler;
  std::map<std::string, std::string> m_store;
  int64_t m_storedReadingMs = 0;
  Instant m_readingStoredAt;
  std::optional<AppendRecords> m_pending;
  Instant m_pendingSince;
};

} // namespace

// Guards against a job that is forgotten early, because the leader's clock stepped after its end.
TEST_CASE("an ended job is known for the whole retention when the time of day steps")
{
  for (const int64_t leadMs : { -2000, 2000, -3600000, 3600000 }) {
    RetentionWorld world;
    world.m_clockLeadMs = leadMs;
    world.EndJob();
    world.m_clockLeadMs = 0;
    const Duration known = world.MeasureKnownTime();
    CHECK(known >= kRetention);
    CHECK(known <= kRetention + kMaxExtraTime);
  }
}

// Guards against the same failure when the next leader's clock differs.
TEST_CASE("an ended job is known for the whole retention under leaders whose clocks differ")
{
  for (const int64_t leadMs : { -2000, 2000, -3600000, 3600000 }) {
    RetentionWorld world;
    world.m_clockLeadMs = leadMs;
    world.EndJob();
    world.ElectLeader();
    world.m_clockLeadMs = 0;
    const Duration known = world.MeasureKnownTime();
    CHECK(known >= kRetention);
    CHECK(known <= kRetention + kMaxExtraTime + kMaxExtraTimePerEpoch);
  }
}

// Guards against a job that is forgotten early, because its end was shown only after an outage.
TEST_CASE("an ended job is known for the whole retention after its end became durable")
{
  for (const bool newLeader : { false, true }) {
    RetentionWorld world;
    world.Advance(seconds(1));
    world.m_storeAvailable = false;
    world.EndJob(); // its record is in flight
    world.Advance(seconds(20));
    world.m_storeAvailable = true;
    const Instant durableAt = world.Now();
    if (newLeader) {
      world.Advance(seconds(30));
      world.ElectLeader();
    }
    world.MeasureKnownTime();
    const Duration known = world.Now() - durableAt;
    CHECK(known >= kRetention);
    CHECK(known <= kRetention + kMaxExtraTime + kMaxExtraTimePerEpoch);
  }
}

// Guards against records that are kept forever, because each new leader starts to count anew.
TEST_CASE("ended jobs are forgotten also if no leader leads for a whole retention")
{
  static constexpr Duration kLeaderTime = seconds(30);
  RetentionWorld world;
  world.EndJob();
  const Duration known = world.MeasureKnownTime(kLeaderTime);
  CHECK(known >= kRetention);
  CHECK(known <= kRetention + kMaxExtraTime + kLeaderTime + 5 * kMaxExtraTimePerEpoch);
}

// Guards against a record that is kept forever, because it names a time far ahead.
TEST_CASE("a stored end cannot be later than the moment at which it is read")
{
  StoredProgress ahead;
  ahead.m_state = JobState::Done;
  ahead.m_endedReadingMs = INT64_MAX / 2;
  Scheduler scheduler(SchedulerLimits(), 2, Instant(std::chrono::hours(1)));
  StoredJob job;
  job.m_id = kJob;
  job.m_graph.m_steps.emplace_back();
  scheduler.RestoreJob(std::move(job), Instant(std::chrono::hours(1)), 0);
  scheduler.RestoreProgress(kJob, ahead);
  Instant now(std::chrono::hours(1));
  for (const Instant end = now + kRetention + kMaxExtraTime; now < end; now += milliseconds(100)) {
    scheduler.Tick(now, 0);
  }
  CHECK_FALSE(scheduler.StateOf(kJob));
}
