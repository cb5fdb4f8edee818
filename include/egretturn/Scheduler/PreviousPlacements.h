// Keeps what the previous leader has reported of the tasks that it had placed, while this leader
// recovers.
#pragma once

#include "egretturn/Scheduler/Actions.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace egretturn {

/// The workers on which the previous leader has placed each task, and those on which tasks may run
/// that it did not know itself. Not thread-safe.
class PreviousPlacements
{
public:
  using Index = std::unordered_map<TaskRef, std::vector<WorkerName>, TaskRefHash>;

  /// Takes the report of the previous leader.
  void Restore(const std::vector<PlacedTask>& aTasks);

  /// Adds a worker that may run tasks which the report does not list. \pre Restore() was called.
  void AddWorkerWithUnknownTasks(const WorkerName& aWorker);

  /// Forgets the workers with unknown tasks for which \p aIsSettled is true. Returns whether there
  /// were any.
  bool RemoveSettled(const std::function<bool(const WorkerName&)>& aIsSettled);

  /// Forgets the report.
  void Clear();

  /// Returns whether the previous leader has reported.
  bool IsKnown() const { return m_tasks.has_value(); }

  /// Returns whether tasks may run anywhere that no report lists.
  bool HasUnknownTasks() const { return !m_tasks || !m_withUnknownTasks.empty(); }

  /// Returns whether \p aWorker, which was not read, may run tasks that no report lists.
  bool MayRunUnknownTasks(const WorkerName& aWorker) const;

  /// Returns the workers that may run tasks which the report does not list.
  const std::vector<WorkerName>& WorkersWithUnknownTasks() const { return m_withUnknownTasks; }

  /// Returns the workers on which \p aTask was placed; none if it is not listed.
  const std::vector<WorkerName>& WorkersOf(const TaskRef& aTask) const;

  /// Returns the tasks of the report with their workers; none without a report.
  const Index& Tasks() const;

private:
  std::optional<Index> m_tasks;
  std::vector<WorkerName> m_withUnknownTasks;
};

} // namespace egretturn
