#include "egretturn/Scheduler/ImageInterference.h"

#include "egretturn/Support/Log.h"

#include <algorithm>
#include <cmath>

namespace egretturn {

// Assumed ratio of idle tail latency to target, until a lower one is observed.
static constexpr double kIdleRatio = 0.28;
static constexpr double kMaxUtilization = 0.98;

static constexpr double kMaxWeight = 12.0;

// Of a pair without samples.
static constexpr double kInitialWeight = 0.5;
static constexpr double kInitialVariance = 2.0;

// Of a reported tail latency, as utilization. Tail latencies are whole milliseconds over half a
// second.
static constexpr double kSampleVariance = 0.01;

// Added to the variance with each sample, because weights drift.
static constexpr double kDriftVariance = 0.0005;

// A sample that is off by more standard deviations than this has another cause.
static constexpr double kOutlierDeviations = 4.0;

// Maximum standard deviation of a weight that counts as known.
static constexpr double kMaxKnownDeviation = 0.7;

// Pairs with a weight above this should be kept apart; higher weights are not distinguished.
static constexpr double kMaxComparedWeight = 1.2;

// Tail latencies are reported over an interval; loads are smoothed to match it.
static constexpr double kSmoothingMs = 350;

static constexpr Duration kMaxSampleAge = std::chrono::milliseconds(1200);
static constexpr double kMinLoggedChange = 0.25;    // of a weight; smaller changes are not logged
static constexpr double kPeakDecayPerSecond = 0.02; // share of the peak

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
ServingLoad::Record(uint32_t aTask, double aUtilization, Instant aNow)
{
  auto it = std::find_if(m_samples.begin(), m_samples.end(), [&](const Sample& aSample) {
    return aSample.m_task == aTask;
  });
  if (it == m_samples.end()) {
    it = m_samples.insert(m_samples.end(), Sample{ aTask, 0, aNow });
  }
  it->m_utilization = aUtilization;
  it->m_at = aNow;
  if (!HasEnoughSamples(aNow)) {
    return;
  }
  const double seconds = static_cast<double>(ToMillis(aNow - m_peakAt)) / 1000.0;
  m_peak = std::max(OwnLoad(aNow), m_peak * std::max(0.0, 1.0 - kPeakDecayPerSecond * seconds));
  m_peakAt = aNow;
}

double
ServingLoad::OwnLoad(Instant aNow) const
{
  double lowest = kMaxUtilization;
  for (const Sample& sample : m_samples) {
    if (aNow - sample.m_at < kMaxSampleAge) {
      lowest = std::min(lowest, sample.m_utilization);
    }
  }
  return lowest;
}

bool
ServingLoad::HasEnoughSamples(Instant aNow) const
{
  return std::count_if(m_samples.begin(), m_samples.end(), [&](const Sample& aSample) {
           return aNow - aSample.m_at < kMaxSampleAge;
         }) >= 2;
}

ImageId
ImageInterferenceModel::Intern(const std::string& aImage)
{
  const auto [it, added] = m_images.emplace(aImage, static_cast<ImageId>(m_images.size()));
  if (added) {
    m_names.push_back(&it->first);
  }
  return it->second;
}

double
ImageInterferenceModel::UtilizationOf(ImageId aServingImage, double aRatio)
{
  double& idle = m_idleRatio.emplace(aServingImage, kIdleRatio).first->second;
  if (aRatio > 0) {
    idle = std::min(idle, aRatio);
  }
  return std::clamp(1.0 - idle / std::max(aRatio, 0.01), 0.0, kMaxUtilization);
}

double
ImageInterferenceModel::TargetUtilization(ImageId aServingImage) const
{
  const auto it = m_idleRatio.find(aServingImage);
  return 1.0 - (it == m_idleRatio.end() ? kIdleRatio : it->second);
}

ImageInterferenceModel::Estimate
ImageInterferenceModel::EstimateOf(ImageId aServingImage, ImageId aBestEffortImage) const
{
  const auto it = m_weights.find(Pair(aServingImage, aBestEffortImage));
  return it == m_weights.end() ? Estimate{ kInitialWeight, kInitialVariance, kInitialWeight, false }
                               : it->second;
}

double
ImageInterferenceModel::Weight(ImageId aServingImage, ImageId aBestEffortImage) const
{
  return EstimateOf(aServingImage, aBestEffortImage).m_weight;
}

bool
ImageInterferenceModel::IsReliable(const Estimate& aEstimate)
{
  return aEstimate.m_variance <= kMaxKnownDeviation * kMaxKnownDeviation;
}

bool
ImageInterferenceModel::IsKnown(ImageId aServingImage, ImageId aBestEffortImage) const
{
  return IsReliable(EstimateOf(aServingImage, aBestEffortImage));
}

double
ImageInterferenceModel::Dissimilarity(ImageId aOne, ImageId aOther) const
{
  if (aOne == aOther) {
    return 0;
  }
  // Unknown pairs are represented by one dissimilar and one similar pair.
  double dissimilar = 1;
  double compared = 2;
  for (const std::pair<const uint32_t, Estimate>& estimateEntry : m_weights) {
    const uint32_t pair = estimateEntry.first;
    const Estimate& estimate = estimateEntry.second;
    const ImageId bestEffort = static_cast<ImageId>(pair & 0xffff);
    const bool ofOne = static_cast<ImageId>(pair >> 16) == aOne;
    if (!ofOne || !IsKnown(aOne, bestEffort) || !IsKnown(aOther, bestEffort)) {
      continue;
    }
    const double difference = std::abs(std::min(estimate.m_weight, kMaxComparedWeight) -
                                       std::min(Weight(aOther, bestEffort), kMaxComparedWeight));
    dissimilar += difference / kMaxComparedWeight;
    ++compared;
  }
  return dissimilar / compared;
}

double
ImageInterferenceModel::Predict(ImageId aServingImage,
                                const std::vector<ImageLoad>& aNeighborLoads) const
{
  double added = 0;
  for (const ImageLoad& load : aNeighborLoads) {
    added += Weight(aServingImage, load.m_image) * load.m_share;
  }
  return added;
}

void
ImageInterferenceModel::Learn(ImageId aServingImage,
                              double aAdded,
                              const std::vector<ImageLoad>& aNeighborLoads)
{
  double variance = kSampleVariance;
  for (const ImageLoad& load : aNeighborLoads) {
    variance += EstimateOf(aServingImage, load.m_image).m_variance * load.m_share * load.m_share;
  }
  const double error = aAdded - Predict(aServingImage, aNeighborLoads);
  if (error * error > kOutlierDeviations * kOutlierDeviations * variance) {
    return;
  }
  for (const ImageLoad& load : aNeighborLoads) {
    Estimate estimate = EstimateOf(aServingImage, load.m_image);
    const double gain = estimate.m_variance * load.m_share / variance;
    estimate.m_weight = std::clamp(estimate.m_weight + gain * error, 0.0, kMaxWeight);
    estimate.m_variance *= 1.0 - gain * load.m_share;
    estimate.m_variance = std::min(estimate.m_variance + kDriftVariance, kInitialVariance);
    m_weights[Pair(aServingImage, load.m_image)] = estimate;
  }
}

StoredInterference
ImageInterferenceModel::Describe() const
{
  StoredInterference stored;
  for (const std::pair<const uint32_t, Estimate>& estimateEntry : m_weights) {
    const uint32_t pair = estimateEntry.first;
    const Estimate& estimate = estimateEntry.second;
    stored.m_pairs.push_back(
      { *m_names[pair >> 16], *m_names[pair & 0xffff], estimate.m_weight, estimate.m_variance });
  }
  return stored;
}

void
ImageInterferenceModel::LogChanges()
{
  for (std::pair<const uint32_t, Estimate>& estimateEntry : m_weights) {
    Estimate& estimate = estimateEntry.second;
    const bool known = IsReliable(estimate);
    if (known == estimate.m_loggedKnown &&
        std::abs(estimate.m_weight - estimate.m_loggedWeight) < kMinLoggedChange) {
      continue;
    }
    estimate.m_loggedWeight = estimate.m_weight;
    estimate.m_loggedKnown = known;
    Log(LogLine(LogLevel::Info, "pressure_learned")
          .Add("serving", *m_names[estimateEntry.first >> 16])
          .Add("filling", *m_names[estimateEntry.first & 0xffff])
          .Add("weight", estimate.m_weight)
          .Add("deviation", std::sqrt(estimate.m_variance))
          .Add("known", known ? 1 : 0));
  }
}

void
ImageInterferenceModel::Restore(const StoredInterference& aStored)
{
  for (const StoredImagePair& pair : aStored.m_pairs) {
    const ImageId servingImage = Intern(pair.m_servingImage);
    const double variance = pair.m_variance > 0 ? pair.m_variance : kInitialVariance;
    m_weights[Pair(servingImage, Intern(pair.m_bestEffortImage))] = {
      pair.m_weight, variance, kInitialWeight, false
    };
  }
}

} // namespace egretturn
