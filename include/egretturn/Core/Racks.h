// Ownership of racks and the workers in them: claims, take-over, leases, lists and lapses.
#pragma once

#include "egretturn/Core/Context.h"
#include "egretturn/Placement/Health.h"
#include "egretturn/Placement/Interference.h"
#include "egretturn/Placement/ReservationEstimator.h"
#include "egretturn/Workers/Ledger.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace egretturn {

enum class AttemptPhase
{
  Starting, ///< Recorded or about to be; the worker has not confirmed.
  Running,
  Stopping, ///< A stop was sent.
};

/// One attempt at a worker, as its owner sees it.
struct OwnedAttempt
{
  AttemptPhase m_phase = AttemptPhase::Starting;
  std::string m_kind;
  std::string m_team;
  bool m_urgent = false;
  bool m_recorded = false; ///< Its start was read back.
  bool m_adopted = false;  ///< Started by an earlier owner.
  bool m_resourcesFreed =
    false; ///< The worker listed it as ended, so that it holds nothing any more.
  Instant m_startedAt{};
  Instant m_sentAt{};      ///< Of the last start or stop call.
  Instant m_confirmedAt{}; ///< When the worker accepted the start.
  TaskEndReason m_stopReason = TaskEndReason::Evicted;
  EntryToken m_endToken = 0; ///< Of the record of its end, while that is not read back.
  uint32_t m_throttle = 100; ///< Percent of its processors.
};

/// Steps against interference on one worker, mildest first.
enum class ReactionLevel
{
  None,
  Hold, ///< Nothing is added.
  Throttle,
  Evict,
};

/// One worker of an owned rack.
struct OwnedWorker
{
  WorkerId m_id = 0;
  std::string m_address;
  std::string m_pool;
  Resources m_size;
  WorkerLedger m_ledger;
  std::map<TaskAttempt, OwnedAttempt> m_attempts;
  std::vector<TaskAttempt> m_forget; ///< Ends recorded, to be told to the worker.
  MixHistory m_mix;
  uint64_t m_boot = 0;
  bool m_listed = false;      ///< Its list was read under this epoch.
  bool m_fresh = false;       ///< Its list was read of late, so that new work may go there.
  bool m_lapsed = false;      ///< Silent for so long that its leases have run out.
  bool m_draining = false;    ///< By its own word or the platform's list.
  bool m_drained = false;     ///< By the configuration.
  bool m_removed = false;     ///< No longer in the configuration.
  bool m_sharedSlots = false; ///< The former owner may still have requests there.
  Instant m_heardAt{};
  Instant m_extendedAt{}; ///< Last call that may have extended a lease there.
  Instant m_listSentAt{};
  uint64_t m_listCall = 0; ///< In flight; zero for none.
  Instant m_renewedAt{};
  ReactionLevel m_reaction = ReactionLevel::None;
  bool m_batchPreferred =
    false; ///< Left to noisy batch work while the services need fewer workers.
  uint32_t m_reactionVotes = 0;
  Instant m_reactedAt{};

  bool TakesWork() const
  {
    return m_listed && m_fresh && !m_lapsed && !m_draining && !m_drained && !m_removed;
  }
};

enum class RackPhase
{
  WaitingOut, ///< The former owner's authority has not lapsed for sure.
  Listing,    ///< The workers' lists are being read.
  Active,
};

/// One rack that this instance owns.
struct OwnedRack
{
  std::string m_rack;
  Epoch m_epoch = 0;
  RackPhase m_phase = RackPhase::WaitingOut;
  bool m_acting = false; ///< Handed over by a peer while the log is away; nothing can be recorded.
  bool m_releasing = false;
  Instant m_from{}; ///< End of WaitingOut, then start of Listing.
  Instant m_adoptedAt{};
  std::map<WorkerId, OwnedWorker> m_workers;
};

/// Owner's side of racks and workers. Not thread-safe.
class RackController
{
public:
  explicit RackController(Context& aContext);

  /// Timed work: claims, releases, lists, renewals and lapses.
  void Tick();

  /// A record was read back; \p aToken is non-zero for this instance's own.
  void OnApplied(const Applied& aApplied, EntryToken aToken);
  void OnWorkerAnswered(const WorkerReplied& aAnswer);
  void OnHandOver(const InstanceId& aFrom, const HandOver& aHandOver);
  void OnInstanceList(const DrainListArrived& aList);

  /// Records were skipped by a restored state: their tokens will never be seen.
  void OnStateJump();

  /// The configuration or a restored state changed under the racks.
  void Refresh();

  /// This process stood still for a while: what it knows of the workers is old.
  void OnPaused();

  /// Gives up every rack, by record where the log allows and by message otherwise.
  void ReleaseAll();
  bool OwnsNothing() const { return m_racks.empty(); }

  std::map<std::string, OwnedRack>& Racks() { return m_racks; }
  const std::map<std::string, OwnedRack>& Racks() const { return m_racks; }
  OwnedRack* Find(const std::string& aRack);

  /// The owned worker, or null.
  OwnedWorker* FindWorker(WorkerId aWorker);

