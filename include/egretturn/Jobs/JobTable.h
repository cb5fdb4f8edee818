// Life cycle of batch jobs, derived from log records: a state machine for each task.
//
//   Waiting --TaskStart--> Started --TaskEnd(finished)--> Finished
//      ^                      |----TaskEnd(other)-------> Waiting, or Cancelled / Failed once the
//      |----------------------+                           job was cancelled or failed
//
// All instances of an availability zone apply the same records and reach the same states.
#pragma once

#include "egretturn/Journal/Records.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace egretturn {

enum class TaskPhase : uint8_t
{
  Waiting,
  Started,
  Finished,
  Failed,
  Cancelled,
};

/// Returns the lower-case name of \p aPhase.
std::string_view NameOf(TaskPhase aPhase);

/// Replicated state of one task.
struct TaskState
{
  TaskPhase m_phase = TaskPhase::Waiting;
  Attempt m_attempt = 0; ///< The last recorded attempt.
  WorkerId m_worker = 0; ///< Worker of that attempt.
  uint16_t m_rack = 0;   ///< Index into JobTable's rack names.
  std::string m_checkpoint;
  std::vector<WorkerId> m_failedOn; ///< Distinct workers on which it failed.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("phase", aSelf.m_phase);
    aVisit("attempt", aSelf.m_attempt);
    aVisit("worker", aSelf.m_worker);
    aVisit("rack", aSelf.m_rack);
    aVisit("checkpoint", aSelf.m_checkpoint);
    aVisit("failed_on", aSelf.m_failedOn);
  }
};

/// State of a job as reported to callers. Finished, Failed and Cancelled are final; a job reaches
/// exactly one of them.
enum class JobPhase : uint8_t
{
  Waiting,
  Running,
  Finished,
  Failed,
  Cancelled,
};

/// Returns the lower-case name of \p aPhase.
std::string_view NameOf(JobPhase aPhase);

/// A batch job and the states of its tasks.
struct Job
{
  JobId m_id = 0;
  JobSubmit m_spec;
  bool m_local = false; ///< Runs in this availability zone; otherwise its tasks are unknown.
  bool m_cancelled = false;
  std::string m_failReason; ///< Empty unless the job failed.
  std::vector<TaskState> m_tasks;
  uint32_t m_finished = 0; ///< Number of finished tasks.
  uint32_t m_started = 0;  ///< Number of started tasks that have not ended.
  uint32_t m_ended = 0;    ///< Number of tasks in a final phase.

  JobPhase Phase() const;
};

/// Outcome of a submission.
struct SubmissionResult
{
  JobId m_id = 0;
  bool m_created = false;  ///< Whether this record created the job.
  bool m_sameSpec = false; ///< If false, the key is in use for a job with another specification.
};

/// Entry in the queue of waiting tasks of a rack, ordered by urgency and then by age.
struct WaitingTask
{
  bool m_urgent = false;
  TaskId m_task;

  bool operator<(const WaitingTask& aOther) const
  {
    if (m_urgent != aOther.m_urgent) {
      return m_urgent;
    }
    return m_task < aOther.m_task;
  }
};

/// The jobs that one instance knows, built from the records of the log. Not thread-safe.
class JobTable
{
public:
  explicit JobTable(std::string aZone);

  /// Applies a submission from the intake stream.
  SubmissionResult Apply(JobId aId, const JobSubmit& aSubmit);

  // Apply records of the zone stream. Each overload returns whether the record took effect.
  // \pre The writer owned the task's rack in the record's epoch.
  bool Apply(const TaskStart& aStart);
  bool Apply(const TaskEnd& aEnd);
  bool Apply(const TaskMove& aMove);
  bool Apply(const JobCancel& aCancel);
  bool Apply(const JobFail& aFail);

  const Job* Find(JobId aId) const;
  const Job* FindByKey(const std::string& aKey) const;
  const TaskState* FindTask(const TaskId& aTask) const;

  /// Returns the rack that schedules \p aTask. \pre The task is known.
  const std::string& RackOf(const TaskId& aTask) const;

  /// Returns the waiting tasks of \p aRack in the order in which they should start.
  const std::set<WaitingTask>& Waiting(const std::string& aRack) const;

  /// Returns the tasks of \p aRack that have started and not ended.
  const std::set<TaskId>& Started(const std::string& aRack) const;

  /// Returns whether all jobs that \p aJob depends on have finished. Jobs that the table does not
  /// hold count as finished.
  bool DependenciesFinished(const Job& aJob) const;

  const std::map<JobId, Job>& All() const { return m_jobs; }

  /// Returns whether the jobs that have not ended leave room for one with \p aTasks tasks.
  bool HasRoomFor(uint32_t aTasks) const;

  // Entries of snapshots. Specifications belong to the intake stream, task states to the zone
  // stream.
  struct JobSpecEntry
  {
    JobId m_id = 0;
    JobSubmit m_spec;

    template<typename Self, typename Visit>
    static void Fields(Self& aSelf, Visit&& aVisit)
    {
      aVisit("id", aSelf.m_id);
      aVisit("spec", aSelf.m_spec);
    }
  };
  struct JobTasksEntry
  {
    JobId m_id = 0;
    bool m_cancelled = false;
    std::string m_failReason;
    std::vector<TaskState> m_tasks;

    template<typename Self, typename Visit>
    static void Fields(Self& aSelf, Visit&& aVisit)
    {
      aVisit("id", aSelf.m_id);
      aVisit("cancelled", aSelf.m_cancelled);
      aVisit("fail_reason", aSelf.m_failReason);
      aVisit("tasks", aSelf.m_tasks);
    }
  };
  std::vector<JobSpecEntry> Specs() const;
  std::vector<JobTasksEntry> Tasks() const;
  const std::vector<std::string>& RackNames() const { return m_rackNames; }
  void RestoreSpecs(const std::vector<JobSpecEntry>& aEntries);
  void RestoreTasks(const std::vector<std::string>& aRackNames,
                    const std::vector<JobTasksEntry>& aEntries);

private:
  struct RackIndex
  {
    std::set<WaitingTask> m_waiting;
    std::set<TaskId> m_started;
  };

  uint16_t InternRack(const std::string& aRack);
  TaskState* MutableTask(const TaskId& aTask);
  void AddJob(JobId aId, const JobSubmit& aSubmit);
  void SetPhase(Job& aJob, uint32_t aIndex, TaskPhase aPhase);
  void UpdateRackIndex(const Job& aJob, uint32_t aIndex, bool aAdd);
  void EndWaitingTasks(Job& aJob, TaskPhase aPhase);
  void DiscardOldest();

  const std::string m_zone;
  std::map<JobId, Job> m_jobs;
  uint64_t m_taskCount = 0;     ///< Tasks of all jobs, by their specifications.
  uint64_t m_openTaskCount = 0; ///< Tasks of local jobs that have not ended.
  std::unordered_map<std::string, JobId> m_byKey;
  std::vector<std::string> m_rackNames;
  std::unordered_map<std::string, uint16_t> m_rackIndexes;
  std::unordered_map<std::string, RackIndex> m_racks;
};

} // namespace egretturn
