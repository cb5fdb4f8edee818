// What a Scheduler is configured with, takes in, stores of its models, and counts.
#pragma once

#include "egretturn/Scheduler/Durations.h"
#include "egretturn/Scheduler/Fleet.h"

#include <vector>

namespace egretturn {

/// Memory for jobs, in bytes. The same on all instances with memory enough, so that each can lead
/// with what another has accepted.
constexpr size_t kDefaultMaxJobBytes = 32 * 1024 * 1024;

/// Limits of a scheduler's leases, memory, gangs and appends.
struct SchedulerLimits
{
  LeaseLimits m_lease;
  size_t m_maxJobs = 20000;                   ///< Maximum number of jobs in memory.
  size_t m_maxJobBytes = kDefaultMaxJobBytes; ///< Of the jobs in memory.
  size_t m_maxTombstones = 20000; ///< Maximum number of jobs cancelled before they were accepted.
  Duration m_endedJobRetention = std::chrono::seconds(120); ///< How long its state can be queried.
  Duration m_gangTimeout = std::chrono::seconds(3);
  size_t m_maxBatchBytes = 1024 * 1024; ///< Of the records of one append, with their lengths.
  size_t m_maxRecordBytes = 256 * 1024; ///< Of one record, see RecordBytes().
  /// How many times as long a task takes away from the rack of its data or group. 1: it has none.
  double m_farFactor = 1;
};

/// A job as a caller submits it.
struct Submission
{
  GraphId m_id = 0;
  JobTerms m_terms;
  Graph m_graph;
};

/// The models of images and routes that an epoch has learned, as stored.
struct StoredModels
{
  StoredInterference m_interference;
  std::vector<StoredDurations> m_durations;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("pressure", aSelf.m_interference);
    aVisit("durations", aSelf.m_durations);
  }
};

/// Counters for metrics.
struct SchedulerCounters
{
  uint64_t m_accepted = 0;
  uint64_t m_refused = 0;
  uint64_t m_refusedAsCancelled = 0; ///< The part of m_refused whose cancellation came before.
  uint64_t m_cancelsRefused = 0;     ///< Cancellations of unknown jobs beyond m_maxTombstones.
  uint64_t m_starts = 0;
  uint64_t m_endsDone = 0;
  uint64_t m_endsFailed = 0;
  uint64_t m_endsOther = 0;
  uint64_t m_stops = 0;
  uint64_t m_throttles = 0;
  uint64_t m_moves = 0; ///< Of serving tasks that left a slow worker.
  uint64_t m_polls = 0;
  uint64_t m_startsPutOff = 0; ///< Tasks that have waited for a place near their data or group.
  uint64_t m_startsFar = 0;    ///< Starts away from the rack of the task's data.
  uint64_t m_batches = 0;
  uint64_t m_passesCut = 0;     ///< Placement passes that could not try all that waits.
  uint64_t m_placesCleared = 0; ///< Places where nothing else started, for long-running tasks that
                                ///< are away for long; each counts once a placement pass.
  uint64_t m_tasksWaiting = 0;  ///< Ready tasks without a worker, as of the last waiting report.
  uint64_t m_tasksSkipped = 0;  ///< The part of m_tasksWaiting for which no placement was tried.
  uint64_t m_tasksRecovering = 0;  ///< The part of m_tasksWaiting that may run on a worker of an
                                   ///< earlier epoch.
  uint64_t m_tasksUnconfirmed = 0; ///< The part of m_tasksWaiting that needs a confirmation.
  uint64_t m_tasksEvacuated = 0;   ///< The part of m_tasksWaiting that waits for WaitsForZone().
  uint64_t m_jobsWaiting = 0;      ///< Jobs that the last report on waiting jobs counted.
  uint64_t m_longRunningAway = 0;  ///< Long-running tasks away for over 6 s at the last look.
  uint64_t m_longRunningLongestAwayMs = 0; ///< The longest absence of one at the last look.
  uint64_t m_longRunningNotFollowed = 0;   ///< Those away beyond the bound of AbsenceLog.
  uint64_t m_workersRegistered = 0;
  uint64_t m_workersUnreachable = 0; ///< Registered workers whose last polls failed.
};

} // namespace egretturn
