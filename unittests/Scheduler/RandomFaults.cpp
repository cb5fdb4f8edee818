#include "RandomFaults.h"

#include "egretturn/Support/Log.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <numeric>

namespace egretturn::schedtest {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr int kSteps = 120;
static constexpr int kSpells = 3; // of calm
static constexpr int kStepsBeforeSpell = 30;
static constexpr Duration kSpellTime = seconds(16); // tasks that last are missed 13 s after a run

static void
InjectWorkerFault(SchedulerWorld& aWorld)
{
  FakeWorker& worker = *aWorld.m_workers[aWorld.m_random.Below(aWorld.m_workers.size())];
  const Duration span = milliseconds(500 + aWorld.m_random.Below(9000));
  switch (aWorld.m_random.Below(5)) {
    case 0:
      worker.Restart(aWorld.Now());
      break;
    case 1:
      worker.m_unreachableUntil = aWorld.Now() + span;
      break;
    case 2:
      worker.m_deregisteredUntil = aWorld.Now() + span;
      break;
    case 3:
      aWorld.ListGoneWorker(span);
      break;
    default:
      worker.m_failsAll = !worker.m_failsAll && aWorld.m_random.Below(3) == 0;
  }
}

static void
InjectSystemFault(SchedulerWorld& aWorld)
{
  switch (aWorld.m_random.Below(7)) {
    case 0:
      aWorld.ElectLeader(true);
      break;
    case 1:
      aWorld.ElectLeader(false);
      break;
    case 2:
      aWorld.RemoveLeaders();
      aWorld.Advance(milliseconds(aWorld.m_random.Below(8000)));
      aWorld.ElectLeader(false);
      break;
    case 3:
      aWorld.SupersedeUnnoticed(milliseconds(aWorld.m_random.Below(kMaxNoticeMs)));
      if (aWorld.m_random.Below(2) == 0) { // the successor's epoch is short
        aWorld.Advance(milliseconds(aWorld.m_random.Below(kMaxNoticeMs)));
        aWorld.ElectLeader(true);
      }
      break;
    case 4:
      aWorld.m_faults.m_storeDown = !aWorld.m_faults.m_storeDown;
      break;
    case 5:
      aWorld.m_faults.m_lateCallProbability = aWorld.m_random.Below(2) == 0 ? 0.0 : 0.06;
      break;
    default:
      aWorld.m_faults.m_lostResponseProbability = aWorld.m_random.Below(2) == 0 ? 0.0 : 0.3;
  }
}

void
CancelLongRunningJobs(SchedulerWorld& aWorld)
{
  for (const std::pair<const GraphId, JobHistory>& historyEntry : aWorld.m_oracle.m_jobs) {
    const JobHistory& history = historyEntry.second;
    if (history.m_submission.m_graph.m_steps[0].m_longRunning) {
      aWorld.Cancel(historyEntry.first);
    }
  }
}

void
SettleAndCheck(SchedulerWorld& aWorld)
{
  aWorld.Settle();
  aWorld.CheckWorkersAvailable();
  aWorld.CheckJobs();
  aWorld.CheckRestarts();
}

void
PlayRandomSteps(SchedulerWorld& aWorld,
                const std::function<void()>& aExtraFault,
                const std::function<void()>& aHeal)
{
  std::vector<GraphId> jobs;
  aWorld.ElectLeader(false);
  aWorld.Advance(seconds(1));
  for (int step = 0; step < kSteps; ++step) {
    const uint64_t draw = aWorld.m_random.Below(20);
    if (draw < 9) {
      jobs.push_back(aWorld.SubmitRandom());
    } else if (draw == 9 && !jobs.empty()) {
      aWorld.Cancel(jobs[aWorld.m_random.Below(jobs.size())]);
    } else if (draw == 10) {
      InjectWorkerFault(aWorld);
    } else if (draw == 11) {
      InjectSystemFault(aWorld);
    } else if (draw == 12 && aExtraFault) {
      aExtraFault();
    }
    aWorld.Advance(milliseconds(aWorld.m_random.Below(600)));
  }
  CancelLongRunningJobs(aWorld);
  if (aHeal) {
    aHeal();
  }
  SettleAndCheck(aWorld);
}

static void
InjectFault(SchedulerWorld& aWorld)
{
  const uint64_t draw = aWorld.m_random.Below(6);
  if (draw == 0) {
    InjectSystemFault(aWorld);
  } else if (draw == 1) {
    aWorld.KeepBusy(milliseconds(60 + aWorld.m_random.Below(340)),
                    milliseconds(aWorld.m_random.Below(9000)));
  } else if (draw < 4) {
    aWorld.FlapWorker(*aWorld.m_workers[aWorld.m_random.Below(aWorld.m_workers.size())],
                      milliseconds(2000 + aWorld.m_random.Below(10000)));
  } else {
    InjectWorkerFault(aWorld);
  }
}

void
PlayCalmSpells(SchedulerWorld& aWorld)
{
  aWorld.ElectLeader(false);
  for (int spell = 0; spell < kSpells; ++spell) {
    for (int step = 0; step < kStepsBeforeSpell; ++step) {
      const uint64_t draw = aWorld.m_random.Below(20);
      if (draw < 6) {
        aWorld.SubmitRandom();
      } else if (draw < 8) {
        aWorld.SubmitRepeated();
      } else if (draw < 11) {
        InjectFault(aWorld);
      }
      aWorld.Advance(milliseconds(aWorld.m_random.Below(600)));
    }
    aWorld.Heal();
    if (aWorld.m_random.Below(2) == 0) {
      aWorld.KeepBusy(milliseconds(60 + aWorld.m_random.Below(340)), kSpellTime);
    }
    aWorld.Advance(kSpellTime);
  }
  CancelLongRunningJobs(aWorld);
  SettleAndCheck(aWorld);
}

void
CheckViolations(const SchedulerWorld& aWorld, uint64_t aSeed)
{
  INFO("seed " << aSeed);
  for (const std::string& violation : aWorld.m_oracle.m_violations) {
    UNSCOPED_INFO(violation);
  }
  CHECK(aWorld.m_oracle.m_violations.empty());
}

std::vector<uint64_t>
ListSeeds(uint64_t aCount, uint64_t aFirst)
{
  const char* first = std::getenv("EGRETTURN_FUZZ_SEED");
  const char* count = std::getenv("EGRETTURN_FUZZ_COUNT");
  if (std::getenv("EGRETTURN_FUZZ_LOG")) {
    StartLogging(LogLevel::Info, "fuzz");
  }
  std::vector<uint64_t> seeds(count ? std::strtoull(count, nullptr, 10) : aCount);
  std::iota(seeds.begin(), seeds.end(), first ? std::strtoull(first, nullptr, 10) : aFirst);
  return seeds;
}

} // namespace egretturn::schedtest
