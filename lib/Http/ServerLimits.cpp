#include "egretturn/Http/ServerLimits.h"

#include <algorithm>

namespace egretturn {

static constexpr uint64_t kReservedDescriptors = 200; // for files

// One part of the whole for each server.
static constexpr uint64_t kCallersMemoryPart = 8;
static constexpr uint64_t kPeersMemoryPart = 8;
static constexpr uint64_t kReadinessMemoryPart = 64;
static constexpr uint64_t kCallersSocketsPart = 2;
static constexpr uint64_t kPeersSocketsPart = 8;
static constexpr uint64_t kReadinessSocketsPart = 32;

static constexpr size_t kReadinessBodyBytes = 4096; // its requests have no body

static HttpLimits
TakePart(uint64_t aMemory, uint64_t aMemoryPart, uint64_t aSockets, uint64_t aSocketsPart)
{
  HttpLimits limits;
  limits.m_heldBytes = static_cast<size_t>(aMemory / aMemoryPart);
  limits.m_connections = static_cast<size_t>(std::max<uint64_t>(1, aSockets / aSocketsPart));
  return limits;
}

ServerLimits
DivideLimits(uint64_t aMemoryBytes, uint64_t aDescriptors)
{
  const uint64_t sockets =
    aDescriptors > kReservedDescriptors ? aDescriptors - kReservedDescriptors : 0;
  ServerLimits limits{ TakePart(aMemoryBytes, kCallersMemoryPart, sockets, kCallersSocketsPart),
                       TakePart(aMemoryBytes, kPeersMemoryPart, sockets, kPeersSocketsPart),
                       TakePart(
                         aMemoryBytes, kReadinessMemoryPart, sockets, kReadinessSocketsPart) };
  limits.m_readiness.m_bodyBytes = kReadinessBodyBytes;
  return limits;
}

HttpLimits
FitCallersTo(HttpLimits aLimits, uint64_t aDescriptors)
{
  const size_t connections = DivideLimits(0, aDescriptors).m_callers.m_connections;
  aLimits.m_connections = std::min(aLimits.m_connections, connections);
  return aLimits;
}

HttpLimits
FitPeersTo(HttpLimits aLimits, uint64_t aDescriptors)
{
  const size_t connections = DivideLimits(0, aDescriptors).m_peers.m_connections;
  aLimits.m_connections = std::min(aLimits.m_connections, connections);
  return aLimits;
}

} // namespace egretturn
