// Makes the scheduling decisions of one epoch: accepts jobs, starts their tasks on workers, and
// writes the state that must be durable to the store. A state machine without sockets, threads or
// clocks of its own.
#pragma once

#include "egretturn/Scheduler/AbsenceLog.h"
#include "egretturn/Scheduler/BatchDraft.h"
#include "egretturn/Scheduler/CancelTombstones.h"
#include "egretturn/Scheduler/HeldPlaces.h"
#include "egretturn/Scheduler/JobRanking.h"
#include "egretturn/Scheduler/JobRegistry.h"
#include "egretturn/Scheduler/JobWait.h"
#include "egretturn/Scheduler/LeadershipConfirmation.h"
#include "egretturn/Scheduler/LongRunningShare.h"
#include "egretturn/Scheduler/PassBudget.h"
#include "egretturn/Scheduler/PassCursor.h"
#include "egretturn/Scheduler/PlaceWait.h"
#include "egretturn/Scheduler/PreviousPlacements.h"
#include "egretturn/Scheduler/QuotaFloors.h"
#include "egretturn/Scheduler/RoomModel.h"
#include "egretturn/Scheduler/SchedulerTypes.h"
#include "egretturn/Scheduler/SlownessModel.h"
#include "egretturn/Scheduler/WaitingReport.h"
#include "egretturn/Scheduler/WaitingSteps.h"

#include <set>
#include <unordered_set>

namespace egretturn {

/// Schedules jobs on the workers during one epoch. Each event method may add actions; fetch them
/// with TakeActions(). Not thread-safe.
class Scheduler
{
public:
  Scheduler(const SchedulerLimits& aLimits, uint64_t aEpoch, Instant aNow);

  // Recovery: call these methods before any other event.

  /// Adds a job from the store.
  void RestoreJob(StoredJob aJob, Instant aNow, int64_t aWallMs);

  /// Applies the progress of a job that RestoreJob() has added.
  void RestoreProgress(GraphId aId, const StoredProgress& aProgress);

  /// Says that leaders of earlier epochs may go on calling workers until
  /// OnEarlierLeadersStopping(). Call before RestoreWorker(). Otherwise they stop within
  /// LeaseLimits::m_noticeTime.
  void ExpectEarlierLeaders() { m_earlierLeadersActive = true; }

  /// Adds a part of the progress of a job, kept under \p aKey. A part of no job that has not ended,
  /// or of an earlier job with the same id, is deleted. Call after RestoreProgress() of the job.
  void RestoreProgressPart(const std::string& aKey,
                           GraphId aId,
                           const StoredProgressPart& aPart,
                           Instant aNow);

  /// Adds a worker on which an earlier epoch may have started tasks.
  void RestoreWorker(const WorkerReport& aReport, Instant aNow);

  /// Goes on from the last stored reading of the retention clock. Call before RestoreProgress().
  void RestoreRetentionClock(int64_t aReadingMs) { m_retentionClock.Restore(aReadingMs); }

  /// Adds a job that was cancelled before it was accepted. Call after RestoreRetentionClock().
  void RestoreTombstone(GraphId aId, const StoredTombstone& aStored);

  /// Restores the models that an earlier epoch has learned. Call before RestoreJob().
  void RestoreModels(const StoredModels& aStored);

  /// Returns all tasks that may be running on workers, or that have ended there without a durable
  /// record, as far as they are known, and the workers that have not been polled yet.
  Placements ListPlacements(Instant aNow) const;

  /// Restores what ListPlacements() of the previous epoch returned after its last worker call. A
  /// task that is not listed can start once no worker is left that may run unknown tasks.
  void RestorePlacements(const Placements& aPlacements, Instant aNow);

  /// Handles that all leaders of earlier epochs stop calling workers within
  /// LeaseLimits::m_noticeTime.
  void OnEarlierLeadersStopping(Instant aNow);

  // Callers.

  /// Accepts or refuses \p aSubmission; the result follows as a CompleteRequest action. A job whose
  /// record is larger than the store's limit is refused as TooLarge. A job whose cancellation was
  /// answered with NoSuchJob is refused as Cancelled, for kMinTombstoneTime or longer. \pre The
  /// graph is valid.
  void Submit(RequestToken aRequest, Submission aSubmission, Instant aNow, int64_t aWallMs);

