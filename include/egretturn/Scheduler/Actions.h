// What the scheduler learns from workers, and what it asks its shell to do.
#pragma once

#include "egretturn/Scheduler/Records.h"
#include "egretturn/Support/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace egretturn {

using AttemptNumber = uint64_t; ///< Numbers the starts of one task; never used twice.
using WorkerName = std::string;
using RequestToken = uint64_t; ///< Joins a caller's request to its answer.

/// What a worker says of itself in the directory.
struct WorkerReport
{
  WorkerName m_id;
  std::string m_service;
  std::string m_address;
  std::string m_zone;
  std::string m_rack;
  std::vector<std::string> m_labels;
  Demand m_capacity;
  int64_t m_incarnation = 0; ///< Unix time of its start; 0 if it does not say.
  bool m_draining = false;
  int64_t m_remainingMs = 0; ///< At least so long until a draining worker leaves.

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

/// A run that a worker holds.
struct RunningAttempt
{
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
  std::string m_checkpoint;
  int m_percent = 0;
  int64_t m_usage = 0; ///< Tail in ms for a serving task, else the used thousandths of a core.
};

enum class AttemptEnd : uint8_t
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,    ///< The lease ran out.
  GangMemberEnded, ///< Another member of the gang ended.
  GangIncomplete,  ///< The other members of the gang did not come.
};

/// Returns the stable lower-case name of \p aEnd.
std::string_view NameOf(AttemptEnd aEnd);

/// An end that a worker lists until it is acknowledged.
struct EndedAttempt
{
  uint64_t m_number = 0; ///< Counts the ends of this incarnation.
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
  AttemptEnd m_end = AttemptEnd::Done;
  std::string m_checkpoint;
};

/// A worker's answer to a look.
struct WorkerStatus
{
  int64_t m_clockMs = 0;
  int64_t m_incarnation = 0; ///< 0 if the worker does not say.
  std::vector<RunningAttempt> m_running;
  std::vector<EndedAttempt> m_ended;
};

/// How a worker answered an order or a look.
enum class WorkerCallResult : uint8_t
{
  Accepted,
  Fenced,       ///< A higher epoch has been seen there.
  Superseded,   ///< The run is not higher than one that ended there.
  LeaseExpired, ///< The lease that the order gives is over already.
  NoCapacity,
  InvalidTicket,
  Rejected,            ///< The order itself is wrong.
  Unhealthy,           ///< Nothing was done.
  IncarnationMismatch, ///< Another incarnation answered.
  NotSent,             ///< No connection: nothing was done.
  NoResponse,          ///< It may have been done, or may be done later.
};

/// Returns the stable lower-case name of \p aResult.
std::string_view NameOf(WorkerCallResult aResult);

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
};

struct StopTask
{
  WorkerName m_worker;
  std::string m_address;
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
};

struct ThrottleTask
{
  WorkerName m_worker;
  std::string m_address;
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
  int m_percent = 100;
};

/// Extends the worker's lease, acknowledges ends and asks what runs there.
struct PollWorker
{
  uint64_t m_number = 0; ///< Differs for each look; its answer names it.
  WorkerName m_worker;
  std::string m_address;
  int64_t m_leaseEndMs = 0;    ///< End of the lease on the worker's clock; 0 to leave it.
  uint64_t m_acknowledged = 0; ///< Ends up to this number are durable.
  Duration m_wait{};           ///< How long the worker may wait for an end before it answers.
};

/// Appends \c m_records in one piece.
struct AppendRecords
{
  uint64_t m_batch = 0;
  std::vector<KeyedRecord> m_records;
};

enum class SubmitResult
{
  Accepted, ///< Durable.
  NotRun,   ///< Refused: it has not run and never will.
  Unknown,  ///< May have been accepted.
  NoSuchJob,
};

struct CompleteRequest
{
  RequestToken m_request = 0;
  SubmitResult m_result = SubmitResult::Accepted;
};

/// A higher epoch exists: this instance must stop deciding.
struct StepDown
{
  std::string m_reason;
};

/// A task that may run, or may have ended, on a worker without the store knowing of it.
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

using Action = std::
  variant<StartTask, StopTask, ThrottleTask, PollWorker, AppendRecords, CompleteRequest, StepDown>;

} // namespace egretturn
