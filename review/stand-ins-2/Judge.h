// What callers sent and what workers ran, and the rules that follow from both alone.
#pragma once

#include "Net.h"

#include <fstream>
#include <map>
#include <vector>

namespace egretturn::review {

/// One step of a job. How long its tasks work is the worker's knowledge, and not sent.
struct Step
{
  int m_count = 1;
  int m_cpu = 1000; ///< Thousandths of a core.
  int m_memoryMb = 100;
  std::vector<int> m_dependencies;
  std::string m_label;
  int m_maxPerServer = 0;
  bool m_gang = false;
  bool m_lasting = false;
  bool m_saves = false;
  Millis m_work{ 500 };
};

struct JobSpec
{
  std::string m_id;
  std::string m_spec;
  std::vector<Step> m_steps;
  int m_times = 0;
  int64_t m_firstMs = 0; ///< Unix time.
  int64_t m_intervalMs = 0;

  std::string Body() const;
};

/// The name of a task, ID.K.STEP.INDEX, taken apart.
struct TaskName
{
  std::string m_job;
  int m_occurrence = 0;
  int m_step = 0;
  int m_index = 0;

  static std::optional<TaskName> Parse(const std::string& aText);
  /// Returns the name without the index, which the members of a gang share.
  std::string StepName() const;
};

/// How a run ended.
enum class End
{
  Done,
  Failed,
  Stopped,
  Lapsed,
  Broken,
  Alone,
};

std::string NameOf(End aEnd);

/// A run as a worker has it.
struct RunName
{
  std::string m_task;
  int64_t m_run = 0;
  std::string m_worker;

  auto operator<=>(const RunName&) const = default;
};

/// What a worker is at the moment of a start.
struct WorkerView
{
  std::string m_id;
  std::string m_service;
  std::vector<std::string> m_labels;
  int m_freeCpu = 0; ///< Before the start.
  int m_freeMemoryMb = 0;
  bool m_guards = false;
};

/// Collects the record of a case and the rules that were broken. Not thread-safe.
class Judge
{
public:
  Judge(const std::string& aRecordPath, int aAttempts, Millis aCancelTime);

  /// Adds a line to the record, with the time since the beginning.
  void Note(const std::string& aLine);
  void Break(const std::string& aRule, const std::string& aWhat);
  const std::vector<std::string>& Breaks() const { return m_breaks; }
  int64_t ElapsedMs() const;

  void OnSent(const JobSpec& aJob) { m_jobs[aJob.m_id].m_job = aJob; }
  void OnAccepted(const std::string& aId) { m_jobs[aId].m_accepted = true; }
  void OnCancelled(const std::string& aId);
  /// The queue of all jobs is sent to \p aService by some configuration.
  void AllowService(const std::string& aService) { m_services.insert(aService); }

  /// \p aLate: the worker has carried out the order late.
  void OnStart(const RunName& aRun,
               const std::string& aSpec,
               const std::string& aCheckpoint,
               const WorkerView& aWorker,
               bool aLate);
  void OnSaved(const RunName& aRun, const std::string& aCheckpoint);
  void OnEnd(const RunName& aRun, End aEnd);
  /// The leader has taken note of the end. \p aLapsed: the worker's lease lapsed in between.
  void OnNoted(const RunName& aRun, End aEnd, bool aLapsed);
  /// The process of a worker has ended, and all that it ran.
  void OnWorkerLost(const std::string& aWorker);

  const JobSpec* FindJob(const std::string& aId) const;
  const Step* FindStep(const std::string& aTask) const;
  bool IsCancelled(const std::string& aId) const;
  bool IsAccepted(const std::string& aId) const;
  bool IsTaskDone(const std::string& aTask) const;
  size_t CountStarts(const std::string& aJob) const;
  size_t CountRunning(const std::string& aJob) const;
  /// Returns whether all tasks of the job have ended as done; one end of a gang stands for all.
  bool IsJobDone(const std::string& aId) const;
  std::vector<std::string> ListJobs() const;

private:
  struct JobHistory
  {
    JobSpec m_job;
    bool m_accepted = false;
    int64_t m_cancelledMs = -1; ///< When the cancelling was acknowledged.
    size_t m_starts = 0;
  };

  struct TaskHistory
  {
    std::set<RunName> m_running;
    bool m_done = false;
    bool m_doneNoted = false;
    std::set<int64_t> m_doneRuns;
    std::set<int64_t> m_followedRuns; ///< Done runs after which another one started.
    std::set<int64_t> m_failedNoted;
    std::set<std::string> m_checkpoints;
  };

  void CheckOrder(const TaskName& aName, const JobSpec& aJob);
  void CheckWorker(const RunName& aRun,
                   const TaskName& aName,
                   const Step& aStep,
                   const WorkerView& aWorker);

  std::ofstream m_record;
  Clock::time_point m_begunAt = Clock::now();
  int m_attempts;
  Millis m_cancelTime;
  std::set<std::string> m_services;
  std::map<std::string, JobHistory> m_jobs;
  std::map<std::string, TaskHistory> m_tasks;
  std::map<std::string, std::set<std::string>> m_gangCheckpoints; ///< By the name of the step.
  std::map<std::string, std::set<int64_t>> m_gangFailures;        ///< Noted, by the step's name.
  std::vector<std::string> m_breaks;
};

} // namespace egretturn::review
