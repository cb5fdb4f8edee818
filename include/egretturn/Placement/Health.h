// Keeps batch work away from workers that fail what they start; such workers look idle.
#pragma once

#include "egretturn/Config/Model.h"
#include "egretturn/Support/Time.h"

#include <unordered_map>

namespace egretturn {

/// Failure rates of workers with ejection and probing. Not thread-safe.
class WorkerHealth
{
public:
  /// At most this share of the known workers is ejected at once.
  void SetEjectShare(double aShare) { m_ejectShare = aShare; }

  /// Number of workers that the share refers to.
  void SetWorkers(size_t aWorkers) { m_workers = aWorkers; }

  /// Takes the end of an attempt on \p aWorker.
  void Record(WorkerId aWorker, bool aFailed, Instant aNow);

  /// Whether new work may go to \p aWorker. After its time away, one attempt at a time probes it.
  bool IsUsable(WorkerId aWorker, Instant aNow, size_t aRunning) const;

  /// Whether the worker fails most of what it starts, so that a failure says nothing of the job.
  bool IsSuspect(WorkerId aWorker) const;

  size_t Ejected(Instant aNow) const;

private:
  struct State
  {
    double m_rate = 0;
    uint32_t m_samples = 0;
    uint32_t m_ejections = 0;
    bool m_probing = false;
    Instant m_until{};
  };
  std::unordered_map<WorkerId, State> m_states;
  double m_ejectShare = 0.3;
  size_t m_workers = 0;
};

} // namespace egretturn