  /// Cancels a job; the result follows as a CompleteRequest action once the cancellation is
  /// durable. That there is no such job is said once the store has a tombstone of it: no leader has
  /// accepted the job before, and none accepts it afterwards. Unknown if that takes too long, and
  /// NotRun if there are too many tombstones.
  void Cancel(RequestToken aRequest, GraphId aId, Instant aNow, int64_t aWallMs);

  /// Returns the state reported to callers, or nothing for an unknown job.
  std::optional<JobState> StateOf(GraphId aId);

  /// Returns the number of accepted jobs of \p aRoute of which no task is known to have begun. A
  /// start without a response does not count until the worker accepts it or lists its task.
  uint64_t CountPending(const std::string& aRoute);

  // Workers.

  /// Handles an entry of the directory.
  void UpdateWorker(const WorkerReport& aReport, Instant aNow);

  /// Handles the removal of the worker's entry from the directory.
  void DeregisterWorker(const WorkerName& aId, Instant aNow);

  /// Handles the end of the first full read of the directory.
  void OnDirectoryRead();

  /// Handles the response to the poll numbered \p aNumber; responses to earlier polls are ignored.
  void OnPollResponse(const WorkerName& aId,
                      uint64_t aNumber,
                      const WorkerStatus& aStatus,
                      Instant aNow);

  /// Handles the failure of the poll numbered \p aNumber. Polls are retried at increasing
  /// intervals.
  void OnPollFailed(const WorkerName& aId,
                    uint64_t aNumber,
                    WorkerCallResult aResult,
                    Instant aNow);

  /// Handles the result of a start call; the result for an unknown attempt is ignored.
  void OnStartResult(const WorkerName& aId,
                     const TaskRef& aTask,
                     AttemptNumber aAttempt,
                     WorkerCallResult aResult,
                     Instant aNow);

  /// Handles the result of a stop call; the result for an unknown attempt is ignored.
  void OnStopResult(const WorkerName& aId,
                    const TaskRef& aTask,
                    AttemptNumber aAttempt,
                    WorkerCallResult aResult,
                    Instant aNow);

  // The store.

  /// Handles the confirmation that the batch numbered \p aBatch is durable.
  void OnAppended(uint64_t aBatch, Instant aNow);

  /// Handles that the store refuses the record \p aKey of the batch in flight for good. A new job
  /// is refused, and a worker gets no task; anything else is written again with its next change.
  void OnRecordRefused(const std::string& aKey, Instant aNow);

  /// Records that no other instance had claimed the leadership at \p aSince. Confirmed batches say
  /// so, too.
  void OnConfirmed(Instant aSince, Instant aNow);

  /// Answers Unknown to requests to cancel unknown jobs that have waited for the store for too
  /// long, so that the callers try another instance. Call regularly, also while Tick() is not due
  /// because there is no evidence that this leader leads.
  void ExpireUnconfirmedCancels(Instant aNow);

  /// Sets whether the store accepts appends. While it does not, new jobs are refused immediately.
  void SetStoreAvailable(bool aAvailable) { m_storeAvailable = aAvailable; }

  // Time.

  /// Executes what is due. Call when NextTickAt() is reached.
  void Tick(Instant aNow, int64_t aWallMs);

  /// Returns when Tick() is due next.
  Instant NextTickAt(Instant aNow) const;

  /// Returns the actions that were added since the last call.
  std::vector<Action> TakeActions();

  const SchedulerCounters& Counters() const { return m_counters; }
  Fleet& Workers() { return m_fleet; }
  /// Returns the jobs that had nothing running when that was last determined, once a second.
  const JobWaits& WaitingJobs() const { return m_jobWaits; }
  /// Returns which long-running tasks are away or were until then, as of the last look.
  const AbsenceReport& GetAbsences() const { return m_absences.LastReport(); }
  /// Returns the room for work by service, measured at least once a second.
  const RoomModel& GetRoom() const { return m_room; }

  size_t JobCount() { return m_jobs.All().size(); }
  /// Returns the bytes that the jobs in memory are counted with.
  size_t JobBytes() const { return m_jobs.Budget().Bytes(); }
  /// Returns the number of jobs that are remembered as cancelled before they were accepted.
  size_t TombstoneCount() const { return m_tombstones.Size(); }
  bool IsRecovered() const { return m_recovered; }

