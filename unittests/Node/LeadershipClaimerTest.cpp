// Tests when a claim is written.
#include "NodeFakes.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Node/LeadershipClaimer.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::nodetest;

namespace {

/// A store that answers the first read when the test says so.
class SlowStore : public StorePort
{
public:
  void ReadNewest(Topic, std::function<void(Expected<TopicPage>)> aDone) override
  {
    m_read = [this, aDone] { aDone(TopicPage{ m_records, 0 }); };
  }

  void ReadTail(Topic, LogOffset, Duration, std::function<void(Expected<TopicPage>)> aDone) override
  {
    aDone(TopicPage());
  }

  void AppendAt(Topic,
                LogOffset aAt,
                const std::vector<KeyedRecord>& aRecords,
                std::function<void(AppendResult)> aDone) override
  {
    ++m_appends;
    aDone({ AppendResult::Kind::Appended, aAt + aRecords.size() });
  }

  void Append(Topic, const std::vector<KeyedRecord>&, std::function<void(AppendResult)>) override {}

  std::vector<KeyedRecord> m_records;
  std::function<void()> m_read;
  int m_appends = 0;
};

/// A claim whose need can end while the jobs are read.
struct ClaimFixture
{
  ClaimFixture()
  {
    const std::shared_ptr<LeadershipClaimer> claimer = std::make_shared<LeadershipClaimer>(
      m_io,
      m_store,
      ClaimOf(0, "10.0.0.1:1"),
      0,
      true,
      [this] { return m_needed; },
      [this](LeadershipClaimer::Outcome aOutcome) { m_outcome = std::move(aOutcome); });
    claimer->Start();
  }

  boost::asio::io_context m_io;
  SlowStore m_store;
  bool m_needed = true;
  std::optional<LeadershipClaimer::Outcome> m_outcome;
};

} // namespace

TEST_CASE("a claim is written after all jobs were read")
{
  ClaimFixture fixture;
  fixture.m_store.m_read();
  REQUIRE(fixture.m_outcome);
  REQUIRE(fixture.m_outcome->m_own);
  CHECK(fixture.m_outcome->m_own->m_epoch == 1);
}

// Guards against a claim that supersedes a leader which was heard from again while the claimant
// read all jobs, as after an outage of the store.
TEST_CASE("a claim is abandoned if the leader was heard from again meanwhile")
{
  ClaimFixture fixture;
  fixture.m_needed = false;
  fixture.m_store.m_read();
  REQUIRE(fixture.m_outcome);
  CHECK(fixture.m_outcome->m_abandoned);
  CHECK_FALSE(fixture.m_outcome->m_own);
  CHECK(fixture.m_store.m_appends == 0);
}

// Guards against tasks that run again, since their progress is in records that a new leader skips.
TEST_CASE("a claim reads the parts of a job's progress")
{
  ClaimFixture fixture;
  const StoredProgressPart part{ 5, { 0, { { 3 } }, {}, false } };
  const std::string key = ProgressPartKey({ 7, 0, 0, 3 });
  fixture.m_store.m_records = { { key, PackCompact(part) } };
  fixture.m_store.m_read();
  REQUIRE(fixture.m_outcome);
  const std::vector<RecoveredProgressPart>& parts = fixture.m_outcome->m_state.m_progressParts;
  REQUIRE(parts.size() == 1);
  CHECK(parts[0].m_key == key);
  CHECK(parts[0].m_job == 7);
  CHECK(parts[0].m_part.m_acceptedMs == 5);
  CHECK(parts[0].m_part.m_occurrence.m_done == std::vector<std::vector<uint16_t>>{ { 3 } });
}

// Guards against ended jobs that are kept for a whole retention more under each leader.
TEST_CASE("a claim carries the retention clock of the leader before on")
{
  ClaimFixture fixture;
  StoredClaim previous = ClaimOf(0, "10.0.0.2:1");
  previous.m_readingMs = 5000;
  const KeyedRecord first{ std::string(kClaimKey), PackCompact(previous) };
  previous.m_readingMs = 6000; // written again by the same leader
  fixture.m_store.m_records = { first, { first.m_key, PackCompact(previous) } };
  fixture.m_store.m_read();
  REQUIRE(fixture.m_outcome);
  REQUIRE(fixture.m_outcome->m_own);
  CHECK(fixture.m_outcome->m_own->m_readingMs == 6000);
}
