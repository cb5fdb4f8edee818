// Keeps serving tasks under their targets: learns from their tails, and paces what fills beside
// them.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>
#include <cassert>

namespace egretturn {

static constexpr Duration kLearnEvery = std::chrono::milliseconds(250);
static constexpr Duration kPaceEvery = std::chrono::milliseconds(450); // tails cover half a second

// Utilization kept free below the target, so that pacing starts before the target is missed.
static constexpr double kPaceHeadroom = 0.05;

// An image that adds less than this to the utilization of a serving task is not paced for it.
static constexpr double kLeastPart = 0.03;

// Of a tail to its target; above it nothing more is put beside the task.
static constexpr double kPressedRatio = 0.85;

// A serving task over its target for so long halts everything that fills beside it.
static constexpr Duration kPressedTooLong = std::chrono::milliseconds(1800);

// A tail covers half a second; without one for so long, a task has nothing that could be pressed.
static constexpr Duration kTailAge = std::chrono::milliseconds(1000);

static constexpr double kMostFactor = 1.6; // of a pace, upwards in one step
static constexpr int kPaceFloor = 8;       // percent; below this a task is paced to a halt
static constexpr int kPaceResume = 15;     // percent; from a halt
static constexpr int kPaceTolerance = 8;   // smaller changes are not sent

// A task that saves its progress moves away when it is paced lower than this.
static constexpr int kMoveBelowPace = 25;

/// What the images that fill use of the worker's processors.
static std::vector<ImageLoad>
DescribeLoads(const Worker& aWorker)
{
  std::vector<ImageLoad> loads;
  for (const FillGroup& group : aWorker.m_filling) {
    loads.push_back({ group.m_image, 0.0 });
  }
  const double capacity = static_cast<double>(aWorker.m_report.m_capacity.m_cpuMilli);
  for (const std::pair<const TaskRef, WorkerRun>& runEntry : aWorker.m_attempts) {
    const WorkerRun& run = runEntry.second;
    if (!run.m_bestEffort || run.m_phase != RunPhase::Running) {
      continue;
    }
    for (ImageLoad& load : loads) {
      if (load.m_image == run.m_image) {
        load.m_share += static_cast<double>(run.m_usage) / capacity;
      }
    }
  }
  return loads;
}

/// The group of \p aImage. \pre A run of the image is on the worker.
static ServingGroup&
GroupOf(Worker& aWorker, ImageId aImage)
{
  const auto it =
    std::find_if(aWorker.m_serving.begin(),
                 aWorker.m_serving.end(),
                 [&](const ServingGroup& aGroup) { return aGroup.m_image == aImage; });
  assert(it != aWorker.m_serving.end() && "each serving run is counted in a group");
  return *it;
}

void
Scheduler::NoteTails(Worker& aWorker, Instant aNow)
{
  aWorker.m_pressed = false;
  for (ServingGroup& group : aWorker.m_serving) {
    group.m_ownLoad = 0;
    group.m_added = 0;
    group.m_samples = 0;
  }
  for (std::pair<const TaskRef, WorkerRun>& runEntry : aWorker.m_attempts) {
    const TaskRef& ref = runEntry.first;
    WorkerRun& run = runEntry.second;
    Job* job = run.m_targetMs > 0 ? m_book.Find(ref.m_job) : nullptr;
    if (!job || run.m_phase != RunPhase::Running) {
      continue;
    }
    if (run.m_usage == 0) {
      if (aNow - run.m_tailAt >= kTailAge) {
        run.m_utilization = 0;
        run.m_overSince.reset();
      }
      continue;
    }
    run.m_tailAt = aNow;
    const double ratio = static_cast<double>(run.m_usage) / static_cast<double>(run.m_targetMs);
    run.m_utilization = m_pressure.UtilizationOf(run.m_image, ratio);
    run.m_overSince = ratio > 1.0 ? std::optional(run.m_overSince.value_or(aNow)) : std::nullopt;
    aWorker.m_pressed = aWorker.m_pressed || ratio > kPressedRatio;
    const uint32_t number = (uint32_t{ ref.m_step } << 16) | ref.m_index;
    ServingLoad& load = job->m_servingLoad;
    load.Note(number, run.m_utilization, aNow);
    ServingGroup& group = GroupOf(aWorker, run.m_image);
    group.m_ownLoad = std::max(group.m_ownLoad, load.Peak());
    if (load.IsTelling(aNow)) {
      group.m_added += run.m_utilization - load.Own(aNow);
      ++group.m_samples;
    }
  }
  for (ServingGroup& group : aWorker.m_serving) {
    group.m_ownLoad = group.m_ownLoad > 0 ? group.m_ownLoad : kUnseenOwnLoad;
  }
}

void
Scheduler::LearnFromTails(Worker& aWorker, Instant aNow)
{
  NoteTails(aWorker, aNow);
  // Tails of one worker at one time have their errors in common, and they cover half a second.
  if (aWorker.m_loads.empty() || aNow - aWorker.m_learnedAt < kLearnEvery) {
    return;
  }
  aWorker.m_learnedAt = aNow;
  for (const ServingGroup& group : aWorker.m_serving) {
    if (group.m_samples > 0) {
      m_pressure.Learn(group.m_image, group.m_added / group.m_samples, aWorker.m_loads);
    }
  }
}

/// By how much the pace of \p aGroup should change for the serving tasks that it presses.
double
Scheduler::PaceFactor(const Worker& aWorker, const FillGroup& aGroup, Instant aNow)
{
  double factor = kMostFactor;
  for (const std::pair<const TaskRef, WorkerRun>& runEntry : aWorker.m_attempts) {
    const WorkerRun& run = runEntry.second;
    if (run.m_targetMs == 0 || run.m_phase != RunPhase::Running) {
      continue;
    }
    if (run.m_overSince && aNow - *run.m_overSince >= kPressedTooLong) {
      return 0.0; // whatever was learned, some neighbour presses it
    }
    double own = 0;
    for (const ImageLoad& load : aWorker.m_loads) {
      own = load.m_image == aGroup.m_image ? load.m_share : own;
    }
    own *= m_pressure.Weight(run.m_image, aGroup.m_image);
    if (own < kLeastPart && aGroup.m_pace == 100) {
      continue;
    }
    const double added = std::max(m_pressure.Predict(run.m_image, aWorker.m_loads), kLeastPart);
    const double goal = m_pressure.TargetUtilization(run.m_image) - kPaceHeadroom;
    factor = std::min(factor, 1.0 + (goal - run.m_utilization) / added);
  }
  return std::max(0.0, factor);
}

/// \p aPace changed by \p aFactor, within bounds.
static int
ScalePace(int aPace, double aFactor)
{
  if (aPace == 0) {
    return aFactor > 1.0 ? kPaceResume : 0;
  }
  const double scaled = aPace * aFactor;
  if (scaled < kPaceFloor) {
    return 0;
  }
  const int next = std::min(100, static_cast<int>(scaled));
  const bool small = std::abs(next - aPace) < kPaceTolerance && next < 100;
  return small ? aPace : next;
}

void
Scheduler::OrderPace(const Worker& aWorker,
                     const TaskRef& aTask,
                     WorkerRun& aRun,
                     int aPace,
                     Instant aNow)
{
  if (aRun.m_pace == aPace) {
    return;
  }
  aRun.m_pace = aPace;
  aRun.m_undisturbed = false;
  aRun.m_progressedAt = aNow;
  ++m_counters.m_throttles;
  Emit(ThrottleTask{
    aWorker.m_report.m_id, aWorker.m_report.m_address, aTask, aRun.m_attempt, aPace });
}

void
Scheduler::PaceForNewRun(Worker& aWorker, ImageId aImage, Instant aNow)
{
  const int allowed = static_cast<int>(100 * AllowedPace(aWorker, m_pressure, aImage, 0));
  for (FillGroup& group : aWorker.m_filling) {
    if (group.m_image != aImage || allowed >= group.m_pace - kPaceTolerance) {
      continue;
    }
    group.m_pace = std::max(allowed, kPaceResume);
    group.m_pacedAt = aNow;
    Log(LogLine(LogLevel::Info, "worker_paced")
          .Add("worker", aWorker.m_report.m_id)
          .Add("image", m_pressure.NameOf(aImage))
          .Add("percent", group.m_pace)
          .Add("cause", "start"));
  }
}

void
Scheduler::ApplyPace(Worker& aWorker, const FillGroup& aGroup, Instant aNow)
{
  std::vector<TaskRef> moving;
  for (std::pair<const TaskRef, WorkerRun>& runEntry : aWorker.m_attempts) {
    const TaskRef& ref = runEntry.first;
    WorkerRun& run = runEntry.second;
    if (!run.m_bestEffort || run.m_image != aGroup.m_image || run.m_phase != RunPhase::Running) {
      continue;
    }
    const Job* job = m_book.Find(ref.m_job);
    const bool saves = job && job->m_stored.m_graph.m_steps[ref.m_step].m_checkpoints;
    if (saves && aGroup.m_pace < kMoveBelowPace) {
      moving.push_back(ref);
    }
    OrderPace(aWorker, ref, run, aGroup.m_pace, aNow);
  }
  for (const TaskRef& ref : moving) {
    StopRun(aWorker, ref, aNow);
  }
}

void
Scheduler::AdjustPace(Worker& aWorker, Instant aNow)
{
  SmoothLoads(aWorker.m_loads, DescribeLoads(aWorker), aNow - aWorker.m_loadsAt);
  aWorker.m_loadsAt = aNow;
  LearnFromTails(aWorker, aNow);
  for (FillGroup& group : aWorker.m_filling) {
    if (aNow - group.m_pacedAt >= kPaceEvery) {
      const double factor = PaceFactor(aWorker, group, aNow);
      const int pace = ScalePace(group.m_pace, factor);
      if (pace != group.m_pace) {
        group.m_pace = pace;
        group.m_pacedAt = aNow;
        Log(LogLine(LogLevel::Info, "worker_paced")
              .Add("worker", aWorker.m_report.m_id)
              .Add("image", m_pressure.NameOf(group.m_image))
              .Add("percent", pace)
              .Add("cause", "tails")
              .Add("factor", factor));
      }
    }
    ApplyPace(aWorker, group, aNow);
  }
}

} // namespace egretturn
