// Tests predictions from inaccurate estimates of callers.
#include "egretturn/Scheduler/Durations.h"

#include "egretturn/Support/Random.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace egretturn;
using std::chrono::milliseconds;

/// Returns a factor between 1 / \p aMax and \p aMax, distributed uniformly in logarithms.
static double
RandomFactor(Random& aRandom, double aMax)
{
  return std::exp(std::log(aMax) * (2.0 * aRandom.Unit() - 1.0));
}

TEST_CASE("measured durations outweigh estimates that are off by up to ten times")
{
  DurationModel model;
  Random random(5);
  double declaredError = 0;
  double expectedError = 0;
  for (int i = 0; i < 400; ++i) {
    const double measuredMs = 1700.0 * RandomFactor(random, 2.0);
    const int64_t declaredMs = static_cast<int64_t>(measuredMs * RandomFactor(random, 10.0));
    const double expectedMs = static_cast<double>(model.Predict("route", declaredMs));
    if (i >= 100) {
      declaredError += std::abs(std::log(static_cast<double>(declaredMs) / measuredMs));
      expectedError += std::abs(std::log(expectedMs / measuredMs));
    }
    model.Learn("route", declaredMs, milliseconds(static_cast<int64_t>(measuredMs)));
  }
  CHECK(expectedError < 0.4 * declaredError);
}

TEST_CASE("good estimates are kept, even if they differ widely")
{
  DurationModel model;
  Random random(6);
  for (int i = 0; i < 100; ++i) {
    const double measuredMs = 1000.0 * RandomFactor(random, 10.0);
    model.Learn("route",
                static_cast<int64_t>(measuredMs * RandomFactor(random, 1.1)),
                milliseconds(static_cast<int64_t>(measuredMs)));
  }
  CHECK(model.Predict("route", 200) == Approx(200).epsilon(0.15));
  CHECK(model.Predict("route", 5000) == Approx(5000).epsilon(0.15));
}

TEST_CASE("an estimate is used unchanged until tasks of its route have been measured")
{
  DurationModel model;
  CHECK(model.Predict("route", 700) == 700);
  for (int i = 0; i < 50; ++i) {
    model.Learn("other", 700, milliseconds(1400));
  }
  CHECK(model.Predict("route", 700) == 700);
  CHECK(model.Predict("other", 700) == Approx(1400).epsilon(0.1));
}

TEST_CASE("a stored model can be restored")
{
  DurationModel model;
  for (int i = 0; i < 50; ++i) {
    model.Learn("route", 700, milliseconds(1400));
  }
  DurationModel restored;
  restored.Restore(model.Describe());
  CHECK(restored.Predict("route", 900) == model.Predict("route", 900));
}
