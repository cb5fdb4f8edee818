// Tests that an instance refuses a submission whose cancellation another one has answered.
#include "NodeFixture.h"

using namespace egretturn;
using namespace egretturn::nodetest;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr GraphId kJob = 7;
static constexpr Duration kMaxWait = seconds(10);

/// Runs \p aFixture until \p aDone is true, or for kMaxWait.
static void
RunUntil(NodeFixture& aFixture, const std::function<bool()>& aDone)
{
  const Instant end = BootClockNow() + kMaxWait;
  while (!aDone() && BootClockNow() < end) {
    aFixture.m_io.run_for(milliseconds(10));
  }
}

/// Submits kJob at \p aNode and returns the outcome.
static PeerOutcome
Submit(NodeFixture& aFixture, Node& aNode)
{
  std::optional<PeerOutcome> outcome;
  const Submission submission{ kJob, { "route", "desk", 0, 3, 2.0, 500 }, Graph() };
  aNode.Submit(
    submission, seconds(5), [&](const PeerResponse& aResponse) { outcome = aResponse.m_outcome; });
  RunUntil(aFixture, [&] { return outcome.has_value(); });
  REQUIRE(outcome);
  return *outcome;
}

/// Returns whether \p aNode leads.
static bool
Leads(Node& aNode)
{
  return aNode.Metrics().find("egretturn_deciding 1") != std::string::npos;
}

// Guards against work that nobody asks for any more (UNASKED): the leader that answered the cancel
// with 410 is succeeded, and the late submission reaches its successor.
TEST_CASE("an instance that takes over refuses a submission whose cancel was answered")
{
  NodeFixture fixture;
  fixture.StartAsLeader();
  std::optional<PeerOutcome> cancelled;
  fixture.m_node->Cancel(
    kJob, seconds(5), [&](const PeerResponse& aResponse) { cancelled = aResponse.m_outcome; });
  RunUntil(fixture, [&] { return cancelled.has_value(); });
  CHECK(cancelled == PeerOutcome::NoSuchJob);
  CHECK(Submit(fixture, *fixture.m_node) == PeerOutcome::Cancelled);

  NodeSettings settings;
  settings.m_id = "successor";
  settings.m_peerAddress = kNewLeader;
  settings.m_incarnation = 2;
  const std::shared_ptr<Node> successor =
    std::make_shared<Node>(fixture.m_io, settings, fixture.m_store, fixture.m_workers, RejectEntry);
  REQUIRE(successor->Start());
  RunUntil(fixture, [&] { return successor->IsReady(); }); // it has pinged the leader
  fixture.m_node->HandOver();
  RunUntil(fixture, [&] { return Leads(*successor); });
  REQUIRE(Leads(*successor));
  CHECK(Submit(fixture, *successor) == PeerOutcome::Cancelled);
  CHECK(successor->Metrics().find("egretturn_tombstones 1") != std::string::npos);
}