  /// Returns what contradicts itself in the records of jobs that have not ended; for tests. A task
  /// waits, has attempts, or is done, and each task that waits is found by the next placement pass.
  std::vector<std::string> ListInconsistencies() const;

  /// Returns the reading of the retention clock, which the store should learn each second.
  int64_t RetentionClockMs() const { return m_retentionClock.NowMs(); }

private:
  /// Delay before the next poll, so that one poll reports several ends.
  static constexpr Duration kPollDelay = std::chrono::milliseconds(20);

  static constexpr Duration kRecoveryReportInterval = std::chrono::seconds(1);

  /// While little is reserved, one task of a job without attempts for this long starts even where
  /// it causes interference, throttled to what its neighbors bear; and a task that has waited for
  /// this long, on an avoided or slow worker.
  static constexpr Duration kMaxJobIdleTime = std::chrono::milliseconds(1500);
  /// Share of the service's processors below which that is so. What best-effort tasks demand does
  /// not count: they reserve nothing, and what they take from other jobs does not justify that a
  /// job has nothing running.
  static constexpr double kLowReservation = 0.55;

  /// A job as written in the batch in flight.
  struct BatchedJob
  {
    GraphId m_id;
    JobState m_state;
  };

  // AttemptEnds.cpp
  /// Records that a task of \p aJob is known to have begun: it is not pending any more.
  static void RecordBegun(Job& aJob);
  /// Records that an attempt of \p aTask was known to run at \p aAt.
  void RecordRun(const TaskRef& aTask, Instant aAt);
  void RecordDuration(const TaskRef& aTask, Duration aDuration);
  void ProcessEndedAttempt(Worker& aWorker, const EndedAttempt& aReported, Instant aNow);
  void ApplyAttemptEnd(Job& aJob,
                       TaskRecord& aTask,
                       const EndedAttempt& aReported,
                       Worker& aWorker,
                       Instant aNow);
  /// Marks the other members of the gang of \p aDone as done: one such end represents all of them.
  void CompleteGang(Job& aJob, const TaskRef& aDone, Instant aNow);
  void ApplyTaskDone(Job& aJob, TaskRecord& aTask, const TaskRef& aRef, Instant aNow);
  void ApplyTaskFailure(Job& aJob,
                        TaskRecord& aTask,
                        const TaskRef& aRef,
                        AttemptNumber aAttempt,
                        Worker& aWorker,
                        Instant aNow);
  void UpdateRunningAttempt(Worker& aWorker, const RunningAttempt& aReported, Instant aNow);
  /// Returns the record of a task that a worker has reported, and opens its occurrence if an
  /// earlier epoch may have started it; nullptr if \p aJob is nullptr, has ended, or has no such
  /// task.
  TaskRecord* FindReportedTask(Job* aJob, const TaskRef& aTask);
  void AdoptAttempt(Worker& aWorker, const RunningAttempt& aReported, Instant aNow);
  void RemoveLostAttempts(Worker& aWorker, const WorkerStatus& aStatus, Instant aNow);
  void MarkAttemptLost(Worker& aWorker, const TaskRef& aTask, Instant aNow, const char* aCause);
  void MarkAllAttemptsLost(Worker& aWorker, Instant aNow, const char* aCause);
  static void LogAttempt(const char* aEvent,
                         const Worker& aWorker,
                         const TaskRef& aTask,
                         AttemptNumber aAttempt,
                         std::string_view aCause);
  /// Marks an occurrence of which all tasks are done as complete, and ends the job with the last
  /// one.
  void CompleteOccurrence(Job& aJob, OccurrenceRecord& aOccurrence, Instant aNow);
  void EndJob(Job& aJob, JobState aState, Instant aNow);

