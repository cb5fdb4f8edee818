#include "JobCrowds.h"

#include "SoakJobs.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Node/PeerProtocol.h"

#include <boost/json.hpp>

namespace egretturn::hostile {

namespace http = boost::beast::http;
namespace json = boost::json;

// The crowds. Each asks for several times the memory of the process.
static constexpr size_t kFewClients = 8;
static constexpr size_t kManyClients = 24;
static constexpr size_t kTaskJobs = 40;
static constexpr size_t kOccurrenceJobs = 4;
static constexpr size_t kTextJobs = 20000;
static constexpr size_t kNameJobs = 400;
static constexpr size_t kCancelledJobs = 20000;
static constexpr size_t kInvalidJobs = 4000;
static constexpr size_t kPings = 20000;

static constexpr size_t kCancelledTogether = 100; // submitted, and then cancelled
static constexpr size_t kPingNameBytes = 4000;

/// Returns the path of the job numbered \p aNumber, which no ordinary caller of the test uses.
static std::string
JobPath(size_t aNumber)
{
  static constexpr GraphId kFirst = GraphId{ 1 } << 32;
  return soak::kPathPrefix + FormatGraphId(kFirst + aNumber);
}

/// Returns a step of \p aCount tasks that fit nowhere.
static json::object
MakeStep(uint32_t aCount)
{
  return { { "count", aCount }, { "cpu", 1000 }, { "mem_mb", 100 }, { "est_ms", 1000 } };
}

static std::string
EncodeSteps(json::array aSteps, json::object aJob = {})
{
  aJob["steps"] = std::move(aSteps);
  return json::serialize(aJob);
}

static json::array
MakeLargestSteps()
{
  return json::array(kMaxSteps, MakeStep(kMaxTasksPerStep));
}

static CallerRequest
SubmitTasks(size_t aNumber)
{
  return { http::verb::post, JobPath(aNumber), EncodeSteps(MakeLargestSteps()) };
}

static CallerRequest
SubmitOccurrences(size_t aNumber)
{
  const json::object schedule{ { "times", kMaxOccurrences }, { "interval_ms", 1 } };
  return { http::verb::post, JobPath(aNumber), EncodeSteps(MakeLargestSteps(), schedule) };
}

static CallerRequest
SubmitText(size_t aNumber)
{
  const json::object job{ { "spec", std::string(kMaxPayloadBytes, 'x') } };
  return { http::verb::post, JobPath(aNumber), EncodeSteps({ MakeStep(1) }, job) };
}

/// A job whose steps have names that nobody else has.
static CallerRequest
SubmitNames(size_t aNumber)
{
  json::array steps;
  for (size_t i = 0; i < kMaxSteps; ++i) {
    const std::string name = "name-" + std::to_string(aNumber) + "-" + std::to_string(i);
    json::object step = MakeStep(1);
    step["image"] = "image-" + name;
    step["required_label"] = "label-" + name;
    step["affinity"] = "rack-" + name;
    steps.push_back(std::move(step));
  }
  return { http::verb::post, JobPath(aNumber), EncodeSteps(std::move(steps)) };
}

/// Submits some jobs, and then cancels them.
static CallerRequest
SubmitAndCancel(size_t aNumber)
{
  const size_t group = aNumber / (2 * kCancelledTogether);
  const size_t place = aNumber % (2 * kCancelledTogether);
  CallerRequest request = SubmitText(group * kCancelledTogether + place % kCancelledTogether);
  if (place >= kCancelledTogether) {
    request.m_method = http::verb::delete_;
    request.m_body.clear();
  }
  return request;
}

/// A job with as many mistakes as fit into it.
static CallerRequest
SubmitInvalid(size_t aNumber)
{
  const json::object step{
    { "count", "x" },          { "cpu", "x" },          { "mem_mb", "x" },     { "gpu", "x" },
    { "est_ms", "x" },         { "gang", "x" },         { "same_rack", "x" },  { "image", 1 },
    { "affinity", 1 },         { "required_label", 1 }, { "fills", "x" },      { "target_ms", "x" },
    { "max_per_server", "x" }, { "may_miss", "x" },     { "speculative", "x" }
  };
  return { http::verb::post, JobPath(aNumber), EncodeSteps(json::array(kMaxSteps, step)) };
}

std::vector<JobCrowd>
MakeCallerCrowds()
{
  return {
    { "tasks", kFewClients, kTaskJobs, SubmitTasks },
    { "occurrences", kFewClients, kOccurrenceJobs, SubmitOccurrences },
    { "texts", kManyClients, kTextJobs, SubmitText },
    { "names", kManyClients, kNameJobs, SubmitNames },
    { "cancelled", kManyClients, 2 * kCancelledJobs, SubmitAndCancel },
    { "invalid", kManyClients, kInvalidJobs, SubmitInvalid },
  };
}

/// A ping of an instance that nobody else claims to be.
static CallerRequest
Ping(size_t aNumber)
{
  PingMessage ping;
  ping.m_instance = std::to_string(aNumber) + std::string(kPingNameBytes, 'x');
  ping.m_address = "127.0.0.1:1";
  return { http::verb::post, std::string(PathOf(PeerOperation::Ping)), PackCompact(ping) };
}

/// A ping of an instance in a zone of its own, which takes orders.
static CallerRequest
PingFromZone(size_t aNumber)
{
  PingMessage ping;
  ping.m_instance = "instance-" + std::to_string(aNumber);
  ping.m_address = "127.0.0.1:1";
  ping.m_zone = "zone-" + std::to_string(aNumber);
  ping.m_region = "region-" + std::to_string(aNumber);
  ping.m_takesLinkOrders = true;
  return { http::verb::post, std::string(PathOf(PeerOperation::Ping)), PackCompact(ping) };
}

std::vector<JobCrowd>
MakePeerCrowds()
{
  return { { "pings", kManyClients, kPings, Ping },
           { "zones", kManyClients, kPings, PingFromZone } };
}

} // namespace egretturn::hostile
