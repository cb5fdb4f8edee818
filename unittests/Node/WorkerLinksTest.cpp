// Tests how a leader's calls reach the workers: directly, through link shards, and around shards
// that fail.
#include "LinkFakes.h"

#include "egretturn/Node/WorkerLinks.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace egretturn;
using namespace egretturn::nodetest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t kWorkers = 120;
constexpr double kWeakLeader = 0.069; // carries 41 workers
constexpr double kShardWeight = 0.5;

/// A leader's links, with shards played by the test.
struct LinksFixture
{
  explicit LinksFixture(double aWeight = kWeakLeader, size_t aWorkers = kWorkers)
  {
    WorkerLinksSettings settings;
    settings.m_epoch = 7;
    settings.m_self = { "leader", "leader:1", "a", "south", aWeight };
    settings.m_regionOf = { { "a", "south" } };
    m_links =
      std::make_shared<WorkerLinks>(m_port, m_direct, settings, [this] { return m_mayCall; });
    m_links->Begin();
    for (size_t i = 0; i < aWorkers; ++i) {
      m_links->SetWorkerZone(NameOf(i), "a");
    }
  }

  static WorkerName NameOf(size_t aIndex) { return "w" + std::to_string(aIndex); }

  void AddShards(size_t aCount)
  {
    std::vector<LinkInstance> instances;
    for (size_t i = 0; i < aCount; ++i) {
      const std::string id = "shard" + std::to_string(i);
      instances.push_back({ id, id + ":1", "a", "south", kShardWeight });
    }
    m_links->SetInstances(instances);
  }

  void Poll(size_t aWorker)
  {
    PollWorker poll;
    poll.m_worker = NameOf(aWorker);
    m_links->Poll(poll, 7, [this, aWorker](WorkerCallResult aResult, const WorkerStatus&) {
      m_polled.emplace_back(aWorker, aResult);
    });
  }

  void Start(size_t aWorker, GraphId aJob)
  {
    StartTask start;
    start.m_worker = NameOf(aWorker);
    start.m_task.m_job = aJob;
    start.m_payload = "payload of " + std::to_string(aJob);
    m_links->Start(start, 7, [this](WorkerCallResult aResult) { m_started.push_back(aResult); });
  }

  /// Plays shards that take all orders and send heartbeats. Returns the orders with calls.
  std::vector<FakeLinkPort::SentOrders> PlayShards(Duration aTime)
  {
    std::vector<FakeLinkPort::SentOrders> calls;
    for (Duration left = aTime; left > Duration::zero(); left -= milliseconds(20)) {
      m_port.Advance(milliseconds(20));
      for (const FakeLinkPort::SentOrders& sent : m_port.TakeOrders()) {
        if (m_deadShards.count(sent.m_address) > 0) {
          continue;
        }
        m_sessions[sent.m_address] = sent.m_orders.m_session;
        if (sent.m_orders.CountCalls() > 0) {
          calls.push_back(sent);
        }
        sent.m_done(LinkOrdersReply{ LinkOrdersOutcome::Taken });
      }
      for (const std::pair<const std::string, uint64_t>& session : m_sessions) {
        if (m_deadShards.count(session.first) == 0) {
          m_links->OnResults(MakeResults(session.first));
        }
      }
    }
    return calls;
  }

  /// Returns a heartbeat of the shard at \p aAddress.
  LinkResults MakeResults(const std::string& aAddress)
  {
    LinkResults results;
    results.m_epoch = 7;
    results.m_session = m_sessions[aAddress];
    results.m_sequence = ++m_sequence;
    results.m_instance = aAddress.substr(0, aAddress.find(':'));
    results.m_confirmed = true;
    return results;
  }

  FakeLinkPort m_port;
  RecordingWorkers m_direct;
  bool m_mayCall = true;
  std::shared_ptr<WorkerLinks> m_links;
  std::vector<std::pair<size_t, WorkerCallResult>> m_polled;
  std::vector<WorkerCallResult> m_started;
  std::map<std::string, uint64_t> m_sessions; ///< By the shard's address.
  std::set<std::string> m_deadShards;
  uint64_t m_sequence = 0;
};

