// Ownership of racks and their workers: claims, takeover, leases, polls and lease expiry.
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

/// Phases of an attempt as the owner of its rack sees them.
enum class AttemptPhase
{
  Starting, ///< The start is recorded or about to be; the worker has not confirmed it.
  Running,
  Stopping, ///< A stop was sent.
};

/// The rack owner's view of one attempt on a worker.
struct OwnedAttempt
{
  AttemptPhase m_phase = AttemptPhase::Starting;
  std::string m_kind;
  std::string m_team;
  bool m_urgent = false;
  bool m_recorded = false;       ///< The record of its start was read back.
  bool m_adopted = false;        ///< Started by a previous owner.
  bool m_resourcesFreed = false; ///< Set when the worker has reported its end.
  Instant m_startedAt{};
  Instant m_sentAt{};      ///< When the start or stop call was last sent.
  Instant m_confirmedAt{}; ///< When the worker accepted the start.
  TaskEndReason m_stopReason = TaskEndReason::Evicted;
  EntryToken m_endToken = 0; ///< Its end record until that is read back; zero for none.
  uint32_t m_throttle = 100; ///< Percentage of its processor share that it may use.
};

/// Mitigation of interference on one worker, ordered by severity.
enum class ReactionLevel
{
  None,
  Hold, ///< No tasks are added.
  Throttle,
  Evict,
};

/// The owner's state of one worker of an owned rack.
struct OwnedWorker
{
  WorkerId m_id = 0;
  std::string m_address;
  std::string m_pool;
  Resources m_size;
  WorkerLedger m_ledger;
  std::map<TaskAttempt, OwnedAttempt> m_attempts;
  std::vector<TaskAttempt> m_endedAttempts; ///< Recorded as ended; the worker may remove them.
  MixHistory m_mix;
  uint64_t m_boot = 0;
  bool m_polled = false;        ///< A poll succeeded in the current epoch.
  bool m_responsive = false;    ///< A poll succeeded recently, so that new work may be placed here.
  bool m_leasesExpired = false; ///< No reply for so long that all leases have expired.
  bool m_draining = false;      ///< Reported by the worker itself or by the platform's directory.
  bool m_drainRequested = false;         ///< Requested by the configuration.
  bool m_removed = false;                ///< No longer part of the configuration.
  bool m_mayHaveForeignRequests = false; ///< Requests of the previous owner may still run here.
  Instant m_lastReplyAt{};
  Instant m_leaseExtendedAt{}; ///< When a call that may have extended a lease was last made.
  Instant m_pollSentAt{};
  uint64_t m_pollCall = 0; ///< Poll in flight; zero for none.
  Instant m_renewedAt{};
  ReactionLevel m_reaction = ReactionLevel::None;
  bool m_noiseTolerant = false; ///< Requests avoid it in favor of interfering batch tasks.
  uint32_t m_reactionStreak = 0;
  Instant m_lastEvictionAt{};

  /// Returns whether new tasks and requests may be placed on the worker.
  bool AcceptsWork() const
  {
    return m_polled && m_responsive && !m_leasesExpired && !m_draining && !m_drainRequested &&
           !m_removed;
  }
};

/// Phases of the takeover of a rack.
enum class RackPhase
{
  AwaitingExpiry, ///< The previous owner's authority may not have expired yet.
  Polling,        ///< The workers of the rack are being polled.
  Active,
};

/// State of one rack that this instance owns.
struct OwnedRack
{
  std::string m_rack;
  Epoch m_epoch = 0;
  RackPhase m_phase = RackPhase::AwaitingExpiry;
  bool m_provisional = false; ///< Handed over without the log; nothing can be recorded.
  bool m_releasing = false;
  Instant m_pollFrom{}; ///< End of AwaitingExpiry and start of Polling.
  Instant m_adoptedAt{};
  std::map<WorkerId, OwnedWorker> m_workers;
};

/// Claims racks and manages the workers of the racks that this instance owns. Not thread-safe.
class RackController
{
public:
  explicit RackController(Context& aContext);

  /// Performs the periodic work: claims, releases, polls, lease renewals and expiry.
  void Tick();

  /// Handles an entry that was read back. \p aToken is nonzero if this instance wrote the entry.
  void OnApplied(const AppliedEntry& aApplied, EntryToken aToken);

  /// Handles the result of a worker call. Replies to calls of earlier epochs are ignored.
  void OnWorkerReplied(const WorkerReplied& aReplied);

  /// Handles a rack that its owner handed over by message.
  void OnHandOver(const InstanceId& aFrom, const HandOver& aHandOver);

  /// Marks the listed workers as draining.
  void OnDrainList(const DrainListArrived& aList);

  /// Handles a restored state. It skipped records, whose tokens will therefore never be read back.
  void OnStateRestored();

  /// Updates the owned racks after a change of the configuration or a restored state.
  void Refresh();

  /// Marks the state of all workers as out of date after this process was paused.
  void OnProcessPaused();

  /// Gives up every rack: by a record if the log is available, by a message to a peer otherwise.
  void ReleaseAll();

  /// Returns whether this instance owns no racks.
  bool OwnsNoRacks() const { return m_racks.empty(); }

  /// Returns the owned racks by name.
  std::map<std::string, OwnedRack>& Racks() { return m_racks; }
  const std::map<std::string, OwnedRack>& Racks() const { return m_racks; }

  /// Returns the owned rack, or nullptr if this instance does not own it.
  OwnedRack* Find(const std::string& aRack);

  /// Returns the owned worker, or nullptr if this instance does not own it.
  OwnedWorker* FindWorker(WorkerId aWorker);

