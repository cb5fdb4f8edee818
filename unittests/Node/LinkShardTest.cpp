// Tests when a link shard executes a leader's orders, and how it reports their results.
#include "LinkFakes.h"

#include "egretturn/Node/LinkShard.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::nodetest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kLeader = "10.0.0.1:1";

/// A shard, and its leader played by the test.
struct ShardFixture
{
  static LinkOrders OrdersOf(uint64_t aEpoch, uint64_t aSession)
  {
    LinkOrders orders;
    orders.m_epoch = aEpoch;
    orders.m_session = aSession;
    orders.m_leader = kLeader;
    orders.m_flushMs = 10;
    return orders;
  }

  static LinkOrders StartOrder(uint64_t aEpoch, uint64_t aSession)
  {
    LinkOrders orders = OrdersOf(aEpoch, aSession);
    orders.m_payloads = { "payload" };
    LinkStart start;
    start.m_call = 1;
    start.m_worker = "w";
    orders.m_starts.push_back(start);
    return orders;
  }

  static LinkOrders PollOrder(LinkCallId aCall, uint64_t aAcknowledged)
  {
    LinkOrders orders = OrdersOf(1, 1);
    LinkPoll poll;
    poll.m_call = aCall;
    poll.m_worker = "w";
    poll.m_acknowledged = aAcknowledged;
    orders.m_polls.push_back(poll);
    return orders;
  }

  /// Replies to what the shard has sent, and returns it.
  std::vector<LinkResults> Reply(LinkResultsOutcome aOutcome)
  {
    std::vector<LinkResults> results;
    for (const FakeLinkPort::SentResults& sent : m_port.TakeResults()) {
      CHECK(sent.m_address == kLeader);
      results.push_back(sent.m_results);
      sent.m_done(LinkResultsReply{ aOutcome });
    }
    return results;
  }

  /// Opens a session and confirms its first heartbeat.
  void Open(uint64_t aEpoch, uint64_t aSession)
  {
    REQUIRE(m_shard->OnOrders(OrdersOf(aEpoch, aSession)).m_outcome == LinkOrdersOutcome::Taken);
    m_port.Advance(milliseconds(20));
    std::vector<LinkResults> results = Reply(LinkResultsOutcome::Confirmed);
    REQUIRE(results.size() == 1);
    REQUIRE_FALSE(results[0].m_confirmed);
    m_port.Advance(milliseconds(20));
    results = Reply(LinkResultsOutcome::Confirmed);
    REQUIRE(results.size() == 1);
    REQUIRE(results[0].m_confirmed); // now the leader may send orders
  }

  LinkOrdersOutcome Send(const LinkOrders& aOrders) { return m_shard->OnOrders(aOrders).m_outcome; }

  FakeLinkPort m_port;
  RecordingWorkers m_workers;
  std::shared_ptr<LinkShard> m_shard = std::make_shared<LinkShard>(m_port, m_workers, "shard");
};

} // namespace

TEST_CASE("a shard calls workers with the leader's epoch and reports the results")
{
  ShardFixture fixture;
  fixture.Open(1, 1);
  REQUIRE(fixture.Send(ShardFixture::StartOrder(1, 1)) == LinkOrdersOutcome::Taken);
  REQUIRE(fixture.m_workers.m_starts.size() == 1);
  CHECK(fixture.m_workers.m_starts[0].m_fence == 1);
  CHECK(fixture.m_workers.m_starts[0].m_start.m_payload == "payload");
  CHECK(fixture.m_shard->CallsInFlight() == 1);
  fixture.m_workers.m_starts[0].m_done(WorkerCallResult::Accepted);
  fixture.m_port.Advance(milliseconds(20));
  const std::vector<LinkResults> results = fixture.Reply(LinkResultsOutcome::Confirmed);
  REQUIRE(results.size() == 1);
  REQUIRE(results[0].m_calls.size() == 1);
  CHECK(results[0].m_calls[0].m_call == 1);
  CHECK(results[0].m_calls[0].m_result == WorkerCallResult::Accepted);
  CHECK(fixture.m_shard->CallsInFlight() == 0);
}

