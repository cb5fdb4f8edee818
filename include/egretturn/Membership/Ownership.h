// Which instance owns which rack: as recorded in the log, and as it should be.
#pragma once

#include "egretturn/Journal/Records.h"

#include <map>
#include <string>
#include <vector>

namespace egretturn {

/// What the log says of one rack.
struct RackOwner
{
  std::string m_rack;
  Epoch m_epoch = 0; ///< Zero while nobody has claimed it.
  InstanceId m_owner;
  bool m_released = false;
  std::string m_successor; ///< Named by the release.
  InstanceId m_previous;   ///< Owner before the last claim, unless it had released the rack.
  Offset m_claimedAt = 0;  ///< Offset of the last claim.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("rack", aSelf.m_rack);
    aVisit("epoch", aSelf.m_epoch);
    aVisit("owner", aSelf.m_owner);
    aVisit("released", aSelf.m_released);
    aVisit("successor", aSelf.m_successor);
    aVisit("previous", aSelf.m_previous);
    aVisit("claimed_at", aSelf.m_claimedAt);
  }
};

/// The claims and releases of one availability zone in log order. Not thread-safe.
class OwnershipTable
{
public:
  /// Returns whether the claim counts: its epoch must be one above the last.
  bool Apply(const RackClaim& aClaim, const InstanceId& aWriter, Offset aOffset);

  /// Returns whether the release counts: it must come from the owner.
  bool Apply(const RackRelease& aRelease, const InstanceId& aWriter);

  /// Whether \p aWriter may decide for \p aRack with \p aEpoch.
  bool Allows(const std::string& aRack, Epoch aEpoch, const InstanceId& aWriter) const;

  /// Whether \p aPeer, having applied the stream up to \p aApplied, may not know yet that a rack
  /// was claimed from it. Nobody may consent to its going on without the log then.
  bool HasUnappliedClaimAgainst(const InstanceId& aPeer, Offset aApplied) const;

  /// The entry of \p aRack, or null if it was never claimed.
  const RackOwner* Find(const std::string& aRack) const;

  const std::map<std::string, RackOwner>& All() const { return m_racks; }
  void Restore(const std::vector<RackOwner>& aRacks);

private:
  std::map<std::string, RackOwner> m_racks;
};

/// The owner that each rack should have: rendezvous hashing in which no member gets more than a
/// quarter above its even share. Equal at every instance that sees the same members. Thread-safe.
std::map<std::string, std::string> DesiredOwners(const std::vector<std::string>& aRacks,
                                                 const std::vector<std::string>& aMembers);

} // namespace egretturn
