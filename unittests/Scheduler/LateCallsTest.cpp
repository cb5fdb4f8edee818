// Tests calls that arrive late at a worker that has restarted under its id: the new process knows
// neither what was stopped nor the fence that was raised before.
#include "ContactWorld.h"
#include "SingleScheduler.h"

#include "egretturn/Scheduler/Fence.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns whether \p aWorker runs a task of job \p aId.
static bool
IsRunning(ContactWorld& aWorld, const WorkerName& aWorker, GraphId aId)
{
  const std::vector<RunningAttempt>& running = aWorld.m_running[aWorker];
  return std::any_of(running.begin(), running.end(), [&](const RunningAttempt& aAttempt) {
    return aAttempt.m_task.m_job == aId;
  });
}

// Guards against a task that runs twice: its first start arrives at the process that was started
// after a crash (TWICE).
TEST_CASE("a late start is refused by a worker that is known to have restarted")
{
  ContactWorld world;
  world.m_incarnations["a"] = 1000;
  world.RegisterWithLostStart("a");
  world.m_ordersLost.clear();
  world.m_unreachable.insert("a");
  world.RegisterWorker("b");
  world.AdvancePastLeases();
  REQUIRE(IsRunning(world, "b", 1));

  world.m_unreachable.clear();
  world.Restart("a", 2000);
  world.Advance(seconds(2));
  REQUIRE(world.WorkerOf("a").m_incarnation == 2000);
  world.DeliverLateCalls();
  CHECK_FALSE(IsRunning(world, "a", 1));
  CHECK_FALSE(world.m_steppedDown);
}

// Guards against a task that runs twice: its first start, which the process before was told to
// stop, is executed by the next one while another worker runs the task (TWICE).
TEST_CASE("a task whose start got no response starts again where that start would be executed")
{
  const bool lasts = GENERATE(true, false);
  CAPTURE(lasts);
  ContactWorld world;
  world.m_incarnations["a"] = 1000;
  world.RegisterWorker("a", 1000);
  world.Advance(seconds(1));
  world.m_ordersLost.insert("a");
  if (lasts) {
    world.SubmitLongRunning(1, 5000);
  } else {
    world.SubmitOneMinute(1, 5000);
  }
  world.Advance(milliseconds(40));
  world.m_ordersLost.clear(); // the stop is confirmed
  world.RegisterWorker("b", 1000);
  world.Advance(seconds(3));
  CHECK(IsRunning(world, "a", 1));
  CHECK_FALSE(IsRunning(world, "b", 1));
}

/// Registers "a", on which the start of job 1 gets no response, and "b" once "a" is out of contact.
static void
CutOffAfterLostStart(ContactWorld& aWorld, bool aLasts)
{
  aWorld.RegisterWorker("a");
  aWorld.Advance(seconds(1));
  aWorld.m_ordersLost.insert("a");
  aWorld.m_pollsLost.insert("a");
  if (aLasts) {
    aWorld.SubmitLongRunning(1, 5000);
  } else {
    aWorld.SubmitOneMinute(1, 5000);
  }
  aWorld.Advance(milliseconds(500));
  aWorld.RegisterWorker("b");
  const Instant leaseEnd = aWorld.WorkerOf("a").m_leaseExpiresAt;
  while (aWorld.m_now < leaseEnd + milliseconds(100)) {
    aWorld.Advance(aWorld.m_tickInterval);
  }
}

static void
HealCut(ContactWorld& aWorld)
{
  aWorld.m_ordersLost.clear();
  aWorld.m_pollsLost.clear();
}

// Guards against a task that runs twice: its worker executes the start after the end of the lease
// that the start was to grant, right after contact is back (TWICE).
TEST_CASE("a start that is executed after the end of its lease is found before the next one")
{
  ContactWorld world;
  CutOffAfterLostStart(world, false);
  HealCut(world);
  world.Advance(milliseconds(200));
  world.DeliverLateCalls();
  for (int i = 0; i < 30; ++i) {
    world.Advance(milliseconds(100));
    CHECK((IsRunning(world, "a", 1) ? 1 : 0) + (IsRunning(world, "b", 1) ? 1 : 0) <= 1);
  }
  CHECK(world.WorkerOf("a").m_attempts.size() == 1);
}

// Guards against a late start beside the next one on the same worker: the stop that prevents it has
// to be confirmed first.
TEST_CASE("a task starts where its last start got no response only after that start was stopped")
{
  ContactWorld world;
  CutOffAfterLostStart(world, false);
  world.m_scheduler.DeregisterWorker("b", world.m_now);
  HealCut(world);
  world.Advance(seconds(2));
  REQUIRE(world.m_running["a"].size() == 1);
  world.DeliverLateCalls();
  CHECK(world.m_running["a"].size() == 1);
}

