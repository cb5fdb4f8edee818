// Learns, for each pair of images, how much best-effort tasks slow down serving tasks.
//
// A serving task is modeled as a queue: tail latency = idle tail latency / (1 - utilization).
// Utilization is additive: a serving task's own load, which all tasks of its job share, plus, for
// each neighboring image, the pair's weight times the share of the worker's processors that the
// image uses.
#pragma once

#include "egretturn/Support/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace egretturn {

using ImageId = uint16_t;

/// The load of one image on a worker.
struct ImageLoad
{
  ImageId m_image = 0;
  double m_share = 0; ///< Share of the worker's processors.
};

/// Smooths \p aSmoothed exponentially towards \p aLoads; \p aSince is the time since the last call.
/// Thread-safe.
void SmoothLoads(std::vector<ImageLoad>& aSmoothed,
                 const std::vector<ImageLoad>& aLoads,
                 Duration aSince);

/// Peak own load of a serving job until it has been observed.
constexpr double kDefaultOwnLoad = 0.6;

/// Estimates the load that the tasks of one serving job have in common. Not thread-safe.
class ServingLoad
{
public:
  /// Records the utilization of the task numbered \p aTask.
  void Record(uint32_t aTask, double aUtilization, Instant aNow);

  /// Returns the utilization without interference, which is that of the least affected task.
  double OwnLoad(Instant aNow) const;

  /// Returns the highest recent own load.
  double PeakOwnLoad() const { return m_peak; }

  /// Returns whether several tasks were observed recently, so that OwnLoad() can be separated from
  /// interference.
  bool HasEnoughSamples(Instant aNow) const;

private:
  struct Sample
  {
    uint32_t m_task = 0;
    double m_utilization = 0;
    Instant m_at;
  };

  std::vector<Sample> m_samples;
  double m_peak = kDefaultOwnLoad;
  Instant m_peakAt;
};

/// The estimate for one pair of images, as stored.
struct StoredImagePair
{
  std::string m_servingImage;
  std::string m_bestEffortImage;
  double m_weight = 0;
  double m_variance = 0; ///< Of the weight; 0 in records without a variance.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("serving", aSelf.m_servingImage);
    aVisit("filling", aSelf.m_bestEffortImage);
    aVisit("weight", aSelf.m_weight);
    aVisit("variance", aSelf.m_variance);
  }
};

/// The estimates for all pairs of images, as stored.
struct StoredInterference
{
  std::vector<StoredImagePair> m_pairs;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("pairs", aSelf.m_pairs);
  }
};

/// Learns from tail latencies which images interfere: a Kalman filter for each serving image, with
/// the weights assumed to be independent. A prediction error changes well-known weights little and
/// uncertain ones most. Not thread-safe.
class ImageInterferenceModel
{
public:
  /// Returns a small number for \p aImage, the same one at each call. Callers choose the names, so
  /// only kMaxImages have a number of their own; all others share one.
  ImageId Intern(const std::string& aImage);

  /// Returns the image that Intern() has given this number. \pre There is one.
  const std::string& NameOf(ImageId aImage) const;

  /// Returns the utilization of a task of \p aServingImage whose tail latency is \p aRatio times
  /// its target.
  double UtilizationOf(ImageId aServingImage, double aRatio);

  /// Returns the ratio of tail latency to target at \p aUtilization.
  double RatioAt(ImageId aServingImage, double aUtilization) const;

  /// Returns the utilization at which the tail latency of \p aServingImage meets its target.
  double TargetUtilization(ImageId aServingImage) const;

  /// Adds a sample: \p aNeighborLoads added \p aAdded to the utilization of a task of
  /// \p aServingImage.
  void Learn(ImageId aServingImage, double aAdded, const std::vector<ImageLoad>& aNeighborLoads);

  /// Returns the utilization that \p aNeighborLoads are expected to add to a task of
  /// \p aServingImage.
  double Predict(ImageId aServingImage, const std::vector<ImageLoad>& aNeighborLoads) const;

  /// Returns the utilization that \p aBestEffortImage adds if it uses all processors of a worker.
  double Weight(ImageId aServingImage, ImageId aBestEffortImage) const;

  /// Returns whether the pair has enough samples to rely on Weight().
  bool IsKnown(ImageId aServingImage, ImageId aBestEffortImage) const;

  /// Returns how differently best-effort images interfere with \p aOne and \p aOther: 0 for the
  /// same, 1 for entirely different, and in between while little is known.
  double Dissimilarity(ImageId aOne, ImageId aOther) const;

  /// Returns all estimates for the store.
  StoredInterference Describe() const;

  /// Logs a line for each pair whose weight has changed considerably since it was last logged.
  void LogChanges();

  /// Restores the estimates that an earlier epoch stored.
  void Restore(const StoredInterference& aStored);

  static constexpr size_t kMaxImages = 512;

private:
  static constexpr ImageId kOtherImages = kMaxImages;

  /// A weight, and the variance of its error.
  struct Estimate
  {
    double m_weight = 0;
    double m_variance = 0;
    double m_loggedWeight = 0;
    bool m_loggedKnown = false;
    bool m_sampled = false; ///< Otherwise the other members are those of an unknown pair.
  };

  static const Estimate kUnknownPair;

  static bool IsReliable(const Estimate& aEstimate);
  double IdleRatio(ImageId aServingImage) const;
  const Estimate& EstimateOf(ImageId aServingImage, ImageId aBestEffortImage) const;

  /// Returns the estimate of the pair, to be changed.
  Estimate& Sampled(ImageId aServingImage, ImageId aBestEffortImage);

  std::unordered_map<std::string, ImageId> m_images;
  std::vector<const std::string*> m_names; ///< The keys of m_images, by number.
  std::vector<double> m_idleRatio;         ///< Lowest ratio of tail latency to target, by image.
  /// By serving image, then by best-effort image. Placement reads them for each worker.
  std::vector<std::vector<Estimate>> m_weights;
};

} // namespace egretturn
