// What a deciding instance makes of appends whose answers are lost.
#include "NodeFakes.h"

#include "egretturn/Node/LeaderSession.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::nodetest;
using std::chrono::milliseconds;

namespace {

/// A store that carries out each append, loses the answer to the first one, and has deleted
/// whatever is read afterwards.
class ForgetfulStore : public StorePort
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
      ++m_settling;
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
  int m_settling = 0;
};

} // namespace

// Guards against an instance that decides for good without ever writing again.
TEST_CASE("an instance whose own append can not be read back, as it was deleted, steps down")
{
  boost::asio::io_context io;
  ForgetfulStore store;
  NoWorkers workers;
  bool steppedDown = false;
  StoredClaim claim;
  claim.m_epoch = 1;
  const std::shared_ptr<LeaderSession> decider = std::make_shared<LeaderSession>(
    io,
    store,
    workers,
    DecodeNoEntry,
    SchedulerLimits(),
    claim,
    LeaderSession::Callbacks{ [](RequestToken, SubmitResult) {},
                              [&](const std::string&) { steppedDown = true; } });
  decider->Start({});
  decider->Confirm();
  io.run_for(milliseconds(500));
  CHECK(store.m_settling == 1);
  CHECK(steppedDown);
  decider->Stop();
}
