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