// Guards against orders of a leader that does not know of the request: it was cut off from the
// store, or the orders were under way.
TEST_CASE("a shard refuses a start in a zone that it knows to be evacuated, and only that")
{
  ShardFixture fixture;
  fixture.Open(1, 1);
  ZoneEvacuations evacuations;
  evacuations.OnRequest("z1", fixture.m_port.Now());
  fixture.m_shard->SetEvacuations(evacuations);
  LinkOrders orders = ShardFixture::StartOrder(1, 1);
  orders.m_starts[0].m_zone = "z1";
  orders.m_starts.push_back(orders.m_starts[0]);
  orders.m_starts[1].m_call = 2;
  orders.m_starts[1].m_zone = "z2";
  LinkPoll poll;
  poll.m_call = 3;
  poll.m_worker = "w";
  orders.m_polls.push_back(poll);
  REQUIRE(fixture.Send(orders) == LinkOrdersOutcome::Taken);
  CHECK(fixture.m_workers.m_starts.size() == 1);
  CHECK(fixture.m_workers.m_polls.size() == 1); // leases go on
  CHECK(fixture.m_shard->Counters().m_evacuated == 1);
  fixture.m_port.Advance(milliseconds(20));
  const std::vector<LinkResults> results = fixture.Reply(LinkResultsOutcome::Confirmed);
  REQUIRE(results.size() == 1);
  REQUIRE(results[0].m_calls.size() == 1);
  CHECK(results[0].m_calls[0].m_call == 1);
  CHECK(results[0].m_calls[0].m_result == WorkerCallResult::NotSent);
  evacuations.OnWithdrawal("z1");
  fixture.m_shard->SetEvacuations(evacuations);
  REQUIRE(fixture.Send(orders) == LinkOrdersOutcome::Taken);
  CHECK(fixture.m_workers.m_starts.size() == 3);
}

// Guards against a process that was suspended and acts on a permission that has run out meanwhile.
TEST_CASE("a shard that was suspended for seconds does not execute the orders it finds")
{
  ShardFixture fixture;
  fixture.Open(1, 1);
  fixture.m_port.Suspend(seconds(3));
  CHECK(fixture.Send(ShardFixture::StartOrder(1, 1)) == LinkOrdersOutcome::Unconfirmed);
  CHECK(fixture.m_workers.m_starts.empty());
  // Once the leader has confirmed that it still leads, orders are executed again.
  fixture.m_port.Advance(milliseconds(300));
  fixture.Reply(LinkResultsOutcome::Confirmed);
  CHECK(fixture.Send(ShardFixture::StartOrder(1, 1)) == LinkOrdersOutcome::Taken);
}

TEST_CASE("a shard goes on only while the leader confirms that it leads")
{
  ShardFixture fixture;
  fixture.Open(1, 1);
  for (int i = 0; i < 4; ++i) {
    fixture.m_port.Advance(milliseconds(260));
    fixture.Reply(LinkResultsOutcome::Unconfirmed);
  }
  CHECK(fixture.Send(ShardFixture::StartOrder(1, 1)) == LinkOrdersOutcome::Unconfirmed);
  for (int i = 0; i < 4; ++i) {
    fixture.m_port.Advance(milliseconds(260));
    fixture.Reply(LinkResultsOutcome::Confirmed);
  }
  CHECK(fixture.Send(ShardFixture::StartOrder(1, 1)) == LinkOrdersOutcome::Taken);
}

// Guards against two leaders that both act around a change of leader, so that orders go out twice.
TEST_CASE("a shard refuses the orders of a superseded leader or session")
{
  ShardFixture fixture;
  fixture.Open(1, 2);
  CHECK(fixture.Send(ShardFixture::StartOrder(1, 1)) == LinkOrdersOutcome::Superseded);
  fixture.Open(2, 1);
  CHECK(fixture.Send(ShardFixture::StartOrder(1, 2)) == LinkOrdersOutcome::Superseded);
  fixture.m_shard->OnEpoch(3); // announced, but the new leader has not called yet
  CHECK(fixture.Send(ShardFixture::StartOrder(2, 1)) == LinkOrdersOutcome::Superseded);
  CHECK(fixture.Send(ShardFixture::OrdersOf(2, 2)) == LinkOrdersOutcome::Superseded);
  CHECK(fixture.m_workers.m_starts.empty());
  CHECK(fixture.m_shard->Counters().m_refusedCalls == 3);
}

