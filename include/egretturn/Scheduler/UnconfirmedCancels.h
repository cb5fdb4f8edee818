// Keeps the requests to cancel jobs that this leader does not know, until the store has confirmed
// that no other leader can have accepted them before the request came.
#pragma once

#include "egretturn/Scheduler/Actions.h"

#include <vector>

namespace egretturn {

/// A request to cancel a job that is not known here.
struct UnconfirmedCancel
{
  RequestToken m_request = 0;
  GraphId m_id = 0;
  Instant m_receivedAt;
};

/// The requests that wait, in the order of their arrival. Not thread-safe.
class UnconfirmedCancels
{
public:
  void Add(const UnconfirmedCancel& aCancel) { m_cancels.push_back(aCancel); }

  bool IsEmpty() const { return m_cancels.empty(); }

  /// Removes and returns the requests that came before \p aConfirmedSince, when no other instance
  /// led.
  std::vector<UnconfirmedCancel> TakeConfirmed(Instant aConfirmedSince);

  /// Removes and returns the requests that have waited for a confirmation for too long, since the
  /// leader has probably lost the store or has a successor.
  std::vector<UnconfirmedCancel> TakeExpired(Instant aNow);

private:
  template<typename Predicate>
  std::vector<UnconfirmedCancel> Take(const Predicate& aIsTaken);

  std::vector<UnconfirmedCancel> m_cancels;
};

} // namespace egretturn
