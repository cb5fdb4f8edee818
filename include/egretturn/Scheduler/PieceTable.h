// Judges the free processors of one worker by the short tasks that could use them.
#pragma once

#include <cstdint>
#include <vector>

namespace egretturn {

/// The tasks of a step that has arrived.
struct TaskShape
{
  int64_t m_cpu = 0;   ///< Thousandths of a core of one task.
  double m_weight = 0; ///< The step's share in what arrives, in any unit.
};

/// How much of a free piece of a worker's processors short tasks can use, by the size of the piece,
/// all in thousandths of a core. Built at once from the shapes of the tasks that arrive; constant
/// time to read. An empty table takes all pieces for usable. Thread-safe once built.
class PieceTable
{
public:
  PieceTable() = default;

  /// Builds the table from the shapes of short tasks, for workers of up to \p aLargest thousandths
  /// of a core. \pre All demands and weights are positive.
  PieceTable(const std::vector<TaskShape>& aShapes, int64_t aLargest);

  /// Returns how much of \p aFree whole tasks use; the weighted mean over the shapes.
  double UsableOf(int64_t aFree) const;

private:
  int64_t m_cell = 1; ///< Thousandths of a core between two entries.
  std::vector<double> m_usable;
};

} // namespace egretturn
