// Tracks the workers as the scheduler sees them: capacity in use, leases, clocks and failures.
#pragma once

#include "egretturn/Scheduler/Actions.h"
#include "egretturn/Scheduler/ImageInterference.h"
#include "egretturn/Scheduler/ZoneEvacuations.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <unordered_map>

namespace egretturn {

/// The phase of an attempt as far as the scheduler knows it.
enum class AttemptPhase : uint8_t
{
  Sent,        ///< The start call is in flight.
  Unconfirmed, ///< The start call got no response: it may have been executed, or may still be.
  Running,
  Stopping,
  EndUnlisted, ///< It no longer runs, but the worker has more ends to list than fit a response.
};

/// Returns the stable name of \p aPhase. Thread-safe.
std::string_view NameOf(AttemptPhase aPhase);

/// One attempt on a worker. Its demand counts against the worker's capacity until the worker
/// reports its end, or until the attempt is lost.
struct AttemptState
{
  AttemptNumber m_attempt = 0;
  AttemptPhase m_phase = AttemptPhase::Sent;
  Demand m_demand;
  bool m_bestEffort = false;
  bool m_longRunning = false;
  bool m_stopConfirmed = false; ///< The worker has confirmed the stop call.
  bool m_startPending = false;  ///< The start call may be executed later.
  int m_percent = 0;
  ImageId m_image = 0;
  int m_throttlePercent = 100;    ///< Last value sent, or an estimate for an adopted attempt.
  bool m_hasValidDuration = true; ///< Known start time, no checkpoint, never throttled.
  int64_t m_usage = 0;
  int64_t m_targetMs = 0;
  double m_utilization = 0;                 ///< Of a serving task, derived from its tail latency.
  std::optional<Instant> m_overTargetSince; ///< Since when its tail latency exceeds its target.
  Instant m_tailReportedAt;                 ///< When it last reported a tail latency.
  Instant m_startedAt;                      ///< When the start call was sent.
  Instant m_phaseSince;                     ///< When the phase began.
  std::optional<Instant> m_expectedEndAt;   ///< Nothing for an adopted attempt.
  Instant m_progressedAt;                   ///< When the percentage last rose.
};

/// A start call that got no response and whose attempt was given up. The stop that prevents its
/// late execution holds for the process that has confirmed it, and not for one that replaces it.
struct LateStart
{
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
  Instant m_sentAt;
  Instant m_givenUpAt;
  bool m_settled = false; ///< A process of the worker has confirmed the stop, and runs no attempt.
  std::optional<Instant> m_stopSentAt;      ///< The last one after the attempt was given up.
  std::optional<Instant> m_stopConfirmedAt; ///< When that stop was confirmed.
};

/// Whether a record is in the store.
enum class RecordState : uint8_t
{
  Missing,
  InBatch,
  Durable,
};

/// The best-effort attempts of one image on a worker. They share a throttle percentage.
struct BestEffortGroup
{
  ImageId m_image = 0;
  int64_t m_cpu = 0; ///< Processor demand of the attempts.
  uint32_t m_attempts = 0;
  int m_throttlePercent = 100;
  Instant m_throttledAt; ///< When m_throttlePercent last changed.
};

/// The attempts of one serving image on a worker.
struct ServingGroup
{
  ImageId m_image = 0;
  uint32_t m_attempts = 0;
  double m_ownLoad = kDefaultOwnLoad; ///< Highest recent utilization without interference.
  double m_addedUtilization = 0;      ///< Added by neighbors, summed over m_samples.
  uint32_t m_samples = 0;             ///< Tail latencies in that sum, from the last poll.
};

/// An end whose effects are not in the store yet.
struct NonDurableEnd
{
  uint64_t m_number = 0;
  TaskRef m_task;
};

/// The state of one worker. \c m_used and \c m_bestEffortCpu are derived from \c m_attempts.
struct Worker
{
  WorkerReport m_report;
  bool m_registered = true;                    ///< The directory has an entry for the worker.
  ZoneState m_zoneState = ZoneState::Open;     ///< Changed by Fleet only.
  RecordState m_record = RecordState::Missing; ///< With a record, the next leader polls the worker.
  std::string m_recordedAddress; ///< As in its record: where earlier calls were answered, if any.
  bool m_polled = false;         ///< It has responded to a poll under the current epoch.
  bool m_restored = false;       ///< An earlier epoch may have started tasks there.
  bool m_readInFull = false;     ///< It has listed all of its ends under the current epoch, too.
  bool m_endsComplete = true;    ///< Its last response listed all ends that were not acknowledged.
  bool m_statusStale = false;    ///< Its last response may be outdated by a restart.
  int64_t m_incarnation = 0;     ///< By its own responses; 0 before the first one.
  int64_t m_unconfirmedIncarnation = 0; ///< Of a response older than the directory's entry.
  uint32_t m_restarts = 0;    ///< Restarts of it that this leader has learned of; raises its fence.
  bool m_fenceRaised = false; ///< No poll with the raised fence has been answered yet.
  std::unordered_map<TaskRef, AttemptState, TaskRefHash> m_attempts;
  Demand m_used; ///< CPU of all attempts but best-effort ones; memory and accelerators of all.
  int64_t m_bestEffortCpu = 0; ///< Processor demand of best-effort attempts.
  Demand m_longRunning;        ///< The part of m_used that long-running tasks reserve.
  Demand m_held;               ///< The part of m_used that HeldPlaces holds, in a placement pass.

