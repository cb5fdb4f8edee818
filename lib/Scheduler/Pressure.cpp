#include "egretturn/Scheduler/Pressure.h"

#include <algorithm>
#include <cmath>

namespace egretturn {

static constexpr double kIdleTail = 0.45;   // share of its target that an undisturbed tail has
static constexpr double kMostPressure = 3;  // a tail far above its target says no more
static constexpr double kLearningRate = 0.4;
static constexpr double kForgettingRate = 0.04; // for tails that are better than expected
static constexpr double kLeastNorm = 0.02;

static constexpr double kLeastFactor = 0.15; // of the pace, in one step
static constexpr double kMostFactor = 1.6;
static constexpr int kPaceFloor = 8;     // percent; below this a task is paced to a halt
static constexpr int kPaceResume = 15;   // percent; from a halt
static constexpr int kPaceTolerance = 8; // smaller changes are not sent

ImageId
PressureModel::Intern(const std::string& aImage)
{
  return m_images.emplace(aImage, static_cast<ImageId>(m_images.size())).first->second;
}

double
PressureModel::Weight(ImageId aServing, ImageId aFilling) const
{
  const auto it = m_weights.find(Pair(aServing, aFilling));
  return it == m_weights.end() ? 0.0 : it->second;
}

double
PressureModel::Predict(ImageId aServing, const std::vector<ImageLoad>& aBeside) const
{
  double pressure = 0;
  for (const ImageLoad& load : aBeside) {
    pressure += Weight(aServing, load.m_image) * load.m_share;
  }
  return pressure;
}

/// The pressure that a tail of \p aRatio times its target speaks of.
static double
PressureOf(double aRatio)
{
  const double above = std::max(aRatio, kIdleTail) / kIdleTail;
  return std::min(kMostPressure, std::log(above) / std::log(1.0 / kIdleTail));
}

void
PressureModel::Learn(ImageId aServing, double aRatio, const std::vector<ImageLoad>& aBeside)
{
  double norm = kLeastNorm;
  for (const ImageLoad& load : aBeside) {
    norm += load.m_share * load.m_share;
  }
  const double error = PressureOf(aRatio) - Predict(aServing, aBeside);
  const double rate = error > 0 ? kLearningRate : kForgettingRate;
  if (error > 0 && aRatio < kTailGoal) {
    return; // a tail that is well within its target accuses nobody
  }
  for (const ImageLoad& load : aBeside) {
    double& weight = m_weights[Pair(aServing, load.m_image)];
    weight = std::max(0.0, weight + rate * error * load.m_share / norm);
  }
}

int
NextPace(int aPace, double aRatio)
{
  if (aPace == 0) {
    return aRatio < kTailGoal ? kPaceResume : 0;
  }
  // The part of the tail above the idle one follows the work of the neighbours.
  const double factor = (kTailGoal - kIdleTail) / std::max(aRatio - kIdleTail, 0.01);
  const double pace = aPace * std::clamp(factor, kLeastFactor, kMostFactor);
  if (pace < kPaceFloor) {
    return 0;
  }
  const int next = std::min(100, static_cast<int>(pace));
  const bool small = std::abs(next - aPace) < kPaceTolerance && next < 100;
  return small ? aPace : next;
}

} // namespace egretturn
