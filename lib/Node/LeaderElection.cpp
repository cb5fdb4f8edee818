#include "egretturn/Node/LeaderElection.h"

#include "egretturn/Support/Random.h"

#include <algorithm>

namespace egretturn {

// Parts of the delay before a claim: a machine waits longer the weaker it is than the strongest one
// known, and the farther it is from the store; equal ones are spread.
static constexpr double kWeightDelayMs = 150.0;
static constexpr double kLongestWeightDelayMs = 900.0;
static constexpr int kRoundTripFactor = 8;
static constexpr uint64_t kSpreadMs = 120;
static constexpr Duration kLongestRoundTripDelay = std::chrono::milliseconds(400);
static constexpr Duration kRetryClaim = std::chrono::milliseconds(300);

LeaderElection::LeaderElection(LeaderElectionSettings aSettings, Instant aNow)
  : m_settings(std::move(aSettings))
  , m_heardAt(aNow)
  , m_storeOkAt(aNow)
  , m_goneAt(aNow)
  , m_notBefore(aNow)
{
}

void
LeaderElection::OnClaim(const StoredClaim& aClaim, Instant aNow)
{
  if (m_leader && aClaim.m_epoch <= m_leader->m_epoch) {
    return;
  }
  m_leader = aClaim;
  m_strongest = std::max(m_strongest, aClaim.m_weight);
  m_gaveWay = 0;
  m_heardAt = aNow;
  m_storeOkAt = aNow;
  m_goneAt.reset();
}

void
LeaderElection::OnStoreRead(Duration aRoundTrip, Instant aNow)
{
  if (m_storeRead) {
    return;
  }
  m_storeRead = true;
  const uint64_t spread = HashBytes(m_settings.m_instance) % kSpreadMs;
  m_delay = std::chrono::milliseconds(spread) +
            std::min<Duration>(aRoundTrip * kRoundTripFactor, kLongestRoundTripDelay);
  if (!m_leader) {
    m_goneAt = aNow;
  }
}

Duration
LeaderElection::DelayNow() const
{
  const double ratio = m_strongest / std::max(m_settings.m_weight, 0.01);
  const double weightMs = std::clamp(kWeightDelayMs * (ratio - 1.0), 0.0, kLongestWeightDelayMs);
  return m_delay + std::chrono::milliseconds(static_cast<int64_t>(weightMs));
}

void
LeaderElection::OnLeaderWrites(Instant aNow)
{
  ++m_gaveWay;
  m_heardAt = aNow - m_settings.m_silence / 2;
  m_storeOkAt = m_heardAt;
  m_goneAt.reset();
}

void
LeaderElection::OnPing(bool aStoreAvailable, double aStrongest, Instant aNow)
{
  m_strongest = aStrongest;
  m_gaveWay = 0;
  m_heardAt = aNow;
  m_goneAt.reset();
  if (aStoreAvailable) {
    m_storeOkAt = aNow;
  }
}

void
LeaderElection::OnLeaderGone(Instant aNow)
{
  if (!m_goneAt) {
    m_goneAt = aNow;
  }
}

void
LeaderElection::OnClaimFailed(Instant aNow)
{
  m_notBefore = aNow + kRetryClaim + DelayNow();
}

void
LeaderElection::OnHandOver(Instant aNow)
{
  m_goneAt = aNow - DelayNow();
}

bool
LeaderElection::ShouldClaim(Instant aNow) const
{
  if (!m_storeRead || aNow < m_notBefore) {
    return false;
  }
  if (m_goneAt) {
    return aNow - *m_goneAt >= DelayNow();
  }
  return aNow - m_heardAt >= m_settings.m_silence + DelayNow() ||
         m_heardAt - m_storeOkAt >= m_settings.m_storeless + DelayNow();
}

bool
LeaderElection::HasLeader(Instant aNow) const
{
  return m_leader && !m_goneAt && aNow - m_heardAt < m_settings.m_silence;
}

} // namespace egretturn
