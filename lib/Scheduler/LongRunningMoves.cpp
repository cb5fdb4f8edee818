#include "egretturn/Scheduler/LongRunningMoves.h"

#include <algorithm>

namespace egretturn {

// Times the expected tail latency. Interference that has changed since it was learned stays below.
static constexpr double kSlowTailFactor = 2.0;

// From the stop of a task until its successor is at work. A worker that has been slow for this long
// is as likely to stay slow for longer as not.
static constexpr Duration kMoveTime = std::chrono::milliseconds(2000);

// A task that was at work at an older poll than this may no longer be.
static constexpr Duration kMaxPollAge = std::chrono::milliseconds(2000);

static constexpr int kAtWorkPercent = 100; // of a long-running task

bool
IsServingSlow(const std::vector<TailSample>& aSamples)
{
  return !aSamples.empty() &&
         std::all_of(aSamples.begin(), aSamples.end(), [](const TailSample& aSample) {
           return aSample.m_ratio > kSlowTailFactor * aSample.m_expectedRatio;
         });
}

bool
IsMoveWorthwhile(Instant aSince, Instant aNow)
{
  return aNow - aSince >= kMoveTime;
}

/// Returns whether \p aAttempt of \p aTask is at work, by a recent poll.
static bool
IsAtWork(const LiveAttempt& aAttempt, const TaskRef& aTask, Instant aNow)
{
  const Worker& worker = *aAttempt.m_worker;
  const auto it = worker.m_attempts.find(aTask);
  return it != worker.m_attempts.end() && it->second.m_attempt == aAttempt.m_attempt &&
         it->second.m_phase == AttemptPhase::Running && it->second.m_percent >= kAtWorkPercent &&
         worker.m_failedPolls == 0 && aNow - worker.m_clockReadAt <= kMaxPollAge;
}

uint32_t
CountUnavailable(const StepRecord& aStep, const TaskRef& aTask, Instant aNow)
{
  uint32_t unavailable = static_cast<uint32_t>(aStep.m_tasks.Size());
  TaskRef ref = aTask;
  for (const TaskTable::Records::value_type& taskEntry : aStep.m_tasks.GetRecords()) {
    ref.m_index = taskEntry.first;
    const std::vector<LiveAttempt>& attempts = taskEntry.second.m_attempts;
    const bool atWork =
      std::any_of(attempts.begin(), attempts.end(), [&](const LiveAttempt& aAttempt) {
        return IsAtWork(aAttempt, ref, aNow);
      });
    unavailable -= atWork ? 1 : 0;
  }
  return unavailable;
}

bool
MayInterruptTask(const GraphStep& aStep, uint32_t aUnavailable)
{
  return aUnavailable < (aStep.m_hasMaxUnavailable ? aStep.m_maxUnavailable : 1);
}

std::vector<TailSample>
CollectTailSamples(const Worker& aWorker,
                   JobRegistry& aJobs,
                   const ImageInterferenceModel& aInterference,
                   Instant aNow)
{
  std::vector<TailSample> samples;
  for (const std::pair<const TaskRef, AttemptState>& attemptEntry : aWorker.m_attempts) {
    const AttemptState& attempt = attemptEntry.second;
    const Job* job = attempt.m_targetMs > 0 ? aJobs.Find(attemptEntry.first.m_job) : nullptr;
    if (!job || attempt.m_phase != AttemptPhase::Running || attempt.m_usage == 0 ||
        !job->m_servingLoad.HasEnoughSamples(aNow)) {
      continue;
    }
    const double expected = job->m_servingLoad.OwnLoad(aNow) +
                            aInterference.Predict(attempt.m_image, aWorker.m_bestEffortLoads);
    samples.push_back(
      { static_cast<double>(attempt.m_usage) / static_cast<double>(attempt.m_targetMs),
        aInterference.RatioAt(attempt.m_image, expected) });
  }
  return samples;
}

bool
FitsElsewhere(const Fleet& aFleet,
              const Worker& aWorker,
              const PlacementRequest& aRequest,
              Instant aNow)
{
  const std::vector<std::unique_ptr<Worker>>& workers = aFleet.All();
  return std::any_of(workers.begin(), workers.end(), [&](const std::unique_ptr<Worker>& aOther) {
    return aOther.get() != &aWorker && AcceptsWork(*aOther, aNow) &&
           FindObstacle(*aOther, aRequest) == Obstacle::None;
  });
}

} // namespace egretturn
