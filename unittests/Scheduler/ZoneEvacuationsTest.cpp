// Tests that nothing starts in a zone whose evacuation the operator has requested.
#include "ContactWorld.h"
#include "RandomFaults.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t kSeeds = 60;
constexpr int64_t kCapacity = 8000; // of a worker of ContactWorld

/// Two workers, "a" in zone "z1" and "b" in zone "z2".
class TwoZones : public ContactWorld
{
public:
  TwoZones()
  {
    Register("a", "z1");
    Register("b", "z2");
    Advance(seconds(1));
  }

  void Register(const WorkerName& aName, const std::string& aZone)
  {
    WorkerReport report;
    report.m_id = aName;
    report.m_service = "desk";
    report.m_address = kAddress;
    report.m_zone = aZone;
    report.m_capacity = { kCapacity, 64000, 0 };
    m_scheduler.UpdateWorker(report, m_now);
  }

  void Request(const std::string& aZone)
  {
    m_evacuations.OnRequest(aZone, m_now);
    m_scheduler.Workers().SetEvacuations(m_evacuations);
  }

  void Withdraw(const std::string& aZone)
  {
    m_evacuations.OnWithdrawal(aZone);
    m_scheduler.Workers().SetEvacuations(m_evacuations);
  }

  /// Starts the task of job \p aId on "a".
  void StartOnFirst(GraphId aId)
  {
    Request("z2");
    SubmitLongRunning(aId, 1000);
    Advance(milliseconds(500));
    Withdraw("z2");
    REQUIRE(m_running["a"].size() == aId);
  }

  ZoneEvacuations m_evacuations;
};

/// A world in which zones are evacuated at random. Each leader learns of a change at once.
class EvacuationWorld : public SchedulerWorld
{
public:
  using SchedulerWorld::SchedulerWorld;

  void ChangeZone()
  {
    const std::string zone = "z" + std::to_string(m_random.Below(2));
    if (m_evacuations.OnRequest(zone, Now()) == EvacuationChange::Repeated) {
      m_evacuations.OnWithdrawal(zone);
    }
    Apply();
  }

  void WithdrawAll()
  {
    m_evacuations = ZoneEvacuations();
    Apply();
  }

  const ZoneEvacuations& Evacuations() const { return m_evacuations; }

protected:
  std::shared_ptr<WorkerPort> MakeWorkerPort(const std::shared_ptr<Leader>& aLeader) override;

  /// Not all workers can take what could run.
  bool HasOtherFaults() override { return !m_evacuations.Zones().empty(); }

private:
  void Apply()
  {
    for (const std::shared_ptr<Leader>& leader : m_leaders) {
      leader->m_scheduler->Workers().SetEvacuations(m_evacuations);
    }
  }

  ZoneEvacuations m_evacuations;
};

/// Reports a start in an evacuated zone.
class CheckingPort : public WorkerPort
{
public:
  CheckingPort(EvacuationWorld& aWorld, std::shared_ptr<WorkerPort> aPort)
    : m_world(aWorld)
    , m_port(std::move(aPort))
  {
  }

  void Poll(const PollWorker& aPoll, uint64_t aFence, PollCallback aDone) override
  {
    m_port->Poll(aPoll, aFence, std::move(aDone));
  }

  void Start(const StartTask& aStart, uint64_t aFence, WorkerCallCallback aDone) override
  {
    if (m_world.Evacuations().StateOf(m_zones[aStart.m_worker]) != ZoneState::Open) {
      m_world.m_oracle.ReportViolation("a start in an evacuated zone: " +
                                       FormatTaskRef(aStart.m_task));
    }
    m_port->Start(aStart, aFence, std::move(aDone));
  }

  void Stop(const StopTask& aStop, uint64_t aFence, WorkerCallCallback aDone) override
  {
    m_port->Stop(aStop, aFence, std::move(aDone));
  }

  void Throttle(const ThrottleTask& aThrottle, uint64_t aFence, WorkerCallCallback aDone) override
  {
    m_port->Throttle(aThrottle, aFence, std::move(aDone));
  }

  void SetWorkerZone(const WorkerName& aWorker, const std::string& aZone) override
  {
    m_zones[aWorker] = aZone;
    m_port->SetWorkerZone(aWorker, aZone);
  }

