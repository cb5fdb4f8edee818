#include "egretturn/Core/Operators.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>
#include <set>

namespace egretturn {

static constexpr Duration kCommandTimeout = std::chrono::seconds(8);
static constexpr uint32_t kMaxTasksPerJob = 20'000;
static constexpr size_t kMaxKeyLength = 128;
static constexpr size_t kMaxListedJobs = 200;
static constexpr size_t kMaxExplainedTasks = 20;

OperatorController::OperatorController(Context& aContext,
                                       RackController& aRacks,
                                       const TaskController& aTasks,
                                       const RequestController& aRequests)
  : m_context(aContext)
  , m_racks(aRacks)
  , m_tasks(aTasks)
  , m_requests(aRequests)
{
}

void
OperatorController::Reply(CommandId aId, Json aBody)
{
  m_context.Emit(ReplyCommand{ aId, std::nullopt, std::move(aBody) });
}

void
OperatorController::ReplyError(CommandId aId, Error aError)
{
  m_context.Emit(ReplyCommand{ aId, std::move(aError), Json() });
}

void
OperatorController::AppendAndAwait(CommandId aId, Stream aStream, Entry aEntry)
{
  const std::optional<EntryToken> token = m_context.m_writer.Append(aStream, std::move(aEntry));
  if (!token) {
    ReplyError(aId,
               Error{ ErrorKind::Overloaded, "too many records are pending", "retry after 5 s" });
    return;
  }
  m_pendingCommands[*token] = PendingCommand{ aId, m_context.m_now };
}

void
OperatorController::OnCommand(const CommandArrived& aCommand)
{
  const CommandId id = aCommand.m_id;
  std::visit(Overloaded{
               [&](const PublishCommand& aBody) { Publish(id, aBody.m_publish); },
               [&](const SubmitCommand& aBody) { Submit(id, aBody.m_job); },
               [&](const CancelCommand& aBody) { Cancel(id, aBody.m_job); },
               [&](const JobQuery& aBody) { ReplyJob(id, aBody.m_job, false); },
               [&](const ExplainQuery& aBody) { ReplyJob(id, aBody.m_job, true); },
               [&](const JobListQuery&) {
                 Json rows = Json::array();
                 const std::map<JobId, Job>& jobs = m_context.m_replica.Jobs().All();
                 for (std::map<JobId, Job>::const_reverse_iterator it = jobs.rbegin();
                      it != jobs.rend() && rows.size() < kMaxListedJobs;
                      ++it) {
                   rows.push_back(JobJson(it->second));
                 }
                 Reply(id, Json{ { "jobs", std::move(rows) } });
               },
               [&](const ConfigQuery&) {
                 Reply(
                   id,
                   Json{ { "version", m_context.m_replica.ConfigVersion() },
                         { "toml", PrintDocument(m_context.m_replica.Objects()) },
                         { "history", Encode(m_context.m_replica.History(), FieldStyle::Named) } });
               },
               [&](const StatusQuery&) { Reply(id, StatusJson()); },
               [&](const WorkersQuery&) { Reply(id, WorkersJson()); },
               [&](const InstancesQuery&) { Reply(id, InstancesJson()); },
             },
             aCommand.m_body);
}

void
OperatorController::Publish(CommandId aId, const ConfigPublish& aPublish)
{
  const uint64_t version = m_context.m_replica.ConfigVersion();
  if (!m_context.IsLogCurrent()) {
    ReplyError(aId,
               Error{ ErrorKind::Unavailable, "the log is unreachable", "publish again later" });
    return;
  }
  if (aPublish.m_base != version) {
    ReplyError(aId,
               Error{ ErrorKind::Conflict,
                      "the base is version " + std::to_string(aPublish.m_base) + " but version " +
                        std::to_string(version) + " is in force",
                      "compare with the version in force, merge and publish again" });
    return;
  }
  Document next = m_context.m_replica.Objects();
  ApplyChanges(next, aPublish.m_changes);
  const tl::expected<Model, Errors> model = CheckDocument(next);
  if (!model) {
    std::string text;
    for (const Error& error : model.error()) {
      text += (text.empty() ? "" : "\n") + error.Text();
    }
    ReplyError(aId, Error{ ErrorKind::BadInput, text, "correct the objects named above" });
    return;
  }
  AppendAndAwait(aId, Stream::Config, aPublish);
}

Expected<void>
OperatorController::CheckJob(const JobSubmit& aJob) const
{
  const Model& model = m_context.Config();
  if (aJob.m_key.empty() || aJob.m_key.size() > kMaxKeyLength) {
    return Fail(ErrorKind::BadInput,
                "key: is missing or longer than " + std::to_string(kMaxKeyLength),
                "give each job a unique key");
  }
  if (!model.m_kinds.contains(aJob.m_kind)) {
    return Fail(ErrorKind::BadInput,
                "kind: no kind '" + aJob.m_kind + "' in the configuration",
                "name a kind that `egretturn config show` lists");
  }
  if (!model.m_teams.contains(aJob.m_team)) {
    return Fail(ErrorKind::BadInput,
                "team: no team '" + aJob.m_team + "' in the configuration",
                "name a team that `egretturn config show` lists");
  }
  if (aJob.m_tasks == 0 || aJob.m_tasks > kMaxTasksPerJob) {
    return Fail(ErrorKind::BadInput,
                "tasks: " + std::to_string(aJob.m_tasks) + " is out of range",
                "use 1 to " + std::to_string(kMaxTasksPerJob));
  }
  for (const JobId dependency : aJob.m_after) {
    const Job* job = m_context.m_replica.Jobs().Find(dependency);
    if (!job || !job->m_local) {
      return Fail(ErrorKind::BadInput,
                  "after: job " + std::to_string(dependency) +
                    " does not run in this availability zone",
                  "name a job of availability zone " + m_context.m_settings.m_zone);
    }
  }
  return {};
}

/// Selects the racks of the kind in this availability zone, or else in the first availability zone
/// that has any. The tasks are spread over these racks.
Expected<void>
OperatorController::ChooseRacks(JobSubmit& aJob) const
{
  const Model& model = m_context.Config();
  std::map<std::string, std::set<std::string>> racksByZone;
  for (const std::string& name : model.m_kinds.find(aJob.m_kind)->second.m_pools) {
    const Pool& pool = model.m_pools.find(name)->second;
    racksByZone[pool.m_zone].insert(pool.m_rack);
  }
  if (racksByZone.empty()) {
    return Fail(ErrorKind::BadInput, "kind: has no pools", "publish a configuration with pools");
  }
  const bool here = racksByZone.contains(m_context.m_settings.m_zone);
  aJob.m_zone = here ? m_context.m_settings.m_zone : racksByZone.begin()->first;
  const std::set<std::string>& racks = racksByZone[aJob.m_zone];
  aJob.m_racks.assign(racks.begin(), racks.end());
  const size_t first = HashBytes(aJob.m_key) % aJob.m_racks.size();
  std::rotate(
    aJob.m_racks.begin(), aJob.m_racks.begin() + static_cast<long>(first), aJob.m_racks.end());
  return {};
}

void
OperatorController::Submit(CommandId aId, JobSubmit aJob)
{
  if (!m_context.m_ready || !m_context.IsLogCurrent()) {
    ReplyError(aId,
               Error{ ErrorKind::Unavailable,
                      "jobs cannot be accepted: " +
                        (m_context.m_ready ? "the log is unreachable" : m_context.m_notReadyReason),
                      "submit again with the same key after 5 s" });
    return;
  }
  Expected<void> checked = CheckJob(aJob);
  if (checked) {
    checked = ChooseRacks(aJob);
  }
  if (!checked) {
    ReplyError(aId, checked.error());
    return;
  }
  const JobTable& jobs = m_context.m_replica.Jobs();
  if (!jobs.FindByKey(aJob.m_key) && !jobs.HasRoomFor(aJob.m_tasks)) {
    ReplyError(aId,
               Error{ ErrorKind::Overloaded,
                      "the jobs that have not ended have too many tasks",
                      "submit again with the same key once jobs have ended, or cancel some" });
    return;
  }
  const BatchKind& kind = m_context.Config().m_kinds.find(aJob.m_kind)->second;
  aJob.m_restartable = aJob.m_restartable || kind.m_restartable;
  AppendAndAwait(aId, Stream::Intake, std::move(aJob));
}

void
OperatorController::Cancel(CommandId aId, JobId aJob)
{
  const Job* job = m_context.m_replica.Jobs().Find(aJob);
  if (!job) {
    ReplyError(aId,
               Error{ ErrorKind::NotFound,
                      "unknown job " + std::to_string(aJob),
                      "list the jobs with `egretturn job list`" });
    return;
  }
  if (!job->m_local) {
    ReplyError(
      aId,
      Error{ ErrorKind::Conflict,
             "job " + std::to_string(aJob) + " runs in availability zone " + job->m_spec.m_zone,
             "send the command to an instance there" });
    return;
  }
  if (job->m_cancelled || job->m_ended == job->m_tasks.size()) {
    Reply(aId, JobJson(*job));
    return;
  }
  AppendAndAwait(aId, Stream::Zone, JobCancel{ aJob });
}

void
OperatorController::OnApplied(const AppliedEntry& aApplied, EntryToken aToken)
{
  const std::map<EntryToken, PendingCommand>::iterator it = m_pendingCommands.find(aToken);
  if (aToken == 0 || it == m_pendingCommands.end()) {
    return;
  }
  const CommandId id = it->second.m_command;
  m_pendingCommands.erase(it);
  if (std::holds_alternative<ConfigPublish>(aApplied.m_entry)) {
    if (aApplied.m_effective) {
      Reply(id, Json{ { "version", aApplied.m_configVersion } });
    } else {
      ReplyError(id, aApplied.m_errors.front());
    }
    return;
  }
  if (std::holds_alternative<JobSubmit>(aApplied.m_entry)) {
    const SubmissionResult& submission = aApplied.m_submission;
    if (!submission.m_created && !submission.m_sameSpec) {
      ReplyError(id,
                 Error{ ErrorKind::Conflict,
                        "the key already belongs to job " + std::to_string(submission.m_id) +
                          ", which has a different specification",
                        "use a new key for a new job" });
      return;
    }
    Json body = JobJson(*m_context.m_replica.Jobs().Find(submission.m_id));
    body["duplicate"] = !submission.m_created;
    Reply(id, std::move(body));
    return;
  }
  if (const JobCancel* cancel = std::get_if<JobCancel>(&aApplied.m_entry)) {
    ReplyJob(id, cancel->m_job, false);
  }
}

void
OperatorController::Tick()
{
  for (std::map<EntryToken, PendingCommand>::iterator it = m_pendingCommands.begin();
       it != m_pendingCommands.end();) {
    if (m_context.m_now - it->second.m_appendedAt < kCommandTimeout) {
      ++it;
      continue;
    }
    ReplyError(it->second.m_command,
               Error{ ErrorKind::Unavailable,
                      "the result is unknown because the log did not respond in time",
                      "check whether it took effect, then repeat it with the same key or base" });
    it = m_pendingCommands.erase(it);
  }
}

Json
OperatorController::JobJson(const Job& aJob) const
{
  Json row{ { "id", aJob.m_id },
            { "key", aJob.m_spec.m_key },
            { "kind", aJob.m_spec.m_kind },
            { "team", aJob.m_spec.m_team },
            { "zone", aJob.m_spec.m_zone },
            { "tasks", aJob.m_spec.m_tasks } };
  if (!aJob.m_local) {
    row["state"] = "elsewhere";
    return row;
  }
  row["state"] = NameOf(aJob.Phase());
  row["finished"] = aJob.m_finished;
  row["running"] = aJob.m_started;
  row["ended"] = aJob.m_ended;
  row["cancelled"] = aJob.m_cancelled;
  if (!aJob.m_failReason.empty()) {
    row["reason"] = aJob.m_failReason;
  }
  return row;
}

Json
OperatorController::ExplainJson(const Job& aJob) const
{
  Json body = JobJson(aJob);
  Json rows = Json::array();
  for (uint32_t i = 0; i < aJob.m_tasks.size() && rows.size() < kMaxExplainedTasks; ++i) {
    const TaskState& task = aJob.m_tasks[i];
    const TaskId id{ aJob.m_id, i };
    const std::string& rack = m_context.m_replica.Jobs().RackOf(id);
    const RackOwner* owner = m_context.m_replica.Racks().Find(rack);
    Json row{ { "task", i },
              { "state", NameOf(task.m_phase) },
              { "attempt", task.m_attempt },
              { "rack", rack },
              { "decided_by", owner ? owner->m_owner.m_id : "nobody" } };
    if (const WaitReason* waitReason = m_tasks.FindWaitReason(id)) {
      row["waits_for"] = waitReason->m_text;
      row["waiting_ms"] = ToMillis(m_context.m_now - waitReason->m_since);
    }
    rows.push_back(std::move(row));
  }
  body["task_rows"] = std::move(rows);
  return body;
}

void
OperatorController::ReplyJob(CommandId aId, JobId aJob, bool aExplain)
{
  const Job* job = m_context.m_replica.Jobs().Find(aJob);
  if (!job) {
    ReplyError(aId,
               Error{ ErrorKind::NotFound,
                      "unknown job " + std::to_string(aJob),
                      "list the jobs with `egretturn job list`" });
    return;
  }
  Reply(aId, aExplain && job->m_local ? ExplainJson(*job) : JobJson(*job));
}

Json
OperatorController::StatusJson() const
{
  const RequestCounts& counts = m_requests.Counts();
  const Duration authority = m_context.AuthorityUntil() - m_context.m_now;
  return Json{ { "id", m_context.m_self.m_id },
               { "zone", m_context.m_settings.m_zone },
               { "region", m_context.m_settings.m_region },
               { "ready", m_context.m_ready },
               { "not_ready_reason", m_context.m_ready ? "" : m_context.m_notReadyReason },
               { "leaving", m_context.m_shuttingDown },
               { "config_version", m_context.m_replica.ConfigVersion() },
               { "log_fresh", m_context.IsLogCurrent() },
               { "authority_ms", std::max<int64_t>(0, ToMillis(authority)) },
               { "zone_offset", m_context.m_replica.AppliedOffset(Stream::Zone) },
               { "racks_owned", m_racks.Racks().size() },
               { "entries_waiting", m_context.m_writer.PendingEntries() },
               { "requests_active", m_requests.Active() },
               { "requests_done", counts.m_done },
               { "requests_not_run", counts.m_notRun },
               { "requests_unknown", counts.m_unknown } };
}

Json
OperatorController::WorkersJson() const
{
  Json rows = Json::array();
  for (const std::pair<const std::string, OwnedRack>& rackEntry : m_racks.Racks()) {
    const std::string& name = rackEntry.first;
    const OwnedRack& rack = rackEntry.second;
    for (const std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
      const OwnedWorker& worker = workerEntry.second;
      const Resources free = worker.m_ledger.FreeCapacity();
      rows.push_back(Json{ { "worker", worker.m_address },
                           { "rack", name },
                           { "epoch", rack.m_epoch },
                           { "owner", m_context.m_self.m_id },
                           { "takes_work", worker.AcceptsWork() },
                           { "leaving", worker.m_draining || worker.m_drainRequested },
                           { "tasks", worker.m_attempts.size() },
                           { "free_millicores", free.m_milliCores },
                           { "free_memory_mb", free.m_memoryMb } });
    }
  }
  return Json{ { "workers", std::move(rows) } };
}

Json
OperatorController::InstancesJson() const
{
  Json rows = Json::array();
  rows.push_back(Json{ { "id", m_context.m_self.m_id },
                       { "zone", m_context.m_settings.m_zone },
                       { "alive", true },
                       { "ready", m_context.m_ready },
                       { "leaving", m_context.m_shuttingDown },
                       { "config_version", m_context.m_replica.ConfigVersion() },
                       { "address", m_context.m_settings.m_listen } });
  for (const std::pair<const std::string, Member>& memberEntry : m_context.m_members.All()) {
    const std::string& id = memberEntry.first;
    const Member& member = memberEntry.second;
    rows.push_back(Json{ { "id", id },
                         { "zone", member.m_settings.m_zone },
                         { "alive", m_context.m_members.IsAlive(id, m_context.m_now) },
                         { "ready", member.m_lastHeartbeat.m_ready },
                         { "leaving", member.m_lastHeartbeat.m_shuttingDown },
                         { "config_version", member.m_lastHeartbeat.m_configVersion },
                         { "address", member.m_settings.m_httpAddress } });
  }
  return Json{ { "instances", std::move(rows) } };
}

} // namespace egretturn