size_t
CountPolls(const std::vector<FakeLinkPort::SentOrders>& aOrders)
{
  size_t polls = 0;
  for (const FakeLinkPort::SentOrders& sent : aOrders) {
    polls += sent.m_orders.m_polls.size();
  }
  return polls;
}

} // namespace

// Guards against a second hop where one instance can do the work.
TEST_CASE("the leader of a small site calls its workers itself")
{
  LinksFixture fixture(0.25, 66);
  fixture.AddShards(5);
  for (size_t i = 0; i < 66; ++i) {
    fixture.Poll(i);
  }
  CHECK(fixture.m_direct.m_polls.size() == 66);
  fixture.m_port.Advance(seconds(1));
  CHECK(fixture.m_port.TakeOrders().empty());
}

// Guards against the load of the large sites: one instance that calls more workers than it can.
TEST_CASE("the workers of a site that is too large for its leader are called by shards")
{
  LinksFixture fixture;
  fixture.AddShards(5);
  for (size_t i = 0; i < kWorkers; ++i) {
    fixture.Poll(i);
  }
  const std::vector<FakeLinkPort::SentOrders> orders = fixture.PlayShards(milliseconds(200));
  CHECK(fixture.m_direct.m_polls.empty());
  CHECK(CountPolls(orders) == kWorkers);
  CHECK(orders.size() <= 4); // calls of one turn share a message
  for (const LinkStatus& link : fixture.m_links->ListLinks()) {
    CHECK(link.m_workers > 20);
  }
  CHECK(fixture.m_links->HolderOf("w0").substr(0, 5) == "shard");
}

// Guards against orders that overtake the confirmation of the session, which the shard refuses.
TEST_CASE("no orders are sent before the shard knows that its session is confirmed")
{
  LinksFixture fixture;
  fixture.AddShards(1);
  fixture.Poll(0);
  fixture.m_port.Advance(milliseconds(20));
  std::vector<FakeLinkPort::SentOrders> sent = fixture.m_port.TakeOrders();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].m_orders.CountCalls() == 0);
  sent[0].m_done(LinkOrdersReply{ LinkOrdersOutcome::Taken });
  fixture.m_sessions["shard0:1"] = sent[0].m_orders.m_session;
  LinkResults heartbeat = fixture.MakeResults("shard0:1");
  heartbeat.m_confirmed = false;
  CHECK(fixture.m_links->OnResults(heartbeat).m_outcome == LinkResultsOutcome::Confirmed);
  fixture.m_port.Advance(milliseconds(100));
  CHECK(fixture.m_port.TakeOrders().empty());
  fixture.m_links->OnResults(fixture.MakeResults("shard0:1"));
  fixture.m_port.Advance(milliseconds(100));
  sent = fixture.m_port.TakeOrders();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].m_orders.CountCalls() == 1);
}

TEST_CASE("tasks of one job share the payload in a message")
{
  LinksFixture fixture;
  fixture.AddShards(1);
  for (size_t i = 0; i < 40; ++i) {
    fixture.Start(i, i % 2);
  }
  const std::vector<FakeLinkPort::SentOrders> orders = fixture.PlayShards(milliseconds(200));
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].m_orders.m_starts.size() == 40);
  REQUIRE(orders[0].m_orders.m_payloads.size() == 2);
  for (const LinkStart& start : orders[0].m_orders.m_starts) {
    const std::string& payload = orders[0].m_orders.m_payloads[start.m_payload];
    CHECK(payload == "payload of " + std::to_string(start.m_task.m_job));
  }
}

