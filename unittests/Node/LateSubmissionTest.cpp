// Tests that an instance refuses a submission whose cancellation another one has answered.
#include "NodeFixture.h"

using namespace egretturn;
using namespace egretturn::nodetest;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr GraphId kJob = 7;

/// Returns the body of a submission of kJob.
static std::string
PackSubmission()
{
  SubmitMessage message;
  message.m_id = kJob;
  message.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
  message.m_graph.m_steps.emplace_back();
  return PackCompact(message);
}

// Guards against work that nobody asks for any more (UNASKED): the leader that answered the cancel
// with 410 is succeeded, and the late submission reaches its successor.
TEST_CASE("an instance that takes over refuses a submission whose cancel was answered")
{
  NodeFixture fixture;
  fixture.StartAsLeader();
  const std::string cancel = PackCompact(JobMessage{ kJob, "" });
  CHECK(fixture.Ask(PeerOperation::Cancel, cancel).m_outcome == PeerOutcome::NoSuchJob);
  CHECK(fixture.Ask(PeerOperation::Submit, PackSubmission()).m_outcome == PeerOutcome::Cancelled);

  NodeSettings settings;
  settings.m_id = "successor";
  settings.m_peerAddress = kNewLeader;
  settings.m_incarnation = 2;
  const std::shared_ptr<Node> successor =
    std::make_shared<Node>(fixture.m_io, settings, fixture.m_store, fixture.m_workers, RejectEntry);
  REQUIRE(successor->Start());
  fixture.m_io.run_for(seconds(2)); // it pings the leader
  fixture.m_node->HandOver();
  fixture.m_io.run_for(seconds(2));
  REQUIRE(successor->Metrics().find("egretturn_deciding 1") != std::string::npos);
  PeerResponse response;
  successor->Submit({ kJob, { "route", "desk", 0, 3, 2.0, 500 }, Graph() },
                    seconds(1),
                    [&](const PeerResponse& aResponse) { response = aResponse; });
  fixture.m_io.run_for(milliseconds(200));
  CHECK(response.m_outcome == PeerOutcome::Cancelled);
  CHECK(successor->Metrics().find("egretturn_tombstones 1") != std::string::npos);
}
