#include "egretturn/Node/CallAuthority.h"

#include <algorithm>

namespace egretturn {

// The sums of these times, up to the last call that a superseded leader sends, stay below
// LeaseLimits::m_noticeTime.
static constexpr Duration kMaxConfirmationAge = std::chrono::milliseconds(1000);
static constexpr Duration kMaxPingAge = std::chrono::milliseconds(700);
static constexpr Duration kMaxRunInterval = std::chrono::milliseconds(400);

// By then the pings that arrived during a suspension have been read.
static constexpr Duration kPingDelayAfterSuspension = std::chrono::milliseconds(300);

void
CallAuthority::OnConfirmed(Instant aSentAt)
{
  m_confirmedAt = std::max(m_confirmedAt, aSentAt);
}

void
CallAuthority::OnPing(Instant aNow)
{
  if (aNow >= m_pingsCountFrom) {
    m_pingedAt = aNow;
  }
}

void
CallAuthority::OnRun(Instant aNow)
{
  if (aNow - m_lastRunAt > kMaxRunInterval) {
    m_pingedAt = Instant();
    m_pingsCountFrom = aNow + kPingDelayAfterSuspension;
  }
  m_lastRunAt = aNow;
}

bool
CallAuthority::MayCall(Instant aNow) const
{
  return aNow - m_confirmedAt < kMaxConfirmationAge || aNow - m_pingedAt < kMaxPingAge;
}

} // namespace egretturn
