#include "egretturn/Standin/WorkerModel.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>
#include <cstdlib>

namespace egretturn {

static constexpr Duration kFailureDelay = std::chrono::milliseconds(20);

WorkerModel::WorkerModel(Resources aSize, uint64_t aBoot)
  : m_size(aSize)
  , m_boot(aBoot)
{
}

TaskBehavior
WorkerModel::BehaviorOf(const std::string& aKind) const
{
  const std::map<std::string, TaskBehavior>::const_iterator it = m_behaviors.find(aKind);
  return it == m_behaviors.end() ? TaskBehavior{} : it->second;
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
    std::count_if(m_entries.begin(), m_entries.end(), [](const auto& aTaskEntry) {
      return aTaskEntry.second.m_state == AttemptStatus::Running;
    }));
}

WorkerReply
WorkerModel::Handle(const WorkerCall& aCall, Instant aNow)
{
  Advance(aNow);
  WorkerReply reply;
  reply.m_boot = m_boot;
  reply.m_draining = m_draining;
  if (m_fencing && aCall.m_epoch < m_highestEpoch) {
    reply.m_status = WorkerReplyStatus::Fenced;
    return reply;
  }
  m_highestEpoch = std::max(m_highestEpoch, aCall.m_epoch);
  std::visit(Overloaded{
               [&](const StartCall& aStart) { reply.m_status = Start(aStart, aNow); },
               [&](const RenewCall& aRenew) {
                 for (const TaskAttempt& attempt : aRenew.m_attempts) {
                   const std::map<TaskId, Entry>::iterator it = m_entries.find(attempt.m_task);
                   if (it != m_entries.end() && it->second.m_attempt == attempt.m_attempt) {
                     it->second.m_leaseUntil = aNow + std::chrono::milliseconds(aRenew.m_leaseMs);
                   }
                 }
               },
               [&](const StopCall& aStop) { Stop(aStop.m_taskAttempt, aNow); },
               [&](const ThrottleCall&) {},
               [&](const ForgetCall& aForget) {
                 for (const TaskAttempt& attempt : aForget.m_attempts) {
                   const std::map<TaskId, Entry>::iterator it = m_entries.find(attempt.m_task);
                   if (it != m_entries.end() && it->second.m_attempt == attempt.m_attempt &&
                       it->second.m_state != AttemptStatus::Running) {
                     it->second.m_forgotten = true;
                   }
                 }
               },
               [&](const ListCall&) { reply = BuildListReply(); },
             },
             aCall.m_body);
  return reply;
}

WorkerReplyStatus
WorkerModel::Start(const StartCall& aCall, Instant aNow)
{
  const std::map<TaskId, Entry>::iterator it = m_entries.find(aCall.m_taskAttempt.m_task);
  if (it != m_entries.end() && it->second.m_attempt >= aCall.m_taskAttempt.m_attempt) {
    const bool sameAttempt = it->second.m_attempt == aCall.m_taskAttempt.m_attempt;
    return sameAttempt && it->second.m_state == AttemptStatus::Running
             ? WorkerReplyStatus::Ok
             : WorkerReplyStatus::KnownAttempt;
  }
  if (m_draining) {
    return WorkerReplyStatus::Draining;
  }
  const TaskBehavior behavior = BehaviorOf(aCall.m_kind);
  const Duration progress(std::strtoll(aCall.m_checkpoint.c_str(), nullptr, 10));
  Entry& entry = m_entries[aCall.m_taskAttempt.m_task];
  entry = Entry{};
  entry.m_attempt = aCall.m_taskAttempt.m_attempt;
  entry.m_kind = aCall.m_kind;
  entry.m_size = aCall.m_size;
  entry.m_leaseUntil = aNow + std::chrono::milliseconds(aCall.m_leaseMs);
  entry.m_startedAt = aNow;
  entry.m_initialProgress = progress;
  entry.m_endsAt = m_failsAll ? aNow + kFailureDelay
                              : aNow + std::max(behavior.m_runTime - progress, kFailureDelay);
  entry.m_fails = m_failsAll;
  entry.m_historyIndex = m_history.size();
  m_history.push_back(
    AttemptRecord{ aCall.m_taskAttempt, aNow, Instant::max(), AttemptStatus::Running, progress });
  return WorkerReplyStatus::Ok;
}

void
WorkerModel::End(Entry& aEntry, AttemptStatus aState, Instant aNow)
{
  aEntry.m_state = aState;
  m_history[aEntry.m_historyIndex].m_to = aNow;
  m_history[aEntry.m_historyIndex].m_state = aState;
}

void
WorkerModel::Stop(const TaskAttempt& aAttempt, Instant aNow)
{
  Entry& entry = m_entries[aAttempt.m_task];
  if (entry.m_attempt < aAttempt.m_attempt) {
    // The worker does not know this attempt: record it as stopped, so that a late start is
    // rejected.
    entry = Entry{};
    entry.m_attempt = aAttempt.m_attempt;
    entry.m_state = AttemptStatus::Stopped;
    entry.m_historyIndex = m_history.size();
    m_history.push_back(AttemptRecord{ aAttempt, aNow, aNow, AttemptStatus::Stopped, {} });
    return;
  }
  if (entry.m_attempt != aAttempt.m_attempt || entry.m_state != AttemptStatus::Running) {
    return;
  }
  if (BehaviorOf(entry.m_kind).m_checkpoints) {
    const Duration progress = entry.m_initialProgress + (aNow - entry.m_startedAt);
    entry.m_checkpoint = std::to_string(progress.count());
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
WorkerModel::BuildListReply() const
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
    const TaskBehavior behavior = BehaviorOf(entry.m_kind);
    reply.m_attempts.push_back(ReportedAttempt{ TaskAttempt{ task, entry.m_attempt },
                                                entry.m_state,
                                                entry.m_kind,
                                                entry.m_checkpoint,
                                                behavior.m_peak,
                                                entry.m_size });
    reply.m_usedMilliCores +=
      entry.m_state == AttemptStatus::Running ? behavior.m_peak.m_milliCores : 0;
  }
  return reply;
}

} // namespace egretturn
