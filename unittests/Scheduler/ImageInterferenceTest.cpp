// Tests that interference between images is separated from the serving job's own load.
#include "egretturn/Scheduler/ImageInterference.h"

#include "egretturn/Support/Random.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace egretturn;
using std::chrono::milliseconds;

static constexpr double kIdleRatio = 0.22;

/// Returns the ratio of tail latency to target at \p aUtilization.
static double
RatioAt(double aUtilization)
{
  return kIdleRatio / (1.0 - std::min(aUtilization, 0.98));
}

TEST_CASE("an interfering pair is distinguished from a harmless one while the serving load varies")
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
    load.Record(0, model.UtilizationOf(serving, RatioAt(own)), now); // without interference
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

TEST_CASE("an interfering pair is known after a few reports of a single task")
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

TEST_CASE("interference of a new neighbor is not attributed to one that is known to be harmless")
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

TEST_CASE("a worker that has become slow does not distort the estimate for a pair")
{
  ImageInterferenceModel model;
  const ImageId serving = model.Intern("serving");
  const ImageId light = model.Intern("light");
  for (int i = 0; i < 20; ++i) {
    model.Learn(serving, 0.1, { { light, 0.4 } });
  }
  for (int i = 0; i < 20; ++i) {
    model.Learn(
      serving, 0.6, { { light, 0.1 } }); // all tail latencies there are several times as long
  }
  CHECK(model.Weight(serving, light) < 0.4);
}

TEST_CASE("serving images that the same work interferes with are similar")
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

TEST_CASE("a load that has ended decays over the interval of a reported tail latency")
{
  std::vector<ImageLoad> smoothed;
  SmoothLoads(smoothed, { { 1, 0.5 } }, std::chrono::seconds(5));
  CHECK(smoothed[0].m_share == Approx(0.5).margin(0.01));
  SmoothLoads(smoothed, {}, milliseconds(350));
  CHECK(smoothed[0].m_share == Approx(0.184).margin(0.01));
  SmoothLoads(smoothed, {}, std::chrono::seconds(5));
  CHECK(smoothed[0].m_share < 0.001);
}

TEST_CASE("the load of a job cannot be derived from one task alone")
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

// Guards against a rise of the load that is taken for interference by whatever runs beside.
TEST_CASE("the load of a job that rises is that of its latest samples")
{
  ServingLoad load;
  const Instant now(std::chrono::hours(1));
  load.Record(0, 0.45, now);
  const Instant later = now + std::chrono::seconds(1);
  load.Record(1, 0.6, later);
  load.Record(2, 0.62, later);
  CHECK(load.OwnLoad(later) == Approx(0.6));
}

TEST_CASE("callers cannot fill the table of images")
{
  static constexpr size_t kNames = 70000;
  ImageInterferenceModel model;
  std::set<ImageId> numbers;
  for (size_t i = 0; i < kNames; ++i) {
    numbers.insert(model.Intern("image-" + std::to_string(i)));
  }
  CHECK(numbers.size() <= 1024);
  const ImageId other = model.Intern("one more");
  CHECK(other == model.Intern("yet another"));
  CHECK_FALSE(model.NameOf(other).empty());
  CHECK(model.NameOf(model.Intern("image-1")) == "image-1");
}
