#include "egretturn/Daemon/DataPlane.h"

#include "egretturn/Http/ServerLimits.h"
#include "egretturn/Support/EnumTable.h"

#include <sstream>
#include <sys/resource.h>

namespace egretturn {

namespace http = boost::beast::http;

static constexpr const char* kRpcPath = "/rpc";
static constexpr const char* kRpcMethod = "deliver";
static constexpr size_t kPeerBodiesHeld = 4; // at a time
static constexpr size_t kPeerBodyBytes =
  16 * 1024 * 1024; // replicated states from peers are larger than requests

Instant
MonotonicNow()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

void
StatusBoard::Publish(bool aReady, std::string aReason, std::string aMetrics)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_ready = aReady;
  m_reason = std::move(aReason);
  m_metrics = std::move(aMetrics);
}

bool
StatusBoard::IsReady(std::string& aReason) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  aReason = m_reason;
  return m_ready;
}

std::string
StatusBoard::Metrics() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_metrics;
}

/// Returns how many descriptors the process may have.
static uint64_t
DescriptorLimit()
{
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : RLIM_INFINITY;
}

static HttpLimits
PeerLimits(HttpLimits aLimits)
{
  aLimits.m_bodyBytes = std::max(aLimits.m_bodyBytes, kPeerBodyBytes);
  aLimits.m_heldBytes = std::max(aLimits.m_heldBytes, kPeerBodiesHeld * kPeerBodyBytes);
  return FitPeersTo(aLimits, DescriptorLimit());
}

DataPlane::DataPlane(EventLoopThread& aLoop,
                     EventQueue& aEvents,
                     const Settings& aSettings,
                     StatusBoard& aStatusBoard)
  : m_events(aEvents)
  , m_settings(aSettings)
  , m_statusBoard(aStatusBoard)
  , m_server(aLoop.Io(),
             FitCallersTo(aSettings.m_limits, DescriptorLimit()),
             [this](HttpRequest aRequest, const std::shared_ptr<HttpReply>& aReply) {
               OnRequest(std::move(aRequest), aReply, false);
             })
  , m_peerServer(aLoop.Io(),
                 PeerLimits(aSettings.m_limits),
                 [this](HttpRequest aRequest, const std::shared_ptr<HttpReply>& aReply) {
                   OnRequest(std::move(aRequest), aReply, true);
                 })
  , m_client(aLoop.Io(), aSettings.m_limits.m_responseBytes)
  , m_rpcServer(kRpcMethod, [this](const std::string& aMessage) { OnPeerMessage(aMessage); })
{
}

Expected<void>
DataPlane::Listen()
{
  const Expected<void> callers = m_server.Listen(m_settings.m_listen);
  return callers ? m_peerServer.Listen(m_settings.m_peerListen) : callers;
}

void
DataPlane::StopAccepting()
{
  m_server.StopAccepting();
  m_peerServer.StopAccepting();
}

void
DataPlane::OnPeerMessage(const std::string& aMessage)
{
  const Json json = Json::parse(aMessage, nullptr, false);
  PeerArrived arrived;
  if (!json.is_discarded() && Decode(json, arrived.m_message)) {
    m_events.TryPush(std::move(arrived));
  }
}

void
DataPlane::OnRequest(HttpRequest aRequest, const std::shared_ptr<HttpReply>& aReply, bool aFromPeer)
{
  if (aFromPeer && aRequest.target() == kRpcPath) {
    m_rpcServer.Handle(aRequest.body());
    aReply->Send(MakeResponse(204, kJsonType, ""));
    return;
  }
  if (IsServiceRequest(aRequest)) {
    OnServiceRequest(std::move(aRequest), aReply, aFromPeer);
  } else if (!HandleFixedPath(aRequest, *aReply)) {
    OnCommand(aRequest, aReply);
  }
}

