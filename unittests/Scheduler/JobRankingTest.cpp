// Tests the ranking of jobs under more load than the capacity.
#include "egretturn/Scheduler/JobRanking.h"

#include "egretturn/Support/Random.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <vector>

using namespace egretturn;
using std::chrono::milliseconds;

static RankInput
MakeTimelyInput(double aWork)
{
  RankInput input;
  input.m_age = milliseconds(100);
  input.m_objective = milliseconds(5000);
  input.m_criticalPath = milliseconds(2000);
  input.m_totalWork = aWork;
  input.m_remainingWork = aWork;
  input.m_meanWork = 50;
  return input;
}

TEST_CASE("a started job ranks before a similar job that has not started")
{
  const RankInput notStarted = MakeTimelyInput(50);
  RankInput started = notStarted;
  started.m_remainingWork = 10;
  CHECK(RankJob(started) < RankJob(notStarted));
}

TEST_CASE("priority ranks first, late jobs behind timely ones, and jobs without value last")
{
  const RankInput plain = MakeTimelyInput(50);
  RankInput urgent = MakeTimelyInput(200);
  urgent.m_priority = 0;
  RankInput ordinary = plain;
  ordinary.m_priority = 1;
  CHECK(RankJob(urgent) < RankJob(ordinary));

  RankInput late = plain;
  late.m_age = milliseconds(4000);
  CHECK(RankJob(plain) < RankJob(late));

  RankInput tooLate = MakeTimelyInput(1);
  tooLate.m_age = milliseconds(16000);
  CHECK(RankJob(late) < RankJob(tooLate));
}

static RankInput
MakeLongRunningInput(double aCores, Duration aWait)
{
  RankInput input;
  input.m_longRunning = true;
  input.m_age = aWait;
  input.m_objective = milliseconds(3000);
  input.m_cores = aCores;
  return input;
}

// Answers new long-running jobs that take the last room from many short jobs of the same priority.
TEST_CASE("a large long-running job yields to a short job that needs less room")
{
  const RankInput shortJob = MakeTimelyInput(50);
  CHECK(RankJob(shortJob) < RankJob(MakeLongRunningInput(180, milliseconds(100))));
}

// Answers short jobs that keep coming.
TEST_CASE("a long-running job that has waited for long precedes new short jobs")
{
  const RankInput shortJob = MakeTimelyInput(50);
  const RankInput waited = MakeLongRunningInput(180, std::chrono::seconds(60));
  CHECK(RankJob(waited) < RankJob(shortJob));
}

// Answers a worker of which many long-running tasks were lost at once.
TEST_CASE("of two long-running jobs the smaller one comes first, and the one that waited longer")
{
  const RankInput small = MakeLongRunningInput(20, milliseconds(100));
  const RankInput large = MakeLongRunningInput(180, milliseconds(100));
  CHECK(RankJob(small) < RankJob(large));
  CHECK(RankJob(MakeLongRunningInput(20, milliseconds(2000))) < RankJob(small));
}

// Answers workers that leave: a task that has run before is to be back within 6 s (RULES.md, LOST).
TEST_CASE("a long-running job that is away for long precedes all others, the longest away first")
{
  RankInput urgent = MakeTimelyInput(1);
  urgent.m_priority = 0;
  RankInput large = MakeLongRunningInput(180, milliseconds(0));
  large.m_priority = 3;
  large.m_away = std::chrono::seconds(5);
  CHECK(RankJob(large) < RankJob(urgent));
  RankInput small = MakeLongRunningInput(20, milliseconds(0));
  small.m_away = std::chrono::seconds(4);
  CHECK(RankJob(large) < RankJob(small));
  RankInput recent = large;
  recent.m_away = std::chrono::seconds(1);
  CHECK(RankJob(urgent) < RankJob(recent));
  CHECK_FALSE(RankJob(recent).m_overdue);
}

// Answers new long-running jobs beyond the capacity.
TEST_CASE("a long-running job that has never run goes by its density, however long it has waited")
{
  CHECK_FALSE(RankJob(MakeLongRunningInput(180, std::chrono::hours(1))).m_overdue);
}

TEST_CASE("a long-running job without cores or an objective has a finite rank")
{
  RankInput input;
  input.m_longRunning = true;
  CHECK(std::isfinite(RankJob(input).m_valueDensity));
}

TEST_CASE("the mean of an unknown route is the job's own value")
{
  RouteMeans means;
  CHECK(means.MeanOf("route", 30) == 30);
  means.Add("route", 40);
  CHECK(means.MeanOf("route", 30) == 40);
}

