#include "egretturn/Scheduler/ImageInterference.h"

#include "egretturn/Support/Log.h"

#include <algorithm>
#include <cmath>

namespace egretturn {

// An idle tail is taken to be at most this part of the target, until a lower one is seen.
static constexpr double kIdleRatio = 0.28;
static constexpr double kMostUtilization = 0.98;

static constexpr double kMostWeight = 12.0;

// Of a pair that was never seen.
static constexpr double kFirstWeight = 0.5;
static constexpr double kFirstVariance = 2.0;

// Of a reported tail, as utilization. Tails are whole milliseconds over half a second.
static constexpr double kSampleVariance = 0.01;

// Added to the variance with each sample, since weights drift.
static constexpr double kDriftVariance = 0.0005;

// A sample that is off by more standard deviations than this has some other cause.
static constexpr double kOutlierDeviations = 4.0;

// Standard deviation up to which a weight is relied on.
static constexpr double kKnownDeviation = 0.7;

// Weights above this mean that a pair should be kept apart; how far above does not matter.
static constexpr double kHeavyWeight = 1.2;

// Tails are reported over a span; loads are smoothed to match.
static constexpr double kSmoothingMs = 350;

static constexpr Duration kSampleAge = std::chrono::milliseconds(1200);
static constexpr double kLoggedChange = 0.25; // of a weight; smaller changes are not logged
static constexpr double kPeakFade = 0.02;     // of a peak, in a second

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
  const auto [it, added] = m_images.emplace(aImage, static_cast<ImageId>(m_images.size()));
  if (added) {
    m_names.push_back(&it->first);
  }
  return it->second;
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

PressureModel::Estimate
PressureModel::EstimateOf(ImageId aServing, ImageId aFilling) const
{
  const auto it = m_weights.find(Pair(aServing, aFilling));
  return it == m_weights.end() ? Estimate{ kFirstWeight, kFirstVariance, kFirstWeight, false }
                               : it->second;
}

double
PressureModel::Weight(ImageId aServing, ImageId aFilling) const
{
  return EstimateOf(aServing, aFilling).m_weight;
}

bool
PressureModel::IsReliable(const Estimate& aEstimate)
{
  return aEstimate.m_variance <= kKnownDeviation * kKnownDeviation;
}

bool
PressureModel::IsKnown(ImageId aServing, ImageId aFilling) const
{
  return IsReliable(EstimateOf(aServing, aFilling));
}

double
PressureModel::Unlikeness(ImageId aOne, ImageId aOther) const
{
  if (aOne == aOther) {
    return 0;
  }
  // One unlike and one alike pair stand for what is not known yet.
  double unlike = 1;
  double compared = 2;
  for (const std::pair<const uint32_t, Estimate>& estimateEntry : m_weights) {
    const uint32_t pair = estimateEntry.first;
    const Estimate& estimate = estimateEntry.second;
    const ImageId filling = static_cast<ImageId>(pair & 0xffff);
    const bool ofOne = static_cast<ImageId>(pair >> 16) == aOne;
    if (!ofOne || !IsKnown(aOne, filling) || !IsKnown(aOther, filling)) {
      continue;
    }
    const double difference = std::abs(std::min(estimate.m_weight, kHeavyWeight) -
                                       std::min(Weight(aOther, filling), kHeavyWeight));
    unlike += difference / kHeavyWeight;
    ++compared;
  }
  return unlike / compared;
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
  double variance = kSampleVariance;
  for (const ImageLoad& load : aBeside) {
    variance += EstimateOf(aServing, load.m_image).m_variance * load.m_share * load.m_share;
  }
  const double error = aAdded - Predict(aServing, aBeside);
  if (error * error > kOutlierDeviations * kOutlierDeviations * variance) {
    return;
  }
  for (const ImageLoad& load : aBeside) {
    Estimate estimate = EstimateOf(aServing, load.m_image);
    const double gain = estimate.m_variance * load.m_share / variance;
    estimate.m_weight = std::clamp(estimate.m_weight + gain * error, 0.0, kMostWeight);
    estimate.m_variance *= 1.0 - gain * load.m_share;
    estimate.m_variance = std::min(estimate.m_variance + kDriftVariance, kFirstVariance);
    m_weights[Pair(aServing, load.m_image)] = estimate;
  }
}

StoredPressure
PressureModel::Describe() const
{
  StoredPressure stored;
  for (const std::pair<const uint32_t, Estimate>& estimateEntry : m_weights) {
    const uint32_t pair = estimateEntry.first;
    const Estimate& estimate = estimateEntry.second;
    stored.m_pairs.push_back(
      { *m_names[pair >> 16], *m_names[pair & 0xffff], estimate.m_weight, estimate.m_variance });
  }
  return stored;
}

void
PressureModel::LogChanges()
{
  for (std::pair<const uint32_t, Estimate>& estimateEntry : m_weights) {
    Estimate& estimate = estimateEntry.second;
    const bool known = IsReliable(estimate);
    if (known == estimate.m_loggedKnown &&
        std::abs(estimate.m_weight - estimate.m_loggedWeight) < kLoggedChange) {
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
PressureModel::Restore(const StoredPressure& aStored)
{
  for (const StoredPair& pair : aStored.m_pairs) {
    const ImageId serving = Intern(pair.m_serving);
    const double variance = pair.m_variance > 0 ? pair.m_variance : kFirstVariance;
    m_weights[Pair(serving, Intern(pair.m_filling))] = {
      pair.m_weight, variance, kFirstWeight, false
    };
  }
}

} // namespace egretturn
