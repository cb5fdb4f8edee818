// Batch scheduling on owned racks: starts, moves, preemption and mitigation of interference.
#pragma once

#include "egretturn/Core/Racks.h"
#include "egretturn/Placement/Placer.h"
#include "egretturn/Routing/Router.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace egretturn {

/// Routers by service. The request controller maintains them.
using RouterMap = std::map<std::string, Router, std::less<>>;

/// Reason why a task waits, for `egretturn explain`.
struct WaitReason
{
  PlacementReason m_reason = PlacementReason::NoCapacity;
  std::string m_text;
  Instant m_since{};
};

/// Schedules batch tasks on the owned racks. Not thread-safe.
class TaskController
{
public:
  TaskController(Context& aContext, RackController& aRacks, RouterMap& aRouters);

  /// Starts waiting tasks on the owned racks and mitigates interference.
  void Tick();

  /// Sends starts and clears moves whose records were read back.
  void OnApplied(const AppliedEntry& aApplied, EntryToken aToken);

  /// Handles a restored state. It skipped records, whose tokens will therefore never be read back.
  void OnStateRestored();

  /// Returns why \p aTask waits on this instance, or nullptr if no reason is recorded.
  const WaitReason* FindWaitReason(const TaskId& aTask) const;

  /// Returns the free capacity for batch tasks of each owned rack, for heartbeats.
  std::vector<RackCapacity> FreeCapacity() const;

private:
  /// A start whose record was not read back yet.
  struct PendingStart
  {
    std::string m_rack;
    WorkerId m_worker = 0;
    TaskAttempt m_attempt;
    bool m_sent = false; ///< Sent before the record was read back, because the log is unavailable.
  };

  /// Kinds and teams found to be blocked in one pass over the waiting tasks of a rack.
  struct SchedulingPass
  {
    std::set<std::string> m_blockedKinds;
    bool m_quotaBlocked = false;
  };

  void ResolveStart(const PendingStart& aPending, bool aEffective);
  void SendUnrecordedStarts();
  void ScheduleRack(OwnedRack& aRack);
  bool TryStart(OwnedRack& aRack, const WaitingTask& aTask, bool aBorrowing, SchedulingPass& aPass);
  PlacementChoice Place(const OwnedRack& aRack,
                        const Job& aJob,
                        double aSlack,
                        Resources& aSize) const;
  double SlowdownSlack(const WaitingTask& aTask) const;
  void Start(OwnedRack& aRack,
             OwnedWorker& aWorker,
             const Job& aJob,
             const TaskId& aTask,
             const Resources& aSize,
             const PlacementChoice& aChoice);
  void OnBlocked(OwnedRack& aRack,
                 const Job& aJob,
                 const TaskId& aTask,
                 PlacementReason aReason,
                 const Resources& aSize);
  void Preempt(OwnedRack& aRack, const TaskId& aTask, const Resources& aSize);
  bool MoveToOtherRack(OwnedRack& aRack,
                       const Job& aJob,
                       const TaskId& aTask,
                       const Resources& aSize);
  void FailUnrunnableJob(const Job& aJob, const TaskId& aTask);
  void RecordWait(const TaskId& aTask, PlacementReason aReason, std::string aText);
  bool IsOverQuota(const Job& aJob) const;
  void UpdateUsage();
  std::vector<ServiceLoad> LoadsOn(const OwnedWorker& aWorker) const;

  void ReactToInterference();
  void ChooseBatchPreferred(OwnedRack& aRack);
  double ExpectedInterference(const OwnedWorker& aWorker) const;
  void ReactOn(OwnedRack& aRack,
               OwnedWorker& aWorker,
               double aSlowdown,
               const SlowdownLimits& aLimits);
  double ObserveSlowdown(const OwnedWorker& aWorker);
  double UpdateBaselineUs(const std::string& aService, const Router& aRouter);
  void ThrottleAll(OwnedRack& aRack, OwnedWorker& aWorker, uint32_t aPercent);
  void EvictNoisiest(OwnedRack& aRack, OwnedWorker& aWorker);

  Context& m_context;
  RackController& m_racks;
  RouterMap& m_routers;
  std::map<EntryToken, PendingStart> m_pendingStarts;
  std::set<TaskId> m_tasksInFlight; ///< Tasks whose start or move is not read back yet.
  std::map<EntryToken, TaskId> m_pendingMoves;
  std::map<TaskId, WaitReason> m_waitReasons;
  std::map<TaskId, Instant> m_preemptedAt; ///< When other tasks were last preempted for a task.
  /// Reserved millicores of each team on the owned racks.
  std::map<std::string, int64_t> m_teamUsage;
  /// Millicores moved to each rack that its last heartbeat may not include yet.
  std::map<std::string, int64_t> m_movedMilliCores;
  std::map<std::string, double> m_baselineUs;
  double m_ownedShare = 0; ///< Share of all configured processors that this instance owns.
  Instant m_movedResetAt{};
  /// Utilization of the service slots of each rack, from 0 to 1; decays slowly.
  std::map<std::string, double> m_serviceLoad;
  Instant m_reactedAt{};
};

} // namespace egretturn
