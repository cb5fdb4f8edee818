#include "egretturn/Scheduler/Pressure.h"

#include <algorithm>
#include <cmath>

namespace egretturn {

// An idle tail is taken to be at most this part of the target, until a lower one is seen.
static constexpr double kIdleRatio = 0.28;
static constexpr double kMostUtilization = 0.98;

static constexpr double kLearningRate = 0.25;
static constexpr double kLeastNorm = 0.01;
static constexpr double kMostWeight = 12.0;
static constexpr double kFirstWeight = 0.5; // of a pair that was never seen

// Tails are reported over a span; loads are smoothed to match.
static constexpr double kSmoothingMs = 350;

static constexpr Duration kSampleAge = std::chrono::milliseconds(1200);
static constexpr double kPeakFade = 0.02; // of a peak, in a second

void
SmoothLoads(std::vector<ImageLoad>& aSmoothed,
            const std::vector<ImageLoad>& aLoads,
            Duration aSince)
{
  const double keep = std::exp(-static_cast<double>(ToMillis(aSince)) / kSmoothingMs);
  for (ImageLoad& smoothed : aSmoothed) {
    smoothed.m_share *= keep;
  }
  for (const ImageLoad& load : aLoads) {
    auto it = std::find_if(aSmoothed.begin(), aSmoothed.end(), [&](const ImageLoad& aOther) {
      return aOther.m_image == load.m_image;
    });
    if (it == aSmoothed.end()) {
      it = aSmoothed.insert(aSmoothed.end(), { load.m_image, 0.0 });
    }
    it->m_share += (1.0 - keep) * load.m_share;
  }
}

void
ServingLoad::Note(uint32_t aTask, double aUtilization, Instant aNow)
{
  auto it = std::find_if(m_samples.begin(), m_samples.end(), [&](const Sample& aSample) {
    return aSample.m_task == aTask;
  });
  if (it == m_samples.end()) {
    it = m_samples.insert(m_samples.end(), Sample{ aTask, 0, aNow });
  }
  it->m_utilization = aUtilization;
  it->m_at = aNow;
  if (!IsTelling(aNow)) {
    return;
  }
  const double seconds = static_cast<double>(ToMillis(aNow - m_peakAt)) / 1000.0;
  m_peak = std::max(Own(aNow), m_peak * std::max(0.0, 1.0 - kPeakFade * seconds));
  m_peakAt = aNow;
}

double
ServingLoad::Own(Instant aNow) const
{
  double least = kMostUtilization;
  for (const Sample& sample : m_samples) {
    if (aNow - sample.m_at < kSampleAge) {
      least = std::min(least, sample.m_utilization);
    }
  }
  return least;
}

bool
ServingLoad::IsTelling(Instant aNow) const
{
  return std::count_if(m_samples.begin(), m_samples.end(), [&](const Sample& aSample) {
           return aNow - aSample.m_at < kSampleAge;
         }) >= 2;
}

ImageId
PressureModel::Intern(const std::string& aImage)
{
  return m_images.emplace(aImage, static_cast<ImageId>(m_images.size())).first->second;
}

double
PressureModel::UtilizationOf(ImageId aServing, double aRatio)
{
  double& idle = m_idleRatio.emplace(aServing, kIdleRatio).first->second;
  if (aRatio > 0) {
    idle = std::min(idle, aRatio);
  }
  return std::clamp(1.0 - idle / std::max(aRatio, 0.01), 0.0, kMostUtilization);
}

double
PressureModel::TargetUtilization(ImageId aServing) const
{
  const auto it = m_idleRatio.find(aServing);
  return 1.0 - (it == m_idleRatio.end() ? kIdleRatio : it->second);
}

double
PressureModel::Weight(ImageId aServing, ImageId aFilling) const
{
  const auto it = m_weights.find(Pair(aServing, aFilling));
  return it == m_weights.end() ? kFirstWeight : it->second;
}

double
PressureModel::Predict(ImageId aServing, const std::vector<ImageLoad>& aBeside) const
{
  double added = 0;
  for (const ImageLoad& load : aBeside) {
    added += Weight(aServing, load.m_image) * load.m_share;
  }
  return added;
}

void
PressureModel::Learn(ImageId aServing, double aAdded, const std::vector<ImageLoad>& aBeside)
{
  double norm = kLeastNorm;
  for (const ImageLoad& load : aBeside) {
    norm += load.m_share * load.m_share;
  }
  const double step = kLearningRate * (aAdded - Predict(aServing, aBeside)) / norm;
  for (const ImageLoad& load : aBeside) {
    double& weight = m_weights.emplace(Pair(aServing, load.m_image), kFirstWeight).first->second;
    weight = std::clamp(weight + step * load.m_share, 0.0, kMostWeight);
  }
}

StoredPressure
PressureModel::Describe() const
{
  std::vector<const std::string*> names(m_images.size());
  for (const auto& [name, image] : m_images) {
    names[image] = &name;
  }
  StoredPressure stored;
  for (const auto& [pair, weight] : m_weights) {
    stored.m_pairs.push_back({ *names[pair >> 16], *names[pair & 0xffff], weight });
  }
  return stored;
}

void
PressureModel::Restore(const StoredPressure& aStored)
{
  for (const StoredPair& pair : aStored.m_pairs) {
    const ImageId serving = Intern(pair.m_serving);
    m_weights[Pair(serving, Intern(pair.m_filling))] = pair.m_weight;
  }
}

} // namespace egretturn
