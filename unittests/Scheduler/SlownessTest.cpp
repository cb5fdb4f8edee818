// Tests the detection of workers that become slow or hang while they look healthy.
#include "egretturn/Scheduler/Scheduler.h"
#include "egretturn/Scheduler/SlownessModel.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;

TEST_CASE("a worker whose attempts take several times as long is slow")
{
  const AttemptProgress healthy{ milliseconds(1000), milliseconds(1700), 55 };
  const AttemptProgress slowed{ milliseconds(1000), milliseconds(1700), 9 };
  SlownessModel model;
  for (int i = 0; i < 100; ++i) {
    model.Add(SlownessOf(healthy));
  }
  CHECK_FALSE(model.IsSlow({ SlownessOf(healthy), SlownessOf(healthy) }));
  CHECK_FALSE(model.IsSlow({ SlownessOf(slowed) })); // a single attempt may simply be long
  CHECK_FALSE(model.IsSlow({ SlownessOf(healthy), SlownessOf(slowed) }));
  CHECK(model.IsSlow({ SlownessOf(slowed), SlownessOf(slowed), SlownessOf(slowed) }));
}

TEST_CASE("expected durations that are off for all attempts make no worker slow")
{
  const AttemptProgress inaccurate{ milliseconds(1000), milliseconds(200), 50 };
  SlownessModel model;
  for (int i = 0; i < 400; ++i) {
    model.Add(SlownessOf(inaccurate));
  }
  CHECK_FALSE(model.IsSlow({ SlownessOf(inaccurate), SlownessOf(inaccurate) }));
}

TEST_CASE("an attempt that has just started cannot be judged")
{
  CHECK_FALSE(CanJudgeSlowness({ milliseconds(100), milliseconds(1700), 0 }));
  CHECK(CanJudgeSlowness({ milliseconds(1000), milliseconds(1700), 0 }));
}

namespace {

/// Two workers, one of which makes no progress on any attempt.
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
      Execute(action);
    }
    for (std::pair<const std::string, WorkerStatus>& statusEntry : m_statuses) {
      const std::string& worker = statusEntry.first;
      WorkerStatus& status = statusEntry.second;
      for (RunningAttempt& reported : status.m_running) {
        reported.m_percent += worker == "hangs" ? 0 : 2;
      }
    }
  }

  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_scheduler.OnAppended(append->m_batch, m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      m_statuses[start->m_worker].m_running.push_back(
        { start->m_task, start->m_attempt, "", 0, 2000 });
      m_scheduler.OnStartResult(
        start->m_worker, start->m_task, start->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const StopTask* stop = std::get_if<StopTask>(&aAction)) {
      End(m_statuses[stop->m_worker], stop->m_task, AttemptEnd::Stopped);
      m_scheduler.OnStopResult(
        stop->m_worker, stop->m_task, stop->m_attempt, WorkerCallResult::Accepted, m_now);
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      WorkerStatus& status = m_statuses[poll->m_worker];
      const std::vector<RunningAttempt> reportedAttempts = status.m_running;
      for (const RunningAttempt& reported : reportedAttempts) {
        if (reported.m_percent >= 100) {
          End(status, reported.m_task, AttemptEnd::Done);
        }
      }
      status.m_clockMs = ToMillis(m_now.time_since_epoch());
      m_scheduler.OnPollResponse(poll->m_worker, poll->m_number, status, m_now);
    }
  }

  static void End(WorkerStatus& aStatus, const TaskRef& aTask, AttemptEnd aEnd)
  {
    std::vector<RunningAttempt>& running = aStatus.m_running;
    const auto it =
      std::find_if(running.begin(), running.end(), [&](const RunningAttempt& aReported) {
        return aReported.m_task == aTask;
      });
    if (it != running.end()) {
      aStatus.m_ended.push_back({ aStatus.m_ended.size() + 1, aTask, it->m_attempt, aEnd, "" });
      running.erase(it);
    }
  }

  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler;
  std::map<std::string, WorkerStatus> m_statuses;
};

} // namespace

TEST_CASE("stalled attempts are started again elsewhere")
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
