#include "SiteModel.h"

#include <algorithm>

namespace egretturn::bench {

using std::chrono::milliseconds;

static constexpr Duration kCallLatency = milliseconds(1); // one way
static constexpr size_t kBestEffortImages = 30;
static constexpr size_t kServingImages = 16;
static constexpr size_t kZones = 6;
static constexpr size_t kWorkersPerRack = 20;
static constexpr size_t kPayloadBytes = 300;
static constexpr int64_t kServingCpuMilli = 3200; // mean of a task
static constexpr uint32_t kServingTasks = 24;     // mean of a job
static constexpr uint64_t kFailureOneIn = 20;

// Payloads of long-running tasks begin with this.
static constexpr char kServingMark = 's';

int64_t
WallMsAt(Instant aNow)
{
  return ToMillis(aNow.time_since_epoch());
}

JobSource::JobSource(uint64_t aSeed)
  : m_random(aSeed)
{
}

Submission
JobSource::MakeJob(const char* aRoute, uint32_t aPriority)
{
  Submission job;
  job.m_id = Mix(++m_lastJob);
  job.m_terms.m_route = aRoute;
  job.m_terms.m_service = "desk";
  job.m_terms.m_priority = aPriority;
  job.m_terms.m_maxAttempts = 4;
  job.m_terms.m_stretch = 2;
  job.m_terms.m_targetMs = 1000;
  job.m_graph.m_payload = std::string(kPayloadBytes, 'x');
  return job;
}

GraphStep
JobSource::MakeStep(uint32_t aCount, int64_t aCpuMilli, int64_t aMs)
{
  GraphStep step;
  step.m_count = std::max<uint32_t>(1, aCount / 2 + static_cast<uint32_t>(m_random.Below(aCount)));
  step.m_demand = { aCpuMilli / 2 + static_cast<int64_t>(m_random.Below(aCpuMilli)), aCpuMilli, 0 };
  step.m_estimateMs = aMs;
  return step;
}

std::vector<Submission>
JobSource::MakeServingJobs(size_t aWorkers)
{
  std::vector<Submission> jobs;
  const int64_t half = static_cast<int64_t>(aWorkers) * 8000;
  for (int64_t reserved = 0; reserved < half; reserved += kServingTasks * kServingCpuMilli) {
    Submission job = MakeJob("meter", 0);
    GraphStep step = MakeStep(kServingTasks, kServingCpuMilli, 1000);
    step.m_longRunning = true;
    step.m_targetMs = 18;
    step.m_image = "serving-" + std::to_string(m_random.Below(kServingImages));
    job.m_graph.m_payload.front() = kServingMark;
    job.m_graph.m_steps.push_back(step);
    m_servingJobs.insert(job.m_id);
    jobs.push_back(std::move(job));
  }
  return jobs;
}

std::vector<Submission>
JobSource::MakeJobs(double aTasks)
{
  std::vector<Submission> jobs;
  m_owedTasks += aTasks;
  while (m_owedTasks > 0) {
    const bool batch = ++m_turn % 3 != 0;
    Submission job = MakeJob(batch ? "rebate" : "quote", batch ? 2 : 0);
    for (uint32_t s = 0; s < 2; ++s) {
      GraphStep step = MakeStep(batch ? 40 : 10, batch ? 1800 : 3200, batch ? 1700 : 1000);
      step.m_bestEffort = batch;
      step.m_checkpoints = batch;
      step.m_image = batch ? "batch-" + std::to_string(m_random.Below(kBestEffortImages)) : "";
      step.m_dependencies = s > 0 ? std::vector<uint32_t>{ s - 1 } : std::vector<uint32_t>{};
      m_owedTasks -= step.m_count;
      job.m_graph.m_steps.push_back(step);
    }
    jobs.push_back(std::move(job));
  }
  return jobs;
}

ModelWorkers::ModelWorkers(Clock& aClock, size_t aCount)
  : m_clock(aClock)
  , m_random(2)
{
  for (size_t i = 0; i < aCount; ++i) {
    WorkerReport report;
    report.m_id = "i-" + FormatGraphId(Mix(i)).substr(0, 10);
    report.m_service = "desk";
    report.m_address = "10.0.0.1:" + std::to_string(i + 1);
    report.m_zone = "zone-" + std::to_string(i % kZones);
    report.m_rack = "r" + std::to_string(i / kWorkersPerRack);
    report.m_capacity = { 16000, 64000, 0 };
    report.m_incarnation = 1;
    m_workers.emplace(report.m_id, ModelWorker());
    m_reports.push_back(std::move(report));
  }
}

void
ModelWorkers::Start(const StartTask& aStart, uint64_t, WorkerCallCallback aDone)
{
  m_clock.After(kCallLatency, [this, call = aStart, aDone] {
    Attempt attempt;
    attempt.m_task = call.m_task;
    attempt.m_attempt = call.m_attempt;
    attempt.m_startedAt = m_clock.Now();
    attempt.m_serving = !call.m_payload.empty() && call.m_payload.front() == kServingMark;
    const Duration length = attempt.m_serving ? Duration(std::chrono::hours(1))
                                              : milliseconds(500 + m_random.Below(2000));
    attempt.m_endsAt = attempt.m_startedAt + length;
    m_workers[call.m_worker].m_attempts.push_back(attempt);
    if (!attempt.m_serving) {
      m_clock.After(length, [this, name = call.m_worker] { EndDue(name); });
    }
    m_clock.After(kCallLatency, [aDone] { aDone(WorkerCallResult::Accepted); });
  });
}

void
ModelWorkers::Stop(const StopTask& aStop, uint64_t, WorkerCallCallback aDone)
{
  m_clock.After(kCallLatency, [this, call = aStop, aDone] {
    for (Attempt& attempt : m_workers[call.m_worker].m_attempts) {
      attempt.m_endsAt = attempt.m_task == call.m_task ? m_clock.Now() : attempt.m_endsAt;
    }
    EndDue(call.m_worker);
    m_clock.After(kCallLatency, [aDone] { aDone(WorkerCallResult::Accepted); });
  });
}

void
ModelWorkers::Throttle(const ThrottleTask&, uint64_t, WorkerCallCallback)
{
}

void
ModelWorkers::EndDue(const WorkerName& aName)
{
  ModelWorker& worker = m_workers[aName];
  const Instant now = m_clock.Now();
  for (auto it = worker.m_attempts.begin(); it != worker.m_attempts.end();) {
    if (it->m_endsAt > now) {
      ++it;
      continue;
    }
    const AttemptEnd end =
      m_random.Below(kFailureOneIn) == 0 ? AttemptEnd::Failed : AttemptEnd::Done;
    worker.m_ended.push_back({ ++worker.m_lastEnd, it->m_task, it->m_attempt, end, "" });
    it = worker.m_attempts.erase(it);
  }
  if (worker.m_heldPoll > 0 && !worker.m_ended.empty()) {
    worker.m_heldPoll = 0;
    Respond(aName, std::move(worker.m_onPolled));
  }
}

void
ModelWorkers::Poll(const PollWorker& aPoll, uint64_t, PollCallback aDone)
{
  m_clock.After(kCallLatency, [this, call = aPoll, aDone] {
    ModelWorker& worker = m_workers[call.m_worker];
    while (!worker.m_ended.empty() && worker.m_ended.front().m_number <= call.m_acknowledged) {
      worker.m_ended.erase(worker.m_ended.begin());
    }
    if (call.m_wait == Duration::zero() || !worker.m_ended.empty()) {
      Respond(call.m_worker, aDone);
      return;
    }
    worker.m_heldPoll = ++m_lastPoll;
    worker.m_onPolled = aDone;
    m_clock.After(call.m_wait, [this, name = call.m_worker, number = m_lastPoll] {
      if (m_workers[name].m_heldPoll == number) {
        m_workers[name].m_heldPoll = 0;
        Respond(name, std::move(m_workers[name].m_onPolled));
      }
    });
  });
}

void
ModelWorkers::Respond(const WorkerName& aName, PollCallback aDone)
{
  const ModelWorker& worker = m_workers[aName];
  const Instant now = m_clock.Now();
  WorkerStatus status;
  status.m_clockMs = WallMsAt(now);
  status.m_incarnation = 1;
  status.m_ended = worker.m_ended;
  for (const Attempt& attempt : worker.m_attempts) {
    RunningAttempt running;
    running.m_task = attempt.m_task;
    running.m_attempt = attempt.m_attempt;
    running.m_percent = static_cast<int>(std::min<int64_t>(
      99, (now - attempt.m_startedAt) * 100 / (attempt.m_endsAt - attempt.m_startedAt)));
    running.m_usage = attempt.m_serving ? 7 + static_cast<int64_t>(m_random.Below(3)) : 1500;
    running.m_checkpoint = attempt.m_serving ? "" : "0123456789abcdef";
    status.m_running.push_back(std::move(running));
  }
  m_clock.After(kCallLatency, [done = std::move(aDone), status = std::move(status)] {
    done(WorkerCallResult::Accepted, status);
  });
}

} // namespace egretturn::bench
