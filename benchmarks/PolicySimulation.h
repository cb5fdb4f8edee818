// One core against fakes that know the truth: service times, a hidden slowdown matrix, true sizes
// of tasks and failures. For measurements of decisions; no network, disk or kernel is modelled.
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

/// What a scenario changes, and when.
struct Scenario
{
  std::string m_name;
  double m_load = 0.4; ///< Share of all slots that requests keep busy.
  bool m_batch = true;
  double m_noise = 1;        ///< Factor on the hidden slowdowns during waves.
  bool m_waves = false;      ///< The noise comes in waves of a minute.
  double m_sizeError = 2;    ///< Declared over true size.
  size_t m_blackHoles = 0;   ///< Workers that fail all that they start, from a third on.
  bool m_loadShift = false;  ///< The load doubles for the middle third.
  bool m_rackLost = false;   ///< One rack stops answering, from a third on.
  bool m_logDown = false;    ///< The log is away in the middle third.
  bool m_cancelWave = false; ///< Half of the jobs are cancelled at half time.
  bool m_hopeless = false;   ///< A quarter of the jobs fail wherever they run.
};

/// A user's site.
struct Site
{
  std::string m_name;
  size_t m_workers = 50;
  size_t m_perRack = 8;
  Resources m_size{ 16'000, 60'000, 0 };
  double m_tailWeight = 0.9;
};

struct Measured
{
  LatencyHistogram m_latency;
  uint64_t m_asked = 0;
  uint64_t m_late = 0;          ///< Done, but past the deadline, or unknown.
  uint64_t m_lateByFailing = 0; ///< Of these, through a failing worker after the first 2 s.
  uint64_t m_notRun = 0;
  uint64_t m_finished = 0; ///< Tasks, after the warm-up.
  uint64_t m_evictions = 0;
  uint64_t m_starts = 0;
  double m_bound = 0; ///< Tasks that a packing by true sizes would finish.
};

/// Runs \p aScenario for \p aLength of virtual time after a warm-up.
Measured RunScenario(const Site& aSite,
                     const Scenario& aScenario,
                     const DecisionOptions& aOptions,
                     uint64_t aSeed,
                     Duration aLength);

} // namespace egretturn::bench
