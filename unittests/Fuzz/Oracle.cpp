// The oracle: checks executions and responses against the promises.
#include "World.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>
#include <sstream>

namespace egretturn::fuzz {

void
World::AddViolation(Promise aPromise, std::string aText)
{
  m_violations.push_back(Violation{ aPromise, std::move(aText), m_now });
}

std::string
World::Report() const
{
  std::ostringstream text;
  for (const Violation& violation : m_violations) {
    text << NameOf(violation.m_promise) << " at "
         << ToMillis(violation.m_at.time_since_epoch() - std::chrono::hours(1))
         << " ms: " << violation.m_text << '\n';
  }
  return text.str();
}

/// Checks the attempts of the worker against the promises. Called after each change at the worker.
void
World::CheckWorker(size_t aWorker)
{
  FakeWorker& worker = m_workers[aWorker];
  const Resources capacity = worker.m_model.Size() - Resources{ 4'000, 8'000, 0 };
  if (!worker.m_model.Reserved().FitsIn(capacity)) {
    AddViolation(Promise::Capacity,
                 "more is reserved on " + worker.m_address + " than its capacity");
  }
  const std::vector<AttemptRecord>& history = worker.m_model.History();
  for (; worker.m_checkedRecords < history.size(); ++worker.m_checkedRecords) {
    const AttemptRecord& record = history[worker.m_checkedRecords];
    if (record.m_from == record.m_to) {
      continue; // stopped before it ran
    }
    if (m_now - kDrainGrace > worker.m_drainingSince) {
      AddViolation(Promise::Leaving,
                   "a task started on " + worker.m_address + ", which is draining");
    }
    std::vector<std::pair<size_t, size_t>>& attempts =
      m_attemptsByTask[record.m_taskAttempt.m_task];
    const std::string name = std::to_string(record.m_taskAttempt.m_task.m_job) + "/" +
                             std::to_string(record.m_taskAttempt.m_task.m_index);
    for (const std::pair<uint64_t, uint64_t>& otherRecordEntry : attempts) {
      const uint64_t otherWorker = otherRecordEntry.first;
      const uint64_t otherRecord = otherRecordEntry.second;
      FakeWorker& otherFake = m_workers[otherWorker];
      otherFake.m_model.Advance(m_now);
      const AttemptRecord& other = otherFake.m_model.History()[otherRecord];
      if (other.m_to > record.m_from) {
        AddViolation(Promise::OnePlace,
                     "task " + name + " attempt " + std::to_string(record.m_taskAttempt.m_attempt) +
                       " started on " + worker.m_address + " while attempt " +
                       std::to_string(other.m_taskAttempt.m_attempt) + " ran on " +
                       otherFake.m_address);
      }
      // The end of a task may remain unknown only if its worker was disconnected or rebooted.
      if (other.m_state == AttemptStatus::Finished &&
          otherFake.m_reboots + otherFake.m_disconnects == 0) {
        AddViolation(Promise::ResumeOnce, "task " + name + " ran again after it had finished");
      }
    }
    attempts.emplace_back(aWorker, worker.m_checkedRecords);
  }
}

void
World::CheckConfigOf(size_t aNode)
{
  Node& node = m_nodes[aNode];
  if (!node.m_core) {
    return;
  }
  const Replica& replica = node.m_core->State().m_replica;
  const uint64_t version = replica.ConfigVersion();
  if (version < node.m_configSeen) {
    AddViolation(Promise::ConfigForward, node.m_settings.m_id + " reverted to an earlier version");
  }
  if (version == node.m_configSeen) {
    return;
  }
  node.m_configSeen = version;
  const std::string text = PrintDocument(replica.Objects());
  const std::map<uint64_t, std::string>::iterator it = m_configs.emplace(version, text).first;
  if (it->second != text) {
    AddViolation(Promise::ConfigForward,
                 "version " + std::to_string(version) + " differs between instances");
  }
}

bool
World::IsSettled()
{
  for (const Node& node : m_nodes) {
    if (!node.m_core || !node.m_core->State().m_ready || !node.m_waiting.empty() ||
        node.m_core->State().m_writer.PendingEntries() > 0 ||
        !node.m_core->State().IsLogCurrent()) {
      return false;
    }
    const JobTable& jobs = node.m_core->State().m_replica.Jobs();
    if (std::any_of(m_jobs.begin(), m_jobs.end(), [&jobs](JobId aId) { return !jobs.Find(aId); })) {
      return false;
    }
    for (const std::pair<const JobId, Job>& jobEntry :
         node.m_core->State().m_replica.Jobs().All()) {
      const Job& job = jobEntry.second;
      if (job.m_local && job.m_ended < job.m_tasks.size()) {
        return false;
      }
    }
  }
  return std::all_of(m_workers.begin(), m_workers.end(), [this](FakeWorker& aWorker) {
    aWorker.m_model.Advance(m_now);
    return aWorker.m_model.Running() == 0;
  });
}

std::string
World::DescribeUnsettled() const
{
  std::ostringstream text;
  for (const Node& node : m_nodes) {
    text << node.m_settings.m_id << ": ";
    if (!node.m_core) {
      text << "down; ";
      continue;
    }
    const Context& state = node.m_core->State();
    text << (state.m_ready ? "" : "not ready (" + state.m_notReadyReason + ") ") << "waiting "
         << node.m_waiting.size() << " entries " << state.m_writer.PendingEntries()
         << (state.IsLogCurrent() ? "" : " log not current");
    for (const std::pair<const JobId, Job>& jobEntry : state.m_replica.Jobs().All()) {
      const uint64_t id = jobEntry.first;
      const Job& job = jobEntry.second;
      if (job.m_local && job.m_ended < job.m_tasks.size()) {
        text << " job " << id << ' ' << egretturn::NameOf(job.Phase()) << ' ' << job.m_ended << '/'
             << job.m_tasks.size();
        for (uint32_t i = 0; i < job.m_tasks.size(); ++i) {
          const TaskState& task = job.m_tasks[i];
          if (task.m_phase == TaskPhase::Waiting || task.m_phase == TaskPhase::Started) {
            const std::string& rack = state.m_replica.Jobs().RackOf(TaskId{ id, i });
            const RackOwner* owner = state.m_replica.Racks().Find(rack);
            text << " [" << i << ' ' << egretturn::NameOf(task.m_phase) << " attempt "
                 << task.m_attempt << ' ' << rack << " of "
                 << (owner ? owner->m_owner.m_id : "nobody") << ']';
          }
        }
      }
    }
    for (const std::pair<const std::string, OwnedRack>& rackEntry : node.m_core->Racks().Racks()) {
      const OwnedRack& rack = rackEntry.second;
      for (const std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
        const OwnedWorker& worker = workerEntry.second;
        for (const std::pair<const TaskAttempt, OwnedAttempt>& attemptEntry : worker.m_attempts) {
          const TaskAttempt& taskAttempt = attemptEntry.first;
          const OwnedAttempt& attempt = attemptEntry.second;
          text << " {" << worker.m_address << ' ' << taskAttempt.m_task.m_index << " phase "
               << static_cast<int>(attempt.m_phase) << (attempt.m_recorded ? " recorded" : "")
               << (attempt.m_adopted ? " adopted" : "")
               << (attempt.m_endToken != 0 ? " ending" : "")
               << (worker.AcceptsWork() ? "" : " unusable") << '}';
        }
      }
    }
    text << "; ";
  }
  for (const FakeWorker& worker : m_workers) {
    text << worker.m_address << " running " << worker.m_model.Running() << "; ";
  }
  return text.str();
}

void
World::CheckEnd()
{
  for (size_t i = 0; i < m_workers.size(); ++i) {
    CheckWorker(i);
  }
  for (size_t i = 0; i < m_callers.size(); ++i) {
    const CallerRecord& caller = m_callers[i];
    if (!caller.m_responded && !caller.m_nodeKilled) {
      AddViolation(Promise::Liveness, "caller " + std::to_string(i) + " received no response");
    }
  }
  for (const JobId id : m_jobs) {
    for (const Node& node : m_nodes) {
      const Job* job = node.m_core ? node.m_core->State().m_replica.Jobs().Find(id) : nullptr;
      if (node.m_core && !job) {
        AddViolation(Promise::Liveness,
                     node.m_settings.m_id + " does not know job " + std::to_string(id));
      }
    }
  }
  if (!IsSettled()) {
    AddViolation(Promise::Liveness, "unfinished work after healing: " + DescribeUnsettled());
  }
}

} // namespace egretturn::fuzz