bool
DataPlane::HandleFixedPath(const HttpRequest& aRequest, HttpReply& aReply)
{
  if (aRequest.method() != http::verb::get) {
    return false;
  }
  if (aRequest.target() == "/healthz") {
    aReply.Send(MakeResponse(200, "text/plain", "alive\n"));
    return true;
  }
  if (aRequest.target() == "/readyz") {
    std::string reason;
    const bool ready = m_statusBoard.IsReady(reason);
    aReply.Send(MakeResponse(
      ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready: " + reason + "\n"));
    return true;
  }
  if (aRequest.target() == "/version") {
    aReply.Send(MakeResponse(200, kJsonType, R"({"version":")" EGRETTURN_VERSION R"("})"));
    return true;
  }
  if (aRequest.target() == "/metrics") {
    aReply.Send(
      MakeResponse(200, "text/plain; version=0.0.4", m_statusBoard.Metrics() + MetricsText()));
    return true;
  }
  return false;
}

std::string
DataPlane::MetricsText() const
{
  std::ostringstream text;
  text << "# TYPE egretturn_request_seconds summary\n";
  for (const double quantile : { 0.5, 0.9, 0.99, 0.999 }) {
    text << "egretturn_request_seconds{quantile=\"" << quantile << "\"} "
         << std::chrono::duration<double>(m_latency.Quantile(quantile)).count() << '\n';
  }
  text << "egretturn_request_seconds_count " << static_cast<uint64_t>(m_latency.Count()) << '\n'
       << "# TYPE egretturn_requests_shed_total counter\n"
       << "egretturn_requests_shed_total " << m_shedRequests << '\n'
       << "# TYPE egretturn_caller_connections gauge\n"
       << "egretturn_caller_connections " << m_server.Connections() << '\n'
       << "# TYPE egretturn_log_lines_dropped_total counter\n"
       << "egretturn_log_lines_dropped_total " << DroppedLogLines() << '\n'
       << "# TYPE egretturn_build_info gauge\n"
       << "egretturn_build_info{version=\"" EGRETTURN_VERSION "\"} 1\n";
  return text.str();
}

void
DataPlane::OnServiceRequest(HttpRequest aRequest,
                            const std::shared_ptr<HttpReply>& aReply,
                            bool aFromPeer)
{
  Expected<RequestArrived> arrived = ParseServiceRequest(aRequest);
  if (!arrived) {
    aReply->Send(ErrorResponse(arrived.error(), Outcome::NotRun));
    return;
  }
  const RequestId id = m_nextId++;
  arrived->m_id = id;
  arrived->m_forwarded = aFromPeer;
  if (!m_events.TryPush(std::move(*arrived))) {
    ++m_shedRequests;
    const Error error{ ErrorKind::Overloaded, "this instance is overloaded", "retry after 1 s" };
    aReply->Send(ErrorResponse(error, Outcome::NotRun));
    return;
  }
  PendingRequest& pending = m_requests[id];
  pending.m_request = std::move(aRequest);
  pending.m_reply = aReply;
  pending.m_arrivedAt = MonotonicNow();
  aReply->OnDisconnect([this, id] { m_events.PushUnbounded(CallerDisconnected{ id }); });
}

void
DataPlane::OnCommand(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply)
{
  Expected<CommandBody> body = ParseCommand(aRequest);
  if (!body) {
    aReply->Send(ErrorResponse(body.error(), std::nullopt));
    return;
  }
  const CommandId id = m_nextId++;
  m_commands[id] = aReply;
  if (!m_events.TryPush(CommandArrived{ id, std::move(*body) })) {
    m_commands.erase(id);
    const Error error{ ErrorKind::Overloaded, "this instance is overloaded", "retry after 1 s" };
    aReply->Send(ErrorResponse(error, std::nullopt));
  }
}

void
DataPlane::Handle(Action aAction)
{
  std::visit(Overloaded{
               [this](const Dispatch& aDispatch) { SendDispatch(aDispatch); },
               [this](const AbandonDispatch& aAbandon) {
                 const std::unordered_map<RequestId, PendingRequest>::iterator it =
                   m_requests.find(aAbandon.m_id);
                 if (it == m_requests.end()) {
                   return;
                 }
                 if (const std::shared_ptr<ClientCall> call =
                       it->second.m_calls[aAbandon.m_attempt]) {
                   call->Cancel();
                 }
                 it->second.m_calls.erase(aAbandon.m_attempt);
               },
               [this](const CompleteRequest& aCompletion) { SendResponse(aCompletion); },
               [this](const ReplyCommand& aReply) {
                 const std::unordered_map<CommandId, std::shared_ptr<HttpReply>>::iterator it =
                   m_commands.find(aReply.m_id);
                 if (it != m_commands.end()) {
                   it->second->Send(CommandResponse(aReply));
                   m_commands.erase(it);
                 }
               },
               [](const auto&) {},
             },
             aAction);
}

void
DataPlane::SendDispatch(const Dispatch& aDispatch)
{
  const std::unordered_map<RequestId, PendingRequest>::iterator it =
    m_requests.find(aDispatch.m_id);
  const RequestId id = aDispatch.m_id;
  const uint32_t attempt = aDispatch.m_attempt;
  if (it == m_requests.end() || MonotonicNow() >= aDispatch.m_notAfter) {
    m_events.PushUnbounded(
      DispatchEnded{ id, attempt, DispatchResult::NotSent, 0, std::nullopt, "" });
    return;
  }
  const bool peer = !aDispatch.m_peer.empty();
  it->second.m_calls[attempt] =
    m_client.Send(aDispatch.m_address,
                  MakeDispatchRequest(it->second.m_request, aDispatch),
                  aDispatch.m_timeout,
                  [this, id, attempt, peer](ClientResponse aResponse) {
                    OnDispatchResponse(id, attempt, peer, std::move(aResponse));
                  });
}

static DispatchResult
ToDispatchResult(ClientResult aResult)
{
  switch (aResult) {
    case ClientResult::Completed:
      return DispatchResult::Completed;
    case ClientResult::NotSent:
      return DispatchResult::NotSent;
    case ClientResult::TimedOut:
      return DispatchResult::TimedOut;
    case ClientResult::Broken:
      break;
  }
  return DispatchResult::Broken;
}

void
DataPlane::OnDispatchResponse(RequestId aId,
                              uint32_t aAttempt,
                              bool aPeer,
                              ClientResponse aResponse)
{
  const std::unordered_map<RequestId, PendingRequest>::iterator it = m_requests.find(aId);
  if (it == m_requests.end()) {
    return;
  }
  it->second.m_calls.erase(aAttempt);
  DispatchEnded ended{ aId, aAttempt, ToDispatchResult(aResponse.m_result), 0, std::nullopt, "" };
  if (aResponse.m_result == ClientResult::Completed) {
    ended.m_status = aResponse.m_response.result_int();
    if (aResponse.m_response.find(kRefusedHeader) != aResponse.m_response.end()) {
      ended.m_result = DispatchResult::Refused;
    }
    const boost::beast::string_view outcome = aResponse.m_response[kOutcomeHeader];
    if (aPeer) {
      ended.m_peerOutcome = ParseOutcome(std::string_view(outcome.data(), outcome.size()));
    }
    if (!it->second.m_request[kIdempotencyKeyHeader].empty()) {
      ended.m_responseBody = aResponse.m_response.body().substr(0, kMaxRecordedBodyBytes);
    }
    it->second.m_responses[aAttempt] = std::move(aResponse.m_response);
  }
  m_events.PushUnbounded(std::move(ended));
  if (!it->second.m_reply && it->second.m_calls.empty()) {
    m_requests.erase(it);
  }
}

void
DataPlane::SendResponse(const CompleteRequest& aAction)
{
  const std::unordered_map<RequestId, PendingRequest>::iterator it = m_requests.find(aAction.m_id);
  if (it == m_requests.end() || !it->second.m_reply) {
    return;
  }
  PendingRequest& pending = it->second;
  HttpResponse response;
  const std::map<uint32_t, HttpResponse>::iterator stored =
    pending.m_responses.find(aAction.m_attempt);
  if (aAction.m_recordedStatus != 0) {
    response = MakeResponse(aAction.m_recordedStatus, kJsonType, aAction.m_recordedBody);
    response.set("Egretturn-Recorded", "yes");
  } else if (aAction.m_outcome == Outcome::Done && stored != pending.m_responses.end()) {
    const boost::beast::string_view type = stored->second[http::field::content_type];
    response = MakeResponse(stored->second.result_int(),
                            std::string_view(type.data(), type.size()),
                            std::move(stored->second.body()));
  } else {
    response = ErrorResponse(aAction.m_error, aAction.m_outcome);
  }
  const std::string_view outcome = NameOf(aAction.m_outcome);
  response.set(kOutcomeHeader, boost::beast::string_view(outcome.data(), outcome.size()));
  m_latency.Record(MonotonicNow() - pending.m_arrivedAt);
  pending.m_reply->Send(std::move(response));
  if (pending.m_calls.empty()) {
    m_requests.erase(it);
  } else {
    pending.m_reply.reset(); // a keyed request keeps running so that its outcome is recorded
  }
}

} // namespace egretturn
