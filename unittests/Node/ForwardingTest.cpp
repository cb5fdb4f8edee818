// What callers are told while nobody decides, and when their instance leaves.
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

/// A store that names a leader and answers nothing else.
class NamingStore : public StorePort
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

/// One instance that does not decide, with the answers that its callers got.
struct OneNode
{
  explicit OneNode(std::optional<StoredClaim> aLeader)
  {
    m_store.m_leader = std::move(aLeader);
    NodeSettings settings;
    settings.m_id = "instance";
    settings.m_peerAddress = kNodeAddress;
    m_node = std::make_shared<Node>(m_io, settings, m_store, m_workers, DecodeNoEntry);
    REQUIRE(m_node->Start());
  }

  void Submit()
  {
    Submission submission;
    submission.m_id = 1;
    m_node->Submit(submission, kDeadline, [this](const PeerAnswer& aAnswer) {
      m_answers.push_back(aAnswer.m_outcome);
    });
  }

  /// A peer that answers each request but pings with \p aAnswer, or not at all.
  std::unique_ptr<HttpServer> MakePeer(const char* aAddress,
                                       const std::optional<PeerAnswer>& aAnswer)
  {
    std::unique_ptr<HttpServer> server = std::make_unique<HttpServer>(
      m_io,
      HttpLimits(),
      [this, aAnswer](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
        if (aRequest.target() == "/v1/peer/submit") {
          ++m_tries;
          m_held.push_back(aReply);
          if (aAnswer) {
            aReply->Send(MakeResponse(200, "application/msgpack", PackCompact(*aAnswer)));
          }
        }
      });
    REQUIRE(server->Listen(aAddress));
    return server;
  }

  void RunFor(Duration aTime) { m_io.run_for(aTime); }

  boost::asio::io_context m_io;
  NamingStore m_store;
  NoWorkers m_workers;
  std::shared_ptr<Node> m_node;
  std::vector<PeerOutcome> m_answers;
  std::vector<std::shared_ptr<HttpReply>> m_held;
  int m_tries = 0;
};

} // namespace

TEST_CASE("a caller that waits for a leader is told that its job has not run, before the end")
{
  OneNode one(std::nullopt);
  one.Submit();
  one.RunFor(milliseconds(50));
  CHECK(one.m_answers.empty());
  one.m_node->FinishCalls();
  CHECK(one.m_answers == std::vector<PeerOutcome>{ PeerOutcome::NotRun });
  one.Submit();
  REQUIRE(one.m_answers.size() == 2);
  CHECK(one.m_answers[1] == PeerOutcome::NotRun);
}

TEST_CASE("a submission that may have reached a leader is never said not to have run")
{
  OneNode one(ClaimOf(1, kOldLeader));
  const std::unique_ptr<HttpServer> silent = one.MakePeer(kOldLeader, std::nullopt);
  one.Submit();
  one.RunFor(milliseconds(100));
  REQUIRE(one.m_tries == 1);
  one.m_node->FinishCalls();
  CHECK(one.m_answers == std::vector<PeerOutcome>{ PeerOutcome::Unknown });
}

TEST_CASE("a leader that a peer names is asked next, without waiting for the store")
{
  OneNode one(ClaimOf(1, kOldLeader));
  PeerAnswer moved;
  moved.m_outcome = PeerOutcome::NotDeciding;
  moved.m_leader = ClaimOf(2, kNewLeader);
  PeerAnswer accepted;
  accepted.m_outcome = PeerOutcome::Ok;
  const std::unique_ptr<HttpServer> old = one.MakePeer(kOldLeader, moved);
  const std::unique_ptr<HttpServer> successor = one.MakePeer(kNewLeader, accepted);
  one.Submit();
  one.RunFor(milliseconds(300));
  CHECK(one.m_answers == std::vector<PeerOutcome>{ PeerOutcome::Ok });
  CHECK(one.m_tries == 2);
}
