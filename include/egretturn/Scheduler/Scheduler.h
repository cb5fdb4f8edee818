// The decisions of one epoch: accepts jobs, starts their tasks on workers, and keeps what must last
// in the store. A step function without sockets, threads or clocks of its own.
#pragma once

#include "egretturn/Scheduler/JobRanking.h"
#include "egretturn/Scheduler/JobRegistry.h"
#include "egretturn/Scheduler/Packing.h"
#include "egretturn/Scheduler/SlownessModel.h"
#include "egretturn/Scheduler/WaitingReport.h"

#include <set>
#include <unordered_set>

namespace egretturn {

struct SchedulerLimits
{
  LeaseLimits m_lease;
  size_t m_jobs = 20000; ///< Jobs held at a time.
  Duration m_endedJobRetention =
    std::chrono::seconds(120); ///< How long an ended job's state is shown.
  Duration m_gangWait = std::chrono::seconds(3);
  size_t m_maxBatchBytes = 1024 * 1024; ///< Of one append.
};

/// What a caller submits.
struct Submission
{
  GraphId m_id = 0;
  JobTerms m_terms;
  Graph m_graph;
};

/// What an epoch has learned of images and routes, for the store.
struct StoredModels
{
  StoredPressure m_pressure;
  std::vector<StoredDurations> m_durations;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("pressure", aSelf.m_pressure);
    aVisit("durations", aSelf.m_durations);
  }
};

/// Counters for metrics.
struct SchedulerCounters
{
  uint64_t m_accepted = 0;
  uint64_t m_refused = 0;
  uint64_t m_starts = 0;
  uint64_t m_endsDone = 0;
  uint64_t m_endsFailed = 0;
  uint64_t m_endsOther = 0;
  uint64_t m_stops = 0;
  uint64_t m_throttles = 0;
  uint64_t m_polls = 0;
  uint64_t m_batches = 0;
  uint64_t m_tasksWaiting = 0; ///< Ready, but without a worker; as of the last report.
  uint64_t m_tasksSkipped = 0; ///< Those of them that were not tried.
  uint64_t m_workersRegistered = 0;
  uint64_t m_workersUnreachable = 0; ///< Listed ones whose last looks got no answer.
};

/// Not thread-safe. Each event method may add actions; fetch them with TakeActions().
class Scheduler
{
public:
  Scheduler(const SchedulerLimits& aLimits, uint64_t aEpoch, Instant aNow);

  // Recovery, before any other event.

  /// Adds a job found in the store.
  void RestoreJob(StoredJob aJob, Instant aNow, int64_t aWallMs);

  /// Applies the progress of a job that was restored before.
  void RestoreProgress(GraphId aId, const StoredProgress& aProgress);

  /// Adds a worker on which an earlier epoch may have started tasks.
  void RestoreWorker(const WorkerReport& aReport, Instant aNow);

  /// Takes over what an earlier epoch has learned. Call before RestoreJob().
  void RestoreModels(const StoredModels& aStored);

  /// All tasks that may run on workers, or have ended there without the store knowing of it.
  /// Nothing before IsRecovered().
  std::optional<std::vector<PlacedTask>> DescribePlaced() const;

  /// Takes over what DescribePlaced() of the epoch before has said after its last order. Other
  /// tasks run nowhere, so that they need not wait until each worker has been looked at.
  void RestorePlaced(const std::vector<PlacedTask>& aPlaced);

  // Callers.

  /// Accepts or refuses \p aSubmission; the answer follows as an CompleteRequest.
  /// \pre The graph is valid.
  void Submit(RequestToken aRequest, Submission aSubmission, Instant aNow, int64_t aWallMs);

  /// Cancels a job; the answer follows when that is durable.
  void Cancel(RequestToken aRequest, GraphId aId, Instant aNow, int64_t aWallMs);

  /// The state that callers are told, or nothing for an unknown job.
  std::optional<JobState> StateOf(GraphId aId);

  /// Accepted jobs of \p aRoute for which no task has started.
  uint64_t CountPending(const std::string& aRoute);

  // Workers.

  /// Takes an entry of the directory.
  void UpdateWorker(const WorkerReport& aReport, Instant aNow);

  /// The directory no longer lists the worker.
  void DeregisterWorker(const WorkerName& aId, Instant aNow);

  /// The directory has been read whole once.
  void OnDirectoryRead();

  /// The look numbered \p aNumber was answered; answers to earlier ones are passed over.
  void OnPollResponse(const WorkerName& aId,
                      uint64_t aNumber,
                      const WorkerStatus& aView,
                      Instant aNow);
  void OnPollFailed(const WorkerName& aId,
                    uint64_t aNumber,
                    WorkerCallResult aResult,
                    Instant aNow);
  void OnStartResult(const WorkerName& aId,
                     const TaskRef& aTask,
                     AttemptNumber aRun,
                     WorkerCallResult aResult,
                     Instant aNow);
  void OnStopResult(const WorkerName& aId,
                    const TaskRef& aTask,
                    AttemptNumber aRun,
                    WorkerCallResult aResult,
                    Instant aNow);

