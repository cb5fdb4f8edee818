// Injects random faults into leaders that call workers through link shards; an oracle checks the
// result. A seed reproduces a sequence.
#include "LinkedWorld.h"
#include "RandomFaults.h"

#include "egretturn/Support/Log.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr uint64_t kSeeds = 40;
static constexpr size_t kWorkers = 8;
static constexpr size_t kShards = 4;

TEST_CASE("leaders with link shards keep the scheduler's guarantees under random faults")
{
  for (uint64_t seed : ListSeeds(kSeeds)) {
    LinkedWorld world(seed, kWorkers, kShards);
    PlayRandomSteps(
      world, [&] { world.InjectLinkFault(); }, [&] { world.HealLinks(); });
    CheckViolations(world, seed);
    CHECK(world.CountShardCalls() > 100); // otherwise the leader has called all workers itself
  }
  StopLogging();
}