  /// Returns whether every worker of the rack was polled or has no valid leases left, so that all
  /// running attempts are known.
  static bool IsSettled(const OwnedRack& aRack);

  /// Queues a call to a worker, tagged with the epoch of its rack and the end of the authority.
  void Call(const OwnedRack& aRack, OwnedWorker& aWorker, WorkerBody aBody);

  /// Adds a new attempt to \p aWorker. \pre The ledger holds the reservation of the attempt.
  OwnedAttempt& AddAttempt(OwnedWorker& aWorker, const TaskAttempt& aTaskAttempt, const Job& aJob);

  /// Releases the resources of an attempt if it still holds them.
  void FreeResources(OwnedWorker& aWorker, const TaskAttempt& aTaskAttempt, OwnedAttempt& aAttempt);

  /// Removes an attempt and releases its resources.
  void RemoveAttempt(OwnedWorker& aWorker, const TaskAttempt& aTaskAttempt);

  /// Asks the worker to stop an attempt. Its end will be recorded with \p aReason.
  void StopAttempt(const OwnedRack& aRack,
                   OwnedWorker& aWorker,
                   const TaskAttempt& aTaskAttempt,
                   TaskEndReason aReason);

  /// Appends the record of an attempt's end unless that is already pending.
  void RecordEnd(const OwnedRack& aRack,
                 OwnedWorker& aWorker,
                 const TaskAttempt& aTaskAttempt,
                 TaskEndReason aReason,
                 const std::string& aCheckpoint);

  /// Sends or resends the start of a recorded attempt.
  void SendStart(const OwnedRack& aRack,
                 OwnedWorker& aWorker,
                 const TaskAttempt& aTaskAttempt,
                 OwnedAttempt& aAttempt);

  /// Returns the resources to reserve for a task of \p aKind on \p aWorker.
  Resources Reservation(const std::string& aKind, const OwnedWorker& aWorker) const;

  /// Returns whether an attempt of \p aTask was found that a previous owner started without the log
  /// and whose record is still pending.
  bool IsAdopting(const TaskId& aTask) const { return m_adopting.contains(aTask); }

  // Models learned from the workers of the owned racks.
  InterferenceModel& Interference() { return m_interference; }
  WorkerHealth& Health() { return m_health; }
  const std::map<std::string, ReservationEstimator>& Estimators() const { return m_estimators; }

  /// Returns the configured racks of this availability zone.
  std::vector<std::string> ZoneRacks() const;

  /// Returns a counter that increases with each change of the available targets, so that routers
  /// are rebuilt only when needed.
  uint64_t RoutingVersion() const { return m_routingVersion; }

private:
  void TickClaims();
  void ConsiderClaim(const std::string& aRack, const std::string& aDesired);
  void Claim(const std::string& aRack, Epoch aEpoch, const char* aReason);
  void Release(OwnedRack& aRack, const std::string& aSuccessor, const char* aReason);
  void TakeOver(const std::string& aRack, Epoch aEpoch, bool aAwaitExpiry);
  void Drop(const std::string& aRack, const char* aReason);
  void HandOverWithoutLog();
  void TickRack(OwnedRack& aRack);
  void TickWorker(OwnedRack& aRack, OwnedWorker& aWorker);
  void Renew(OwnedRack& aRack, OwnedWorker& aWorker);
  void ResendCalls(OwnedRack& aRack, OwnedWorker& aWorker);
  void ExpireIfSilent(OwnedRack& aRack, OwnedWorker& aWorker);
  void EndExpiredAttempts(OwnedRack& aRack, OwnedWorker& aWorker);
  void SyncWorkers(OwnedRack& aRack);
  void AdoptRecorded(OwnedRack& aRack);
  void HandlePollReply(OwnedRack& aRack,
                       OwnedWorker& aWorker,
                       const WorkerReply& aReply,
                       Instant aPollSentAt);
  void HandleReportedAttempt(OwnedRack& aRack,
                             OwnedWorker& aWorker,
                             const ReportedAttempt& aReported);
  void OnStartReply(OwnedRack& aRack,
                    OwnedWorker& aWorker,
                    const TaskAttempt& aTaskAttempt,
                    WorkerReplyStatus aStatus);
  void OnEndApplied(const TaskEnd& aEnd, OwnedWorker& aWorker);
  void EvictFromDraining(OwnedRack& aRack, OwnedWorker& aWorker);

  /// A worker call without a reply so far.
  struct PendingCall
  {
    std::string m_rack;
    Epoch m_epoch = 0;
    TaskAttempt m_start; ///< Set for start calls; its attempt number is zero otherwise.
    bool m_isPoll = false;
    Instant m_sentAt{};
  };

  Context& m_context;
  std::map<std::string, OwnedRack> m_racks;
  std::map<std::string, EntryToken> m_claims; ///< Claims that were not read back yet.
  /// Epochs of racks that their owners handed over to this instance.
  std::map<std::string, Epoch> m_handedOver;
  /// Since when a rack has had an owner other than the desired one.
  std::map<std::string, Instant> m_ownerMismatchSince;
  std::map<uint64_t, PendingCall> m_calls;
  std::set<std::string> m_drainList; ///< Addresses of draining workers in the platform's directory.
  std::set<TaskId> m_adopting;
  uint64_t m_nextCall = 1;
  uint64_t m_routingVersion = 1;
  Instant m_logLostAt{};
  InterferenceModel m_interference;
  WorkerHealth m_health;
  std::map<std::string, ReservationEstimator> m_estimators;
};

} // namespace egretturn
