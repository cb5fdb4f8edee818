// A store, workers and leaders under virtual time, with faults from a printed seed.
#pragma once

#include "FakeFleet.h"

#include "egretturn/Node/Ports.h"

#include <functional>
#include <queue>

namespace egretturn::schedtest {

/// Until a superseded leader has no evidence left that it leads, and calls no workers.
constexpr uint64_t kMaxNoticeMs = 1000;

/// How far the clock of an instance may be behind.
constexpr int64_t kMaxClockLagMs = 3000;

/// The faults to inject.
struct Faults
{
  double m_lateCallProbability = 0;     ///< A call gets no response and may be executed later.
  double m_lostResponseProbability = 0; ///< An append is executed, but not confirmed.
  bool m_storeDown = false;             ///< Appends fail.
};

/// An instance that calls workers.
struct Caller
{
  std::map<WorkerName, Instant> m_unreachableUntil; ///< For this instance only.
};

class SchedulerWorld
{
public:
  SchedulerWorld(uint64_t aSeed, size_t aWorkers);
  virtual ~SchedulerWorld() = default;

  /// Adds a worker; the directory lists it when it is read next.
  FakeWorker& AddWorker(const Demand& aCapacity);

  /// Submits a random job and returns its id.
  GraphId SubmitRandom();
  void Submit(Submission aSubmission);

  /// Cancels a random job. Its submission arrives before or after that, once or more often, at a
  /// leader or at one that has not noticed that it was superseded.
  void CancelBeforeSubmission();
  void Cancel(GraphId aId);

  /// Lets a new instance claim the leadership; if \p aKeepPrevious, the previous leader keeps
  /// running unaware until CallAuthority stops its calls.
  void ElectLeader(bool aKeepPrevious);

  /// Lets a new instance claim the leadership while the leader can't reach the store or its
  /// successor, and stops calling workers only after \p aNoticeTime. Meanwhile some workers respond
  /// to the previous leader only.
  void SupersedeUnnoticed(Duration aNoticeTime);

  /// Cuts some workers off from the leader, but not from its successors.
  void CutWorkersFromLeader(Duration aTime);

  /// Lets the directory list a worker that is gone, for \p aTime.
  void ListGoneWorker(Duration aTime);

  /// Lets a worker go down and come back under its name with a new incarnation, again and again,
  /// for \p aTime; each time it loses what it runs.
  void FlapWorker(FakeWorker& aWorker, Duration aTime);

  /// Lets the schedulers run only once in \p aInterval, for \p aTime. A busy instance is no fault.
  void KeepBusy(Duration aInterval, Duration aTime);

  /// Submits a random job of several occurrences, with gangs and limits for each worker.
  GraphId SubmitRepeated();

  /// Removes all leaders.
  void RemoveLeaders() { m_leaders.clear(); }

  void Advance(Duration aTime);

  /// Clears all faults.
  void Heal();

  /// Clears all faults, and lets everything finish that can.
  void Settle();

  /// Checks that every worker can receive work again. \pre Settle() has cleared all faults.
  void CheckWorkersAvailable();

  /// Checks that every worker accepts work after a restart while idle, which no call has observed.
  /// \pre Settle() has cleared all faults, and nothing is left to run.
  void CheckRestarts();

  /// Checks that every accepted job has ended, or is long-running with all its tasks running.
  void CheckJobs();

  /// Lets the store refuse records of more than \p aMaxRecordBytes, and workers save checkpoints.
  /// Call before the first leader.
  void LimitRecords(size_t aMaxRecordBytes);

  Faults m_faults;
  Oracle m_oracle;
  Random m_random;
  std::vector<std::unique_ptr<FakeWorker>> m_workers;
  Instant Now() const { return m_now; }
  /// Returns how often it was asked whether a long-running task that was away could run, in calm.
  uint64_t CountAsked() const { return m_asked; }
  /// Returns the number of parts of progress that leaders have written.
  uint64_t CountParts() const { return m_parts; }
  /// Returns how often a submission was refused since its cancel had been answered.
  uint64_t CountRefusedAsCancelled() const { return m_refusedAsCancelled; }
  std::optional<JobState> StateOf(GraphId aId);
  /// Returns the number of starts that the current leader has sent. \pre There is a leader.
  uint64_t CountStarts() const { return m_leaders.back()->m_scheduler->Counters().m_starts; }

protected:
  /// A leader, and its view of the end of the log.
  struct Leader
  {
    std::unique_ptr<Scheduler> m_scheduler;
    std::shared_ptr<Caller> m_caller = std::make_shared<Caller>();
    std::shared_ptr<WorkerPort> m_workerPort;
    uint64_t m_epoch = 0;
    size_t m_end = 0;
    Instant m_lastRunAt;
    bool m_stopped = false;
    bool m_reachesStore = true;
    bool m_responseLost = false;  ///< The response to its append in flight was lost.
    Instant m_recoveryCountsFrom; ///< Until then its recovery had to wait for the store.
    int64_t m_clockLagMs = 0;     ///< How far its wall clock is behind.
    std::map<RequestToken, std::pair<GraphId, bool>> m_requests; ///< The job; true to cancel it.
    std::map<WorkerName, bool> m_registered;
  };

  /// Returns the port through which \p aLeader calls workers.
  virtual std::shared_ptr<WorkerPort> MakeWorkerPort(const std::shared_ptr<Leader>& aLeader);

  /// Returns whether a fault is active that this class does not know.
  virtual bool HasOtherFaults() { return false; }

  /// Returns how long a poll may take, including its timeout.
  virtual Duration MaxPollTime() const { return std::chrono::seconds(2); }

