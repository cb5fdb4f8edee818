#include "egretturn/Placement/Health.h"

#include <algorithm>

namespace egretturn {

static constexpr double kFailureGain = 0.3;
static constexpr uint32_t kMinSamples = 3;
static constexpr double kEjectFailureRate = 0.6;
static constexpr Duration kBaseEjectionTime = std::chrono::seconds(10); // doubles each time
static constexpr uint32_t kMaxDoublings = 5;

size_t
WorkerHealth::EjectedCount(Instant aNow) const
{
  return static_cast<size_t>(
    std::count_if(m_states.begin(), m_states.end(), [aNow](const auto& aEntry) {
      return aEntry.second.m_ejectedUntil > aNow;
    }));
}

void
WorkerHealth::Record(WorkerId aWorker, bool aFailed, Instant aNow)
{
  State& state = m_states[aWorker];
  state.m_failureRate += kFailureGain * ((aFailed ? 1.0 : 0.0) - state.m_failureRate);
  ++state.m_samples;
  if (!aFailed) {
    state.m_probing = false;
    state.m_ejections = 0;
    return;
  }
  if (state.m_ejectedUntil > aNow) {
    return; // the attempt was already running when the worker was ejected
  }
  const bool failing = state.m_samples >= kMinSamples && state.m_failureRate >= kEjectFailureRate;
  const double allowed = m_ejectShare * static_cast<double>(m_workers);
  if ((!failing && !state.m_probing) || static_cast<double>(EjectedCount(aNow) + 1) > allowed) {
    return;
  }
  state.m_ejectedUntil =
    aNow + kBaseEjectionTime * (1U << std::min(state.m_ejections, kMaxDoublings));
  ++state.m_ejections;
  state.m_probing = true;
}

bool
WorkerHealth::IsUsable(WorkerId aWorker, Instant aNow, size_t aRunning) const
{
  const std::unordered_map<WorkerId, State>::const_iterator it = m_states.find(aWorker);
  if (it == m_states.end()) {
    return true;
  }
  if (it->second.m_ejectedUntil > aNow) {
    return false;
  }
  return !it->second.m_probing || aRunning == 0;
}

bool
WorkerHealth::IsSuspect(WorkerId aWorker) const
{
  const std::unordered_map<WorkerId, State>::const_iterator it = m_states.find(aWorker);
  return it != m_states.end() &&
         (it->second.m_probing || it->second.m_failureRate >= kEjectFailureRate);
}

} // namespace egretturn
