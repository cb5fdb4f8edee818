// What is reserved on one worker, so that it is never given more than it holds.
#pragma once

#include "egretturn/Workers/Protocol.h"

#include <map>

namespace egretturn {

/// Reservations of one worker. Not thread-safe.
class WorkerLedger
{
public:
  /// Sets the worker's size and the share set aside for services.
  void SetSize(const Resources& aSize, const Resources& aServices);

  /// Reserves \p aSize for \p aRun. False, and nothing changed, if it does not fit.
  bool Reserve(const TaskAttempt& aRun, const Resources& aSize);

  /// Reserves for an attempt that runs already, whether it fits or not.
  void Adopt(const TaskAttempt& aRun, const Resources& aSize);

  /// Frees what \p aRun holds, if anything.
  void Release(const TaskAttempt& aRun);

  Resources FreeCapacity() const { return m_size - m_services - m_reserved; }
  const std::map<TaskAttempt, Resources>& Reservations() const { return m_held; }

private:
  Resources m_size;
  Resources m_services;
  Resources m_reserved;
  std::map<TaskAttempt, Resources> m_held;
};

} // namespace egretturn