// Guards against orders of a leader that does not know that the shard has been restarted.
TEST_CASE("a shard executes nothing in a session that it has not opened")
{
  ShardFixture fixture;
  CHECK(fixture.Send(ShardFixture::StartOrder(1, 1)) == LinkOrdersOutcome::Unconfirmed);
  CHECK(fixture.m_workers.m_starts.empty());
}

// Guards against a malformed message that takes the process down or is executed in part.
TEST_CASE("malformed orders are refused as a whole")
{
  ShardFixture fixture;
  fixture.Open(1, 1);
  LinkOrders orders = ShardFixture::StartOrder(1, 1);
  orders.m_starts.push_back(orders.m_starts[0]);
  orders.m_starts[1].m_payload = 7;
  CHECK(fixture.Send(orders) == LinkOrdersOutcome::Invalid);
  CHECK(fixture.Send(ShardFixture::StartOrder(0, 1)) == LinkOrdersOutcome::Invalid);
  CHECK(fixture.m_workers.m_starts.empty());
}

// Guards against results that are lost with a reply, which would leave their calls unanswered.
TEST_CASE("results without a reply are sent again under the same number")
{
  ShardFixture fixture;
  fixture.Open(1, 1);
  fixture.Send(ShardFixture::StartOrder(1, 1));
  fixture.m_workers.m_starts[0].m_done(WorkerCallResult::Accepted);
  fixture.m_port.Advance(milliseconds(20));
  const std::vector<FakeLinkPort::SentResults> first = fixture.m_port.TakeResults();
  REQUIRE(first.size() == 1);
  first[0].m_done(std::nullopt);
  fixture.m_port.Advance(milliseconds(100));
  const std::vector<LinkResults> again = fixture.Reply(LinkResultsOutcome::Confirmed);
  REQUIRE(again.size() == 1);
  CHECK(again[0].m_sequence == first[0].m_results.m_sequence);
  CHECK(again[0].m_calls.size() == 1);
}

TEST_CASE("a shard ends the session of a leader that does not reply or has ended it")
{
  ShardFixture fixture;
  fixture.Open(1, 1);
  fixture.m_port.Advance(milliseconds(300));
  fixture.Reply(LinkResultsOutcome::Ended);
  CHECK(fixture.Send(ShardFixture::StartOrder(1, 1)) == LinkOrdersOutcome::Unconfirmed);

  fixture.Open(1, 2);
  for (int i = 0; i < 8; ++i) {
    fixture.m_port.Advance(milliseconds(500));
    for (const FakeLinkPort::SentResults& sent : fixture.m_port.TakeResults()) {
      sent.m_done(std::nullopt);
    }
  }
  fixture.m_port.Advance(seconds(2));
  CHECK(fixture.m_port.TakeResults().empty());
}

// Guards against the ends of a restarted worker that are discarded by an acknowledgement for the
// process before.
TEST_CASE("ends are acknowledged only to a worker that has just responded")
{
  ShardFixture fixture;
  fixture.Open(1, 1);
  REQUIRE(fixture.Send(ShardFixture::PollOrder(1, 0)) == LinkOrdersOutcome::Taken);
  REQUIRE(fixture.m_workers.m_polls.size() == 1);
  fixture.m_workers.m_polls[0].m_done(WorkerCallResult::Accepted, {});
  fixture.m_port.Advance(milliseconds(50));
  fixture.Reply(LinkResultsOutcome::Confirmed);
  fixture.Send(ShardFixture::PollOrder(2, 5));
  REQUIRE(fixture.m_workers.m_polls.size() == 2);
  CHECK(fixture.m_workers.m_polls[1].m_poll.m_acknowledged == 5);

  fixture.m_port.Advance(milliseconds(260));
  fixture.Reply(LinkResultsOutcome::Confirmed);
  fixture.Send(ShardFixture::PollOrder(3, 6));
  CHECK(fixture.m_workers.m_polls.size() == 2);
  fixture.m_port.Advance(milliseconds(20));
  const std::vector<LinkResults> results = fixture.Reply(LinkResultsOutcome::Confirmed);
  REQUIRE(results.size() == 1);
  REQUIRE(results[0].m_polls.size() == 1);
  CHECK(results[0].m_polls[0].m_call == 3);
  CHECK(results[0].m_polls[0].m_result == WorkerCallResult::LinkLost);
}

