#include "egretturn/Membership/Ownership.h"

#include "egretturn/Support/Random.h"

#include <algorithm>

namespace egretturn {

static constexpr double kMaxLoadFactor = 1.25; // racks of a member relative to the even share

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

/// Rendezvous hash of one member for one rack; the highest one is preferred.
struct OwnerScore
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
  std::vector<OwnerScore> scores;
  scores.reserve(aRacks.size() * aMembers.size());
  for (size_t rack = 0; rack < aRacks.size(); ++rack) {
    const uint64_t seed = HashBytes(aRacks[rack]);
    for (size_t member = 0; member < aMembers.size(); ++member) {
      scores.push_back(OwnerScore{ HashBytes(aMembers[member], seed), rack, member });
    }
  }
  std::sort(scores.begin(), scores.end(), [](const OwnerScore& aLeft, const OwnerScore& aRight) {
    return aLeft.m_score > aRight.m_score;
  });
  const double evenShare =
    static_cast<double>(aRacks.size()) / static_cast<double>(aMembers.size());
  const size_t maxRacks = static_cast<size_t>(evenShare * kMaxLoadFactor + 0.999);
  std::vector<size_t> load(aMembers.size(), 0);
  for (const OwnerScore& score : scores) {
    if (load[score.m_member] >= maxRacks) {
      continue;
    }
    const bool added = owners.emplace(aRacks[score.m_rack], aMembers[score.m_member]).second;
    load[score.m_member] += added ? 1 : 0;
  }
  return owners;
}

} // namespace egretturn
