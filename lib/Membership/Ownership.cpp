#include "egretturn/Membership/Ownership.h"

#include "egretturn/Support/Random.h"

#include <algorithm>

namespace egretturn {

static constexpr double kLoadBound = 1.25; // racks of a member against the even share

bool
OwnershipTable::Apply(const RackClaim& aClaim, const InstanceId& aWriter, Offset aOffset)
{
  RackOwner& rack = m_racks[aClaim.m_rack];
  if (aClaim.m_epoch != rack.m_epoch + 1) {
    return false;
  }
  const InstanceId previous = rack.m_released ? InstanceId{} : rack.m_owner;
  rack = RackOwner{ aClaim.m_rack, aClaim.m_epoch, aWriter, false, "", previous, aOffset };
  return true;
}

bool
OwnershipTable::HasUnappliedClaimAgainst(const InstanceId& aPeer, Offset aApplied) const
{
  for (const std::pair<const std::string, RackOwner>& rackEntry : m_racks) {
    const RackOwner& rack = rackEntry.second;
    if (rack.m_previous == aPeer && aApplied <= rack.m_claimedAt) {
      return true;
    }
  }
  return false;
}

bool
OwnershipTable::Apply(const RackRelease& aRelease, const InstanceId& aWriter)
{
  const std::map<std::string, RackOwner>::iterator it = m_racks.find(aRelease.m_rack);
  if (it == m_racks.end() || !Allows(aRelease.m_rack, aRelease.m_epoch, aWriter)) {
    return false;
  }
  it->second.m_released = true;
  it->second.m_successor = aRelease.m_successor;
  return true;
}

bool
OwnershipTable::Allows(const std::string& aRack, Epoch aEpoch, const InstanceId& aWriter) const
{
  const RackOwner* rack = Find(aRack);
  return rack && rack->m_epoch == aEpoch && rack->m_owner == aWriter && !rack->m_released;
}

const RackOwner*
OwnershipTable::Find(const std::string& aRack) const
{
  const std::map<std::string, RackOwner>::const_iterator it = m_racks.find(aRack);
  return it == m_racks.end() || it->second.m_epoch == 0 ? nullptr : &it->second;
}

void
OwnershipTable::Restore(const std::vector<RackOwner>& aRacks)
{
  m_racks.clear();
  for (const RackOwner& rack : aRacks) {
    m_racks[rack.m_rack] = rack;
  }
}

/// One member's claim on one rack, by its hash.
struct Preference
{
  uint64_t m_score;
  size_t m_rack;
  size_t m_member;
};

std::map<std::string, std::string>
DesiredOwners(const std::vector<std::string>& aRacks, const std::vector<std::string>& aMembers)
{
  std::map<std::string, std::string> owners;
  if (aMembers.empty()) {
    return owners;
  }
  std::vector<Preference> preferences;
  preferences.reserve(aRacks.size() * aMembers.size());
  for (size_t rack = 0; rack < aRacks.size(); ++rack) {
    const uint64_t seed = HashBytes(aRacks[rack]);
    for (size_t member = 0; member < aMembers.size(); ++member) {
      preferences.push_back(Preference{ HashBytes(aMembers[member], seed), rack, member });
    }
  }
  std::sort(
    preferences.begin(), preferences.end(), [](const Preference& aLeft, const Preference& aRight) {
      return aLeft.m_score > aRight.m_score;
    });
  const double even = static_cast<double>(aRacks.size()) / static_cast<double>(aMembers.size());
  const size_t bound = static_cast<size_t>(even * kLoadBound + 0.999);
  std::vector<size_t> load(aMembers.size(), 0);
  for (const Preference& preference : preferences) {
    if (load[preference.m_member] >= bound) {
      continue;
    }
    const bool added =
      owners.emplace(aRacks[preference.m_rack], aMembers[preference.m_member]).second;
    load[preference.m_member] += added ? 1 : 0;
  }
  return owners;
}

} // namespace egretturn
