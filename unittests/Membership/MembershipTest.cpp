#include "egretturn/Membership/Members.h"
#include "egretturn/Membership/Ownership.h"

#include <catch2/catch.hpp>

using namespace egretturn;

static std::vector<std::string>
Names(const std::string& aPrefix, size_t aCount)
{
  std::vector<std::string> names;
  for (size_t i = 0; i < aCount; ++i) {
    names.push_back(aPrefix + std::to_string(i));
  }
  return names;
}

TEST_CASE("racks are distributed within the load bound", "[membership]")
{
  const std::vector<std::string> racks = Names("rack", 30);
  std::map<std::string, size_t> load;
  for (const std::pair<const std::string, std::string>& ownerEntry :
       DesiredOwners(racks, Names("i", 6))) {
    const std::string& owner = ownerEntry.second;
    ++load[owner];
  }
  CHECK(load.size() == 6);
  for (const std::pair<const std::string, uint64_t>& countEntry : load) {
    const uint64_t count = countEntry.second;
    CHECK(count <= 7); // a quarter above 30 / 6
  }
}

TEST_CASE("removing a member moves few racks besides its own", "[membership]")
{
  const std::vector<std::string> racks = Names("rack", 60);
  const std::map<std::string, std::string> before = DesiredOwners(racks, Names("i", 6));
  const std::map<std::string, std::string> after = DesiredOwners(racks, Names("i", 5));
  size_t own = 0;
  size_t moved = 0;
  for (const std::string& rack : racks) {
    own += before.at(rack) == "i5" ? 1 : 0;
    moved += before.at(rack) != after.at(rack) ? 1 : 0;
  }
  CHECK(moved >= own);
  CHECK(moved <= own + 6);
}

TEST_CASE("a claim requires the next epoch, and a release requires the owner", "[membership]")
{
  OwnershipTable table;
  const InstanceId a{ "a", 1 };
  const InstanceId b{ "b", 1 };
  CHECK(table.Apply(RackClaim{ "r", 1 }, a, 0));
  CHECK_FALSE(table.Apply(RackClaim{ "r", 1 }, b, 1));
  CHECK_FALSE(table.Apply(RackRelease{ "r", 1, "b" }, b));
  CHECK(table.Apply(RackClaim{ "r", 2 }, b, 2));
  CHECK_FALSE(table.Allows("r", 1, a));
  CHECK(table.Allows("r", 2, b));
  CHECK(table.HasUnappliedClaimAgainst(a, 2));
  CHECK_FALSE(table.HasUnappliedClaimAgainst(a, 3));
}

TEST_CASE("consent starts when the echoed heartbeat was sent", "[membership]")
{
  Settings settings;
  settings.m_id = "a";
  settings.m_zone = "z";
  settings.m_peers = { PeerSettings{ "b", "z", "r", "b", "b" } };
  Members members(settings, InstanceId{ "a", 1 });
  Instant now{ std::chrono::seconds(100) };
  Heartbeat sent;
  members.StampHeartbeat(sent, "b", now);
  now += std::chrono::milliseconds(400);
  Heartbeat back;
  back.m_sequence = 1;
  back.m_echo = sent.m_sequence;
  back.m_echoIncarnation = 1;
  CHECK(members.OnHeartbeat(InstanceId{ "b", 5 }, back, now));
  REQUIRE(members.ConsentUntil(now));
  CHECK(*members.ConsentUntil(now) ==
        now - std::chrono::milliseconds(400) + settings.m_timing.m_authority);
  CHECK_FALSE(members.ConsentUntil(now + std::chrono::seconds(2)));
  back.m_sequence = 2;
  back.m_consents = false;
  members.OnHeartbeat(InstanceId{ "b", 5 }, back, now);
  CHECK_FALSE(members.ConsentUntil(now));
  members.OnGoodbye(InstanceId{ "b", 5 });
  CHECK(members.ConsentUntil(now)); // no peer's consent is required
}
