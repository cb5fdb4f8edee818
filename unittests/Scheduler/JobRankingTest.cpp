// Who gets room when more work comes than fits.
#include "egretturn/Scheduler/JobRanking.h"

#include "egretturn/Support/Random.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <vector>

using namespace egretturn;
using std::chrono::milliseconds;

static OrderInput
TimelyJob(double aWork)
{
  OrderInput input;
  input.m_age = milliseconds(100);
  input.m_objective = milliseconds(5000);
  input.m_path = milliseconds(2000);
  input.m_totalWork = aWork;
  input.m_remainingWork = aWork;
  input.m_meanWork = 50;
  return input;
}

TEST_CASE("what was begun is finished before the like of it is begun")
{
  const OrderInput fresh = TimelyJob(50);
  OrderInput begun = fresh;
  begun.m_remainingWork = 10;
  CHECK(RankOf(begun) < RankOf(fresh));
}

TEST_CASE("priority goes first, tasks that last before others, and what earns nothing last")
{
  const OrderInput plain = TimelyJob(50);
  OrderInput urgent = TimelyJob(200);
  urgent.m_priority = 0;
  OrderInput ordinary = plain;
  ordinary.m_priority = 1;
  CHECK(RankOf(urgent) < RankOf(ordinary));

  OrderInput lasting = plain;
  lasting.m_longRunning = true;
  CHECK(RankOf(lasting) < RankOf(plain));

  OrderInput late = plain;
  late.m_age = milliseconds(4000);
  CHECK(RankOf(plain) < RankOf(late));

  OrderInput worthless = TimelyJob(1);
  worthless.m_age = milliseconds(16000);
  CHECK(RankOf(late) < RankOf(worthless));
}

TEST_CASE("an unknown route has the job itself as its mean")
{
  RouteMeans means;
  CHECK(means.Of("route", 30) == 30);
  means.Note("route", 40);
  CHECK(means.Of("route", 30) == 40);
}

namespace {

constexpr double kCapacity = 1.0;    // core-seconds a millisecond
constexpr double kOverload = 1.4;    // work that comes, against the capacity
constexpr int kTime = 60000;         // milliseconds
constexpr double kMeanWork = 600;    // core-seconds
constexpr double kStretch = 2.0;     // objective against the time that a job takes alone
constexpr double kAloneShare = 0.25; // of the capacity, that one job can use

struct WaitingJob
{
  double m_total = 0;
  double m_left = 0;
  int m_bornMs = 0;
  int m_objectiveMs = 0;
  bool m_done = false;
};

struct Served
{
  size_t m_inTime = 0;
  size_t m_largeDone = 0; ///< Of the largest tenth, until three objectives.
  size_t m_large = 0;
  size_t m_done = 0;
  size_t m_jobs = 0;
};

using Before = std::function<bool(const WaitingJob&, const WaitingJob&, int)>;

/// Plays a load above the capacity; in each millisecond the first jobs by \p aBefore get it.
Served
Play(const Before& aBefore)
{
  Random random(11);
  std::vector<WaitingJob> jobs;
  double due = 0;
  Served served;
  for (int now = 0; now < kTime; ++now) {
    for (due += kCapacity * kOverload / kMeanWork; due >= 1.0; due -= 1.0) {
      WaitingJob job;
      job.m_total = kMeanWork * (0.2 + 1.6 * random.Unit() * random.Unit() * 2.0);
      job.m_left = job.m_total;
      job.m_bornMs = now;
      job.m_objectiveMs = static_cast<int>(kStretch * job.m_total / kAloneShare);
      jobs.push_back(job);
    }
    std::vector<WaitingJob*> open;
    for (WaitingJob& job : jobs) {
      if (!job.m_done) {
        open.push_back(&job);
      }
    }
    std::sort(open.begin(), open.end(), [&](const WaitingJob* aLeft, const WaitingJob* aRight) {
      return aBefore(*aLeft, *aRight, now);
    });
    double left = kCapacity;
    for (WaitingJob* job : open) {
      const double used = std::min({ left, kAloneShare, job->m_left });
      job->m_left -= used;
      left -= used;
      job->m_done = job->m_left <= 1e-9;
      const int age = now - job->m_bornMs;
      if (job->m_done) {
        served.m_inTime += age <= job->m_objectiveMs ? 1 : 0;
        served.m_done += age <= 3 * job->m_objectiveMs ? 1 : 0;
        served.m_largeDone += age <= 3 * job->m_objectiveMs && job->m_total > 1.2 * kMeanWork;
      }
    }
  }
  served.m_jobs = jobs.size();
  for (const WaitingJob& job : jobs) {
    served.m_large += job.m_total > 1.2 * kMeanWork ? 1 : 0;
  }
  return served;
}

OrderRank
RankAt(const WaitingJob& aJob, int aNow)
{
  OrderInput input;
  input.m_age = milliseconds(aNow - aJob.m_bornMs);
  input.m_objective = milliseconds(aJob.m_objectiveMs);
  input.m_path = milliseconds(static_cast<int>(aJob.m_left / kAloneShare));
  input.m_totalWork = aJob.m_total;
  input.m_remainingWork = aJob.m_left;
  input.m_meanWork = kMeanWork;
  return RankOf(input);
}

} // namespace

TEST_CASE("above capacity more is in time than by deadline, and large jobs are not starved")
{
  const Served byDeadline = Play([](const WaitingJob& aLeft, const WaitingJob& aRight, int) {
    return aLeft.m_bornMs + aLeft.m_objectiveMs < aRight.m_bornMs + aRight.m_objectiveMs;
  });
  const Served byRank = Play([](const WaitingJob& aLeft, const WaitingJob& aRight, int aNow) {
    return RankAt(aLeft, aNow) < RankAt(aRight, aNow);
  });
  CHECK(byRank.m_inTime > byDeadline.m_inTime);
  const double all = static_cast<double>(byRank.m_done) / static_cast<double>(byRank.m_jobs);
  const double large =
    static_cast<double>(byRank.m_largeDone) / static_cast<double>(byRank.m_large);
  CHECK(large >= 0.5 * all); // the users' bound
}
