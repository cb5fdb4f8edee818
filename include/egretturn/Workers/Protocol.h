// The calls that an owner makes to a worker, and the answers. See docs/INTERFACES.md.
#pragma once

#include "egretturn/Config/Model.h"
#include "egretturn/Journal/Records.h"

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace egretturn {

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

/// Starts an attempt under a lease. Repeating the call has no further effect.
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

/// Extends the leases of attempts that run.
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

/// Stops an attempt, with a checkpoint if the task can. An attempt not seen yet never starts.
struct StopCall
{
  TaskAttempt m_taskAttempt;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("run", aSelf.m_taskAttempt);
  }
};

/// Limits an attempt to a share of its processors.
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

/// The ends of these attempts are recorded; the worker need not list them any more.
struct ForgetCall
{
  std::vector<TaskAttempt> m_attempts;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("runs", aSelf.m_attempts);
  }
};

/// Asks for everything that the worker holds.
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

/// A call with the epoch of its sender. A worker refuses epochs below the highest it has seen.
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

enum class AttemptStatus : uint8_t
{
  Running,
  Finished,
  Failed,
  Stopped, ///< By a stop call, or because the lease ran out.
};

/// One attempt in a worker's list.
struct ReportedAttempt
{
  TaskAttempt m_taskAttempt;
  AttemptStatus m_state = AttemptStatus::Running;
  std::string m_kind;
  std::string m_checkpoint;
  Resources m_used;     ///< Highest use so far.
  Resources m_reserved; ///< What its start call reserved.

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

enum class WorkerReplyStatus : uint8_t
{
  Ok,
  Fenced,       ///< A higher epoch was seen.
  AlreadyEnded, ///< This attempt, or a later one, was seen and has ended.
  NoCapacity,   ///< The size does not fit in what is free.
  Draining,     ///< The worker takes nothing new.
};

/// Returns the lower-case name of \p aAnswer.
std::string_view NameOf(WorkerReplyStatus aAnswer);

/// The answer to a call; the list is filled for ListCall.
struct WorkerReply
{
  WorkerReplyStatus m_status = WorkerReplyStatus::Ok;
  uint64_t m_boot = 0; ///< Drawn at the worker's start.
  bool m_draining = false;
  uint32_t m_busySlots = 0;     ///< Requests running now, from all senders.
  int64_t m_usedMilliCores = 0; ///< Measured use of the whole worker, with a lag.
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