  // Avoidance.cpp
  /// Counts a failure. The worker may have been healthy from its last failure until
  /// \p aHealthyUntil.
  void RecordFailure(Worker& aWorker, Instant aHealthyUntil, Instant aNow);
  /// Returns whether \p aWorker may be avoided beside the workers of its service that are already.
  bool MayAvoid(const Worker& aWorker, Instant aNow) const;
  /// Returns the avoided or slow workers on which a task of \p aStep may start.
  const std::vector<Worker*>& LastResortOf(const GraphStep& aStep) const;
  /// Returns whether a task has waited for so long that an avoided or slow worker is better than
  /// none.
  bool MayUseLastResort(const WaitingStep& aWaiting, size_t aTask, Instant aNow);
  /// The same for any task of the step.
  bool MayUseLastResort(const WaitingStep& aWaiting, Instant aNow);

  // WorkerRestarts.cpp
  /// Returns whether a response of \p aIncarnation is valid. A response that is older than the
  /// directory's entry may predate a restart, so it is valid only once the worker repeats it.
  static bool IsCurrentIncarnation(Worker& aWorker, int64_t aIncarnation);
  /// Records the incarnation that has responded, and resets the counters of an earlier one.
  static void SetIncarnation(Worker& aWorker, int64_t aIncarnation);
  /// Handles the first response of a process that was started in place of the one before: raises
  /// the fence of its calls, and polls it again.
  void OnWorkerRestarted(Worker& aWorker, const WorkerStatus& aStatus, Instant aNow);
  /// Handles that another process has responded at the last address of \p aWorker.
  void OnWorkerGone(Worker& aWorker, Instant aNow);

  // LateStarts.cpp
  /// Holds the task if the start of \p aLost, which is given up, may still be executed.
  void KeepLateStart(Worker& aWorker,
                     const TaskRef& aTask,
                     const AttemptState& aLost,
                     Instant aNow);
  /// Forgets a start that was executed or refused.
  void ForgetLateStart(Worker& aWorker, const TaskRef& aTask, AttemptNumber aAttempt);
  /// Forgets the starts that \p aStatus lists, and those that are over; stops the others.
  void UpdateLateStarts(Worker& aWorker, const WorkerStatus& aStatus, Instant aNow);
  void SettleLateStart(Worker& aWorker, LateStart& aStart, Instant aNow);
  /// Handles that \p aWorker has confirmed the stop of a start that it may execute late.
  void OnLateStartStopped(Worker& aWorker,
                          const TaskRef& aTask,
                          AttemptNumber aAttempt,
                          Instant aNow);
  /// Forgets the starts on a worker out of contact as soon as it may be taken to run nothing.
  void ExpireLateStarts(Worker& aWorker, Instant aNow);
  /// Returns whether a task has waited for so long that a second attempt of it, which its late
  /// start would bring about, is the smaller risk.
  bool MayStartBesideLateStart(const WaitingStep& aWaiting, size_t aTask, Instant aNow);
  /// Returns the only one of \p aLateStarters if the task may start there, or nullptr. A restart
  /// that lets the late start run also ends the attempt that was started there since.
  Worker* ChooseLateStarter(const WaitingStep& aWaiting,
                            size_t aTask,
                            const std::vector<Worker*>& aLateStarters,
                            const PlacementRequest& aRequest,
                            Instant aNow);

  // WorkerCalls.cpp
  uint64_t FenceFor(const Worker& aWorker) const;
  void EmitStop(const Worker& aWorker, const TaskRef& aTask, AttemptNumber aAttempt);
  /// Steps down if a start or stop with \p aResult tells of a higher epoch. Returns true then.
  bool StepDownIfFenced(const WorkerName& aId, WorkerCallResult aResult, Instant aNow);
  static AttemptState* FindAttempt(Worker* aWorker, const TaskRef& aTask, AttemptNumber aAttempt);

  // Stragglers.cpp
  void RescheduleStragglers(Worker& aWorker, Instant aNow);
  void RescheduleAttempt(Worker& aWorker, const TaskRef& aTask, Instant aNow);
  bool CanAvoidAnotherWorker(Instant aNow) const;
  void MoveFromSlowWorker(Worker& aWorker, Instant aNow);
  bool MayMove(const Worker& aWorker, const TaskRef& aTask, Instant aNow);

