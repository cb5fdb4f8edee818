#include "egretturn/Standin/WorkerModel.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>
#include <cstdlib>

namespace egretturn {

static constexpr Duration kFailsAfter = std::chrono::milliseconds(20);

WorkerModel::WorkerModel(Resources aSize, uint64_t aBoot)
  : m_size(aSize)
  , m_boot(aBoot)
{
}

TaskBehavior
WorkerModel::TruthOf(const std::string& aKind) const
{
  const std::map<std::string, TaskBehavior>::const_iterator it = m_truths.find(aKind);
  return it == m_truths.end() ? TaskBehavior{} : it->second;
}

Resources
WorkerModel::Reserved() const
{
  Resources sum;
  for (const std::pair<const TaskId, Entry>& entryEntry : m_entries) {
    const Entry& entry = entryEntry.second;
    if (entry.m_state == AttemptStatus::Running) {
      sum += entry.m_size;
    }
  }
  return sum;
}

size_t
WorkerModel::Running() const
{
  return static_cast<size_t>(
    std::count_if(m_entries.begin(), m_entries.end(), [](const auto& aRow) {
      return aRow.second.m_state == AttemptStatus::Running;
    }));
}

WorkerReply
WorkerModel::Handle(const WorkerCall& aCall, Instant aNow)
{
  Advance(aNow);
  WorkerReply reply;
  reply.m_boot = m_boot;
  reply.m_draining = m_draining;
  if (m_fences && aCall.m_epoch < m_fence) {
    reply.m_status = WorkerReplyStatus::Fenced;
    return reply;
  }
  m_fence = std::max(m_fence, aCall.m_epoch);
  std::visit(Overloaded{
               [&](const StartCall& aStart) { reply.m_status = Start(aStart, aNow); },
               [&](const RenewCall& aRenew) {
                 for (const TaskAttempt& run : aRenew.m_attempts) {
                   const std::map<TaskId, Entry>::iterator it = m_entries.find(run.m_task);
                   if (it != m_entries.end() && it->second.m_attempt == run.m_attempt) {
                     it->second.m_leaseUntil = aNow + std::chrono::milliseconds(aRenew.m_leaseMs);
                   }
                 }
               },
               [&](const StopCall& aStop) { Stop(aStop.m_taskAttempt, aNow); },
               [&](const ThrottleCall&) {},
               [&](const ForgetCall& aForget) {
                 for (const TaskAttempt& run : aForget.m_attempts) {
                   const std::map<TaskId, Entry>::iterator it = m_entries.find(run.m_task);
                   if (it != m_entries.end() && it->second.m_attempt == run.m_attempt &&
                       it->second.m_state != AttemptStatus::Running) {
                     it->second.m_forgotten = true;
                   }
                 }
               },
               [&](const ListCall&) { reply = List(); },
             },
             aCall.m_body);
  return reply;
}

WorkerReplyStatus
WorkerModel::Start(const StartCall& aCall, Instant aNow)
{
  const std::map<TaskId, Entry>::iterator it = m_entries.find(aCall.m_taskAttempt.m_task);
  if (it != m_entries.end() && it->second.m_attempt >= aCall.m_taskAttempt.m_attempt) {
    const bool same = it->second.m_attempt == aCall.m_taskAttempt.m_attempt;
    return same && it->second.m_state == AttemptStatus::Running ? WorkerReplyStatus::Ok
                                                                : WorkerReplyStatus::AlreadyEnded;
  }
  if (m_draining) {
    return WorkerReplyStatus::Draining;
  }
  const TaskBehavior truth = TruthOf(aCall.m_kind);
  const Duration done(std::strtoll(aCall.m_checkpoint.c_str(), nullptr, 10));
  Entry& entry = m_entries[aCall.m_taskAttempt.m_task];
  entry = Entry{};
  entry.m_attempt = aCall.m_taskAttempt.m_attempt;
  entry.m_kind = aCall.m_kind;
  entry.m_size = aCall.m_size;
  entry.m_leaseUntil = aNow + std::chrono::milliseconds(aCall.m_leaseMs);
  entry.m_startedAt = aNow;
  entry.m_startedWith = done;
  entry.m_endsAt =
    m_failsAll ? aNow + kFailsAfter : aNow + std::max(truth.m_runTime - done, kFailsAfter);
  entry.m_fails = m_failsAll;
  entry.m_record = m_history.size();
  m_history.push_back(
    AttemptRecord{ aCall.m_taskAttempt, aNow, Instant::max(), AttemptStatus::Running, done });
  return WorkerReplyStatus::Ok;
}

void
WorkerModel::End(Entry& aEntry, AttemptStatus aState, Instant aNow)
{
  aEntry.m_state = aState;
  m_history[aEntry.m_record].m_to = aNow;
  m_history[aEntry.m_record].m_state = aState;
}

void
WorkerModel::Stop(const TaskAttempt& aRun, Instant aNow)
{
  Entry& entry = m_entries[aRun.m_task];
  if (entry.m_attempt < aRun.m_attempt) {
    // Not seen: remembered as stopped, so that a late start is refused.
    entry = Entry{};
    entry.m_attempt = aRun.m_attempt;
    entry.m_state = AttemptStatus::Stopped;
    entry.m_record = m_history.size();
    m_history.push_back(AttemptRecord{ aRun, aNow, aNow, AttemptStatus::Stopped, {} });
    return;
  }
  if (entry.m_attempt != aRun.m_attempt || entry.m_state != AttemptStatus::Running) {
    return;
  }
  if (TruthOf(entry.m_kind).m_checkpoints) {
    const Duration done = entry.m_startedWith + (aNow - entry.m_startedAt);
    entry.m_checkpoint = std::to_string(done.count());
  }
  End(entry, AttemptStatus::Stopped, aNow);
}

void
WorkerModel::Advance(Instant aNow)
{
  for (std::pair<const TaskId, Entry>& entryEntry : m_entries) {
    Entry& entry = entryEntry.second;
    if (entry.m_state != AttemptStatus::Running) {
      continue;
    }
    if (entry.m_endsAt <= std::min(aNow, entry.m_leaseUntil)) {
      End(entry, entry.m_fails ? AttemptStatus::Failed : AttemptStatus::Finished, entry.m_endsAt);
    } else if (entry.m_leaseUntil <= aNow) {
      End(entry, AttemptStatus::Stopped, entry.m_leaseUntil);
    }
  }
}

void
WorkerModel::Reboot(uint64_t aBoot, Instant aNow)
{
  Advance(aNow);
  for (std::pair<const TaskId, Entry>& entryEntry : m_entries) {
    Entry& entry = entryEntry.second;
    if (entry.m_state == AttemptStatus::Running) {
      End(entry, AttemptStatus::Stopped, aNow);
    }
  }
  m_entries.clear();
  m_boot = aBoot;
}

WorkerReply
WorkerModel::List() const
{
  WorkerReply reply;
  reply.m_boot = m_boot;
  reply.m_draining = m_draining;
  reply.m_busySlots = m_busySlots;
  for (const std::pair<const TaskId, Entry>& entryEntry : m_entries) {
    const TaskId& task = entryEntry.first;
    const Entry& entry = entryEntry.second;
    if (entry.m_forgotten) {
      continue;
    }
    const TaskBehavior truth = TruthOf(entry.m_kind);
    reply.m_attempts.push_back(ReportedAttempt{ TaskAttempt{ task, entry.m_attempt },
                                                entry.m_state,
                                                entry.m_kind,
                                                entry.m_checkpoint,
                                                truth.m_peak,
                                                entry.m_size });
    reply.m_usedMilliCores +=
      entry.m_state == AttemptStatus::Running ? truth.m_peak.m_milliCores : 0;
  }
  return reply;
}

} // namespace egretturn
