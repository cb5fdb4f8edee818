#include "egretturn/Scheduler/PreviousPlacements.h"

#include <algorithm>
#include <cassert>

namespace egretturn {

void
PreviousPlacements::Restore(const std::vector<PlacedTask>& aTasks)
{
  m_tasks.emplace();
  for (const PlacedTask& placed : aTasks) {
    (*m_tasks)[placed.m_task].push_back(placed.m_worker);
  }
}

void
PreviousPlacements::AddWorkerWithUnknownTasks(const WorkerName& aWorker)
{
  assert(IsKnown() && "without a report, all workers may run unknown tasks");
  m_withUnknownTasks.push_back(aWorker);
}

bool
PreviousPlacements::RemoveSettled(const std::function<bool(const WorkerName&)>& aIsSettled)
{
  return std::erase_if(m_withUnknownTasks, aIsSettled) > 0;
}

void
PreviousPlacements::Clear()
{
  m_tasks.reset();
  m_withUnknownTasks.clear();
}

bool
PreviousPlacements::MayRunUnknownTasks(const WorkerName& aWorker) const
{
  return !m_tasks || std::find(m_withUnknownTasks.begin(), m_withUnknownTasks.end(), aWorker) !=
                       m_withUnknownTasks.end();
}

const std::vector<WorkerName>&
PreviousPlacements::WorkersOf(const TaskRef& aTask) const
{
  static const std::vector<WorkerName> kNone;
  const Index& tasks = Tasks();
  const auto it = tasks.find(aTask);
  return it == tasks.end() ? kNone : it->second;
}

const PreviousPlacements::Index&
PreviousPlacements::Tasks() const
{
  static const Index kNone;
  return m_tasks ? *m_tasks : kNone;
}

} // namespace egretturn
