// The table of a step's tasks answers like a list of all of them, but keeps only what is known.
#include "egretturn/Scheduler/TaskTable.h"

#include <catch2/catch.hpp>

using namespace egretturn;

static std::vector<size_t>
ListKnown(const TaskTable& aTable, size_t aFirst, size_t aEnd)
{
  std::vector<size_t> known;
  aTable.VisitKnown(
    aFirst, aEnd, [&](size_t aIndex, const TaskRecord&) { known.push_back(aIndex); });
  return known;
}

TEST_CASE("a task without a record is like any other that has not started")
{
  TaskTable table(4096);
  CHECK(table.Size() == 4096);
  CHECK_FALSE(table[7].m_done);
  CHECK(table.GetRecords().empty());
  CHECK(table.CountUntouched() == 4096);
  CHECK(table.FirstUntouched() == 0);
  CHECK_FALSE(table.Find(7));
}

TEST_CASE("a task that is done and has no attempts takes no record")
{
  TaskTable table(3);
  table.Edit(1).m_attempts.push_back({ nullptr, 1 });
  table.Edit(1).m_done = true;
  table.Release(1);
  CHECK(table.Find(1)); // its attempt is still there
  table.Edit(1).m_attempts.clear();
  table.Release(1);
  CHECK_FALSE(table.Find(1));
  CHECK(table[1].m_done);
  CHECK(table.CountReleased() == 1);
  CHECK(table.CountUntouched() == 2);
  table.Edit(0);
  table.Release(0); // it is not done
  CHECK(table.Find(0));
  CHECK(table.FirstUntouched() == 2);
}

TEST_CASE("a released task can be edited again and stays done")
{
  TaskTable table(2);
  table.MarkDone(1);
  CHECK(table.Edit(1).m_done);
  CHECK(table.CountReleased() == 0);
  table.Release(1);
  CHECK(table.CountReleased() == 1);
  table.MarkDone(0);
  CHECK_FALSE(table.FirstUntouched());
}

TEST_CASE("the known tasks of a range are visited in order")
{
  TaskTable table(100);
  table.Edit(5);
  table.Edit(60);
  CHECK(ListKnown(table, 0, 100) == std::vector<size_t>{ 5, 60 });
  CHECK(ListKnown(table, 6, 60).empty());
  table.MarkDone(3);
  table.MarkDone(99);
  CHECK(ListKnown(table, 0, 100) == std::vector<size_t>{ 3, 5, 60, 99 });
  CHECK(ListKnown(table, 4, 99) == std::vector<size_t>{ 5, 60 });
}
