// How much tasks that fill disturb serving tasks, learned for each pair of images.
//
// A tail is read as the utilization of a queue: tail = idle tail / (1 - utilization). Utilization
// adds up: a serving task's own load, which all tasks of its job share, and for each image beside
// it the pair's weight times the share of the worker's processors that the image uses.
#pragma once

#include "egretturn/Support/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace egretturn {

using ImageId = uint16_t;

/// Work of one image on a worker.
struct ImageLoad
{
  ImageId m_image = 0;
  double m_share = 0; ///< Of the worker's processors.
};

/// Moves \p aSmoothed towards \p aLoads, \p aSince after the last call. Thread-safe.
void SmoothLoads(std::vector<ImageLoad>& aSmoothed,
                 const std::vector<ImageLoad>& aLoads,
                 Duration aSince);

/// The highest own load of a serving job, until it was seen.
constexpr double kUnseenOwnLoad = 0.6;

/// The load that the tasks of one serving job have in common. Not thread-safe.
class ServingLoad
{
public:
  /// Notes the utilization of the task numbered \p aTask.
  void Note(uint32_t aTask, double aUtilization, Instant aNow);

  /// The utilization without neighbours: that of the least disturbed task.
  double Own(Instant aNow) const;

  /// The highest own load of late.
  double Peak() const { return m_peak; }

  /// Whether several tasks were seen lately, so that Own() can be told from disturbance.
  bool IsTelling(Instant aNow) const;

private:
  struct Sample
  {
    uint32_t m_task = 0;
    double m_utilization = 0;
    Instant m_at;
  };

  std::vector<Sample> m_samples;
  double m_peak = kUnseenOwnLoad;
  Instant m_peakAt;
};

/// What was learned of one pair of images, for the store.
struct StoredPair
{
  std::string m_serving;
  std::string m_filling;
  double m_weight = 0;
  double m_variance = 0; ///< Of the weight; 0 in records that do not say.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("serving", aSelf.m_serving);
    aVisit("filling", aSelf.m_filling);
    aVisit("weight", aSelf.m_weight);
    aVisit("variance", aSelf.m_variance);
  }
};

struct StoredPressure
{
  std::vector<StoredPair> m_pairs;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("pairs", aSelf.m_pairs);
  }
};

/// Learns from tails which images press which: a Kalman filter for each serving image, with the
/// weights taken as independent. What is known well takes little blame for what is not.
/// Not thread-safe.
class PressureModel
{
public:
  /// A small number for \p aImage; the same one each time.
  ImageId Intern(const std::string& aImage);

  /// The image that Intern() has given this number. \pre There is one.
  const std::string& NameOf(ImageId aImage) const { return *m_names[aImage]; }

  /// The utilization of a task of \p aServing whose tail is \p aRatio times its target.
  double UtilizationOf(ImageId aServing, double aRatio);

  /// The utilization at which the tail of \p aServing meets its target.
  double TargetUtilization(ImageId aServing) const;

  /// Notes that \p aBeside added \p aAdded to the utilization of a task of \p aServing.
  void Learn(ImageId aServing, double aAdded, const std::vector<ImageLoad>& aBeside);

  /// What \p aBeside adds to the utilization of a task of \p aServing.
  double Predict(ImageId aServing, const std::vector<ImageLoad>& aBeside) const;

  /// What \p aFilling adds on the whole of a worker's processors.
  double Weight(ImageId aServing, ImageId aFilling) const;

  /// Whether enough was seen of the pair to rely on Weight().
  bool IsKnown(ImageId aServing, ImageId aFilling) const;

  /// How differently the images that fill press \p aOne and \p aOther: 0 alike, 1 unlike, and in
  /// between as long as little is known.
  double Unlikeness(ImageId aOne, ImageId aOther) const;

  /// What was learned so far.
  StoredPressure Describe() const;

  /// Logs a line for each pair whose weight has moved much since it was last logged.
  void LogChanges();

  /// Takes over what an earlier epoch has learned.
  void Restore(const StoredPressure& aStored);

private:
  /// A weight, and the variance of its error.
  struct Estimate
  {
    double m_weight = 0;
    double m_variance = 0;
    double m_loggedWeight = 0;
    bool m_loggedKnown = false;
  };

  static bool IsReliable(const Estimate& aEstimate);
  Estimate EstimateOf(ImageId aServing, ImageId aFilling) const;

  static uint32_t Pair(ImageId aServing, ImageId aFilling)
  {
    return (uint32_t{ aServing } << 16) | aFilling;
  }

  std::unordered_map<std::string, ImageId> m_images;
  std::vector<const std::string*> m_names;         ///< The keys of m_images, by number.
  std::unordered_map<ImageId, double> m_idleRatio; ///< Lowest ratio of tail to target.
  std::unordered_map<uint32_t, Estimate> m_weights;
};

} // namespace egretturn
