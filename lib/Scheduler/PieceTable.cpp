#include "egretturn/Scheduler/PieceTable.h"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <numeric>

namespace egretturn {

// The largest short task spans this many cells, unless the table would exceed kMaxCells.
static constexpr int64_t kCellsOfLargestTask = 64;
static constexpr int64_t kMaxCells = 512;

static double
TotalWeight(const std::vector<TaskShape>& aShapes)
{
  return std::accumulate(
    aShapes.begin(), aShapes.end(), 0.0, [](double aSum, const TaskShape& aShape) {
      return aSum + aShape.m_weight;
    });
}

/// Returns how much of \p aFree whole tasks of one of \p aShapes use, as the weighted mean.
static double
MeanUse(const std::vector<TaskShape>& aShapes, int64_t aFree)
{
  double sum = 0;
  for (const TaskShape& shape : aShapes) {
    const int64_t tasks = aFree / shape.m_cpu;
    sum += shape.m_weight * static_cast<double>(tasks * shape.m_cpu);
  }
  return sum / TotalWeight(aShapes);
}

PieceTable::PieceTable(const std::vector<TaskShape>& aShapes, int64_t aLargest)
{
  int64_t largestTask = 0;
  for (const TaskShape& shape : aShapes) {
    assert(shape.m_cpu > 0 && "a task takes a part of the piece");
    largestTask = std::max(largestTask, shape.m_cpu);
  }
  if (largestTask == 0) {
    return;
  }
  m_cell = std::max({ int64_t{ 1 }, largestTask / kCellsOfLargestTask, aLargest / kMaxCells });
  const size_t cells = static_cast<size_t>(aLargest / m_cell) + 1;
  for (size_t cell = 0; cell < cells; ++cell) {
    m_usable.push_back(MeanUse(aShapes, static_cast<int64_t>(cell) * m_cell));
  }
}

double
PieceTable::UsableOf(int64_t aFree) const
{
  const int64_t free = std::max<int64_t>(0, aFree);
  if (m_usable.empty()) {
    return static_cast<double>(free);
  }
  const size_t cell = static_cast<size_t>(free / m_cell);
  if (cell + 1 >= m_usable.size()) {
    return m_usable.back();
  }
  const double part = static_cast<double>(free % m_cell) / static_cast<double>(m_cell);
  return m_usable[cell] + part * (m_usable[cell + 1] - m_usable[cell]);
}

} // namespace egretturn
