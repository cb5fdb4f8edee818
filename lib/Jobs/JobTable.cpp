#include "egretturn/Jobs/JobTable.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/EnumTable.h"

#include <algorithm>
#include <cassert>

namespace egretturn {

static constexpr size_t kMaxJobs = 12'000;       // about one day at the largest site
static constexpr uint64_t kMaxTasks = 1'000'000; // of all jobs; ended jobs are discarded beyond it
static constexpr uint64_t kMaxOpenTasks = 500'000; // of jobs that have not ended

static constexpr EnumTable<TaskPhase, 5> kTaskPhases{ {
  { TaskPhase::Waiting, "waiting" },
  { TaskPhase::Started, "started" },
  { TaskPhase::Finished, "finished" },
  { TaskPhase::Failed, "failed" },
  { TaskPhase::Cancelled, "cancelled" },
} };

static constexpr EnumTable<JobPhase, 5> kJobPhases{ {
  { JobPhase::Waiting, "waiting" },
  { JobPhase::Running, "running" },
  { JobPhase::Finished, "finished" },
  { JobPhase::Failed, "failed" },
  { JobPhase::Cancelled, "cancelled" },
} };

std::string_view
NameOf(TaskPhase aPhase)
{
  return NameIn(kTaskPhases, aPhase);
}

std::string_view
NameOf(JobPhase aPhase)
{
  return NameIn(kJobPhases, aPhase);
}

static bool
IsFinal(TaskPhase aPhase)
{
  return aPhase != TaskPhase::Waiting && aPhase != TaskPhase::Started;
}

JobPhase
Job::Phase() const
{
  if (m_ended < m_tasks.size() || m_tasks.empty()) {
    return m_started > 0 || m_finished > 0 ? JobPhase::Running : JobPhase::Waiting;
  }
  if (m_finished == m_tasks.size()) {
    return JobPhase::Finished;
  }
  return m_failReason.empty() ? JobPhase::Cancelled : JobPhase::Failed;
}

JobTable::JobTable(std::string aZone)
  : m_zone(std::move(aZone))
{
}

uint16_t
JobTable::InternRack(const std::string& aRack)
{
  const auto [it, added] = m_rackIndexes.emplace(aRack, static_cast<uint16_t>(m_rackNames.size()));
  if (added) {
    m_rackNames.push_back(aRack);
  }
  return it->second;
}

void
JobTable::UpdateRackIndex(const Job& aJob, uint32_t aIndex, bool aAdd)
{
  const TaskState& task = aJob.m_tasks[aIndex];
  RackIndex& rack = m_racks[m_rackNames[task.m_rack]];
  const TaskId id{ aJob.m_id, aIndex };
  if (task.m_phase == TaskPhase::Waiting) {
    const WaitingTask waiting{ aJob.m_spec.m_urgent, id };
    aAdd ? (void)rack.m_waiting.insert(waiting) : (void)rack.m_waiting.erase(waiting);
  } else if (task.m_phase == TaskPhase::Started) {
    aAdd ? (void)rack.m_started.insert(id) : (void)rack.m_started.erase(id);
  }
}

void
JobTable::SetPhase(Job& aJob, uint32_t aIndex, TaskPhase aPhase)
{
  TaskState& task = aJob.m_tasks[aIndex];
  UpdateRackIndex(aJob, aIndex, false);
  aJob.m_started -= task.m_phase == TaskPhase::Started ? 1 : 0;
  task.m_phase = aPhase;
  aJob.m_started += aPhase == TaskPhase::Started ? 1 : 0;
  aJob.m_finished += aPhase == TaskPhase::Finished ? 1 : 0;
  aJob.m_ended += IsFinal(aPhase) ? 1 : 0;
  m_openTaskCount -= IsFinal(aPhase) ? 1 : 0;
  UpdateRackIndex(aJob, aIndex, true);
}

void
JobTable::AddJob(JobId aId, const JobSubmit& aSubmit)
{
  Job& job = m_jobs[aId];
  job.m_id = aId;
  job.m_spec = aSubmit;
  job.m_local = aSubmit.m_zone == m_zone && !aSubmit.m_racks.empty();
  m_byKey[aSubmit.m_key] = aId;
  m_taskCount += aSubmit.m_tasks;
  if (!job.m_local) {
    return;
  }
  m_openTaskCount += aSubmit.m_tasks;
  job.m_tasks.resize(aSubmit.m_tasks);
  for (uint32_t i = 0; i < aSubmit.m_tasks; ++i) {
    job.m_tasks[i].m_rack = InternRack(aSubmit.m_racks[i % aSubmit.m_racks.size()]);
    UpdateRackIndex(job, i, true);
  }
}

SubmissionResult
JobTable::Apply(JobId aId, const JobSubmit& aSubmit)
{
  if (const Job* existing = FindByKey(aSubmit.m_key)) {
    const JobSubmit& spec = existing->m_spec;
    const bool same = spec.m_kind == aSubmit.m_kind && spec.m_team == aSubmit.m_team &&
                      spec.m_tasks == aSubmit.m_tasks && spec.m_urgent == aSubmit.m_urgent;
    return SubmissionResult{ existing->m_id, false, same };
  }
  AddJob(aId, aSubmit);
  DiscardOldest();
  return SubmissionResult{ aId, true, true };
}

void
JobTable::DiscardOldest()
{
  // Only the oldest jobs are discarded, so that every instance discards the same ones.
  while (m_jobs.size() > kMaxJobs || m_taskCount > kMaxTasks) {
    const std::map<JobId, Job>::iterator oldest = m_jobs.begin();
    if (oldest->second.m_local && oldest->second.m_ended < oldest->second.m_tasks.size()) {
      return;
    }
    m_byKey.erase(oldest->second.m_spec.m_key);
    m_taskCount -= oldest->second.m_spec.m_tasks;
    m_jobs.erase(oldest);
  }
}

bool
JobTable::HasRoomFor(uint32_t aTasks) const
{
  return m_openTaskCount + aTasks <= kMaxOpenTasks;
}

TaskState*
JobTable::MutableTask(const TaskId& aTask)
{
  const std::map<JobId, Job>::iterator it = m_jobs.find(aTask.m_job);
  if (it == m_jobs.end() || aTask.m_index >= it->second.m_tasks.size()) {
    return nullptr;
  }
  return &it->second.m_tasks[aTask.m_index];
}

bool
JobTable::Apply(const TaskStart& aStart)
{
  TaskState* task = MutableTask(aStart.m_task);
  if (!task || task->m_phase != TaskPhase::Waiting || aStart.m_attempt != task->m_attempt + 1) {
    return false;
  }
  task->m_attempt = aStart.m_attempt;
  task->m_worker = aStart.m_worker;
  SetPhase(m_jobs[aStart.m_task.m_job], aStart.m_task.m_index, TaskPhase::Started);
  return true;
}

/// Returns the phase of a task of \p aJob after an attempt has ended for \p aReason.
static TaskPhase
PhaseAfterEnd(const Job& aJob, TaskEndReason aReason)
{
  if (aReason == TaskEndReason::Finished) {
    return TaskPhase::Finished;
  }
  if (!aJob.m_failReason.empty()) {
    return TaskPhase::Failed;
  }
  return aJob.m_cancelled ? TaskPhase::Cancelled : TaskPhase::Waiting;
}

bool
JobTable::Apply(const TaskEnd& aEnd)
{
  TaskState* task = MutableTask(aEnd.m_task);
  if (!task || task->m_phase != TaskPhase::Started || aEnd.m_attempt != task->m_attempt) {
    return false;
  }
  Job& job = m_jobs[aEnd.m_task.m_job];
  if (!aEnd.m_checkpoint.empty()) {
    task->m_checkpoint = aEnd.m_checkpoint;
  }
  const std::vector<WorkerId>& failed = task->m_failedOn;
  if (aEnd.m_reason == TaskEndReason::Failed &&
      std::find(failed.begin(), failed.end(), task->m_worker) == failed.end()) {
    task->m_failedOn.push_back(task->m_worker);
  }
  SetPhase(job, aEnd.m_task.m_index, PhaseAfterEnd(job, aEnd.m_reason));
  return true;
}

bool
JobTable::Apply(const TaskMove& aMove)
{
  TaskState* task = MutableTask(aMove.m_task);
  if (!task || task->m_phase != TaskPhase::Waiting) {
    return false;
  }
  const Job& job = m_jobs[aMove.m_task.m_job];
  UpdateRackIndex(job, aMove.m_task.m_index, false);
  task->m_rack = InternRack(aMove.m_rack);
  UpdateRackIndex(job, aMove.m_task.m_index, true);
  return true;
}

void
JobTable::EndWaitingTasks(Job& aJob, TaskPhase aPhase)
{
  for (uint32_t i = 0; i < aJob.m_tasks.size(); ++i) {
    if (aJob.m_tasks[i].m_phase == TaskPhase::Waiting) {
      SetPhase(aJob, i, aPhase);
    }
  }
}

bool
JobTable::Apply(const JobCancel& aCancel)
{
  const std::map<JobId, Job>::iterator it = m_jobs.find(aCancel.m_job);
  if (it == m_jobs.end() || !it->second.m_local || it->second.m_cancelled ||
      it->second.m_ended == it->second.m_tasks.size()) {
    return false;
  }
  it->second.m_cancelled = true;
  EndWaitingTasks(it->second, TaskPhase::Cancelled);
  return true;
}

bool
JobTable::Apply(const JobFail& aFail)
{
  const std::map<JobId, Job>::iterator it = m_jobs.find(aFail.m_job);
  if (it == m_jobs.end() || !it->second.m_local || !it->second.m_failReason.empty() ||
      it->second.m_cancelled || it->second.m_ended == it->second.m_tasks.size()) {
    return false;
  }
  it->second.m_failReason = aFail.m_reason;
  EndWaitingTasks(it->second, TaskPhase::Failed);
  return true;
}

const Job*
JobTable::Find(JobId aId) const
{
  const std::map<JobId, Job>::const_iterator it = m_jobs.find(aId);
  return it == m_jobs.end() ? nullptr : &it->second;
}

const Job*
JobTable::FindByKey(const std::string& aKey) const
{
  const std::unordered_map<std::string, JobId>::const_iterator it = m_byKey.find(aKey);
  return it == m_byKey.end() ? nullptr : Find(it->second);
}

const TaskState*
JobTable::FindTask(const TaskId& aTask) const
{
  const Job* job = Find(aTask.m_job);
  return job && aTask.m_index < job->m_tasks.size() ? &job->m_tasks[aTask.m_index] : nullptr;
}

const std::string&
JobTable::RackOf(const TaskId& aTask) const
{
  const TaskState* task = FindTask(aTask);
  assert(task && "the task must be known");
  return m_rackNames[task->m_rack];
}

const std::set<WaitingTask>&
JobTable::Waiting(const std::string& aRack) const
{
  static const std::set<WaitingTask> kNone;
  const std::unordered_map<std::string, RackIndex>::const_iterator it = m_racks.find(aRack);
  return it == m_racks.end() ? kNone : it->second.m_waiting;
}

const std::set<TaskId>&
JobTable::Started(const std::string& aRack) const
{
  static const std::set<TaskId> kNone;
  const std::unordered_map<std::string, RackIndex>::const_iterator it = m_racks.find(aRack);
  return it == m_racks.end() ? kNone : it->second.m_started;
}

bool
JobTable::DependenciesFinished(const Job& aJob) const
{
  return std::all_of(aJob.m_spec.m_after.begin(), aJob.m_spec.m_after.end(), [this](JobId aId) {
    const Job* dependency = Find(aId);
    return !dependency || dependency->Phase() == JobPhase::Finished;
  });
}

std::vector<JobTable::JobSpecEntry>
JobTable::Specs() const
{
  std::vector<JobSpecEntry> entries;
  entries.reserve(m_jobs.size());
  for (const std::pair<const JobId, Job>& jobEntry : m_jobs) {
    const uint64_t id = jobEntry.first;
    const Job& job = jobEntry.second;
    entries.push_back(JobSpecEntry{ id, job.m_spec });
  }
  return entries;
}

std::vector<JobTable::JobTasksEntry>
JobTable::Tasks() const
{
  std::vector<JobTasksEntry> entries;
  for (const std::pair<const JobId, Job>& jobEntry : m_jobs) {
    const uint64_t id = jobEntry.first;
    const Job& job = jobEntry.second;
    if (job.m_local) {
      entries.push_back(JobTasksEntry{ id, job.m_cancelled, job.m_failReason, job.m_tasks });
    }
  }
  return entries;
}

void
JobTable::RestoreSpecs(const std::vector<JobSpecEntry>& aEntries)
{
  for (const JobSpecEntry& entry : aEntries) {
    if (!m_jobs.contains(entry.m_id)) {
      AddJob(entry.m_id, entry.m_spec);
    }
  }
}

void
JobTable::RestoreTasks(const std::vector<std::string>& aRackNames,
                       const std::vector<JobTasksEntry>& aEntries)
{
  for (const JobTasksEntry& entry : aEntries) {
    const std::map<JobId, Job>::iterator it = m_jobs.find(entry.m_id);
    if (it == m_jobs.end()) {
      continue;
    }
    Job& job = it->second;
    job.m_cancelled = entry.m_cancelled;
    job.m_failReason = entry.m_failReason;
    for (uint32_t i = 0; i < entry.m_tasks.size() && i < job.m_tasks.size(); ++i) {
      const TaskState& saved = entry.m_tasks[i];
      const TaskPhase phase = saved.m_phase;
      if (IsFinal(job.m_tasks[i].m_phase) || saved.m_rack >= aRackNames.size()) {
        continue;
      }
      UpdateRackIndex(job, i, false);
      job.m_started -= job.m_tasks[i].m_phase == TaskPhase::Started ? 1 : 0;
      job.m_tasks[i] = saved;
      job.m_tasks[i].m_rack = InternRack(aRackNames[saved.m_rack]);
      job.m_tasks[i].m_phase = TaskPhase::Waiting;
      SetPhase(job, i, phase);
    }
  }
}

} // namespace egretturn
