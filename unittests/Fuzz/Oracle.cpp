// The oracle: compares what ran and what was told with the promises.
#include "World.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>
#include <sstream>

namespace egretturn::fuzz {

void
World::Violate(Promise aPromise, std::string aText)
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

void
World::CheckWorker(size_t aWorker)
{
  FakeWorker& worker = m_workers[aWorker];
  const Resources room = worker.m_model.Size() - Resources{ 4'000, 8'000, 0 };
  if (!worker.m_model.Reserved().FitsIn(room)) {
    Violate(Promise::Capacity, "more is reserved on " + worker.m_address + " than it holds");
  }
  const std::vector<AttemptRecord>& history = worker.m_model.History();
  for (; worker.m_checked < history.size(); ++worker.m_checked) {
    const AttemptRecord& record = history[worker.m_checked];
    if (record.m_from == record.m_to) {
      continue; // stopped before it was seen
    }
    if (m_now - kLeavingGrace > worker.m_leavingSince) {
      Violate(Promise::Leaving, "a task started on " + worker.m_address + ", which is leaving");
    }
    std::vector<std::pair<size_t, size_t>>& runs = m_runsOf[record.m_taskAttempt.m_task];
    const std::string name = std::to_string(record.m_taskAttempt.m_task.m_job) + "/" +
                             std::to_string(record.m_taskAttempt.m_task.m_index);
    for (const std::pair<uint64_t, uint64_t>& otherRecordEntry : runs) {
      const uint64_t otherWorker = otherRecordEntry.first;
      const uint64_t otherRecord = otherRecordEntry.second;
      FakeWorker& elsewhere = m_workers[otherWorker];
      elsewhere.m_model.Advance(m_now);
      const AttemptRecord& other = elsewhere.m_model.History()[otherRecord];
      if (other.m_to > record.m_from) {
        Violate(Promise::OnePlace,
                "task " + name + " attempt " + std::to_string(record.m_taskAttempt.m_attempt) +
                  " started on " + worker.m_address + " while attempt " +
                  std::to_string(other.m_taskAttempt.m_attempt) + " ran on " + elsewhere.m_address);
      }
      // Only a worker that was lost may leave it unknown that the task had finished.
      if (other.m_state == AttemptStatus::Finished && elsewhere.m_reboots + elsewhere.m_cuts == 0) {
        Violate(Promise::ResumeOnce, "task " + name + " ran again after it had finished");
      }
    }
    runs.emplace_back(aWorker, worker.m_checked);
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
    Violate(Promise::ConfigForward, node.m_settings.m_id + " went back to an earlier version");
  }
  if (version == node.m_configSeen) {
    return;
  }
  node.m_configSeen = version;
  const std::string text = PrintDocument(replica.Objects());
  const std::map<uint64_t, std::string>::iterator it = m_configs.emplace(version, text).first;
  if (it->second != text) {
    Violate(Promise::ConfigForward,
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
World::DescribeLeft() const
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
         << (state.IsLogCurrent() ? "" : " log stale");
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
        for (const std::pair<const TaskAttempt, OwnedAttempt>& runEntry : worker.m_attempts) {
          const TaskAttempt& attempt = runEntry.first;
          const OwnedAttempt& run = runEntry.second;
          text << " {" << worker.m_address << ' ' << attempt.m_task.m_index << " phase "
               << static_cast<int>(run.m_phase) << (run.m_recorded ? " recorded" : "")
               << (run.m_adopted ? " adopted" : "") << (run.m_endToken != 0 ? " ending" : "")
               << (worker.TakesWork() ? "" : " unusable") << '}';
        }
      }
    }
    text << "; ";
  }
  for (const FakeWorker& worker : m_workers) {
    text << worker.m_address << " runs " << worker.m_model.Running() << "; ";
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
    if (!caller.m_answered && !caller.m_nodeKilled) {
      Violate(Promise::Liveness, "caller " + std::to_string(i) + " was never answered");
    }
  }
  for (const JobId id : m_jobs) {
    for (const Node& node : m_nodes) {
      const Job* job = node.m_core ? node.m_core->State().m_replica.Jobs().Find(id) : nullptr;
      if (node.m_core && !job) {
        Violate(Promise::Liveness,
                node.m_settings.m_id + " does not know job " + std::to_string(id));
      }
    }
  }
  if (!IsSettled()) {
    Violate(Promise::Liveness, "work is left after healing: " + DescribeLeft());
  }
}

} // namespace egretturn::fuzz
