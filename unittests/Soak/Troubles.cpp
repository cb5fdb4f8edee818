#include "Troubles.h"

#include "egretturn/Support/EnumTable.h"

#include <csignal>
#include <sstream>

namespace egretturn::soak {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr EnumTable<TroubleKind, 12> kTroubleNames{ {
  { TroubleKind::Store, "store" },
  { TroubleKind::Paths, "paths" },
  { TroubleKind::Worker, "worker" },
  { TroubleKind::Suspend, "suspend" },
  { TroubleKind::Starve, "starve" },
  { TroubleKind::Kill, "kill" },
  { TroubleKind::Terminate, "terminate" },
  { TroubleKind::Reload, "reload" },
  { TroubleKind::CutOff, "cut-off" },
  { TroubleKind::CutZone, "cut-zone" },
  { TroubleKind::RestartWorkers, "restart-workers" },
  { TroubleKind::Evacuate, "evacuate" },
} };

static constexpr uint64_t kMinTroubleMs = 300;
static constexpr uint64_t kTroubleRangeMs = 9000;
static constexpr Duration kMaxSuspension = seconds(4);
static constexpr Duration kMaxStarvation = seconds(5);
static constexpr uint64_t kMaxTimeBeforeCutMs = 2500;        // of a worker that has restarted
static constexpr Duration kExtraCutTime = seconds(6);        // a cut that matters outlasts leases
static constexpr Duration kExtraEvacuationTime = seconds(6); // so that starts are judged
static constexpr Duration kMaxLateness = seconds(13); // of what a trouble holds up, after its end

Expected<std::vector<TroubleKind>>
ParseTroubles(const std::string& aNames)
{
  std::vector<TroubleKind> kinds;
  if (aNames == "all") {
    for (const EnumName<TroubleKind>& row : kTroubleNames) {
      kinds.push_back(row.m_value);
    }
    return kinds;
  }
  std::istringstream names(aNames);
  for (std::string name; std::getline(names, name, ',');) {
    const std::optional<TroubleKind> kind = ValueIn(kTroubleNames, name);
    if (!kind) {
      return Fail(ErrorKind::BadInput,
                  "no trouble has the name '" + name + "'",
                  "see Troubles.cpp for the names");
    }
    kinds.push_back(*kind);
  }
  return kinds;
}

static std::vector<size_t>
ListAll(size_t aCount)
{
  std::vector<size_t> all(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    all[i] = i;
  }
  return all;
}

/// Returns a random part of the first \p aCount numbers, not empty.
static std::vector<size_t>
DrawSome(Random& aRandom, size_t aCount)
{
  std::vector<size_t> drawn;
  const uint64_t fifths = 1 + aRandom.Below(4);
  for (const size_t number : ListAll(aCount)) {
    if (aRandom.Below(5) < fifths) {
      drawn.push_back(number);
    }
  }
  return drawn.empty() ? std::vector<size_t>{ aRandom.Below(aCount) } : drawn;
}

/// Returns the leader, all instances, or a random part of them.
static std::vector<size_t>
DrawInstances(SoakWorld& aWorld)
{
  switch (aWorld.m_random.Below(4)) {
    case 0:
    case 1:
      return { aWorld.Leader() };
    case 2:
      return ListAll(aWorld.CountInstances());
    default:
      return DrawSome(aWorld.m_random, aWorld.CountInstances());
  }
}

static std::string
Describe(const std::vector<size_t>& aNumbers)
{
  std::string text;
  for (const size_t number : aNumbers) {
    text += " " + std::to_string(number);
  }
  return text;
}

static void
DisturbStore(SoakWorld& aWorld, Duration aTime)
{
  static constexpr StoreMode kModes[] = { StoreMode::Refusing,
                                          StoreMode::Silent,
                                          StoreMode::Lossy };
  const size_t mode = aWorld.m_random.Below(std::size(kModes));
  const std::vector<size_t> instances = DrawInstances(aWorld);
  aWorld.Record("mode " + std::to_string(mode) + " for instances" + Describe(instances));
  aWorld.SetStoreMode(instances, kModes[mode], 2 * aTime);
}

static void
DisturbPaths(SoakWorld& aWorld, Duration aTime)
{
  static constexpr PathMode kModes[] = { PathMode::Cut, PathMode::NoResponses, PathMode::Late };
  const size_t mode = aWorld.m_random.Below(std::size(kModes));
  const std::vector<size_t> instances = DrawInstances(aWorld);
  const std::vector<size_t> workers = DrawSome(aWorld.m_random, aWorld.CountWorkers());
  aWorld.Record("mode " + std::to_string(mode) + " from instances" + Describe(instances) +
                " to workers" + Describe(workers));
  aWorld.SetPaths(instances, workers, kModes[mode], aTime);
}

static void
DisturbWorker(SoakWorld& aWorld, Duration aTime)
{
  const size_t worker = aWorld.m_random.Below(aWorld.CountWorkers());
  const uint64_t variant = aWorld.m_random.Below(3);
  aWorld.Record("variant " + std::to_string(variant) + " of worker " + std::to_string(worker));
  if (variant == 0) {
    aWorld.MakeUnreachable(worker, aTime);
  } else if (variant == 1) {
    aWorld.Unlist(worker, aTime);
  } else {
    aWorld.RestartWorker(worker);
  }
}

static void
RestartWorkers(SoakWorld& aWorld, Duration aTime)
{
  const std::vector<size_t> workers = DrawSome(aWorld.m_random, aWorld.CountWorkers());
  aWorld.Record("workers" + Describe(workers));
  for (const size_t worker : workers) {
    aWorld.RestartWorker(worker);
    const Duration beforeCut = milliseconds(aWorld.m_random.Below(kMaxTimeBeforeCutMs));
    aWorld.After(beforeCut, [&aWorld, worker, aTime] { aWorld.MakeUnreachable(worker, aTime); });
  }
}

static void
CutZone(SoakWorld& aWorld, Duration aTime)
{
  const size_t zone = aWorld.m_random.Below(2) == 0 ? aWorld.ZoneOf(aWorld.Leader())
                                                    : aWorld.m_random.Below(SoakWorld::kZones);
  aWorld.Record("zone " + std::to_string(zone));
  aWorld.CutZone(zone, aTime + kExtraCutTime);
}

/// Returns whether an instance may learn of a request late, or its starts may arrive late.
static bool
MayDelay(TroubleKind aKind)
{
  switch (aKind) {
    case TroubleKind::Store:
    case TroubleKind::Paths:
    case TroubleKind::Suspend:
    case TroubleKind::Starve:
    case TroubleKind::CutOff:
    case TroubleKind::CutZone:
      return true;
    default:
      return false;
  }
}

static void
EvacuateZone(SoakWorld& aWorld, Duration aTime)
{
  const size_t zone = aWorld.m_random.Below(SoakWorld::kZones);
  aWorld.Record("zone " + std::to_string(zone));
  aWorld.EvacuateZone(zone, aTime + kExtraEvacuationTime);
}

static void
DisturbInstances(SoakWorld& aWorld, TroubleKind aKind, Duration aTime)
{
  const std::vector<size_t> instances = DrawInstances(aWorld);
  aWorld.Record("instances" + Describe(instances));
  switch (aKind) {
    case TroubleKind::Suspend:
      aWorld.Suspend(instances, std::min(aTime, kMaxSuspension));
      return;
    case TroubleKind::Starve:
      aWorld.Starve(instances, std::min(aTime, kMaxStarvation));
      return;
    case TroubleKind::Kill:
      aWorld.Restart(instances, SIGKILL);
      return;
    case TroubleKind::Terminate:
      aWorld.Restart({ instances.front() }, SIGTERM);
      return;
    case TroubleKind::Reload:
      aWorld.Signal(instances, SIGHUP);
      return;
    default:
      aWorld.CutOff(instances, aTime);
  }
}

void
CauseTrouble(SoakWorld& aWorld, const std::vector<TroubleKind>& aKinds)
{
  const TroubleKind kind = aKinds[aWorld.m_random.Below(aKinds.size())];
  const Duration time = milliseconds(kMinTroubleMs + aWorld.m_random.Below(kTroubleRangeMs));
  aWorld.Record("TROUBLE " + std::string(NameIn(kTroubleNames, kind)) + " for " +
                std::to_string(ToMillis(time)) + " ms");
  if (MayDelay(kind)) {
    aWorld.ExpectDelays(2 * time + kMaxLateness);
  }
  switch (kind) {
    case TroubleKind::Store:
      DisturbStore(aWorld, time);
      return;
    case TroubleKind::Paths:
      DisturbPaths(aWorld, time);
      return;
    case TroubleKind::Worker:
      DisturbWorker(aWorld, time);
      return;
    case TroubleKind::CutZone:
      CutZone(aWorld, time);
      return;
    case TroubleKind::RestartWorkers:
      RestartWorkers(aWorld, time);
      return;
    case TroubleKind::Evacuate:
      EvacuateZone(aWorld, time);
      return;
    default:
      DisturbInstances(aWorld, kind, time);
  }
}

} // namespace egretturn::soak
