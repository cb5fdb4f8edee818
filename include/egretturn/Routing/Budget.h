// Budgets that keep extra work a bounded share of useful work.
#pragma once

#include "egretturn/Support/Time.h"

namespace egretturn {

/// Tokens that refill with time; for bytes over a link. Not thread-safe.
class TokenBucket
{
public:
  /// \p aPerSecond tokens a second, at most \p aBurst saved up. Starts full.
  TokenBucket(double aPerSecond, double aBurst);

  void SetRate(double aPerSecond, double aBurst);

  /// Takes \p aTokens if there are as many.
  bool Take(double aTokens, Instant aNow);

private:
  double m_perSecond;
  double m_burst;
  double m_tokens;
  Instant m_refilled{};
};

/// Tokens that refill by successes; for retries and hedges. Not thread-safe.
class ShareBudget
{
public:
  /// Each success earns \p aShare tokens, at most \p aBurst saved up. Starts with half of the
  /// burst.
  ShareBudget(double aShare, double aBurst);

  void SetShare(double aShare) { m_share = aShare; }
  void Earn();

  /// Takes one token if there is one.
  bool Take();

private:
  double m_share;
  double m_burst;
  double m_tokens;
};

} // namespace egretturn
