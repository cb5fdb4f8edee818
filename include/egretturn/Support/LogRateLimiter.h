// Bounds how often one kind of log line is written.
#pragma once

#include "egretturn/Support/Time.h"

#include <optional>

namespace egretturn {

/// Lets a few lines through in each span of time, so that what repeats can't flood the log.
/// Not thread-safe.
class LogRateLimiter
{
public:
  /// \pre \p aLines is greater than 0.
  LogRateLimiter(uint64_t aLines, Duration aSpan)
    : m_lines(aLines)
    , m_span(aSpan)
  {
  }

  /// Whether a line may be written at \p aNow: how many were held back since the one before, or
  /// nothing.
  std::optional<uint64_t> TryAcquire(Instant aNow)
  {
    if (!m_began || aNow - *m_began >= m_span) {
      m_began = aNow;
      m_written = 0;
    }
    if (m_written == m_lines) {
      ++m_heldBack;
      return std::nullopt;
    }
    ++m_written;
    const uint64_t heldBack = m_heldBack;
    m_heldBack = 0;
    return heldBack;
  }

private:
  uint64_t m_lines;
  Duration m_span;
  std::optional<Instant> m_began; ///< Of the present span.
  uint64_t m_written = 0;         ///< In the present span.
  uint64_t m_heldBack = 0;        ///< Since the last line that was written.
};

} // namespace egretturn