// Guards against a shard that is gone: its workers must not count as lost with it.
TEST_CASE("when a shard falls silent, its calls end and its workers are called through others")
{
  LinksFixture fixture;
  fixture.AddShards(2);
  for (size_t i = 0; i < kWorkers; ++i) {
    fixture.Poll(i);
  }
  const size_t before = CountPolls(fixture.PlayShards(milliseconds(200)));
  REQUIRE(before == kWorkers);
  const std::string lost = "shard0:1";
  fixture.m_deadShards.insert(lost);
  fixture.PlayShards(milliseconds(1500));
  REQUIRE(fixture.m_polled.size() > 20);
  for (const std::pair<size_t, WorkerCallResult>& polled : fixture.m_polled) {
    CHECK(polled.second == WorkerCallResult::LinkLost);
  }
  for (const std::pair<size_t, WorkerCallResult>& polled : std::exchange(fixture.m_polled, {})) {
    CHECK(fixture.m_links->HolderOf(LinksFixture::NameOf(polled.first)) == "shard1");
    fixture.Poll(polled.first);
  }
  CHECK(CountPolls(fixture.PlayShards(milliseconds(200))) + before > kWorkers);
}

// Guards against calls that wait on a link which works in one direction only.
TEST_CASE("a shard that the leader's replies do not reach is given up")
{
  LinksFixture fixture;
  fixture.AddShards(1);
  const bool opened = GENERATE(false, true);
  if (opened) {
    fixture.Poll(0);
    fixture.PlayShards(milliseconds(200));
  }
  fixture.Poll(1);
  fixture.m_port.Advance(milliseconds(100));
  for (FakeLinkPort::SentOrders& sent : fixture.m_port.TakeOrders()) {
    fixture.m_sessions[sent.m_address] = sent.m_orders.m_session;
    sent.m_done(LinkOrdersReply{ LinkOrdersOutcome::Taken });
  }
  LinkResults repeated = fixture.MakeResults("shard0:1");
  repeated.m_confirmed = opened;
  for (int i = 0; i < 30; ++i) {
    fixture.m_links->OnResults(repeated);
    fixture.m_port.Advance(milliseconds(50));
  }
  REQUIRE(fixture.m_polled.size() == (opened ? 2 : 1));
  CHECK(fixture.m_polled.back().second == WorkerCallResult::LinkLost);
}

TEST_CASE("a shard that refuses orders, as after a restart, gets a new session later")
{
  LinksFixture fixture;
  fixture.AddShards(1);
  fixture.Poll(0);
  fixture.PlayShards(milliseconds(200));
  const uint64_t session = fixture.m_sessions["shard0:1"];
  fixture.Start(0, 1);
  fixture.m_port.Advance(milliseconds(30));
  const std::vector<FakeLinkPort::SentOrders> sent = fixture.m_port.TakeOrders();
  REQUIRE(sent.size() == 1);
  sent[0].m_done(LinkOrdersReply{ LinkOrdersOutcome::Unconfirmed });
  REQUIRE(fixture.m_started == std::vector<WorkerCallResult>{ WorkerCallResult::LinkLost });
  CHECK(fixture.m_links->HolderOf("w0") == "leader");
  fixture.PlayShards(seconds(3));
  fixture.Poll(0);
  fixture.PlayShards(milliseconds(200));
  CHECK(fixture.m_sessions["shard0:1"] > session);
}

// Guards against a worker that counts as lost because only one instance can't reach it.
TEST_CASE("a worker that one shard cannot reach is polled through another, then by the leader")
{
  LinksFixture fixture;
  fixture.AddShards(2);
  std::vector<std::string> holders;
  for (int i = 0; i < 3; ++i) {
    holders.push_back(fixture.m_links->HolderOf("w0"));
    fixture.Poll(0);
    for (const FakeLinkPort::SentOrders& sent : fixture.PlayShards(milliseconds(200))) {
      LinkResults results = fixture.MakeResults(sent.m_address);
      results.m_polls.push_back(
        { sent.m_orders.m_polls.at(0).m_call, WorkerCallResult::NoResponse, {} });
      fixture.m_links->OnResults(results);
    }
  }
  std::sort(holders.begin(), holders.end());
  CHECK(holders == std::vector<std::string>{ "leader", "shard0", "shard1" });
}

