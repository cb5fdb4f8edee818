// Workers that turn slow or hang while they look healthy.
#include "egretturn/Scheduler/Scheduler.h"
#include "egretturn/Scheduler/SlownessModel.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;

TEST_CASE("a worker whose runs take several times as long is slow")
{
  const RunProgress sound{ milliseconds(1000), milliseconds(1700), 55 };
  const RunProgress slowed{ milliseconds(1000), milliseconds(1700), 9 };
  TypicalPace typical;
  for (int i = 0; i < 100; ++i) {
    typical.Note(SlownessOf(sound));
  }
  CHECK_FALSE(typical.IsSlow({ SlownessOf(sound), SlownessOf(sound) }));
  CHECK_FALSE(typical.IsSlow({ SlownessOf(slowed) })); // one run may simply be long
  CHECK_FALSE(typical.IsSlow({ SlownessOf(sound), SlownessOf(slowed) }));
  CHECK(typical.IsSlow({ SlownessOf(slowed), SlownessOf(slowed), SlownessOf(slowed) }));
}

TEST_CASE("expectations that are off for all runs make no worker slow")
{
  const RunProgress off{ milliseconds(1000), milliseconds(200), 50 };
  TypicalPace typical;
  for (int i = 0; i < 400; ++i) {
    typical.Note(SlownessOf(off));
  }
  CHECK_FALSE(typical.IsSlow({ SlownessOf(off), SlownessOf(off) }));
}

TEST_CASE("a run that has just begun tells nothing")
{
  CHECK_FALSE(IsTelling({ milliseconds(100), milliseconds(1700), 0 }));
  CHECK(IsTelling({ milliseconds(1000), milliseconds(1700), 0 }));
}

namespace {

/// Two workers, of which one carries out nothing that it has started.
struct HangingFleet
{
  HangingFleet()
    : m_scheduler(SchedulerLimits(), 1, m_now)
  {
    for (const char* name : { "hangs", "sound" }) {
      WorkerReport report;
      report.m_id = name;
      report.m_service = "desk";
      report.m_address = "10.0.0.1:80";
      report.m_capacity = { 16000, 64000, 0 };
      m_scheduler.UpdateWorker(report, m_now);
    }
    m_scheduler.OnDirectoryRead();
  }

  void Submit()
  {
    Submission submission;
    submission.m_id = 1;
    submission.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
    GraphStep step;
    step.m_count = 8;
    step.m_demand = { 2000, 1000, 0 };
    step.m_estimateMs = 1000;
    step.m_bestEffort = true;
    submission.m_graph.m_steps.push_back(step);
    m_scheduler.Submit(1, submission, m_now, 0);
  }

  void Advance()
  {
    m_now += milliseconds(20);
    m_scheduler.Tick(m_now, ToMillis(m_now.time_since_epoch()));
    for (const Action& action : m_scheduler.TakeActions()) {
      Carry(action);
    }
    for (std::pair<const std::string, WorkerStatus>& viewEntry : m_views) {
      const std::string& worker = viewEntry.first;
      WorkerStatus& view = viewEntry.second;
      for (RunningAttempt& row : view.m_running) {
        row.m_percent += worker == "hangs" ? 0 : 2;
      }
    }
  }

  void Carry(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      m_views[start->m_worker].m_running.push_back(
        { start->m_task, start->m_attempt, "", 0, 2000 });
      m_scheduler.OnStartResult(
        start->m_worker, start->m_task, start->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const StopTask* stop = std::get_if<StopTask>(&aAction)) {
      End(m_views[stop->m_worker], stop->m_task, AttemptEnd::Stopped);
      m_scheduler.OnStopResult(
        stop->m_worker, stop->m_task, stop->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const PollWorker* look = std::get_if<PollWorker>(&aAction)) {
      WorkerStatus& view = m_views[look->m_worker];
      const std::vector<RunningAttempt> rows = view.m_running;
      for (const RunningAttempt& row : rows) {
        if (row.m_percent >= 100) {
          End(view, row.m_task, AttemptEnd::Done);
        }
      }
      view.m_clockMs = ToMillis(m_now.time_since_epoch());
      m_scheduler.OnPollResponse(look->m_worker, look->m_number, view, m_now);
    }
  }

  static void End(WorkerStatus& aView, const TaskRef& aTask, AttemptEnd aEnd)
  {
    std::vector<RunningAttempt>& running = aView.m_running;
    const auto it = std::find_if(running.begin(), running.end(), [&](const RunningAttempt& aRow) {
      return aRow.m_task == aTask;
    });
    if (it != running.end()) {
      aView.m_ended.push_back({ aView.m_ended.size() + 1, aTask, it->m_attempt, aEnd, "" });
      running.erase(it);
    }
  }

  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler;
  std::map<std::string, WorkerStatus> m_views;
};

} // namespace

TEST_CASE("runs that stand still are started again elsewhere")
{
  HangingFleet fleet;
  fleet.Submit();
  const Instant from = fleet.m_now;
  while (fleet.m_now < from + std::chrono::seconds(8) &&
         fleet.m_scheduler.StateOf(1) != JobState::Done) {
    fleet.Advance();
  }
  CHECK(fleet.m_scheduler.StateOf(1) == JobState::Done);
}
