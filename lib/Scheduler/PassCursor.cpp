#include "egretturn/Scheduler/PassCursor.h"

namespace egretturn {

bool
PassCursor::Advance(size_t aSteps, size_t aTried)
{
  m_firstUntried += aTried;
  const bool all = aTried >= aSteps || m_firstUntried >= aSteps;
  m_firstUntried = all ? 0 : m_firstUntried;
  return all;
}

} // namespace egretturn
