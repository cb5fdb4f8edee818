#include "SoakJobs.h"

#include <boost/json.hpp>

namespace egretturn::soak {

namespace json = boost::json;

static constexpr const char* kRoute = "route";
static constexpr uint32_t kMaxAttempts = 4;

static GraphStep
MakeRandomStep(Random& aRandom, size_t aIndex, bool aLongRunning)
{
  GraphStep step;
  step.m_count = static_cast<uint32_t>(1 + aRandom.Below(8));
  step.m_demand = { static_cast<int64_t>(500 + aRandom.Below(2000)),
                    static_cast<int64_t>(500 + aRandom.Below(3000)),
                    0 };
  step.m_estimateMs = static_cast<int64_t>(200 + aRandom.Below(3000));
  step.m_longRunning = aLongRunning;
  step.m_bestEffort = !aLongRunning && aRandom.Below(2) == 0;
  step.m_maxPerWorker = aRandom.Below(4) == 0 ? 2 : 0;
  step.m_image = "image" + std::to_string(aRandom.Below(4));
  if (aIndex > 0) {
    step.m_dependencies.push_back(static_cast<uint32_t>(aRandom.Below(aIndex)));
  }
  return step;
}

Submission
MakeRandomJob(Random& aRandom)
{
  Submission submission;
  submission.m_id = aRandom.Next();
  submission.m_terms = { kRoute, kService, 1, kMaxAttempts, 2.0, 500 };
  submission.m_graph.m_payload = "text";
  const bool longRunning = aRandom.Below(8) == 0;
  const size_t steps = longRunning ? 1 : 1 + aRandom.Below(3);
  for (size_t i = 0; i < steps; ++i) {
    submission.m_graph.m_steps.push_back(MakeRandomStep(aRandom, i, longRunning));
  }
  return submission;
}

std::string
EncodeJob(const Graph& aGraph)
{
  json::array steps;
  for (const GraphStep& step : aGraph.m_steps) {
    json::object row;
    row["count"] = step.m_count;
    row["cpu"] = step.m_demand.m_cpuMilli;
    row["mem_mb"] = step.m_demand.m_memoryMb;
    row["est_ms"] = step.m_estimateMs;
    row["long_running"] = step.m_longRunning;
    row["fills"] = step.m_bestEffort;
    row["max_per_server"] = step.m_maxPerWorker;
    row["image"] = step.m_image;
    json::array dependencies;
    for (const uint32_t dependency : step.m_dependencies) {
      dependencies.push_back(dependency);
    }
    row["deps"] = std::move(dependencies);
    steps.push_back(std::move(row));
  }
  json::object body;
  body["spec"] = aGraph.m_payload;
  body["steps"] = std::move(steps);
  return json::serialize(body);
}

std::string
EncodeConfiguration()
{
  json::object route;
  route["name"] = kRoute;
  route["host"] = kHost;
  route["path_prefix"] = kPathPrefix;
  route["service"] = kService;
  route["timeout_ms"] = 3000;
  route["priority"] = 1;
  route["attempts"] = kMaxAttempts;
  route["stretch"] = 2.0;
  route["target_latency_ms"] = 500;
  json::object service;
  service["name"] = kService;
  json::object configuration;
  configuration["version"] = 1;
  configuration["routes"] = json::array{ std::move(route) };
  configuration["services"] = json::array{ std::move(service) };
  return json::serialize(configuration);
}

} // namespace egretturn::soak