  // PlacementPass.cpp
  void PlaceWaitingSteps(Instant aNow);
  std::vector<WaitingStep> CollectReadySteps(Instant aNow);
  /// Adds the steps of \p aJob that are ready. Returns whether any of its steps waits, as far as
  /// the budget of the pass allows to tell.
  bool CollectReadyStepsOf(Job& aJob, std::vector<WaitingStep>& aWaiting, Instant aNow);
  /// Decides what the next pass begins with, after so many steps of \p aOrder were tried of those
  /// that go first, and of the others.
  void FinishPass(const PassOrder& aOrder, size_t aTriedFirst, size_t aTriedOthers);
  /// Puts overdue steps first, and then those that the last pass could not try.
  PassOrder OrderSteps(const std::vector<WaitingStep>& aWaiting, Instant aNow);
  /// Keeps starts from where room is cleared for what is overdue of a step that does not fit.
  void ClearPlaces(const WaitingStep& aWaiting, PlacementRequest aRequest, Instant aNow);
  /// Returns whether only the lack of room keeps the task from starting.
  bool MayBePlaced(const WaitingStep& aWaiting, size_t aTask, Instant aNow);
  static FloorCandidate DescribeForFloors(const WaitingStep& aWaiting, Instant aNow);
  /// Puts the steps ahead of the others that the floors guarantee a start.
  void ApplyFloors(std::vector<WaitingStep>& aWaiting, Instant aNow);
  /// Adds a job that is new here to the means of its route.
  void AddToRouteMeans(const Job& aJob);
  JobRank RankOccurrence(const Job& aJob, const OccurrenceRecord& aOccurrence, Instant aNow) const;
  /// Returns the share of the processors of \p aService that was reserved when the current pass
  /// first asked for it. A pass asks for each idle job, and the share is a sum over all workers.
  double ReservedShareOf(const std::string& aService);
  /// Returns the request for the tasks of the step, without their siblings.
  PlacementRequest MakePlacementRequest(const WaitingStep& aWaiting, Instant aNow);
  /// Returns whether \p aJob has had no attempts for a while.
  static bool IsIdle(const Job& aJob, Instant aNow);

  // TaskPlacement.cpp
  static TaskRef MakeTaskRef(const WaitingStep& aWaiting, size_t aIndex);
  static const GraphStep& StepOf(const WaitingStep& aWaiting);
  /// Starts the tasks of the step that fit. Returns false if a task does not fit on any worker.
  bool PlaceStep(const WaitingStep& aWaiting, PlacementRequest aRequest, Instant aNow);
  /// The same; what has started counts against its floor.
  bool PlaceStepAndCharge(const WaitingStep& aWaiting,
                          const PlacementRequest& aRequest,
                          Instant aNow);
  /// Starts all tasks of a gang, or none. Returns false if they do not fit.
  bool PlaceGang(const WaitingStep& aWaiting, PlacementRequest& aRequest, Instant aNow);
  /// Counts the comparison of \p aRequest with \p aWorkers workers.
  void TakeComparisons(const PlacementRequest& aRequest, size_t aWorkers);
  /// Chooses a worker for each of \p aMembers members, or for as many as fit. Changes the siblings
  /// of \p aRequest.
  std::vector<Worker*> ChooseGangWorkers(size_t aMembers, PlacementRequest& aRequest);
  /// \pre No worker has an attempt of the task.
  void StartAttempt(const WaitingStep& aWaiting, size_t aIndex, Worker& aWorker, Instant aNow);
  void StopAttempt(Worker& aWorker, const TaskRef& aTask, Instant aNow);
  void StopAllAttempts(Job& aJob, Instant aNow);
  void DrainWorker(Worker& aWorker, Instant aNow);

  // PutOffStarts.cpp
  /// Returns whether the task waits for a place nearer than \p aWorker. \p aPlaces is filled in
  /// if it is needed.
  bool PutsOffStart(const WaitingStep& aWaiting,
                    size_t aTask,
                    const Worker& aWorker,
                    const PlacementRequest& aRequest,
                    std::optional<NearPlaces>& aPlaces,
                    Instant aNow);
  /// Notes when \p aAttempt, which starts, will probably end, and ends the wait for its place.
  void NotePlace(const WaitingStep& aWaiting,
                 TaskRecord& aTask,
                 const Worker& aWorker,
                 AttemptState& aAttempt,
                 Instant aNow);

