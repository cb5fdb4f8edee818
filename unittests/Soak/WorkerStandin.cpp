#include "WorkerStandin.h"

#include "egretturn/Node/Ports.h"

#include <boost/json.hpp>

namespace egretturn::soak {

namespace json = boost::json;

static constexpr const char* kJson = "application/json";
static constexpr uint64_t kLateCalls = 3; // one of so many is late on a late path
static constexpr uint64_t kMinLatenessMs = 1500;
static constexpr uint64_t kMaxLatenessMs = 8000;
static constexpr size_t kMaxSilenced = 200; // older connections are closed

WorkerStandin::WorkerStandin(boost::asio::io_context& aIo,
                             WorkerReport aReport,
                             schedtest::Oracle& aOracle,
                             Random& aRandom,
                             PathOf aPathOf,
                             Recorder aRecorder,
                             std::function<void()> aBeforeStart)
  : m_io(aIo)
  , m_random(aRandom)
  , m_model(std::move(aReport), aOracle, aRandom)
  , m_pathOf(std::move(aPathOf))
  , m_recorder(std::move(aRecorder))
  , m_beforeStart(std::move(aBeforeStart))
{
}

void
WorkerStandin::Listen()
{
  HttpLimits limits;
  limits.m_idle = std::chrono::minutes(10);
  m_server = std::make_unique<HttpServer>(
    m_io, limits, [this](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
      Handle(aRequest, aReply);
    });
  if (!m_server->Listen(Report().m_address)) {
    throw std::runtime_error("a stand-in of a worker cannot listen on " + Report().m_address);
  }
}

std::string
WorkerStandin::Entry() const
{
  json::object capacity;
  capacity["cpu"] = Report().m_capacity.m_cpuMilli;
  capacity["mem_mb"] = Report().m_capacity.m_memoryMb;
  capacity["gpu"] = 0;
  json::object entry;
  entry["service"] = Report().m_service;
  entry["addr"] = Report().m_address;
  entry["zone"] = Report().m_zone;
  entry["version"] = "1";
  entry["slots"] = 8;
  entry["state"] = m_draining ? "draining" : "ready";
  entry["seq"] = 1;
  entry["born"] = Report().m_incarnation;
  entry["capacity"] = std::move(capacity);
  entry["labels"] =
    json::array{ json::string(Report().m_labels[0]), json::string(Report().m_labels[1]) };
  return json::serialize(entry);
}

void
WorkerStandin::Advance(Instant aNow)
{
  m_model.Advance(aNow);
  for (WaitingPoll& waiting : std::exchange(m_waiting, {})) {
    RespondToPoll(waiting);
  }
}

void
WorkerStandin::Restart(Instant aNow)
{
  m_model.Restart(aNow);
  m_backlogUntil = m_model.m_unreachableUntil;
  m_waiting.clear();
  m_silenced.clear();
}

/// Returns the number in a field, or 0.
static int64_t
NumberOf(const json::value& aBody, const char* aField)
{
  const json::value* field = aBody.as_object().if_contains(aField);
  return field ? field->to_number<int64_t>() : 0;
}

static std::string
TextOf(const json::value& aBody, const char* aField)
{
  const json::value* field = aBody.as_object().if_contains(aField);
  return field ? std::string(field->as_string()) : std::string();
}

void
WorkerStandin::Handle(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply)
{
  const std::string expected(aRequest["Expect-Instance"].data(),
                             aRequest["Expect-Instance"].size());
  if (m_model.m_unreachableUntil > BootClockNow()) {
    if (m_backlogUntil == m_model.m_unreachableUntil) {
      const std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(m_io, m_backlogUntil - BootClockNow());
      timer->async_wait([this, timer, aRequest, aReply](boost::system::error_code aError) {
        if (!aError) {
          Handle(aRequest, aReply);
        }
      });
      return;
    }
    m_silenced.push_back(aReply);
    return;
  }
  if (expected != Report().m_id) {
    aReply->Send(MakeResponse(421, kJson, "{}"));
    return;
  }
  const std::string path(aRequest.target().data(), aRequest.target().size());
  const json::value body = json::parse(aRequest.body());
  const uint64_t fence = static_cast<uint64_t>(NumberOf(body, "fence"));
  if (path == "/-/hold") {
    PollWorker poll;
    poll.m_leaseEndMs = NumberOf(body, "until_ms");
    poll.m_acknowledged = static_cast<uint64_t>(NumberOf(body, "seen_upto"));
    const Duration wait = std::chrono::milliseconds(NumberOf(body, "wait_ms"));
    Execute(fence, aReply, [this, poll, fence, wait](bool, const std::shared_ptr<HttpReply>& aTo) {
      Poll(poll, fence, BootClockNow() + wait, aTo);
    });
    return;
  }
  const Expected<TaskRef> task = ParseTaskRef(TextOf(body, "task"));
  if (!task) {
    aReply->Send(MakeResponse(400, kJson, "{}"));
    return;
  }
  const AttemptNumber attempt = static_cast<AttemptNumber>(NumberOf(body, "run"));
  if (path == "/-/run-start") {
    StartTask start;
    start.m_task = *task;
    start.m_attempt = attempt;
    start.m_leaseEndMs = NumberOf(body, "until_ms");
    Execute(fence, aReply, [this, start, fence](bool aLate, const std::shared_ptr<HttpReply>& aTo) {
      Respond(aTo, Start(start, fence, aLate));
    });
  } else if (path == "/-/run-stop") {
    StopTask stop;
    stop.m_task = *task;
    stop.m_attempt = attempt;
    Execute(fence, aReply, [this, stop, fence](bool, const std::shared_ptr<HttpReply>& aTo) {
      Respond(aTo, Stop(stop, fence));
    });
  } else {
    Respond(aReply, WorkerCallResult::Accepted); // throttles change nothing here
  }
}

void
WorkerStandin::Execute(uint64_t aFence, const std::shared_ptr<HttpReply>& aReply, const Call& aCall)
{
  if (m_silenced.size() > kMaxSilenced) {
    m_silenced.erase(m_silenced.begin(), m_silenced.begin() + kMaxSilenced / 2);
  }
  const PathMode path = m_pathOf(Report().m_id, aFence);
  if (path == PathMode::Open) {
    aCall(false, aReply);
    return;
  }
  m_silenced.push_back(aReply);
  if (path == PathMode::NoResponses) {
    aCall(false, nullptr);
  } else if (path == PathMode::Late && ++m_calls % kLateCalls == 0) {
    const uint64_t range = kMaxLatenessMs - kMinLatenessMs;
    const std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(
        m_io, std::chrono::milliseconds(kMinLatenessMs + m_random.Below(range)));
    timer->async_wait([timer, aCall](boost::system::error_code aError) {
      if (!aError) {
        aCall(true, nullptr); // also by a process that has been started since
      }
    });
  } else if (path == PathMode::Late) {
    m_silenced.pop_back();
    aCall(false, aReply);
  }
}

WorkerCallResult
WorkerStandin::Start(const StartTask& aStart, uint64_t aFence, bool aLate)
{
  m_beforeStart();
  const WorkerCallResult result = m_model.Start(aStart, aFence, BootClockNow(), aLate);
  m_recorder("start " + FormatTaskRef(aStart.m_task) + " run " + std::to_string(aStart.m_attempt) +
             " on " + Report().m_id + " fence " + std::to_string(aFence) +
             (aLate ? " late " : " ") + std::string(NameOf(result)));
  return result;
}

WorkerCallResult
WorkerStandin::Stop(const StopTask& aStop, uint64_t aFence)
{
  const WorkerCallResult result = m_model.Stop(aStop, aFence, BootClockNow());
  m_recorder("stop " + FormatTaskRef(aStop.m_task) + " run " + std::to_string(aStop.m_attempt) +
             " on " + Report().m_id + " fence " + std::to_string(aFence) + " " +
             std::string(NameOf(result)));
  return result;
}

void
WorkerStandin::Respond(const std::shared_ptr<HttpReply>& aReply, WorkerCallResult aResult)
{
  if (!aReply) {
    return;
  }
  json::object body;
  body["clock_ms"] = m_model.ClockMs(BootClockNow());
  body["born"] = Report().m_incarnation;
  if (aResult == WorkerCallResult::Accepted) {
    aReply->Send(MakeResponse(200, kJson, json::serialize(body)));
    return;
  }
  body["reason"] = aResult == WorkerCallResult::Fenced         ? "fence"
                   : aResult == WorkerCallResult::LeaseExpired ? "late"
                                                               : "old";
  aReply->Send(MakeResponse(409, kJson, json::serialize(body)));
}

void
WorkerStandin::Poll(const PollWorker& aPoll,
                    uint64_t aFence,
                    Instant aUntil,
                    const std::shared_ptr<HttpReply>& aReply)
{
  const Instant now = BootClockNow();
  WorkerStatus status;
  const WorkerCallResult result = m_model.Poll(aPoll, aFence, now, status);
  if (result != WorkerCallResult::Accepted) {
    Respond(aReply, result);
  } else if (aReply) {
    RespondToPoll({ aUntil, aReply });
  }
}

void
WorkerStandin::RespondToPoll(const WaitingPoll& aWaiting)
{
  const Instant now = BootClockNow();
  const WorkerStatus status = m_model.Describe(now);
  if (status.m_ended.empty() && now < aWaiting.m_until) {
    m_waiting.push_back(aWaiting);
    return;
  }
  json::array running;
  for (const RunningAttempt& attempt : status.m_running) {
    running.push_back(json::array{
      json::string(FormatTaskRef(attempt.m_task)), attempt.m_attempt, "", attempt.m_percent, 0 });
  }
  json::array ended;
  for (const EndedAttempt& end : status.m_ended) {
    ended.push_back(json::array{ end.m_number,
                                 json::string(FormatTaskRef(end.m_task)),
                                 end.m_attempt,
                                 json::string(std::string(NameOf(end.m_end))),
                                 "" });
  }
  json::object body;
  body["clock_ms"] = status.m_clockMs;
  body["born"] = status.m_incarnation;
  body["running"] = std::move(running);
  body["ended"] = std::move(ended);
  aWaiting.m_reply->Send(MakeResponse(200, kJson, json::serialize(body)));
}

} // namespace egretturn::soak
