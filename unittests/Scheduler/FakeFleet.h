// Simulated workers under virtual time that follow the worker protocol, and an oracle that records
// every violation.
#pragma once

#include "egretturn/Scheduler/Scheduler.h"
#include "egretturn/Support/Random.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace egretturn::schedtest {

/// The history of a job, as the oracle knows it.
struct JobHistory
{
  Submission m_submission;
  bool m_accepted = false;
  bool m_refused = false;
  bool m_cancelled = false; ///< The cancellation was acknowledged.
  Instant m_cancelledAt;
  bool m_unknownWhenCancelled = false; ///< The caller was told that there is no such job.
};

/// Checks starts and ends as callers and workers observe them.
class Oracle
{
public:
  std::map<GraphId, JobHistory> m_jobs;
  std::vector<std::string> m_violations;

  /// Records that a cancel of the job was answered: it is cancelled, or there is no such job.
  void OnCancelAnswered(GraphId aId, bool aKnown, Instant aNow);

  /// Records that a submission of the job was accepted.
  void OnAccepted(GraphId aId);

  void ReportViolation(const std::string& aWhat) { m_violations.push_back(aWhat); }
  void OnStarted(const TaskRef& aTask, const WorkerName& aWorker, Instant aNow, bool aLate);
  void OnEnded(const TaskRef& aTask,
               AttemptNumber aAttempt,
               const WorkerName& aWorker,
               AttemptEnd aEnd);
  /// \p aLeaseExpired tells whether the worker's lease has expired since the end.
  void OnAcknowledged(const EndedAttempt& aReported, bool aLeaseExpired);
  /// Returns whether the task has ended as done, or, in a gang, any task of its step.
  bool IsDone(const TaskRef& aTask) const;
  /// Returns whether an end of the task as done was acknowledged, or, in a gang, of any task.
  bool IsDoneForGood(const TaskRef& aTask) const;
  /// Returns whether any worker runs the task.
  bool IsRunning(const TaskRef& aTask) const;
  /// Returns on how many of the running tasks of the step \p aWorker is at work.
  uint32_t CountRunning(const TaskRef& aFirst, const WorkerName& aWorker) const;

private:
  static std::string Key(const TaskRef& aTask) { return FormatTaskRef(aTask); }
  const GraphStep* StepOf(const TaskRef& aTask) const;
  bool IsAmong(const std::set<std::string>& aDone, const TaskRef& aTask) const;

  std::map<std::string, std::set<WorkerName>> m_running;
  std::set<std::string> m_done;             ///< Ended as done.
  std::set<std::string> m_acknowledgedDone; ///< Done, and the end was acknowledged.
  std::map<std::string, std::set<AttemptNumber>> m_doneAttempts;
  /// Of m_doneAttempts, those after which the task was started again.
  std::map<std::string, std::set<AttemptNumber>> m_repeatedAttempts;
  std::map<std::string, std::set<AttemptNumber>> m_failed;
};

/// A simulated worker.
class FakeWorker
{
public:
  FakeWorker(WorkerReport aReport, Oracle& aOracle, Random& aRandom);

  WorkerCallResult Start(const StartTask& aStart, uint64_t aFence, Instant aNow, bool aLate);
  WorkerCallResult Stop(const StopTask& aStop, uint64_t aFence, Instant aNow);
  WorkerCallResult Poll(const PollWorker& aPoll,
                        uint64_t aFence,
                        Instant aNow,
                        WorkerStatus& aStatus);

  /// Returns what a poll that has waited until \p aNow lists.
  WorkerStatus Describe(Instant aNow) const;

  /// Returns what its clock shows.
  int64_t ClockMs(Instant aNow) const;

  /// Advances time: tasks end, leases expire.
  void Advance(Instant aNow);

  /// Restarts the worker with a new incarnation; all its attempts are lost.
  void Restart(Instant aNow);

  /// Reports from now on that it drains.
  void Drain() { m_report.m_draining = true; }

  /// Lets the worker exit for good; all its attempts are lost. Nothing is listed under its id
  /// again.
  void Leave(Instant aNow);

  /// Returns whether it has exited for good.
  bool HasLeft() const { return m_left; }

  /// Returns whether it neither runs anything nor has an end that was not acknowledged.
  bool IsIdle() const { return m_attempts.empty() && m_ended.empty(); }

  const WorkerReport& Report() const { return m_report; }
  size_t Running() const { return m_attempts.size(); }
  /// Returns the demand of all attempts, also of best-effort ones.
  Demand TotalDemand() const;
  /// Returns whether it holds an end of the task as done that was not acknowledged.
  bool HoldsDoneEnd(const TaskRef& aTask) const;

  Instant m_unreachableUntil;  ///< Until then, calls get no response.
  Instant m_deregisteredUntil; ///< Until then, the directory has no entry for it.
  bool m_failsAll = false;
  int64_t m_firstClockMs = 1000; ///< What its clock shows when it starts.
  size_t m_maxListedEnds = 500;  ///< Ends in one response; the first ones if there are more.
  size_t m_checkpointBytes = 0;  ///< Of each checkpoint; 0 for no checkpoints.
  Duration m_longRunningTime = std::chrono::seconds(20); ///< After which such a task fails.
  Duration m_maxTime = std::chrono::milliseconds(2600);  ///< Of another task: 100 ms or more.

private:
  struct Attempt
  {
    AttemptNumber m_attempt = 0;
    Instant m_startedAt;
    Instant m_endsAt;
    bool m_stalls = false; ///< It reports no progress.
    AttemptEnd m_end = AttemptEnd::Done;
    Demand m_demand;
  };

  /// An end that was not acknowledged yet.
  struct PendingEnd
  {
    EndedAttempt m_reported;
    bool m_leaseExpired = false; ///< The worker's lease has expired since.
  };

  static int PercentOf(const Attempt& aAttempt, Instant aNow);
  void End(const TaskRef& aTask, AttemptEnd aEnd);
  bool Fence(uint64_t aFence);
  Demand InUse() const;

  WorkerReport m_report;
  Oracle& m_oracle;
  Random& m_random;
  std::map<std::string, std::pair<TaskRef, Attempt>> m_attempts;
  std::vector<PendingEnd> m_ended;
  std::map<std::string, AttemptNumber> m_highestEnded;
  uint64_t m_lastEnd = 0;
  uint64_t m_fence = 0;
  int64_t m_leaseMs = 0;
  Instant m_startedAt;
  bool m_left = false;
};

} // namespace egretturn::schedtest
