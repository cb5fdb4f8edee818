// Limits the rate of one kind of log line.
#pragma once

#include "egretturn/Support/Time.h"

#include <optional>

namespace egretturn {

/// Admits a fixed number of lines per time window, so that a repeated event cannot flood the log.
/// Not thread-safe.
class LogRateLimiter
{
public:
  /// \pre \p aMaxLines is greater than 0.
  LogRateLimiter(uint64_t aMaxLines, Duration aWindow)
    : m_maxLines(aMaxLines)
    , m_window(aWindow)
  {
  }

  /// Returns the number of lines suppressed since the last admitted line if a line may be written
  /// at \p aNow, or nothing if the line must be suppressed.
  std::optional<uint64_t> TryAcquire(Instant aNow)
  {
    if (!m_windowStart || aNow - *m_windowStart >= m_window) {
      m_windowStart = aNow;
      m_admitted = 0;
    }
    if (m_admitted == m_maxLines) {
      ++m_suppressed;
      return std::nullopt;
    }
    ++m_admitted;
    const uint64_t suppressed = m_suppressed;
    m_suppressed = 0;
    return suppressed;
  }

private:
  uint64_t m_maxLines;
  Duration m_window;
  std::optional<Instant> m_windowStart; ///< Start of the current window.
  uint64_t m_admitted = 0;              ///< In the current window.
  uint64_t m_suppressed = 0;            ///< Since the last admitted line.
};

} // namespace egretturn
