// Several cores under virtual time with a fake log, fake workers and a faulty network between them,
// and an oracle that counts what really ran. For tests only.
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

constexpr Duration kLeavingGrace = std::chrono::seconds(3); ///< "A few seconds" of the brief.

/// The promises of the brief, by which violations are named.
enum class Promise
{
  Capacity,      ///< No worker is given more than it holds.
  OnePlace,      ///< No task runs in two places at once.
  ResumeOnce,    ///< Evicted work resumes from its checkpoint; finished work does not run again.
  WholeAnswer,   ///< A caller receives the answer to its own request, once.
  NotRunIsTrue,  ///< What was told "not run" never ran and never will.
  AtMostOnce,    ///< A keyed request runs at most once.
  Leaving,       ///< A leaving worker receives nothing new after a few seconds.
  GracefulStop,  ///< A graceful shutdown cuts off no request.
  ConfigForward, ///< A configuration never reverts and is the same everywhere.
  Liveness,      ///< After healing, everything accepted finishes.
};

std::string_view NameOf(Promise aPromise);

struct Violation
{
  Promise m_promise = Promise::Capacity;
  std::string m_text;
  Instant m_at{};
};

/// Faults of the network and the log that hold until they are changed.
struct Faults
{
  double m_drop = 0;       ///< Share of messages between instances, and of worker calls, lost.
  double m_double = 0;     ///< Share delivered twice.
  double m_slow = 0;       ///< Share delayed by up to the longest message delay.
  double m_loseAppend = 0; ///< Share of appends that take effect but whose answer is lost.
  bool m_logDown = false;
  bool m_logSlow = false;
  double m_breakAnswers = 0; ///< Share of target answers that break after the request ran.
  double m_refuse = 0;       ///< Share of dispatches that cannot connect.
};

/// What a caller was told.
struct CallerRecord
{
  size_t m_node = 0;
  uint64_t m_incarnation = 0;
  std::string m_key;
  bool m_answered = false;
  Outcome m_outcome = Outcome::Unknown;
  size_t m_answerOf = 0; ///< Caller whose answer it received; its own index plus one.
  uint32_t m_ran = 0;    ///< Times that a target ran it.
  Instant m_at{};
  bool m_nodeKilled = false;
};

/// Sizes of the world.
struct WorldShape
{
  std::vector<size_t> m_nodes{ 3, 2 }; ///< Instances of each availability zone.
  std::vector<size_t> m_racks{ 2, 1 }; ///< Racks of each availability zone.
  size_t m_workersPerRack = 2;
  Duration m_logRetention = std::chrono::seconds(3600);
  bool m_workersFence = true;
};

/// One run of the system. Not thread-safe.
class World
{
public:
  World(uint64_t aSeed, const WorldShape& aShape);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Lets virtual time pass.
  void Advance(Duration aTime);

  /// Lets time pass until \p aDone or \p aLimit. Returns whether it became true.
  bool AdvanceUntil(const std::function<bool()>& aDone, Duration aLimit);

