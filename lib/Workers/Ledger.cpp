#include "egretturn/Workers/Ledger.h"

#include "egretturn/Support/EnumTable.h"

namespace egretturn {

static constexpr EnumTable<WorkerReplyStatus, 5> kAnswerNames{ {
  { WorkerReplyStatus::Ok, "ok" },
  { WorkerReplyStatus::Fenced, "fenced" },
  { WorkerReplyStatus::AlreadyEnded, "seen" },
  { WorkerReplyStatus::NoCapacity, "no_room" },
  { WorkerReplyStatus::Draining, "leaving" },
} };

std::string_view
NameOf(WorkerReplyStatus aAnswer)
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
  if (m_held.contains(aRun) || !aSize.FitsIn(FreeCapacity())) {
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
