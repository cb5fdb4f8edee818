// Tests how a leader resolves appends whose responses are lost.
#include "NodeFakes.h"

#include "egretturn/Node/LeaderSession.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::nodetest;
using std::chrono::milliseconds;

namespace {

/// A store that executes each append but loses the response, and reports the records of the topic
/// of jobs as deleted.
class DeletingStore : public StorePort
{
public:
  void ReadNewest(Topic, std::function<void(Expected<TopicPage>)> aDone) override
  {
    aDone(TopicPage());
  }
  void ReadTail(Topic aTopic,
                LogOffset,
                Duration,
                std::function<void(Expected<TopicPage>)> aDone) override
  {
    if (aTopic == Topic::Jobs) {
      ++m_conflictReads;
      aDone(Fail(ErrorKind::NotFound, "the records have been deleted", "read the newest"));
    }
  }
  void AppendAt(Topic,
                LogOffset aAt,
                const std::vector<KeyedRecord>& aRecords,
                std::function<void(AppendResult)> aDone) override
  {
    if (aAt != m_end) {
      aDone({ AppendResult::Kind::Conflict, m_end });
      return;
    }
    m_end += aRecords.size();
    aDone({ AppendResult::Kind::Unknown, 0 });
  }
  void Append(Topic, const std::vector<KeyedRecord>&, std::function<void(AppendResult)>) override {}

  LogOffset m_end = 0;
  int m_conflictReads = 0;
};

} // namespace

// Guards against an instance that stays leader forever without ever writing again.
TEST_CASE("a leader steps down if its append was deleted before it could be read back")
{
  boost::asio::io_context io;
  DeletingStore store;
  SilentWorkers workers;
  bool steppedDown = false;
  StoredClaim claim;
  claim.m_epoch = 1;
  const std::shared_ptr<LeaderSession> session = std::make_shared<LeaderSession>(
    io,
    store,
    workers,
    RejectEntry,
    SchedulerLimits(),
    claim,
    LeaderSession::Callbacks{ [](RequestToken, SubmitResult) {},
                              [&](const std::string&) { steppedDown = true; } });
  session->Start({});
  session->RenewClaim();
  io.run_for(milliseconds(500));
  CHECK(store.m_conflictReads == 1);
  CHECK(steppedDown);
  session->Stop();
}
