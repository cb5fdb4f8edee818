// A placement pass does a bounded amount of work, and what it could not try comes first in the
// next.
#include "SingleScheduler.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A leader with one worker of 16 cores, and a store that confirms each append.
struct World
{
  World()
  {
    m_scheduler.UpdateWorker(MakeReport("w"), m_now);
    m_scheduler.OnDirectoryRead();
    Run(seconds(1));
  }

  void Run(Duration aTime)
  {
    RunScheduler(m_scheduler, m_now, aTime, [&](const Action& aAction) {
      if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
        m_scheduler.OnAppended(append->m_batch, m_now);
      } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
        WorkerStatus status;
        status.m_clockMs = 1;
        status.m_endsComplete = true;
        m_scheduler.OnPollResponse(poll->m_worker, poll->m_number, status, m_now);
      } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
        m_started.push_back(start->m_task.m_job);
        m_startsInTick[m_now] += 1;
      }
    });
  }

  size_t MaxStartsInTick() const
  {
    size_t most = 0;
    for (const std::pair<const Instant, size_t>& tickEntry : m_startsInTick) {
      most = std::max(most, tickEntry.second);
    }
    return most;
  }

  Instant m_now{ seconds(1000) };
  Scheduler m_scheduler{ SchedulerLimits(), 1, m_now };
  std::vector<GraphId> m_started;
  std::map<Instant, size_t> m_startsInTick;
};

GraphStep
MakeStep(int64_t aCpuMilli, const std::string& aLabel)
{
  GraphStep step;
  step.m_demand = { aCpuMilli, aCpuMilli, 0 };
  step.m_estimateMs = 1000;
  step.m_label = aLabel;
  return step;
}

} // namespace

TEST_CASE("tasks that need nothing do not all start in one pass")
{
  World world;
  Submission submission = MakeSubmission(1, MakeStep(0, ""));
  submission.m_graph.m_steps.resize(kMaxSteps, submission.m_graph.m_steps[0]);
  for (GraphStep& step : submission.m_graph.m_steps) {
    step.m_count = kMaxTasksPerStep;
  }
  world.m_scheduler.Submit(1, std::move(submission), world.m_now, 0);
  world.Run(milliseconds(200));
  CHECK_FALSE(world.m_started.empty());
  CHECK(world.MaxStartsInTick() <= 2048);
}

TEST_CASE("a job starts behind very many steps that fit nowhere")
{
  World world;
  RequestToken token = 0;
  for (GraphId id = 1; id <= 200; ++id) {
    Submission submission = MakeSubmission(id, MakeStep(1000, ""));
    submission.m_terms.m_priority = 0;
    submission.m_graph.m_steps.clear();
    for (size_t i = 0; i < kMaxSteps; ++i) {
      submission.m_graph.m_steps.push_back(
        MakeStep(1000, "label-" + std::to_string(id) + "-" + std::to_string(i)));
    }
    world.m_scheduler.Submit(++token, std::move(submission), world.m_now, 0);
  }
  world.Run(seconds(1));
  Submission last = MakeSubmission(1000, MakeStep(1000, ""));
  last.m_terms.m_priority = 5; // ranks behind all the others
  world.m_scheduler.Submit(++token, std::move(last), world.m_now, 0);
  world.Run(seconds(20));
  CHECK(world.m_started == std::vector<GraphId>{ 1000 });
  CHECK(world.m_scheduler.Counters().m_passesCut > 0);
}
