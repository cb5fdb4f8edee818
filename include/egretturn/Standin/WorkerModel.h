// Stand-in for a worker of the platform: runs tasks under leases. A model without sockets.
#pragma once

#include "egretturn/Support/Time.h"
#include "egretturn/Workers/Protocol.h"

#include <map>
#include <string>
#include <vector>

namespace egretturn {

/// How tasks of a kind really behave, whatever is declared.
struct TaskBehavior
{
  Duration m_runTime = std::chrono::seconds(1);
  Resources m_peak;
  bool m_checkpoints = false;
};

/// One stretch of running an attempt, as the worker saw it. The oracle counts these.
struct AttemptRecord
{
  TaskAttempt m_taskAttempt;
  Instant m_from{};
  Instant m_to{}; ///< Instant::max() while it runs.
  AttemptStatus m_state = AttemptStatus::Running;
  Duration m_startedWith{}; ///< Progress from the checkpoint.
};

/// One worker. Not thread-safe.
class WorkerModel
{
public:
  WorkerModel(Resources aSize, uint64_t aBoot);

  /// What a kind of task really does.
  void SetBehavior(const std::string& aKind, TaskBehavior aTruth) { m_truths[aKind] = aTruth; }

  /// Answers \p aCall.
  WorkerReply Handle(const WorkerCall& aCall, Instant aNow);

  /// Lets time pass: tasks finish, leases lapse.
  void Advance(Instant aNow);

  /// The worker fails and comes back empty.
  void Reboot(uint64_t aBoot, Instant aNow);

  /// Every task fails soon after its start.
  void SetFailsAll(bool aFails) { m_failsAll = aFails; }
  void SetDraining(bool aLeaving) { m_draining = aLeaving; }
  void SetBusySlots(uint32_t aBusy) { m_busySlots = aBusy; }

  /// Whether the worker refuses calls with an old epoch.
  void SetFencing(bool aFences) { m_fences = aFences; }

  const std::vector<AttemptRecord>& History() const { return m_history; }

  /// Sum of what running attempts were started with.
  Resources Reserved() const;
  const Resources& Size() const { return m_size; }
  size_t Running() const;

private:
  struct Entry
  {
    Attempt m_attempt = 0;
    AttemptStatus m_state = AttemptStatus::Running;
    std::string m_kind;
    Resources m_size;
    Instant m_leaseUntil{};
    Instant m_startedAt{};
    Instant m_endsAt{};
    Duration m_startedWith{};
    std::string m_checkpoint;
    bool m_fails = false;     ///< It will fail instead of finishing.
    bool m_forgotten = false; ///< Not listed any more, but remembered.
    size_t m_record = 0;      ///< In the history.
  };
  WorkerReplyStatus Start(const StartCall& aCall, Instant aNow);
  void Stop(const TaskAttempt& aRun, Instant aNow);
  void End(Entry& aEntry, AttemptStatus aState, Instant aNow);
  WorkerReply List() const;
  TaskBehavior TruthOf(const std::string& aKind) const;

  Resources m_size;
  uint64_t m_boot;
  Epoch m_fence = 0;
  bool m_fences = true;
  bool m_failsAll = false;
  bool m_draining = false;
  uint32_t m_busySlots = 0;
  std::map<std::string, TaskBehavior> m_truths;
  std::map<TaskId, Entry> m_entries;
  std::vector<AttemptRecord> m_history;
};

} // namespace egretturn