  // TaskWaits.cpp
  /// Collects why tasks wait, if a waiting report is due.
  void ReportSkippedStep(const WaitingStep& aWaiting, Instant aNow);
  void ReportUnplacedStep(const WaitingStep& aWaiting,
                          const PlacementRequest& aRequest,
                          Instant aNow);
  using AddTasksToReport = void (WaitingReport::*)(ImageId, uint32_t, Duration);
  void ReportTasks(AddTasksToReport aAdd,
                   const WaitingStep& aWaiting,
                   uint32_t aTasks,
                   Instant aNow);
  void FinishWaitingReport(const std::vector<FailedStep>& aFailed, Instant aNow);
  /// Determines which jobs wait and why. \p aFailed are the steps that did not fit in this pass.
  void ReportWaitingJobs(const std::vector<FailedStep>& aFailed, Instant aNow);
  /// Returns the task that a report on \p aJob names, or nothing if none waits, and sets \p aTasks
  /// to how many wait. One task at work is enough for all that are not long-running.
  std::optional<WaitingTask> FindLongestWait(Job& aJob, uint32_t& aTasks, Instant aNow);
  static bool HasAttempts(const WaitingTask& aWaiting);
  /// Adds the tasks of a ready step to \p aActivity.
  void AddWaitingTasks(const WaitingStep& aStep, JobActivity& aActivity, Instant aNow);
  void NoteHeldStep(const WaitingStep& aWaiting, WaitCause aCause);
  /// Tells m_absences of a long-running task, which runs if its m_since is \p aNow.
  void FollowLongRunning(const WaitingTask& aTask, const TaskRecord& aRecord, Instant aNow);
  /// Tells m_absences of a long-running task that doesn't run.
  void FollowAbsence(const WaitingTask& aWaiting, Instant aNow);
  /// The same for the tasks of a step that were never started, as far as its bound allows.
  void FollowUnstarted(const WaitingStep& aStep, Instant aTurn, Instant aNow);
  /// Returns what holds a long-running task, by what the last pass has found, and sets \p aHolder
  /// to the worker if it is known. Takes less time than ExplainWait().
  WaitCause FindCauseOfAbsence(const WaitingTask& aWaiting, const Worker*& aHolder, Instant aNow);
  JobWait ExplainWait(const WaitingTask& aWaiting,
                      const std::vector<FailedStep>& aFailed,
                      Instant aNow);
  /// Finds an attempt, on any worker, that holds the task or its gang. Returns false if none does.
  bool ExplainByAttempts(const WaitingTask& aWaiting, JobWait& aWait, Instant aNow) const;
  /// Finds a worker that the recovery awaits for the task or its gang. Returns false if the
  /// recovery does not hold it.
  bool ExplainByRecovery(const WaitingTask& aWaiting, JobWait& aWait, Instant aNow);
  /// Finds what keeps a task without attempts from starting.
  void ExplainByPlacement(const WaitingTask& aWaiting,
                          const std::vector<FailedStep>& aFailed,
                          JobWait& aWait,
                          Instant aNow);
  /// Returns whether the task of \p aRequest, or its whole gang, fits.
  bool FitsNow(const WaitingTask& aWaiting, PlacementRequest& aRequest, const JobWait& aWait);
  /// Returns the failed step for which \p aWaiting was not tried, or nullptr if it was tried.
  const FailedStep* FindRulingOut(const WaitingStep& aWaiting,
                                  const PlacementRequest& aRequest,
                                  const std::vector<FailedStep>& aFailed,
                                  Instant aNow) const;
  /// Returns a worker with an attempt of \p aTask, or nullptr.
  const Worker* FindWorkerOf(const TaskRef& aTask) const;
  static HoldingWorker DescribeWorker(const Worker& aWorker, const TaskRef& aTask, Instant aNow);

  // Throttling.cpp
  void AdjustThrottles(Worker& aWorker, Instant aNow);
  void RecordTailLatencies(Worker& aWorker, Instant aNow);
  void UpdateInterferenceModel(Worker& aWorker, Instant aNow);
  /// Throttles the attempts of \p aImage after one has been added.
  void ThrottleForNewAttempt(Worker& aWorker, ImageId aImage, Instant aNow);
  void ThrottleAttempt(const Worker& aWorker,
                       const TaskRef& aTask,
                       AttemptState& aAttempt,
                       int aPercent,
                       Instant aNow);
  double ThrottleFactor(const Worker& aWorker, const BestEffortGroup& aGroup, Instant aNow);
  void ApplyThrottle(Worker& aWorker, const BestEffortGroup& aGroup, Instant aNow);

