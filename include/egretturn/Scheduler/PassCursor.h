// Remembers where a placement pass that could not try all steps left off.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace egretturn {

/// The rank of the step with which the next pass begins. Not thread-safe.
class PassCursor
{
public:
  /// Puts the steps that the last passes could not try first.
  template<typename Step>
  void Rotate(std::vector<Step>& aSteps) const
  {
    if (m_firstUntried < aSteps.size()) {
      std::rotate(
        aSteps.begin(), aSteps.begin() + static_cast<std::ptrdiff_t>(m_firstUntried), aSteps.end());
    }
  }

  /// Goes on after \p aTried of \p aSteps steps. Returns true if all of them have been tried since
  /// the cursor was at the first one; it is there again then.
  bool Advance(size_t aSteps, size_t aTried);

  /// Goes back to the first step.
  void Reset() { m_firstUntried = 0; }

private:
  size_t m_firstUntried = 0;
};

} // namespace egretturn
