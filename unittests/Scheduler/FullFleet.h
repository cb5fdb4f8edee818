// Plays a fleet that long-running work fills nearly, while more short tasks come than fit beside it
// and workers drain, leave and join.
#pragma once

#include "SchedulerWorld.h"

namespace egretturn::schedtest {

/// Not thread safe.
class FullFleet
{
public:
  /// Adds the workers. \pre \p aWorld has no workers and no leader, and lives as long as this.
  explicit FullFleet(SchedulerWorld& aWorld);

  /// Plays, lets everything finish, and checks the result. Call once.
  void Play();

private:
  void AddWorker();
  int64_t CapacityCpu() const;
  /// Submits long-running jobs that reserve 0.6 to 0.9 of the processors.
  void SubmitLongRunning();
  void SubmitShort();
  /// Lets short jobs come for \p aTime, each of which ends, and workers that are drained leave.
  void AdvanceWithShort(Duration aTime);
  void DrainSome();
  void LetDrainedLeave();

  SchedulerWorld& m_world;
  double m_load = 0;      ///< Short work that comes, of what is free beside lasting work.
  double m_freeCpu = 0;   ///< Beside lasting work, when the fleet is whole.
  double m_owedCpuMs = 0; ///< Short work that is to be submitted.
  std::map<size_t, Instant> m_drainedAt; ///< By the index of the worker.
};

} // namespace egretturn::schedtest
