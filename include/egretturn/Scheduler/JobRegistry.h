// Jobs in memory: the phase of each task, and what of it is durable.
#pragma once

#include "egretturn/Scheduler/Durations.h"
#include "egretturn/Scheduler/Fleet.h"

#include <map>
#include <unordered_map>

namespace egretturn {

/// A run of a task on a worker.
struct LiveRun
{
  Worker* m_worker = nullptr;
  AttemptNumber m_attempt = 0;
};

struct TaskRecord
{
  bool m_done = false;
  uint32_t m_starts = 0;           ///< Starts under the present epoch; numbers the runs.
  std::vector<LiveRun> m_attempts; ///< More than one only for steps with copies.
  std::vector<AttemptNumber> m_failedRuns;
  std::string m_checkpoint;
  const Worker* m_avoid = nullptr; ///< Where it failed last. Compared only, never followed.
  Instant m_notBefore;
};

struct StepRecord
{
  std::vector<TaskRecord> m_tasks;
  uint32_t m_done = 0;
  uint32_t m_waiting = 0; ///< Tasks that are neither done nor live.
};

struct OccurrenceRecord
{
  uint32_t m_number = 0;
  std::vector<StepRecord> m_steps;
  bool m_complete = false;
};

struct Job
{
  StoredJob m_stored;
  JobState m_state = JobState::Queued;
  JobState m_durableState = JobState::Queued; ///< What callers are told.
  bool m_durable = false;                     ///< The acceptance is in the store.
  bool m_recovered = false;                   ///< An earlier epoch may have started tasks of it.
  bool m_jobWritten = false;                  ///< The acceptance is in a batch, or durable.
  Instant m_submittedAt;
  std::vector<int64_t> m_stepMs; ///< How long a task of each step takes, as far as is known.
  std::vector<bool> m_stepSeen;  ///< Whether that was seen, not expected.
  Duration m_objective{};        ///< From submission until done, by m_stepMs.
  int64_t m_endedMs = 0;         ///< Unix time.
  uint32_t m_nextOccurrence = 0;
  uint32_t m_liveRuns = 0;
  ServingLoad m_servingLoad; ///< Of lasting tasks with a target.
  Instant m_activeAt;        ///< When a run of it last started or ended.
  std::vector<OccurrenceRecord> m_occurrences;
  std::vector<RequestToken> m_submitters;
  std::vector<RequestToken> m_cancellers;

  /// Notes that a task of \p aStep took \p aMs undisturbed.
  void NoteDuration(size_t aStep, int64_t aMs);

  /// The core-seconds of all steps, by m_stepMs.
  double TotalWork() const;

  bool IsLasting() const;
  bool HasOpenOccurrences() const;
};

/// The jobs by id. Not thread-safe.
class JobBook
{
public:
  /// The job, or nullptr.
  Job* Find(GraphId aId);

  /// Adds a job that was not known. \pre Its graph is valid and its id new.
  Job& Add(StoredJob aStored, const DurationModel& aDurations, Instant aNow);

  void Erase(GraphId aId) { m_jobs.erase(aId); }

  /// Opens the occurrences that are due at \p aWallMs. Returns true if one was opened.
  bool OpenDue(Job& aJob, int64_t aWallMs);

  /// The task, or nullptr if the job has no such open occurrence, step or index.
  static TaskRecord* FindTask(Job& aJob, const TaskRef& aTask);
  static OccurrenceRecord* FindOccurrence(Job& aJob, uint32_t aNumber);

  /// Whether all steps that \p aStep depends on are done.
  static bool IsReady(const Job& aJob, const OccurrenceRecord& aOccurrence, size_t aStep);

  std::unordered_map<GraphId, std::unique_ptr<Job>>& All() { return m_jobs; }

private:
  std::unordered_map<GraphId, std::unique_ptr<Job>> m_jobs;
};

/// What an occurrence still needs.
struct RemainingWork
{
  Duration m_path{}; ///< The longest chain of steps.
  double m_coreSeconds = 0;
};

/// Thread-compatible.
RemainingWork EstimateRemaining(const Job& aJob, const OccurrenceRecord& aOccurrence);

/// The progress record of \p aJob. Thread-compatible.
StoredProgress DescribeProgress(const Job& aJob);

/// Applies \p aProgress to a job that was just added.
void ApplyProgress(Job& aJob, const StoredProgress& aProgress);

} // namespace egretturn
