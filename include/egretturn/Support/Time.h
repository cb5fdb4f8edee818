// Time types: monotonic instants and durations in microseconds.
#pragma once

#include <chrono>
#include <cstdint>

namespace egretturn {

using Duration = std::chrono::microseconds;

/// A reading of this process's monotonic clock. Never sent to, or compared with, another process.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Converts \p aDuration to whole milliseconds, rounding towards zero.
constexpr int64_t
ToMillis(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace egretturn