  void RemoveWorker(const WorkerName& aWorker) override { m_port->RemoveWorker(aWorker); }

private:
  EvacuationWorld& m_world;
  std::shared_ptr<WorkerPort> m_port;
  std::map<WorkerName, std::string> m_zones;
};

std::shared_ptr<WorkerPort>
EvacuationWorld::MakeWorkerPort(const std::shared_ptr<Leader>& aLeader)
{
  aLeader->m_scheduler->Workers().SetEvacuations(m_evacuations);
  return std::make_shared<CheckingPort>(*this, MakeDirectPort(aLeader->m_caller));
}

} // namespace

TEST_CASE("requests to evacuate zones are kept by zone, and odd ones change nothing")
{
  ZoneEvacuations evacuations({ "z1", "z2" });
  const Instant now{ std::chrono::hours(1) };
  CHECK(evacuations.OnWithdrawal("z1") == EvacuationChange::NotInForce);
  CHECK(evacuations.OnRequest("z1", now) == EvacuationChange::Begun);
  CHECK(evacuations.OnRequest("z1", now + seconds(1)) == EvacuationChange::Repeated);
  CHECK(evacuations.Zones().at("z1") == now);
  CHECK(evacuations.OnRequest("z2", now) == EvacuationChange::Begun);
  CHECK(evacuations.OnWithdrawal("z1") == EvacuationChange::Ended);
  CHECK(evacuations.StateOf("z1") == ZoneState::Open);
  CHECK(evacuations.StateOf("z2") == ZoneState::Evacuated);
  CHECK(evacuations.OnWithdrawal("z1") == EvacuationChange::NotInForce);
  CHECK(evacuations.OnRequest("", now) == EvacuationChange::Invalid);
  CHECK(evacuations.OnWithdrawal("") == EvacuationChange::Invalid);
  CHECK(evacuations.StateOf("") == ZoneState::Open);
}

// Guards against a zone that is not evacuated since the settings do not name it, or a process that
// takes starts for allowed because it has read only a part of the requests.
TEST_CASE("a zone that the settings do not name is evacuated, and no zone is open before the read")
{
  ZoneEvacuations evacuations({ "z1" });
  evacuations.ExpectRead();
  CHECK(evacuations.OnRequest("z9", Instant()) == EvacuationChange::BegunUnknownZone);
  CHECK(evacuations.StateOf("z9") == ZoneState::Evacuated);
  CHECK(evacuations.StateOf("z1") == ZoneState::Unread);
  CHECK(evacuations.OnRead());
  CHECK_FALSE(evacuations.OnRead());
  CHECK(evacuations.StateOf("z1") == ZoneState::Open);
  CHECK(evacuations.StateOf("z9") == ZoneState::Evacuated);
}

TEST_CASE("nothing starts in an evacuated zone, and what runs there runs on")
{
  TwoZones world;
  world.StartOnFirst(1);
  world.Request("z1");
  for (GraphId id = 2; id <= 9; ++id) {
    world.SubmitLongRunning(id, 1000);
  }
  world.Advance(seconds(30)); // several leases
  CHECK(world.m_running["a"].size() == 1);
  CHECK(world.m_running["b"].size() == 8);
}

TEST_CASE("a task that ends or is lost in an evacuated zone starts elsewhere")
{
  TwoZones world;
  world.StartOnFirst(1);
  world.StartOnFirst(2);
  world.Request("z1");
  world.End("a", AttemptEnd::LeaseExpired); // after a failure it would avoid "a" anyway
  world.Advance(seconds(1));
  CHECK(world.m_running["b"].size() == 1);
  world.m_unreachable.insert("a");
  world.AdvancePastLeases();
  CHECK(world.m_running["b"].size() == 2);
}

