// Interference between images, told apart from the load of the serving job itself.
#include "egretturn/Scheduler/ImageInterference.h"

#include "egretturn/Support/Random.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;

static constexpr double kIdleRatio = 0.22;

/// The ratio of tail to target at \p aUtilization.
static double
RatioAt(double aUtilization)
{
  return kIdleRatio / (1.0 - std::min(aUtilization, 0.98));
}

TEST_CASE("a pair that presses is told from one that does not, though the serving load swings")
{
  ImageInterferenceModel model;
  const ImageId serving = model.Intern("serving");
  const ImageId heavy = model.Intern("heavy");
  const ImageId light = model.Intern("light");
  ServingLoad load;
  Random random(3);
  Instant now(std::chrono::hours(1));
  for (int i = 0; i < 600; ++i) {
    now += milliseconds(200);
    const double own = 0.42 + 0.2 * (random.Unit() - 0.5);
    load.Record(0, model.UtilizationOf(serving, RatioAt(own)), now); // undisturbed
    const std::vector<ImageLoad> neighbors = { { heavy, 0.06 * random.Unit() },
                                               { light, 0.3 * random.Unit() } };
    const double added = 5.0 * neighbors[0].m_share + 0.2 * neighbors[1].m_share;
    const double observed = model.UtilizationOf(serving, RatioAt(own + added));
    load.Record(1, observed, now);
    model.Learn(serving, observed - load.OwnLoad(now), neighbors);
  }
  CHECK(model.Weight(serving, heavy) > 3.0);
  CHECK(model.Weight(serving, light) < 0.8);
  CHECK(load.PeakOwnLoad() < 0.6);
}

TEST_CASE("a pair that presses is known after a few reports of a single task")
{
  ImageInterferenceModel model;
  const ImageId serving = model.Intern("serving");
  const ImageId heavy = model.Intern("heavy");
  CHECK_FALSE(model.IsKnown(serving, heavy));
  for (int i = 0; i < 3; ++i) {
    model.Learn(serving, 0.3, { { heavy, 0.11 } });
  }
  CHECK(model.IsKnown(serving, heavy));
  CHECK(model.Weight(serving, heavy) > 2.0);
}

TEST_CASE("a neighbour that is known to be harmless takes no blame for a new one")
{
  ImageInterferenceModel model;
  const ImageId serving = model.Intern("serving");
  const ImageId heavy = model.Intern("heavy");
  const ImageId light = model.Intern("light");
  for (int i = 0; i < 20; ++i) {
    model.Learn(serving, 0.1, { { light, 0.4 } });
  }
  for (int i = 0; i < 3; ++i) {
    model.Learn(serving, 0.1 + 0.25, { { light, 0.4 }, { heavy, 0.1 } });
  }
  CHECK(model.Weight(serving, light) < 0.4);
  CHECK(model.Weight(serving, heavy) > 1.5);
}

TEST_CASE("a worker that has turned slow does not spoil what is known of a pair")
{
  ImageInterferenceModel model;
  const ImageId serving = model.Intern("serving");
  const ImageId light = model.Intern("light");
  for (int i = 0; i < 20; ++i) {
    model.Learn(serving, 0.1, { { light, 0.4 } });
  }
  for (int i = 0; i < 20; ++i) {
    model.Learn(serving, 0.6, { { light, 0.1 } }); // all tails there are several times as long
  }
  CHECK(model.Weight(serving, light) < 0.4);
}

TEST_CASE("serving images that the same work presses are alike")
{
  ImageInterferenceModel model;
  const ImageId one = model.Intern("one");
  const ImageId similar = model.Intern("like");
  const ImageId dissimilar = model.Intern("unlike");
  CHECK(model.Dissimilarity(one, one) == 0);
  CHECK(model.Dissimilarity(one, similar) == Approx(0.5)); // nothing is known yet
  for (int i = 0; i < 6; ++i) {
    const ImageId bestEffort = model.Intern("filling" + std::to_string(i));
    for (int j = 0; j < 10; ++j) {
      model.Learn(one, i < 3 ? 0.3 : 0.02, { { bestEffort, 0.1 } });
      model.Learn(similar, i < 3 ? 0.3 : 0.02, { { bestEffort, 0.1 } });
      model.Learn(dissimilar, i < 3 ? 0.02 : 0.3, { { bestEffort, 0.1 } });
    }
  }
  CHECK(model.Dissimilarity(one, similar) < 0.2);
  CHECK(model.Dissimilarity(one, dissimilar) > 0.7);
}

TEST_CASE("a load that has gone fades from the span of a reported tail")
{
  std::vector<ImageLoad> smoothed;
  SmoothLoads(smoothed, { { 1, 0.5 } }, std::chrono::seconds(5));
  CHECK(smoothed[0].m_share == Approx(0.5).margin(0.01));
  SmoothLoads(smoothed, {}, milliseconds(350));
  CHECK(smoothed[0].m_share == Approx(0.184).margin(0.01));
  SmoothLoads(smoothed, {}, std::chrono::seconds(5));
  CHECK(smoothed[0].m_share < 0.001);
}

TEST_CASE("one task alone does not tell the load of its job")
{
  ServingLoad load;
  const Instant now(std::chrono::hours(1));
  load.Record(0, 0.9, now);
  CHECK_FALSE(load.HasEnoughSamples(now));
  load.Record(1, 0.5, now);
  CHECK(load.HasEnoughSamples(now));
  CHECK(load.OwnLoad(now) == Approx(0.5));
  CHECK_FALSE(load.HasEnoughSamples(now + std::chrono::seconds(2)));
}
