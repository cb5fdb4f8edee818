#include "egretturn/Node/CallAuthority.h"

#include <algorithm>

namespace egretturn {

// The sums of these times and of the time that a call takes to leave stay below
// LeaseLimits::m_noticeTime.
static constexpr Duration kMaxConfirmationAge = std::chrono::milliseconds(1000);
static constexpr Duration kMaxFollowingAge = std::chrono::milliseconds(1000);

void
CallAuthority::OnConfirmed(Instant aSentAt)
{
  m_confirmedAt = std::max(m_confirmedAt, aSentAt);
}

void
CallAuthority::OnFollowed(const std::string& aPeer, Instant aSince)
{
  Instant& followedAt = m_followedAt[aPeer];
  followedAt = std::max(followedAt, aSince);
}

void
CallAuthority::SetWitnesses(std::vector<std::string> aWitnesses)
{
  m_witnesses = std::move(aWitnesses);
}

bool
CallAuthority::IsFollowing(const std::string& aWitness, Instant aNow) const
{
  const auto it = m_followedAt.find(aWitness);
  return it != m_followedAt.end() && aNow - it->second < kMaxFollowingAge;
}

bool
CallAuthority::MayCall(Instant aNow) const
{
  if (aNow - m_confirmedAt < kMaxConfirmationAge) {
    return true;
  }
  return !m_witnesses.empty() && ListSilentWitnesses(aNow).empty();
}

Instant
CallAuthority::ConfirmedSince() const
{
  Instant followedBy = m_witnesses.empty() ? Instant() : Instant::max();
  for (const std::string& witness : m_witnesses) {
    const auto it = m_followedAt.find(witness);
    followedBy = std::min(followedBy, it == m_followedAt.end() ? Instant() : it->second);
  }
  return std::max(m_confirmedAt, followedBy);
}

std::vector<std::string>
CallAuthority::ListSilentWitnesses(Instant aNow) const
{
  std::vector<std::string> silent;
  std::copy_if(m_witnesses.begin(),
               m_witnesses.end(),
               std::back_inserter(silent),
               [&](const std::string& aWitness) { return !IsFollowing(aWitness, aNow); });
  return silent;
}

} // namespace egretturn