namespace {

constexpr double kCapacity = 1.0;       // core-seconds per millisecond
constexpr double kOverload = 1.4;       // arriving work, relative to the capacity
constexpr int kTime = 60000;            // milliseconds
constexpr double kMeanWork = 600;       // core-seconds
constexpr double kStretch = 2.0;        // objective, relative to the time that a job takes alone
constexpr double kMaxShareOfJob = 0.25; // of the capacity, that one job can use

struct WaitingJob
{
  double m_total = 0;
  double m_remaining = 0;
  int m_submittedMs = 0;
  int m_objectiveMs = 0;
  bool m_done = false;
};

struct SimulationResult
{
  size_t m_inTime = 0;
  size_t m_largeDone = 0; ///< Of the largest tenth, within three objectives.
  size_t m_large = 0;
  size_t m_done = 0;
  size_t m_jobs = 0;
};

using Ordering = std::function<bool(const WaitingJob&, const WaitingJob&, int)>;

/// Simulates a load above the capacity; in each millisecond the first jobs by \p aIsBefore are
/// served.
SimulationResult
RunSimulation(const Ordering& aIsBefore)
{
  Random random(11);
  std::vector<WaitingJob> jobs;
  double due = 0;
  SimulationResult result;
  for (int now = 0; now < kTime; ++now) {
    for (due += kCapacity * kOverload / kMeanWork; due >= 1.0; due -= 1.0) {
      WaitingJob job;
      job.m_total = kMeanWork * (0.2 + 1.6 * random.Unit() * random.Unit() * 2.0);
      job.m_remaining = job.m_total;
      job.m_submittedMs = now;
      job.m_objectiveMs = static_cast<int>(kStretch * job.m_total / kMaxShareOfJob);
      jobs.push_back(job);
    }
    std::vector<WaitingJob*> open;
    for (WaitingJob& job : jobs) {
      if (!job.m_done) {
        open.push_back(&job);
      }
    }
    std::sort(open.begin(), open.end(), [&](const WaitingJob* aLeft, const WaitingJob* aRight) {
      return aIsBefore(*aLeft, *aRight, now);
    });
    double freeCapacity = kCapacity;
    for (WaitingJob* job : open) {
      const double used = std::min({ freeCapacity, kMaxShareOfJob, job->m_remaining });
      job->m_remaining -= used;
      freeCapacity -= used;
      job->m_done = job->m_remaining <= 1e-9;
      const int age = now - job->m_submittedMs;
      if (job->m_done) {
        result.m_inTime += age <= job->m_objectiveMs ? 1 : 0;
        result.m_done += age <= 3 * job->m_objectiveMs ? 1 : 0;
        result.m_largeDone += age <= 3 * job->m_objectiveMs && job->m_total > 1.2 * kMeanWork;
      }
    }
  }
  result.m_jobs = jobs.size();
  for (const WaitingJob& job : jobs) {
    result.m_large += job.m_total > 1.2 * kMeanWork ? 1 : 0;
  }
  return result;
}

JobRank
RankAt(const WaitingJob& aJob, int aNow)
{
  RankInput input;
  input.m_age = milliseconds(aNow - aJob.m_submittedMs);
  input.m_objective = milliseconds(aJob.m_objectiveMs);
  input.m_criticalPath = milliseconds(static_cast<int>(aJob.m_remaining / kMaxShareOfJob));
  input.m_totalWork = aJob.m_total;
  input.m_remainingWork = aJob.m_remaining;
  input.m_meanWork = kMeanWork;
  return RankJob(input);
}

} // namespace

TEST_CASE("above capacity more jobs are in time than by deadline, and large jobs are not starved")
{
  const SimulationResult byDeadline =
    RunSimulation([](const WaitingJob& aLeft, const WaitingJob& aRight, int) {
      return aLeft.m_submittedMs + aLeft.m_objectiveMs <
             aRight.m_submittedMs + aRight.m_objectiveMs;
    });
  const SimulationResult byRank =
    RunSimulation([](const WaitingJob& aLeft, const WaitingJob& aRight, int aNow) {
      return RankAt(aLeft, aNow) < RankAt(aRight, aNow);
    });
  CHECK(byRank.m_inTime > byDeadline.m_inTime);
  const double all = static_cast<double>(byRank.m_done) / static_cast<double>(byRank.m_jobs);
  const double large =
    static_cast<double>(byRank.m_largeDone) / static_cast<double>(byRank.m_large);
  CHECK(large >= 0.5 * all); // the users' bound
}
