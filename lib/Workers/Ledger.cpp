#include "egretturn/Workers/Ledger.h"

#include "egretturn/Support/EnumTable.h"

namespace egretturn {

static constexpr EnumTable<WorkerReplyStatus, 5> kStatusNames{ {
  { WorkerReplyStatus::Ok, "ok" },
  { WorkerReplyStatus::Fenced, "fenced" },
  { WorkerReplyStatus::KnownAttempt, "seen" },
  { WorkerReplyStatus::NoCapacity, "no_room" },
  { WorkerReplyStatus::Draining, "leaving" },
} };

std::string_view
NameOf(WorkerReplyStatus aStatus)
{
  return NameIn(kStatusNames, aStatus);
}

void
WorkerLedger::SetSize(const Resources& aSize, const Resources& aServiceReserve)
{
  m_size = aSize;
  m_serviceReserve = aServiceReserve;
}

bool
WorkerLedger::Reserve(const TaskAttempt& aAttempt, const Resources& aSize)
{
  if (m_reservations.contains(aAttempt) || !aSize.FitsIn(FreeCapacity())) {
    return false;
  }
  Adopt(aAttempt, aSize);
  return true;
}

void
WorkerLedger::Adopt(const TaskAttempt& aAttempt, const Resources& aSize)
{
  if (m_reservations.emplace(aAttempt, aSize).second) {
    m_reserved += aSize;
  }
}

void
WorkerLedger::Release(const TaskAttempt& aAttempt)
{
  const std::map<TaskAttempt, Resources>::iterator it = m_reservations.find(aAttempt);
  if (it == m_reservations.end()) {
    return;
  }
  m_reserved -= it->second;
  m_reservations.erase(it);
}

} // namespace egretturn
