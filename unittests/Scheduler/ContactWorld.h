// A scheduler and its workers, with which contact can be lost in several ways.
#pragma once

#include "egretturn/Scheduler/Scheduler.h"

#include <map>
#include <optional>
#include <set>

namespace egretturn::schedtest {

/// A scheduler whose workers respond immediately unless they are unreachable. They execute nothing.
class ContactWorld
{
public:
  static constexpr const char* kAddress = "10.0.0.1:80";

  explicit ContactWorld(const SchedulerLimits& aLimits = SchedulerLimits())
    : m_scheduler(aLimits, 1, m_now)
  {
    m_scheduler.OnDirectoryRead();
  }

  void RegisterWorker(const WorkerName& aName,
                      int64_t aIncarnation = 0,
                      const std::string& aAddress = kAddress,
                      bool aDraining = false);

  /// Submits a long-running task that reserves \p aCpuMilli.
  void SubmitLongRunning(GraphId aId, int64_t aCpuMilli) { Submit(aId, aCpuMilli, true); }

  /// Registers a worker of \p aIncarnation, submits job 1, a long-running task that reserves
  /// \p aCpuMilli, and leaves it a second to start.
  void RegisterWithTask(const WorkerName& aName, int64_t aCpuMilli, int64_t aIncarnation = 0);

  /// Registers a worker that responds to polls, but to no orders, and submits job 1, whose start is
  /// lost there if there is no other worker.
  void RegisterWithLostStart(const WorkerName& aName);

  /// Restarts the process of a worker with \p aIncarnation. It knows nothing of before.
  void Restart(const WorkerName& aName, int64_t aIncarnation);

  /// Lets the starts and polls without a response arrive at the processes that now run.
  void DeliverLateCalls();

  /// Submits a task that takes a minute and reserves \p aCpuMilli.
  void SubmitOneMinute(GraphId aId, int64_t aCpuMilli) { Submit(aId, aCpuMilli, false); }

  void Cancel(GraphId aId) { m_scheduler.Cancel(1, aId, m_now, WallMs()); }

  /// Ends the oldest attempt of \p aWorker. \pre There is one.
  void End(const WorkerName& aWorker, AttemptEnd aEnd);

  void Advance(Duration aTime);

  /// Advances until a second after the end of the last lease.
  void AdvancePastLeases();

  const Worker& WorkerOf(const WorkerName& aName) { return *m_scheduler.Workers().Find(aName); }

  Duration m_tickInterval = std::chrono::milliseconds(20);
  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler;
  std::set<WorkerName> m_unreachable;
  std::set<WorkerName> m_ordersLost; ///< Starts and stops get no response there, polls do.
  std::set<WorkerName> m_pollsLost;  ///< Polls get no response there, orders do.
  std::set<WorkerName> m_replaced;   ///< Another process responds at their address.
  bool m_steppedDown = false;
  std::map<WorkerName, std::vector<RunningAttempt>> m_running;
  std::map<WorkerName, int64_t> m_incarnations; ///< As the workers themselves report them.
  std::map<WorkerName, int64_t> m_clockLeadsMs; ///< Ahead of the wall clock.
  std::string m_address = kAddress;             ///< Where the workers can be reached.
  std::map<WorkerName, std::vector<EndedAttempt>> m_ended;
  std::map<WorkerName, uint64_t> m_acknowledged; ///< Highest sequence number of an end.
  bool m_confirmationsHeld = false; ///< The store accepts appends, but does not confirm them.
  std::optional<uint64_t> m_heldBatch;
  size_t m_polls = 0;
  Duration m_lastLease{}; ///< Of the last start, on the worker's clock.

private:
  static constexpr Duration kPerPercent = std::chrono::milliseconds(600);

  void Submit(GraphId aId, int64_t aCpuMilli, bool aLongRunning);
  /// Returns the attempts that \p aWorker reports, with progress by the time since their start.
  std::vector<RunningAttempt> ReportedAttempts(const WorkerName& aWorker);
  int64_t WallMs() const { return ToMillis(m_now.time_since_epoch()); }
  int64_t ClockMs(const WorkerName& aName) { return WallMs() + m_clockLeadsMs[aName]; }
  bool IsReachable(const WorkerName& aName, const std::string& aAddress) const;

  void Execute(const Action& aAction);
  /// Returns whether the worker takes a call with \p aFence, and keeps the highest one.
  bool TakeFence(const WorkerName& aName, uint64_t aFence);
  void Run(const StartTask& aStart);
  void Acknowledge(const PollWorker& aPoll);
  void Append(const AppendRecords& aAppend);
  void Stop(const StopTask& aStop);
  void Start(const StartTask& aStart);
  void Poll(const PollWorker& aPoll);

  std::set<GraphId> m_longRunning;
  std::map<WorkerName, uint64_t> m_fences;
  /// By worker, the highest attempt of each task that its process has been told to stop.
  std::map<WorkerName, std::unordered_map<TaskRef, AttemptNumber, TaskRefHash>> m_stopped;
  std::vector<StartTask> m_lateStarts;
  std::vector<PollWorker> m_latePolls;
  std::unordered_map<TaskRef, Instant, TaskRefHash> m_startedAt;
};

} // namespace egretturn::schedtest
