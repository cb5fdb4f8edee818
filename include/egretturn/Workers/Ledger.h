// Tracks the resources reserved on one worker, so that its capacity is never exceeded by new tasks.
#pragma once

#include "egretturn/Workers/Protocol.h"

#include <map>

namespace egretturn {

/// Resource reservations of the attempts on one worker. Not thread-safe.
class WorkerLedger
{
public:
  /// Sets the worker's size and the resources set aside for services.
  void SetSize(const Resources& aSize, const Resources& aServiceReserve);

  /// Reserves \p aSize for \p aAttempt. Returns false and changes nothing if it does not fit or the
  /// attempt has a reservation already.
  bool Reserve(const TaskAttempt& aAttempt, const Resources& aSize);

  /// Reserves \p aSize for an attempt that already runs, whether it fits or not.
  void Adopt(const TaskAttempt& aAttempt, const Resources& aSize);

  /// Releases the reservation of \p aAttempt, if it has one.
  void Release(const TaskAttempt& aAttempt);

  /// Returns the worker's size without the resources that are set aside or reserved. Amounts are
  /// negative if adopted attempts exceed the size.
  Resources FreeCapacity() const { return m_size - m_serviceReserve - m_reserved; }
  const std::map<TaskAttempt, Resources>& Reservations() const { return m_reservations; }

private:
  Resources m_size;
  Resources m_serviceReserve;
  Resources m_reserved;
  std::map<TaskAttempt, Resources> m_reservations;
};

} // namespace egretturn
