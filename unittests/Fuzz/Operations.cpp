// Operations of operators and callers, and fault injection.
#include "World.h"

#include <algorithm>

namespace egretturn::fuzz {

using std::chrono::milliseconds;
using std::chrono::seconds;

void
World::Kill(size_t aNode)
{
  Node& node = m_nodes[aNode];
  if (!node.m_core) {
    return;
  }
  for (CallerRecord& caller : m_callers) {
    if (caller.m_node == aNode && caller.m_incarnation == node.m_incarnation &&
        !caller.m_responded) {
      caller.m_nodeKilled = true;
    }
  }
  node.m_core.reset();
  node.m_waiting.clear();
  node.m_requests.clear();
  node.m_callerOf.clear();
  node.m_responses.clear();
  node.m_commands.clear();
}

void
World::Pause(size_t aNode, Duration aTime)
{
  if (m_nodes[aNode].m_core) {
    m_nodes[aNode].m_pausedUntil = m_now + aTime;
  }
}

void
World::PauseAtNextCall(size_t aNode, Duration aTime)
{
  m_nodes[aNode].m_pauseAtCall = aTime;
}

void
World::Shutdown(size_t aNode)
{
  RunOnNode(
    aNode, m_nodes[aNode].m_incarnation, [this, aNode] { Step(aNode, ShutdownRequested{}); });
}

void
World::CutZone(size_t aZone, bool aCut)
{
  m_zoneCut[aZone] = aCut;
}

void
World::CutNodeFromLog(size_t aNode, bool aCut)
{
  m_nodes[aNode].m_logCut = aCut;
}

void
World::CutNodes(size_t aLeft, size_t aRight, bool aCut)
{
  const std::pair<size_t, size_t> pair = std::minmax(aLeft, aRight);
  if (aCut) {
    m_cutNodePairs.insert(pair);
  } else {
    m_cutNodePairs.erase(pair);
  }
}

void
World::CutWorker(size_t aWorker, bool aCut)
{
  FakeWorker& worker = m_workers[aWorker];
  worker.m_disconnects += aCut && !worker.m_cut ? 1 : 0;
  worker.m_cut = aCut;
}

void
World::RebootWorker(size_t aWorker)
{
  ++m_workers[aWorker].m_reboots;
  CheckWorker(aWorker);
  m_workers[aWorker].m_model.Reboot(m_random.Next(), m_now);
}

void
World::SetWorkerFailsAll(size_t aWorker, bool aFails)
{
  m_workers[aWorker].m_model.SetFailAllTasks(aFails);
}

void
World::SetWorkerDraining(size_t aWorker, bool aDraining)
{
  FakeWorker& worker = m_workers[aWorker];
  worker.m_drainingSince = aDraining ? std::min(worker.m_drainingSince, m_now) : Instant::max();
  worker.m_model.SetDraining(aDraining);
}

size_t
World::Request(size_t aNode, const std::string& aRequest, const std::string& aKey)
{
  Node& node = m_nodes[aNode];
  const size_t caller = m_callers.size();
  CallerRecord record;
  record.m_node = aNode;
  record.m_incarnation = node.m_incarnation;
  record.m_key = aKey;
  record.m_at = m_now;
  m_callers.push_back(record);
  if (!node.m_core || node.m_exiting) {
    m_callers[caller].m_nodeKilled = true;
    return caller;
  }
  RequestArrived arrived;
  arrived.m_id = node.m_nextRequest++;
  arrived.m_service = "desk";
  arrived.m_request = aRequest;
  arrived.m_key = aKey;
  arrived.m_bodyHash = HashBytes(aKey);
  arrived.m_bodyBytes = 100;
  node.m_requests[arrived.m_id] = arrived;
  node.m_callerOf[arrived.m_id] = caller;
  node.m_arrivedAt[arrived.m_id] = m_now;
  const RequestId id = arrived.m_id;
  node.m_waiting[id] = [this, aNode, caller, id](const CompleteRequest& aCompletion) {
    CallerRecord& callerRecord = m_callers[caller];
    callerRecord.m_responded = true;
    callerRecord.m_outcome = aCompletion.m_outcome;
    if (aCompletion.m_outcome == Outcome::NotRun && callerRecord.m_runCount > 0) {
      AddViolation(Promise::NotRunIsTrue, "a request ran although it was reported as not run");
    }
    if (aCompletion.m_outcome != Outcome::Done) {
      return;
    }
    callerRecord.m_responseOf = aCompletion.m_recordedStatus != 0
                                  ? std::strtoull(aCompletion.m_recordedBody.c_str(), nullptr, 10)
                                  : m_nodes[aNode].m_responses[{ id, aCompletion.m_attempt }];
    const bool own = callerRecord.m_responseOf == caller + 1;
    const bool sameKey = callerRecord.m_responseOf > 0 && !callerRecord.m_key.empty() &&
                         m_callers[callerRecord.m_responseOf - 1].m_key == callerRecord.m_key;
    if (!own && !sameKey) {
      AddViolation(Promise::WholeAnswer, "a caller received the response to another request");
    }
  };
  RunOnNode(aNode, node.m_incarnation, [this, aNode, arrived] { Step(aNode, arrived); });
  return caller;
}

void
World::Command(size_t aNode, CommandBody aBody, std::function<void(const ReplyCommand&)> aReply)
{
  Node& node = m_nodes[aNode];
  if (!node.m_core) {
    return;
  }
  const CommandId id = m_nextCommand++;
  node.m_commands[id] = std::move(aReply);
  RunOnNode(aNode, node.m_incarnation, [this, aNode, id, body = std::move(aBody)] {
    Step(aNode, CommandArrived{ id, body });
  });
}

void
World::Publish(size_t aNode, const std::string& aToml)
{
  if (!m_nodes[aNode].m_core) {
    return;
  }
  const Replica& replica = m_nodes[aNode].m_core->State().m_replica;
  const tl::expected<Document, Errors> wanted = ParseDocument(aToml, "fuzz");
  PublishCommand command;
  command.m_publish.m_base = replica.ConfigVersion();
  command.m_publish.m_changes = Difference(replica.Objects(), *wanted);
  Command(aNode, command, [this, base = command.m_publish.m_base](const ReplyCommand& aReply) {
    if (!aReply.m_error && !m_acceptedBases.insert(base).second) {
      AddViolation(Promise::ConfigForward, "two publishes against one base were accepted");
    }
    m_publishAccepted += aReply.m_error ? 0 : 1;
    m_publishConflicts += aReply.m_error && aReply.m_error->m_kind == ErrorKind::Conflict ? 1 : 0;
  });
}

void
World::PublishDrain(size_t aNode, size_t aWorker, bool aDrain)
{
  std::string toml = BaseConfig();
  if (aDrain) {
    toml += "[drain.one]\nworker = \"" + m_workers[aWorker].m_address + "\"\n";
  }
  Publish(aNode, toml);
}

void
World::SubmitJob(size_t aNode,
                 const std::string& aKey,
                 const std::string& aKind,
                 uint32_t aTasks,
                 bool aUrgent)
{
  SubmitCommand command;
  command.m_job.m_key = aKey;
  command.m_job.m_kind = aKind;
  command.m_job.m_team = aTasks % 2 == 0 ? "one" : "two";
  command.m_job.m_tasks = aTasks;
  command.m_job.m_urgent = aUrgent;
  Command(aNode, command, [this](const ReplyCommand& aReply) {
    if (!aReply.m_error) {
      const JobId id = aReply.m_body["id"].get<JobId>();
      if (std::find(m_jobs.begin(), m_jobs.end(), id) == m_jobs.end()) {
        m_jobs.push_back(id);
      }
    }
  });
}

void
World::CancelJob(size_t aNode, size_t aJob)
{
  if (!m_jobs.empty()) {
    Command(aNode, CancelCommand{ m_jobs[aJob % m_jobs.size()] }, [](const ReplyCommand&) {});
  }
}

void
World::Heal()
{
  m_healed = true;
  m_faults = Faults{};
  m_cutNodePairs.clear();
  m_zoneCut.assign(m_zoneCut.size(), false);
  for (size_t i = 0; i < m_workers.size(); ++i) {
    CutWorker(i, false);
    SetWorkerFailsAll(i, false);
    SetWorkerDraining(i, false);
  }
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    m_nodes[i].m_logCut = false;
    Start(i);
  }
}

} // namespace egretturn::fuzz
