// Holds the state of the tasks of one step. A step may have thousands of tasks that never start, so
// only the tasks of which something is known take memory.
#pragma once

#include "egretturn/Scheduler/Fleet.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egretturn {

/// An attempt of a task, and the worker that it occupies.
struct LiveAttempt
{
  Worker* m_worker = nullptr;
  AttemptNumber m_attempt = 0;
};

/// The scheduling state of one task.
struct TaskRecord
{
  bool m_done = false;
  uint32_t m_starts = 0;               ///< Starts under the current epoch; numbers the attempts.
  std::vector<LiveAttempt> m_attempts; ///< More than one only for steps with speculative attempts.
  std::vector<AttemptNumber> m_failedAttempts;
  std::string m_checkpoint;
  const Worker* m_avoidedWorker = nullptr; ///< Where it failed or was lost; never dereferenced.
  Instant m_nextLastResortAt;              ///< It starts on an avoided or slow worker no earlier.
  std::optional<Instant> m_putOffSince;    ///< Since when it waits for a near place.
  Instant m_lastRanAt; ///< When an attempt that has left, or is to leave, was last known to run.
};

/// The tasks of one step, numbered from 0. A task without a record is untouched, or done. Not
/// thread-safe.
class TaskTable
{
public:
  using Records = std::map<uint16_t, TaskRecord>;

  explicit TaskTable(uint32_t aSize)
    : m_size(aSize)
  {
  }

  size_t Size() const { return m_size; }

  /// Returns the state of a task. The reference is valid until the task's record changes hands.
  /// \pre \p aIndex is less than Size().
  const TaskRecord& operator[](size_t aIndex) const;

  /// Returns the record of a task to change it, and adds one if there is none. The reference is
  /// valid until Release() drops the record. \pre \p aIndex is less than Size().
  TaskRecord& Edit(size_t aIndex);

  /// Returns the record of a task, or nullptr if it has none.
  TaskRecord* Find(size_t aIndex);

  /// Marks a task as done that has no attempts. \pre \p aIndex is less than Size(), and the task is
  /// not done.
  void MarkDone(size_t aIndex);

  /// Drops the record of a task that is done and has no attempts. Has no effect on any other task.
  void Release(size_t aIndex);

  /// Returns the records by the number of their task.
  const Records& GetRecords() const { return m_records; }

  /// Returns the number of tasks that are done and have no record.
  size_t CountReleased() const { return m_released; }

  /// Returns the number of tasks of which nothing is known: they wait, and are all alike.
  size_t CountUntouched() const { return m_size - m_records.size() - m_released; }

  /// Returns the first task of which nothing is known, if there is one.
  std::optional<size_t> FirstUntouched() const;

  /// Calls \p aVisit(index, record) for each task from \p aFirst up to but not including \p aEnd
  /// that is done or has a record, in order.
  template<typename Visit>
  void VisitKnown(size_t aFirst, size_t aEnd, const Visit& aVisit) const
  {
    Records::const_iterator record = m_records.lower_bound(static_cast<uint16_t>(aFirst));
    for (size_t i = aFirst; i < aEnd; ++i) {
      if (m_released == 0) { // go straight to the next record
        if (record == m_records.end() || record->first >= aEnd) {
          return;
        }
        i = record->first;
      }
      if (record != m_records.end() && record->first == i) {
        aVisit(i, record->second);
        ++record;
      } else if (IsReleased(i)) {
        aVisit(i, kDone);
      }
    }
  }

private:
  static const TaskRecord kUntouched;
  static const TaskRecord kDone;

  bool IsReleased(size_t aIndex) const
  {
    return aIndex < m_releasedTasks.size() && m_releasedTasks[aIndex];
  }

  uint32_t m_size;
  Records m_records;
  std::vector<bool> m_releasedTasks; ///< Done, without a record. No longer than needed.
  size_t m_released = 0;             ///< How many of them there are.
};

} // namespace egretturn
