#include "FakeFleet.h"

#include <algorithm>

namespace egretturn::schedtest {

using std::chrono::milliseconds;

static constexpr int64_t kMaxLeaseMs = 6000;
static constexpr Duration kMinTime = milliseconds(100);
static constexpr double kClockRate = 0.985; // a worker's clock may be 2% slow
static constexpr Duration kStopTime = milliseconds(300);
static constexpr Duration kRestartTime = milliseconds(200); // a process does not start immediately

const GraphStep*
Oracle::StepOf(const TaskRef& aTask) const
{
  const auto it = m_jobs.find(aTask.m_job);
  return it == m_jobs.end() ? nullptr : &it->second.m_submission.m_graph.m_steps[aTask.m_step];
}

bool
Oracle::IsAmong(const std::set<std::string>& aDone, const TaskRef& aTask) const
{
  const GraphStep* step = StepOf(aTask);
  if (!step || !step->m_gang) {
    return aDone.count(Key(aTask)) > 0;
  }
  TaskRef member = aTask;
  for (uint32_t i = 0; i < step->m_count; ++i) {
    member.m_index = static_cast<uint16_t>(i);
    if (aDone.count(Key(member)) > 0) {
      return true;
    }
  }
  return false;
}

bool
Oracle::IsDone(const TaskRef& aTask) const
{
  return IsAmong(m_done, aTask);
}

bool
Oracle::IsDoneForGood(const TaskRef& aTask) const
{
  return IsAmong(m_acknowledgedDone, aTask);
}

bool
Oracle::IsRunning(const TaskRef& aTask) const
{
  const auto it = m_running.find(Key(aTask));
  return it != m_running.end() && !it->second.empty();
}

uint32_t
Oracle::CountRunning(const TaskRef& aFirst, const WorkerName& aWorker) const
{
  uint32_t running = 0;
  TaskRef task = aFirst;
  for (uint32_t i = 0; i < StepOf(aFirst)->m_count; ++i) {
    task.m_index = static_cast<uint16_t>(i);
    const auto it = m_running.find(Key(task));
    running += it != m_running.end() && it->second.count(aWorker) > 0 ? 1 : 0;
  }
  return running;
}

void
Oracle::OnStarted(const TaskRef& aTask, const WorkerName& aWorker, Instant aNow, bool aLate)
{
  const std::string key = Key(aTask);
  const GraphStep* step = StepOf(aTask);
  if (!step) {
    ReportViolation("started without a submission: " + key);
    return;
  }
  const JobHistory& job = m_jobs.at(aTask.m_job);
  if (!m_running[key].empty() && !step->m_speculative) {
    ReportViolation("two concurrent attempts: " + key + " on " + aWorker + " beside " +
                    *m_running[key].begin());
  }
  if (m_acknowledgedDone.count(key) > 0 && !step->m_speculative) {
    ReportViolation("started after an acknowledged end: " + key);
  }
  m_repeatedAttempts[key] = m_doneAttempts[key];
  for (uint32_t dependency : step->m_dependencies) {
    const uint32_t count = job.m_submission.m_graph.m_steps[dependency].m_count;
    for (uint32_t i = 0; i < count; ++i) {
      const TaskRef needed{
        aTask.m_job, aTask.m_occurrence, static_cast<uint16_t>(dependency), static_cast<uint16_t>(i)
      };
      if (!IsDone(needed)) {
        ReportViolation("started before its dependencies: " + key);
      }
    }
  }
  if (!step->m_longRunning && m_failed[key].size() >= job.m_submission.m_terms.m_maxAttempts) {
    ReportViolation("started after its last permitted attempt: " + key);
  }
  if (job.m_refused && !job.m_accepted) {
    ReportViolation("a refused job was started: " + key);
  }
  if (job.m_unknownWhenCancelled) {
    ReportViolation("started although its cancel was told that there is no such job: " + key);
  }
  if (job.m_cancelled && !aLate && aNow - job.m_cancelledAt > milliseconds(3000)) {
    ReportViolation("started after its cancellation: " + key);
  }
  m_running[key].insert(aWorker);
}

void
Oracle::OnCancelAnswered(GraphId aId, bool aKnown, Instant aNow)
{
  JobHistory& job = m_jobs.at(aId);
  if (job.m_cancelled) {
    return;
  }
  job.m_cancelled = true;
  job.m_cancelledAt = aNow;
  job.m_unknownWhenCancelled = !aKnown;
}

void
Oracle::OnAccepted(GraphId aId)
{
  JobHistory& job = m_jobs.at(aId);
  job.m_accepted = true;
  if (job.m_unknownWhenCancelled) {
    ReportViolation("accepted although its cancel was told that there is no such job: " +
                    FormatGraphId(aId));
  }
}

void
Oracle::OnEnded(const TaskRef& aTask,
                AttemptNumber aAttempt,
                const WorkerName& aWorker,
                AttemptEnd aEnd)
{
  m_running[Key(aTask)].erase(aWorker);
  if (aEnd == AttemptEnd::Done) {
    m_done.insert(Key(aTask));
    m_doneAttempts[Key(aTask)].insert(aAttempt);
  }
}

void
Oracle::OnAcknowledged(const EndedAttempt& aReported, bool aLeaseExpired)
{
  const std::string key = Key(aReported.m_task);
  if (aReported.m_end == AttemptEnd::Failed) {
    m_failed[key].insert(aReported.m_attempt);
  }
  if (aReported.m_end != AttemptEnd::Done) {
    return;
  }
  m_acknowledgedDone.insert(key);
  const GraphStep* step = StepOf(aReported.m_task);
  const bool repeated = m_repeatedAttempts[key].count(aReported.m_attempt) > 0;
  if (step && !step->m_speculative && !aLeaseExpired && repeated) {
    ReportViolation("started after an end that was acknowledged later: " + key);
  }
}

FakeWorker::FakeWorker(WorkerReport aReport, Oracle& aOracle, Random& aRandom)
  : m_report(std::move(aReport))
  , m_oracle(aOracle)
  , m_random(aRandom)
{
}

int
FakeWorker::PercentOf(const Attempt& aAttempt, Instant aNow)
{
  const Duration length = aAttempt.m_endsAt - aAttempt.m_startedAt;
  const Duration elapsed = aNow - aAttempt.m_startedAt;
  return aAttempt.m_stalls || length <= Duration::zero() ? 50
                                                         : static_cast<int>(100 * elapsed / length);
}

int64_t
FakeWorker::ClockMs(Instant aNow) const
{
  return m_firstClockMs +
         static_cast<int64_t>(static_cast<double>(ToMillis(aNow - m_startedAt)) * kClockRate);
}

bool
FakeWorker::Fence(uint64_t aFence)
{
  if (aFence < m_fence) {
    return false;
  }
  m_fence = aFence;
  return true;
}

Demand
FakeWorker::InUse() const
{
  Demand used;
  for (const std::pair<const std::string, std::pair<TaskRef, Attempt>>& attemptEntry : m_attempts) {
    const std::pair<TaskRef, Attempt>& attempt = attemptEntry.second;
    used.m_cpuMilli += attempt.second.m_demand.m_cpuMilli;
    used.m_memoryMb += attempt.second.m_demand.m_memoryMb;
  }
  return used;
}

Demand
FakeWorker::TotalDemand() const
{
  Demand total;
  for (const std::pair<const std::string, std::pair<TaskRef, Attempt>>& attemptEntry : m_attempts) {
    const TaskRef& task = attemptEntry.second.first;
    const Graph& graph = m_oracle.m_jobs.at(task.m_job).m_submission.m_graph;
    total.m_cpuMilli += graph.m_steps[task.m_step].m_demand.m_cpuMilli;
    total.m_memoryMb += graph.m_steps[task.m_step].m_demand.m_memoryMb;
  }
  return total;
}

bool
FakeWorker::HoldsDoneEnd(const TaskRef& aTask) const
{
  return std::any_of(m_ended.begin(), m_ended.end(), [&](const PendingEnd& aEnd) {
    return aEnd.m_reported.m_task == aTask && aEnd.m_reported.m_end == AttemptEnd::Done;
  });
}

WorkerCallResult
FakeWorker::Start(const StartTask& aStart, uint64_t aFence, Instant aNow, bool aLate)
{
  Advance(aNow);
  if (!Fence(aFence)) {
    return WorkerCallResult::Fenced;
  }
  const std::string key = FormatTaskRef(aStart.m_task);
  if (aStart.m_leaseEndMs <= ClockMs(aNow)) {
    return WorkerCallResult::LeaseExpired;
  }
  const auto it = m_attempts.find(key);
  if (it != m_attempts.end()) {
    return it->second.second.m_attempt == aStart.m_attempt ? WorkerCallResult::Accepted
                                                           : WorkerCallResult::Superseded;
  }
  if (aStart.m_attempt <= m_highestEnded[key]) {
    return WorkerCallResult::Superseded;
  }
  m_leaseMs = std::max(m_leaseMs, std::min(aStart.m_leaseEndMs, ClockMs(aNow) + kMaxLeaseMs));
  const GraphStep& step =
    m_oracle.m_jobs.at(aStart.m_task.m_job).m_submission.m_graph.m_steps[aStart.m_task.m_step];
  Attempt attempt;
  attempt.m_attempt = aStart.m_attempt;
  attempt.m_demand = step.m_demand;
  if (step.m_bestEffort) {
    attempt.m_demand.m_cpuMilli = 0;
  }
  const bool fails = m_failsAll || m_random.Below(25) == 0;
  attempt.m_end = fails ? AttemptEnd::Failed : AttemptEnd::Done;
  const uint64_t range = static_cast<uint64_t>(ToMillis(m_maxTime - kMinTime));
  const Duration length =
    step.m_longRunning ? m_longRunningTime : kMinTime + milliseconds(m_random.Below(range));
  attempt.m_startedAt = aNow;
  attempt.m_endsAt = aNow + (fails ? length / 3 : length);
  attempt.m_stalls = m_random.Below(4) == 0;
  if (step.m_longRunning) {
    attempt.m_end = AttemptEnd::Failed;
  }
  m_attempts[key] = { aStart.m_task, attempt };
  const Demand used = InUse();
  if (!aLate && (used.m_cpuMilli > m_report.m_capacity.m_cpuMilli ||
                 used.m_memoryMb > m_report.m_capacity.m_memoryMb)) {
    m_oracle.ReportViolation("over capacity: " + m_report.m_id);
  }
  m_oracle.OnStarted(aStart.m_task, m_report.m_id, aNow, aLate);
  return WorkerCallResult::Accepted;
}

WorkerCallResult
FakeWorker::Stop(const StopTask& aStop, uint64_t aFence, Instant aNow)
{
  Advance(aNow);
  if (!Fence(aFence)) {
    return WorkerCallResult::Fenced;
  }
  const std::string key = FormatTaskRef(aStop.m_task);
  m_highestEnded[key] = std::max(m_highestEnded[key], aStop.m_attempt);
  const auto it = m_attempts.find(key);
  if (it != m_attempts.end() && it->second.second.m_attempt == aStop.m_attempt) {
    Attempt& attempt = it->second.second;
    if (attempt.m_end != AttemptEnd::Stopped) {
      attempt.m_endsAt = std::min(attempt.m_endsAt, aNow + kStopTime);
      attempt.m_end = AttemptEnd::Stopped;
    }
  }
  return WorkerCallResult::Accepted;
}

WorkerCallResult
FakeWorker::Poll(const PollWorker& aPoll, uint64_t aFence, Instant aNow, WorkerStatus& aStatus)
{
  Advance(aNow);
  if (!Fence(aFence)) {
    return WorkerCallResult::Fenced;
  }
  if (aPoll.m_leaseEndMs > 0) {
    m_leaseMs = std::max(m_leaseMs, std::min(aPoll.m_leaseEndMs, ClockMs(aNow) + kMaxLeaseMs));
  }
  while (!m_ended.empty() && m_ended.front().m_reported.m_number <= aPoll.m_acknowledged) {
    m_oracle.OnAcknowledged(m_ended.front().m_reported, m_ended.front().m_leaseExpired);
    m_ended.erase(m_ended.begin());
  }
  aStatus = Describe(aNow);
  return WorkerCallResult::Accepted;
}

WorkerStatus
FakeWorker::Describe(Instant aNow) const
{
  WorkerStatus status;
  status.m_clockMs = ClockMs(aNow);
  status.m_incarnation = m_report.m_incarnation;
  for (const std::pair<const std::string, std::pair<TaskRef, Attempt>>& attemptEntry : m_attempts) {
    const std::pair<TaskRef, Attempt>& attempt = attemptEntry.second;
    status.m_running.push_back(
      { attempt.first, attempt.second.m_attempt, "", PercentOf(attempt.second, aNow), 0 });
  }
  for (const PendingEnd& pending : m_ended) {
    if (status.m_ended.size() < m_maxListedEnds) {
      status.m_ended.push_back(pending.m_reported);
    }
  }
  status.m_endsComplete = status.m_ended.size() < m_maxListedEnds;
  return status;
}

void
FakeWorker::End(const TaskRef& aTask, AttemptEnd aEnd)
{
  const std::string key = FormatTaskRef(aTask);
  const AttemptNumber attempt = m_attempts.at(key).second.m_attempt;
  m_highestEnded[key] = std::max(m_highestEnded[key], attempt);
  const std::string checkpoint(aEnd == AttemptEnd::Done ? 0 : m_checkpointBytes, 'c');
  m_ended.push_back({ { ++m_lastEnd, aTask, attempt, aEnd, checkpoint } });
  m_attempts.erase(key);
  m_oracle.OnEnded(aTask, attempt, m_report.m_id, aEnd);
}

void
FakeWorker::Advance(Instant aNow)
{
  std::vector<std::pair<TaskRef, AttemptEnd>> ending;
  for (const std::pair<const std::string, std::pair<TaskRef, Attempt>>& attemptEntry : m_attempts) {
    const std::pair<TaskRef, Attempt>& attempt = attemptEntry.second;
    if (attempt.second.m_endsAt <= aNow) {
      ending.emplace_back(attempt.first, attempt.second.m_end);
    } else if (ClockMs(aNow) >= m_leaseMs) {
      ending.emplace_back(attempt.first, AttemptEnd::LeaseExpired);
    }
  }
  for (const std::pair<TaskRef, AttemptEnd>& endEntry : ending) {
    const TaskRef& task = endEntry.first;
    const AttemptEnd& end = endEntry.second;
    End(task, end);
  }
  for (PendingEnd& pending : m_ended) {
    pending.m_leaseExpired = pending.m_leaseExpired || ClockMs(aNow) >= m_leaseMs;
  }
}

void
FakeWorker::Restart(Instant aNow)
{
  Advance(aNow);
  for (const std::pair<const std::string, std::pair<TaskRef, Attempt>>& attemptEntry : m_attempts) {
    const std::pair<TaskRef, Attempt>& attempt = attemptEntry.second;
    m_oracle.OnEnded(
      attempt.first, attempt.second.m_attempt, m_report.m_id, AttemptEnd::LeaseExpired);
  }
  m_attempts.clear();
  m_ended.clear();
  m_highestEnded.clear();
  m_lastEnd = 0;
  m_fence = 0;
  m_leaseMs = 0;
  m_startedAt = aNow;
  m_unreachableUntil = std::max(m_unreachableUntil, aNow + kRestartTime);
  m_report.m_incarnation = ToMillis(aNow.time_since_epoch());
}

void
FakeWorker::Leave(Instant aNow)
{
  const int64_t incarnation = m_report.m_incarnation;
  Restart(aNow);
  m_report.m_incarnation = incarnation;
  m_unreachableUntil = Instant::max();
  m_deregisteredUntil = Instant::max();
  m_left = true;
}

} // namespace egretturn::schedtest
