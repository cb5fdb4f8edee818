// Jobs are refused while there is no memory for them, and what was accepted goes on.
#include "SingleScheduler.h"

#include "egretturn/Scheduler/JobBudget.h"

#include <catch2/catch.hpp>

using namespace egretturn;

TEST_CASE("a job is accepted while several like it fit")
{
  JobBudget budget(1000);
  CHECK(budget.MayAccept("a", 90));
  CHECK_FALSE(budget.MayAccept("a", 100)); // of three quarters
  budget.Add("a", 600);
  CHECK_FALSE(budget.MayAccept("a", 19));
  CHECK(budget.MayAccept("a", 18));
  CHECK(budget.MayAccept("b", 50));
  budget.Subtract("a", 600);
  CHECK(budget.Bytes() == 0);
  CHECK(budget.MayAccept("a", 90));
}

TEST_CASE("one route leaves memory to the others")
{
  JobBudget budget(1000);
  budget.Add("a", 750);
  CHECK_FALSE(budget.MayAccept("a", 1));
  CHECK(budget.MayAccept("b", 31));
}

TEST_CASE("what is accepted counts beyond the limit")
{
  JobBudget budget(100);
  budget.Add("a", 500);
  CHECK(budget.Bytes() == 500);
  CHECK_FALSE(budget.MayAccept("b", 1));
}

TEST_CASE("the default leaves room for the largest number of the largest jobs of ordinary sites")
{
  // Ended jobs are kept for two minutes.
  static constexpr size_t kJobs = 8000;
  Graph graph;
  graph.m_payload = std::string(600, 'x');
  graph.m_steps.resize(5);
  for (GraphStep& step : graph.m_steps) {
    step.m_image = "image";
    step.m_dependencies = { 0 };
  }
  JobBudget budget(kDefaultMaxJobBytes);
  budget.Add("a", kJobs / 2 * EstimateJobBytes(graph));
  budget.Add("b", kJobs / 2 * EstimateJobBytes(graph));
  INFO(EstimateJobBytes(graph) << " bytes a job");
  CHECK(budget.MayAccept("a", EstimateJobBytes(graph)));
}
