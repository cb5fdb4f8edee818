// Regression tests for failure scenarios of rack ownership and recovery.
#include "World.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::fuzz;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr uint64_t kSeed = 7;

/// Returns the node that considers itself the owner of \p aRack, or SIZE_MAX.
static size_t
OwnerOf(const World& aWorld, const std::string& aRack)
{
  for (size_t node = 0; node < aWorld.Nodes(); ++node) {
    const Core* core = aWorld.NodeCore(node);
    if (core && core->Racks().Racks().contains(aRack)) {
      return node;
    }
  }
  return SIZE_MAX;
}

static bool
IsActiveOn(const World& aWorld, size_t aNode, const std::string& aRack)
{
  const Core* core = aWorld.NodeCore(aNode);
  const std::map<std::string, OwnedRack>::const_iterator it = core->Racks().Racks().find(aRack);
  return it != core->Racks().Racks().end() && it->second.m_phase == RackPhase::Active;
}

static void
HealAndCheck(World& aWorld)
{
  aWorld.Heal();
  aWorld.AdvanceUntil([&aWorld] { return aWorld.IsSettled(); }, seconds(240));
  aWorld.CheckEnd();
  INFO(aWorld.Report());
  REQUIRE(aWorld.Violations().empty());
}

TEST_CASE("a paused and superseded rack owner starts no tasks when it resumes", "[failures]")
{
  World world(kSeed, WorldShape{});
  const size_t owner = OwnerOf(world, "z0r0");
  REQUIRE(owner != SIZE_MAX);
  world.SubmitJob((owner + 1) % 3, "job", "plan", 12);
  world.Advance(milliseconds(70)); // the starts are in flight
  world.Pause(owner, seconds(9));
  world.Advance(seconds(8));
  const size_t successor = OwnerOf(world, "z0r0");
  const RackOwner* recorded =
    world.NodeCore((owner + 1) % 3)->State().m_replica.Racks().Find("z0r0");
  REQUIRE(recorded);
  CHECK(recorded->m_epoch == 2);
  CHECK(successor != SIZE_MAX);
  world.Advance(milliseconds(1400));
  CHECK_FALSE(world.NodeCore(owner)->Racks().Racks().contains("z0r0"));
  HealAndCheck(world);
}

TEST_CASE("worker calls are not sent after the authority has expired", "[failures]")
{
  World world(kSeed, WorldShape{});
  const size_t owner = OwnerOf(world, "z1r0");
  const uint64_t before = world.ExpiredCalls();
  world.PauseAtNextCall(owner, seconds(5));
  world.SubmitJob(owner, "job", "plan", 4);
  world.Advance(seconds(6));
  CHECK(world.ExpiredCalls() > before);
  HealAndCheck(world);
}

TEST_CASE("a disconnected availability zone keeps running without a time limit", "[failures]")
{
  World world(kSeed, WorldShape{});
  world.SubmitJob(0, "watch", "watch", 200);
  world.Advance(milliseconds(300));
  world.CutZone(0, true);
  world.Advance(seconds(60));
  const size_t caller = world.Request(0, "ask", "");
  const size_t keyed = world.Request(1, "order", "cut-off");
  world.Advance(seconds(3));
  CHECK(world.Caller(caller).m_outcome == Outcome::Done);
  CHECK(world.Caller(keyed).m_responded);
  CHECK(world.Caller(keyed).m_outcome == Outcome::NotRun);
  size_t ran = 0;
  for (size_t worker = 0; worker < 4; ++worker) {
    ran += world.Worker(worker).History().size();
  }
  CHECK(ran == 200); // restartable, so that starts continue without the log
  HealAndCheck(world);
}

TEST_CASE("a rack owner that alone has lost the log hands its racks over to a peer", "[failures]")
{
  World world(kSeed, WorldShape{});
  const size_t owner = OwnerOf(world, "z0r0");
  world.CutNodeFromLog(owner, true);
  const bool moved = world.AdvanceUntil(
    [&] {
      for (size_t node = 0; node < 3; ++node) {
        if (node != owner && IsActiveOn(world, node, "z0r0")) {
          return true;
        }
      }
      return false;
    },
    seconds(6));
  CHECK(moved);
  CHECK_FALSE(world.NodeCore(owner)->Racks().Racks().contains("z0r0"));
  HealAndCheck(world);
}

TEST_CASE("an append whose response is lost takes effect once", "[failures]")
{
  World world(kSeed, WorldShape{});
  world.InjectedFaults().m_loseAppendResponse = 1;
  world.SubmitJob(0, "only", "watch", 3);
  world.SubmitJob(1, "only", "watch", 3);
  const size_t keyed = world.Request(2, "order", "once");
  world.Advance(seconds(12));
  CHECK(world.Jobs().size() == 1);
  CHECK(world.Caller(keyed).m_outcome == Outcome::Done);
  CHECK(world.RunsByKey().at("once") == 1);
  HealAndCheck(world);
}

