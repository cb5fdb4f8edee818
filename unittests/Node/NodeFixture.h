// One instance with a store in memory, and peers whose responses a test sends.
#pragma once

#include "NodeFakes.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Node/Node.h"

#include <catch2/catch.hpp>

namespace egretturn::nodetest {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
    if (m_holdAppends) {
      aDone = [this, aDone](AppendResult aResult) {
        m_heldAppend = [aDone, aResult] { aDone(aResult); };
      };
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
    if (aTopic == Topic::Leader && m_failedAnnouncements > 0) {
      --m_failedAnnouncements;
      aDone({ AppendResult::Kind::NotAppended, 0 });
      return;
    }
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
  bool m_holdAppends = false;           ///< Appends take effect; m_heldAppend sends the response.
  std::function<void()> m_heldAppend;
  int m_claimTries = 0; ///< Appends with a condition.

  size_t Size(Topic aTopic) { return m_topics[aTopic].size(); }

  int m_failedAnnouncements = 0; ///< So many appends to the leader's topic are refused.

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

  /// Starts the instance and waits until it leads.
  void StartAsLeader()
  {
    Start();
    for (int i = 0; i < 100 && !m_node->IsReady(); ++i) {
      m_io.run_for(milliseconds(10));
    }
    REQUIRE(m_node->IsReady());
  }

  /// Starts a peer that collects its requests by path.
  std::unique_ptr<HttpServer> MakePeer(const char* aAddress)
  {
    std::unique_ptr<HttpServer> server = std::make_unique<HttpServer>(
      m_io,
      HttpLimits(),
      [this, aAddress](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
        const boost::beast::string_view target = aRequest.target();
        const std::string path(target.data(), target.size());
        m_held[path].push_back(aReply);
        m_bodies[path].push_back(aRequest.body());
        m_receivers[path].emplace_back(aAddress);
      });
    REQUIRE(server->Listen(aAddress));
    return server;
  }

  std::vector<std::shared_ptr<HttpReply>>& HeldRequests(PeerOperation aOperation)
  {
    return m_held[std::string(PathOf(aOperation))];
  }

  /// Returns the addresses of the peers that were asked to claim, in this order.
  std::vector<std::string> AskedToClaim()
  {
    return m_receivers[std::string(PathOf(PeerOperation::Claim))];
  }

  /// Responds to the oldest ping, or request to claim, that was not responded to.
  void RespondToPing(const PeerResponse& aResponse) { Respond(PeerOperation::Ping, aResponse); }
  void RespondToClaim(const PeerResponse& aResponse) { Respond(PeerOperation::Claim, aResponse); }

  void Respond(PeerOperation aOperation, const PeerResponse& aResponse)
  {
    std::vector<std::shared_ptr<HttpReply>>& held = HeldRequests(aOperation);
    REQUIRE(!held.empty());
    held.front()->Send(MakeResponse(200, "application/msgpack", PackCompact(aResponse)));
    held.erase(held.begin());
    m_io.run_for(milliseconds(50));
  }

  /// Sends a request to the instance and returns its response.
  PeerResponse Ask(PeerOperation aOperation, const std::string& aBody)
  {
    HttpClient client(m_io, 4096);
    PeerResponse response;
    bool completed = false;
    client.Send(kNodeAddress,
                MakeRequest(boost::beast::http::verb::post, std::string(PathOf(aOperation)), aBody),
                seconds(1),
                [&](const ClientResponse& aResponse) {
                  completed = aResponse.m_result == ClientResult::Completed &&
                              UnpackCompact(aResponse.m_response.body(), response);
                });
    m_io.run_for(milliseconds(100));
    REQUIRE(completed);
    return response;
  }

  boost::asio::io_context m_io;
  MemoryStore m_store;
  SilentWorkers m_workers;
  std::shared_ptr<Node> m_node;
  std::map<std::string, std::vector<std::shared_ptr<HttpReply>>> m_held;
  std::map<std::string, std::vector<std::string>> m_bodies;    ///< Of all requests, by path.
  std::map<std::string, std::vector<std::string>> m_receivers; ///< Of all requests, by path.
};

} // namespace egretturn::nodetest
