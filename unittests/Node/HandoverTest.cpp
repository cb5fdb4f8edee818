// Tests which instance a node accepts as leader, and the handover of the leadership.
#include "NodeFakes.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Node/Node.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::nodetest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kNodeAddress = "127.0.0.1:18976";
constexpr const char* kOldLeader = "127.0.0.1:18977";
constexpr const char* kNewLeader = "127.0.0.1:18978";

/// An in-memory store. A tail read waits for a record if it has a wait time.
class MemoryStore : public StorePort
{
public:
  void ReadNewest(Topic aTopic, std::function<void(Expected<TopicPage>)> aDone) override
  {
    aDone(TopicPage{ m_topics[aTopic], m_topics[aTopic].size() });
  }

  void ReadTail(Topic aTopic,
                LogOffset aFrom,
                Duration aWait,
                std::function<void(Expected<TopicPage>)> aDone) override
  {
    const std::vector<KeyedRecord>& records = m_topics[aTopic];
    if (aFrom < records.size() || aWait == Duration::zero()) {
      aDone(TopicPage{ { records.begin() + static_cast<ptrdiff_t>(aFrom), records.end() },
                       records.size() });
    } else {
      m_waiting[aTopic] = [this, aTopic, aFrom, aDone] {
        ReadTail(aTopic, aFrom, Duration::zero(), aDone);
      };
    }
  }

  void AppendAt(Topic aTopic,
                LogOffset aAt,
                const std::vector<KeyedRecord>& aRecords,
                std::function<void(AppendResult)> aDone) override
  {
    ++m_claimTries;
    if (const std::function<void()> rival = std::exchange(m_beforeAppend, nullptr)) {
      rival();
    }
    if (aAt != m_topics[aTopic].size()) {
      aDone({ AppendResult::Kind::Conflict, m_topics[aTopic].size() });
    } else {
      Append(aTopic, aRecords, std::move(aDone));
    }
  }

  void Append(Topic aTopic,
              const std::vector<KeyedRecord>& aRecords,
              std::function<void(AppendResult)> aDone) override
  {
    std::vector<KeyedRecord>& records = m_topics[aTopic];
    records.insert(records.end(), aRecords.begin(), aRecords.end());
    aDone({ AppendResult::Kind::Appended, records.size() });
    if (const std::function<void()> waiting = std::exchange(m_waiting[aTopic], nullptr)) {
      waiting();
    }
  }

  void Announce(const StoredClaim& aClaim) { AppendClaim(Topic::Leader, aClaim); }

  void AppendClaim(Topic aTopic, const StoredClaim& aClaim)
  {
    Append(aTopic, { { std::string(kClaimKey), PackCompact(aClaim) } }, [](AppendResult) {});
  }

  std::function<void()> m_beforeAppend; ///< Runs once, before the next append with a condition.
  int m_claimTries = 0;                 ///< Appends with a condition.

private:
  std::map<Topic, std::vector<KeyedRecord>> m_topics;
  std::map<Topic, std::function<void()>> m_waiting;
};

/// One instance with a store, and peers whose responses the test sends.
struct NodeFixture
{
  void Start()
  {
    NodeSettings settings;
    settings.m_id = "instance";
    settings.m_peerAddress = kNodeAddress;
    settings.m_weight = 0.1;
    settings.m_incarnation = 1; // other than that of ClaimOf()
    m_node = std::make_shared<Node>(m_io, settings, m_store, m_workers, RejectEntry);
    REQUIRE(m_node->Start());
  }

  /// Starts a peer that collects its requests by path.
  std::unique_ptr<HttpServer> MakePeer(const char* aAddress)
  {
    std::unique_ptr<HttpServer> server = std::make_unique<HttpServer>(
      m_io,
      HttpLimits(),
      [this](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
        const boost::beast::string_view target = aRequest.target();
        m_held[std::string(target.data(), target.size())].push_back(aReply);
      });
    REQUIRE(server->Listen(aAddress));
    return server;
  }

