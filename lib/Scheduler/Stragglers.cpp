// Moves stalled attempts, and attempts on workers that have become slow.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Scheduler/LongRunningMoves.h"
#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

// Longer than an attempt takes to make progress after a start from a checkpoint.
static constexpr Duration kStallTimeout = std::chrono::milliseconds(1500);

static constexpr Duration kSlowAvoidance = std::chrono::seconds(2);
static constexpr double kMaxSlowShare = 0.25; // of the workers; more cannot all be slow

// An attempt is moved if that saves this share of the time that it would take on its worker.
static constexpr double kMinGain = 0.3;

// Serving tasks that have left a worker say nothing more of its speed.
static constexpr Duration kSlowServingAvoidance = std::chrono::seconds(4);

// The stops of the leader before have been executed by then, and their ends are listed.
static constexpr Duration kMinEpochAge = std::chrono::seconds(6);

/// Returns the progress of \p aAttempt. Valid only if it was never throttled.
static AttemptProgress
ProgressOf(const AttemptState& aAttempt, int64_t aExpectedMs, Instant aNow)
{
  return { aNow - aAttempt.m_startedAt,
           std::chrono::milliseconds(aExpectedMs),
           aAttempt.m_percent };
}

/// Returns whether the attempt would end earlier if it started again elsewhere at the expected
/// speed.
static bool
IsMoveFaster(const AttemptProgress& aProgress, bool aSavesCheckpoints)
{
  const double done = aProgress.m_percent / 100.0;
  const double expected = static_cast<double>(aProgress.m_expected.count());
  const double elapsed = static_cast<double>(aProgress.m_elapsed.count());
  const double stayTime = elapsed * (1.0 - done) / std::max(done, 0.01);
  const double moveTime = expected * (aSavesCheckpoints ? 1.0 - done : 1.0);
  return moveTime < (1.0 - kMinGain) * stayTime;
}

bool
Scheduler::CanAvoidAnotherWorker(Instant aNow) const
{
  const std::vector<std::unique_ptr<Worker>>& workers = m_fleet.All();
  const ptrdiff_t avoided =
    std::count_if(workers.begin(), workers.end(), [&](const std::unique_ptr<Worker>& aWorker) {
      return aWorker->m_slowUntil > aNow;
    });
  const double maxAvoided = kMaxSlowShare * static_cast<double>(workers.size());
  return workers.size() > 1 && static_cast<double>(avoided + 1) <= std::max(1.0, maxAvoided);
}

void
Scheduler::RescheduleAttempt(Worker& aWorker, const TaskRef& aTask, Instant aNow)
{
  Job* job = m_jobs.Find(aTask.m_job);
  if (TaskRecord* task = job ? JobRegistry::EditTask(*job, aTask) : nullptr) {
    task->m_avoidedWorker = &aWorker;
  }
  StopAttempt(aWorker, aTask, aNow);
}

