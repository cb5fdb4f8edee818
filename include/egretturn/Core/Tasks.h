// Batch work on owned racks: which waiting task starts where, moves, preemption and reactions.
#pragma once

#include "egretturn/Core/Racks.h"
#include "egretturn/Placement/Placer.h"
#include "egretturn/Routing/Router.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace egretturn {

/// Routers by service, as the request controller keeps them.
using RouterMap = std::map<std::string, Router, std::less<>>;

/// Why a task waits, for `egretturn explain`.
struct WaitNote
{
  PlacementReason m_reason = PlacementReason::NoCapacity;
  std::string m_text;
  Instant m_since{};
};

/// Scheduler of the owned racks. Not thread-safe.
class TaskController
{
public:
  TaskController(Context& aContext, RackController& aRacks, RouterMap& aRouters);

  void Tick();
  void OnApplied(const Applied& aApplied, EntryToken aToken);

  /// Records were skipped by a restored state: their tokens will never be seen.
  void OnStateJump();

  /// Why \p aTask waits here, or null if nothing is noted.
  const WaitNote* FindNote(const TaskId& aTask) const;

  /// Room for batch work in each owned rack, for heartbeats.
  std::vector<RackCapacity> Room() const;

private:
  struct PendingStart
  {
    std::string m_rack;
    WorkerId m_worker = 0;
    TaskAttempt m_attempt;
    bool m_sent = false; ///< Sent before it was read back, because the log is away.
  };
  struct Scan
  {
    std::set<std::string> m_blockedKinds;
    bool m_quotaBlocked = false;
  };

  void Resolve(const PendingStart& aPending, bool aCounts);
  void SendUnrecorded();
  void ScheduleRack(OwnedRack& aRack);
  bool ConsiderTask(OwnedRack& aRack, const WaitingTask& aTask, bool aBorrowing, Scan& aScan);
  PlacementChoice Place(const OwnedRack& aRack,
                        const Job& aJob,
                        double aSlack,
                        Resources& aSize) const;
  double SlackOf(const WaitingTask& aTask) const;
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
  bool MoveElsewhere(OwnedRack& aRack,
                     const Job& aJob,
                     const TaskId& aTask,
                     const Resources& aSize);
  void FailHopeless(const Job& aJob, const TaskId& aTask);
  void NoteWait(const TaskId& aTask, PlacementReason aReason, std::string aText);
  bool OverQuota(const Job& aJob) const;
  void CountUsage();
  std::vector<ServiceLoad> LoadsOn(const OwnedWorker& aWorker) const;

  void React();
  void ChooseSpare(OwnedRack& aRack);
  double NoiseOf(const OwnedWorker& aWorker) const;
  void ReactOn(OwnedRack& aRack,
               OwnedWorker& aWorker,
               double aSlowdown,
               const SlowdownLimits& aLimits);
  double ObserveWorker(const OwnedWorker& aWorker);
  double BaselineUs(const std::string& aService, const Router& aRouter);
  void ThrottleAll(OwnedRack& aRack, OwnedWorker& aWorker, uint32_t aPercent);
  void EvictNoisiest(OwnedRack& aRack, OwnedWorker& aWorker);

  Context& m_context;
  RackController& m_racks;
  RouterMap& m_routers;
  std::map<EntryToken, PendingStart> m_pending;
  std::set<TaskId> m_busy; ///< Tasks with a start or move on its way to the log.
  std::map<EntryToken, TaskId> m_moves;
  std::map<TaskId, WaitNote> m_notes;
  std::map<TaskId, Instant> m_preempted;    ///< When room was last made for a task.
  std::map<std::string, int64_t> m_usage;   ///< Reserved millicores of each team on owned racks.
  std::map<std::string, int64_t> m_movedTo; ///< Millicores sent to a rack since its last report.
  std::map<std::string, double> m_baselines;
  double m_ownedShare = 0; ///< Of all processors of the configuration.
  Instant m_movedReset{};
  std::map<std::string, double> m_serviceLoad; ///< Of each rack, from 0 to 1; falls slowly.
  Instant m_reactedAt{};
};

} // namespace egretturn
