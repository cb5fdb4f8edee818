// Tests when a start is put off for a place near the data or the group of its task, above all while
// many jobs want the same rack.
#include "SingleScheduler.h"

#include "egretturn/Scheduler/PlaceWait.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const Instant kNow{ std::chrono::hours(1) };
static const std::string kService = "desk";

TEST_CASE("a wait pays while it takes less than what the task loses elsewhere")
{
  PlaceWait wait{ 2.0, seconds(1), Duration::zero(), milliseconds(900) };
  CHECK(DoesWaitPay(wait));
  wait.m_nextPlace = milliseconds(1000);
  CHECK_FALSE(DoesWaitPay(wait));
  wait.m_nextPlace = milliseconds(300);
  wait.m_waited = milliseconds(600);
  CHECK(DoesWaitPay(wait));
  wait.m_waited = milliseconds(700); // also if the place is always expected soon
  CHECK_FALSE(DoesWaitPay(wait));
  wait.m_waited = Duration::zero();
  wait.m_nextPlace.reset();
  CHECK_FALSE(DoesWaitPay(wait));
  wait.m_nextPlace = Duration::zero();
  wait.m_farFactor = 1.0;
  CHECK_FALSE(DoesWaitPay(wait));
}

namespace {

/// Workers of four cores, one a rack, and the request of a task that prefers one of the racks.
struct Racks
{
  Racks()
  {
    m_step.m_count = 8;
    m_step.m_demand = { 2000, 1000, 0 };
    m_step.m_dataRack = "r1";
    m_request.m_step = &m_step;
    m_request.m_service = &kService;
    m_request.m_farFactor = 2;
  }

  Worker& Add(const std::string& aRack)
  {
    WorkerReport report = MakeReport("w" + aRack, { 4000, 64000, 0 });
    report.m_rack = aRack;
    m_fleet.Update(report, kNow);
    Worker& worker = *m_fleet.Find(report.m_id);
    m_workers.push_back(&worker);
    return worker;
  }

  AttemptState& Occupy(Worker& aWorker, uint16_t aIndex, int64_t aCpu, std::optional<Duration> aEnd)
  {
    AttemptState attempt;
    attempt.m_attempt = 1;
    attempt.m_demand = { aCpu, 1000, 0 };
    attempt.m_phase = AttemptPhase::Running;
    if (aEnd) {
      attempt.m_expectedEndAt = kNow + *aEnd;
    }
    return m_fleet.AddAttempt(aWorker, { 9, 0, 0, aIndex }, attempt);
  }

  NearPlaces Places(size_t aTaken = 0) { return { m_workers, m_request, aTaken, kNow }; }

  Fleet m_fleet{ LeaseLimits() };
  GraphStep m_step;
  PlacementRequest m_request;
  std::vector<Worker*> m_workers;
};

} // namespace

TEST_CASE("near places are expected when runs have left enough room, the soonest first")
{
  Racks racks;
  Worker& near = racks.Add("r1");
  racks.Occupy(near, 0, 1000, seconds(1));
  racks.Occupy(near, 1, 1000, seconds(2));
  racks.Occupy(near, 2, 2000, seconds(5));
  Worker& far = racks.Add("r2");
  racks.Occupy(far, 3, 4000, milliseconds(10));
  NearPlaces places = racks.Places();
  REQUIRE(places.Next() == Duration(seconds(2)));
  places.Take();
  REQUIRE(places.Next() == Duration(seconds(5)));
  places.Take();
  CHECK_FALSE(places.Next());
}

// The load of many jobs that want one rack: only as many wait as places come.
TEST_CASE("places that other tasks wait for are not expected again")
{
  Racks racks;
  Worker& near = racks.Add("r1");
  racks.Occupy(near, 0, 2000, seconds(1));
  racks.Occupy(near, 1, 2000, seconds(3));
  CHECK(racks.Places(1).Next() == Duration(seconds(3)));
  CHECK_FALSE(racks.Places(2).Next());
}

TEST_CASE("what does not end in known time leaves no place")
{
  Racks racks;
  Worker& near = racks.Add("r1");
  racks.Occupy(near, 0, 2000, std::nullopt); // found by a new leader
  racks.Occupy(near, 1, 2000, seconds(1)).m_longRunning = true;
  CHECK_FALSE(racks.Places().Next());
}

TEST_CASE("an overdue run is expected to last as long again as it is overdue")
{
  Racks racks;
  Worker& near = racks.Add("r1");
  racks.Occupy(near, 0, 4000, milliseconds(-400));
  CHECK(racks.Places().Next() == Duration(milliseconds(400)));
}

TEST_CASE("a task that ends goes to a near worker with room, a long-running one anywhere")
{
  Racks racks;
  Worker& near = racks.Add("r1");
  Worker& far = racks.Add("r2");
  racks.Occupy(near, 0, 1000, seconds(60));
  CHECK(ScoreOf(near, racks.m_request) > ScoreOf(far, racks.m_request));
  CHECK(IsFar(far, racks.m_request));
  racks.m_step.m_longRunning = true;
  CHECK_FALSE(IsFar(far, racks.m_request));
}

