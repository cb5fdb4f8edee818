// Defines the scheduler's input from workers (registrations, reported attempts, call results) and
// the actions that it requests from its caller.
#pragma once

#include "egretturn/Scheduler/Records.h"
#include "egretturn/Support/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace egretturn {

using AttemptNumber = uint64_t; ///< Numbers the attempts of a task; never reused.
using WorkerName = std::string;
using RequestToken = uint64_t; ///< Matches a caller's request with its response.

/// A worker's entry in the directory.
struct WorkerReport
{
  WorkerName m_id;
  std::string m_service;
  std::string m_address;
  std::string m_zone;
  std::string m_rack;
  std::vector<std::string> m_labels;
  Demand m_capacity;
  int64_t m_incarnation = 0; ///< Unix time of the worker's start; 0 if it reports none.
  bool m_draining = false;
  int64_t m_remainingMs = 0; ///< Minimum time until a draining worker exits.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("id", aSelf.m_id);
    aVisit("service", aSelf.m_service);
    aVisit("address", aSelf.m_address);
    aVisit("zone", aSelf.m_zone);
    aVisit("rack", aSelf.m_rack);
    aVisit("labels", aSelf.m_labels);
    aVisit("capacity", aSelf.m_capacity);
    aVisit("incarnation", aSelf.m_incarnation);
    aVisit("draining", aSelf.m_draining);
    aVisit("remaining_ms", aSelf.m_remainingMs);
  }
};

/// An attempt that a worker reports as running.
struct RunningAttempt
{
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
  std::string m_checkpoint;
  int m_percent = 0;
  int64_t m_usage = 0; ///< Tail latency in ms for a serving task, else used thousandths of a core.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("task", aSelf.m_task);
    aVisit("attempt", aSelf.m_attempt);
    aVisit("checkpoint", aSelf.m_checkpoint);
    aVisit("percent", aSelf.m_percent);
    aVisit("usage", aSelf.m_usage);
  }
};

/// How an attempt ended.
enum class AttemptEnd : uint8_t
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,    ///< The worker's lease expired.
  GangMemberEnded, ///< Another member of the gang ended.
  GangIncomplete,  ///< The other members of the gang did not join.
};

/// Returns the stable lower-case name of \p aEnd.
std::string_view NameOf(AttemptEnd aEnd);

/// An ended attempt. The worker reports it until the end is acknowledged.
struct EndedAttempt
{
  uint64_t m_number = 0; ///< Sequence number of the end within this incarnation.
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
  AttemptEnd m_end = AttemptEnd::Done;
  std::string m_checkpoint;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("number", aSelf.m_number);
    aVisit("task", aSelf.m_task);
    aVisit("attempt", aSelf.m_attempt);
    aVisit("end", aSelf.m_end);
    aVisit("checkpoint", aSelf.m_checkpoint);
  }
};

/// A worker's response to a poll.
struct WorkerStatus
{
  int64_t m_clockMs = 0;
  int64_t m_incarnation = 0; ///< 0 if the worker reports none.
  std::vector<RunningAttempt> m_running;
  std::vector<EndedAttempt> m_ended; ///< The first ones that were not acknowledged.
  bool m_endsComplete = true;        ///< No other end waits to be listed.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("clock_ms", aSelf.m_clockMs);
    aVisit("incarnation", aSelf.m_incarnation);
    aVisit("running", aSelf.m_running);
    aVisit("ended", aSelf.m_ended);
    aVisit("ends_complete", aSelf.m_endsComplete);
  }
};

/// The result of a call to a worker.
enum class WorkerCallResult : uint8_t
{
  Accepted,
  Fenced,       ///< The worker has seen a higher fence.
  Superseded,   ///< The attempt number is not higher than that of an attempt that ended there.
  LeaseExpired, ///< The lease that the call grants has already expired.
  NoCapacity,
  InvalidTicket,
  Rejected,            ///< The call itself is invalid.
  Unhealthy,           ///< The worker did not execute the call.
  IncarnationMismatch, ///< Another incarnation responded.
  NotSent,             ///< No connection: the call was not executed.
  NoResponse,          ///< The call may have been executed, or may still be.
  LinkLost, ///< As NoResponse, but the instance that made the call failed, not the worker.
};

