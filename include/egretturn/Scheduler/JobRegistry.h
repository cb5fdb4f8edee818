// Holds the jobs in memory: the state of each task, and which changes are durable.
#pragma once

#include "egretturn/Scheduler/Durations.h"
#include "egretturn/Scheduler/JobBudget.h"
#include "egretturn/Scheduler/TaskTable.h"

#include <map>
#include <unordered_map>

namespace egretturn {

/// The tasks of one step, and how many of them are done or waiting.
struct StepRecord
{
  explicit StepRecord(uint32_t aTasks)
    : m_tasks(aTasks)
    , m_waiting(aTasks)
  {
  }

  TaskTable m_tasks;
  uint32_t m_done = 0;
  uint32_t m_waiting; ///< Tasks that are not done and have no live attempt.
};

/// The steps of one occurrence; empty once it is complete.
struct OccurrenceRecord
{
  uint32_t m_number = 0;
  std::vector<StepRecord> m_steps;
  bool m_complete = false;
  Instant m_openedAt; ///< When it became due under the current epoch, if it did.
};

/// A job in memory, with its occurrences until it ends.
struct Job
{
  StoredJob m_stored;
  JobState m_state = JobState::Queued;
  JobState m_durableState = JobState::Queued; ///< The state reported to callers.
  bool m_durable = false;                     ///< The job's record is in the store.
  bool m_recovered = false;     ///< An earlier epoch may have started some of its tasks.
  Instant m_attemptExpiredAt;   ///< When an attempt was last given up unseen, if any was.
  bool m_recordWritten = false; ///< The job's record is in a batch or in the store.
  Instant m_submittedAt;
  std::vector<int64_t> m_stepDurationMs;    ///< Expected duration of a task of each step.
  std::vector<bool> m_stepDurationMeasured; ///< Whether that duration was measured, not predicted.
  Duration m_objective{};                   ///< From submission to completion, by m_stepDurationMs.
  int64_t m_endedMs = 0;                    ///< Unix time.
  int64_t m_endedReadingMs = RetentionClock::kNoReading; ///< See StoredProgress.
  uint32_t m_nextOccurrence = 0;
  uint32_t m_liveAttempts = 0;
  ServingLoad m_servingLoad; ///< Of its serving tasks.
  Instant m_lastActiveAt;    ///< When one of its attempts last started or ended.
  Instant m_lastRanAt;       ///< The latest of its tasks' TaskRecord::m_lastRanAt.
  std::vector<OccurrenceRecord> m_occurrences;
  /// By key, the hash of each part of the progress that is in the store or in a batch.
  std::map<std::string, size_t> m_progressParts;
  std::vector<RequestToken> m_submitRequests;
  std::vector<RequestToken> m_cancelRequests;
  size_t m_countedBytes = 0; ///< In the budget of the registry.

  /// Records that a task of \p aStep took \p aMs without a checkpoint or a throttle.
  void RecordDuration(size_t aStep, int64_t aMs);

  /// Returns the core-seconds of all steps, by m_stepDurationMs.
  double TotalWork() const;

  bool IsLongRunning() const;
  bool HasOpenOccurrences() const;
};

/// Returns the bytes that a job with \p aGraph takes until it ends, but for what its tasks add once
/// they start and for occurrences that overlap. Thread-safe.
size_t EstimateJobBytes(const Graph& aGraph);

/// Holds the jobs by id. Not thread-safe.
class JobRegistry
{
public:
  /// \p aMaxBytes limits what the jobs take together.
  explicit JobRegistry(size_t aMaxBytes)
    : m_budget(aMaxBytes)
  {
  }

  /// Returns whether there is room for a job of \p aRoute with \p aGraph.
  bool HasRoomFor(const std::string& aRoute, const Graph& aGraph) const;

  /// Drops what only the starts of tasks need. The demands stay, since an earlier epoch may have
  /// left attempts that still run. \pre The job has ended, and its record is in the store.
  void ReleaseInputs(Job& aJob);

  /// Returns the job, or nullptr if the id is unknown.
  Job* Find(GraphId aId);

  /// Adds a job. \pre Its graph is valid and its id is not in use.
  Job& Add(StoredJob aStored, const DurationModel& aDurations, Instant aNow);