// Guards against a task that waits for a worker that stays out of contact, while nothing else of
// its job runs (LOST).
TEST_CASE("a task starts elsewhere if the worker of its unanswered start stays out of contact")
{
  const bool lasts = GENERATE(true, false);
  CAPTURE(lasts);
  ContactWorld world;
  CutOffAfterLostStart(world, lasts);
  world.Advance(seconds(2));
  CHECK(IsRunning(world, "b", 1));
}

// Guards against a task that waits for a worker that is in contact but confirms no stop (LOST).
TEST_CASE("a task starts elsewhere if the stop of its unanswered start is not confirmed")
{
  const bool lasts = GENERATE(true, false);
  CAPTURE(lasts);
  ContactWorld world;
  CutOffAfterLostStart(world, lasts);
  world.m_pollsLost.clear();
  world.Advance(seconds(4));
  CHECK(IsRunning(world, "b", 1));
}

// Guards against a task that waits for a worker that may execute its start late, while nothing
// else of its job runs (LOST).
TEST_CASE("a task starts elsewhere if the worker that may execute its start late has no room")
{
  const bool lasts = GENERATE(true, false);
  CAPTURE(lasts);
  ContactWorld world;
  world.m_incarnations["a"] = 1000;
  world.RegisterWorker("a", 1000);
  world.Advance(seconds(1));
  world.m_ordersLost.insert("a");
  if (lasts) {
    world.SubmitLongRunning(1, 5000);
  } else {
    world.SubmitOneMinute(1, 5000);
  }
  world.Advance(milliseconds(40));
  world.m_ordersLost.clear();
  world.RegisterWorker("a", 1000, ContactWorld::kAddress, true); // it drains
  world.RegisterWorker("b", 1000);
  world.Advance(seconds(3));
  CHECK(IsRunning(world, "b", 1));
}

namespace {

/// A leader with the worker "w" of incarnation 1, and the calls that it makes.
class RestartWorld
{
public:
  RestartWorld()
    : m_scheduler(SchedulerLimits(), kEpoch, m_now)
  {
    m_scheduler.RestoreWorker(MakeReport("w"), m_now);
    m_scheduler.UpdateWorker(MakeReport("w"), m_now);
    m_scheduler.OnDirectoryRead();
    GraphStep step;
    step.m_count = 1;
    step.m_demand = { 1000, 500, 0 };
    step.m_estimateMs = 60000;
    m_scheduler.Submit(1, MakeSubmission(kJob, step), m_now, ToMillis(m_now.time_since_epoch()));
    Advance(milliseconds(100));
    Respond(1);
    Advance(milliseconds(100));
    REQUIRE(m_starts.size() == 1);
  }

  void Advance(Duration aTime)
  {
    RunScheduler(m_scheduler, m_now, aTime, [this](const Action& aAction) { Execute(aAction); });
  }

  /// Answers the poll in flight: a process of \p aIncarnation runs nothing, and lists \p aEnded.
  void Respond(int64_t aIncarnation, std::vector<EndedAttempt> aEnded = {})
  {
    WorkerStatus status;
    status.m_ended = std::move(aEnded);
    status.m_clockMs = 1000;
    status.m_incarnation = aIncarnation;
    m_scheduler.OnPollResponse("w", m_polls.back().m_number, status, m_now);
    ExecuteActions();
  }

  /// Lets the poll in flight get no response.
  void LosePoll()
  {
    m_scheduler.OnPollFailed("w", m_polls.back().m_number, WorkerCallResult::NoResponse, m_now);
    Advance(seconds(1));
  }

  void ExecuteActions()
  {
    for (const Action& action : m_scheduler.TakeActions()) {
      Execute(action);
    }
  }

  void AnswerStart(WorkerCallResult aResult)
  {
    const StartTask start = m_starts.back();
    m_scheduler.OnStartResult("w", start.m_task, start.m_attempt, aResult, m_now);
    ExecuteActions();
  }

  static constexpr uint64_t kEpoch = 1;
  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler;
  std::vector<StartTask> m_starts;
  std::vector<PollWorker> m_polls;
  bool m_steppedDown = false;

private:
  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      m_starts.push_back(*start);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      m_polls.push_back(*poll);
    } else if (std::holds_alternative<StepDown>(aAction)) {
      m_steppedDown = true;
    }
  }
};

} // namespace