  // The store.

  /// The batch numbered \p aBatch is durable.
  void OnAppended(uint64_t aBatch, Instant aNow);

  /// While the store does not take appends, new jobs are refused at once.
  void SetStoreAvailable(bool aAvailable) { m_storeAvailable = aAvailable; }

  // Time.

  /// Does what is due. Call when NextWake() is reached.
  void Tick(Instant aNow, int64_t aWallMs);

  /// When Tick() is due next.
  Instant NextWake(Instant aNow) const;

  std::vector<Action> TakeActions();
  const SchedulerCounters& Counters() const { return m_counters; }
  Fleet& Workers() { return m_fleet; }
  size_t JobCount() { return m_book.All().size(); }
  bool IsRecovered() const { return m_recovered; }

private:
  /// Gathers ends that come together.
  static constexpr Duration kLookGap = std::chrono::milliseconds(20);

  struct WaitingStep
  {
    Job* m_job;
    OccurrenceRecord* m_occurrence;
    uint16_t m_step;
    OrderRank m_rank;
  };

  /// The workers on which the epoch before has placed each task.
  using PlacedIndex = std::unordered_map<TaskRef, std::vector<WorkerName>, TaskRefHash>;

  /// A job as the batch in flight describes it.
  struct BatchedJob
  {
    GraphId m_id;
    JobState m_state;
  };

  // Ends.cpp
  void NoteDuration(const TaskRef& aTask, Duration aTook);
  void HandleEnd(Worker& aWorker, const EndedAttempt& aRow, Instant aNow);
  void ApplyEnd(Job& aJob,
                TaskRecord& aTask,
                const EndedAttempt& aRow,
                Worker& aWorker,
                Instant aNow);
  void ApplyDone(Job& aJob, TaskRecord& aTask, const TaskRef& aRef, Instant aNow);
  void ApplyFailed(Job& aJob,
                   TaskRecord& aTask,
                   const TaskRef& aRef,
                   AttemptNumber aRun,
                   Worker& aWorker,
                   Instant aNow);
  void HandleRow(Worker& aWorker, const RunningAttempt& aRow, Instant aNow);
  void AdoptRun(Worker& aWorker, const RunningAttempt& aRow, Instant aNow);
  void DropVanished(Worker& aWorker, const WorkerStatus& aView, Instant aNow);
  void LoseRun(Worker& aWorker, const TaskRef& aTask, Instant aNow, const char* aCause);
  void LoseAllRuns(Worker& aWorker, Instant aNow, const char* aCause);
  /// Whether an answer of \p aIncarnation counts. One that is older than the directory's entry may
  /// have been overtaken by a restart, and is believed once the worker repeats it.
  static bool BelievesAnswer(Worker& aWorker, int64_t aIncarnation);
  /// Notes the incarnation that has answered; what was counted of an earlier one is forgotten.
  static void Reincarnate(Worker& aWorker, int64_t aIncarnation);
  static void LogRun(const char* aEvent,
                     const Worker& aWorker,
                     const TaskRef& aTask,
                     AttemptNumber aRun,
                     std::string_view aCause);
  void EndJob(Job& aJob, JobState aState, Instant aNow);
  /// Counts a failure. The worker may have been sound from its last failure until \p aSince.
  void NoteFailure(Worker& aWorker, Instant aSince, Instant aNow);

  // Orders.cpp
  bool StepsDown(const WorkerName& aId, WorkerCallResult aResult);
  static WorkerRun* FindRun(Worker* aWorker, const TaskRef& aTask, AttemptNumber aRun);

  // Stragglers.cpp
  void MoveStragglers(Worker& aWorker, Instant aNow);
  void MoveRun(Worker& aWorker, const TaskRef& aTask, Instant aNow);
  bool MayAvoidMore(Instant aNow) const;

