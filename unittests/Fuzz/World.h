// Simulation of several cores in virtual time with a fake log, fake workers and a faulty network,
// and an oracle that tracks what was executed. For tests only.
#pragma once

#include "egretturn/Core/Core.h"
#include "egretturn/Standin/LogModel.h"
#include "egretturn/Standin/WorkerModel.h"

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace egretturn::fuzz {

constexpr Duration kDrainGrace = std::chrono::seconds(3); ///< The required "few seconds".

/// The guarantees that the oracle checks.
enum class Promise
{
  Capacity,      ///< No worker receives more tasks than fit its capacity.
  OnePlace,      ///< No task runs in two places at once.
  ResumeOnce,    ///< Evicted work resumes from its checkpoint; finished work does not run again.
  WholeAnswer,   ///< A caller receives the response to its own request, once.
  NotRunIsTrue,  ///< A request reported as "not run" never ran and never will.
  AtMostOnce,    ///< A keyed request runs at most once.
  Leaving,       ///< A draining worker receives nothing new after a few seconds.
  GracefulStop,  ///< A graceful shutdown interrupts no request.
  ConfigForward, ///< A configuration never reverts and is the same on all instances.
  Liveness,      ///< After healing, all accepted work finishes.
};

std::string_view NameOf(Promise aPromise);

/// A broken promise and when it was observed.
struct Violation
{
  Promise m_promise = Promise::Capacity;
  std::string m_text;
  Instant m_at{};
};

/// Faults of the network and the log. They stay in effect until changed.
struct Faults
{
  double m_drop = 0; ///< Probability that a message between instances or a worker call is lost.
  double m_duplicate = 0; ///< Probability that it is delivered twice.
  double m_delay = 0;     ///< Probability that it is delayed by up to the maximum message delay.
  double m_loseAppendResponse = 0; ///< Probability that only the response of an append is lost.
  bool m_logDown = false;
  bool m_logSlow = false;
  double m_breakResponse = 0;    ///< Probability that a response breaks after the request ran.
  double m_refuseConnection = 0; ///< Probability that a dispatch cannot connect.
};

/// What a caller sent and the outcome that was reported to it.
struct CallerRecord
{
  size_t m_node = 0;
  uint64_t m_incarnation = 0;
  std::string m_key;
  bool m_responded = false;
  Outcome m_outcome = Outcome::Unknown;
  size_t m_responseOf = 0; ///< Index of the caller whose response it received, plus one.
  uint32_t m_runCount = 0; ///< Number of times that a target ran it.
  Instant m_at{};
  bool m_nodeKilled = false;
};

/// Size of the simulated cluster.
struct WorldShape
{
  std::vector<size_t> m_nodes{ 3, 2 }; ///< Instances of each availability zone.
  std::vector<size_t> m_racks{ 2, 1 }; ///< Racks of each availability zone.
  size_t m_workersPerRack = 2;
  Duration m_logRetention = std::chrono::seconds(3600);
  bool m_workerFencing = true;
};

/// One simulated cluster. Not thread-safe.
class World
{
public:
  World(uint64_t aSeed, const WorldShape& aShape);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Advances virtual time by \p aTime.
  void Advance(Duration aTime);

  /// Advances virtual time until \p aDone returns true or \p aLimit has passed. Returns its last
  /// result.
  bool AdvanceUntil(const std::function<bool()>& aDone, Duration aLimit);

  // Operations of operators and callers, and fault injection.
  void Publish(size_t aNode, const std::string& aToml);
  void PublishDrain(size_t aNode, size_t aWorker, bool aDrain);
  size_t Request(size_t aNode, const std::string& aRequest, const std::string& aKey);
  void SubmitJob(size_t aNode,
                 const std::string& aKey,
                 const std::string& aKind,
                 uint32_t aTasks,
                 bool aUrgent = false);
  void CancelJob(size_t aNode, size_t aJob);
  void Kill(size_t aNode);
  void Start(size_t aNode);
  void Pause(size_t aNode, Duration aTime);
  void PauseAtNextCall(size_t aNode,
                       Duration aTime); ///< Between a decision for a worker and the send.
  void Shutdown(size_t aNode);
  void CutZone(size_t aZone, bool aCut); ///< From the log and the other availability zones.
  void CutNodeFromLog(size_t aNode, bool aCut);
  void CutNodes(size_t aLeft, size_t aRight, bool aCut);
  void CutWorker(size_t aWorker, bool aCut);
  void RebootWorker(size_t aWorker);
  void SetWorkerFailsAll(size_t aWorker, bool aFails);
  void SetWorkerDraining(size_t aWorker, bool aDraining);
  Faults& InjectedFaults() { return m_faults; }

  /// Ends all faults and starts all instances.
  void Heal();

  /// Returns whether all accepted work has ended and no worker runs a task. \pre Heal() was called.
  bool IsSettled();

  /// Runs the checks that apply to the final state. \pre Heal() was called and time has passed
  /// since.
  void CheckEnd();

  const std::vector<Violation>& Violations() const { return m_violations; }
  std::string Report() const;

  /// Describes the work that keeps IsSettled() from returning true.
  std::string DescribeUnsettled() const;

  // Accessors for tests of single scenarios.
  size_t Nodes() const { return m_nodes.size(); }
  size_t Workers() const { return m_workers.size(); }
  const Core* NodeCore(size_t aNode) const { return m_nodes[aNode].m_core.get(); }
  WorkerModel& Worker(size_t aWorker) { return m_workers[aWorker].m_model; }
  const std::string& WorkerAddress(size_t aWorker) const { return m_workers[aWorker].m_address; }
  const CallerRecord& Caller(size_t aCaller) const { return m_callers[aCaller]; }
  const std::vector<JobId>& Jobs() const { return m_jobs; }
  const std::map<std::string, uint32_t>& RunsByKey() const { return m_runsByKey; }
  LogModel& Log() { return m_log; }
  Instant Now() const { return m_now; }
  bool HasExited(size_t aNode) const { return m_nodes[aNode].m_exited; }
  size_t PublishAccepted() const { return m_publishAccepted; }
  size_t PublishConflicts() const { return m_publishConflicts; }
  uint64_t PeerBytes() const { return m_peerBytes; }
  uint64_t LogReadBytes(size_t aNode) const { return m_nodes[aNode].m_logReadBytes; }
  uint64_t ExpiredCalls() const { return m_expiredCalls; }

private:
  struct Node
  {
    Settings m_settings;
    size_t m_zone = 0;
    std::unique_ptr<Core> m_core;
    uint64_t m_incarnation = 0;
    bool m_exited = false;
    bool m_exiting = false; ///< Exits when its requests have completed.
    bool m_logCut = false;
    Instant m_pausedUntil{};
    Duration m_pauseAtCall{};
    uint64_t m_configSeen = 0;
    uint64_t m_logReadBytes = 0;
    RequestId m_nextRequest = 1;
    std::map<RequestId, std::function<void(const CompleteRequest&)>> m_waiting;
    std::map<RequestId, RequestArrived> m_requests;
    std::map<RequestId, size_t> m_callerOf;
    std::map<RequestId, Instant> m_arrivedAt;
    /// Index of the caller whose response each attempt returned, plus one.
    std::map<std::pair<RequestId, uint32_t>, size_t> m_responses;
    std::map<CommandId, std::function<void(const ReplyCommand&)>> m_commands;
  };
  struct FakeWorker
  {
    std::string m_address;
    size_t m_zone = 0;
    WorkerModel m_model;
    bool m_cut = false;
    uint32_t m_reboots = 0;
    uint32_t m_disconnects = 0;
    Instant m_drainingSince = Instant::max();
    size_t m_checkedRecords = 0; ///< Number of history records that were checked.
  };
  struct Timer
  {
    Instant m_at{};
    uint64_t m_order = 0;
    std::function<void()> m_callback;
  };
  struct LaterTimer
  {
    bool operator()(const Timer& aLeft, const Timer& aRight) const
    {
      return aLeft.m_at != aRight.m_at ? aLeft.m_at > aRight.m_at : aLeft.m_order > aRight.m_order;
    }
  };

  void BuildSettings();
  std::string BaseConfig() const;
  void After(Duration aDelay, std::function<void()> aCallback);
  void RunOnNode(size_t aNode, uint64_t aIncarnation, std::function<void()> aCallback);
  void Step(size_t aNode, const Event& aEvent);
  void TickNode(size_t aNode, uint64_t aIncarnation);
  void Execute(size_t aNode, const Action& aAction);
  void DrainAndExit(size_t aNode, uint64_t aIncarnation);
  void ReadLogFor(size_t aNode, const ReadLog& aRead);
  void AppendFor(size_t aNode, const AppendLog& aAppend);
  void SendPeerFor(size_t aNode, const SendPeer& aSend);
  void CallWorkerFor(size_t aNode, const CallWorker& aCall);
  void DispatchFor(size_t aNode, const Dispatch& aDispatch);
  void RunAtTarget(size_t aNode, const Dispatch& aDispatch, size_t aWorker, size_t aCaller);
  void ForwardTo(size_t aNode, const Dispatch& aDispatch, size_t aPeer, size_t aCaller);
  void Command(size_t aNode, CommandBody aBody, std::function<void(const ReplyCommand&)> aReply);
  bool LogReachable(size_t aNode) const;
  bool Connected(size_t aLeft, size_t aRight) const;
  Duration Delay();
  size_t WorkerAt(const std::string& aAddress) const;
  size_t FindNode(const std::string& aId) const;
  std::string StreamName(size_t aNode, Stream aStream) const;
  void CheckWorker(size_t aWorker);
  void CheckConfigOf(size_t aNode);
  void AddViolation(Promise aPromise, std::string aText);

  /// Print the log lines of the cores.
  const bool m_trace = std::getenv("EGRETTURN_TRACE") != nullptr;
  Random m_random;
  WorldShape m_shape;
  Instant m_now{ std::chrono::hours(1) };
  std::priority_queue<Timer, std::vector<Timer>, LaterTimer> m_timers;
  uint64_t m_order = 0;
  uint64_t m_nextIncarnation = 1;
  CommandId m_nextCommand = 1;
  Faults m_faults;
  bool m_healed = false;
  LogModel m_log;
  std::vector<Node> m_nodes;
  std::vector<FakeWorker> m_workers;
  std::vector<bool> m_zoneCut;
  std::set<std::pair<size_t, size_t>> m_cutNodePairs;
  std::vector<std::string> m_drainList;
  std::vector<CallerRecord> m_callers;
  std::map<std::string, uint32_t> m_runsByKey;
  std::vector<JobId> m_jobs;
  /// Worker and index of the history record of each attempt.
  std::map<TaskId, std::vector<std::pair<size_t, size_t>>> m_attemptsByTask;
  std::map<uint64_t, std::string> m_configs; ///< Text of each version as first observed.
  std::set<uint64_t> m_acceptedBases;
  size_t m_publishAccepted = 0;
  size_t m_publishConflicts = 0;
  uint64_t m_peerBytes = 0;
  uint64_t m_expiredCalls = 0;
  std::vector<Violation> m_violations;
};

} // namespace egretturn::fuzz
