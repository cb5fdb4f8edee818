// Measures how long ended jobs have been kept, over changes of leader and whatever the time of day
// does: counts the time that leaders have led, and goes on from what the store has of it.
#pragma once

#include "egretturn/Support/Time.h"

#include <algorithm>
#include <cstdint>

namespace egretturn {

/// A clock that never runs faster than time passes. It stands still while nobody leads, while the
/// store is unavailable, and for what a leader has not stored before it was lost. Not thread-safe.
class RetentionClock
{
public:
  /// A reading that no clock shows.
  static constexpr int64_t kNoReading = -1;

  explicit RetentionClock(Instant aNow)
    : m_advancedAt(aNow)
  {
  }

  /// Goes on from a reading of an earlier epoch.
  void Restore(int64_t aReadingMs) { m_time = std::chrono::milliseconds(aReadingMs); }

  /// Counts the time since the last call, if \p aStoreAvailable. Call at least every 100 ms.
  void Advance(Instant aNow, bool aStoreAvailable)
  {
    const Duration elapsed = std::clamp(aNow - m_advancedAt, Duration::zero(), kMaxStep);
    m_time += aStoreAvailable ? elapsed : Duration::zero();
    m_advancedAt = std::max(m_advancedAt, aNow);
  }

  int64_t NowMs() const { return ToMillis(m_time); }

  /// Returns the highest reading at which an append that is sent now can become durable.
  int64_t DurableByMs() const { return ToMillis(m_time + kMaxAppendTime); }

private:
  static constexpr Duration kMaxStep = std::chrono::seconds(1); ///< A longer pause counts as this.
  /// An append that takes 800 ms makes the store unavailable; a pause counts as kMaxStep.
  static constexpr Duration kMaxAppendTime = std::chrono::seconds(2);

  Duration m_time{};
  Instant m_advancedAt;
};

} // namespace egretturn
