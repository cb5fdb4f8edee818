#include "Targets.h"

#include "egretturn/Daemon/Api.h"
#include "egretturn/Daemon/Clients.h"

#include <boost/asio/steady_timer.hpp>
#include <cmath>

namespace egretturn {

static constexpr double kSlowdownPerTask = 0.03; // of a request, for each task on the worker

static Instant
Now()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

TargetServer::TargetServer(boost::asio::io_context& aIo,
                           const std::string& aAddress,
                           const Resources& aSize,
                           uint32_t aSlots,
                           const TargetOptions& aOptions,
                           const std::vector<std::string>& aKinds)
  : m_io(aIo)
  , m_address(aAddress)
  , m_slots(aSlots)
  , m_options(aOptions)
  , m_model(aSize, HashBytes(aAddress))
  , m_server(aIo,
             HttpLimits{},
             [this](HttpRequest aRequest, const std::shared_ptr<HttpReply>& aReply) {
               OnRequest(std::move(aRequest), aReply);
             })
  , m_random(HashBytes(aAddress))
{
  for (const std::string& kind : aKinds) {
    TaskBehavior truth;
    truth.m_runTime = std::chrono::milliseconds(aOptions.m_taskMs);
    truth.m_peak = Resources{ 500, 256, 0 };
    truth.m_checkpoints = true;
    m_model.SetBehavior(kind, truth);
  }
}

Expected<void>
TargetServer::Listen()
{
  return m_server.Listen(m_address);
}

void
TargetServer::OnRequest(HttpRequest aRequest, const std::shared_ptr<HttpReply>& aReply)
{
  const std::string path(aRequest.target().data(), aRequest.target().size());
  if (path == "/admin") {
    OnAdmin(aRequest, *aReply);
    return;
  }
  if (IsServiceRequest(aRequest)) {
    OnService(aRequest, aReply);
    return;
  }
  const Expected<WorkerCall> call = ParseWorkerCall(path, aRequest.body());
  if (!call) {
    aReply->Send(ErrorResponse(call.error(), std::nullopt));
    return;
  }
  m_model.SetBusySlots(m_busySlots);
  const WorkerReply reply = m_model.Handle(*call, Now());
  aReply->Send(MakeResponse(200, "application/json", Encode(reply, FieldStyle::Named).dump()));
}

void
TargetServer::OnService(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply)
{
  if (m_failAll) {
    aReply->Send(MakeResponse(500, "application/json", R"({"error":"injected"})"));
    return;
  }
  if (m_busySlots >= m_slots) {
    HttpResponse refused = MakeResponse(503, "application/json", R"({"error":"no free slot"})");
    refused.set(kRefusedHeader, "yes");
    aReply->Send(std::move(refused));
    return;
  }
  ++m_busySlots;
  const boost::beast::string_view keyView = aRequest[kIdempotencyKeyHeader];
  const std::string key(keyView.data(), keyView.size());
  // The service time is log-normal around the median and grows with the number of running tasks.
  const double uniform = std::max(m_random.Unit(), 1e-9);
  const double normal = std::sqrt(-2 * std::log(uniform)) * std::cos(6.2831853 * m_random.Unit());
  const double slowdown = 1 + kSlowdownPerTask * static_cast<double>(m_model.Running());
  const double us = static_cast<double>(m_options.m_serviceUs) * slowdown * std::exp(0.3 * normal);
  if (us < 1) {
    FinishRequest(key, aRequest.body().size(), aReply);
    return;
  }
  const std::shared_ptr<boost::asio::steady_timer> timer =
    std::make_shared<boost::asio::steady_timer>(m_io);
  timer->expires_after(std::chrono::microseconds(static_cast<int64_t>(us)));
  timer->async_wait([this, timer, key, bytes = aRequest.body().size(), aReply](
                      const boost::system::error_code&) { FinishRequest(key, bytes, aReply); });
}

void
TargetServer::FinishRequest(const std::string& aKey,
                            size_t aBodyBytes,
                            const std::shared_ptr<HttpReply>& aReply)
{
  --m_busySlots;
  ++m_served;
  if (!aKey.empty()) {
    ++m_runsByKey[aKey];
  }
  const Json body{ { "worker", m_address }, { "body_bytes", aBodyBytes }, { "serial", m_served } };
  HttpResponse response = MakeResponse(200, "application/json", body.dump());
  if (m_truncateResponses) {
    response.content_length(response.body().size() + 100);
    response.keep_alive(false);
  }
  aReply->Send(std::move(response));
}

Json
TargetServer::HistoryJson() const
{
  Json runs = Json::array();
  for (const AttemptRecord& record : m_model.History()) {
    const bool running = record.m_to == Instant::max();
    runs.push_back(Json{ { "job", record.m_taskAttempt.m_task.m_job },
                         { "task", record.m_taskAttempt.m_task.m_index },
                         { "attempt", record.m_taskAttempt.m_attempt },
                         { "from_ms", ToMillis(record.m_from.time_since_epoch()) },
                         { "to_ms", running ? -1 : ToMillis(record.m_to.time_since_epoch()) },
                         { "state", static_cast<int>(record.m_state) } });
  }
  return Json{ { "worker", m_address },
               { "served", m_served },
               { "ran_by_key", m_runsByKey },
               { "runs", std::move(runs) } };
}

void
TargetServer::OnAdmin(const HttpRequest& aRequest, HttpReply& aReply)
{
  const Json body = Json::parse(aRequest.body(), nullptr, false);
  if (body.is_object()) {
    m_model.SetDraining(body.value("leaving", false));
    m_failAll = body.value("fails_all", false);
    m_model.SetFailAllTasks(m_failAll);
    m_truncateResponses = body.value("truncates", false);
    m_options.m_serviceUs = body.value("service_us", m_options.m_serviceUs);
  }
  m_model.Advance(Now());
  aReply.Send(MakeResponse(200, "application/json", HistoryJson().dump()));
}

} // namespace egretturn
