#include "egretturn/Daemon/Clients.h"

#include "egretturn/Daemon/DataPlane.h"
#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/EnumTable.h"

#include <array>

namespace egretturn {

namespace http = boost::beast::http;

static constexpr size_t kMaxLogResponseBytes = 64 * 1024 * 1024;
static constexpr size_t kMaxWorkerResponseBytes = 4 * 1024 * 1024;
static constexpr size_t kMaxPeerResponseBytes = 64 * 1024;
static constexpr int64_t kLongPollMs = 400;   // how long a read waits for new records
static constexpr uint64_t kHeaderBytes = 180; // estimate for a request or a response
static constexpr Duration kInstanceListInterval = std::chrono::seconds(1);
static constexpr Duration kWorkerTimeout = std::chrono::milliseconds(900);

static constexpr std::array<std::string_view, std::variant_size_v<WorkerBody>> kWorkerPaths{
  "/control/start",    "/control/renew",  "/control/stop",
  "/control/throttle", "/control/forget", "/control/list",
};

static void
CountCall(TrafficCounters& aCounters, size_t aSent, size_t aReceived)
{
  aCounters.m_sent += aSent + kHeaderBytes;
  aCounters.m_received += aReceived + kHeaderBytes;
  ++aCounters.m_calls;
}

LogClient::LogClient(EventLoopThread& aLoop,
                     EventQueue& aEvents,
                     const Settings& aSettings,
                     TrafficCounters& aCounters)
  : m_events(aEvents)
  , m_settings(aSettings)
  , m_counters(aCounters)
  , m_client(aLoop.Io(), kMaxLogResponseBytes)
  , m_instanceListTimer(aLoop.Io())
{
}

std::string
LogClient::StreamName(Stream aStream) const
{
  const std::string name(NameOf(aStream));
  return aStream == Stream::Zone ? name + "." + m_settings.m_zone : name;
}

void
LogClient::Handle(const Action& aAction)
{
  if (const ReadLog* read = std::get_if<ReadLog>(&aAction)) {
    Read(*read);
  } else if (const AppendLog* append = std::get_if<AppendLog>(&aAction)) {
    Append(*append);
  }
}

/// The body of the log's response to a read.
struct LogChunkBody
{
  struct Record
  {
    Offset m_offset = 0;
    std::string m_bytes;

    template<typename Self, typename Visit>
    static void Fields(Self& aSelf, Visit&& aVisit)
    {
      aVisit("offset", aSelf.m_offset);
      aVisit("bytes", aSelf.m_bytes);
    }
  };
  Offset m_oldest = 0;
  Offset m_next = 0;
  std::vector<Record> m_records;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("oldest", aSelf.m_oldest);
    aVisit("next", aSelf.m_next);
    aVisit("records", aSelf.m_records);
  }
};

void
LogClient::Read(const ReadLog& aRead)
{
  const std::string target = "/v1/streams/" + StreamName(aRead.m_stream) +
                             "/records?from=" + std::to_string(aRead.m_from) +
                             "&wait_ms=" + std::to_string(kLongPollMs);
  m_client.Send(
    m_settings.m_logAddress,
    MakeRequest(http::verb::get, target, ""),
    m_settings.m_timing.m_logTimeout,
    [this, aRead](const ClientResponse& aResponse) {
      CountCall(m_counters, 0, aResponse.m_response.body().size());
      LogChunkBody body;
      const bool valid = aResponse.m_result == ClientResult::Completed &&
                         aResponse.m_response.result() == http::status::ok &&
                         UnpackCompact(aResponse.m_response.body(), body);
      if (!valid) {
        m_events.PushUnbounded(LogReadFailed{ aRead.m_stream, aRead.m_requestedAt });
        return;
      }
      LogReadDone done{ aRead.m_stream, aRead.m_requestedAt, {} };
      done.m_chunk.m_oldest = body.m_oldest;
      done.m_chunk.m_next = body.m_next;
      for (LogChunkBody::Record& record : body.m_records) {
        done.m_chunk.m_records.push_back(LogRecord{ record.m_offset, std::move(record.m_bytes) });
      }
      m_events.PushUnbounded(std::move(done));
    });
}

void
LogClient::Append(const AppendLog& aAppend)
{
  const Stream stream = aAppend.m_call.m_stream;
  const uint64_t sequence = aAppend.m_call.m_sequence;
  m_client.Send(m_settings.m_logAddress,
                MakeRequest(http::verb::post,
                            "/v1/streams/" + StreamName(stream) + "/records",
                            aAppend.m_call.m_bytes),
                m_settings.m_timing.m_logTimeout,
                [this, stream, sequence, sent = aAppend.m_call.m_bytes.size()](
                  const ClientResponse& aResponse) {
                  CountCall(m_counters, sent, aResponse.m_response.body().size());
                  const bool accepted = aResponse.m_result == ClientResult::Completed &&
                                        aResponse.m_response.result() == http::status::ok;
                  m_events.PushUnbounded(LogAppendEnded{ stream, sequence, accepted });
                });
}

