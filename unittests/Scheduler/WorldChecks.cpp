// What the simulated world checks about leaders and jobs beyond the oracle's view of each task.
#include "SchedulerWorld.h"

namespace egretturn::schedtest {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration kMaxPollDelay = seconds(2);
static constexpr Duration kRestartDetectionTime = seconds(2);
static constexpr Duration kRestartedJobTime = seconds(20);
static constexpr Duration kMaxRecoveryTime = milliseconds(8000); // a lease and the time to notice
static constexpr int64_t kRestartClockMs = 3600000;              // of a restarted worker

void
SchedulerWorld::CheckGangs(const std::vector<Action>& aActions)
{
  std::map<std::string, std::pair<const StartTask*, uint32_t>> started; // by the first task's name
  for (const Action& action : aActions) {
    const StartTask* start = std::get_if<StartTask>(&action);
    if (!start) {
      continue;
    }
    const Submission& submission = m_oracle.m_jobs.at(start->m_task.m_job).m_submission;
    if (!submission.m_graph.m_steps[start->m_task.m_step].m_gang) {
      continue;
    }
    TaskRef first = start->m_task;
    first.m_index = 0;
    std::pair<const StartTask*, uint32_t>& gang = started[FormatTaskRef(first)];
    gang.first = gang.first ? gang.first : start;
    ++gang.second;
    if (gang.first->m_attempt != start->m_attempt) {
      m_oracle.ReportViolation("a gang starts with different attempt numbers: " +
                               FormatTaskRef(start->m_task));
    }
  }
  for (const std::pair<const std::string, std::pair<const StartTask*, uint32_t>>& gangEntry :
       started) {
    const TaskRef& task = gangEntry.second.first->m_task;
    const Submission& submission = m_oracle.m_jobs.at(task.m_job).m_submission;
    if (gangEntry.second.second != submission.m_graph.m_steps[task.m_step].m_count) {
      m_oracle.ReportViolation("a gang starts in part: " + gangEntry.first);
    }
  }
}

void
SchedulerWorld::CheckWorkersAvailable()
{
  for (const std::unique_ptr<Worker>& worker : m_leaders.back()->m_scheduler->Workers().All()) {
    const Obstacle obstacle = FindUnavailability(*worker, m_now);
    if (obstacle != Obstacle::None) {
      m_oracle.ReportViolation("a healthy worker accepts no work: " + worker->m_report.m_id + " " +
                               std::string(NameOf(obstacle)));
    }
  }
}

void
SchedulerWorld::CheckRecords()
{
  if (m_leaders.empty() || m_leaders.back()->m_stopped) {
    return;
  }
  for (const std::string& inconsistency : m_leaders.back()->m_scheduler->ListInconsistencies()) {
    m_oracle.ReportViolation(inconsistency);
  }
}

void
SchedulerWorld::CheckPolls()
{
  if (m_leaders.empty() || m_leaders.back()->m_stopped) {
    return;
  }
  for (const std::unique_ptr<Worker>& worker : m_leaders.back()->m_scheduler->Workers().All()) {
    const Obstacle obstacle = FindUnavailability(*worker, m_now);
    const bool pollExpected = obstacle == Obstacle::NotPolled ||
                              obstacle == Obstacle::Unreachable ||
                              obstacle == Obstacle::EndsUnlisted || !worker->m_attempts.empty();
    // A poll that was due is in flight by now, because this runs after a tick of the scheduler.
    const bool dueSoon =
      worker->m_nextPollAt + MaxDelay() > m_now && worker->m_nextPollAt <= m_now + kMaxPollDelay;
    const bool inTime =
      worker->m_pollInFlight ? m_now - worker->m_pollSentAt <= MaxPollTime() : dueSoon;
    if (pollExpected && !inTime) {
      m_oracle.ReportViolation("no poll in time: " + worker->m_report.m_id + " " +
                               std::string(NameOf(obstacle)));
    }
  }
}

/// Returns whether the recovery waits for the store alone: each worker that it waits for lists the
/// rest of its ends only once the store has confirmed those that it has listed.
static bool
WaitsForConfirmation(const std::vector<std::unique_ptr<Worker>>& aWorkers, Instant aNow)
{
  return std::all_of(aWorkers.begin(), aWorkers.end(), [&](const std::unique_ptr<Worker>& aWorker) {
    const bool awaited = !aWorker->m_readInFull && aNow < aWorker->m_leaseExpiresAt;
    const bool unconfirmed = !aWorker->m_endsComplete && aWorker->m_failedPolls == 0 &&
                             aWorker->m_endsProcessed > aWorker->m_endsDurable;
    return !awaited || unconfirmed;
  });
}

void
SchedulerWorld::CheckRecoveryTime(Duration aSinceLastCheck)
{
  if (m_leaders.empty() || m_leaders.back()->m_stopped) {
    return;
  }
  Leader& leader = *m_leaders.back();
  // Ends that a worker has not listed come only once others are acknowledged, which takes the
  // store.
  const std::vector<std::unique_ptr<Worker>>& workers = leader.m_scheduler->Workers().All();
  const bool waitsForStore =
    std::any_of(workers.begin(), workers.end(), [](const std::unique_ptr<Worker>& aWorker) {
      return !aWorker->m_endsComplete && aWorker->m_failedPolls == 0;
    });
  if (waitsForStore && m_faults.m_storeDown) {
    leader.m_recoveryCountsFrom = m_now;
  }
  // Until a lost response of the store is settled, the store isn't stable.
  if (leader.m_responseLost && WaitsForConfirmation(workers, m_now)) {
    leader.m_recoveryCountsFrom += aSinceLastCheck;
  }
  if (!leader.m_scheduler->IsRecovered() &&
      m_now - leader.m_recoveryCountsFrom > kMaxRecoveryTime) {
    m_oracle.ReportViolation("a recovery takes too long");
  }
}

void
SchedulerWorld::CheckRestarts()
{
  for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
    if (worker->HasLeft()) {
      continue;
    }
    worker->m_firstClockMs = kRestartClockMs;
    worker->Restart(m_now);
  }
  Advance(kRestartDetectionTime);
  for (const std::unique_ptr<Worker>& worker : m_leaders.back()->m_scheduler->Workers().All()) {
    const WorkerName& name = worker->m_report.m_id;
    if (worker->m_incarnation != WorkerOf(name).Report().m_incarnation) {
      m_oracle.ReportViolation("a restart was not detected: " + name);
    }
  }
  GraphStep step;
  step.m_count = static_cast<uint32_t>(std::count_if(
    m_workers.begin(), m_workers.end(), [](const std::unique_ptr<FakeWorker>& aWorker) {
      return !aWorker->HasLeft();
    }));
  step.m_demand = { 1000, 1000, 0 };
  step.m_estimateMs = 1000;
  step.m_maxPerWorker = 1;
  Submission submission;
  submission.m_id = m_random.Next();
  submission.m_terms = { "route", "desk", 0, 100, 2.0, 500 };
  submission.m_graph.m_steps.push_back(step);
  const GraphId id = submission.m_id;
  Submit(std::move(submission));
  Advance(kRestartedJobTime);
  if (StateOf(id) != JobState::Done) {
    m_oracle.ReportViolation("restarted workers do not accept work");
  }
}

