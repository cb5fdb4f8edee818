// Tests which instances hold the connections to which workers.
#include "egretturn/Node/LinkPlan.h"

#include <catch2/catch.hpp>
#include <set>

using namespace egretturn;

static const std::map<std::string, std::string> kRegionOf{ { "a", "south" },
                                                           { "b", "south" },
                                                           { "c", "north" } };

static LinkInstance
InstanceIn(const std::string& aZone, int aNumber, double aWeight)
{
  const std::string id = aZone + std::to_string(aNumber);
  return { id, id + ":1", aZone, kRegionOf.at(aZone), aWeight };
}

/// Returns how many of \p aWorkers workers of zone "a" each instance holds.
static std::map<std::string, size_t>
CountByInstance(const LinkPlan& aPlan, size_t aWorkers)
{
  std::map<std::string, size_t> counts;
  for (size_t i = 0; i < aWorkers; ++i) {
    const LinkInstance* instance = aPlan.Find("worker-" + std::to_string(i), "a", 0);
    ++counts[instance ? instance->m_id : "none"];
  }
  return counts;
}

// Guards against links that cross zones, and against messages to more shards than needed.
TEST_CASE("the workers of a zone are held by few strong instances of that zone")
{
  std::vector<LinkInstance> instances;
  for (int i = 0; i < 20; ++i) {
    instances.push_back(InstanceIn("a", i, i < 3 ? 0.5 : 0.07));
    instances.push_back(InstanceIn("b", i, 0.5));
  }
  const LinkPlan plan(instances, { { "a", 180 } }, kRegionOf);
  CHECK(plan.IsSufficient());
  const std::map<std::string, size_t> counts = CountByInstance(plan, 180);
  REQUIRE(counts.size() == 2); // one could carry them all, but would leave nobody to take over
  CHECK(counts.at("a0") > 60);
  CHECK(counts.at("a1") > 60);
}

TEST_CASE("each instance gets workers in proportion to its weight")
{
  const LinkPlan plan(
    { InstanceIn("a", 0, 0.4), InstanceIn("a", 1, 0.1) }, { { "a", 200 } }, kRegionOf);
  std::map<std::string, size_t> counts = CountByInstance(plan, 200);
  CHECK(counts["a0"] > 3 * counts["a1"] - 40);
  CHECK(counts["a1"] > 20);
}

TEST_CASE("a zone without enough instances is served from its region first")
{
  const LinkPlan plan(
    { InstanceIn("a", 0, 0.02), InstanceIn("b", 0, 0.3), InstanceIn("c", 0, 0.9) },
    { { "a", 100 } },
    kRegionOf);
  CHECK(plan.IsSufficient());
  const std::map<std::string, size_t> counts = CountByInstance(plan, 100);
  CHECK(counts.count("b0") == 1);
  CHECK(counts.count("c0") == 0);
}

TEST_CASE("too few instances are reported, and carry what they can")
{
  const LinkPlan plan({ InstanceIn("a", 0, 0.02) }, { { "a", 100 } }, kRegionOf);
  CHECK_FALSE(plan.IsSufficient());
  CHECK(CountByInstance(plan, 100).at("a0") == 100);
  CHECK(LinkPlan({}, { { "a", 1 } }, kRegionOf).Find("w", "a", 0) == nullptr);
}

// Guards against connections that are all made anew when one instance comes or goes.
TEST_CASE("when an instance is lost, only its workers change their instance")
{
  std::vector<LinkInstance> instances{ InstanceIn("a", 0, 0.1),
                                       InstanceIn("a", 1, 0.1),
                                       InstanceIn("a", 2, 0.1),
                                       InstanceIn("a", 3, 0.1) };
  const std::map<std::string, size_t> workers{ { "a", 160 } };
  const LinkPlan before(instances, workers, kRegionOf);
  instances.erase(instances.begin() + 1);
  const LinkPlan after(instances, workers, kRegionOf);
  for (size_t i = 0; i < 160; ++i) {
    const std::string worker = "worker-" + std::to_string(i);
    const std::string holder = before.Find(worker, "a", 0)->m_id;
    if (holder != "a1") {
      CHECK(after.Find(worker, "a", 0)->m_id == holder);
    } else {
      CHECK(after.Find(worker, "a", 0)->m_id == before.Find(worker, "a", 1)->m_id);
    }
  }
}
