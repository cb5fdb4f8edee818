// Tests that no route and no late work waits for as long as other work keeps coming.
#include "egretturn/Scheduler/QuotaFloors.h"

#include "SingleScheduler.h"

#include <catch2/catch.hpp>
#include <map>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string kService = "desk";
const std::string kUrgent = "urgent";
const std::string kPatient = "patient";
constexpr double kCores = 1000;

FloorCandidate
MakeCandidate(const std::string& aRoute, double aWork)
{
  FloorCandidate candidate;
  candidate.m_service = &kService;
  candidate.m_route = &aRoute;
  candidate.m_work = aWork;
  return candidate;
}

FloorCandidate
MakeLateCandidate(Duration aAge, double aWork)
{
  FloorCandidate candidate = MakeCandidate(kUrgent, aWork);
  candidate.m_tooLate = true;
  candidate.m_age = aAge;
  return candidate;
}

/// Calls QuotaFloors::SelectFirst() every 100 ms with the same steps.
class Passes
{
public:
  explicit Passes(const std::vector<FloorCandidate>& aWaiting)
    : m_waiting(aWaiting)
  {
  }

  std::vector<bool> Next()
  {
    m_now += milliseconds(100);
    return m_floors.SelectFirst(m_waiting, { { kService, m_cores } }, m_now);
  }

  /// Returns the core-seconds of step \p aStep that go first in \p aTime and start.
  double CountGuaranteed(size_t aStep, Duration aTime)
  {
    double started = 0;
    for (const Instant end = m_now + aTime; m_now < end;) {
      if (Next()[aStep]) {
        started += m_waiting[aStep].m_work;
        m_floors.Charge(m_waiting[aStep], m_waiting[aStep].m_work);
      }
    }
    return started;
  }

  std::vector<FloorCandidate> m_waiting;
  double m_cores = kCores;
  QuotaFloors m_floors;
  Instant m_now{ seconds(3600) };
};

} // namespace

// Answers a lasting overload by a route of a higher priority.
TEST_CASE("a route that nothing is started of gets its floor and no more")
{
  Passes passes({ MakeCandidate(kUrgent, 100), MakeCandidate(kPatient, 30) });
  const double started = passes.CountGuaranteed(1, seconds(60));
  CHECK(started >= 0.015 * kCores * 60);
  CHECK(started <= 0.03 * kCores * 60);
}

TEST_CASE("a route that is served beyond its floor does not go ahead of the order")
{
  Passes passes({ MakeCandidate(kUrgent, 100), MakeCandidate(kPatient, 30) });
  passes.Next();
  passes.m_floors.Charge(passes.m_waiting[0], 1000);
  CHECK_FALSE(passes.Next()[0]);
}

// Answers a route that was served well for hours, and then meets a burst of others.
TEST_CASE("what a route was served long ago does not count against its floor")
{
  Passes passes({ MakeCandidate(kUrgent, 100), MakeCandidate(kPatient, 30) });
  passes.Next();
  for (int i = 0; i < 1000; ++i) {
    passes.m_floors.Charge(passes.m_waiting[1], 1000);
  }
  CHECK(passes.CountGuaranteed(1, seconds(80)) > 0);
}

// Answers work that missed three objectives in a burst, behind timely work that keeps coming.
TEST_CASE("the oldest late work goes first, at the rate of its floor")
{
  Passes passes({ MakeCandidate(kUrgent, 100),
                  MakeLateCandidate(seconds(20), 50),
                  MakeLateCandidate(seconds(30), 50) });
  CHECK(passes.Next() == std::vector<bool>{ false, false, false }); // no credit yet
  CHECK(passes.Next()[2]);
  CHECK_FALSE(passes.Next()[1]);
  const double started = passes.CountGuaranteed(2, seconds(60));
  CHECK(started >= 0.003 * kCores * 60);
  CHECK(started <= 0.01 * kCores * 60);
}

