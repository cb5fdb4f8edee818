// Keeps serving tasks below their latency targets: learns from their tail latencies, and throttles
// the best-effort tasks beside them.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>
#include <cassert>

namespace egretturn {

static constexpr Duration kModelUpdateInterval = std::chrono::milliseconds(250);
static constexpr Duration kThrottleInterval =
  std::chrono::milliseconds(450); // tail latencies cover half a second

// Utilization kept free below the target: what a reported tail latency varies by, so that
// throttling starts before the target is missed.
static constexpr double kThrottleMargin = 0.08;

// An image that adds less than this to the utilization of a serving task is not throttled for it.
static constexpr double kMinInterference = 0.03;

// Ratio of tail latency to target above which no best-effort task starts beside the task.
static constexpr double kNearTargetRatio = 0.85;

// A serving task above its target for this long halts all best-effort tasks beside it.
static constexpr Duration kMaxTimeOverTarget = std::chrono::milliseconds(1800);

// A tail latency covers half a second; a task without one for this long has no requests that
// interference could slow down.
static constexpr Duration kMaxTailAge = std::chrono::milliseconds(1000);

static constexpr double kMaxIncrease = 2.5;         // upwards, in one adjustment
static constexpr int kMinThrottlePercent = 8;       // below this a task is halted
static constexpr int kResumePercent = 15;           // from a halt
static constexpr int kThrottleTolerancePercent = 8; // smaller changes are not sent

// A task that saves checkpoints moves to another worker when it is throttled below this.
static constexpr int kMoveBelowPercent = kMinStartPercent;

/// Returns the shares of the worker's processors that its best-effort images use.
static std::vector<ImageLoad>
MeasureBestEffortLoads(const Worker& aWorker)
{
  std::vector<ImageLoad> loads;
  for (const BestEffortGroup& group : aWorker.m_bestEffortGroups) {
    loads.push_back({ group.m_image, 0.0 });
  }
  const double capacity = static_cast<double>(aWorker.m_report.m_capacity.m_cpuMilli);
  for (const std::pair<const TaskRef, AttemptState>& attemptEntry : aWorker.m_attempts) {
    const AttemptState& attempt = attemptEntry.second;
    if (!attempt.m_bestEffort || attempt.m_phase != AttemptPhase::Running) {
      continue;
    }
    for (ImageLoad& load : loads) {
      if (load.m_image == attempt.m_image) {
        load.m_share += static_cast<double>(attempt.m_usage) / capacity;
      }
    }
  }
  return loads;
}

/// Returns the group of \p aImage. \pre An attempt of the image is on the worker.
static ServingGroup&
ServingGroupOf(Worker& aWorker, ImageId aImage)
{
  const auto it =
    std::find_if(aWorker.m_servingGroups.begin(),
                 aWorker.m_servingGroups.end(),
                 [&](const ServingGroup& aGroup) { return aGroup.m_image == aImage; });
  assert(it != aWorker.m_servingGroups.end() && "each serving attempt is counted in a group");
  return *it;
}

void
Scheduler::RecordTailLatencies(Worker& aWorker, Instant aNow)
{
  aWorker.m_nearTarget = false;
  for (ServingGroup& group : aWorker.m_servingGroups) {
    group.m_ownLoad = 0;
    group.m_addedUtilization = 0;
    group.m_samples = 0;
  }
  for (std::pair<const TaskRef, AttemptState>& attemptEntry : aWorker.m_attempts) {
    const TaskRef& ref = attemptEntry.first;
    AttemptState& attempt = attemptEntry.second;
    Job* job = attempt.m_targetMs > 0 ? m_jobs.Find(ref.m_job) : nullptr;
    if (!job || attempt.m_phase != AttemptPhase::Running) {
      continue;
    }
    if (attempt.m_usage == 0) {
      if (aNow - attempt.m_tailReportedAt >= kMaxTailAge) {
        attempt.m_utilization = 0;
        attempt.m_overTargetSince.reset();
      }
      continue;
    }
    attempt.m_tailReportedAt = aNow;
    const double ratio =
      static_cast<double>(attempt.m_usage) / static_cast<double>(attempt.m_targetMs);
    attempt.m_utilization = m_interference.UtilizationOf(attempt.m_image, ratio);
    attempt.m_overTargetSince =
      ratio > 1.0 ? std::optional(attempt.m_overTargetSince.value_or(aNow)) : std::nullopt;
    aWorker.m_nearTarget = aWorker.m_nearTarget || ratio > kNearTargetRatio;
    const uint32_t number = (uint32_t{ ref.m_step } << 16) | ref.m_index;
    ServingLoad& load = job->m_servingLoad;
    load.Record(number, attempt.m_utilization, aNow);
    ServingGroup& group = ServingGroupOf(aWorker, attempt.m_image);
    group.m_ownLoad = std::max(group.m_ownLoad, load.PeakOwnLoad());
    if (load.HasEnoughSamples(aNow)) {
      group.m_addedUtilization += attempt.m_utilization - load.OwnLoad(aNow);
      ++group.m_samples;
    }
  }
  for (ServingGroup& group : aWorker.m_servingGroups) {
    group.m_ownLoad = group.m_ownLoad > 0 ? group.m_ownLoad : kDefaultOwnLoad;
  }
}

void
Scheduler::UpdateInterferenceModel(Worker& aWorker, Instant aNow)
{
  RecordTailLatencies(aWorker, aNow);
  // The errors of tail latencies of one worker at one time are correlated, and tail latencies cover
  // half a second.
  if (aWorker.m_bestEffortLoads.empty() || aNow - aWorker.m_modelUpdatedAt < kModelUpdateInterval) {
    return;
  }
  aWorker.m_modelUpdatedAt = aNow;
  for (const ServingGroup& group : aWorker.m_servingGroups) {
    if (group.m_samples > 0) {
      m_interference.Learn(
        group.m_image, group.m_addedUtilization / group.m_samples, aWorker.m_bestEffortLoads);
    }
  }
}

/// Returns the factor by which the throttle of \p aGroup should change for the serving tasks that
/// it interferes with.
double
Scheduler::ThrottleFactor(const Worker& aWorker, const BestEffortGroup& aGroup, Instant aNow)
{
  double factor = kMaxIncrease;
  for (const std::pair<const TaskRef, AttemptState>& attemptEntry : aWorker.m_attempts) {
    const AttemptState& attempt = attemptEntry.second;
    if (attempt.m_targetMs == 0 || attempt.m_phase != AttemptPhase::Running) {
      continue;
    }
    if (attempt.m_overTargetSince && aNow - *attempt.m_overTargetSince >= kMaxTimeOverTarget) {
      return 0.0; // some neighbor interferes, whatever was learned
    }
    double own = 0;
    for (const ImageLoad& load : aWorker.m_bestEffortLoads) {
      own = load.m_image == aGroup.m_image ? load.m_share : own;
    }
    own *= m_interference.Weight(attempt.m_image, aGroup.m_image);
    if (own < kMinInterference && aGroup.m_throttlePercent == 100) {
      continue;
    }
    const double added = std::max(
      m_interference.Predict(attempt.m_image, aWorker.m_bestEffortLoads), kMinInterference);
    const double goal = m_interference.TargetUtilization(attempt.m_image) - kThrottleMargin;
    factor = std::min(factor, 1.0 + (goal - attempt.m_utilization) / added);
  }
  return std::max(0.0, factor);
}

/// Returns \p aPercent scaled by \p aFactor, within bounds.
static int
ScaleThrottle(int aPercent, double aFactor)
{
  if (aPercent == 0) {
    return aFactor > 1.0 ? kResumePercent : 0;
  }
  const double scaled = aPercent * aFactor;
  if (scaled < kMinThrottlePercent) {
    return 0;
  }
  const int next = std::min(100, static_cast<int>(scaled));
  const bool small = std::abs(next - aPercent) < kThrottleTolerancePercent && next < 100;
  return small ? aPercent : next;
}

void
Scheduler::ThrottleAttempt(const Worker& aWorker,
                           const TaskRef& aTask,
                           AttemptState& aAttempt,
                           int aPercent,
                           Instant aNow)
{
  if (aAttempt.m_throttlePercent == aPercent) {
    return;
  }
  aAttempt.m_throttlePercent = aPercent;
  aAttempt.m_hasValidDuration = false;
  aAttempt.m_progressedAt = aNow;
  ++m_counters.m_throttles;
  Emit(ThrottleTask{ aWorker.m_report.m_id,
                     aWorker.m_report.m_address,
                     aTask,
                     aAttempt.m_attempt,
                     aPercent,
                     FenceFor(aWorker) });
}

void
Scheduler::ThrottleForNewAttempt(Worker& aWorker, ImageId aImage, Instant aNow)
{
  const int allowed =
    static_cast<int>(100 * AllowedThrottleShare(aWorker, m_interference, aImage, 0));
  for (BestEffortGroup& group : aWorker.m_bestEffortGroups) {
    if (group.m_image != aImage || allowed >= group.m_throttlePercent - kThrottleTolerancePercent) {
      continue;
    }
    group.m_throttlePercent =
      std::min(group.m_throttlePercent, std::max(allowed, kMinStartPercent));
    group.m_throttledAt = aNow;
    Log(LogLine(LogLevel::Info, "worker_paced")
          .Add("worker", aWorker.m_report.m_id)
          .Add("image", m_interference.NameOf(aImage))
          .Add("percent", group.m_throttlePercent)
          .Add("cause", "start"));
  }
}

void
Scheduler::ApplyThrottle(Worker& aWorker, const BestEffortGroup& aGroup, Instant aNow)
{
  std::vector<TaskRef> moving;
  for (std::pair<const TaskRef, AttemptState>& attemptEntry : aWorker.m_attempts) {
    const TaskRef& ref = attemptEntry.first;
    AttemptState& attempt = attemptEntry.second;
    if (!attempt.m_bestEffort || attempt.m_image != aGroup.m_image ||
        attempt.m_phase != AttemptPhase::Running) {
      continue;
    }
    const GraphStep* step = JobRegistry::FindGraphStep(m_jobs.Find(ref.m_job), ref);
    const bool savesCheckpoints = step && step->m_checkpoints;
    if (savesCheckpoints && aGroup.m_throttlePercent < kMoveBelowPercent) {
      moving.push_back(ref);
    }
    ThrottleAttempt(aWorker, ref, attempt, aGroup.m_throttlePercent, aNow);
  }
  for (const TaskRef& ref : moving) {
    StopAttempt(aWorker, ref, aNow);
  }
}

void
Scheduler::AdjustThrottles(Worker& aWorker, Instant aNow)
{
  SmoothLoads(
    aWorker.m_bestEffortLoads, MeasureBestEffortLoads(aWorker), aNow - aWorker.m_loadsUpdatedAt);
  aWorker.m_loadsUpdatedAt = aNow;
  UpdateInterferenceModel(aWorker, aNow);
  for (BestEffortGroup& group : aWorker.m_bestEffortGroups) {
    if (aNow - group.m_throttledAt >= kThrottleInterval) {
      const double factor = ThrottleFactor(aWorker, group, aNow);
      const int percent = ScaleThrottle(group.m_throttlePercent, factor);
      if (percent != group.m_throttlePercent) {
        group.m_throttlePercent = percent;
        group.m_throttledAt = aNow;
        Log(LogLine(LogLevel::Info, "worker_paced")
              .Add("worker", aWorker.m_report.m_id)
              .Add("image", m_interference.NameOf(group.m_image))
              .Add("percent", percent)
              .Add("cause", "tails")
              .Add("factor", factor));
      }
    }
    ApplyThrottle(aWorker, group, aNow);
  }
}

} // namespace egretturn