// Guards against a decision by a response before which late calls may still arrive: the task was
// started again although its first start was executed a moment later.
TEST_CASE("the first response after a restart decides nothing, and is followed by a higher fence")
{
  RestartWorld world;
  world.AnswerStart(WorkerCallResult::Accepted);
  world.Advance(seconds(2));
  REQUIRE(world.m_polls.back().m_fence == RestartWorld::kEpoch);
  const size_t polls = world.m_polls.size();
  world.Respond(2);
  CHECK(world.m_starts.size() == 1);
  REQUIRE(world.m_polls.size() == polls + 1); // at once
  CHECK(world.m_polls.back().m_fence == RestartWorld::kEpoch + 1);
  CHECK(world.m_polls.back().m_acknowledged == 0);
  CHECK(world.m_scheduler.Workers().Find("w")->m_attempts.size() == 1);

  world.Respond(2);
  world.Advance(milliseconds(500));
  REQUIRE(world.m_starts.size() == 2);
  CHECK(world.m_starts.back().m_fence == RestartWorld::kEpoch + 1);
}

// Guards against a task that starts again although it is done: a late poll, which acknowledged ends
// of the process before a restart, made the new one forget ends that nobody had read.
TEST_CASE("a poll that acknowledged ends before a restart has a lower fence than those after it")
{
  RestartWorld world;
  world.AnswerStart(WorkerCallResult::Accepted);
  world.Advance(milliseconds(100));
  world.Respond(1, { { 1, kFirstTask, 1, AttemptEnd::Failed, "" } });
  world.Advance(milliseconds(500));
  for (int i = 0; i < 5 && world.m_polls.back().m_acknowledged == 0; ++i) {
    world.Respond(1, { { 1, kFirstTask, 1, AttemptEnd::Failed, "" } });
    world.Advance(milliseconds(500));
  }
  const PollWorker late = world.m_polls.back();
  REQUIRE(late.m_acknowledged == 1);
  world.LosePoll();
  world.Respond(2);
  CHECK(world.m_polls.back().m_fence > late.m_fence);
}

// Guards against a task that runs twice: a call that was meant for the process before a restart
// gave the new one a lease that ends later than the leader believes, and then it was cut off.
TEST_CASE("leases on a restarted worker count from its response to the raised fence")
{
  RestartWorld world;
  world.AnswerStart(WorkerCallResult::NoResponse); // a lease that is not extended any more
  world.Advance(seconds(2));
  const Fleet& workers = world.m_scheduler.Workers();
  world.Respond(2);
  CHECK(workers.Find("w")->m_leaseExpiresAt >= workers.LatestLeaseExpiry(world.m_now));
  world.Advance(seconds(1)); // the late start may arrive until the poll is answered
  world.Respond(2);
  CHECK(workers.Find("w")->m_leaseExpiresAt >= workers.LatestLeaseExpiry(world.m_now));
}

// Guards against a leader that takes the refusal of its own late call for a successor's fence.
TEST_CASE("a start that is refused because of the leader's own raised fence is no reason to stop")
{
  RestartWorld world;
  world.Advance(seconds(1));
  world.Respond(2);
  world.AnswerStart(WorkerCallResult::Fenced);
  CHECK_FALSE(world.m_steppedDown);
  world.Respond(2);
  world.Advance(seconds(1));
  CHECK(world.m_starts.size() == 2);

  // A poll with the raised fence tells of a successor all the same.
  world.Advance(seconds(1));
  world.m_scheduler.OnPollFailed(
    "w", world.m_polls.back().m_number, WorkerCallResult::Fenced, world.m_now);
  world.ExecuteActions();
  CHECK(world.m_steppedDown);
}

// Guards against a leader that is fenced by a worker of its own, which it had forgotten.
TEST_CASE("a worker that was removed and comes back gets calls with the fence that it knows")
{
  Fleet fleet{ LeaseLimits() };
  const Instant now{ std::chrono::hours(1) };
  fleet.Update(MakeReport("w"), now);
  fleet.Find("w")->m_restarts = 2;
  fleet.Erase("w");
  fleet.Update(MakeReport("w"), now);
  CHECK(fleet.Find("w")->m_restarts == 2);
}

TEST_CASE("the fences of an epoch are lower than those of the next one")
{
  for (const uint64_t restarts : { uint64_t{ 0 }, uint64_t{ 1 }, kFencesPerEpoch, UINT64_MAX }) {
    CHECK(FenceOf(1, restarts) >= 1);
    CHECK(FenceOf(1, restarts) < NextEpoch(1));
  }
  CHECK(FenceOf(1, 1) > FenceOf(1, 0));
  CHECK(NextEpoch(0) == 1);
}