  // What operators, callers and failures do.
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
                       Duration aTime); ///< Between a decision for a worker and its send.
  void Shutdown(size_t aNode);
  void CutZone(size_t aZone, bool aCut); ///< From the platform and the other zones.
  void CutNodeFromLog(size_t aNode, bool aCut);
  void CutNodes(size_t aLeft, size_t aRight, bool aCut);
  void CutWorker(size_t aWorker, bool aCut);
  void RebootWorker(size_t aWorker);
  void SetWorkerFailsAll(size_t aWorker, bool aFails);
  void SetWorkerLeaving(size_t aWorker, bool aLeaving);
  Faults& Weather() { return m_faults; }

  /// Ends all faults and starts all instances.
  void Heal();

  /// After Heal(): whether all accepted work has ended and nothing is left held.
  bool IsSettled();

  /// Checks what can only be said at the end; call once after Heal() and waiting.
  void CheckEnd();

  const std::vector<Violation>& Violations() const { return m_violations; }
  std::string Report() const;

  /// What keeps IsSettled() from being true.
  std::string DescribeLeft() const;

  // For focused tests.
  size_t Nodes() const { return m_nodes.size(); }
  size_t Workers() const { return m_workers.size(); }
  const Core* NodeCore(size_t aNode) const { return m_nodes[aNode].m_core.get(); }
  WorkerModel& Worker(size_t aWorker) { return m_workers[aWorker].m_model; }
  const std::string& WorkerAddress(size_t aWorker) const { return m_workers[aWorker].m_address; }
  const CallerRecord& Caller(size_t aCaller) const { return m_callers[aCaller]; }
  const std::vector<JobId>& Jobs() const { return m_jobs; }
  const std::map<std::string, uint32_t>& RanByKey() const { return m_ranByKey; }
  LogModel& Log() { return m_log; }
  Instant Now() const { return m_now; }
  bool HasExited(size_t aNode) const { return m_nodes[aNode].m_exited; }
  size_t PublishAccepted() const { return m_publishAccepted; }
  size_t PublishConflicts() const { return m_publishConflicts; }
  uint64_t PeerBytes() const { return m_peerBytes; }
  uint64_t LogReadBytes(size_t aNode) const { return m_nodes[aNode].m_logReadBytes; }
  uint64_t SkippedCalls() const { return m_skippedCalls; }

private:
  struct Node
  {
    Settings m_settings;
    size_t m_zone = 0;
    std::unique_ptr<Core> m_core;
    uint64_t m_incarnation = 0;
    bool m_exited = false;
    bool m_lingering = false; ///< Exits once its requests are answered.
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
    std::map<std::pair<RequestId, uint32_t>, size_t> m_answers; ///< Caller plus one of each answer.
    std::map<CommandId, std::function<void(const ReplyCommand&)>> m_commands;
  };
  struct FakeWorker
  {
    std::string m_address;
    size_t m_zone = 0;
    WorkerModel m_model;
    bool m_cut = false;
    uint32_t m_reboots = 0;
    uint32_t m_cuts = 0;
    Instant m_leavingSince = Instant::max();
    size_t m_checked = 0; ///< Records of the history that were checked.
  };
  struct Timer
  {
    Instant m_at{};
    uint64_t m_order = 0;
    std::function<void()> m_run;
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
  void At(Duration aDelay, std::function<void()> aRun);
  void OnNode(size_t aNode, uint64_t aIncarnation, std::function<void()> aRun);
  void Step(size_t aNode, const Event& aEvent);
  void TickNode(size_t aNode, uint64_t aIncarnation);
  void CarryOut(size_t aNode, const Action& aAction);
  void Linger(size_t aNode, uint64_t aIncarnation);
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
  size_t NodeNamed(const std::string& aId) const;
  std::string StreamName(size_t aNode, Stream aStream) const;
  void CheckWorker(size_t aWorker);
  void CheckConfigOf(size_t aNode);
  void Violate(Promise aPromise, std::string aText);

  const bool m_trace = std::getenv("EGRETTURN_TRACE") != nullptr; ///< Print the cores' log lines.
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
  std::set<std::pair<size_t, size_t>> m_cutPairs;
  std::vector<std::string> m_leavingList;
  std::vector<CallerRecord> m_callers;
  std::map<std::string, uint32_t> m_ranByKey;
  std::vector<JobId> m_jobs;
  std::map<TaskId, std::vector<std::pair<size_t, size_t>>> m_runsOf; ///< Worker and record.
  std::map<uint64_t, std::string> m_configs; ///< Text of each version, as first seen.
  std::set<uint64_t> m_acceptedBases;
  size_t m_publishAccepted = 0;
  size_t m_publishConflicts = 0;
  uint64_t m_peerBytes = 0;
  uint64_t m_skippedCalls = 0;
  std::vector<Violation> m_violations;
};

} // namespace egretturn::fuzz
