// Simulates one core with stand-ins that define the actual service times, slowdowns, task sizes and
// failures, all hidden from the policy. It measures the quality of decisions. Network, disk and
// kernel are not modelled.
#pragma once

#include "egretturn/Core/Core.h"
#include "egretturn/Standin/LogModel.h"
#include "egretturn/Standin/WorkerModel.h"
#include "egretturn/Support/Latency.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace egretturn::bench {

/// Workload and faults of a simulation.
struct Scenario
{
  std::string m_name;
  double m_load = 0.4; ///< Share of all slots that requests keep busy.
  bool m_batch = true;
  double m_noise = 1;          ///< Factor on the hidden slowdowns during waves.
  bool m_waves = false;        ///< Whether the slowdowns come in waves of one minute.
  double m_sizeError = 2;      ///< Ratio of declared to actual task size.
  size_t m_failingWorkers = 0; ///< Workers that fail all tasks, from the second third on.
  bool m_loadShift = false;    ///< Whether the load doubles for the middle third.
  bool m_rackLost = false;     ///< Whether one rack stops responding, from the second third on.
  bool m_logDown = false;      ///< Whether the log is unavailable in the middle third.
  bool m_cancelWave = false;   ///< Whether half of the jobs are cancelled at half time.
  bool m_jobsFail = false;     ///< Whether a quarter of the jobs fail on every worker.
};

/// Size and policy of a site.
struct Site
{
  std::string m_name;
  size_t m_workers = 50;
  size_t m_perRack = 8;
  Resources m_size{ 16'000, 60'000, 0 };
  double m_tailWeight = 0.9;
};

/// Measurements of one simulation.
struct ScenarioResult
{
  LatencyHistogram m_latency;
  uint64_t m_requests = 0;
  uint64_t m_late = 0; ///< Completed after the deadline, or with an unknown outcome.
  /// Late requests that went to a failing worker, without those of the first 2 s after the fault.
  uint64_t m_lateByFailingWorker = 0;
  uint64_t m_notRun = 0;
  uint64_t m_finished = 0; ///< Tasks finished after the warm-up.
  uint64_t m_evictions = 0;
  uint64_t m_starts = 0;
  double m_upperBound = 0; ///< Tasks that a packing by actual sizes would finish.
};

/// Simulates \p aScenario for \p aLength of virtual time after a warm-up and returns what was
/// measured after the warm-up.
ScenarioResult RunScenario(const Site& aSite,
                           const Scenario& aScenario,
                           const DecisionOptions& aOptions,
                           uint64_t aSeed,
                           Duration aLength);

} // namespace egretturn::bench
