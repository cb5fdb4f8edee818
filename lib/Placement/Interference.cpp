#include "egretturn/Placement/Interference.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kHistoryRetention = std::chrono::seconds(60);
static constexpr double kPriorSlowdown = 0.04; // conservative, for pairs without observations
static constexpr double kMaxAddedSlowdown = 2.0;
static constexpr double kLearnGain = 0.25; // share of a sample's error that is corrected
static constexpr double kDecayPerSecond = 0.01;
static constexpr uint32_t kMinSamples = 6;

void
MixHistory::Push(TaskMix aMix, Instant aNow)
{
  m_mixes.push_back(Entry{ aNow, std::move(aMix) });
  while (m_mixes.size() > 2 && m_mixes[1].m_since < aNow - kHistoryRetention) {
    m_mixes.pop_front();
  }
}

void
MixHistory::Add(const std::string& aKind, Instant aNow)
{
  TaskMix mix = m_mixes.back().m_mix;
  ++mix[aKind];
  Push(std::move(mix), aNow);
}

void
MixHistory::Remove(const std::string& aKind, Instant aNow)
{
  TaskMix mix = m_mixes.back().m_mix;
  const TaskMix::iterator it = mix.find(aKind);
  if (it == mix.end()) {
    return;
  }
  if (--it->second == 0) {
    mix.erase(it);
  }
  Push(std::move(mix), aNow);
}

const TaskMix&
MixHistory::MixAt(Instant aWhen) const
{
  for (std::deque<Entry>::const_reverse_iterator it = m_mixes.rbegin(); it != m_mixes.rend();
       ++it) {
    if (it->m_since <= aWhen) {
      return it->m_mix;
    }
  }
  return m_mixes.front().m_mix;
}

size_t
InterferenceModel::BandOf(double aLoad)
{
  const double scaled = std::clamp(aLoad, 0.0, 0.999) * kLoadBands;
  return static_cast<size_t>(scaled);
}

const InterferenceModel::Pair*
InterferenceModel::Find(const std::string& aService, const std::string& aKind) const
{
  const std::map<PairKey, Pair>::const_iterator it = m_pairs.find(PairKey(aService, aKind));
  return it == m_pairs.end() ? nullptr : &it->second;
}

double
InterferenceModel::AddedSlowdown(const std::string& aService,
                                 size_t aBand,
                                 const std::string& aKind) const
{
  const Pair* pair = Find(aService, aKind);
  if (!pair) {
    return kPriorSlowdown;
  }
  if (pair->m_samples[aBand] > 0) {
    return pair->m_added[aBand];
  }
  // This band has no samples: use the nearest band below or above that has some.
  for (size_t distance = 1; distance < kLoadBands; ++distance) {
    if (aBand >= distance && pair->m_samples[aBand - distance] > 0) {
      return pair->m_added[aBand - distance];
    }
    if (aBand + distance < kLoadBands && pair->m_samples[aBand + distance] > 0) {
      return pair->m_added[aBand + distance];
    }
  }
  return kPriorSlowdown;
}

double
InterferenceModel::PredictSlowdown(const std::string& aService,
                                   size_t aBand,
                                   const TaskMix& aMix) const
{
  double slowdown = 1;
  for (const std::pair<const std::string, uint32_t>& countEntry : aMix) {
    const std::string& kind = countEntry.first;
    const uint32_t count = countEntry.second;
    slowdown += count * AddedSlowdown(aService, aBand, kind);
  }
  return slowdown;
}

void
InterferenceModel::Observe(const std::string& aService,
                           size_t aBand,
                           const TaskMix& aMix,
                           double aSlowdown)
{
  double norm = 0;
  for (const std::pair<const std::string, uint32_t>& countEntry : aMix) {
    const uint32_t count = countEntry.second;
    norm += static_cast<double>(count) * count;
  }
  if (norm <= 0) {
    return;
  }
  // Normalized least mean squares: distribute the error by the number of tasks of each kind.
  const double error = aSlowdown - PredictSlowdown(aService, aBand, aMix);
  for (const std::pair<const std::string, uint32_t>& countEntry : aMix) {
    const std::string& kind = countEntry.first;
    const uint32_t count = countEntry.second;
    const double before = AddedSlowdown(aService, aBand, kind);
    const auto [it, inserted] = m_pairs.try_emplace(PairKey(aService, kind));
    Pair& pair = it->second;
    if (inserted) {
      pair.m_added.fill(kPriorSlowdown);
    }
    pair.m_added[aBand] =
      std::clamp(before + kLearnGain * error * count / norm, 0.0, kMaxAddedSlowdown);
    ++pair.m_samples[aBand];
  }
}

void
InterferenceModel::DecayTowardsPrior()
{
  for (std::pair<const std::pair<std::string, std::string>, Pair>& pairEntry : m_pairs) {
    Pair& pair = pairEntry.second;
    for (double& added : pair.m_added) {
      added += kDecayPerSecond * (kPriorSlowdown - added);
    }
  }
}

bool
InterferenceModel::HasEnoughSamples(const std::string& aService, const std::string& aKind) const
{
  const Pair* pair = Find(aService, aKind);
  if (!pair) {
    return false;
  }
  uint32_t samples = 0;
  for (uint32_t bandSamples : pair->m_samples) {
    samples += bandSamples;
  }
  return samples >= kMinSamples;
}

} // namespace egretturn
