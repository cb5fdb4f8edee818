// Measures the slopes in docs/CAPACITY.md with one availability zone of the size for which the
// system is designed.
#include "World.h"

#include "egretturn/Journal/Codec.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>

using namespace egretturn;
using namespace egretturn::fuzz;

static double
CpuSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

static size_t
ResidentKb()
{
  std::ifstream in("/proc/self/statm");
  size_t pages = 0;
  size_t resident = 0;
  in >> pages >> resident;
  return resident * 4;
}

static void
PrintRecordSizes()
{
  const auto size = [](Entry aEntry) {
    Batch one;
    one.m_writer = InstanceId{ "region-1-a-7", 1ULL << 52 };
    one.m_sequence = 100'000;
    const size_t empty = EncodeBatch(one).size();
    one.m_entries.push_back(std::move(aEntry));
    std::printf("%zu (batch header %zu)\n", EncodeBatch(one).size() - empty, empty);
  };
  const TaskId task{ 400'000'000, 700 };
  std::printf("bytes of a start record: ");
  size(TaskStart{ task, 1, 0xdeadbeef, 40 });
  std::printf("bytes of an end record: ");
  size(TaskEnd{ task, 1, 40, TaskEndReason::Finished, "" });
  std::printf("bytes of a key intent: ");
  size(KeyIntent{ "retrofit-desk/claim/0123456789abcdef", ~0ULL });
  std::printf("bytes of a key outcome with 100 bytes: ");
  size(KeyOutcome{
    "retrofit-desk/claim/0123456789abcdef", KeyResult::Done, 200, std::string(100, 'x') });
}

/// Simulates one zone of \p aRacks racks of ten workers with \p aNodes instances, and measures a
/// wave of task starts and the replacement of an instance.
static void
RunZone(size_t aNodes, size_t aRacks, uint32_t aJobs, uint32_t aTasks)
{
  WorldShape shape;
  shape.m_nodes = { aNodes };
  shape.m_racks = { aRacks };
  shape.m_workersPerRack = 10;
  const size_t before = ResidentKb();
  World world(1, shape);
  const uint64_t idleAppends = world.Log().Appends();
  const double idleCpu = CpuSeconds();
  world.Advance(std::chrono::seconds(10));
  const double idleShare = (CpuSeconds() - idleCpu) / 10 / static_cast<double>(aNodes);
  std::printf(
    "\n%zu instances, %zu workers: idle CPU %.2f%% of a core an instance, %llu appends/s\n",
    aNodes,
    aRacks * 10,
    100 * idleShare,
    static_cast<unsigned long long>((world.Log().Appends() - idleAppends) / 10));
  const uint64_t appends = world.Log().Appends();
  const uint64_t bytes = world.Log().Bytes();
  const double cpu = CpuSeconds();
  const Instant start = world.Now();
  for (uint32_t job = 0; job < aJobs; ++job) {
    world.SubmitJob(job % aNodes, "wave-" + std::to_string(job), "watch", aTasks);
  }
  const uint64_t expected = uint64_t{ aJobs } * aTasks;
  const auto finished = [&] {
    uint64_t done = 0;
    for (const std::pair<const JobId, Job>& jobEntry :
         world.NodeCore(0)->State().m_replica.Jobs().All()) {
      const Job& job = jobEntry.second;
      done += job.m_finished;
    }
    return done >= expected;
  };
  world.AdvanceUntil(finished, std::chrono::seconds(300));
  const double seconds = std::chrono::duration<double>(world.Now() - start).count();
  const double read = static_cast<double>(world.LogReadBytes(0));
  std::printf(
    "%llu tasks in %.1f s: %.0f starts/s, %.1f appends/s, %.0f log bytes a task, %.1f KB/s read by "
    "an instance, CPU %.2f%% of a core an instance (with the fakes)\n",
    static_cast<unsigned long long>(expected),
    seconds,
    static_cast<double>(expected) / seconds,
    static_cast<double>(world.Log().Appends() - appends) / seconds,
    static_cast<double>(world.Log().Bytes() - bytes) / static_cast<double>(expected),
    read / seconds / 1024,
    100 * (CpuSeconds() - cpu) / seconds / static_cast<double>(aNodes));
  std::printf("memory of all instances and fakes: %zu KB, an instance at most %zu KB\n",
              ResidentKb() - before,
              (ResidentKb() - before) / aNodes);
  const Replica& replica = world.NodeCore(0)->State().m_replica;
  std::printf("state: intake %zu bytes, zone %zu bytes, configuration %zu bytes\n",
              PackCompact(replica.Export(Stream::Intake)).size(),
              PackCompact(replica.Export(Stream::Zone)).size(),
              PackCompact(replica.Export(Stream::Config)).size());
  const uint64_t peer = world.PeerBytes();
  world.Kill(0);
  world.Start(0);
  const Instant killed = world.Now();
  world.AdvanceUntil([&] { return world.NodeCore(0)->State().m_ready; }, std::chrono::seconds(30));
  std::printf(
    "replaced instance: ready in %.2f s, %llu bytes from peers, %llu bytes from the log\n",
    std::chrono::duration<double>(world.Now() - killed).count(),
    static_cast<unsigned long long>(world.PeerBytes() - peer),
    static_cast<unsigned long long>(world.LogReadBytes(0)));
  for (size_t node = 1; node < aNodes; ++node) {
    world.Kill(node);
  }
  world.Kill(0);
  world.Start(0);
  const Instant alone = world.Now();
  world.AdvanceUntil([&] { return world.NodeCore(0)->State().m_ready; }, std::chrono::seconds(60));
  std::printf("the same without peers: ready in %.2f s, %llu bytes from the log\n",
              std::chrono::duration<double>(world.Now() - alone).count(),
              static_cast<unsigned long long>(world.LogReadBytes(0)));
}

int
main()
{
  PrintRecordSizes();
  RunZone(3, 3, 10, 100);
  RunZone(3, 10, 30, 100);
  RunZone(9, 30, 80, 100);
  return 0;
}