// Guards against a gang that starts with members in the zone, and against one that never starts.
TEST_CASE(
  "a gang that needs workers of an evacuated zone starts whole after the zone is taken back")
{
  TwoZones world;
  world.Request("z1");
  Submission gang;
  gang.m_id = 1;
  gang.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
  GraphStep step;
  step.m_count = 2;
  step.m_gang = true;
  step.m_demand = { 5000, 1000, 0 };
  step.m_estimateMs = 60000;
  gang.m_graph.m_steps.push_back(step);
  world.m_scheduler.Submit(1, std::move(gang), world.m_now, 0);
  world.Advance(seconds(10));
  CHECK(world.m_running["a"].empty());
  CHECK(world.m_running["b"].empty());
  CHECK(world.m_scheduler.Counters().m_tasksEvacuated == 2);
  world.Withdraw("z1");
  world.Advance(seconds(1));
  CHECK(world.m_running["a"].size() == 1);
  CHECK(world.m_running["b"].size() == 1);
  CHECK(world.m_scheduler.Counters().m_tasksEvacuated == 0);
}

// Guards against the way past the usual choice: a task that has waited for long starts on an
// avoided worker, or on the one that may execute its earlier start.
TEST_CASE("no waiting task starts in an evacuated zone as a last resort")
{
  TwoZones world;
  world.m_scheduler.Workers().Find("a")->m_avoidUntil = world.m_now + std::chrono::hours(1);
  world.m_scheduler.Workers().Find("b")->m_avoidUntil = world.m_now + std::chrono::hours(1);
  world.Request("z1");
  world.SubmitLongRunning(1, 1000);
  world.SubmitLongRunning(2, kCapacity);
  world.Advance(seconds(10));
  CHECK(world.m_running["a"].empty());
  CHECK(world.m_running["b"].size() == 1);
}

TEST_CASE("a task whose start in a zone was lost before the evacuation starts elsewhere")
{
  TwoZones world;
  world.Request("z2");
  world.m_ordersLost.insert("a");
  world.SubmitLongRunning(1, 1000);
  world.Advance(milliseconds(100));
  world.Withdraw("z2");
  world.Request("z1");
  world.m_ordersLost.clear();
  world.Advance(seconds(30));
  CHECK(world.m_running["a"].empty());
  CHECK(world.m_running["b"].size() == 1);
}

TEST_CASE("a worker that is listed after the request, or moves to the zone, gets no start")
{
  TwoZones world;
  world.Request("z1");
  world.Register("c", "z1");
  world.Register("b", "z1");
  world.SubmitLongRunning(1, 1000);
  world.Advance(seconds(10));
  CHECK(world.m_running["b"].empty());
  CHECK(world.m_running["c"].empty());
  world.Register("c", "z3");
  world.Advance(seconds(1));
  CHECK(world.m_running["c"].size() == 1);
}

// Guards against a load that is taken for low, since a zone counts that takes nothing.
TEST_CASE("the workers of an evacuated zone count neither as free nor as reserved")
{
  TwoZones world;
  world.StartOnFirst(1);
  const Fleet& fleet = world.m_scheduler.Workers();
  CHECK(fleet.ReservedShare("desk") == Approx(1000.0 / (2 * kCapacity)).epsilon(0.01));
  world.Request("z1");
  CHECK(fleet.ReservedShare("desk") == Approx(0));
  world.Withdraw("z1");
  world.Request("z2");
  CHECK(fleet.ReservedShare("desk") == Approx(1000.0 / kCapacity).epsilon(0.01));
}

TEST_CASE("with both zones evacuated nothing starts, and each is taken back by itself")
{
  TwoZones world;
  world.Request("z1");
  world.Request("z2");
  world.SubmitLongRunning(1, 1000);
  world.Advance(seconds(10));
  CHECK(world.m_running["a"].empty());
  CHECK(world.m_running["b"].empty());
  CHECK(world.m_scheduler.Counters().m_tasksEvacuated == 1);
  world.Withdraw("z2");
  world.Advance(seconds(1));
  CHECK(world.m_running["b"].size() == 1);
}

// Guards against a start in an evacuated zone behind any of the faults: leaders that change, late
// calls, workers that are lost, restart or come back.
TEST_CASE("under random faults nothing starts in a zone while it is evacuated")
{
  for (uint64_t seed : ListSeeds(kSeeds, 4001)) {
    EvacuationWorld world(seed, 8);
    PlayRandomSteps(
      world, [&] { world.ChangeZone(); }, [&] { world.WithdrawAll(); });
    CheckViolations(world, seed);
  }
}