  /// Whether all workers of the rack are listed or lapsed, so that no attempt can run unseen.
  static bool IsSettled(const OwnedRack& aRack);

  /// Sends \p aBody to a worker, marked with the rack's epoch and the end of authority.
  void Call(const OwnedRack& aRack, OwnedWorker& aWorker, WorkerBody aBody);

  /// Notes a new attempt on \p aWorker. The ledger must hold its reservation already.
  OwnedAttempt& AddRun(OwnedWorker& aWorker, const TaskAttempt& aAttempt, const Job& aJob);

  /// Frees what an attempt holds, once.
  void FreeRoom(OwnedWorker& aWorker, const TaskAttempt& aAttempt, OwnedAttempt& aRun);

  /// Removes an attempt and frees what it holds.
  void DropRun(OwnedWorker& aWorker, const TaskAttempt& aAttempt);

  /// Asks the worker to stop an attempt; its end will be recorded with \p aReason.
  void StopRun(const OwnedRack& aRack,
               OwnedWorker& aWorker,
               const TaskAttempt& aAttempt,
               TaskEndReason aReason);

  /// Queues the record of an attempt's end, once.
  void RecordEnd(const OwnedRack& aRack,
                 OwnedWorker& aWorker,
                 const TaskAttempt& aAttempt,
                 TaskEndReason aReason,
                 const std::string& aCheckpoint);

  /// Sends the start of a recorded attempt, also again.
  void SendStart(const OwnedRack& aRack,
                 OwnedWorker& aWorker,
                 const TaskAttempt& aAttempt,
                 OwnedAttempt& aRun);

  /// What to reserve for a task of \p aKind on \p aWorker.
  Resources Reservation(const std::string& aKind, const OwnedWorker& aWorker) const;

  /// Whether an attempt of \p aTask that an earlier owner started without the log was found, and
  /// its record is on its way.
  bool IsAdopting(const TaskId& aTask) const { return m_adopting.contains(aTask); }

  InterferenceModel& Interference() { return m_interference; }
  WorkerHealth& Health() { return m_health; }
  const std::map<std::string, ReservationEstimator>& Fits() const { return m_fits; }

  /// Racks of the configuration in this availability zone.
  std::vector<std::string> ZoneRacks() const;

  /// Counts changes of what can be routed to, so that routers are rebuilt only then.
  uint64_t Changes() const { return m_changes; }

private:
  void TickClaims();
  void ConsiderClaim(const std::string& aRack, const std::string& aDesired);
  void Claim(const std::string& aRack, Epoch aEpoch, const char* aReason);
  void Release(OwnedRack& aRack, const std::string& aSuccessor, const char* aReason);
  void TakeOver(const std::string& aRack, Epoch aEpoch, bool aWaitOut);
  void Drop(const std::string& aRack, const char* aReason);
  void HandOverWithoutLog();
  void TickRack(OwnedRack& aRack);
  void TickWorker(OwnedRack& aRack, OwnedWorker& aWorker);
  void Renew(OwnedRack& aRack, OwnedWorker& aWorker);
  void SendAgain(OwnedRack& aRack, OwnedWorker& aWorker);
  void LapseIfSilent(OwnedRack& aRack, OwnedWorker& aWorker);
  void EndLapsed(OwnedRack& aRack, OwnedWorker& aWorker);
  void SyncWorkers(OwnedRack& aRack);
  void AdoptRecorded(OwnedRack& aRack);
  void ReadList(OwnedRack& aRack,
                OwnedWorker& aWorker,
                const WorkerReply& aReply,
                Instant aListSentAt);
  void ReadListedRun(OwnedRack& aRack, OwnedWorker& aWorker, const ReportedAttempt& aListed);
  void OnStartAnswer(OwnedRack& aRack,
                     OwnedWorker& aWorker,
                     const TaskAttempt& aRun,
                     WorkerReplyStatus aAnswer);
  void OnEndApplied(const TaskEnd& aEnd, OwnedWorker& aWorker);
  void EvictLeaving(OwnedRack& aRack, OwnedWorker& aWorker);

  struct PendingCall
  {
    std::string m_rack;
    Epoch m_epoch = 0;
    TaskAttempt m_start; ///< For start calls; attempt zero otherwise.
    bool m_isList = false;
    Instant m_sentAt{};
  };

  Context& m_context;
  std::map<std::string, OwnedRack> m_racks;
  std::map<std::string, EntryToken> m_claims; ///< Claims not read back yet.
  std::map<std::string, Epoch> m_handedOver;  ///< Racks that peers stopped deciding for, by epoch.
  std::map<std::string, Instant> m_surplusSince; ///< Owned racks that another instance should own.
  std::map<uint64_t, PendingCall> m_calls;
  std::set<std::string> m_listedLeaving; ///< Addresses on the platform's list.
  std::set<TaskId> m_adopting;
  uint64_t m_nextCall = 1;
  uint64_t m_changes = 1;
  Instant m_logLostAt{};
  InterferenceModel m_interference;
  WorkerHealth m_health;
  std::map<std::string, ReservationEstimator> m_fits;
};

} // namespace egretturn