// Guards against ends that are never acknowledged while the leader or the shard is busy: each
// acknowledgement reached the shard too late after the response.
TEST_CASE("ends are acknowledged late to the process that has listed them")
{
  static constexpr int64_t kIncarnation = 7;
  ShardFixture fixture;
  fixture.Open(1, 1);
  LinkOrders orders = ShardFixture::PollOrder(1, 5);
  orders.m_polls[0].m_incarnation = kIncarnation;
  REQUIRE(fixture.Send(orders) == LinkOrdersOutcome::Taken);
  REQUIRE(fixture.m_workers.m_polls.size() == 1);
  CHECK(fixture.m_workers.m_polls[0].m_poll.m_acknowledged == 0);
  WorkerStatus status;
  WorkerCallResult expected = WorkerCallResult::Accepted;
  SECTION("if it still runs")
  {
    status.m_incarnation = kIncarnation;
    fixture.m_workers.m_polls[0].m_done(WorkerCallResult::Accepted, status);
    REQUIRE(fixture.m_workers.m_polls.size() == 2);
    CHECK(fixture.m_workers.m_polls[1].m_poll.m_acknowledged == 5);
    fixture.m_workers.m_polls[1].m_done(WorkerCallResult::Accepted, status);
  }
  SECTION("but not if the worker has restarted")
  {
    status.m_incarnation = kIncarnation + 1;
    fixture.m_workers.m_polls[0].m_done(WorkerCallResult::Accepted, status);
    CHECK(fixture.m_workers.m_polls.size() == 1);
  }
  SECTION("but not once the leader no longer confirms that it leads")
  {
    status.m_incarnation = kIncarnation;
    fixture.m_port.Suspend(seconds(1));
    fixture.m_workers.m_polls[0].m_done(WorkerCallResult::Accepted, status);
    CHECK(fixture.m_workers.m_polls.size() == 1);
    expected = WorkerCallResult::LinkLost; // so the leader does not take them for acknowledged
    status.m_incarnation = 0;
  }
  CHECK(fixture.m_shard->CallsInFlight() == 0);
  fixture.m_port.Advance(milliseconds(20));
  const std::vector<LinkResults> results = fixture.Reply(LinkResultsOutcome::Confirmed);
  REQUIRE(results.size() == 1);
  REQUIRE(results[0].m_polls.size() == 1);
  CHECK(results[0].m_polls[0].m_call == 1);
  CHECK(results[0].m_polls[0].m_result == expected);
  CHECK(results[0].m_polls[0].m_status.m_incarnation == status.m_incarnation);
}

TEST_CASE("results that arrive close together share a message")
{
  ShardFixture fixture;
  fixture.Open(1, 1);
  LinkOrders orders = ShardFixture::StartOrder(1, 1);
  for (LinkCallId call = 2; call <= 50; ++call) {
    orders.m_starts.push_back(orders.m_starts[0]);
    orders.m_starts.back().m_call = call;
  }
  fixture.Send(orders);
  for (const RecordingWorkers::StartCall& start : fixture.m_workers.m_starts) {
    start.m_done(WorkerCallResult::Accepted);
  }
  fixture.m_port.Advance(milliseconds(20));
  const std::vector<LinkResults> results = fixture.Reply(LinkResultsOutcome::Confirmed);
  REQUIRE(results.size() == 1);
  CHECK(results[0].m_calls.size() == 50);
}