void
SchedulerWorld::CheckJobs()
{
  for (const std::pair<const GraphId, JobHistory>& jobEntry : m_oracle.m_jobs) {
    const GraphId id = jobEntry.first;
    const JobHistory& job = jobEntry.second;
    if (!job.m_accepted) {
      continue;
    }
    const std::string name = FormatGraphId(id);
    const std::optional<JobState> state = StateOf(id);
    if (!state) {
      m_oracle.ReportViolation("an accepted job is lost: " + name);
      continue;
    }
    if (job.m_cancelled && !IsEnded(*state)) {
      m_oracle.ReportViolation("a cancelled job still runs: " + name);
    }
    const bool longRunning = job.m_submission.m_graph.m_steps[0].m_longRunning;
    if (!longRunning && !IsEnded(*state)) {
      m_oracle.ReportViolation("a job makes no progress: " + name + " " +
                               std::string(NameOf(*state)));
    }
    if (*state != JobState::Done) {
      continue;
    }
    for (size_t s = 0; s < job.m_submission.m_graph.m_steps.size(); ++s) {
      for (uint32_t i = 0; i < job.m_submission.m_graph.m_steps[s].m_count; ++i) {
        if (!m_oracle.IsDone({ id, 0, static_cast<uint16_t>(s), static_cast<uint16_t>(i) })) {
          m_oracle.ReportViolation("reported as done too early: " + name);
        }
      }
    }
  }
}

} // namespace egretturn::schedtest
