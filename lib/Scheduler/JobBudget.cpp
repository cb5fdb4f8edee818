#include "egretturn/Scheduler/JobBudget.h"

#include <cassert>

namespace egretturn {

// A job is accepted while this many like it fit.
static constexpr size_t kSpareJobs = 8;

static constexpr size_t kRouteQuarters = 3; // of the limit, for one route

void
JobBudget::Add(const std::string& aRoute, size_t aBytes)
{
  m_bytes += aBytes;
  m_bytesOfRoute[aRoute] += aBytes;
}

void
JobBudget::Subtract(const std::string& aRoute, size_t aBytes)
{
  if (aBytes == 0) {
    return;
  }
  const auto it = m_bytesOfRoute.find(aRoute);
  assert(it != m_bytesOfRoute.end() && it->second >= aBytes && "the bytes were not added");
  m_bytes -= aBytes;
  it->second -= aBytes;
  if (it->second == 0) {
    m_bytesOfRoute.erase(it);
  }
}

bool
JobBudget::MayAccept(const std::string& aRoute, size_t aBytes) const
{
  const auto it = m_bytesOfRoute.find(aRoute);
  const size_t ofRoute = it == m_bytesOfRoute.end() ? 0 : it->second;
  const size_t needed = kSpareJobs * aBytes;
  return m_bytes + needed <= m_maxBytes && ofRoute + needed <= m_maxBytes / 4 * kRouteQuarters;
}

} // namespace egretturn
