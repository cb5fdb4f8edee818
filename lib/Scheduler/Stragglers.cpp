// Moves runs that stand still, and runs on workers that have turned slow.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

// Longer than a run takes to begin after its start from a checkpoint.
static constexpr Duration kStandsStill = std::chrono::milliseconds(1500);

static constexpr Duration kSlowAvoidance = std::chrono::seconds(2);
static constexpr double kMostSlowShare = 0.25; // of the workers; more can't all be slow

// A run is moved if that saves this part of the time that it would take where it is.
static constexpr double kLeastGain = 0.3;

/// How far \p aRun has got, if it was never held up by us.
static RunProgress
ProgressOf(const WorkerRun& aRun, int64_t aExpectedMs, Instant aNow)
{
  return { aNow - aRun.m_startedAt, std::chrono::milliseconds(aExpectedMs), aRun.m_percent };
}

/// Whether a run ends earlier when it starts again elsewhere at the expected pace.
static bool
PaysToMove(const RunProgress& aProgress, bool aSaves)
{
  const double done = aProgress.m_percent / 100.0;
  const double expected = static_cast<double>(aProgress.m_expected.count());
  const double elapsed = static_cast<double>(aProgress.m_elapsed.count());
  const double there = elapsed * (1.0 - done) / std::max(done, 0.01);
  const double elsewhere = expected * (aSaves ? 1.0 - done : 1.0);
  return elsewhere < (1.0 - kLeastGain) * there;
}

bool
Scheduler::MayAvoidMore(Instant aNow) const
{
  const std::vector<std::unique_ptr<Worker>>& workers = m_fleet.All();
  const ptrdiff_t avoided =
    std::count_if(workers.begin(), workers.end(), [&](const std::unique_ptr<Worker>& aWorker) {
      return aWorker->m_slowUntil > aNow;
    });
  const double most = kMostSlowShare * static_cast<double>(workers.size());
  return workers.size() > 1 && static_cast<double>(avoided + 1) <= std::max(1.0, most);
}

void
Scheduler::MoveRun(Worker& aWorker, const TaskRef& aTask, Instant aNow)
{
  Job* job = m_book.Find(aTask.m_job);
  if (TaskRecord* task = job ? JobBook::FindTask(*job, aTask) : nullptr) {
    task->m_avoid = &aWorker;
  }
  StopRun(aWorker, aTask, aNow);
}

void
Scheduler::MoveStragglers(Worker& aWorker, Instant aNow)
{
  std::vector<double> slownesses;
  std::vector<TaskRef> still;
  std::vector<TaskRef> movable;
  for (const std::pair<const TaskRef, WorkerRun>& runEntry : aWorker.m_attempts) {
    const TaskRef& ref = runEntry.first;
    const WorkerRun& run = runEntry.second;
    const Job* job = m_book.Find(ref.m_job);
    const bool watched = job && !run.m_longRunning && run.m_phase == RunPhase::Running &&
                         run.m_pace == 100 && !job->m_stored.m_graph.m_steps[ref.m_step].m_gang;
    if (!watched) {
      continue;
    }
    if (aNow - run.m_progressedAt >= kStandsStill) {
      still.push_back(ref);
      continue;
    }
    const RunProgress progress = ProgressOf(run, job->m_stepMs[ref.m_step], aNow);
    if (run.m_undisturbed && IsTelling(progress)) {
      slownesses.push_back(SlownessOf(progress));
      if (PaysToMove(progress, job->m_stored.m_graph.m_steps[ref.m_step].m_checkpoints)) {
        movable.push_back(ref);
      }
    }
  }
  const bool slow = m_typicalPace.IsSlow(slownesses);
  if (!slow && still.empty()) {
    return;
  }
  if ((slow || still.size() > 1) && (aWorker.m_slowUntil > aNow || MayAvoidMore(aNow))) {
    aWorker.m_slowUntil = aNow + kSlowAvoidance;
  }
  Log(LogLine(LogLevel::Info, "worker_slow")
        .Add("worker", aWorker.m_report.m_id)
        .Add("standing_still", uint64_t{ still.size() })
        .Add("slow", slow ? 1 : 0)
        .Add("runs", uint64_t{ aWorker.m_attempts.size() }));
  for (const TaskRef& ref : still) {
    MoveRun(aWorker, ref, aNow);
  }
  if (slow && aWorker.m_slowUntil > aNow) {
    for (const TaskRef& ref : movable) {
      MoveRun(aWorker, ref, aNow);
    }
  }
}

} // namespace egretturn
