#include "egretturn/Routing/Router.h"

#include <algorithm>
#include <cassert>

namespace egretturn {

static constexpr double kMeanGain = 0.05; // weight of a new sample in the moving average
static constexpr double kTailStep = 0.05; // step of the quantile estimate, relative to its value
static constexpr double kTailQuantile = 0.95;
static constexpr double kFailureGain = 0.15;
static constexpr uint32_t kMinEjectSamples = 5; // fewer say nothing about a worker's health
static constexpr double kEjectFailureRate = 0.5;
static constexpr Duration kBaseEjectionTime = std::chrono::seconds(2); // doubles with each ejection
static constexpr uint32_t kMaxEjectDoublings = 5;
static constexpr int kRandomPicks = 4; // attempts before all targets are scanned for a free slot
static constexpr double kDefaultLatencyUs = 1000; // assumed for a target without samples

void
Router::Configure(uint32_t aSlots, double aTailWeight, double aEjectShare)
{
  m_slots = aSlots;
  m_tailWeight = aTailWeight;
  m_ejectShare = aEjectShare;
}

void
Router::SetTargets(const std::vector<Target>& aTargets)
{
  std::vector<Target> next;
  next.reserve(aTargets.size());
  m_totalOutstanding = 0;
  for (const Target& target : aTargets) {
    const std::unordered_map<WorkerId, size_t>::const_iterator it = m_index.find(target.m_worker);
    next.push_back(it == m_index.end() ? target : m_targets[it->second]);
    m_totalOutstanding += next.back().m_outstanding;
  }
  m_targets = std::move(next);
  m_index.clear();
  for (size_t i = 0; i < m_targets.size(); ++i) {
    m_index[m_targets[i].m_worker] = i;
  }
}

const Target*
Router::Find(WorkerId aWorker) const
{
  const std::unordered_map<WorkerId, size_t>::const_iterator it = m_index.find(aWorker);
  return it == m_index.end() ? nullptr : &m_targets[it->second];
}

bool
Router::IsUsable(const Target& aTarget, Instant aNow, WorkerId aAvoid) const
{
  return aTarget.m_worker != aAvoid &&
         aTarget.m_outstanding + aTarget.m_otherOutstanding < m_slots &&
         aTarget.m_ejectedUntil <= aNow;
}

double
Router::Score(const Target& aTarget) const
{
  if (m_rule == RoutingPolicy::LeastOutstanding) {
    return aTarget.m_outstanding;
  }
  const double mean =
    aTarget.m_meanUs > 0 ? aTarget.m_meanUs : std::max(m_meanUs, kDefaultLatencyUs);
  const double tail = aTarget.m_tailUs > 0 ? aTarget.m_tailUs : mean;
  const double latency = m_tailWeight * tail + (1 - m_tailWeight) * mean;
  const double load = 1.0 + aTarget.m_outstanding + aTarget.m_otherOutstanding;
  return load * latency;
}

std::optional<size_t>
Router::PickUsable(Random& aRandom, Instant aNow, WorkerId aAvoid) const
{
  for (int i = 0; i < kRandomPicks; ++i) {
    const size_t pick = aRandom.Below(m_targets.size());
    if (!m_targets[pick].m_noiseTolerant && IsUsable(m_targets[pick], aNow, aAvoid)) {
      return pick;
    }
  }
  // Few targets have a free slot, or most of those are reserved for batch work. Take the first that
  // is not reserved, otherwise the first reserved one.
  std::optional<size_t> reserved;
  const size_t start = aRandom.Below(m_targets.size());
  for (size_t i = 0; i < m_targets.size(); ++i) {
    const size_t pick = (start + i) % m_targets.size();
    if (!IsUsable(m_targets[pick], aNow, aAvoid)) {
      continue;
    }
    if (!m_targets[pick].m_noiseTolerant) {
      return pick;
    }
    reserved = reserved ? reserved : pick;
  }
  return reserved;
}

std::optional<RouteChoice>
Router::Choose(Random& aRandom, Instant aNow, WorkerId aAvoid) const
{
  if (m_targets.empty() || m_totalOutstanding >= TotalSlots()) {
    return std::nullopt;
  }
  const std::optional<size_t> first = PickUsable(aRandom, aNow, aAvoid);
  if (!first) {
    return std::nullopt;
  }
  RouteChoice choice{ *first, Score(m_targets[*first]), 0, 0 };
  if (m_rule == RoutingPolicy::Random) {
    return choice;
  }
  if (m_rule == RoutingPolicy::LeastOutstanding) {
    for (size_t i = 0; i < m_targets.size(); ++i) {
      if (IsUsable(m_targets[i], aNow, aAvoid) && Score(m_targets[i]) < choice.m_score) {
        choice.m_target = i;
        choice.m_score = Score(m_targets[i]);
      }
    }
    return choice;
  }
  const size_t second = aRandom.Below(m_targets.size());
  if (second == *first || m_targets[second].m_noiseTolerant ||
      !IsUsable(m_targets[second], aNow, aAvoid)) {
    return choice;
  }
  choice.m_alternative = m_targets[second].m_worker;
  choice.m_alternativeScore = Score(m_targets[second]);
  if (choice.m_alternativeScore < choice.m_score) {
    choice.m_target = second;
    choice.m_alternative = m_targets[*first].m_worker;
    std::swap(choice.m_score, choice.m_alternativeScore);
  }
  return choice;
}

void
Router::AcquireSlot(size_t aTarget)
{
  assert(aTarget < m_targets.size() && "the index must come from Choose()");
  ++m_targets[aTarget].m_outstanding;
  ++m_totalOutstanding;
}

void
Router::SetNoiseTolerant(WorkerId aWorker, bool aSpare)
{
  const std::unordered_map<WorkerId, size_t>::const_iterator it = m_index.find(aWorker);
  if (it != m_index.end()) {
    m_targets[it->second].m_noiseTolerant = aSpare;
  }
}

void
Router::ReleaseSlot(WorkerId aWorker)
{
  const std::unordered_map<WorkerId, size_t>::const_iterator it = m_index.find(aWorker);
  if (it == m_index.end() || m_targets[it->second].m_outstanding == 0) {
    return;
  }
  --m_targets[it->second].m_outstanding;
  --m_totalOutstanding;
}

/// Updates \p aTail, an estimate of the tail quantile, with one sample.
static void
UpdateTailEstimate(double& aTail, double aSample)
{
  if (aTail <= 0) {
    aTail = aSample;
    return;
  }
  aTail += kTailStep * aTail * (aSample > aTail ? kTailQuantile : kTailQuantile - 1);
}

bool
Router::CanEject(Instant aNow) const
{
  size_t ejected = 0;
  for (const Target& target : m_targets) {
    ejected += target.m_ejectedUntil > aNow ? 1 : 0;
  }
  return static_cast<double>(ejected + 1) <= m_ejectShare * static_cast<double>(m_targets.size());
}

void
Router::UpdateStatistics(Target& aTarget, Duration aLatency, bool aFailed, Instant aNow)
{
  ++aTarget.m_samples;
  aTarget.m_sampledAt = aNow;
  aTarget.m_failureRate += kFailureGain * ((aFailed ? 1.0 : 0.0) - aTarget.m_failureRate);
  if (!aFailed) {
    const double us = static_cast<double>(aLatency.count());
    aTarget.m_meanUs += (aTarget.m_meanUs > 0 ? kMeanGain : 1) * (us - aTarget.m_meanUs);
    m_meanUs += (m_meanUs > 0 ? kMeanGain : 1) * (us - m_meanUs);
    UpdateTailEstimate(aTarget.m_tailUs, us);
    UpdateTailEstimate(m_tailUs, us);
  }
  if (aTarget.m_samples < kMinEjectSamples || aTarget.m_failureRate < kEjectFailureRate ||
      !CanEject(aNow)) {
    return;
  }
  const uint32_t doublings = std::min(aTarget.m_ejections, kMaxEjectDoublings);
  aTarget.m_ejectedUntil = aNow + kBaseEjectionTime * (1U << doublings);
  ++aTarget.m_ejections;
  aTarget.m_samples = 0; // the first requests after the ejection probe the worker
  aTarget.m_failureRate = kEjectFailureRate / 2;
}

void
Router::RecordResponse(WorkerId aWorker, Duration aLatency, bool aFailed, Instant aNow)
{
  ReleaseSlot(aWorker);
  const std::unordered_map<WorkerId, size_t>::const_iterator it = m_index.find(aWorker);
  if (it != m_index.end()) {
    UpdateStatistics(m_targets[it->second], aLatency, aFailed, aNow);
  }
}

void
Router::ObserveBusySlots(WorkerId aWorker, uint32_t aBusy)
{
  const std::unordered_map<WorkerId, size_t>::const_iterator it = m_index.find(aWorker);
  if (it == m_index.end()) {
    return;
  }
  Target& target = m_targets[it->second];
  target.m_otherOutstanding = aBusy > target.m_outstanding ? aBusy - target.m_outstanding : 0;
}

Duration
Router::HedgeDelay() const
{
  return Duration(static_cast<int64_t>(m_tailUs));
}

uint32_t
Router::FreeSlots(Instant aNow) const
{
  uint32_t free = 0;
  for (const Target& target : m_targets) {
    const uint32_t used = target.m_outstanding + target.m_otherOutstanding;
    if (target.m_ejectedUntil <= aNow && used < m_slots) {
      free += m_slots - used;
    }
  }
  return free;
}

} // namespace egretturn