  /// Returns a port through which \p aCaller itself calls workers.
  std::shared_ptr<WorkerPort> MakeDirectPort(const std::shared_ptr<Caller>& aCaller);

  void After(Duration aDelay, std::function<void()> aCallback);
  Duration Delay() { return std::chrono::milliseconds(1 + m_random.Below(15)); }

  std::vector<std::shared_ptr<Leader>> m_leaders; ///< The last one has the highest epoch.

private:
  class DirectPort;

  struct Event
  {
    Instant m_at;
    uint64_t m_sequence;
    std::function<void()> m_callback;
    bool operator<(const Event& aOther) const
    {
      return std::tie(m_at, m_sequence) > std::tie(aOther.m_at, aOther.m_sequence);
    }
  };

  Submission MakeRandomSubmission();
  void SubmitTo(const std::shared_ptr<Leader>& aLeader, Submission aSubmission);
  void FlapUntil(FakeWorker& aWorker, Instant aEnd);
  /// Returns how long a busy instance may let pass what is due; nothing if it isn't busy.
  Duration MaxDelay() const;
  void RunScheduler(const std::shared_ptr<Leader>& aLeader);
  /// Checks that gangs start whole, all tasks with the same attempt number.
  void CheckGangs(const std::vector<Action>& aActions);
  void Execute(const std::shared_ptr<Leader>& aLeader, const Action& aAction);
  void Append(const std::shared_ptr<Leader>& aLeader, const AppendRecords& aAppend);
  void OnRequestCompleted(const std::shared_ptr<Leader>& aLeader,
                          const CompleteRequest& aCompletion);
  /// Checks that no accepted job has nothing running for long although one of its tasks could run
  /// (RULES.md, LOST). For long-running tasks it asks of each one, however full the service is.
  void CheckRunnableTasks();
  /// Returns whether a fault is active or has just occurred.
  bool IsDisturbed();
  std::vector<int64_t> DescribeParties() const;
  bool HasTurnCome(GraphId aId, const JobHistory& aJob, uint32_t aOccurrence, size_t aStep) const;
  bool IsStepDone(const TaskRef& aFirst) const;
  bool IsTaskDone(const TaskRef& aTask) const;
  bool IsAnythingRunning(GraphId aId, const JobHistory& aJob) const;
  /// Returns whether the task of the step, or its gang, would fit twice in what sound workers have
  /// left.
  bool FitsTwice(const TaskRef& aTask, const GraphStep& aStep) const;
  /// Returns the larger share in use of what sound workers have in processors and memory.
  double ShareInUse() const;
  void CheckJobRuns(GraphId aId, const JobHistory& aJob, double aShareInUse);
  void CheckLongRunningJob(GraphId aId, const JobHistory& aJob);
  /// Records whether \p aWhat could run, and reports it once it could for long without running.
  void NoteRunnable(const std::string& aWhat, bool aRunnable);
  /// Checks that the records of the leader do not contradict themselves.
  void CheckRecords();
  /// Checks that each state that only a response of a worker can change has a poll in flight, or
  /// due soon.
  void CheckPolls();
  /// Checks that the recovery of the leader takes no longer than its predecessors' leases allow.
  void CheckRecoveryTime(Duration aSinceLastCheck);
  void RestoreRecords(Leader& aLeader);
  /// Restores a new leader from the store.
  std::shared_ptr<Leader> MakeLeader();
  /// Lets a superseded leader stop after \p aNoticeTime, as CallAuthority does.
  void StopLater(const std::shared_ptr<Leader>& aLeader, Duration aNoticeTime);
  void ReadDirectory(const std::shared_ptr<Leader>& aLeader);
  void CallWorker(const std::shared_ptr<Caller>& aCaller,
                  const WorkerName& aWorker,
                  const std::function<WorkerCallResult(FakeWorker&, bool)>& aCall,
                  const WorkerCallCallback& aDone);
  void UpdateWorker(const std::shared_ptr<Leader>& aLeader, const WorkerReport& aReport);
  /// Runs \p aEvent on the scheduler of \p aLeader, unless that has stopped.
  void Notify(const std::shared_ptr<Leader>& aLeader,
              const std::function<void(Scheduler&)>& aEvent);
  FakeWorker& WorkerOf(const WorkerName& aName);
  int64_t WallMs() const { return ToMillis(m_now.time_since_epoch()); }
  int64_t WallMs(const Leader& aLeader) const { return WallMs() - aLeader.m_clockLagMs; }

  Instant m_now{ std::chrono::hours(1) };
  std::priority_queue<Event> m_events;
  uint64_t m_sequence = 0;
  std::map<std::string, std::string> m_store;
  size_t m_maxRecordBytes = SchedulerLimits().m_maxRecordBytes;
  uint64_t m_parts = 0;
  uint64_t m_asked = 0;
  uint64_t m_refusedAsCancelled = 0;
  size_t m_storeEnd = 0;
  std::map<WorkerName, Instant> m_goneWorkers; ///< Until when the directory lists each of them.
  uint64_t m_epoch = 0;
  RequestToken m_request = 0;
  Instant m_flapsEnd; ///< No worker flaps after that.
  Instant m_busyUntil;
  Duration m_busyInterval{};
  std::vector<int64_t> m_parties; ///< Of the last check: leaders and lives of workers.
  Instant m_calmSince;
  Instant m_lateCallsUntil; ///< Calls without a response are executed until then.
  Instant m_nextRunnableCheckAt;
  std::map<std::string, Instant> m_runnableSince; ///< By the job or task.
  std::map<std::string, Instant> m_lastRunAt;     ///< By the long-running task.
};

} // namespace egretturn::schedtest