  // Batches.cpp
  void MarkDirty(const Job& aJob) { m_dirtyJobs.insert(aJob.m_stored.m_id); }
  bool HasUnwrittenChanges() const;
  /// Returns false if a deletion has to wait for the next batch.
  bool AppendDeletions(BatchDraft& aDraft);
  void AppendJobs(BatchDraft& aDraft);
  void AppendModels(BatchDraft& aDraft, Instant aNow);
  Instant BatchDueAt() const;
  void WriteBatch(Instant aNow);
  void AppendWorkerRecords(BatchDraft& aDraft);
  /// Writes the record of \p aWorker again if it has responded at another address. No task is
  /// started there before that is durable.
  void RecordAddress(Worker& aWorker);
  /// Returns false if records of the job have to wait for the next batch.
  bool AppendJobRecords(Job& aJob, BatchDraft& aDraft);
  bool AppendProgress(Job& aJob, BatchDraft& aDraft);
  /// Returns the parts of the progress by key, each below the store's limit of a record.
  std::map<std::string, KeyedRecord> PackProgressParts(const Job& aJob) const;
  KeyedRecord PackModels(const BatchDraft& aDraft) const;
  void SetEndsDurable(Worker& aWorker, uint64_t aNumber);

  /// Adds the tombstones that have to be written, as far as they fit.
  void AppendTombstones(BatchDraft& aDraft);

  // Recovery.cpp
  void CheckRecovery(Instant aNow);
  /// Logs which workers the recovery waits for, if a report is due.
  void ReportRecovery(Instant aNow);
  /// Returns whether no task of \p aJob can start yet, because tasks of earlier epochs may run on
  /// workers without being known.
  bool IsBlockedByRecovery(const Job& aJob) const;
  /// Returns whether an earlier epoch may have started \p aTask on a worker that has not been
  /// read in full yet.
  bool MayRunElsewhere(const Job& aJob, const TaskRef& aTask, Instant aNow);
  /// Returns the worker for which MayRunElsewhere() holds the task, or nullptr if only the
  /// directory is awaited.
  const Worker* FindAwaitedWorker(const Job& aJob, const TaskRef& aTask, Instant aNow) const;
  /// Returns the worker whose lease ends last of those that may run tasks of earlier epochs.
  const Worker* FindLastUnread(Instant aNow) const;
  /// Returns a worker on which the previous leader had placed \p aTask and that has not been read
  /// in full yet, or nullptr.
  const Worker* FindUnreadWorkerOf(const TaskRef& aTask, Instant aNow) const;
  /// Forgets the workers with unknown tasks that have been polled or whose leases have expired.
  void UpdateUnknownTasks(Instant aNow);

  /// Records until when workers that were not read in full held leases, if those have expired.
  void UpdateUnreadLeases(Instant aNow);
  /// Returns whether tasks of \p aJob must not start before the store has confirmed that nobody
  /// else leads.
  bool NeedsConfirmation(const Job& aJob, Instant aNow) const;
  /// Returns whether tasks of \p aJob may start now, or requests the confirmation that they need.
  /// If a lease has expired unseen, a successor that claimed before may have extended it, and one
  /// that claims afterwards may find that the task was done.
  bool MayStartTasksOf(const Job& aJob, Instant aNow);

  // Consistency.cpp
  void CheckJobRecord(const Job& aJob, std::vector<std::string>& aFound) const;
  void CheckOccurrence(const Job& aJob,
                       const OccurrenceRecord& aOccurrence,
                       std::vector<std::string>& aFound) const;

