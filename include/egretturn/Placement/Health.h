// Keeps batch work away from workers that fail the attempts they start. Such workers look idle and
// would otherwise receive more work.
#pragma once

#include "egretturn/Config/Model.h"
#include "egretturn/Support/Time.h"

#include <unordered_map>

namespace egretturn {

/// Tracks the failure rates of workers, ejects failing ones for a time and probes them afterwards.
/// Not thread-safe.
class WorkerHealth
{
public:
  /// Sets the maximum share of the workers that are ejected at the same time.
  void SetEjectShare(double aShare) { m_ejectShare = aShare; }

  /// Sets the number of workers to which the eject share applies.
  void SetWorkers(size_t aWorkers) { m_workers = aWorkers; }

  /// Records the end of an attempt on \p aWorker.
  void Record(WorkerId aWorker, bool aFailed, Instant aNow);

  /// Returns whether \p aWorker, which runs \p aRunning attempts, may receive new work. After its
  /// ejection a worker is probed with one attempt at a time.
  bool IsUsable(WorkerId aWorker, Instant aNow, size_t aRunning) const;

  /// Returns whether the worker fails most of its attempts, so that a failure there says nothing
  /// about the job.
  bool IsSuspect(WorkerId aWorker) const;

  /// Returns the number of workers that are ejected at \p aNow.
  size_t EjectedCount(Instant aNow) const;

private:
  struct State
  {
    double m_failureRate = 0;
    uint32_t m_samples = 0;
    uint32_t m_ejections = 0;
    bool m_probing = false;
    Instant m_ejectedUntil{};
  };
  std::unordered_map<WorkerId, State> m_states;
  double m_ejectShare = 0.3;
  size_t m_workers = 0;
};

} // namespace egretturn
