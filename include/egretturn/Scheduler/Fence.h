// Numbers the fences of worker calls. A worker does nothing for a call with a lower fence than the
// highest that it has seen since it started. Each epoch has a range of fences: the fence of a
// worker's calls rises with each restart of the worker that the leader learns of, so that the new
// process refuses what was sent to the one before.
#pragma once

#include <algorithm>
#include <cstdint>

namespace egretturn {

/// Fences of one epoch. A worker that restarts more often under one leader keeps the last one.
constexpr uint64_t kFencesPerEpoch = 64;

/// Returns the epoch that follows \p aEpoch, 0 for none. All its fences are higher. Thread-safe.
constexpr uint64_t
NextEpoch(uint64_t aEpoch)
{
  return aEpoch == 0 ? 1 : aEpoch + kFencesPerEpoch;
}

/// Returns the fence of calls under \p aEpoch to a worker that has restarted \p aRestarts times
/// since the epoch began. Thread-safe.
constexpr uint64_t
FenceOf(uint64_t aEpoch, uint64_t aRestarts)
{
  return aEpoch + std::min(aRestarts, kFencesPerEpoch - 1);
}

} // namespace egretturn