  /// Removes the job. Has no effect if the id is unknown.
  void Erase(GraphId aId);

  const JobBudget& Budget() const { return m_budget; }

  /// Opens the occurrences that are due at \p aWallMs. Returns true if any was opened. While there
  /// is no room for more, one occurrence of each job is open at a time, and the others wait.
  bool OpenDue(Job& aJob, int64_t aWallMs, Instant aNow);

  /// Opens the occurrences up to \p aNumber, whether they are due or not. Returns true if any was
  /// opened; opens none if the job has no occurrence \p aNumber.
  bool OpenThrough(Job& aJob, uint32_t aNumber);

  /// Counts what \p aJob takes now, after ApplyProgress().
  void Recount(Job& aJob);

  /// Drops the tasks of a complete occurrence. What is left of their attempts no longer counts.
  void CloseOccurrence(Job& aJob, OccurrenceRecord& aOccurrence);

  /// Drops the occurrences of a job that has ended.
  void CloseAll(Job& aJob);

  /// Returns what \p aTask was submitted as, or nullptr if \p aJob is nullptr, has no such step, or
  /// does not need it any more.
  static const GraphStep* FindGraphStep(const Job* aJob, const TaskRef& aTask);

  /// Returns the step, or nullptr if the job has no such open occurrence or step, or the step no
  /// such task.
  static StepRecord* FindStepOf(Job& aJob, const TaskRef& aTask);

  /// Returns the record of the task to change it, or nullptr like FindStepOf().
  static TaskRecord* EditTask(Job& aJob, const TaskRef& aTask);

  /// Drops the record of the task if it is done and has no attempts. References to it are invalid
  /// from then on.
  static void ReleaseTask(Job& aJob, const TaskRef& aTask);

  static OccurrenceRecord* FindOccurrence(Job& aJob, uint32_t aNumber);

  /// Returns whether all tasks of an occurrence are done that is not marked as complete yet.
  static bool IsDone(const OccurrenceRecord& aOccurrence);

  /// Returns whether all steps that \p aStep depends on are done.
  static bool IsReady(const Job& aJob, const OccurrenceRecord& aOccurrence, size_t aStep);

  std::unordered_map<GraphId, std::unique_ptr<Job>>& All() { return m_jobs; }
  const std::unordered_map<GraphId, std::unique_ptr<Job>>& All() const { return m_jobs; }

private:
  /// Returns whether the next occurrence of \p aJob may be open beside the others.
  bool MayOpenNext(const Job& aJob) const;

  std::unordered_map<GraphId, std::unique_ptr<Job>> m_jobs;
  JobBudget m_budget;
};

/// The work that an occurrence still needs.
struct RemainingWork
{
  Duration m_criticalPath{}; ///< Duration of the longest chain of unfinished steps.
  double m_coreSeconds = 0;
};

/// Estimates the work that \p aOccurrence still needs. Thread-compatible.
RemainingWork EstimateRemainingWork(const Job& aJob, const OccurrenceRecord& aOccurrence);

/// Returns the worker of each live attempt of the step. Thread-compatible.
std::vector<const Worker*> ListWorkersOf(const StepRecord& aStep);

/// How much of the progress the record of the whole job's progress holds. Parts hold the rest.
enum class ProgressDetail
{
  Full,
  WithoutCheckpoints,
  Outline, ///< Which occurrences there are, and which are complete.
};

/// Returns the progress record of \p aJob. Thread-compatible.
StoredProgress DescribeProgress(const Job& aJob, ProgressDetail aDetail);

/// Returns the progress of all open occurrences of \p aJob in parts of \p aTasks consecutive
/// tasks at most, by the first task. Parts of which nothing is known are left out.
/// Thread-compatible. \pre \p aTasks is not 0.
std::vector<std::pair<TaskRef, StoredProgressPart>> DescribeProgressParts(const Job& aJob,
                                                                          size_t aTasks);

/// Applies the stored \p aProgress to a job that was just added.
void ApplyProgress(Job& aJob, const StoredProgress& aProgress);

/// Adds the facts of \p aStored to those known of \p aOccurrence, which has their number. A
/// checkpoint that is known already is kept.
void MergeProgress(OccurrenceRecord& aOccurrence, const StoredOccurrence& aStored);

} // namespace egretturn