  int64_t m_clockMs = 0; ///< The worker's clock at its last response.
  Instant m_clockReadAt;
  Instant m_leaseExpiresAt; ///< All leases have expired by then, unless they are extended.

  bool m_pollInFlight = false;
  uint64_t m_pollNumber = 0; ///< Of the poll in flight.
  Instant m_pollSentAt;
  std::string m_pollAddress;    ///< Where the poll in flight was sent.
  std::string m_lastAddress;    ///< Where it has last responded under this epoch, if it has.
  Instant m_nextPollAt;         ///< Earliest time of the next poll, if needed.
  uint32_t m_failedPolls = 0;   ///< Consecutive failures.
  Instant m_lostContactAt;      ///< When the first of these polls failed.
  Instant m_regainedContactAt;  ///< When a poll was last answered after one that had failed.
  uint64_t m_endsProcessed = 0; ///< Highest number of a processed end.
  uint64_t m_endsDurable = 0;   ///< Highest number whose effects are in the store.
  std::vector<NonDurableEnd> m_nonDurableEnds; ///< Processed ends above m_endsDurable.
  std::vector<LateStart> m_lateStarts;         ///< Added and removed by Fleet only.
  uint64_t m_endsInBatch = 0;                  ///< Highest number covered by the batch in flight.
  uint64_t m_endsAcknowledged = 0;             ///< Highest number the worker may have discarded.
  uint64_t m_endsBeingAcknowledged = 0;        ///< Highest number that the poll acknowledges.

  std::vector<BestEffortGroup> m_bestEffortGroups;
  std::vector<ServingGroup> m_servingGroups;
  bool m_nearTarget = false; ///< In the last poll, a serving task was near or above its target.
  std::vector<ImageLoad> m_bestEffortLoads; ///< Smoothed over the interval of a tail latency.
  Instant m_loadsUpdatedAt;
  Instant m_modelUpdatedAt; ///< Last update of the interference model.

  uint32_t m_consecutiveFailures = 0; ///< Failed attempts and starts in a row.
  Instant m_lastFailureAt;            ///< When the last of these failures was observed.
  Instant m_avoidUntil;               ///< No starts before this time.
  Instant m_slowUntil; ///< No starts before this time, because its attempts barely progress.
  std::optional<Instant> m_servingSlowSince; ///< Since when its serving tasks are slow.
};

/// Returns when \p aAttempt on \p aWorker was last known to run. \pre It is in phase Running.
inline Instant
LastSeenRunning(const Worker& aWorker, const AttemptState& aAttempt)
{
  return std::max(aWorker.m_clockReadAt, aAttempt.m_phaseSince);
}

/// Limits of the lease protocol.
struct LeaseLimits
{
  Duration m_maxDuration = std::chrono::milliseconds(6000); ///< Workers shorten longer leases.
  /// Of a lease granted to a draining worker: it may exit at any time, and what it was told to stop
  /// then counts until the lease has expired. Callers miss a task that is away for 9 s.
  Duration m_maxWhileDraining = std::chrono::milliseconds(7300);
  double m_maxClockSlowness = 0.02; ///< How much slower a worker's clock may run, as a share.
  /// A superseded leader sends its last call to a worker no later than this after the claim of its
  /// successor.
  Duration m_noticeTime = std::chrono::milliseconds(1200);
  /// A call that got no response is executed no later than this after it was sent.
  Duration m_maxCallLateness = std::chrono::seconds(12);
};

/// Holds all workers by id, with the capacity that their attempts use. Not thread-safe.
class Fleet
{
public:
  explicit Fleet(const LeaseLimits& aLimits);

