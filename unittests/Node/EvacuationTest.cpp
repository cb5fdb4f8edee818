// Tests how an instance takes the operator's requests to evacuate zones.
#include "LinkFakes.h"
#include "NodeFixture.h"

using namespace egretturn;
using namespace egretturn::nodetest;

namespace {

/// A leader with one worker in zone "z1", which responds to polls.
struct LeaderFixture
{
  explicit LeaderFixture(bool aFollowsEvacuations)
  {
    m_store.Append(Topic::Directory, { { "w", "entry" } }, [](AppendResult) {});
    NodeSettings settings;
    settings.m_id = "instance";
    settings.m_peerAddress = kNodeAddress;
    settings.m_regionOf = { { "z1", "south" } };
    settings.m_followsEvacuations = aFollowsEvacuations;
    m_node = std::make_shared<Node>(
      m_io, settings, m_store, m_workers, [](const KeyedRecord& aRecord) -> Expected<WorkerReport> {
        WorkerReport report;
        report.m_id = aRecord.m_key;
        report.m_service = "desk";
        report.m_zone = "z1";
        report.m_capacity = { 16000, 64000, 0 };
        return report;
      });
    REQUIRE(m_node->Start());
    Run(milliseconds(1000));
    REQUIRE(m_node->IsReady());
  }

  void Run(Duration aTime)
  {
    for (const Instant end = BootClockNow() + aTime; BootClockNow() < end;) {
      m_io.run_for(milliseconds(5));
      for (const RecordingWorkers::PollCall& call : std::exchange(m_workers.m_polls, {})) {
        WorkerStatus status;
        status.m_clockMs = 1000;
        call.m_done(WorkerCallResult::Accepted, status);
      }
    }
  }

  void Submit(GraphId aId)
  {
    Submission submission;
    submission.m_id = aId;
    submission.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
    GraphStep step;
    step.m_demand = { 1000, 1000, 0 };
    step.m_estimateMs = 60000;
    submission.m_graph.m_steps.push_back(step);
    m_node->Submit(std::move(submission), seconds(5), [](const PeerResponse&) {});
    Run(milliseconds(800));
  }

  boost::asio::io_context m_io;
  MemoryStore m_store;
  RecordingWorkers m_workers;
  std::shared_ptr<Node> m_node;
};

} // namespace

TEST_CASE("a leader starts no task before its process has read the operator's requests")
{
  LeaderFixture fixture(true);
  fixture.Submit(1);
  CHECK(fixture.m_workers.m_starts.empty());
  fixture.m_node->OnOperatorRead();
  fixture.Run(milliseconds(500));
  CHECK(fixture.m_workers.m_starts.size() == 1);
}

TEST_CASE("a leader starts nothing in a zone from the request on until it is taken back")
{
  LeaderFixture fixture(true);
  fixture.m_node->OnEvacuation("z1", true);
  fixture.m_node->OnOperatorRead();
  fixture.m_node->OnEvacuation("z1", true); // the same record is read again
  fixture.Submit(1);
  CHECK(fixture.m_workers.m_starts.empty());
  CHECK(fixture.m_node->Metrics().find("egretturn_zones_evacuated 1\n") != std::string::npos);
  fixture.m_node->OnEvacuation("z1", false);
  fixture.m_node->OnEvacuation("z1", false); // a removal that was overtaken
  fixture.Run(milliseconds(500));
  CHECK(fixture.m_workers.m_starts.size() == 1);
}

// Guards earlier deployments: they have no such requests, and wait for nothing.
TEST_CASE("without a bound for evacuations a leader waits for no read and ignores requests")
{
  LeaderFixture fixture(false);
  fixture.m_node->OnEvacuation("z1", true);
  fixture.Submit(1);
  CHECK(fixture.m_workers.m_starts.size() == 1);
}
