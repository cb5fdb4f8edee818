// Divides what a process may use among its HTTP servers.
#pragma once

#include "egretturn/Config/Settings.h"

namespace egretturn {

/// The limits of each server of a process.
struct ServerLimits
{
  HttpLimits m_callers;
  HttpLimits m_peers;
  HttpLimits m_readiness;
};

/// Returns limits for a process with \p aMemoryBytes of memory and \p aDescriptors descriptors.
/// The rest of the memory is for its state, the rest of the descriptors for files and its own
/// calls. Thread-safe.
ServerLimits DivideLimits(uint64_t aMemoryBytes, uint64_t aDescriptors);

/// Lowers the connections of \p aLimits to what DivideLimits() gives callers and peers, so that
/// descriptors are left for the process's own calls. Thread-safe.
HttpLimits FitCallersTo(HttpLimits aLimits, uint64_t aDescriptors);
HttpLimits FitPeersTo(HttpLimits aLimits, uint64_t aDescriptors);

} // namespace egretturn
