// A serving task that stays over its target gets relief, whatever was learned of its neighbours.
#include "egretturn/Scheduler/Scheduler.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;

static Submission
MakeJob(GraphId aId, bool aServing)
{
  Submission submission;
  submission.m_id = aId;
  submission.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
  GraphStep step;
  step.m_demand = { 2000, 1000, 0 };
  step.m_estimateMs = 60000;
  step.m_image = aServing ? "serving" : "filling";
  step.m_lasting = aServing;
  step.m_targetMs = aServing ? 18 : 0;
  step.m_fills = !aServing;
  submission.m_graph.m_steps.push_back(step);
  return submission;
}

TEST_CASE("a serving task over its target halts what fills beside it within the bound")
{
  static constexpr Duration kBound = std::chrono::seconds(4);
  Instant now(std::chrono::hours(1));
  Scheduler scheduler(SchedulerLimits(), 1, now);
  WorkerReport report;
  report.m_id = "w";
  report.m_service = "desk";
  report.m_address = "10.0.0.1:80";
  report.m_capacity = { 16000, 64000, 0 };
  scheduler.UpdateWorker(report, now);
  scheduler.DirectoryComplete();
  scheduler.Submit(1, MakeJob(1, true), now, 0);
  scheduler.Submit(2, MakeJob(2, false), now, 0);

  std::vector<RunningRow> running;
  std::optional<Instant> pressedSince;
  std::optional<Duration> haltedAfter;
  for (int i = 0; i < 600 && !haltedAfter; ++i) {
    now += milliseconds(10);
    scheduler.Tick(now, ToMillis(now.time_since_epoch()));
    for (const Action& action : scheduler.TakeActions()) {
      if (const AppendRecords* append = std::get_if<AppendRecords>(&action)) {
        scheduler.OnAppended(append->m_batch, now);
      } else if (const StartTask* start = std::get_if<StartTask>(&action)) {
        const int64_t usage = start->m_task.m_job == 1 ? 40 : 2000; // over the target of 18
        running.push_back({ start->m_task, start->m_run, "", 50, usage });
        scheduler.OnStart("w", start->m_task, start->m_run, OrderResult::Accepted, now);
      } else if (const LookAtWorker* look = std::get_if<LookAtWorker>(&action)) {
        WorkerView view;
        view.m_clockMs = ToMillis(now.time_since_epoch());
        view.m_running = running;
        scheduler.OnLook("w", look->m_number, view, now);
        pressedSince = running.size() == 2 && !pressedSince ? now : pressedSince;
      } else if (const PaceTask* pace = std::get_if<PaceTask>(&action)) {
        if (pace->m_percent == 0) {
          haltedAfter = now - *pressedSince;
        }
      }
    }
  }
  REQUIRE(haltedAfter);
  CHECK(*haltedAfter < kBound - std::chrono::seconds(1)); // the tail takes a while to come down
}

TEST_CASE("nothing that fills starts beside a serving task that is near its target")
{
  Instant now(std::chrono::hours(1));
  Scheduler scheduler(SchedulerLimits(), 1, now);
  WorkerReport report;
  report.m_id = "w";
  report.m_service = "desk";
  report.m_address = "10.0.0.1:80";
  report.m_capacity = { 16000, 64000, 0 };
  scheduler.UpdateWorker(report, now);
  scheduler.DirectoryComplete();
  scheduler.Submit(1, MakeJob(1, true), now, 0);

  std::vector<RunningRow> running;
  int fillStarts = 0;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(10);
    if (i == 50) {
      scheduler.Submit(2, MakeJob(2, false), now, 0);
    }
    scheduler.Tick(now, ToMillis(now.time_since_epoch()));
    for (const Action& action : scheduler.TakeActions()) {
      if (const AppendRecords* append = std::get_if<AppendRecords>(&action)) {
        scheduler.OnAppended(append->m_batch, now);
      } else if (const StartTask* start = std::get_if<StartTask>(&action)) {
        fillStarts += start->m_task.m_job == 2 ? 1 : 0;
        running.push_back({ start->m_task, start->m_run, "", 50, 16 }); // the target is 18
        scheduler.OnStart("w", start->m_task, start->m_run, OrderResult::Accepted, now);
      } else if (const LookAtWorker* look = std::get_if<LookAtWorker>(&action)) {
        WorkerView view;
        view.m_clockMs = ToMillis(now.time_since_epoch());
        view.m_running = running;
        scheduler.OnLook("w", look->m_number, view, now);
      }
    }
  }
  CHECK(fillStarts == 0);
}