namespace {

/// A leader with a worker on each of two racks. The one on "r1" is full until a run of a second
/// ends there.
class RackWorld
{
public:
  explicit RackWorld(double aFarFactor)
    : m_scheduler(MakeLimits(aFarFactor), 1, m_now)
  {
    Register("near", "r1");
    m_scheduler.OnDirectoryRead();
    Advance(milliseconds(200));
    Submit(kFirst, 1, 16000, 1000);
    Advance(milliseconds(100));
    REQUIRE(m_startedOn[kFirst] == std::vector<WorkerName>{ "near" });
    Register("far", "r2");
    Advance(milliseconds(200));
  }

  void Submit(GraphId aId, uint32_t aTasks, int64_t aCpu, int64_t aMs)
  {
    GraphStep step;
    step.m_count = aTasks;
    step.m_demand = { aCpu, 100, 0 };
    step.m_estimateMs = aMs;
    step.m_dataRack = "r1";
    m_scheduler.Submit(aId, MakeSubmission(aId, step), m_now, ToMillis(m_now.time_since_epoch()));
  }

  void EndFirst()
  {
    m_running["near"].clear();
    m_ended["near"].push_back({ 1, { kFirst, 0, 0, 0 }, 1, AttemptEnd::Done, "" });
    Advance(milliseconds(100));
  }

  void Advance(Duration aTime)
  {
    RunScheduler(m_scheduler, m_now, aTime, [this](const Action& aAction) { Execute(aAction); });
  }

  static constexpr GraphId kFirst = 1;
  Instant m_now{ kNow };
  Scheduler m_scheduler;
  std::map<GraphId, std::vector<WorkerName>> m_startedOn;

private:
  static SchedulerLimits MakeLimits(double aFarFactor)
  {
    SchedulerLimits limits;
    limits.m_farFactor = aFarFactor;
    return limits;
  }

  void Register(const WorkerName& aName, const std::string& aRack)
  {
    WorkerReport report = MakeReport(aName);
    report.m_rack = aRack;
    m_scheduler.UpdateWorker(report, m_now);
  }

  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      m_startedOn[start->m_task.m_job].push_back(start->m_worker);
      m_running[start->m_worker].push_back({ start->m_task, start->m_attempt, "", 10, 0 });
      m_scheduler.OnStartResult(
        start->m_worker, start->m_task, start->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      WorkerStatus status;
      status.m_clockMs = ToMillis(m_now.time_since_epoch());
      status.m_running = m_running[poll->m_worker];
      status.m_ended = m_ended[poll->m_worker];
      m_scheduler.OnPollResponse(poll->m_worker, poll->m_number, status, m_now);
    }
  }

  std::map<WorkerName, std::vector<RunningAttempt>> m_running;
  std::map<WorkerName, std::vector<EndedAttempt>> m_ended;
};

using Names = std::vector<WorkerName>;

} // namespace

TEST_CASE("a long task waits for its rack, and starts there")
{
  RackWorld world(2.0);
  world.Submit(2, 1, 8000, 5000);
  world.Advance(milliseconds(300));
  CHECK(world.m_startedOn[2].empty());
  CHECK(world.m_scheduler.Counters().m_startsPutOff == 1);
  world.EndFirst();
  CHECK(world.m_startedOn[2] == Names{ "near" });
}

TEST_CASE("a short task starts elsewhere at once, and so does any if nearness does not matter")
{
  RackWorld world(2.0);
  world.Submit(2, 1, 8000, 100);
  world.Advance(milliseconds(200));
  CHECK(world.m_startedOn[2] == Names{ "far" });
  RackWorld other(1.0);
  other.Submit(2, 1, 8000, 5000);
  other.Advance(milliseconds(200));
  CHECK(other.m_startedOn[2] == Names{ "far" });
}

// The load of many jobs that want one rack.
TEST_CASE("of many tasks that want one rack only as many wait as places come there")
{
  RackWorld world(2.0);
  world.Submit(2, 1, 8000, 5000);
  world.Submit(3, 1, 8000, 5000);
  world.Submit(4, 1, 8000, 5000);
  world.Advance(milliseconds(300));
  CHECK(world.m_scheduler.Counters().m_startsPutOff == 2);
  const size_t started =
    world.m_startedOn[2].size() + world.m_startedOn[3].size() + world.m_startedOn[4].size();
  CHECK(started == 1);
}

// Guards against a job that has nothing running although there is room (LOST).
TEST_CASE("a job of which nothing runs waits no longer than an idle job may")
{
  RackWorld world(100.0);
  world.Submit(2, 1, 8000, 5000);
  world.Advance(seconds(1));
  CHECK(world.m_startedOn[2].empty());
  world.Advance(seconds(1));
  CHECK(world.m_startedOn[2] == Names{ "far" });
}

TEST_CASE("a task starts elsewhere once the worker that it waits for is gone")
{
  RackWorld world(2.0);
  world.Submit(2, 1, 8000, 5000);
  world.Advance(milliseconds(200));
  REQUIRE(world.m_startedOn[2].empty());
  world.m_scheduler.DeregisterWorker("near", world.m_now);
  world.Advance(milliseconds(500));
  CHECK(world.m_startedOn[2] == Names{ "far" });
}
