#include "egretturn/Routing/Budget.h"

#include <algorithm>

namespace egretturn {

TokenBucket::TokenBucket(double aPerSecond, double aBurst)
  : m_perSecond(aPerSecond)
  , m_burst(aBurst)
  , m_tokens(aBurst)
{
}

void
TokenBucket::SetRate(double aPerSecond, double aBurst)
{
  m_perSecond = aPerSecond;
  m_burst = aBurst;
  m_tokens = std::min(m_tokens, m_burst);
}

bool
TokenBucket::Take(double aTokens, Instant aNow)
{
  if (aNow > m_refilled) {
    const double seconds = std::chrono::duration<double>(aNow - m_refilled).count();
    m_tokens = std::min(m_burst, m_tokens + seconds * m_perSecond);
    m_refilled = aNow;
  }
  if (m_tokens < aTokens) {
    return false;
  }
  m_tokens -= aTokens;
  return true;
}

ShareBudget::ShareBudget(double aShare, double aBurst)
  : m_share(aShare)
  , m_burst(aBurst)
  , m_tokens(aBurst / 2)
{
}

void
ShareBudget::Earn()
{
  m_tokens = std::min(m_burst, m_tokens + m_share);
}

bool
ShareBudget::Take()
{
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

} // namespace egretturn
