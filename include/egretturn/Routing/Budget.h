// Token budgets that bound extra work, such as retries, hedges and forwarded bytes.
#pragma once

#include "egretturn/Support/Time.h"

namespace egretturn {

/// Token bucket that refills over time. It limits the bytes sent over a link. Not thread-safe.
class TokenBucket
{
public:
  /// Refills with \p aPerSecond tokens per second up to \p aBurst. The bucket starts full.
  TokenBucket(double aPerSecond, double aBurst);

  /// Changes the refill rate and the capacity. Tokens above the new capacity are discarded.
  void SetRate(double aPerSecond, double aBurst);

  /// Takes \p aTokens and returns true, or takes nothing and returns false if fewer are available.
  bool Take(double aTokens, Instant aNow);

private:
  double m_perSecond;
  double m_burst;
  double m_tokens;
  Instant m_refilled{};
};

/// Token budget that refills with each success. It limits retries and hedges to a share of the
/// successful requests. Not thread-safe.
class ShareBudget
{
public:
  /// Each success adds \p aShare tokens up to \p aBurst. The budget starts half full.
  ShareBudget(double aShare, double aBurst);

  /// Sets the number of tokens that each success adds.
  void SetShare(double aShare) { m_share = aShare; }

  /// Adds the tokens for one success.
  void Earn();

  /// Takes one token and returns true, or returns false if less than one is available.
  bool Take();

private:
  double m_share;
  double m_burst;
  double m_tokens;
};

} // namespace egretturn
