// Executes the scheduler's decisions for one epoch: connects the scheduler to the store, the
// workers and the directory.
#pragma once

#include "egretturn/Node/CallAuthority.h"
#include "egretturn/Node/TopicFollower.h"
#include "egretturn/Scheduler/Scheduler.h"
#include "egretturn/Support/LogRateLimiter.h"

namespace egretturn {

/// A part of the progress of a job, and its key.
struct RecoveredProgressPart
{
  std::string m_key;
  GraphId m_job = 0;
  StoredProgressPart m_part;
};

/// State that a new leader recovers from the store.
struct RecoveredState
{
  std::vector<StoredJob> m_jobs;
  std::vector<std::pair<GraphId, StoredProgress>> m_progress;
  std::vector<RecoveredProgressPart> m_progressParts;
  std::vector<std::pair<GraphId, StoredTombstone>> m_tombstones;
  std::vector<WorkerReport> m_workers;
  StoredModels m_models;
  LogOffset m_end = 0;   ///< End of the topic of jobs, after the claim.
  Instant m_confirmedAt; ///< When the request was sent whose response has confirmed the claim.
  bool m_earlierLeadersActive = false; ///< An earlier leader has not certainly stopped.
};

/// The leadership of one instance for one epoch. Pending calls keep it alive.
/// Not thread-safe: all methods and callbacks run on the thread of the io_context.
class LeaderSession : public std::enable_shared_from_this<LeaderSession>
{
public:
  struct Callbacks
  {
    std::function<void(RequestToken, SubmitResult)> m_onRequestComplete;
    std::function<void(const std::string& aReason)> m_onStepDown;
  };

  LeaderSession(boost::asio::io_context& aIo,
                StorePort& aStore,
                WorkerPort& aWorkers,
                ReportDecoder aDecoder,
                const SchedulerLimits& aLimits,
                StoredClaim aClaim,
                Callbacks aCallbacks);

  /// Restores the scheduler from \p aState and starts to follow the directory.
  void Start(RecoveredState aState);

  /// Ends the session: no worker call is sent and no callback runs afterwards.
  void Stop();
  /// Returns whether the session has ended, by Stop() or by stepping down.
  bool IsStopped() const { return m_stopped; }

  /// Submits or cancels a job; m_onRequestComplete is called with \p aRequest.
  void Submit(RequestToken aRequest, Submission aSubmission);
  void Cancel(RequestToken aRequest, GraphId aId);

  /// Sets the zones on whose workers no task starts from now on.
  void SetEvacuations(const ZoneEvacuations& aEvacuations);

  /// Restores what the previous leader had placed when it stopped.
  void RestorePlacements(const Placements& aPlacements);

  std::optional<JobState> StateOf(GraphId aId) { return m_scheduler.StateOf(aId); }
  uint64_t CountPending(const std::string& aRoute) { return m_scheduler.CountPending(aRoute); }

  /// When the store last confirmed that no other instance has claimed the leadership.
  Instant ConfirmedAt() const { return m_confirmedAt; }

  /// Records that a peer has followed this leader at some time since \p aSince.
  void OnFollowed(const std::string& aPeer, Instant aSince);

  /// Handles that all earlier leaders have stopped, or do so within LeaseLimits::m_noticeTime.
  void OnEarlierLeadersStopping();

  /// Sets the peers that have to follow this leader while the store does not confirm its claim.
  /// They are written with the claim, so that a successor can tell that one of them no longer does.
  void SetWitnesses(std::vector<Witness> aWitnesses);
  const std::vector<Witness>& Witnesses() const { return m_witnesses; }

  /// The leaders that may have been calling workers when this session began.
  const std::vector<EarlierLeader>& EarlierLeaders() const { return m_earlierLeaders; }

  /// Whether there is evidence that this instance still leads, so that workers may be called.
  bool MayCall() const;

  /// Whether the store has recently responded to appends.
  bool IsStoreAvailable() const { return m_storeAvailable; }

