#include "Judge.h"

#include <boost/json.hpp>

#include <iostream>
#include <sstream>

namespace egretturn::review {

namespace json = boost::json;

static constexpr int64_t kEarlyMs = 250; // early_ms

std::string
JobSpec::Body() const
{
  json::array steps;
  for (const Step& step : m_steps) {
    json::object row{ { "count", step.m_count },
                      { "cpu", step.m_cpu },
                      { "mem_mb", step.m_memoryMb },
                      { "est_ms", step.m_work.count() } };
    if (!step.m_dependencies.empty()) {
      row["deps"] = json::value_from(step.m_dependencies);
    }
    if (!step.m_label.empty()) {
      row["required_label"] = step.m_label;
    }
    if (step.m_maxPerServer > 0) {
      row["max_per_server"] = step.m_maxPerServer;
    }
    if (step.m_gang) {
      row["gang"] = true;
    }
    if (step.m_lasting) {
      row["long_running"] = true;
    }
    if (step.m_saves) {
      row["saves_progress"] = true;
    }
    steps.push_back(std::move(row));
  }
  json::object body{ { "spec", m_spec }, { "steps", std::move(steps) } };
  if (m_times > 0) {
    body["times"] = m_times;
    body["first_ms"] = m_firstMs;
    body["interval_ms"] = m_intervalMs;
  }
  return json::serialize(body);
}

std::optional<TaskName>
TaskName::Parse(const std::string& aText)
{
  std::istringstream stream(aText);
  TaskName name;
  char dot = 0;
  if (!std::getline(stream, name.m_job, '.') ||
      !(stream >> name.m_occurrence >> dot >> name.m_step >> dot >> name.m_index)) {
    return std::nullopt;
  }
  return name;
}

std::string
TaskName::StepName() const
{
  return m_job + "." + std::to_string(m_occurrence) + "." + std::to_string(m_step);
}

std::string
NameOf(End aEnd)
{
  switch (aEnd) {
    case End::Done:
      return "done";
    case End::Failed:
      return "failed";
    case End::Stopped:
      return "stopped";
    case End::Lapsed:
      return "lapsed";
    case End::Broken:
      return "broken";
    case End::Alone:
      return "alone";
  }
  return "";
}

Judge::Judge(const std::string& aRecordPath, int aAttempts, Millis aCancelTime)
  : m_record(aRecordPath)
  , m_attempts(aAttempts)
  , m_cancelTime(aCancelTime)
{
}

int64_t
Judge::ElapsedMs() const
{
  return std::chrono::duration_cast<Millis>(Clock::now() - m_begunAt).count();
}

void
Judge::Note(const std::string& aLine)
{
  m_record << ElapsedMs() << " ms  " << aLine << std::endl;
}

void
Judge::Break(const std::string& aRule, const std::string& aWhat)
{
  m_breaks.push_back(aRule + ": " + aWhat);
  Note("BROKEN " + m_breaks.back());
  std::cout << "BROKEN " << m_breaks.back() << std::endl;
}

void
Judge::OnCancelled(const std::string& aId)
{
  JobHistory& job = m_jobs[aId];
  if (job.m_cancelledMs < 0) {
    job.m_cancelledMs = ElapsedMs();
  }
}

const JobSpec*
Judge::FindJob(const std::string& aId) const
{
  const auto it = m_jobs.find(aId);
  return it == m_jobs.end() ? nullptr : &it->second.m_job;
}

bool
Judge::IsAccepted(const std::string& aId) const
{
  const auto it = m_jobs.find(aId);
  return it != m_jobs.end() && it->second.m_accepted;
}

bool
Judge::IsCancelled(const std::string& aId) const
{
  const auto it = m_jobs.find(aId);
  return it != m_jobs.end() && it->second.m_cancelledMs >= 0;
}

const Step*
Judge::FindStep(const std::string& aTask) const
{
  const std::optional<TaskName> name = TaskName::Parse(aTask);
  const JobSpec* job = name ? FindJob(name->m_job) : nullptr;
  const bool known = job && static_cast<size_t>(name->m_step) < job->m_steps.size();
  return known ? &job->m_steps[static_cast<size_t>(name->m_step)] : nullptr;
}

bool
Judge::IsTaskDone(const std::string& aTask) const
{
  const auto it = m_tasks.find(aTask);
  return it != m_tasks.end() && it->second.m_done;
}

/// Returns the name of the member \p aIndex of the step of \p aName.
static std::string
MemberName(const TaskName& aName, int aStep, int aIndex)
{
  return aName.m_job + "." + std::to_string(aName.m_occurrence) + "." + std::to_string(aStep) +
         "." + std::to_string(aIndex);
}

void
Judge::CheckOrder(const TaskName& aName, const JobSpec& aJob)
{
  for (const int dependency : aJob.m_steps[static_cast<size_t>(aName.m_step)].m_dependencies) {
    const Step& step = aJob.m_steps[static_cast<size_t>(dependency)];
    int done = 0;
    for (int i = 0; i < step.m_count; ++i) {
      done += IsTaskDone(MemberName(aName, dependency, i)) ? 1 : 0;
    }
    if (done < step.m_count && !(step.m_gang && done > 0)) {
      Break("ORDER", aName.StepName() + " starts before step " + std::to_string(dependency));
    }
  }
  const int64_t dueMs = aJob.m_firstMs + aName.m_occurrence * aJob.m_intervalMs;
  const int64_t nowMs =
    std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
  if (aJob.m_times > 0 && nowMs + kEarlyMs < dueMs) {
    Break("ORDER", aName.StepName() + " starts before its time");
  }
}

void
Judge::CheckWorker(const RunName& aRun,
                   const TaskName& aName,
                   const Step& aStep,
                   const WorkerView& aWorker)
{
  const std::vector<std::string>& labels = aWorker.m_labels;
  if (!aStep.m_label.empty() &&
      std::find(labels.begin(), labels.end(), aStep.m_label) == labels.end()) {
    Break("ROUTE", aRun.m_task + " needs " + aStep.m_label + ", and " + aWorker.m_id + " is not");
  }
  if (!m_services.contains(aWorker.m_service)) {
    Break("ROUTE", aRun.m_task + " on a worker of " + aWorker.m_service);
  }
  int siblings = 0;
  for (int i = 0; i < aStep.m_count; ++i) {
    const auto it = m_tasks.find(MemberName(aName, aName.m_step, i));
    if (it != m_tasks.end()) {
      siblings += static_cast<int>(std::count_if(
        it->second.m_running.begin(), it->second.m_running.end(), [&](const RunName& aOther) {
          return aOther.m_worker == aWorker.m_id;
        }));
    }
  }
  if (aStep.m_maxPerServer > 0 && siblings > aStep.m_maxPerServer) {
    Break("ROUTE", aRun.m_task + " beyond max_per_server on " + aWorker.m_id);
  }
  if (!aWorker.m_guards &&
      (aStep.m_cpu > aWorker.m_freeCpu || aStep.m_memoryMb > aWorker.m_freeMemoryMb)) {
    Break("LIMIT", aRun.m_task + " on " + aWorker.m_id);
  }
}

void
Judge::OnStart(const RunName& aRun,
               const std::string& aSpec,
               const std::string& aCheckpoint,
               const WorkerView& aWorker,
               bool aLate)
{
  Note("start " + aRun.m_task + " run " + std::to_string(aRun.m_run) + " on " + aRun.m_worker);
  const std::optional<TaskName> name = TaskName::Parse(aRun.m_task);
  const Step* step = FindStep(aRun.m_task);
  if (!step) {
    Break("UNASKED", aRun.m_task + " was not sent");
    return;
  }
  JobHistory& job = m_jobs.at(name->m_job);
  TaskHistory& task = m_tasks[aRun.m_task];
  ++job.m_starts;
  if (aSpec != job.m_job.m_spec) {
    Break("UNASKED", aRun.m_task + " with another spec");
  }
  const std::set<std::string>& checkpoints =
    step->m_gang ? m_gangCheckpoints[name->StepName()] : task.m_checkpoints;
  if (!aCheckpoint.empty() && !checkpoints.contains(aCheckpoint)) {
    Break("UNASKED", aRun.m_task + " with a checkpoint of another task");
  }
  if (!task.m_running.empty()) {
    Break("TWICE", aRun.m_task + " runs on " + task.m_running.begin()->m_worker + " too");
  }
  if (task.m_doneNoted) {
    Break("TWICE", aRun.m_task + " starts after its end was noted");
  }
  task.m_followedRuns.insert(task.m_doneRuns.begin(), task.m_doneRuns.end());
  task.m_running.insert(aRun);
  CheckOrder(*name, job.m_job);
  CheckWorker(aRun, *name, *step, aWorker);
  const std::set<int64_t>& failures =
    step->m_gang ? m_gangFailures[name->StepName()] : task.m_failedNoted;
  if (!step->m_lasting && failures.size() >= static_cast<size_t>(m_attempts)) {
    Break("BUDGET", aRun.m_task + " after " + std::to_string(failures.size()) + " failed runs");
  }
  if (job.m_cancelledMs >= 0 && !aLate && ElapsedMs() - job.m_cancelledMs > m_cancelTime.count()) {
    Break("UNASKED",
          aRun.m_task + " starts " + std::to_string(ElapsedMs() - job.m_cancelledMs) +
            " ms after the cancelling was acknowledged");
  }
}

void
Judge::OnSaved(const RunName& aRun, const std::string& aCheckpoint)
{
  const std::optional<TaskName> name = TaskName::Parse(aRun.m_task);
  m_tasks[aRun.m_task].m_checkpoints.insert(aCheckpoint);
  m_gangCheckpoints[name->StepName()].insert(aCheckpoint);
}

void
Judge::OnEnd(const RunName& aRun, End aEnd)
{
  Note("end " + aRun.m_task + " run " + std::to_string(aRun.m_run) + " on " + aRun.m_worker + " " +
       NameOf(aEnd));
  TaskHistory& task = m_tasks[aRun.m_task];
  task.m_running.erase(aRun);
  if (aEnd == End::Done) {
    task.m_done = true;
    task.m_doneRuns.insert(aRun.m_run);
  }
}

void
Judge::OnNoted(const RunName& aRun, End aEnd, bool aLapsed)
{
  TaskHistory& task = m_tasks[aRun.m_task];
  if (aEnd == End::Failed) {
    const std::optional<TaskName> name = TaskName::Parse(aRun.m_task);
    task.m_failedNoted.insert(aRun.m_run);
    m_gangFailures[name->StepName()].insert(aRun.m_run);
  }
  if (aEnd != End::Done || aLapsed) {
    return;
  }
  task.m_doneNoted = true;
  if (task.m_followedRuns.contains(aRun.m_run)) {
    Break("TWICE", aRun.m_task + " was started after an end that is noted now");
  }
}

void
Judge::OnWorkerLost(const std::string& aWorker)
{
  for (std::pair<const std::string, TaskHistory>& entry : m_tasks) {
    std::erase_if(entry.second.m_running,
                  [&](const RunName& aRun) { return aRun.m_worker == aWorker; });
  }
}

size_t
Judge::CountStarts(const std::string& aJob) const
{
  const auto it = m_jobs.find(aJob);
  return it == m_jobs.end() ? 0 : it->second.m_starts;
}

size_t
Judge::CountRunning(const std::string& aJob) const
{
  size_t running = 0;
  for (auto it = m_tasks.lower_bound(aJob + "."); it != m_tasks.end(); ++it) {
    if (!it->first.starts_with(aJob + ".")) {
      break;
    }
    running += it->second.m_running.size();
  }
  return running;
}

bool
Judge::IsJobDone(const std::string& aId) const
{
  const JobSpec& job = m_jobs.at(aId).m_job;
  for (int k = 0; k < std::max(1, job.m_times); ++k) {
    for (size_t s = 0; s < job.m_steps.size(); ++s) {
      const Step& step = job.m_steps[s];
      int done = 0;
      for (int i = 0; i < step.m_count; ++i) {
        done += IsTaskDone(MemberName({ aId, k, 0, 0 }, static_cast<int>(s), i)) ? 1 : 0;
      }
      if (done < step.m_count && !(step.m_gang && done > 0)) {
        return false;
      }
    }
  }
  return true;
}

std::vector<std::string>
Judge::ListJobs() const
{
  std::vector<std::string> ids;
  for (const std::pair<const std::string, JobHistory>& entry : m_jobs) {
    ids.push_back(entry.first);
  }
  return ids;
}

} // namespace egretturn::review
