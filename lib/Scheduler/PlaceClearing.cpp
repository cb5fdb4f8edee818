#include "egretturn/Scheduler/PlaceClearing.h"

#include "egretturn/Scheduler/HeldPlaces.h"
#include "egretturn/Scheduler/LongRunningAbsence.h"
#include "egretturn/Scheduler/Scheduler.h"

namespace egretturn {

// Bounds the search, and the room that is idle meanwhile.
static constexpr size_t kMaxClearedPlaces = 32; // in one pass

/// Returns whether \p aDemand fits on \p aWorker beside its long-running tasks and held places.
static bool
FitsBesideLasting(const Worker& aWorker, const Demand& aDemand)
{
  const Demand& capacity = aWorker.m_report.m_capacity;
  const Demand& lasting = aWorker.m_longRunning;
  const Demand& held = aWorker.m_held;
  return lasting.m_cpuMilli + held.m_cpuMilli + aDemand.m_cpuMilli <= capacity.m_cpuMilli &&
         lasting.m_memoryMb + held.m_memoryMb + aDemand.m_memoryMb <= capacity.m_memoryMb &&
         lasting.m_accelerators + held.m_accelerators + aDemand.m_accelerators <=
           capacity.m_accelerators;
}

Worker*
ChooseWorkerToClear(const std::vector<Worker*>& aWorkers, const PlacementRequest& aRequest)
{
  Worker* best = nullptr;
  int64_t bestFree = 0;
  for (Worker* worker : aWorkers) {
    const int64_t free = worker->m_report.m_capacity.m_cpuMilli - worker->m_used.m_cpuMilli;
    const bool better = !best || free > bestFree;
    if (better && FitsBesideLasting(*worker, aRequest.m_step->m_demand) &&
        MeetsConstraints(*worker, aRequest)) {
      best = worker;
      bestFree = free;
    }
  }
  return best;
}

bool
Scheduler::MayBePlaced(const WaitingStep& aWaiting, size_t aTask, Instant aNow)
{
  const TaskRecord& task = aWaiting.m_occurrence->m_steps[aWaiting.m_step].m_tasks[aTask];
  const TaskRef ref = MakeTaskRef(aWaiting, aTask);
  return !task.m_done && task.m_attempts.empty() && !m_fleet.HasAttempt(ref) &&
         !m_fleet.FindLateStarts(ref) && !MayRunElsewhere(*aWaiting.m_job, ref, aNow);
}

void
Scheduler::ClearPlaces(const WaitingStep& aWaiting, PlacementRequest aRequest, Instant aNow)
{
  if (!aWaiting.m_rank.m_overdue || aRequest.m_step->m_gang || aRequest.m_step->m_bestEffort ||
      m_clearedPlaces >= kMaxClearedPlaces) {
    return;
  }
  const StepRecord& record = aWaiting.m_occurrence->m_steps[aWaiting.m_step];
  std::vector<const Worker*> siblings = ListWorkersOf(record);
  aRequest.m_siblings = &siblings;
  for (size_t i = 0; i < record.m_tasks.Size(); ++i) {
    const std::optional<Instant> since =
      AwaySince(*aWaiting.m_job, *aWaiting.m_occurrence, record.m_tasks[i]);
    if (!since || !IsOverdue(aNow - *since) || !MayBePlaced(aWaiting, i, aNow)) {
      continue;
    }
    if (m_clearedPlaces >= kMaxClearedPlaces || !m_passBudget.MayTry()) {
      return;
    }
    TakeComparisons(aRequest, m_availableWorkers.size());
    Worker* worker = ChooseWorkerToClear(m_availableWorkers, aRequest);
    if (!worker) {
      return;
    }
    ++m_clearedPlaces;
    ++m_counters.m_placesCleared;
    m_heldPlaces.Hold(*worker, aRequest.m_step->m_demand);
    siblings.push_back(worker);
  }
}

} // namespace egretturn
