// Tests that the scheduler's records of a job agree with each other; SchedulerWorld checks them
// after each tick.
#include "RandomFaults.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr uint64_t kSeeds = 100; // the lengths of tasks vary

/// Returns a job of a gang and, after it, one task.
static Submission
MakeGangJob(uint32_t aMembers)
{
  Submission submission;
  submission.m_id = 7;
  submission.m_terms = { "route", "desk", 0, 20, 2.0, 500 };
  GraphStep gang;
  gang.m_count = aMembers;
  gang.m_demand = { 2000, 1000, 0 };
  gang.m_estimateMs = 1000;
  gang.m_gang = true;
  GraphStep last = gang;
  last.m_count = 1;
  last.m_gang = false;
  last.m_dependencies = { 0 };
  submission.m_graph.m_steps = { gang, last };
  return submission;
}

static void
RunWithoutFaults(uint64_t aSeed, Submission aSubmission)
{
  SchedulerWorld world(aSeed, 4);
  world.ElectLeader(false);
  world.Advance(seconds(1));
  world.Submit(std::move(aSubmission));
  world.Advance(seconds(40));
  CHECK(world.StateOf(7) == JobState::Done);
  CheckViolations(world, aSeed);
}

// Guards against a job that counts as running for good, so that it is not preferred while nothing
// of it runs: the members of a gang that end after the first one kept their attempts.
TEST_CASE("the members of a gang leave no attempts behind")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunWithoutFaults(seed, MakeGangJob(6));
  }
}

// Guards against a job of several occurrences that counts as running for good: the attempts that
// were left when an occurrence was complete were never taken off.
TEST_CASE("an occurrence that ends with a gang leaves no attempts behind")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Submission submission = MakeGangJob(6);
    submission.m_graph.m_steps.pop_back();
    submission.m_graph.m_occurrences = 2;
    submission.m_graph.m_firstDueMs = ToMillis(Instant(std::chrono::hours(1)).time_since_epoch());
    submission.m_graph.m_intervalMs = 10000;
    RunWithoutFaults(seed, std::move(submission));
  }
}
