// Carries out the decisions of one epoch: joins the scheduler with the store, the workers and the
// directory.
#pragma once

#include "egretturn/Node/TopicFollower.h"
#include "egretturn/Scheduler/Scheduler.h"
#include "egretturn/Support/LogRateLimiter.h"

namespace egretturn {

/// What recovery found in the store.
struct RecoveredState
{
  std::vector<StoredJob> m_jobs;
  std::vector<std::pair<GraphId, StoredProgress>> m_progress;
  std::vector<WorkerReport> m_workers;
  StoredModels m_learned;
  LogOffset m_end = 0; ///< Where the topic of jobs ends, after the claim.
};

/// Kept alive by its pending calls. All methods and callbacks on the thread of the io_context.
class LeaderSession : public std::enable_shared_from_this<LeaderSession>
{
public:
  struct Callbacks
  {
    std::function<void(RequestToken, SubmitResult)> m_onAnswer;
    std::function<void(const std::string& aReason)> m_onStepDown;
  };

  LeaderSession(boost::asio::io_context& aIo,
                StorePort& aStore,
                WorkerPort& aWorkers,
                ReportDecoder aDecoder,
                const SchedulerLimits& aLimits,
                StoredClaim aClaim,
                Callbacks aCallbacks);

  void Start(RecoveredState aState);

  /// Stops deciding: no order is sent and no callback runs afterwards.
  void Stop();

  void Submit(RequestToken aRequest, Submission aSubmission);
  void Cancel(RequestToken aRequest, GraphId aId);

  /// Takes over what the epoch before had placed when it stopped.
  void RestorePlaced(const std::vector<PlacedTask>& aPlaced);

  std::optional<JobState> StateOf(GraphId aId) { return m_scheduler.StateOf(aId); }
  uint64_t CountPending(const std::string& aRoute) { return m_scheduler.CountPending(aRoute); }

  /// When the store last confirmed that no other instance has claimed.
  Instant ConfirmedAt() const { return m_confirmedAt; }

  /// Whether appends have been answered lately.
  bool IsStoreAvailable() const { return m_storeAvailable; }

  /// Writes the claim again now, so that ConfirmedAt() advances.
  void Confirm();

  const StoredClaim& Claim() const { return m_claim; }
  Scheduler& Core() { return m_scheduler; }

private:
  static constexpr uint64_t kSkippedLines = 5; ///< On odd entries, in each span.
  static constexpr Duration kSkippedSpan = std::chrono::seconds(10);

  /// Takes a step soon, together with what else comes in.
  void Wake();
  void WakeAt(Instant aAt);
  void Step();
  void Carry(const Action& aAction);
  void Append(std::vector<KeyedRecord> aRecords, uint64_t aBatch);
  void SendAppend();
  void OnAppend(const AppendResult& aResult);
  void SettleConflict();
  void OnSettleRead(const Expected<TopicPage>& aPage);
  void FinishAppend(LogOffset aEnd);
  void RetryAppend();
  void NoteStore(bool aAvailable);
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
  std::vector<KeyedRecord> m_appending; ///< Empty while no append is in flight.
  uint64_t m_appendingBatch = 0;        ///< 0 for a claim that is written again.
  std::vector<KeyedRecord> m_queued;    ///< A batch that waits for the append in flight.
  uint64_t m_queuedBatch = 0;
  bool m_mayHaveAppended = false; ///< An earlier try of m_appending is unanswered.
  LogOffset m_end = 0;
  Instant m_confirmedAt;
  Instant m_appendSince;
  bool m_storeAvailable = true;
  bool m_stopped = false;
  bool m_timerSet = false;
  Instant m_wakeAt;
  LogRateLimiter m_skippedEntries{ kSkippedLines, kSkippedSpan };
};

} // namespace egretturn
