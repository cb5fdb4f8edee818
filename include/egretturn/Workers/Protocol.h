// Messages between the owner of a rack and its workers: calls and replies. See docs/INTERFACES.md.
#pragma once

#include "egretturn/Config/Model.h"
#include "egretturn/Journal/Records.h"

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace egretturn {

/// Identifies one attempt of a task.
struct TaskAttempt
{
  TaskId m_task;
  Attempt m_attempt = 0;

  std::strong_ordering operator<=>(const TaskAttempt&) const = default;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("task", aSelf.m_task);
    aVisit("attempt", aSelf.m_attempt);
  }
};

/// Starts an attempt under a lease. Repeated calls have no further effect.
struct StartCall
{
  TaskAttempt m_taskAttempt;
  std::string m_kind;
  Resources m_size;
  int64_t m_leaseMs = 0;
  std::string m_checkpoint; ///< Empty to start from the beginning.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("run", aSelf.m_taskAttempt);
    aVisit("kind", aSelf.m_kind);
    aVisit("size", aSelf.m_size);
    aVisit("lease_ms", aSelf.m_leaseMs);
    aVisit("checkpoint", aSelf.m_checkpoint);
  }
};

/// Extends the leases of running attempts.
struct RenewCall
{
  std::vector<TaskAttempt> m_attempts;
  int64_t m_leaseMs = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("runs", aSelf.m_attempts);
    aVisit("lease_ms", aSelf.m_leaseMs);
  }
};

/// Stops an attempt, with a checkpoint if the task supports it. An attempt that the worker does not
/// know yet never starts.
struct StopCall
{
  TaskAttempt m_taskAttempt;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("run", aSelf.m_taskAttempt);
  }
};

/// Limits an attempt to a percentage of its processors.
struct ThrottleCall
{
  TaskAttempt m_taskAttempt;
  uint32_t m_percent = 100;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("run", aSelf.m_taskAttempt);
    aVisit("percent", aSelf.m_percent);
  }
};

/// Tells the worker that the ends of these attempts are recorded, so that it need not report them
/// any more.
struct ForgetCall
{
  std::vector<TaskAttempt> m_attempts;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("runs", aSelf.m_attempts);
  }
};

/// Polls the worker for all its attempts and its state.
struct ListCall
{
  uint32_t m_detail = 1;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("detail", aSelf.m_detail);
  }
};

using WorkerBody = std::variant<StartCall, RenewCall, StopCall, ThrottleCall, ForgetCall, ListCall>;

/// A call with the epoch of its sender. A worker rejects calls with an epoch below the highest one
/// that it has received.
struct WorkerCall
{
  Epoch m_epoch = 0;
  WorkerBody m_body;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("epoch", aSelf.m_epoch);
    aVisit("body", aSelf.m_body);
  }
};

/// State of an attempt on its worker.
enum class AttemptStatus : uint8_t
{
  Running,
  Finished,
  Failed,
  Stopped, ///< By a stop call, or because the lease expired.
};

/// One attempt in the response to a poll.
struct ReportedAttempt
{
  TaskAttempt m_taskAttempt;
  AttemptStatus m_state = AttemptStatus::Running;
  std::string m_kind;
  std::string m_checkpoint;
  Resources m_used;     ///< Peak use since the start of the attempt.
  Resources m_reserved; ///< Resources that its start call reserved.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("run", aSelf.m_taskAttempt);
    aVisit("state", aSelf.m_state);
    aVisit("kind", aSelf.m_kind);
    aVisit("checkpoint", aSelf.m_checkpoint);
    aVisit("used", aSelf.m_used);
    aVisit("reserved", aSelf.m_reserved);
  }
};

/// Result of a worker call.
enum class WorkerReplyStatus : uint8_t
{
  Ok,
  Fenced,       ///< The worker has received a call with a higher epoch.
  KnownAttempt, ///< The worker knows a later attempt, or this attempt has ended.
  NoCapacity,   ///< The size exceeds the free capacity.
  Draining,     ///< The worker accepts no new work.
};

/// Returns the lower-case name of \p aStatus.
std::string_view NameOf(WorkerReplyStatus aStatus);

/// Response to a call. The attempts are filled in only for ListCall.
struct WorkerReply
{
  WorkerReplyStatus m_status = WorkerReplyStatus::Ok;
  uint64_t m_boot = 0;          ///< Drawn at random when the worker starts.
  bool m_draining = false;      ///< Whether the worker accepts no new work.
  uint32_t m_busySlots = 0;     ///< Requests in progress, from all senders.
  int64_t m_usedMilliCores = 0; ///< Measured processor use of the whole worker, with a delay.
  std::vector<ReportedAttempt> m_attempts;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("answer", aSelf.m_status);
    aVisit("boot", aSelf.m_boot);
    aVisit("leaving", aSelf.m_draining);
    aVisit("busy_slots", aSelf.m_busySlots);
    aVisit("used_millicores", aSelf.m_usedMilliCores);
    aVisit("runs", aSelf.m_attempts);
  }
};

} // namespace egretturn