  /// Returns the time since which changes of the directory may be unknown. \pre Start() was called.
  Duration DirectoryAge(Instant aNow) const { return m_directory->Age(aNow); }

  /// Writes the claim again, which advances ConfirmedAt() if no other instance has claimed.
  void RenewClaim();

  const StoredClaim& Claim() const { return m_claim; }
  Scheduler& GetScheduler() { return m_scheduler; }

private:
  static constexpr uint64_t kMaxSkippedLogLines = 5; ///< For unreadable entries, per period.
  static constexpr Duration kSkippedLogPeriod = std::chrono::seconds(10);

  /// Runs the scheduler after a short delay, so that events close together share one run.
  void Wake();
  Duration BatchingDelay();
  void WakeAt(Instant aAt);
  /// Returns whether the claim should be written again, as a confirmation that nobody else leads.
  bool NeedsConfirmation(Instant aNow) const;
  void RunScheduler();
  void ExecuteActions();
  /// Returns whether workers may be called, and logs when that changes.
  bool CheckAuthority(Instant aNow);
  void Execute(const Action& aAction);
  void Append(std::vector<KeyedRecord> aRecords, uint64_t aBatch);
  void SendAppend();
  /// Returns the record of the claim, with the present witnesses and reading of the retention
  /// clock.
  KeyedRecord MakeClaimRecord();
  /// Has the authority ask for the witnesses of both records that a successor may have read.
  void UpdateAuthority();
  void OnAppend(const AppendResult& aResult);
  /// Divides the append in flight, or leaves out its only record, which the store refuses.
  void DivideAppend();
  void LeaveOutRecord();
  void ResolveConflict();
  /// Reads the next records after the end that was known before the append.
  void ReadBack();
  void OnConflictRead(const Expected<TopicPage>& aPage);
  void FinishAppend(LogOffset aEnd);
  void RetryAppend();
  void SetStoreAvailable(bool aAvailable);
  void StepDownNow(const std::string& aReason);

  boost::asio::io_context& m_io;
  boost::asio::steady_timer m_timer;
  boost::asio::steady_timer m_appendTimer;
  StorePort& m_store;
  WorkerPort& m_workers;
  ReportDecoder m_decoder;
  StoredClaim m_claim;
  Callbacks m_callbacks;
  Scheduler m_scheduler;
  std::shared_ptr<TopicFollower> m_directory;
  std::vector<KeyedRecord> m_appending; ///< The append in flight; empty if there is none.
  uint64_t m_appendingBatch = 0;        ///< 0 if the append renews the claim.
  std::vector<KeyedRecord> m_postponed; ///< Of the same batch, after a request was refused.
  uint32_t m_refusals = 0;              ///< Of an append of one record.
  std::vector<KeyedRecord> m_queued;    ///< The batch that waits for the append in flight.
  uint64_t m_queuedBatch = 0;
  bool m_mayHaveAppended = false;      ///< An earlier try of m_appending got no response.
  std::vector<KeyedRecord> m_readBack; ///< Records that were read to settle the append in flight.
  LogOffset m_end = 0;
  Instant m_confirmedAt;
  Instant m_appendStartedAt;
  Instant m_claimWrittenAt;
  Instant m_requestSentAt; ///< The last try of the append, or the read that settles it.
  CallAuthority m_authority;
  std::vector<Witness> m_witnesses;         ///< For the next record of the claim.
  std::vector<Witness> m_storedWitnesses;   ///< Of the last record that is in the store.
  std::vector<Witness> m_appendedWitnesses; ///< Of the record that was sent last.
  std::vector<EarlierLeader> m_earlierLeaders;
  bool m_mayCall = true; ///< As of the last check.
  bool m_storeAvailable = true;
  bool m_stopped = false;
  bool m_timerSet = false;
  Instant m_wakeAt;
  LogRateLimiter m_skippedEntryLimiter{ kMaxSkippedLogLines, kSkippedLogPeriod };
};

} // namespace egretturn
