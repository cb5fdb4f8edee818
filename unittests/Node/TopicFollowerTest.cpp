// How a follower of a topic goes on after answers that can't be used.
#include "egretturn/Node/TopicFollower.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;

namespace {

constexpr LogOffset kEnd = 6;
constexpr milliseconds kRetry{ 5 };

/// A store whose tail is read as the test says.
class OddStore : public StorePort
{
public:
  using Tail = std::function<Expected<TopicPage>(LogOffset)>;

  OddStore(boost::asio::io_context& aIo, Tail aTail)
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

/// A follower with the records that it delivered.
struct Followed
{
  explicit Followed(OddStore::Tail aTail)
    : m_store(m_io, std::move(aTail))
  {
    TopicFollower::Callbacks callbacks;
    callbacks.m_onRecord = [this](const KeyedRecord& aRecord) { m_records.push_back(aRecord); };
    callbacks.m_onCaughtUp = [] {};
    const FollowPace pace{ Duration::zero(), kRetry, kRetry };
    m_follower =
      std::make_shared<TopicFollower>(m_io, m_store, Topic::Directory, pace, std::move(callbacks));
    m_follower->Start();
  }

  boost::asio::io_context m_io;
  OddStore m_store;
  std::shared_ptr<TopicFollower> m_follower;
  std::vector<KeyedRecord> m_records;
};

} // namespace

// Guards against asking for the same unreadable tail for ever, while workers come and go behind it.
TEST_CASE("a follower passes a tail that can't be read by way of the newest records")
{
  Followed followed([](LogOffset aFrom) -> Expected<TopicPage> {
    if (aFrom < kEnd) {
      return Fail(ErrorKind::Corrupt, "the tail can not be read", "none");
    }
    return TopicPage{ {}, kEnd };
  });
  followed.m_store.m_newest.m_end = kEnd - 1;
  followed.m_io.run_for(kRetry);
  followed.m_store.m_newest = { { { "i-1", "entry" } }, kEnd };
  followed.m_io.run_for(kRetry * 40);
  REQUIRE(followed.m_records.size() == 1);
  CHECK(followed.m_records[0].m_key == "i-1");
  CHECK(followed.m_follower->IsHealthy());
}

// Guards against a loop without a pause when the store says there is more, but sends nothing.
TEST_CASE("a follower pauses after an answer that brings it no further")
{
  Followed followed([](LogOffset) -> Expected<TopicPage> { return TopicPage{ {}, kEnd + 1 }; });
  followed.m_store.m_newest.m_end = kEnd;
  followed.m_io.run_for(kRetry * 20);
  CHECK(followed.m_store.m_tailReads > 2);
  CHECK(followed.m_store.m_tailReads <= 21);
}

// Guards against a loop without a pause when the store says again and again that records are gone.
TEST_CASE("a follower pauses when the newest records lead it to deleted ones again")
{
  Followed followed([](LogOffset) -> Expected<TopicPage> {
    return Fail(ErrorKind::NotFound, "the records have been deleted", "none");
  });
  followed.m_io.run_for(kRetry * 20);
  CHECK(followed.m_store.m_newestReads > 2);
  CHECK(followed.m_store.m_newestReads <= 22);
}