void
LogClient::PollInstanceList()
{
  m_instanceListTimer.expires_after(kInstanceListInterval);
  m_instanceListTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      ReadInstanceList();
      PollInstanceList();
    }
  });
}

void
LogClient::ReadInstanceList()
{
  m_client.Send(m_settings.m_directoryAddress,
                MakeRequest(http::verb::get, "/v1/instances", ""),
                kInstanceListInterval,
                [this](const ClientResponse& aResponse) {
                  CountCall(m_counters, 0, aResponse.m_response.body().size());
                  const Json body = Json::parse(aResponse.m_response.body(), nullptr, false);
                  DrainListArrived instances;
                  const bool valid = aResponse.m_result == ClientResult::Completed &&
                                     body.is_object() && body.contains("leaving");
                  if (valid && Decode(body["leaving"], instances.m_draining)) {
                    m_events.TryPush(std::move(instances));
                  }
                });
}

std::string
WorkerCallPath(const WorkerBody& aBody)
{
  return std::string(kWorkerPaths[aBody.index()]);
}

std::string
EncodeWorkerCall(const WorkerCall& aCall)
{
  Json json =
    std::visit([](const auto& aBody) { return Encode(aBody, FieldStyle::Named); }, aCall.m_body);
  json["epoch"] = aCall.m_epoch;
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Expected<WorkerCall>
ParseWorkerCall(std::string_view aPath, std::string_view aText)
{
  const Json json = Json::parse(aText, nullptr, false);
  WorkerCall call;
  for (size_t i = 0; i < kWorkerPaths.size(); ++i) {
    const bool valid = kWorkerPaths[i] == aPath && json.is_object() && json.contains("epoch") &&
                       Decode(json["epoch"], call.m_epoch);
    if (valid && DecodeAlternative(json, i, call.m_body)) {
      return call;
    }
  }
  return Fail(ErrorKind::BadInput, "not a valid control call", "see docs/INTERFACES.md");
}

WorkerClient::WorkerClient(EventLoopThread& aLoop, EventQueue& aEvents, TrafficCounters& aCounters)
  : m_events(aEvents)
  , m_counters(aCounters)
  , m_client(aLoop.Io(), kMaxWorkerResponseBytes)
{
}

void
WorkerClient::Handle(const Action& aAction)
{
  const CallWorker* call = std::get_if<CallWorker>(&aAction);
  if (!call) {
    return;
  }
  const WorkerId worker = call->m_worker;
  const uint64_t id = call->m_call;
  if (MonotonicNow() >= call->m_notAfter) {
    m_events.PushUnbounded(WorkerReplied{ worker, id, false, {} });
    return;
  }
  std::string text = EncodeWorkerCall(call->m_body);
  const size_t sent = text.size();
  m_client.Send(call->m_address,
                MakeRequest(http::verb::post, WorkerCallPath(call->m_body.m_body), std::move(text)),
                kWorkerTimeout,
                [this, worker, id, sent](const ClientResponse& aResponse) {
                  CountCall(m_counters, sent, aResponse.m_response.body().size());
                  WorkerReplied replied{ worker, id, false, {} };
                  const Json body = Json::parse(aResponse.m_response.body(), nullptr, false);
                  replied.m_replied = aResponse.m_result == ClientResult::Completed &&
                                      aResponse.m_response.result() == http::status::ok &&
                                      Decode(body, replied.m_reply);
                  m_events.PushUnbounded(std::move(replied));
                });
}

PeerClient::PeerClient(EventLoopThread& aLoop,
                       const Settings& aSettings,
                       const InstanceId& aSelf,
                       TrafficCounters& aCounters)
  : m_self(aSelf)
  , m_timeout(aSettings.m_timing.m_messageDelay)
  , m_counters(aCounters)
  , m_client(aLoop.Io(), kMaxPeerResponseBytes)
{
  for (const PeerSettings& peer : aSettings.m_peers) {
    m_addresses[peer.m_id] = peer.m_address;
  }
}

void
PeerClient::Handle(const Action& aAction)
{
  const SendPeer* send = std::get_if<SendPeer>(&aAction);
  const std::map<std::string, std::string>::const_iterator it =
    send ? m_addresses.find(send->m_peer) : m_addresses.end();
  if (it == m_addresses.end()) {
    return;
  }
  const Json json = Encode(PeerMessage{ m_self, send->m_body }, FieldStyle::Compact);
  std::string text =
    EncodeNotification("deliver", json.dump(-1, ' ', false, Json::error_handler_t::replace));
  const size_t sent = text.size();
  m_client.Send(it->second,
                MakeRequest(http::verb::post, "/rpc", std::move(text)),
                m_timeout,
                [this, sent](const ClientResponse& aResponse) {
                  CountCall(m_counters, sent, aResponse.m_response.body().size());
                });
}

} // namespace egretturn
