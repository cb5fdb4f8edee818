// What a successor has to wait for.
#include "egretturn/Scheduler/Scheduler.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;

static WorkerReport
MakeReport(const WorkerName& aName)
{
  WorkerReport report;
  report.m_id = aName;
  report.m_service = "desk";
  report.m_address = "10.0.0.1:80";
  report.m_capacity = { 16000, 64000, 0 };
  return report;
}

/// Lets \p aTime pass with workers that answer at once and run nothing. Returns what was written.
static std::vector<KeyedRecord>
Advance(Scheduler& aScheduler, Instant& aNow, Duration aTime)
{
  std::vector<KeyedRecord> written;
  for (const Instant end = aNow + aTime; aNow < end; aNow += milliseconds(20)) {
    aScheduler.Tick(aNow, ToMillis(aNow.time_since_epoch()));
    for (const Action& action : aScheduler.TakeActions()) {
      if (const AppendRecords* append = std::get_if<AppendRecords>(&action)) {
        written.insert(written.end(), append->m_records.begin(), append->m_records.end());
        aScheduler.OnAppended(append->m_batch, aNow);
      } else if (const LookAtWorker* look = std::get_if<LookAtWorker>(&action)) {
        aScheduler.OnLook(look->m_worker, look->m_number, WorkerView(), aNow);
      }
    }
  }
  return written;
}

TEST_CASE("an idle worker that has left is forgotten at once, so that no successor waits for it")
{
  Instant now(std::chrono::hours(1));
  Scheduler scheduler(SchedulerLimits(), 1, now);
  scheduler.UpdateWorker(MakeReport("w"), now);
  scheduler.DirectoryComplete();
  Advance(scheduler, now, milliseconds(500));
  scheduler.UnlistWorker("w", now);
  const std::vector<KeyedRecord> written = Advance(scheduler, now, milliseconds(500));
  REQUIRE(written.size() == 1);
  CHECK(written[0].m_key == WorkerKey("w"));
  CHECK(written[0].m_value.empty());
}

TEST_CASE("a task that an earlier epoch has halted is resumed step by step")
{
  Instant now(std::chrono::hours(1));
  Scheduler scheduler(SchedulerLimits(), 2, now);
  StoredJob stored;
  stored.m_id = 7;
  stored.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
  GraphStep step;
  step.m_demand = { 2000, 1000, 0 };
  step.m_estimateMs = 60000;
  step.m_image = "filling";
  step.m_fills = true;
  stored.m_graph.m_steps.push_back(step);
  scheduler.RestoreJob(stored, now, 0);
  scheduler.RestoreWorker(MakeReport("w"), now);
  scheduler.UpdateWorker(MakeReport("w"), now);
  scheduler.DirectoryComplete();

  WorkerView view;
  view.m_running.push_back({ { 7, 0, 0, 0 }, 1, "", 40, 0 }); // it uses nothing
  std::vector<int> paces;
  for (int i = 0; i < 300; ++i, now += milliseconds(20)) {
    scheduler.Tick(now, ToMillis(now.time_since_epoch()));
    for (const Action& action : scheduler.TakeActions()) {
      if (const LookAtWorker* look = std::get_if<LookAtWorker>(&action)) {
        scheduler.OnLook("w", look->m_number, view, now);
      } else if (const PaceTask* pace = std::get_if<PaceTask>(&action)) {
        paces.push_back(pace->m_percent);
      }
    }
  }
  REQUIRE_FALSE(paces.empty());
  CHECK(paces.front() < 50); // what presses a serving task shows before it is at full speed
  CHECK(paces.back() == 100);
}
