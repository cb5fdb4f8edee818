#include "egretturn/Scheduler/Pressure.h"

#include <algorithm>
#include <cmath>

namespace egretturn {

static constexpr double kIdleTail = 0.45;  // share of its target that an undisturbed tail has
static constexpr double kMostPressure = 3; // a tail far above its target says no more
static constexpr double kLearningRate = 0.4;
static constexpr double kForgettingRate = 0.03; // with each tail that is fine
static constexpr double kBlamedRatio = 1.0;     // tails below this accuse nobody
static constexpr double kTellingShare = 0.01;   // a smaller load says nothing about its image
static constexpr double kSuspicion = 0.5;       // weight under which an unknown image is suspected
static constexpr double kMostWeight = 60;

// What was learned fades, so that a pair that is kept apart is tried again.
static constexpr Duration kAgeEvery = std::chrono::seconds(1);
static constexpr double kAgeFactor = 0.985;

// Tails are reported over a span; loads are smoothed to match.
static constexpr double kSmoothingMs = 350;

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
  const double error = PressureOf(aRatio) - Predict(aServing, aBeside);
  const bool pressed = aRatio >= kBlamedRatio && error > 0;
  const bool fine = aRatio < kTailGoal && error < 0;
  if (!pressed && !fine) {
    return;
  }
  // An image that is known to press takes most of the blame; others are suspected by their share.
  double suspicion = 0;
  for (const ImageLoad& load : aBeside) {
    suspicion += (Weight(aServing, load.m_image) + kSuspicion) * load.m_share;
  }
  for (const ImageLoad& load : aBeside) {
    if (load.m_share < kTellingShare) {
      continue;
    }
    double& weight = m_weights[Pair(aServing, load.m_image)];
    if (pressed) {
      const double part = (weight + kSuspicion) * load.m_share / suspicion;
      weight = std::min(kMostWeight, weight + kLearningRate * part * error / load.m_share);
    } else {
      weight -= kForgettingRate * weight;
    }
  }
}

void
PressureModel::Age(Instant aNow)
{
  if (aNow - m_agedAt < kAgeEvery) {
    return;
  }
  m_agedAt = aNow;
  for (auto& [pair, weight] : m_weights) {
    weight *= kAgeFactor;
  }
}

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
