// Determines whether a leader may still call workers, so that its calls end soon after another
// instance has claimed the leadership. Has no clock or network access of its own.
#pragma once

#include "egretturn/Support/Time.h"

namespace egretturn {

/// One leader's evidence that it has not been superseded: the store's confirmation of its claim or,
/// while the store is unavailable, the pings of its peers, which ping the leader that they know.
/// Not thread-safe.
class CallAuthority
{
public:
  /// Records that a request which was sent at \p aSentAt has confirmed the claim.
  void OnConfirmed(Instant aSentAt);

  /// Records a ping of a peer.
  void OnPing(Instant aNow);

  /// Detects that the process was suspended since the last call. Call at least every 100 ms.
  void OnRun(Instant aNow);

  /// Whether the leader may call workers now. After the claim of a successor that all of its peers
  /// have learned of, this is false within LeaseLimits::m_noticeTime. Not bounded are peers that
  /// can reach neither the store nor the successor and go on pinging this leader.
  bool MayCall(Instant aNow) const;

private:
  Instant m_confirmedAt;
  Instant m_pingedAt;
  Instant m_lastRunAt;
  Instant m_pingsCountFrom; ///< Earlier pings may have been sent before a suspension.
};

} // namespace egretturn
