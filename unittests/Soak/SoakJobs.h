// The jobs that the callers of a soak submit.
#pragma once

#include "egretturn/Scheduler/Scheduler.h"
#include "egretturn/Support/Random.h"

#include <string>

namespace egretturn::soak {

/// Returns a random job, some of whose tasks are long-running.
Submission MakeRandomJob(Random& aRandom);

/// Returns the body of a request that submits \p aGraph.
std::string EncodeJob(const Graph& aGraph);

/// Returns the operator's configuration, with one route for all jobs.
std::string EncodeConfiguration();

constexpr const char* kHost = "desk.example";
constexpr const char* kPathPrefix = "/jobs/";
constexpr const char* kService = "desk";

} // namespace egretturn::soak
