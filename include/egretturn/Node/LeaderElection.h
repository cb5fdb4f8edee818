// Determines when an instance should claim the leadership. Has no clock or network access of its
// own.
#pragma once

#include "egretturn/Scheduler/Records.h"
#include "egretturn/Support/Time.h"

#include <optional>

namespace egretturn {

struct LeaderElectionSettings
{
  std::string m_instance;
  double m_weight = 0.1; ///< Processor share in cores; the instance with the most claims first.
  Duration m_leaderTimeout =
    std::chrono::milliseconds(1300); ///< The leader counts as lost without a ping for this long.
  Duration m_storeLossTimeout =
    std::chrono::milliseconds(1200); ///< A leader is replaced after losing the store for this long.
};

constexpr uint32_t kNoRank = UINT32_MAX;

/// A leader's response to a ping.
struct PingResult
{
  bool m_storeAvailable = true;
  double m_maxWeight = 0;    ///< Highest weight among the leader and the peers that ping it.
  uint32_t m_rank = kNoRank; ///< Place of this instance in the line of succession; 0 is first.
};

/// One instance's knowledge of the leader, and its election timers. Not thread-safe.
class LeaderElection
{
public:
  LeaderElection(LeaderElectionSettings aSettings, Instant aNow);

  /// Records a claim that was read from the store or named by a peer. An older one is ignored.
  void OnClaim(const StoredClaim& aClaim, Instant aNow);

  /// Records that the topic of the leader has been read to its end, which took \p aRoundTrip.
  void OnStoreRead(Duration aRoundTrip, Instant aNow);

  /// Records the leader's response to a ping.
  void OnPing(const PingResult& aResult, Instant aNow);

  /// Records that the leader still writes to the store although it does not respond to pings.
  void OnLeaderWriting(Instant aNow);

  /// Whether the next claim should be abandoned if the leader still writes to the store.
  bool DefersToWritingLeader() const { return m_deferrals < kMaxDeferrals; }

  /// Records that the process at the leader's address no longer leads.
  void OnLeaderLost(Instant aNow);

  /// Records that a claim of this instance failed or that it stepped down, which delays the next
  /// claim.
  void OnClaimFailed(Instant aNow);

  /// Records that the leader asked this instance to take the leadership, which skips the claim
  /// delay.
  void OnHandOver(Instant aNow);

  /// Whether this instance should claim the leadership now.
  bool ShouldClaim(Instant aNow) const;

  /// Whether a leader is known and has been heard from recently.
  bool HasLeader(Instant aNow) const;

  const std::optional<StoredClaim>& Leader() const { return m_leader; }

private:
  static constexpr int kMaxDeferrals =
    1; ///< After that, a leader that only reaches the store is replaced.

  Duration ClaimDelay() const;

  LeaderElectionSettings m_settings;
  std::optional<StoredClaim> m_leader;
  Instant m_lastHeardAt;
  Instant m_leaderStoreOkAt; ///< When the leader last reported access to the store.
  std::optional<Instant> m_leaderLostAt;
  Instant m_earliestClaimAt;
  bool m_storeRead = false;
  double m_maxWeight = 0;
  uint32_t m_rank = kNoRank; ///< By the leader's last response, if it named one.
  int m_failedClaims = 0;    ///< In a row.
  int m_deferrals = 0;
  Duration m_baseDelay{}; ///< Keeps instances from claiming simultaneously.
};

} // namespace egretturn