  // Scheduler.cpp
  /// Returns why a new job can't be accepted now, or nullptr if it can.
  const char* FindRefusal(const Submission& aSubmission) const;
  /// Marks the attempts on \p aWorker as lost, since their leases have expired.
  void MarkAttemptsExpired(Worker& aWorker, Instant aNow);
  /// Returns whether a state of \p aWorker can only change by its response. If so, a poll is in
  /// flight, or is sent once it is due.
  static bool NeedsPoll(const Worker& aWorker);
  void PollDueWorkers(Instant aNow);
  void SendPoll(Worker& aWorker, Instant aNow);
  void RetryStops(Instant aNow);
  void CheckWorkers(Instant aNow);
  void OpenOccurrences(int64_t aWallMs, Instant aNow);
  /// Answers with NoSuchJob once a tombstone is durable, or refuses if there are too many.
  void CancelUnknownJob(const UnknownJobCancel& aCancel);
  /// Forgets the jobs, and the cancelled ids, that have been kept for long enough.
  void RemoveEndedJobs();
  void Emit(Action aAction) { m_actions.push_back(std::move(aAction)); }

  SchedulerLimits m_limits;
  uint64_t m_epoch;
  Fleet m_fleet;
  JobRegistry m_jobs;
  ImageInterferenceModel m_interference;
  DurationModel m_durations;
  RouteMeans m_workMeans;             ///< Core-seconds of a job.
  RouteMeans m_bestEffortDemandMeans; ///< Thousandths of a core of a best-effort task.
  SlownessModel m_slownessModel;
  RoomModel m_room;
  std::vector<Action> m_actions;
  std::set<GraphId> m_waitingJobs; ///< Jobs that may have tasks to place.
  GraphId m_nextWaitingJob = 0;    ///< Passes begin with this one or a later one until all that
                                   ///< they collect from there has been tried.
  GraphId m_endOfCollected = 0;    ///< The first one that the last pass did not collect, or 0.
  PassCursor m_cursor;             ///< In the steps that are not overdue.
  std::set<GraphId> m_jobsFirst;   ///< Of which steps went first in the last pass.
  PassCursor m_overdueCursor;      ///< Moves on past steps for which no room can be cleared.
  PassBudget m_passBudget;         ///< For one pass.
  size_t m_clearedPlaces = 0;      ///< In one pass.
  std::unordered_set<GraphId> m_jobsWithFutureOccurrences;
  std::set<GraphId> m_dirtyJobs;           ///< Jobs changed since the last batch.
  GraphId m_nextDirtyJob = 0;              ///< The next batch begins with this one or a later one.
  std::vector<std::string> m_keysToDelete; ///< Of removed jobs and workers.
  std::vector<BatchedJob> m_batchJobs;     ///< Jobs in the batch in flight.
  uint64_t m_batch = 0;
  uint64_t m_pollNumber = 0;
  bool m_batchInFlight = false;
  CancelTombstones m_tombstones;
  LeadershipConfirmation m_confirmation;
  Instant m_batchSentAt;               ///< When the batch in flight was sent.
  Instant m_unreadLeasesEnd;           ///< End of the last lease that expired on an unread worker.
  bool m_hasUnrecordedWorkers = false; ///< A worker has no record in the store yet.
  Instant m_nextBatchAt;
  bool m_urgent = false; ///< A caller waits for the next batch.
  bool m_storeAvailable = true;
  bool m_directoryRead = false;
  bool m_recovered = false;
  bool m_earlierLeadersActive = false;
  PreviousPlacements m_previousPlacements;
  Instant m_createdAt;
  Instant m_nextRecoveryReportAt;
  int64_t m_wallMs = 0;
  RetentionClock m_retentionClock;
  bool m_placementNeeded = false;
  std::unordered_map<std::string, double> m_reservedShares; ///< By service, for one pass.
  std::vector<Worker*> m_availableWorkers;                  ///< For one pass.
  PenalizedWorkers m_penalizedWorkers;                      ///< For one pass.
  LongRunningShare m_longRunningShare;                      ///< For one pass.
  HeldPlaces m_heldPlaces;                                  ///< For one pass.
  std::unordered_map<std::string, size_t> m_putOffByRack;   ///< Starts put off in one pass.
  QuotaFloors m_floors;
  Instant m_nextPlacementAt;
  Instant m_nextWaitingReportAt;                ///< When the next report on waiting tasks is due.
  std::optional<WaitingReport> m_waitingReport; ///< Set while a report is collected.
  JobWaits m_jobWaits;                          ///< Of the last report.
  AbsenceLog m_absences;
  Instant m_nextSweepAt;
  Instant m_modelsWrittenAt;
  SchedulerCounters m_counters;
};

} // namespace egretturn
