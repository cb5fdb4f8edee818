// Measures the time and the allocations of one routing decision and one placement decision.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete" // own operators count allocations

#include "egretturn/Placement/Placer.h"
#include "egretturn/Routing/Router.h"

#include <atomic>
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <new>

using namespace egretturn;

static std::atomic<uint64_t> sAllocations{ 0 };

void*
operator new(size_t aBytes)
{
  ++sAllocations;
  return std::malloc(aBytes);
}

void
operator delete(void* aPointer) noexcept
{
  std::free(aPointer); // NOLINT: paired with the operator above
}

void
operator delete(void* aPointer, size_t) noexcept
{
  std::free(aPointer);
}

static const Instant kNow{ std::chrono::seconds(100) };

static void
RouteOne(benchmark::State& aState)
{
  Router router;
  router.Configure(8, 0.5, 0.3);
  std::vector<Target> targets(static_cast<size_t>(aState.range(0)));
  for (size_t i = 0; i < targets.size(); ++i) {
    targets[i].m_worker = static_cast<WorkerId>(i + 1);
    targets[i].m_outstanding = static_cast<uint32_t>(i % 8);
  }
  router.SetTargets(targets);
  Random random(1);
  const uint64_t before = sAllocations;
  while (aState.KeepRunning()) {
    const std::optional<RouteChoice> choice = router.Choose(random, kNow);
    router.AcquireSlot(choice->m_target);
    router.RecordResponse(
      router.Targets()[choice->m_target].m_worker, std::chrono::milliseconds(20), false, kNow);
  }
  aState.counters["allocations"] =
    static_cast<double>(sAllocations - before) / static_cast<double>(aState.iterations());
}
BENCHMARK(RouteOne)->Arg(50)->Arg(500)->Arg(2100);

/// A task is placed within its rack, so the cost does not depend on the size of the site.
static void
PlaceOne(benchmark::State& aState)
{
  InterferenceModel model;
  model.Observe("s", 1, TaskMix{ { "a", 1 } }, 1.01);
  const TaskMix mix{ { "a", 2 }, { "b", 1 } };
  std::vector<WorkerView> views(static_cast<size_t>(aState.range(0)));
  for (WorkerView& view : views) {
    view.m_size = Resources{ 16'000, 60'000, 0 };
    view.m_free = Resources{ 4'000, 9'000, 0 };
    view.m_mix = &mix;
    view.m_services = { ServiceLoad{ "s", 1 } };
  }
  const Placer placer(model, PlacementMode::Full, 0.2);
  uint64_t random = 0;
  const uint64_t before = sAllocations;
  while (aState.KeepRunning()) {
    benchmark::DoNotOptimize(placer.Choose("a", Resources{ 1'000, 1'000, 0 }, views, random++));
  }
  aState.counters["allocations"] =
    static_cast<double>(sAllocations - before) / static_cast<double>(aState.iterations());
}
BENCHMARK(PlaceOne)->Arg(8)->Arg(11);

BENCHMARK_MAIN();