/// Returns the stable lower-case name of \p aResult.
std::string_view NameOf(WorkerCallResult aResult);

/// Starts an attempt of a task on a worker and grants a lease for it.
struct StartTask
{
  WorkerName m_worker;
  std::string m_address;
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
  std::string m_payload;
  std::string m_checkpoint;
  std::string m_ticket;
  int64_t m_leaseEndMs = 0; ///< End of the lease, on the worker's clock.
  uint64_t m_fence = 0;     ///< See Fence.h.
};

/// Stops an attempt.
struct StopTask
{
  WorkerName m_worker;
  std::string m_address;
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
  uint64_t m_fence = 0;
};

/// Limits an attempt to a share of its processor demand; 0 percent halts it.
struct ThrottleTask
{
  WorkerName m_worker;
  std::string m_address;
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
  int m_percent = 100;
  uint64_t m_fence = 0;
};

/// Extends the worker's lease, acknowledges ends and requests the attempts that run there.
struct PollWorker
{
  uint64_t m_number = 0; ///< Unique to each poll; passed back with the response.
  WorkerName m_worker;
  std::string m_address;
  int64_t m_leaseEndMs = 0;    ///< End of the lease on the worker's clock; 0 to leave it unchanged.
  uint64_t m_acknowledged = 0; ///< Ends up to this number are durable.
  int64_t m_incarnation = 0;   ///< Of the process that listed these ends; 0 if it is unknown.
  Duration m_wait{}; ///< Maximum time that the worker may wait for an end before it responds.
  uint64_t m_fence = 0;
};

/// Appends \c m_records to the store atomically.
struct AppendRecords
{
  uint64_t m_batch = 0;
  std::vector<KeyedRecord> m_records;
};

/// The result of a submission or cancellation.
enum class SubmitResult
{
  Accepted,  ///< Accepted and durable.
  NotRun,    ///< Refused: the job has not run and never will, or nothing was cancelled.
  TooLarge,  ///< As NotRun: the store can't keep the job's record.
  Cancelled, ///< As NotRun, for good: the job's cancellation was answered with NoSuchJob before.
  Unknown,   ///< The job may have been accepted, or cancelled.
  NoSuchJob, ///< No submission of the job has been accepted, and none is from now on.
};

/// Reports the result of a caller's request.
struct CompleteRequest
{
  RequestToken m_request = 0;
  SubmitResult m_result = SubmitResult::Accepted;
};

/// A higher epoch exists: this instance must stop leading.
struct StepDown
{
  std::string m_reason;
};

/// The worker is gone, and nothing is left to be asked of it.
struct ForgetWorker
{
  WorkerName m_worker;
};

/// A task that may be running on a worker, or that may have ended there without a durable record.
struct PlacedTask
{
  WorkerName m_worker;
  TaskRef m_task;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("worker", aSelf.m_worker);
    aVisit("task", aSelf.m_task);
  }
};

/// How long the leases on a worker last that a stopped leader, or one before it, may have granted.
struct WorkerLease
{
  WorkerName m_worker;
  int64_t m_remainingMs = 0;
  bool m_hasUnknownTasks = true; ///< It may run tasks that the list of placed tasks does not name.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("worker", aSelf.m_worker);
    aVisit("remaining_ms", aSelf.m_remainingMs);
    aVisit("unknown_tasks", aSelf.m_hasUnknownTasks);
  }
};

/// What a leader that has stopped knows about the workers: where each task may be.
struct Placements
{
  std::vector<PlacedTask> m_tasks;
  std::vector<WorkerLease> m_leases; ///< Of workers that may run listed or unknown tasks.
};

using Action = std::variant<StartTask,
                            StopTask,
                            ThrottleTask,
                            PollWorker,
                            AppendRecords,
                            CompleteRequest,
                            StepDown,
                            ForgetWorker>;

} // namespace egretturn
