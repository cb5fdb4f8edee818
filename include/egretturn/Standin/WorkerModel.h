// Stand-in for a worker of the platform that runs tasks under leases, without networking.
#pragma once

#include "egretturn/Support/Time.h"
#include "egretturn/Workers/Protocol.h"

#include <map>
#include <string>
#include <vector>

namespace egretturn {

/// Actual behavior of the tasks of a kind, independent of what is declared.
struct TaskBehavior
{
  Duration m_runTime = std::chrono::seconds(1);
  Resources m_peak;
  bool m_checkpoints = false;
};

/// History record of one attempt on the worker. The fuzzing oracle evaluates these records.
struct AttemptRecord
{
  TaskAttempt m_taskAttempt;
  Instant m_from{};
  Instant m_to{}; ///< Instant::max() while it runs.
  AttemptStatus m_state = AttemptStatus::Running;
  Duration m_initialProgress{}; ///< Progress that the checkpoint contained.
};

/// Models one worker: executes the calls of its owner and records every attempt. Not thread-safe.
class WorkerModel
{
public:
  WorkerModel(Resources aSize, uint64_t aBoot);

  /// Sets the actual behavior of the tasks of \p aKind.
  void SetBehavior(const std::string& aKind, TaskBehavior aBehavior)
  {
    m_behaviors[aKind] = aBehavior;
  }

  /// Executes \p aCall at \p aNow and returns the reply.
  WorkerReply Handle(const WorkerCall& aCall, Instant aNow);

  /// Advances the worker to \p aNow: tasks finish and leases expire.
  void Advance(Instant aNow);

  /// Restarts the worker: all attempts stop, and the worker starts again without any.
  void Reboot(uint64_t aBoot, Instant aNow);

  /// Sets whether every task fails soon after its start.
  void SetFailAllTasks(bool aFails) { m_failsAll = aFails; }
  void SetDraining(bool aDraining) { m_draining = aDraining; }
  void SetBusySlots(uint32_t aBusy) { m_busySlots = aBusy; }

  /// Sets whether the worker rejects calls with an old epoch.
  void SetFencing(bool aFencing) { m_fencing = aFencing; }

  const std::vector<AttemptRecord>& History() const { return m_history; }

  /// Returns the total size with which the running attempts were started.
  Resources Reserved() const;
  const Resources& Size() const { return m_size; }
  /// Returns the number of running attempts.
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
    Duration m_initialProgress{};
    std::string m_checkpoint;
    bool m_fails = false;      ///< The attempt will fail instead of finishing.
    bool m_forgotten = false;  ///< Not reported any more, but kept to reject late starts.
    size_t m_historyIndex = 0; ///< Index into the history.
  };
  WorkerReplyStatus Start(const StartCall& aCall, Instant aNow);
  void Stop(const TaskAttempt& aAttempt, Instant aNow);
  void End(Entry& aEntry, AttemptStatus aState, Instant aNow);
  WorkerReply BuildListReply() const;
  TaskBehavior BehaviorOf(const std::string& aKind) const;

  Resources m_size;
  uint64_t m_boot;
  Epoch m_highestEpoch = 0;
  bool m_fencing = true;
  bool m_failsAll = false;
  bool m_draining = false;
  uint32_t m_busySlots = 0;
  std::map<std::string, TaskBehavior> m_behaviors;
  std::map<TaskId, Entry> m_entries;
  std::vector<AttemptRecord> m_history;
};

} // namespace egretturn
