// Tests the outcomes of calls while there is no leader and while the instance shuts down.
#include "NodeFakes.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Node/Node.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::nodetest;
using std::chrono::milliseconds;

namespace {

constexpr const char* kNodeAddress = "127.0.0.1:18972";
constexpr const char* kOldLeader = "127.0.0.1:18973";
constexpr const char* kNewLeader = "127.0.0.1:18974";
constexpr Duration kDeadline = std::chrono::seconds(3);

/// A store that names a leader and does not respond to anything else.
class LeaderNamingStore : public StorePort
{
public:
  void ReadNewest(Topic aTopic, std::function<void(Expected<TopicPage>)> aDone) override
  {
    TopicPage page;
    if (aTopic == Topic::Leader && m_leader) {
      page.m_records.push_back({ std::string(kClaimKey), PackCompact(*m_leader) });
      page.m_end = 1;
    }
    aDone(page);
  }
  void ReadTail(Topic, LogOffset, Duration, std::function<void(Expected<TopicPage>)>) override {}
  void AppendAt(Topic,
                LogOffset,
                const std::vector<KeyedRecord>&,
                std::function<void(AppendResult)>) override
  {
  }
  void Append(Topic, const std::vector<KeyedRecord>&, std::function<void(AppendResult)>) override {}

  std::optional<StoredClaim> m_leader;
};

/// One instance that does not lead, and the outcomes of its calls.
struct NodeFixture
{
  explicit NodeFixture(std::optional<StoredClaim> aLeader)
  {
    m_store.m_leader = std::move(aLeader);
    NodeSettings settings;
    settings.m_id = "instance";
    settings.m_peerAddress = kNodeAddress;
    m_node = std::make_shared<Node>(m_io, settings, m_store, m_workers, RejectEntry);
    REQUIRE(m_node->Start());
  }

  void Submit()
  {
    Submission submission;
    submission.m_id = 1;
    m_node->Submit(submission, kDeadline, [this](const PeerResponse& aResponse) {
      m_outcomes.push_back(aResponse.m_outcome);
    });
  }

  /// Starts a peer that responds to submissions with \p aResponse, or not at all if it is empty.
  std::unique_ptr<HttpServer> MakePeer(const char* aAddress,
                                       const std::optional<PeerResponse>& aResponse)
  {
    std::unique_ptr<HttpServer> server = std::make_unique<HttpServer>(
      m_io,
      HttpLimits(),
      [this, aResponse](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
        if (aRequest.target() == "/v1/peer/submit") {
          ++m_submissions;
          m_held.push_back(aReply);
          if (aResponse) {
            aReply->Send(MakeResponse(200, "application/msgpack", PackCompact(*aResponse)));
          }
        }
      });
    REQUIRE(server->Listen(aAddress));
    return server;
  }

  void RunFor(Duration aTime) { m_io.run_for(aTime); }

  boost::asio::io_context m_io;
  LeaderNamingStore m_store;
  SilentWorkers m_workers;
  std::shared_ptr<Node> m_node;
  std::vector<PeerOutcome> m_outcomes;
  std::vector<std::shared_ptr<HttpReply>> m_held;
  int m_submissions = 0;
};

} // namespace

TEST_CASE("a call that waits for a leader ends as not run before the shutdown")
{
  NodeFixture fixture(std::nullopt);
  fixture.Submit();
  fixture.RunFor(milliseconds(50));
  CHECK(fixture.m_outcomes.empty());
  fixture.m_node->CompletePendingCalls();
  CHECK(fixture.m_outcomes == std::vector<PeerOutcome>{ PeerOutcome::NotRun });
  fixture.Submit();
  REQUIRE(fixture.m_outcomes.size() == 2);
  CHECK(fixture.m_outcomes[1] == PeerOutcome::NotRun);
}

TEST_CASE("a submission that may have reached a leader never ends as not run")
{
  NodeFixture fixture(ClaimOf(1, kOldLeader));
  const std::unique_ptr<HttpServer> silent = fixture.MakePeer(kOldLeader, std::nullopt);
  fixture.Submit();
  fixture.RunFor(milliseconds(100));
  REQUIRE(fixture.m_submissions == 1);
  fixture.m_node->CompletePendingCalls();
  CHECK(fixture.m_outcomes == std::vector<PeerOutcome>{ PeerOutcome::Unknown });
}

// Guards against a caller that is left in doubt about a job that it has cancelled: a try got no
// result, and the leader knows that no try can have been accepted.
TEST_CASE("that a job was cancelled before is a definite result after any try")
{
  NodeFixture fixture(ClaimOf(1, kOldLeader));
  PeerResponse response;
  response.m_outcome = PeerOutcome::Unknown;
  HttpServer leader(fixture.m_io,
                    HttpLimits(),
                    [&](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
                      if (aRequest.target() == "/v1/peer/submit") {
                        aReply->Send(
                          MakeResponse(200, "application/msgpack", PackCompact(response)));
                        response.m_outcome = PeerOutcome::Cancelled;
                      }
                    });
  REQUIRE(leader.Listen(kOldLeader));
  fixture.Submit();
  fixture.RunFor(milliseconds(300));
  CHECK(fixture.m_outcomes == std::vector<PeerOutcome>{ PeerOutcome::Cancelled });
}

TEST_CASE("a leader that a peer names is tried next, without waiting for the store")
{
  NodeFixture fixture(ClaimOf(1, kOldLeader));
  PeerResponse redirect;
  redirect.m_outcome = PeerOutcome::NotLeader;
  redirect.m_leader = ClaimOf(2, kNewLeader);
  PeerResponse accepted;
  accepted.m_outcome = PeerOutcome::Ok;
  const std::unique_ptr<HttpServer> old = fixture.MakePeer(kOldLeader, redirect);
  const std::unique_ptr<HttpServer> successor = fixture.MakePeer(kNewLeader, accepted);
  fixture.Submit();
  fixture.RunFor(milliseconds(300));
  CHECK(fixture.m_outcomes == std::vector<PeerOutcome>{ PeerOutcome::Ok });
  CHECK(fixture.m_submissions == 2);
}
