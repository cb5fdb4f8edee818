#include "egretturn/Workers/Ledger.h"

#include "egretturn/Support/EnumTable.h"

namespace egretturn {

static constexpr EnumTable<WorkerAnswer, 5> kAnswerNames{ {
  { WorkerAnswer::Ok, "ok" },
  { WorkerAnswer::Fenced, "fenced" },
  { WorkerAnswer::Seen, "seen" },
  { WorkerAnswer::NoRoom, "no_room" },
  { WorkerAnswer::Leaving, "leaving" },
} };

std::string_view
NameOf(WorkerAnswer aAnswer)
{
  return NameIn(kAnswerNames, aAnswer);
}

void
WorkerLedger::SetSize(const Resources& aSize, const Resources& aServices)
{
  m_size = aSize;
  m_services = aServices;
}

bool
WorkerLedger::Reserve(const TaskAttempt& aRun, const Resources& aSize)
{
  if (m_held.contains(aRun) || !aSize.FitsIn(Free())) {
    return false;
  }
  Adopt(aRun, aSize);
  return true;
}

void
WorkerLedger::Adopt(const TaskAttempt& aRun, const Resources& aSize)
{
  if (m_held.emplace(aRun, aSize).second) {
    m_reserved += aSize;
  }
}

void
WorkerLedger::Release(const TaskAttempt& aRun)
{
  const std::map<TaskAttempt, Resources>::iterator it = m_held.find(aRun);
  if (it == m_held.end()) {
    return;
  }
  m_reserved -= it->second;
  m_held.erase(it);
}

} // namespace egretturn
