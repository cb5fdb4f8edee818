#include "egretturn/Scheduler/TaskTable.h"

#include <cassert>

namespace egretturn {

static TaskRecord
MakeDoneRecord()
{
  TaskRecord record;
  record.m_done = true;
  return record;
}

const TaskRecord TaskTable::kUntouched;
const TaskRecord TaskTable::kDone = MakeDoneRecord();

const TaskRecord&
TaskTable::operator[](size_t aIndex) const
{
  assert(aIndex < m_size);
  const Records::const_iterator it = m_records.find(static_cast<uint16_t>(aIndex));
  if (it != m_records.end()) {
    return it->second;
  }
  return IsReleased(aIndex) ? kDone : kUntouched;
}

TaskRecord&
TaskTable::Edit(size_t aIndex)
{
  assert(aIndex < m_size);
  const auto [it, added] = m_records.try_emplace(static_cast<uint16_t>(aIndex));
  if (added && IsReleased(aIndex)) {
    m_releasedTasks[aIndex] = false;
    --m_released;
    it->second.m_done = true;
  }
  return it->second;
}

TaskRecord*
TaskTable::Find(size_t aIndex)
{
  const Records::iterator it = m_records.find(static_cast<uint16_t>(aIndex));
  return it == m_records.end() ? nullptr : &it->second;
}

void
TaskTable::MarkDone(size_t aIndex)
{
  Edit(aIndex).m_done = true;
  Release(aIndex);
}

void
TaskTable::Release(size_t aIndex)
{
  const Records::iterator it = m_records.find(static_cast<uint16_t>(aIndex));
  if (it == m_records.end() || !it->second.m_done || !it->second.m_attempts.empty()) {
    return;
  }
  m_records.erase(it);
  if (m_releasedTasks.size() <= aIndex) {
    m_releasedTasks.resize(aIndex + 1);
  }
  m_releasedTasks[aIndex] = true;
  ++m_released;
}

std::optional<size_t>
TaskTable::FirstUntouched() const
{
  if (CountUntouched() == 0) {
    return std::nullopt;
  }
  Records::const_iterator record = m_records.begin();
  for (size_t i = 0;; ++i) {
    if (record != m_records.end() && record->first == i) {
      ++record;
    } else if (!IsReleased(i)) {
      return i;
    }
  }
}

} // namespace egretturn