// Answers long-running jobs that would take the floor of their route each time that one is lost.
TEST_CASE("long-running work has no floor")
{
  FloorCandidate lasting = MakeCandidate(kPatient, 100);
  lasting.m_longRunning = true;
  Passes passes({ lasting });
  CHECK(passes.CountGuaranteed(0, seconds(10)) == 0);
}

// Answers workers that report room that they don't have: what does not start costs nobody anything.
TEST_CASE("a step that goes first and fits nowhere is not charged, and its credit is limited")
{
  Passes passes({ MakeCandidate(kUrgent, 100), MakeCandidate(kPatient, 30) });
  for (int i = 0; i < 1000; ++i) {
    passes.Next();
  }
  const double atOnce = passes.CountGuaranteed(1, seconds(1));
  CHECK(atOnce <= 0.1 * kCores);
}

// Answers the loss of all workers of a service.
TEST_CASE("without available workers no floor accrues")
{
  Passes passes({ MakeCandidate(kPatient, 30) });
  passes.m_cores = 0;
  CHECK(passes.CountGuaranteed(0, seconds(10)) == 0);
}

namespace {

/// One worker of four cores, whose tasks take a second each.
class BusyWorker
{
public:
  explicit BusyWorker(Instant aNow)
    : m_now(aNow)
    , m_scheduler({}, 1, aNow)
  {
    m_scheduler.UpdateWorker(MakeReport("w", { 4000, 64000, 0 }), m_now);
    m_scheduler.OnDirectoryRead();
    Advance(seconds(2));
  }

  void Submit(GraphId aId)
  {
    GraphStep step;
    step.m_count = 1;
    step.m_demand = { 4000, 100, 0 };
    step.m_estimateMs = 1000;
    m_scheduler.Submit(aId, MakeSubmission(aId, step), m_now, NowMs());
  }

  void Advance(Duration aTime)
  {
    RunScheduler(m_scheduler, m_now, aTime, [this](const Action& aAction) { Execute(aAction); });
  }

  int64_t NowMs() const { return ToMillis(m_now.time_since_epoch()); }

  Instant m_now;
  Scheduler m_scheduler;
  std::map<GraphId, Instant> m_started;

private:
  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      m_started.emplace(start->m_task.m_job, m_now);
      m_running.push_back({ start->m_task, start->m_attempt, "", 10, 0 });
      m_startedAt = m_now;
      m_scheduler.OnStartResult(
        "w", start->m_task, start->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      m_scheduler.OnPollResponse("w", poll->m_number, MakeStatus(), m_now);
    }
  }

  WorkerStatus MakeStatus()
  {
    if (!m_running.empty() && m_now - m_startedAt >= seconds(1)) {
      EndedAttempt ended;
      ended.m_number = ++m_ends;
      ended.m_task = m_running.front().m_task;
      ended.m_attempt = m_running.front().m_attempt;
      m_ended.push_back(ended);
      m_running.clear();
    }
    WorkerStatus status;
    status.m_clockMs = NowMs();
    status.m_running = m_running;
    status.m_ended = m_ended;
    return status;
  }

  std::vector<RunningAttempt> m_running;
  std::vector<EndedAttempt> m_ended;
  uint64_t m_ends = 0;
  Instant m_startedAt;
};

} // namespace

// Answers an overload in which timely jobs never stop coming.
TEST_CASE("a job that is late beyond three objectives starts while timely jobs keep coming")
{
  BusyWorker worker(Instant(seconds(3600)));
  GraphId next = 100;
  for (int i = 0; i < 8; ++i) {
    worker.Submit(next++);
  }
  worker.Submit(kJob);
  for (int i = 0; i < 120; ++i) { // each second twice the jobs that the worker can do
    worker.Submit(next++);
    worker.Submit(next++);
    worker.Advance(seconds(1));
  }
  CHECK(worker.m_started.size() > 60);
  CHECK(worker.m_started.count(kJob) == 1);
}
