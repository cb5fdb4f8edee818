#include "egretturn/JobGraph/Graph.h"

#include <catch2/catch.hpp>

using namespace egretturn;

static Graph
MakeTwoStepGraph()
{
  Graph graph;
  graph.m_steps.resize(2);
  graph.m_steps[0].m_estimateMs = 300;
  graph.m_steps[1].m_estimateMs = 500;
  graph.m_steps[1].m_dependencies = { 0 };
  return graph;
}

TEST_CASE("a job id is 16 lower-case hexadecimal digits")
{
  CHECK(FormatGraphId(*ParseGraphId("00c0ffee00c0ffee")) == "00c0ffee00c0ffee");
  CHECK_FALSE(ParseGraphId(""));
  CHECK_FALSE(ParseGraphId("00c0ffee00c0ffe"));
  CHECK_FALSE(ParseGraphId("00c0ffee00c0ffee0"));
  CHECK_FALSE(ParseGraphId("00C0FFEE00C0FFEE"));
  CHECK_FALSE(ParseGraphId("00c0ffee 0c0ffee"));
}

TEST_CASE("a task name is parsed as it was formatted, and malformed names are rejected")
{
  const TaskRef task{ 0xabcdef0123456789, 3, 1, 17 };
  CHECK(*ParseTaskRef(FormatTaskRef(task)) == task);
  CHECK_FALSE(ParseTaskRef("abcdef0123456789"));
  CHECK_FALSE(ParseTaskRef("abcdef0123456789.3.1"));
  CHECK_FALSE(ParseTaskRef("abcdef0123456789.3.1.17x"));
  CHECK_FALSE(ParseTaskRef("abcdef0123456789.3.99999.17"));
}

TEST_CASE("a valid job has no errors, and its critical path follows the dependencies")
{
  CHECK(ValidateGraph(MakeTwoStepGraph()).empty());
  CHECK(CriticalPathMs(MakeTwoStepGraph(), { 300, 500 }) == 800);
}

TEST_CASE("all errors of a job are reported together, each with a remedy")
{
  Graph graph = MakeTwoStepGraph();
  graph.m_steps[0].m_count = 0;
  graph.m_steps[0].m_demand.m_cpuMilli = -1;
  graph.m_steps[1].m_dependencies = { 1 };
  graph.m_payload.assign(kMaxPayloadBytes + 1, 'x');
  const Errors errors = ValidateGraph(graph);
  CHECK(errors.size() == 4);
  for (const Error& error : errors) {
    CHECK_FALSE(error.m_remedy.empty());
  }
}

TEST_CASE("a job without steps is rejected")
{
  CHECK(ValidateGraph(Graph()).size() == 1);
}
