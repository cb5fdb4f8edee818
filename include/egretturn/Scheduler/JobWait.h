// Says for one waiting task what holds it, as a typed value and as a log line.
#pragma once

#include "egretturn/Scheduler/Packing.h"

#include <optional>

namespace egretturn {

/// What holds a task whose turn has come and that does not run.
enum class WaitCause : uint8_t
{
  Recovering,        ///< An earlier epoch may have started it on a worker that was not read yet.
  Unconfirmed,       ///< It needs a fresh confirmation that this leader leads.
  StoppingElsewhere, ///< A worker still stops an attempt of it.
  AttemptNotRunning, ///< It has an attempt that does not run, as far as the leader knows.
  StartMayFollow,    ///< A worker may execute an earlier start of it, if it restarts.
  GangIncomplete,    ///< Another member of its gang still has an attempt.
  NoWorker,          ///< It fits on no worker; of a gang, not all members do.
  Evacuated,         ///< It fits in zones that take no starts only. Told apart for absences.
  PassedOver,        ///< It was not tried, because a similar request did not fit.
  NotTried,          ///< The placement does not know that it waits.
  Startable,         ///< Nothing holds it: it is due to start in the next pass.
};

constexpr size_t kWaitCauses = static_cast<size_t>(WaitCause::Startable) + 1;

/// Returns the stable name of \p aCause. Thread-safe.
std::string_view NameOf(WaitCause aCause);

/// What is known of the worker that holds a task.
struct HoldingWorker
{
  WorkerName m_name; ///< Empty if none is known, as before the directory has been read.
  std::optional<AttemptPhase> m_phase; ///< Of the attempt there, if it is known.
  Duration m_inPhase{};                ///< For how long; a repeated stop counts anew.
  Duration m_leaseRemaining{};
  Duration m_unheard{}; ///< Since the first poll without a response, if it is out of contact.
};

/// Why a job has nothing running, or a long-running task of it does not run.
struct JobWait
{
  TaskRef m_task;
  Duration m_waited{};  ///< Since its turn came, or something of the job last ran.
  uint32_t m_tasks = 0; ///< Tasks of the job whose turn has come and that don't run.
  WaitCause m_cause = WaitCause::Startable;
  HoldingWorker m_worker;          ///< Where an attempt is or may be, for the causes with a worker.
  std::optional<TaskRef> m_behind; ///< A task of the step that was tried, or the gang's member.
  std::optional<Duration> m_confirmationAge; ///< Of the last confirmation, if there was one.
  bool m_confirmationRequested = false;
  ObstacleCounts m_obstacles{}; ///< For WaitCause::NoWorker.
};

/// The jobs that have waited longest at one point in time.
struct JobWaits
{
  std::vector<JobWait> m_longest; ///< The longest wait first.
  uint64_t m_heldBack = 0;        ///< Other jobs that wait.
};

/// Logs a line for each of the jobs in \p aWaits.
void LogJobWaits(const JobWaits& aWaits);

} // namespace egretturn