// Guards against results that are processed twice after their confirmation was lost.
TEST_CASE("repeated results and those of an ended session are not processed")
{
  LinksFixture fixture;
  fixture.AddShards(1);
  fixture.Start(0, 1);
  fixture.Start(1, 1);
  const std::vector<FakeLinkPort::SentOrders> orders = fixture.PlayShards(milliseconds(200));
  REQUIRE(orders.size() == 1);
  LinkResults results = fixture.MakeResults("shard0:1");
  results.m_calls.push_back({ orders[0].m_orders.m_starts[0].m_call, WorkerCallResult::Accepted });
  CHECK(fixture.m_links->OnResults(results).m_outcome == LinkResultsOutcome::Confirmed);
  CHECK(fixture.m_started.size() == 1);
  results.m_calls[0].m_call = orders[0].m_orders.m_starts[1].m_call;
  CHECK(fixture.m_links->OnResults(results).m_outcome == LinkResultsOutcome::Confirmed);
  CHECK(fixture.m_started.size() == 1);

  LinkResults other = fixture.MakeResults("shard0:1");
  other.m_session += 1;
  CHECK(fixture.m_links->OnResults(other).m_outcome == LinkResultsOutcome::Ended);
  other = fixture.MakeResults("shard0:1");
  other.m_epoch = 6;
  CHECK(fixture.m_links->OnResults(other).m_outcome == LinkResultsOutcome::Ended);
  other = fixture.MakeResults("stranger:1");
  CHECK(fixture.m_links->OnResults(other).m_outcome == LinkResultsOutcome::Ended);
}

// Guards against orders of a leader that may have been superseded.
TEST_CASE("a leader without evidence that it leads sends no orders and confirms nothing")
{
  LinksFixture fixture;
  fixture.AddShards(1);
  fixture.Poll(0);
  fixture.PlayShards(milliseconds(200));
  fixture.m_mayCall = false;
  fixture.Start(0, 1);
  CHECK(fixture.PlayShards(milliseconds(300)).empty());
  const LinkResults heartbeat = fixture.MakeResults("shard0:1");
  CHECK(fixture.m_links->OnResults(heartbeat).m_outcome == LinkResultsOutcome::Unconfirmed);
  fixture.m_mayCall = true;
  CHECK(fixture.PlayShards(milliseconds(300)).size() == 1);
}

// Guards against a recovery in which a new leader polls a thousand workers itself.
TEST_CASE("a new leader of many workers waits for shards, but not for long")
{
  LinksFixture fixture;
  fixture.Poll(0);
  fixture.m_port.Advance(milliseconds(300));
  CHECK(fixture.m_direct.m_polls.empty());
  fixture.AddShards(2);
  CHECK(CountPolls(fixture.PlayShards(milliseconds(200))) == 1);

  LinksFixture alone;
  alone.Poll(0);
  alone.m_port.Advance(milliseconds(900));
  CHECK(alone.m_direct.m_polls.size() == 1);
}

TEST_CASE("no callback of a call runs after the end of the epoch")
{
  LinksFixture fixture;
  fixture.AddShards(1);
  fixture.Start(0, 1);
  const std::vector<FakeLinkPort::SentOrders> orders = fixture.PlayShards(milliseconds(200));
  REQUIRE(orders.size() == 1);
  fixture.m_links->End();
  LinkResults results = fixture.MakeResults("shard0:1");
  results.m_calls.push_back({ orders[0].m_orders.m_starts[0].m_call, WorkerCallResult::Accepted });
  CHECK(fixture.m_links->OnResults(results).m_outcome == LinkResultsOutcome::Ended);
  fixture.m_port.Advance(seconds(5));
  CHECK(fixture.m_started.empty());
  CHECK(fixture.m_port.TakeOrders().empty());
}
