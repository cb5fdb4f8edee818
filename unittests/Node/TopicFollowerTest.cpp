// Tests how a follower continues after unusable responses of the store.
#include "egretturn/Node/TopicFollower.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;

namespace {

constexpr LogOffset kEnd = 6;
constexpr milliseconds kRetryDelay{ 5 };

/// A store that responds to tail reads with a function of the test.
class ScriptedStore : public StorePort
{
public:
  using Tail = std::function<Expected<TopicPage>(LogOffset)>;

  ScriptedStore(boost::asio::io_context& aIo, Tail aTail)
    : m_io(aIo)
    , m_tail(std::move(aTail))
  {
  }

  void ReadNewest(Topic, std::function<void(Expected<TopicPage>)> aDone) override
  {
    ++m_newestReads;
    boost::asio::post(m_io, [this, done = std::move(aDone)] { done(m_newest); });
  }
  void ReadTail(Topic,
                LogOffset aFrom,
                Duration,
                std::function<void(Expected<TopicPage>)> aDone) override
  {
    ++m_tailReads;
    boost::asio::post(m_io, [this, aFrom, done = std::move(aDone)] { done(m_tail(aFrom)); });
  }
  void AppendAt(Topic,
                LogOffset,
                const std::vector<KeyedRecord>&,
                std::function<void(AppendResult)>) override
  {
  }
  void Append(Topic, const std::vector<KeyedRecord>&, std::function<void(AppendResult)>) override {}

  TopicPage m_newest;
  int m_newestReads = 0;
  int m_tailReads = 0;

private:
  boost::asio::io_context& m_io;
  Tail m_tail;
};

/// A follower and the records that it delivered.
struct FollowerFixture
{
  explicit FollowerFixture(ScriptedStore::Tail aTail)
    : m_store(m_io, std::move(aTail))
  {
    TopicFollower::Callbacks callbacks;
    callbacks.m_onRecord = [this](const KeyedRecord& aRecord) { m_records.push_back(aRecord); };
    callbacks.m_onCaughtUp = [] {};
    const FollowTiming timing{ Duration::zero(), kRetryDelay, kRetryDelay };
    m_follower = std::make_shared<TopicFollower>(
      m_io, m_store, Topic::Directory, timing, std::move(callbacks));
    m_follower->Start();
  }

  boost::asio::io_context m_io;
  ScriptedStore m_store;
  std::shared_ptr<TopicFollower> m_follower;
  std::vector<KeyedRecord> m_records;
};

} // namespace

// Guards against requesting the same corrupt tail forever, which hides all later changes of the
// directory.
TEST_CASE("a follower skips a corrupt tail by reading the latest records")
{
  FollowerFixture fixture([](LogOffset aFrom) -> Expected<TopicPage> {
    if (aFrom < kEnd) {
      return Fail(ErrorKind::Corrupt, "the tail can not be read", "none");
    }
    return TopicPage{ {}, kEnd };
  });
  fixture.m_store.m_newest.m_end = kEnd - 1;
  fixture.m_io.run_for(kRetryDelay);
  fixture.m_store.m_newest = { { { "i-1", "entry" } }, kEnd };
  fixture.m_io.run_for(kRetryDelay * 40);
  REQUIRE(fixture.m_records.size() == 1);
  CHECK(fixture.m_records[0].m_key == "i-1");
  CHECK(fixture.m_follower->IsHealthy());
}

// Guards against a busy loop when the store reports more records but sends none.
TEST_CASE("a follower pauses after a response without progress")
{
  FollowerFixture fixture([](LogOffset) -> Expected<TopicPage> {
    return TopicPage{ {}, kEnd + 1 };
  });
  fixture.m_store.m_newest.m_end = kEnd;
  fixture.m_io.run_for(kRetryDelay * 20);
  CHECK(fixture.m_store.m_tailReads > 2);
  CHECK(fixture.m_store.m_tailReads <= 21);
}

// Guards against a busy loop when the store keeps reporting that the records have been deleted.
TEST_CASE("a follower pauses if the tail after the latest records is deleted again")
{
  FollowerFixture fixture([](LogOffset) -> Expected<TopicPage> {
    return Fail(ErrorKind::NotFound, "the records have been deleted", "none");
  });
  fixture.m_io.run_for(kRetryDelay * 20);
  CHECK(fixture.m_store.m_newestReads > 2);
  CHECK(fixture.m_store.m_newestReads <= 22);
}

// Guards against a view that no read has confirmed but that counts as fresh.
TEST_CASE("the age of a follower's view is counted from the last read that reached the end")
{
  bool answers = true;
  FollowerFixture fixture([&](LogOffset) -> Expected<TopicPage> {
    if (!answers) {
      return Fail(ErrorKind::Unavailable, "the store returned status 503", "none");
    }
    return TopicPage{ {}, kEnd };
  });
  fixture.m_store.m_newest.m_end = kEnd;
  fixture.m_io.run_for(kRetryDelay * 40);
  answers = false;
  const Instant stopped = BootClockNow();
  fixture.m_io.run_for(kRetryDelay * 10);
  CHECK_FALSE(fixture.m_follower->IsHealthy());
  const Instant failing = BootClockNow();
  CHECK(fixture.m_follower->Age(failing) >= failing - stopped);
  answers = true;
  fixture.m_io.run_for(kRetryDelay * 40);
  CHECK(fixture.m_follower->IsHealthy());
  const Instant answered = BootClockNow();
  CHECK(fixture.m_follower->Age(answered) < answered - failing);
}
