// Tells whether the store's last confirmation that nobody else has claimed the leadership is recent
// enough for a start that needs one.
#pragma once

#include "egretturn/Support/Time.h"

#include <utility>

namespace egretturn {

/// The last confirmation, and whether tasks wait for the next one. Not thread-safe.
class LeadershipConfirmation
{
public:
  /// Nobody else had claimed the leadership at \p aSince.
  explicit LeadershipConfirmation(Instant aSince)
    : m_since(aSince)
  {
  }

  /// Handles that nobody else had claimed at \p aSince, as is known at \p aNow. Returns whether
  /// tasks have waited for it. An older one than the last is ignored.
  bool OnConfirmed(Instant aSince, Instant aNow)
  {
    if (aSince <= m_since) {
      return false;
    }
    m_since = aSince;
    m_learnedAt = aNow;
    const bool requested = std::exchange(m_requested, false);
    m_unused = m_unused || requested;
    return requested;
  }

  /// Records that tasks wait for the next confirmation.
  void Request() { m_requested = true; }
  bool IsRequested() const { return m_requested; }

  /// Handles that a placement pass has used the last confirmation.
  void OnPlacementPass() { m_unused = false; }

  /// Returns whether tasks may start at \p aNow for which nobody else must have claimed before
  /// \p aEvent or soon after it. On a busy instance the first pass comes late, but it does come.
  bool Covers(Instant aEvent, Instant aNow) const
  {
    const bool recent = m_unused || aNow - m_learnedAt <= kMaxAge;
    return recent && m_since > aEvent;
  }

  /// Returns when the last confirmation was learned; Instant() if there was none.
  Instant LearnedAt() const { return m_learnedAt; }

private:
  /// A start that needs a confirmation follows it this closely, or in the first pass after it.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(50);

  Instant m_since;
  Instant m_learnedAt;
  bool m_requested = false;
  bool m_unused = false; ///< It was requested, and no placement pass has run since.
};

} // namespace egretturn