  std::vector<std::shared_ptr<HttpReply>>& HeldRequests(PeerOperation aOperation)
  {
    return m_held[std::string(PathOf(aOperation))];
  }

  boost::asio::io_context m_io;
  MemoryStore m_store;
  SilentWorkers m_workers;
  std::shared_ptr<Node> m_node;
  std::map<std::string, std::vector<std::shared_ptr<HttpReply>>> m_held;
};

} // namespace

// Guards against replacing a live leader because the previous leader responds that it does not
// lead.
TEST_CASE("a response of the previous leader does not affect the new leader")
{
  NodeFixture fixture;
  fixture.m_store.Announce(ClaimOf(1, kOldLeader));
  const std::unique_ptr<HttpServer> old = fixture.MakePeer(kOldLeader);
  fixture.Start();
  fixture.m_io.run_for(milliseconds(100));
  REQUIRE(fixture.HeldRequests(PeerOperation::Ping).size() == 1);

  fixture.m_store.Announce(ClaimOf(2, kNewLeader));
  PeerResponse response;
  response.m_outcome = PeerOutcome::NotLeader;
  response.m_leader = ClaimOf(1, kOldLeader); // it has not heard of the new leader
  fixture.HeldRequests(PeerOperation::Ping)[0]->Send(
    MakeResponse(200, "application/msgpack", PackCompact(response)));
  fixture.m_io.run_for(milliseconds(50));
  CHECK(fixture.m_node->IsReady());
}

// Guards against repeated handovers to a peer that can't claim the leadership.
TEST_CASE("the leadership is not immediately handed over again to a peer that did not claim it")
{
  NodeFixture fixture;
  const std::unique_ptr<HttpServer> strong = fixture.MakePeer(kNewLeader);
  fixture.Start();
  HttpClient client(fixture.m_io, 4096);
  const PingMessage ping{ "strong", kNewLeader, 1.0 };
  for (int i = 0; i < 14; ++i) { // the peer pings but does not claim
    client.Send(kNodeAddress,
                MakeRequest(boost::beast::http::verb::post,
                            std::string(PathOf(PeerOperation::Ping)),
                            PackCompact(ping)),
                seconds(1),
                [](const ClientResponse&) {});
    fixture.m_io.run_for(milliseconds(400));
  }
  CHECK(fixture.HeldRequests(PeerOperation::Claim).size() == 1);
  CHECK(fixture.m_node->IsReady());
}

// Guards against superseding a sound leader that is 0.8 s old: an instance whose claim lost to
// another claimant took that claim for a sign that the old leader still writes, and counted the
// time without a ping from a moment before the new leader's claim.
TEST_CASE("an instance whose claim lost to another one waits for the new leader's whole timeout")
{
  NodeFixture fixture;
  fixture.m_store.AppendClaim(Topic::Jobs, ClaimOf(1, kOldLeader));
  fixture.m_store.Announce(ClaimOf(1, kOldLeader));
  fixture.m_store.m_beforeAppend = [&] {
    fixture.m_store.AppendClaim(Topic::Jobs, ClaimOf(2, kNewLeader));
  };
  const std::unique_ptr<HttpServer> old = fixture.MakePeer(kOldLeader);
  const std::unique_ptr<HttpServer> successor = fixture.MakePeer(kNewLeader);
  fixture.Start();
  for (int i = 0; i < 300 && fixture.m_store.m_claimTries == 0; ++i) {
    fixture.m_io.run_for(milliseconds(10));
  }
  REQUIRE(fixture.m_store.m_claimTries == 1);
  fixture.m_io.run_for(milliseconds(1200));
  CHECK(fixture.m_store.m_claimTries == 1);
  fixture.m_io.run_for(milliseconds(1000)); // the new leader has responded to nothing
  CHECK(fixture.m_store.m_claimTries > 1);
}