void
Scheduler::RescheduleStragglers(Worker& aWorker, Instant aNow)
{
  std::vector<double> slownesses;
  std::vector<TaskRef> stalled;
  std::vector<TaskRef> movable;
  for (const std::pair<const TaskRef, AttemptState>& attemptEntry : aWorker.m_attempts) {
    const TaskRef& ref = attemptEntry.first;
    const AttemptState& attempt = attemptEntry.second;
    const Job* job = m_jobs.Find(ref.m_job);
    const GraphStep* step = JobRegistry::FindGraphStep(job, ref);
    const bool watched = step && !attempt.m_longRunning &&
                         attempt.m_phase == AttemptPhase::Running &&
                         attempt.m_throttlePercent == 100 && !step->m_gang;
    if (!watched) {
      continue;
    }
    if (aNow - attempt.m_progressedAt >= kStallTimeout) {
      stalled.push_back(ref);
      continue;
    }
    const AttemptProgress progress = ProgressOf(attempt, job->m_stepDurationMs[ref.m_step], aNow);
    if (attempt.m_hasValidDuration && CanJudgeSlowness(progress)) {
      slownesses.push_back(SlownessOf(progress));
      if (IsMoveFaster(progress, step->m_checkpoints)) {
        movable.push_back(ref);
      }
    }
  }
  const bool slow = m_slownessModel.IsSlow(slownesses);
  if (!slow && stalled.empty()) {
    return;
  }
  if ((slow || stalled.size() > 1) && (aWorker.m_slowUntil > aNow || CanAvoidAnotherWorker(aNow))) {
    aWorker.m_slowUntil = aNow + kSlowAvoidance;
  }
  Log(LogLine(LogLevel::Info, "worker_slow")
        .Add("worker", aWorker.m_report.m_id)
        .Add("standing_still", uint64_t{ stalled.size() })
        .Add("slow", slow ? 1 : 0)
        .Add("runs", uint64_t{ aWorker.m_attempts.size() }));
  for (const TaskRef& ref : stalled) {
    RescheduleAttempt(aWorker, ref, aNow);
  }
  if (slow && aWorker.m_slowUntil > aNow) {
    for (const TaskRef& ref : movable) {
      RescheduleAttempt(aWorker, ref, aNow);
    }
  }
}

bool
Scheduler::MayMove(const Worker& aWorker, const TaskRef& aTask, Instant aNow)
{
  Job* job = m_jobs.Find(aTask.m_job);
  OccurrenceRecord* occurrence =
    job && !IsEnded(job->m_state) ? JobRegistry::FindOccurrence(*job, aTask.m_occurrence) : nullptr;
  if (!occurrence || !JobRegistry::FindStepOf(*job, aTask)) {
    return false;
  }
  const GraphStep& step = job->m_stored.m_graph.m_steps[aTask.m_step];
  const StepRecord& record = occurrence->m_steps[aTask.m_step];
  if (step.m_gang || !MayInterruptTask(step, CountUnavailable(record, aTask, aNow))) {
    return false;
  }
  PlacementRequest request =
    MakePlacementRequest({ job, occurrence, aTask.m_step, JobRank() }, aNow);
  const std::vector<const Worker*> siblings = ListWorkersOf(record);
  request.m_siblings = &siblings;
  return FitsElsewhere(m_fleet, aWorker, request, aNow);
}

void
Scheduler::MoveFromSlowWorker(Worker& aWorker, Instant aNow)
{
  if (aWorker.m_servingGroups.empty() ||
      !IsServingSlow(CollectTailSamples(aWorker, m_jobs, m_interference, aNow))) {
    aWorker.m_servingSlowSince.reset();
    return;
  }
  if (!aWorker.m_servingSlowSince) {
    aWorker.m_servingSlowSince = aNow;
  }
  const bool settled = m_recovered && aNow - m_createdAt >= kMinEpochAge;
  if (!settled || !IsMoveWorthwhile(*aWorker.m_servingSlowSince, aNow) ||
      (aWorker.m_slowUntil <= aNow && !CanAvoidAnotherWorker(aNow))) {
    return;
  }
  aWorker.m_slowUntil = aNow + kSlowServingAvoidance;
  std::vector<TaskRef> overTarget;
  for (const std::pair<const TaskRef, AttemptState>& attemptEntry : aWorker.m_attempts) {
    const AttemptState& attempt = attemptEntry.second;
    if (attempt.m_phase == AttemptPhase::Running && attempt.m_overTargetSince) {
      overTarget.push_back(attemptEntry.first);
    }
  }
  for (const TaskRef& ref : overTarget) {
    if (MayMove(aWorker, ref, aNow)) {
      ++m_counters.m_moves;
      LogAttempt("run_moved", aWorker, ref, aWorker.m_attempts.at(ref).m_attempt, "slow_worker");
      RescheduleAttempt(aWorker, ref, aNow);
    }
  }
}

} // namespace egretturn
