#include "egretturn/Node/LeaderElection.h"

#include "egretturn/Support/Random.h"

#include <algorithm>

namespace egretturn {

// Parts of the delay before a claim. An instance waits longer the lower its weight is compared with
// the highest known weight, and the longer its round trip to the store takes. Jitter separates
// otherwise equal instances.
static constexpr double kWeightDelayMs = 150.0;
static constexpr double kMaxWeightDelayMs = 900.0;
static constexpr int kRoundTripFactor = 8;
static constexpr uint64_t kMaxJitterMs = 120;
static constexpr Duration kMaxRoundTripDelay = std::chrono::milliseconds(400);

// The leader ranks its peers, so that one after the other claims: a claimant reads all jobs first.
static constexpr Duration kDelayPerRank = std::chrono::milliseconds(300);
static constexpr Duration kMaxRankDelay = std::chrono::milliseconds(1800);

static constexpr Duration kClaimRetryDelay = std::chrono::milliseconds(300);
static constexpr int kMaxClaimBackoff = 4; // multiple of the delays after failures in a row

LeaderElection::LeaderElection(LeaderElectionSettings aSettings, Instant aNow)
  : m_settings(std::move(aSettings))
  , m_lastHeardAt(aNow)
  , m_leaderStoreOkAt(aNow)
  , m_leaderLostAt(aNow)
  , m_earliestClaimAt(aNow)
{
}

void
LeaderElection::OnClaim(const StoredClaim& aClaim, Instant aNow)
{
  if (m_leader && aClaim.m_epoch <= m_leader->m_epoch) {
    return;
  }
  m_leader = aClaim;
  m_failedClaims = 0;
  m_maxWeight = std::max(m_maxWeight, aClaim.m_weight);
  m_deferrals = 0;
  m_lastHeardAt = aNow;
  m_leaderStoreOkAt = aNow;
  m_leaderLostAt.reset();
}

void
LeaderElection::OnStoreRead(Duration aRoundTrip, Instant aNow)
{
  if (m_storeRead) {
    return;
  }
  m_storeRead = true;
  const uint64_t jitter = HashBytes(m_settings.m_instance) % kMaxJitterMs;
  m_baseDelay = std::chrono::milliseconds(jitter) +
                std::min<Duration>(aRoundTrip * kRoundTripFactor, kMaxRoundTripDelay);
  if (!m_leader) {
    m_leaderLostAt = aNow;
  }
}

Duration
LeaderElection::ClaimDelay() const
{
  if (m_rank != kNoRank) {
    return std::min(kDelayPerRank * m_rank, kMaxRankDelay);
  }
  const double ratio = m_maxWeight / std::max(m_settings.m_weight, 0.01);
  const double weightMs = std::clamp(kWeightDelayMs * (ratio - 1.0), 0.0, kMaxWeightDelayMs);
  return m_baseDelay + std::chrono::milliseconds(static_cast<int64_t>(weightMs));
}

void
LeaderElection::OnLeaderWriting(Instant aNow)
{
  ++m_deferrals;
  m_lastHeardAt = aNow - m_settings.m_leaderTimeout / 2;
  m_leaderStoreOkAt = m_lastHeardAt;
  m_leaderLostAt.reset();
}

void
LeaderElection::OnPing(const PingResult& aResult, Instant aNow)
{
  m_maxWeight = aResult.m_maxWeight;
  m_rank = aResult.m_rank;
  m_deferrals = 0;
  m_lastHeardAt = aNow;
  m_leaderLostAt.reset();
  if (aResult.m_storeAvailable) {
    m_leaderStoreOkAt = aNow;
    m_failedClaims = 0;
  }
}

void
LeaderElection::OnLeaderLost(Instant aNow)
{
  if (!m_leaderLostAt) {
    m_leaderLostAt = aNow;
  }
}

void
LeaderElection::OnClaimFailed(Instant aNow)
{
  m_failedClaims = std::min(m_failedClaims + 1, kMaxClaimBackoff);
  m_earliestClaimAt = aNow + kClaimRetryDelay + ClaimDelay() * m_failedClaims;
}

void
LeaderElection::OnHandOver(Instant aNow)
{
  m_leaderLostAt = aNow - ClaimDelay();
}

bool
LeaderElection::ShouldClaim(Instant aNow) const
{
  if (!m_storeRead || aNow < m_earliestClaimAt) {
    return false;
  }
  if (m_leaderLostAt) {
    return aNow - *m_leaderLostAt >= ClaimDelay();
  }
  return aNow - m_lastHeardAt >= m_settings.m_leaderTimeout + ClaimDelay() ||
         m_lastHeardAt - m_leaderStoreOkAt >= m_settings.m_storeLossTimeout + ClaimDelay();
}

bool
LeaderElection::HasLeader(Instant aNow) const
{
  return m_leader && !m_leaderLostAt && aNow - m_lastHeardAt < m_settings.m_leaderTimeout;
}

} // namespace egretturn
