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

static constexpr Duration kMaxSampleAge = std::chrono::milliseconds(700);
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
  const auto known = m_images.find(aImage);
  if (known != m_images.end()) {
    return known->second;
  }
  if (m_images.size() == kMaxImages) {
    return kOtherImages;
  }
  const auto it = m_images.emplace(aImage, static_cast<ImageId>(m_images.size())).first;
  m_names.push_back(&it->first);
  return it->second;
}

const std::string&
ImageInterferenceModel::NameOf(ImageId aImage) const
{
  static const std::string kOthers = "(others)";
  return aImage < m_names.size() ? *m_names[aImage] : kOthers;
}

double
ImageInterferenceModel::UtilizationOf(ImageId aServingImage, double aRatio)
{
  if (aServingImage >= m_idleRatio.size()) {
    m_idleRatio.resize(size_t{ aServingImage } + 1, kIdleRatio);
  }
  double& idle = m_idleRatio[aServingImage];
  if (aRatio > 0) {
    idle = std::min(idle, aRatio);
  }
  return std::clamp(1.0 - idle / std::max(aRatio, 0.01), 0.0, kMaxUtilization);
}

double
ImageInterferenceModel::IdleRatio(ImageId aServingImage) const
{
  return aServingImage < m_idleRatio.size() ? m_idleRatio[aServingImage] : kIdleRatio;
}

double
ImageInterferenceModel::RatioAt(ImageId aServingImage, double aUtilization) const
{
  return IdleRatio(aServingImage) / (1.0 - std::clamp(aUtilization, 0.0, kMaxUtilization));
}

double
ImageInterferenceModel::TargetUtilization(ImageId aServingImage) const
{
  return 1.0 - IdleRatio(aServingImage);
}

const ImageInterferenceModel::Estimate ImageInterferenceModel::kUnknownPair{ kInitialWeight,
                                                                             kInitialVariance,
                                                                             kInitialWeight,
                                                                             false,
                                                                             false };

const ImageInterferenceModel::Estimate&
ImageInterferenceModel::EstimateOf(ImageId aServingImage, ImageId aBestEffortImage) const
{
  if (aServingImage >= m_weights.size()) {
    return kUnknownPair;
  }
  const std::vector<Estimate>& row = m_weights[aServingImage];
  return aBestEffortImage < row.size() ? row[aBestEffortImage] : kUnknownPair;
}

ImageInterferenceModel::Estimate&
ImageInterferenceModel::Sampled(ImageId aServingImage, ImageId aBestEffortImage)
{
  if (aServingImage >= m_weights.size()) {
    m_weights.resize(size_t{ aServingImage } + 1);
  }
  std::vector<Estimate>& row = m_weights[aServingImage];
  if (aBestEffortImage >= row.size()) {
    row.resize(size_t{ aBestEffortImage } + 1, kUnknownPair);
  }
  row[aBestEffortImage].m_sampled = true;
  return row[aBestEffortImage];
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
  const size_t known = aOne < m_weights.size() ? m_weights[aOne].size() : 0;
  for (size_t i = 0; i < known; ++i) {
    const ImageId bestEffort = static_cast<ImageId>(i);
    if (!IsKnown(aOne, bestEffort) || !IsKnown(aOther, bestEffort)) {
      continue;
    }
    const double difference = std::abs(std::min(Weight(aOne, bestEffort), kMaxComparedWeight) -
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
    Estimate& estimate = Sampled(aServingImage, load.m_image);
    const double gain = estimate.m_variance * load.m_share / variance;
    estimate.m_weight = std::clamp(estimate.m_weight + gain * error, 0.0, kMaxWeight);
    estimate.m_variance *= 1.0 - gain * load.m_share;
    estimate.m_variance = std::min(estimate.m_variance + kDriftVariance, kInitialVariance);
  }
}

StoredInterference
ImageInterferenceModel::Describe() const
{
  StoredInterference stored;
  for (size_t serving = 0; serving < m_weights.size(); ++serving) {
    for (size_t bestEffort = 0; bestEffort < m_weights[serving].size(); ++bestEffort) {
      const Estimate& estimate = m_weights[serving][bestEffort];
      if (estimate.m_sampled) {
        stored.m_pairs.push_back({ NameOf(static_cast<ImageId>(serving)),
                                   NameOf(static_cast<ImageId>(bestEffort)),
                                   estimate.m_weight,
                                   estimate.m_variance });
      }
    }
  }
  return stored;
}

void
ImageInterferenceModel::LogChanges()
{
  for (size_t serving = 0; serving < m_weights.size(); ++serving) {
    for (size_t bestEffort = 0; bestEffort < m_weights[serving].size(); ++bestEffort) {
      Estimate& estimate = m_weights[serving][bestEffort];
      const bool known = IsReliable(estimate);
      if (known == estimate.m_loggedKnown &&
          std::abs(estimate.m_weight - estimate.m_loggedWeight) < kMinLoggedChange) {
        continue;
      }
      estimate.m_loggedWeight = estimate.m_weight;
      estimate.m_loggedKnown = known;
      Log(LogLine(LogLevel::Info, "pressure_learned")
            .Add("serving", NameOf(static_cast<ImageId>(serving)))
            .Add("filling", NameOf(static_cast<ImageId>(bestEffort)))
            .Add("weight", estimate.m_weight)
            .Add("deviation", std::sqrt(estimate.m_variance))
            .Add("known", known ? 1 : 0));
    }
  }
}

void
ImageInterferenceModel::Restore(const StoredInterference& aStored)
{
  for (const StoredImagePair& pair : aStored.m_pairs) {
    const ImageId servingImage = Intern(pair.m_servingImage);
    Estimate& estimate = Sampled(servingImage, Intern(pair.m_bestEffortImage));
    estimate.m_weight = pair.m_weight;
    estimate.m_variance = pair.m_variance > 0 ? pair.m_variance : kInitialVariance;
  }
}

} // namespace egretturn