  /// Adds the worker of \p aReport, or updates its registration. Returns true if the worker is new.
  bool Update(const WorkerReport& aReport, Instant aNow);

  /// Sets which zones take no starts from now on, also for workers that are added later.
  void SetEvacuations(ZoneEvacuations aEvacuations);

  /// Marks the worker as deregistered.
  void Deregister(const WorkerName& aId);

  /// Removes the worker. \pre It has no attempts and no late starts.
  void Erase(const WorkerName& aId);

  /// Returns the worker, or nullptr if the id is unknown.
  Worker* Find(const WorkerName& aId);
  const Worker* Find(const WorkerName& aId) const;

  std::vector<std::unique_ptr<Worker>>& All() { return m_workers; }
  const std::vector<std::unique_ptr<Worker>>& All() const { return m_workers; }

  /// Adds an attempt to \p aWorker; its demand counts from now on. \pre The worker has no attempt
  /// of the task.
  AttemptState& AddAttempt(Worker& aWorker, const TaskRef& aTask, const AttemptState& aAttempt);

  /// Removes the attempt of \p aTask from \p aWorker, if there is one.
  void RemoveAttempt(Worker& aWorker, const TaskRef& aTask);

  /// Returns whether any worker has an attempt of \p aTask, also one that is being stopped.
  bool HasAttempt(const TaskRef& aTask) const { return m_attemptsByTask.count(aTask) > 0; }

  /// Records a start that \p aWorker, if it restarts, may execute for a while yet.
  void AddLateStart(Worker& aWorker, const LateStart& aStart);

  /// Forgets the starts for which \p aIsOver returns true.
  template<typename Predicate>
  void RemoveLateStarts(Worker& aWorker, const Predicate& aIsOver);

  /// Returns the workers that may execute an earlier start of \p aTask, if they restart; nullptr
  /// for none.
  const std::vector<Worker*>* FindLateStarts(const TaskRef& aTask) const;

  /// Returns the share of the processors of \p aService that attempts reserve, in the zones that
  /// take starts. Best-effort attempts reserve none.
  double ReservedShare(const std::string& aService) const;

  /// Returns the share of the processors in zones that take starts that belongs to workers without
  /// serving tasks.
  double ShareWithoutServing() const;

  /// Returns the end of a lease granted at \p aNow, on the worker's clock; 0 if its clock is
  /// unknown.
  int64_t LeaseEnd(const Worker& aWorker, Instant aNow) const;

  /// Records that a call with the lease of LeaseEnd() is sent at \p aNow.
  void ExtendLease(Worker& aWorker, Instant aNow) const;

  /// Records that a call of any leader with the longest lease may have arrived until \p aNow.
  void ExtendLeaseOfAnyCall(Worker& aWorker, Instant aNow) const;

  /// Returns by when all leases that were granted until \p aGrantedUntil have expired.
  Instant LatestLeaseExpiry(Instant aGrantedUntil) const;

  const LeaseLimits& Limits() const { return m_limits; }

private:
  /// Returns the length of a lease for \p aWorker, on its clock.
  Duration LengthOfGrant(const Worker& aWorker) const;
  /// Returns by when a lease of \p aLength that is granted at \p aGrantedAt has expired.
  Instant ExpiryOf(Duration aLength, Instant aGrantedAt) const;

  LeaseLimits m_limits;
  ZoneEvacuations m_evacuations;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::unordered_map<WorkerName, Worker*> m_byId;
  /// Of removed workers that have restarted: they know the fence that their restarts have raised.
  std::unordered_map<WorkerName, uint32_t> m_restartsOfRemoved;
  std::unordered_map<TaskRef, uint32_t, TaskRefHash> m_attemptsByTask; ///< On all workers.
  std::unordered_map<TaskRef, std::vector<Worker*>, TaskRefHash> m_lateStartsByTask;
};

template<typename Predicate>
void
Fleet::RemoveLateStarts(Worker& aWorker, const Predicate& aIsOver)
{
  std::vector<LateStart>& starts = aWorker.m_lateStarts;
  for (auto it = starts.begin(); it != starts.end();) {
    if (!aIsOver(*it)) {
      ++it;
      continue;
    }
    const auto byTask = m_lateStartsByTask.find(it->m_task);
    std::vector<Worker*>& workers = byTask->second;
    workers.erase(std::find(workers.begin(), workers.end(), &aWorker));
    if (workers.empty()) {
      m_lateStartsByTask.erase(byTask);
    }
    it = starts.erase(it);
  }
}

} // namespace egretturn
