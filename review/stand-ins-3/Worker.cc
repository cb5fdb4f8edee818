#include "Worker.hh"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <unistd.h>

namespace review {

namespace json = boost::json;
using namespace egretturn;

static constexpr const char* kJson = "application/json";
static constexpr std::chrono::milliseconds kTick(10);

static int64_t
MonotonicMs()
{
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/// Returns the number in a field, or 0.
static int64_t
NumberOf(const json::object& aBody, const char* aField)
{
  const json::value* field = aBody.if_contains(aField);
  return field && field->is_number() ? field->to_number<int64_t>() : 0;
}

static std::string
TextOf(const json::object& aBody, const char* aField)
{
  const json::value* field = aBody.if_contains(aField);
  return field && field->is_string() ? std::string(field->as_string()) : std::string();
}

Worker::Worker(boost::asio::io_context& aIo, WorkerSettings aSettings)
  : m_io(aIo)
  , m_timer(aIo)
  , m_settings(std::move(aSettings))
  , m_record(std::fopen(m_settings.m_record.c_str(), "a"))
  , m_startedAtMs(MonotonicMs())
{
}

bool
Worker::Listen()
{
  HttpLimits limits;
  limits.m_connections = 64; // channels of a worker
  limits.m_idle = std::chrono::minutes(5);
  m_server = std::make_unique<HttpServer>(
    m_io, limits, [this](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
      Handle(aRequest, aReply);
    });
  if (!m_server->Listen("127.0.0.1:" + std::to_string(m_settings.m_port))) {
    return false;
  }
  Tick();
  return true;
}

int64_t
Worker::ClockMs() const
{
  return MonotonicMs() - m_startedAtMs + 1;
}

void
Worker::Record(const std::string& aLine)
{
  std::fprintf(m_record,
               "%lld %s %s\n",
               static_cast<long long>(MonotonicMs()),
               m_settings.m_id.c_str(),
               aLine.c_str());
  std::fflush(m_record);
}

bool
Worker::LeaveUnanswered(const std::string& aBody)
{
  // Of all workers, the first one to take the file leaves its start unanswered.
  const std::string folder = m_settings.m_record.substr(0, m_settings.m_record.rfind('/'));
  const std::string late = m_settings.m_record + ".late";
  if (std::rename((folder + "/leave-unanswered").c_str(), late.c_str()) != 0) {
    return false;
  }
  std::ofstream(late, std::ios::app) << MonotonicMs() << "\n" << aBody << "\n";
  Record("leaves unanswered " + aBody);
  return true;
}

void
Worker::CarryOutLate()
{
  const std::string late = m_settings.m_record + ".late";
  std::ifstream file(late);
  int64_t delayMs = 0;
  int64_t sentMs = 0;
  std::string body;
  if (!(file >> delayMs >> sentMs) || MonotonicMs() < sentMs + delayMs) {
    return;
  }
  file >> std::ws;
  std::getline(file, body);
  std::remove(late.c_str());
  boost::system::error_code error;
  const json::value parsed = json::parse(body, error);
  const json::object& order = parsed.as_object();
  const uint64_t fence = static_cast<uint64_t>(NumberOf(order, "fence"));
  std::string result = "fence";
  if (fence >= m_fence) {
    m_fence = fence;
    result = Start(TextOf(order, "task"),
                   static_cast<uint64_t>(NumberOf(order, "run")),
                   TextOf(order, "spec"),
                   NumberOf(order, "until_ms"));
  }
  Record("late " + TextOf(order, "task") + " " + std::to_string(NumberOf(order, "run")) + " " +
         (result.empty() ? "carried_out" : result));
}

void
Worker::Tick()
{
  CarryOutLate();
  Advance();
  std::vector<WaitingHold> waiting = std::move(m_waiting);
  m_waiting.clear();
  for (const WaitingHold& hold : waiting) {
    RespondToHold(hold);
  }
  m_timer.expires_after(kTick);
  m_timer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
Worker::Advance()
{
  const int64_t now = ClockMs();
  std::vector<std::string> done;
  for (const std::pair<const std::string, Run>& entry : m_running) {
    const int64_t endsAt = entry.second.m_endsAtMs;
    if (endsAt > 0 && endsAt <= std::min(now, m_leaseUntilMs)) {
      done.push_back(entry.first);
    }
  }
  for (const std::string& task : done) {
    Finish(task, "done");
  }
  while (now >= m_leaseUntilMs && !m_running.empty()) {
    Finish(m_running.begin()->first, "lapsed");
  }
}

void
Worker::Finish(std::string aTask, const std::string& aHow)
{
  const auto it = m_running.find(aTask);
  const uint64_t run = it->second.m_run;
  m_running.erase(it);
  m_barred[aTask] = std::max(m_barred[aTask], run);
  m_ended.push_back({ ++m_lastEnd, aTask, run, aHow });
  Record("end " + aTask + " " + std::to_string(run) + " " + aHow);
}

void
Worker::TakeLease(int64_t aUntilMs)
{
  m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(aUntilMs, ClockMs() + m_settings.m_maxHoldMs));
}

std::string
Worker::Start(const std::string& aTask, uint64_t aRun, const std::string& aSpec, int64_t aUntil)
{
  Advance();
  const auto it = m_running.find(aTask);
  if (it != m_running.end() && it->second.m_run == aRun) {
    return "";
  }
  const auto barred = m_barred.find(aTask);
  if ((barred != m_barred.end() && barred->second >= aRun) || it != m_running.end()) {
    TakeLease(aUntil);
    return "old";
  }
  if (aUntil <= ClockMs()) {
    return "late";
  }
  TakeLease(aUntil);
  const size_t at = aSpec.find("ms=");
  const int64_t length = at == std::string::npos ? 0 : std::atoll(aSpec.c_str() + at + 3);
  m_running[aTask] = { aRun, length > 0 ? ClockMs() + length : 0, ClockMs() };
  Record("start " + aTask + " " + std::to_string(aRun));
  return "";
}

void
Worker::Stop(const std::string& aTask, uint64_t aRun)
{
  Advance();
  const auto it = m_running.find(aTask);
  if (it != m_running.end() && it->second.m_run <= aRun) {
    Finish(aTask, "stopped");
  }
  m_barred[aTask] = std::max(m_barred[aTask], aRun);
}

void
Worker::Respond(const std::shared_ptr<HttpReply>& aReply, const std::string& aReason)
{
  json::object body;
  body["clock_ms"] = ClockMs();
  body["born"] = m_settings.m_bornMs;
  if (!aReason.empty()) {
    body["reason"] = aReason;
  }
  aReply->Send(MakeResponse(aReason.empty() ? 200 : 409, kJson, json::serialize(body)));
}

void
Worker::Handle(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply)
{
  if (access((m_settings.m_record + ".cut").c_str(), F_OK) == 0) {
    m_unanswered.push_back(aReply); // nothing arrives, and nothing is answered
    return;
  }
  const std::string expected(aRequest["Expect-Instance"].data(),
                             aRequest["Expect-Instance"].size());
  if (!expected.empty() && expected != m_settings.m_id) {
    aReply->Send(MakeResponse(421, kJson, "{}"));
    return;
  }
  const std::string path(aRequest.target().data(), aRequest.target().size());
  boost::system::error_code error;
  const json::value parsed = json::parse(aRequest.body(), error);
  if (error || !parsed.is_object()) {
    aReply->Send(MakeResponse(400, kJson, "{}"));
    return;
  }
  const json::object& body = parsed.as_object();
  const uint64_t fence = static_cast<uint64_t>(NumberOf(body, "fence"));
  if (fence < m_fence) {
    Respond(aReply, "fence");
    return;
  }
  m_fence = fence;
  const std::string task = TextOf(body, "task");
  const uint64_t run = static_cast<uint64_t>(NumberOf(body, "run"));
  if (path == "/-/run-start") {
    if (LeaveUnanswered(aRequest.body())) {
      m_unanswered.push_back(aReply);
      return;
    }
    Respond(aReply, Start(task, run, TextOf(body, "spec"), NumberOf(body, "until_ms")));
  } else if (path == "/-/run-stop") {
    Stop(task, run);
    Respond(aReply, "");
  } else if (path == "/-/pace") {
    Respond(aReply, "");
  } else if (path == "/-/hold") {
    TakeLease(NumberOf(body, "until_ms"));
    const uint64_t seen = static_cast<uint64_t>(NumberOf(body, "seen_upto"));
    m_ended.erase(std::remove_if(m_ended.begin(),
                                 m_ended.end(),
                                 [&](const End& aEnd) { return aEnd.m_number <= seen; }),
                  m_ended.end());
    Advance();
    RespondToHold({ ClockMs() + NumberOf(body, "wait_ms"), aReply });
  } else {
    aReply->Send(MakeResponse(404, kJson, "{}"));
  }
}

void
Worker::RespondToHold(const WaitingHold& aHold)
{
  const int64_t now = ClockMs();
  if (m_ended.empty() && now < aHold.m_untilMs) {
    m_waiting.push_back(aHold);
    return;
  }
  json::array running;
  for (const std::pair<const std::string, Run>& entry : m_running) {
    const Run& run = entry.second;
    const int64_t length = run.m_endsAtMs - run.m_startedAtMs;
    const int64_t percent =
      run.m_endsAtMs == 0 ? 100
                          : std::clamp<int64_t>(100 * (now - run.m_startedAtMs) / length, 0, 100);
    running.push_back(json::array{ json::string(entry.first), run.m_run, "", percent, 0 });
  }
  json::array ended;
  for (size_t i = 0; i < m_ended.size() && i < 500; ++i) {
    const End& end = m_ended[i];
    ended.push_back(json::array{
      end.m_number, json::string(end.m_task), end.m_run, json::string(end.m_how), "" });
  }
  json::object body;
  body["clock_ms"] = now;
  body["born"] = m_settings.m_bornMs;
  body["running"] = std::move(running);
  body["ended"] = std::move(ended);
  aHold.m_reply->Send(MakeResponse(200, kJson, json::serialize(body)));
}

} // namespace review
