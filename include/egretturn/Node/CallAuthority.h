// Determines whether a leader may still call workers, so that its calls end soon after another
// instance has claimed the leadership. Has no clock or network access of its own.
#pragma once

#include "egretturn/Support/Time.h"

#include <map>
#include <string>
#include <vector>

namespace egretturn {

/// One leader's evidence that it has not been superseded: the store's confirmation of its claim or,
/// while the store is unavailable, that all of its witnesses follow it. A successor is a witness
/// itself, or has a witness tell it that it follows, before it counts on the end of these calls.
/// Not thread-safe.
class CallAuthority
{
public:
  /// Records that a request which was sent at \p aSentAt has confirmed the claim.
  void OnConfirmed(Instant aSentAt);

  /// Records that a peer has followed this leader at some time since \p aSince.
  void OnFollowed(const std::string& aPeer, Instant aSince);

  /// Sets the peers that have to follow this leader. Without any it needs the store.
  void SetWitnesses(std::vector<std::string> aWitnesses);

  /// Whether the leader may call workers now. Once the store has confirmed a later claim and a
  /// witness follows that one, or has made it, this is false within LeaseLimits::m_noticeTime.
  bool MayCall(Instant aNow) const;

  /// Returns the latest time at which no other instance had claimed, or only one that no witness
  /// had learned of.
  Instant ConfirmedSince() const;

  /// Returns the witnesses that are not known to follow this leader any more.
  std::vector<std::string> ListSilentWitnesses(Instant aNow) const;

private:
  bool IsFollowing(const std::string& aWitness, Instant aNow) const;

  Instant m_confirmedAt;
  std::vector<std::string> m_witnesses;
  std::map<std::string, Instant> m_followedAt; ///< By peer.
};

} // namespace egretturn
