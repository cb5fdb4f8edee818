// Decides when an instance should claim to decide. Pure: no clock or network of its own.
#pragma once

#include "egretturn/Scheduler/Records.h"
#include "egretturn/Support/Time.h"

#include <optional>

namespace egretturn {

struct LeaderElectionSettings
{
  std::string m_instance;
  double m_weight = 0.1; ///< Share of a processor; the strongest claims first.
  Duration m_silence =
    std::chrono::milliseconds(1300); ///< Without a ping, then the leader counts as gone.
  Duration m_storeless =
    std::chrono::milliseconds(1200); ///< A leader without the store for so long is replaced.
};

/// What an instance believes about the leader. Not thread-safe.
class LeaderElection
{
public:
  LeaderElection(LeaderElectionSettings aSettings, Instant aNow);

  /// A claim was seen: in the store, or named by a peer.
  void OnClaim(const StoredClaim& aClaim, Instant aNow);

  /// The store has been read to its end, \p aRoundTrip after the call.
  void OnStoreRead(Duration aRoundTrip, Instant aNow);

  /// The leader answered a ping: whether it has the store, and the weight of the strongest instance
  /// that it hears.
  void OnPing(bool aStoreAvailable, double aStrongest, Instant aNow);

  /// The leader was found writing to the store although it does not answer pings.
  void OnLeaderWrites(Instant aNow);

  /// Whether a claim should give way to a leader that goes on writing.
  bool GivesWay() const { return m_gaveWay < kMostGivingWay; }

  /// The process at the leader's address does not decide, or is not there.
  void OnLeaderGone(Instant aNow);

  /// A claim of this instance failed, or it stepped down.
  void OnClaimFailed(Instant aNow);

  /// The leader asked this instance to succeed it.
  void OnHandOver(Instant aNow);

  /// Whether to claim now.
  bool ShouldClaim(Instant aNow) const;

  /// Whether a leader is believed to be there.
  bool HasLeader(Instant aNow) const;

  const std::optional<StoredClaim>& Leader() const { return m_leader; }

private:
  static constexpr int kMostGivingWay = 1; ///< Then a leader that nobody hears is succeeded.

  Duration DelayNow() const;

  LeaderElectionSettings m_settings;
  std::optional<StoredClaim> m_leader;
  Instant m_heardAt;
  Instant m_storeOkAt; ///< When the leader last had the store.
  std::optional<Instant> m_goneAt;
  Instant m_notBefore;
  bool m_storeRead = false;
  double m_strongest = 0;
  int m_gaveWay = 0;
  Duration m_delay{}; ///< Keeps instances from claiming all at once.
};

} // namespace egretturn