TEST_CASE("state survives the log retention and a longer outage of the log", "[failures]")
{
  WorldShape shape;
  shape.m_logRetention = seconds(40);
  World world(kSeed, shape);
  world.SubmitJob(0, "old", "watch", 2);
  world.Advance(seconds(60)); // well past the retention of the first records
  const size_t owner = OwnerOf(world, "z0r0");
  world.Kill(owner);
  world.Advance(seconds(5));
  world.Start(owner);
  world.Advance(seconds(5));
  REQUIRE(world.NodeCore(owner)->State().m_ready);
  CHECK(world.NodeCore(owner)->State().m_replica.Jobs().FindByKey("old"));
  world.InjectedFaults().m_logDown = true;
  world.Advance(seconds(90));
  world.InjectedFaults().m_logDown = false;
  world.Advance(seconds(10));
  CHECK(world.NodeCore(owner)->State().m_replica.ConfigVersion() == 1);
  HealAndCheck(world);
}

TEST_CASE("a single instance that starts behind the oldest record restores a snapshot from the log",
          "[failures]")
{
  WorldShape shape;
  shape.m_nodes = { 1 };
  shape.m_racks = { 1 };
  shape.m_logRetention = seconds(40);
  World world(kSeed, shape);
  world.SubmitJob(0, "kept", "watch", 2);
  world.Advance(seconds(100));
  CHECK(world.Log().Read("config", 0, 1, world.Now()).m_oldest > 0);
  world.Kill(0);
  world.Start(0);
  world.Advance(seconds(5));
  REQUIRE(world.NodeCore(0)->State().m_ready);
  CHECK(world.NodeCore(0)->State().m_replica.Jobs().FindByKey("kept"));
  HealAndCheck(world);
}

TEST_CASE(
  "an instance starts from peer state while the log is down, or reports why it is not ready",
  "[failures]")
{
  World world(kSeed, WorldShape{});
  world.InjectedFaults().m_logDown = true;
  world.Kill(0);
  world.Advance(seconds(1));
  world.Start(0);
  world.Advance(seconds(3));
  CHECK(world.NodeCore(0)->State().m_ready);
  CHECK(world.NodeCore(0)->State().m_replica.ConfigVersion() == 1);
  world.Kill(3);
  world.Kill(4);
  world.CutZone(1, true);
  world.Start(3);
  world.Advance(seconds(5));
  CHECK_FALSE(world.NodeCore(3)->State().m_ready);
  CHECK(world.NodeCore(3)->State().m_notReadyReason.find("neither the log nor a peer") !=
        std::string::npos);
  HealAndCheck(world);
}

TEST_CASE("a graceful shutdown under load completes every request and hands its racks over",
          "[failures]")
{
  World world(kSeed, WorldShape{});
  const size_t owner = OwnerOf(world, "z0r1");
  std::vector<size_t> callers;
  for (int i = 0; i < 100; ++i) {
    callers.push_back(world.Request(owner, "ask", ""));
    if (i == 20) {
      world.Shutdown(owner);
      world.Shutdown(owner); // a second signal has no effect
    }
    world.Advance(milliseconds(10));
  }
  const bool left = world.AdvanceUntil([&] { return world.HasExited(owner); }, seconds(10));
  CHECK(left);
  for (const size_t caller : callers) {
    CHECK(world.Caller(caller).m_outcome == Outcome::Done);
  }
  const size_t next = OwnerOf(world, "z0r1");
  REQUIRE(next != SIZE_MAX);
  CHECK(world.AdvanceUntil([&] { return IsActiveOn(world, next, "z0r1"); }, seconds(2)));
  HealAndCheck(world);
}

TEST_CASE("a graceful shutdown with the log down hands racks over to a peer", "[failures]")
{
  World world(kSeed, WorldShape{});
  world.InjectedFaults().m_logDown = true;
  world.Advance(seconds(3));
  const size_t owner = OwnerOf(world, "z0r0");
  world.Shutdown(owner);
  CHECK(world.AdvanceUntil([&] { return world.HasExited(owner); }, seconds(30)));
  const size_t successor = OwnerOf(world, "z0r0");
  REQUIRE(successor != SIZE_MAX);
  CHECK(world.AdvanceUntil([&] { return IsActiveOn(world, successor, "z0r0"); }, seconds(3)));
  const size_t caller = world.Request(successor, "ask", "");
  world.Advance(seconds(2));
  CHECK(world.Caller(caller).m_outcome == Outcome::Done);
  HealAndCheck(world);
}

