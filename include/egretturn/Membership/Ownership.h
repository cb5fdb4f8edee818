// Ownership of racks by instances: as recorded in the log, and as desired.
#pragma once

#include "egretturn/Journal/Records.h"

#include <map>
#include <string>
#include <vector>

namespace egretturn {

/// The ownership of one rack as recorded in the log.
struct RackOwner
{
  std::string m_rack;
  Epoch m_epoch = 0; ///< Zero if it was never claimed.
  InstanceId m_owner;
  bool m_released = false;
  std::string m_successor; ///< Successor named by the release.
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

/// Applies the claims and releases of one availability zone in log order. Not thread-safe.
class OwnershipTable
{
public:
  /// Returns whether the claim takes effect: its epoch must be one above the last.
  bool Apply(const RackClaim& aClaim, const InstanceId& aWriter, Offset aOffset);

  /// Returns whether the release takes effect: it must come from the owner.
  bool Apply(const RackRelease& aRelease, const InstanceId& aWriter);

  /// Whether \p aWriter may make decisions for \p aRack with \p aEpoch.
  bool Allows(const std::string& aRack, Epoch aEpoch, const InstanceId& aWriter) const;

  /// Whether a rack was claimed from \p aPeer by a record that the peer, having applied the stream
  /// up to \p aApplied, may not have read. If so, no instance may consent to the peer's making
  /// decisions without the log.
  bool HasUnappliedClaimAgainst(const InstanceId& aPeer, Offset aApplied) const;

  /// Returns the ownership of \p aRack, or nullptr if it was never claimed.
  const RackOwner* Find(const std::string& aRack) const;

  const std::map<std::string, RackOwner>& All() const { return m_racks; }

  /// Replaces the recorded ownership by a restored state.
  void Restore(const std::vector<RackOwner>& aRacks);

private:
  std::map<std::string, RackOwner> m_racks;
};

/// Returns the desired owner of each rack: rendezvous hashing in which no member gets more than a
/// quarter above its even share. Instances that know the same members get the same result.
/// Thread-safe.
std::map<std::string, std::string> DesiredOwners(const std::vector<std::string>& aRacks,
                                                 const std::vector<std::string>& aMembers);

} // namespace egretturn
