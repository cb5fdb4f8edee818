#include "Platform.h"

#include "egretturn/Journal/Codec.h"

#include <boost/asio/post.hpp>

namespace egretturn {

namespace http = boost::beast::http;

static constexpr std::string_view kStreamPrefix = "/v1/streams/";
static constexpr std::string_view kRecordsSuffix = "/records";
static constexpr size_t kMaxRecordsPerRead = 512;
static constexpr Duration kPollInterval = std::chrono::milliseconds(20);

static Instant
Now()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

static HttpLimits
LogServiceLimits()
{
  HttpLimits limits;
  limits.m_bodyBytes = 64 * 1024 * 1024;
  limits.m_idle = std::chrono::seconds(300);
  return limits;
}

PlatformServer::PlatformServer(boost::asio::io_context& aIo)
  : m_timer(aIo)
  , m_server(aIo,
             LogServiceLimits(),
             [this](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
               OnRequest(aRequest, aReply);
             })
{
}

Expected<void>
PlatformServer::Listen(const std::string& aAddress)
{
  Tick();
  return m_server.Listen(aAddress);
}

void
PlatformServer::Tick()
{
  CompletePendingReads();
  m_timer.expires_after(kPollInterval);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

static std::string
QueryValue(std::string_view aQuery, std::string_view aName)
{
  const std::string prefix = std::string(aName) + "=";
  const size_t at = aQuery.find(prefix);
  if (at == std::string_view::npos) {
    return "";
  }
  const std::string_view rest = aQuery.substr(at + prefix.size());
  return std::string(rest.substr(0, rest.find('&')));
}

void
PlatformServer::OnRequest(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply)
{
  const std::string_view target(aRequest.target().data(), aRequest.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  if (path == "/admin") {
    OnAdmin(aRequest, *aReply);
    return;
  }
  if (path == "/v1/instances") {
    aReply->Send(MakeResponse(200, "application/json", Json{ { "leaving", m_draining } }.dump()));
    return;
  }
  if (m_faults.m_outage) {
    aReply->Send(MakeResponse(503, "text/plain", "outage\n"));
    return;
  }
  if (!path.starts_with(kStreamPrefix) || !path.ends_with(kRecordsSuffix)) {
    aReply->Send(MakeResponse(404, "text/plain", "no such path\n"));
    return;
  }
  const std::string stream(
    path.substr(kStreamPrefix.size(), path.size() - kStreamPrefix.size() - kRecordsSuffix.size()));
  if (aRequest.method() == http::verb::post) {
    OnAppend(stream, aRequest.body(), *aReply);
    return;
  }
  const Offset from = std::strtoull(QueryValue(target, "from").c_str(), nullptr, 10);
  const int64_t waitMs = std::strtoll(QueryValue(target, "wait_ms").c_str(), nullptr, 10);
  OnRead(PendingRead{ stream, from, aReply, Now() + std::chrono::milliseconds(waitMs) });
}

void
PlatformServer::OnAdmin(const HttpRequest& aRequest, HttpReply& aReply)
{
  const Json body = Json::parse(aRequest.body(), nullptr, false);
  if (body.is_object()) {
    Decode(body, m_faults);
    m_log.SetRetention(std::chrono::milliseconds(m_faults.m_retentionMs));
    m_log.SetRateLimit(m_faults.m_appendsPerSecond);
    if (body.contains("leaving") && body["leaving"].is_array()) {
      std::vector<std::string> draining;
      Decode(body["leaving"], draining);
      m_draining = std::set<std::string>(draining.begin(), draining.end());
    }
  }
  Json response = Encode(m_faults, FieldStyle::Named);
  response["appends"] = m_log.Appends();
  response["bytes"] = m_log.Bytes();
  aReply.Send(MakeResponse(200, "application/json", response.dump()));
}

void
PlatformServer::OnAppend(const std::string& aStream, const std::string& aBytes, HttpReply& aReply)
{
  const std::optional<Offset> offset = m_log.Append(aStream, aBytes, Now());
  if (!offset) {
    aReply.Send(MakeResponse(429, "text/plain", "too many appends\n"));
    return;
  }
  if (m_random.Unit() < m_faults.m_loseResponses) {
    aReply.Send(MakeResponse(500, "text/plain", "the response was lost\n"));
  } else {
    aReply.Send(MakeResponse(200, "application/json", Json{ { "offset", *offset } }.dump()));
  }
  CompletePendingReads();
}

void
PlatformServer::OnRead(PendingRead aRead)
{
  const LogChunk chunk = m_log.Read(aRead.m_stream, aRead.m_from, 1, Now());
  const bool ready = !chunk.m_records.empty() || chunk.m_oldest > aRead.m_from;
  if (ready && m_faults.m_delayMs == 0) {
    SendChunk(aRead);
    return;
  }
  if (m_faults.m_delayMs > 0) {
    aRead.m_deadline = Now() + std::chrono::milliseconds(m_faults.m_delayMs);
  }
  m_pendingReads.push_back(std::move(aRead));
}

void
PlatformServer::SendChunk(const PendingRead& aRead)
{
  const LogChunk chunk = m_log.Read(aRead.m_stream, aRead.m_from, kMaxRecordsPerRead, Now());
  Json records = Json::array();
  for (const LogRecord& record : chunk.m_records) {
    records.push_back(Json::array({ record.m_offset, record.m_bytes }));
  }
  std::string bytes;
  Json::to_msgpack(Json::array({ chunk.m_oldest, chunk.m_next, std::move(records) }), bytes);
  aRead.m_reply->Send(MakeResponse(200, "application/msgpack", std::move(bytes)));
}

void
PlatformServer::CompletePendingReads()
{
  for (std::list<PendingRead>::iterator it = m_pendingReads.begin(); it != m_pendingReads.end();) {
    const LogChunk chunk = m_log.Read(it->m_stream, it->m_from, 1, Now());
    const bool ready = !chunk.m_records.empty() && m_faults.m_delayMs == 0;
    if (m_faults.m_outage) {
      it->m_reply->Send(MakeResponse(503, "text/plain", "outage\n"));
    } else if (ready || Now() >= it->m_deadline) {
      SendChunk(*it);
    } else {
      ++it;
      continue;
    }
    it = m_pendingReads.erase(it);
  }
}

} // namespace egretturn
