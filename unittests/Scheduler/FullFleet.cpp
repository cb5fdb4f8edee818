#include "FullFleet.h"

#include "RandomFaults.h"

namespace egretturn::schedtest {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr size_t kWorkers = 40;
static constexpr int64_t kWorkerCpu = 16000;
static constexpr int64_t kWorkerMemory = 64000;
static constexpr int64_t kMinLongRunningCpu = 1500;
static constexpr uint64_t kMaxExtraLongRunningCpu = 2500;
static constexpr uint64_t kMaxTasks = 14; // of a long-running job
static constexpr double kMinShare = 0.6;  // of the processors, for long-running work
static constexpr double kMaxShare = 0.9;
static constexpr Duration kLongRunningTime = std::chrono::hours(1);
static constexpr Duration kFirstSeconds = seconds(8); // until all long-running tasks run
static constexpr Duration kMaxShortTime = milliseconds(700);
static constexpr double kMeanShortMs = 400;
// Small short tasks fill the pieces that large ones leave.
static constexpr int64_t kMinSmallCpu = 500;
static constexpr uint64_t kSmallCpuRange = 1000;
static constexpr int64_t kMinLargeCpu = 3000;
static constexpr uint64_t kLargeCpuRange = 5000;
static constexpr Duration kStepTime = milliseconds(100);
static constexpr uint64_t kMaxRounds = 3;            // of workers that drain
static constexpr Duration kRoundTime = seconds(4);   // between two of them
static constexpr Duration kCalmTime = seconds(22);   // with short jobs that go on coming
static constexpr Duration kAfterShort = seconds(14); // without new ones
static constexpr Duration kMaxDrainTime = seconds(8);

FullFleet::FullFleet(SchedulerWorld& aWorld)
  : m_world(aWorld)
{
  for (size_t i = 0; i < kWorkers; ++i) {
    AddWorker();
  }
  m_load = 1.1 + 0.5 * m_world.m_random.Unit();
}

void
FullFleet::AddWorker()
{
  FakeWorker& worker = m_world.AddWorker({ kWorkerCpu, kWorkerMemory, 0 });
  worker.m_longRunningTime = kLongRunningTime;
  worker.m_maxTime = kMaxShortTime;
}

int64_t
FullFleet::CapacityCpu() const
{
  int64_t capacity = 0;
  for (const std::unique_ptr<FakeWorker>& worker : m_world.m_workers) {
    capacity += worker->HasLeft() ? 0 : worker->Report().m_capacity.m_cpuMilli;
  }
  return capacity;
}

void
FullFleet::SubmitLongRunning()
{
  Random& random = m_world.m_random;
  const double share = kMinShare + (kMaxShare - kMinShare) * random.Unit();
  const int64_t room = static_cast<int64_t>(share * static_cast<double>(CapacityCpu()));
  int64_t reserved = 0;
  while (reserved < room) {
    GraphStep step;
    step.m_demand = {
      kMinLongRunningCpu + static_cast<int64_t>(random.Below(kMaxExtraLongRunningCpu)), 500, 0
    };
    const int64_t fitting = (room - reserved) / step.m_demand.m_cpuMilli + 1;
    step.m_count = static_cast<uint32_t>(
      std::min<int64_t>(fitting, 1 + static_cast<int64_t>(random.Below(kMaxTasks))));
    step.m_estimateMs = 60000;
    step.m_longRunning = true;
    step.m_maxPerWorker = random.Below(2) == 0 ? 2 : 0;
    step.m_image = "lasting" + std::to_string(random.Below(4));
    Submission submission;
    submission.m_id = random.Next();
    submission.m_terms = { "lasting", "desk", static_cast<uint32_t>(random.Below(3)), 3, 2.0, 500 };
    submission.m_graph.m_steps.push_back(step);
    m_world.Submit(std::move(submission));
    reserved += step.m_count * step.m_demand.m_cpuMilli;
  }
  m_freeCpu = static_cast<double>(CapacityCpu() - reserved);
}

void
FullFleet::SubmitShort()
{
  Random& random = m_world.m_random;
  GraphStep step;
  step.m_count = static_cast<uint32_t>(1 + random.Below(6));
  step.m_demand = { random.Below(2) == 0
                      ? kMinSmallCpu + static_cast<int64_t>(random.Below(kSmallCpuRange))
                      : kMinLargeCpu + static_cast<int64_t>(random.Below(kLargeCpuRange)),
                    200,
                    0 };
  step.m_estimateMs = static_cast<int64_t>(200 + random.Below(3000));
  step.m_image = "short" + std::to_string(random.Below(4));
  Submission submission;
  submission.m_id = random.Next();
  submission.m_terms = { "route", "desk", static_cast<uint32_t>(random.Below(3)), 3, 2.0, 500 };
  submission.m_graph.m_steps.push_back(step);
  m_world.Submit(std::move(submission));
  m_owedCpuMs -= step.m_count * static_cast<double>(step.m_demand.m_cpuMilli) * kMeanShortMs;
}

void
FullFleet::AdvanceWithShort(Duration aTime)
{
  for (const Instant end = m_world.Now() + aTime; m_world.Now() < end;) {
    m_owedCpuMs += m_load * m_freeCpu * static_cast<double>(ToMillis(kStepTime));
    while (m_owedCpuMs > 0) {
      SubmitShort();
    }
    m_world.Advance(kStepTime);
    LetDrainedLeave();
  }
}

void
FullFleet::DrainSome()
{
  for (size_t i = 0; i < m_world.m_workers.size(); ++i) {
    if (m_drainedAt.count(i) == 0 && m_world.m_random.Below(8) == 0) {
      m_world.m_workers[i]->Drain();
      m_drainedAt[i] = m_world.Now();
    }
  }
}

void
FullFleet::LetDrainedLeave()
{
  for (const std::pair<const size_t, Instant>& drainedEntry : m_drainedAt) {
    FakeWorker& worker = *m_world.m_workers[drainedEntry.first];
    const Duration drained = m_world.Now() - drainedEntry.second;
    if (!worker.HasLeft() &&
        ((worker.IsIdle() && drained > seconds(1)) || drained > kMaxDrainTime)) {
      worker.Leave(m_world.Now());
    }
  }
}

void
FullFleet::Play()
{
  Random& random = m_world.m_random;
  m_world.ElectLeader(false);
  SubmitLongRunning();
  m_world.Advance(kFirstSeconds);
  AdvanceWithShort(seconds(4));
  const bool joins = random.Below(2) == 0;
  const bool busy = random.Below(4) > 0;
  for (uint64_t round = 1 + random.Below(kMaxRounds); round > 0; --round) {
    DrainSome();
    if (joins) {
      AddWorker();
    }
    AdvanceWithShort(kRoundTime);
  }
  if (busy) {
    m_world.KeepBusy(milliseconds(100 + random.Below(240)), kCalmTime);
  }
  AdvanceWithShort(kCalmTime);
  for (const Instant end = m_world.Now() + kAfterShort; m_world.Now() < end;) {
    m_world.Advance(kStepTime);
    LetDrainedLeave();
  }
  CancelLongRunningJobs(m_world);
  SettleAndCheck(m_world);
}

} // namespace egretturn::schedtest
