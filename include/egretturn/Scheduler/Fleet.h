// The workers as the scheduler sees them: capacity in use, leases, clocks and conduct.
#pragma once

#include "egretturn/Scheduler/Actions.h"
#include "egretturn/Scheduler/ImageInterference.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace egretturn {

enum class RunPhase : uint8_t
{
  Sent,       ///< The start is on its way.
  NoResponse, ///< The start may have been carried out, or may yet be.
  Running,
  Stopping,
};

/// One run on a worker. It counts against the worker's capacity until its end is listed.
struct WorkerRun
{
  AttemptNumber m_attempt = 0;
  RunPhase m_phase = RunPhase::Sent;
  Demand m_demand;
  bool m_bestEffort = false;
  bool m_longRunning = false;
  bool m_stopAnswered = false; ///< The worker has confirmed the stop.
  int m_percent = 0;
  ImageId m_image = 0;
  int m_pace = 100;          ///< As last ordered; by its use for a run of an earlier epoch.
  bool m_undisturbed = true; ///< Started from nothing, and never paced down.
  int64_t m_usage = 0;
  int64_t m_targetMs = 0;
  double m_utilization = 0;           ///< Of a serving task, by its tail.
  std::optional<Instant> m_overSince; ///< Since when its tail has been over its target.
  Instant m_tailAt;                   ///< When it last showed a tail.
  Instant m_startedAt;                ///< When the start was sent.
  Instant m_phaseSince;               ///< When the phase began.
  Instant m_progressedAt;             ///< When the percentage last rose.
};

/// Whether the store knows of something.
enum class RecordState : uint8_t
{
  Missing,
  InBatch,
  Durable,
};

/// The runs of one image that fill on a worker. They share a pace.
struct FillGroup
{
  ImageId m_image = 0;
  int64_t m_cpu = 0; ///< Processor demand of the runs.
  uint32_t m_attempts = 0;
  int m_pace = 100;
  Instant m_pacedAt; ///< When m_pace last changed.
};

/// The runs of one serving image on a worker.
struct ServingGroup
{
  ImageId m_image = 0;
  uint32_t m_attempts = 0;
  double m_ownLoad = kUnseenOwnLoad; ///< Highest utilization of late without neighbours.
  double m_added = 0;                ///< By neighbours, summed over m_samples.
  uint32_t m_samples = 0;            ///< Tails in the last look that tell of neighbours.
};

/// One worker. \c m_used and \c m_fillCpu follow from \c m_attempts.
struct Worker
{
  WorkerReport m_report;
  bool m_listed = true;                        ///< The directory has an entry for it.
  RecordState m_record = RecordState::Missing; ///< So that a successor looks at it.
  bool m_looked = false;                       ///< It has answered under the present epoch.
  bool m_outdated = false;   ///< Its last answer may no longer hold, as it may have restarted.
  int64_t m_incarnation = 0; ///< By its own answers; 0 before the first one.
  int64_t m_doubtedIncarnation = 0; ///< Of an answer that was older than the directory's entry.
  std::unordered_map<TaskRef, WorkerRun, TaskRefHash> m_attempts;
  Demand m_used;            ///< Of runs that reserve; memory of all runs.
  int64_t m_fillCpu = 0;    ///< Processor demand of runs that fill.
  int64_t m_lastingCpu = 0; ///< The part of m_used that lasting tasks reserve.

  int64_t m_clockMs = 0; ///< Its clock when it last answered.
  Instant m_clockAt;
  Instant m_leaseOverAt; ///< All runs have lapsed by then, unless the lease is extended.

  bool m_lookInFlight = false;
  uint64_t m_lookNumber = 0; ///< Of the look in flight.
  Instant m_lookSentAt;
  Instant m_lookDueAt;                       ///< Not before this, if one is needed at all.
  uint32_t m_failedLooks = 0;                ///< In a row.
  Instant m_lostContactAt;                   ///< When the first of them failed.
  uint64_t m_endsSeen = 0;                   ///< Highest number of an end that was processed.
  uint64_t m_endsDurable = 0;                ///< Highest number whose effects are in the store.
  std::vector<EndedAttempt> m_undurableEnds; ///< Those above m_endsDurable.
  uint64_t m_endsInBatch = 0;                ///< Highest number covered by the batch in flight.
  uint64_t m_endsAcknowledged = 0;           ///< Highest number that the worker may have forgotten.
  uint64_t m_acknowledging = 0;              ///< What the look in flight acknowledges.

  std::vector<FillGroup> m_filling;
  std::vector<ServingGroup> m_serving;
  bool m_pressed = false; ///< A serving task was near its target or over it in the last look.
  std::vector<ImageLoad> m_loads; ///< Of images that fill, over the span of a reported tail.
  Instant m_loadsAt;
  Instant m_learnedAt; ///< When its tails were last learned from.

  uint32_t m_badStreak = 0; ///< Failures in a row.
  Instant m_lastBadAt;      ///< When the last of them was seen.
  Instant m_avoidUntil;     ///< No starts before this.
  Instant m_slowUntil;      ///< No starts before this either: its runs hardly move.
};

/// Bounds of the lease protocol.
struct LeaseLimits
{
  Duration m_maxDuration = std::chrono::milliseconds(6000); ///< The worker shortens longer leases.
  double m_clockSlowness = 0.02;                            ///< A worker's clock may be this slow.
};

/// All workers by id. Not thread-safe.
class Fleet
{
public:
  explicit Fleet(const LeaseLimits& aLimits);

  /// Adds or updates the worker of \p aReport. Returns true if it is new.
  bool Update(const WorkerReport& aReport, Instant aNow);

  /// Marks the worker as gone from the directory.
  void Unlist(const WorkerName& aId);

  /// Forgets the worker. \pre It has no runs.
  void Erase(const WorkerName& aId);

  /// The worker, or nullptr.
  Worker* Find(const WorkerName& aId);

  std::vector<std::unique_ptr<Worker>>& All() { return m_workers; }
  const std::vector<std::unique_ptr<Worker>>& All() const { return m_workers; }

  /// Puts a run on \p aWorker; its demand counts from now on. \pre No run of the task is there.
  static WorkerRun& AddRun(Worker& aWorker, const TaskRef& aTask, const WorkerRun& aRun);

  /// Takes the run of \p aTask off \p aWorker, if it is there.
  static void RemoveRun(Worker& aWorker, const TaskRef& aTask);

  /// The share of all processors that is reserved or asked for by runs.
  double ShareInUse() const;

  /// The share of all processors on workers without serving tasks.
  double ShareWithoutServing() const;

  /// The end of a lease granted at \p aNow, on the worker's clock. 0 if its clock is not known.
  int64_t LeaseEnd(const Worker& aWorker, Instant aNow) const;

  /// Notes that an order with a new lease is sent at \p aNow.
  void ExtendLease(Worker& aWorker, Instant aNow) const;

private:
  LeaseLimits m_limits;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::unordered_map<WorkerName, Worker*> m_byId;
};

} // namespace egretturn