TEST_CASE("messages of a previous incarnation are ignored", "[failures]")
{
  World world(kSeed, WorldShape{});
  const InstanceId old = world.NodeCore(1)->State().m_self;
  world.Kill(1);
  world.Start(1);
  world.Advance(seconds(3));
  const Member* member = world.NodeCore(0)->State().m_members.Find(old.m_id);
  REQUIRE(member);
  CHECK(member->m_current.m_incarnation != old.m_incarnation);
  CHECK(member->m_superseded.contains(old.m_incarnation));
  Members members = world.NodeCore(0)->State().m_members;
  Heartbeat late;
  late.m_sequence = 1'000'000;
  CHECK_FALSE(members.OnHeartbeat(old, late, world.Now()));
  HealAndCheck(world);
}

TEST_CASE("the rack of a killed owner is active again within 5 s", "[failures]")
{
  World world(kSeed, WorldShape{});
  const size_t owner = OwnerOf(world, "z0r0");
  world.Kill(owner);
  const bool served = world.AdvanceUntil(
    [&] {
      const size_t next = OwnerOf(world, "z0r0");
      return next != SIZE_MAX && IsActiveOn(world, next, "z0r0");
    },
    seconds(5));
  CHECK(served);
  HealAndCheck(world);
}

TEST_CASE("a keyed request whose instance was killed is unknown and never runs again", "[failures]")
{
  World world(kSeed, WorldShape{});
  world.Request(0, "order", "lost");
  world.Advance(milliseconds(30)); // the intent is in the log, the outcome is not
  world.Kill(0);
  world.Advance(seconds(1));
  const size_t again = world.Request(1, "order", "lost");
  world.Advance(seconds(5));
  CHECK(world.Caller(again).m_responded);
  const uint32_t ran = world.RunsByKey().contains("lost") ? world.RunsByKey().at("lost") : 0;
  CHECK(ran <= 1);
  CHECK(world.Caller(again).m_outcome != Outcome::NotRun);
  HealAndCheck(world);
}

TEST_CASE("of two concurrent publishes, one is accepted and one is a conflict", "[failures]")
{
  World world(kSeed, WorldShape{});
  world.PublishDrain(0, 0, true);
  world.PublishDrain(3, 1, true);
  world.Advance(seconds(3));
  CHECK(world.PublishAccepted() == 2); // the initial configuration and one of the two drains
  CHECK(world.PublishConflicts() == 1);
  for (size_t node = 0; node < world.Nodes(); ++node) {
    CHECK(world.NodeCore(node)->State().m_replica.ConfigVersion() == 2);
  }
  HealAndCheck(world);
}

TEST_CASE("many cancellations at once need few appends", "[failures]")
{
  World world(kSeed, WorldShape{});
  for (int i = 0; i < 40; ++i) {
    world.SubmitJob(0, "wave-" + std::to_string(i), "plan", 2);
  }
  world.Advance(seconds(3));
  const uint64_t before = world.Log().Appends();
  for (size_t job = 0; job < 40; ++job) {
    world.CancelJob(0, job);
  }
  world.Advance(milliseconds(400));
  CHECK(world.Log().Appends() - before <= 12);
  HealAndCheck(world);
  for (const JobId job : world.Jobs()) {
    CHECK(world.NodeCore(0)->State().m_replica.Jobs().Find(job)->Phase() != JobPhase::Waiting);
  }
}

TEST_CASE("a peer without free slots receives no further requests until its next heartbeat",
          "[failures]")
{
  WorldShape shape;
  shape.m_nodes = { 3 };
  shape.m_racks = { 2 };
  World world(kSeed, shape);
  size_t without = SIZE_MAX;
  for (size_t node = 0; node < 3; ++node) {
    without = world.NodeCore(node)->Racks().Racks().empty() ? node : without;
  }
  REQUIRE(without != SIZE_MAX);
  std::vector<size_t> callers;
  world.SetWorkerDraining(3,
                          true); // so that the owner of the first rack has the most free capacity
  world.Advance(seconds(2));
  for (int round = 0; round < 12; ++round) { // each round at a different offset from the heartbeats
    world.SetWorkerDraining(0, true);
    world.SetWorkerDraining(1, true);
    for (int i = 0; i < 25; ++i) {
      callers.push_back(world.Request(without, "ask", ""));
      world.Advance(milliseconds(60)); // within the slots that the other peer offers
    }
    world.SetWorkerDraining(0, false);
    world.SetWorkerDraining(1, false);
    world.Advance(milliseconds(2000 + 37 * round));
  }
  for (const size_t caller : callers) {
    CHECK(world.Caller(caller).m_outcome == Outcome::Done);
  }
  HealAndCheck(world);
}
