// How much tasks that fill disturb serving tasks, learned for each pair of images.
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

/// Learns from tails which images press which. Not thread-safe.
///
/// The pressure on a serving image is the sum, over the images beside it, of the pair's weight
/// times the share of the worker's processors that the image uses. At 1 the tail is at its target.
class PressureModel
{
public:
  /// A small number for \p aImage; the same one each time.
  ImageId Intern(const std::string& aImage);

  /// Notes that a task of \p aServing had a tail of \p aRatio times its target beside \p aBeside.
  void Learn(ImageId aServing, double aRatio, const std::vector<ImageLoad>& aBeside);

  /// Lets what was learned fade. Call often.
  void Age(Instant aNow);

  /// The pressure of \p aBeside on \p aServing.
  double Predict(ImageId aServing, const std::vector<ImageLoad>& aBeside) const;

  /// Pressure of \p aFilling on \p aServing for a whole worker's processors.
  double Weight(ImageId aServing, ImageId aFilling) const;

private:
  static uint32_t Pair(ImageId aServing, ImageId aFilling)
  {
    return (uint32_t{ aServing } << 16) | aFilling;
  }

  std::unordered_map<std::string, ImageId> m_images;
  std::unordered_map<uint32_t, double> m_weights;
  Instant m_agedAt;
};

/// Moves \p aSmoothed towards \p aLoads, \p aSince after the last call. Thread-safe.
void SmoothLoads(std::vector<ImageLoad>& aSmoothed,
                 const std::vector<ImageLoad>& aLoads,
                 Duration aSince);

/// The pace, in percent, that brings a tail of \p aRatio times its target near the goal.
/// Thread-safe.
int NextPace(int aPace, double aRatio);

/// Above this ratio of tail to target, neighbours are paced.
constexpr double kTailGoal = 0.8;

} // namespace egretturn
