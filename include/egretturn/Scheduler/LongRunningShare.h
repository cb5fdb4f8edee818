// Bounds the room that long-running tasks take ahead of all else, so that work that ends keeps some
// while more long-running work waits than fits.
#pragma once

#include "egretturn/Scheduler/Fleet.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace egretturn {

/// The processors of each service, and what long-running tasks reserve of them, in one placement
/// pass. Not thread-safe.
class LongRunningShare
{
public:
  LongRunningShare() = default;

  /// \pre \p aWorkers accept new work.
  explicit LongRunningShare(const std::vector<Worker*>& aWorkers);

  /// Returns whether a long-running task of \p aService that reserves \p aCpuMilli may go ahead of
  /// work that ends.
  bool MayGoFirst(const std::string& aService, int64_t aCpuMilli) const;

private:
  struct Service
  {
    int64_t m_cpuMilli = 0;
    int64_t m_longRunningCpuMilli = 0;
  };

  std::unordered_map<std::string, Service> m_services;
};

} // namespace egretturn