  // Starts.cpp
  void PlaceWaiting(Instant aNow);
  std::vector<WaitingStep> CollectWaiting(Instant aNow);
  /// Lets a job that is new here count in the means of its route.
  void NoteJob(const Job& aJob);
  OrderRank RankOccurrence(const Job& aJob,
                           const OccurrenceRecord& aOccurrence,
                           Instant aNow) const;
  static TaskRef RefOf(const WaitingStep& aWaiting, size_t aIndex);
  static const GraphStep& StepOf(const WaitingStep& aWaiting);
  /// What the tasks of the step ask for, but for what their siblings add.
  PlacementRequest MakeRequest(const WaitingStep& aWaiting, Instant aNow);
  /// Starts what can be started of the step. Returns false if some task found no room.
  bool PlaceStep(const WaitingStep& aWaiting, PlacementRequest aRequest, Instant aNow);
  /// Gathers why tasks wait, for the report that is due.
  void ReportPassedOver(const WaitingStep& aWaiting, Instant aNow);
  void ReportNoRoom(const WaitingStep& aWaiting, const PlacementRequest& aRequest, Instant aNow);
  void FinishReport(Instant aNow);
  void PlaceGang(const WaitingStep& aWaiting, PlacementRequest& aRequest, Instant aNow);
  /// \p aPaced says that a run that fills is paced for its serving neighbours from the start.
  void StartRun(const WaitingStep& aWaiting,
                size_t aIndex,
                Worker& aWorker,
                bool aPaced,
                Instant aNow);
  void StopRun(Worker& aWorker, const TaskRef& aTask, Instant aNow);
  void StopAllRuns(Job& aJob, Instant aNow);
  void EvacuateWorker(Worker& aWorker, Instant aNow);

  // Pacing.cpp
  void AdjustPace(Worker& aWorker, Instant aNow);
  void NoteTails(Worker& aWorker, Instant aNow);
  void LearnFromTails(Worker& aWorker, Instant aNow);
  /// Paces the runs of \p aImage for one that has been added.
  void PaceForNewRun(Worker& aWorker, ImageId aImage, Instant aNow);
  void OrderPace(const Worker& aWorker,
                 const TaskRef& aTask,
                 WorkerRun& aRun,
                 int aPace,
                 Instant aNow);
  double PaceFactor(const Worker& aWorker, const FillGroup& aGroup, Instant aNow);
  void ApplyPace(Worker& aWorker, const FillGroup& aGroup, Instant aNow);

  // Batches.cpp
  void MarkDirty(Job& aJob) { m_dirty.insert(aJob.m_stored.m_id); }
  bool HasToWrite() const;
  Instant BatchDueAt() const;
  void WriteBatch(Instant aNow);
  void AppendWorkerRecords(AppendRecords& aBatch);
  bool AppendJobRecords(Job& aJob, AppendRecords& aBatch, size_t& aBytes);
  void SetEndsDurable(Worker& aWorker, uint64_t aNumber);

  // Recovery.cpp
  void CheckRecovery(Instant aNow);
  bool MayRunElsewhere(const Job& aJob, const TaskRef& aTask);

  // Scheduler.cpp
  /// Whether something of \p aWorker ends only with its answer. Then a look is in flight, or is
  /// sent once it is due.
  static bool NeedsLook(const Worker& aWorker);
  void SendLooks(Instant aNow);
  void SendLook(Worker& aWorker, Instant aNow);
  void RetryStops(Instant aNow);
  void CheckLeases(Instant aNow);
  void OpenOccurrences(int64_t aWallMs);
  void ForgetEnded(int64_t aWallMs);
  void Emit(Action aAction) { m_actions.push_back(std::move(aAction)); }

  SchedulerLimits m_limits;
  uint64_t m_epoch;
  Fleet m_fleet;
  JobBook m_book;
  PressureModel m_pressure;
  DurationModel m_durations;
  RouteMeans m_workMeans;       ///< Core-seconds of a job.
  RouteMeans m_fillDemandMeans; ///< Thousandths of a core of a task that fills.
  TypicalPace m_typicalPace;
  std::vector<Action> m_actions;
  std::unordered_set<GraphId> m_waitingJobs;   ///< May have tasks to place.
  std::unordered_set<GraphId> m_scheduledJobs; ///< Have occurrences to come.
  std::set<GraphId> m_dirty;                   ///< Changed since the last batch.
  std::vector<std::string> m_dropKeys;         ///< Of jobs to forget.
  std::vector<BatchedJob> m_batchJobs;         ///< In the batch in flight.
  uint64_t m_batch = 0;
  uint64_t m_lookNumber = 0;
  bool m_batchInFlight = false;
  bool m_workersUnwritten = false; ///< A worker has no record yet.
  Instant m_nextBatchAt;
  bool m_urgent = false; ///< A caller waits for the next batch.
  bool m_storeAvailable = true;
  bool m_directoryComplete = false;
  bool m_recovered = false;
  std::optional<PlacedIndex> m_placedBefore; ///< If the epoch before has told it.
  Instant m_createdAt;
  int64_t m_wallMs = 0;
  bool m_placeNeeded = false;
  Instant m_nextPlaceAt;
  Instant m_nextReportAt;                 ///< Of why tasks wait.
  std::optional<WaitingReport> m_waiting; ///< While a report is gathered.
  Instant m_nextSweepAt;
  Instant m_learnedWrittenAt;
  SchedulerCounters m_counters;
};

} // namespace egretturn
