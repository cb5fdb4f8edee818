#include "World.hh"

#include <algorithm>
#include <cstring>
#include <iostream>
#include <thread>

namespace standin {

// Limits of the pages: PROTOCOL.md and the settings of a small deployment.
static constexpr size_t kRecordBytes = 262144;
static constexpr size_t kCallBytes = 2097152;
static int64_t s_holdMaxMs = 6000;
static constexpr int64_t kStopMs = 100; // a stop takes at most stop_ms, 400
static constexpr size_t kEndsPerAnswer = 500;
static constexpr int64_t kAnswerMs = 3; // append_ms
static constexpr size_t kItemsPerPage = 500;
static constexpr int64_t kMaxWaitMs = 2000; // of a look at a worker

void
SetHoldMaxMs(int64_t aMs)
{
  s_holdMaxMs = aMs;
}

int64_t
HoldMaxMs()
{
  return s_holdMaxMs;
}

int64_t
NowMs()
{
  static const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               start)
    .count();
}

Record::Record(const std::string& aPath)
  : m_file(aPath, std::ios::trunc)
{
}

void
Record::Line(const std::string& aText)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>(NowMs()) / 1000.0);
  m_file << time << aText << std::endl;
}

namespace {

class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket, Handler& aHandler)
    : m_stream(std::move(aSocket))
    , m_handler(aHandler)
  {
    m_stream.socket().set_option(tcp::no_delay(true));
  }

  void Read()
  {
    m_parser.emplace();
    m_parser->body_limit(16 * 1024 * 1024);
    http::async_read(
      m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code aError, size_t) {
        if (aError) {
          return;
        }
        const Request request = self->m_parser->release();
        self->m_handler(request, [self](unsigned aStatus, std::string aBody) {
          self->Send(aStatus, std::move(aBody));
        });
      });
  }

private:
  void Send(unsigned aStatus, std::string aBody)
  {
    m_response = Response(http::status(aStatus), 11);
    m_response.set(http::field::content_type, "application/json");
    m_response.body() = std::move(aBody);
    m_response.prepare_payload();
    http::async_write(
      m_stream, m_response, [self = shared_from_this()](beast::error_code aError, size_t) {
        if (!aError) {
          self->Read();
        }
      });
  }

  beast::tcp_stream m_stream;
  Handler& m_handler;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  Response m_response;
};

std::map<std::string, std::string>
ParseQuery(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  const size_t mark = aTarget.find('?');
  std::string rest = mark == std::string::npos ? "" : aTarget.substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = std::min(rest.find('&'), rest.size());
    const std::string pair = rest.substr(0, end);
    rest = end < rest.size() ? rest.substr(end + 1) : "";
    const size_t equals = pair.find('=');
    std::string value;
    for (size_t i = equals + 1; equals != std::string::npos && i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        value += pair[i];
      }
    }
    query[pair.substr(0, equals)] = value;
  }
  return query;
}

void
PutNumber(std::string& aText, uint64_t aNumber, int aBytes)
{
  for (int i = aBytes - 1; i >= 0; --i) {
    aText += static_cast<char>((aNumber >> (8 * i)) & 0xff);
  }
}

std::string
Base64(const std::string& aText)
{
  std::string encoded(beast::detail::base64::encoded_size(aText.size()), '\0');
  encoded.resize(beast::detail::base64::encode(encoded.data(), aText.data(), aText.size()));
  return encoded;
}

int64_t
Number(const json::object& aBody, const char* aName)
{
  const json::value* value = aBody.if_contains(aName);
  return value && value->is_int64() ? value->as_int64() : 0;
}

std::string
Text(const json::object& aBody, const char* aName)
{
  const json::value* value = aBody.if_contains(aName);
  return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

} // namespace

Server::Server(asio::io_context& aIo, const std::string& aIp, Handler aHandler)
  : m_acceptor(aIo, tcp::endpoint(asio::ip::make_address(aIp), 0))
  , m_handler(std::move(aHandler))
{
  Accept();
}

std::string
Server::Address() const
{
  const tcp::endpoint endpoint = m_acceptor.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void
Server::Close()
{
  beast::error_code ignored;
  m_acceptor.close(ignored);
}

void
Server::Accept()
{
  m_acceptor.async_accept([this](beast::error_code aError, tcp::socket aSocket) {
    if (!m_acceptor.is_open()) {
      return;
    }
    if (!aError) {
      std::make_shared<Session>(std::move(aSocket), m_handler)->Read();
    }
    Accept();
  });
}

Store::Store(asio::io_context& aIo, Record& aRecord)
  : m_io(aIo)
  , m_record(aRecord)
  , m_server(
      aIo,
      "127.0.0.1",
      [this](const Request& aRequest, Reply aReply) { Handle(aRequest, std::move(aReply), false); })
  , m_farServer(aIo, "127.0.0.1", [this](const Request& aRequest, Reply aReply) {
    Handle(
      aRequest,
      [this, reply = std::move(aReply)](unsigned aStatus, std::string aBody) {
        if (!m_farCut) {
          reply(aStatus, std::move(aBody));
        }
      },
      true);
  })
{
}

void
Store::Translate(std::string aFrom, std::string aTo)
{
  m_translations.emplace_back(std::move(aFrom), std::move(aTo));
}

std::string
Store::Translated(std::string aText) const
{
  for (const auto& [from, to] : m_translations) {
    for (size_t at = aText.find(from); at != std::string::npos; at = aText.find(from, at + 1)) {
      aText.replace(at, from.size(), to);
    }
  }
  return aText;
}

Link::Link(asio::io_context& aIo, uint16_t aFrom, uint16_t aTo)
  : m_io(aIo)
  , m_acceptor(aIo, tcp::endpoint(asio::ip::make_address("127.0.0.1"), aFrom))
  , m_to(aTo)
{
  Accept();
}

void
Link::Accept()
{
  const std::shared_ptr<tcp::socket> near = std::make_shared<tcp::socket>(m_io);
  m_acceptor.async_accept(*near, [this, near](beast::error_code aError) {
    if (!aError) {
      const std::shared_ptr<tcp::socket> far = std::make_shared<tcp::socket>(m_io);
      far->async_connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_to),
                         [this, near, far](beast::error_code aConnectError) {
                           if (!aConnectError) {
                             Pump(near, far);
                             Pump(far, near);
                           }
                         });
    }
    Accept();
  });
}

void
Link::Pump(std::shared_ptr<tcp::socket> aFrom, std::shared_ptr<tcp::socket> aTo)
{
  const std::shared_ptr<std::vector<char>> bytes = std::make_shared<std::vector<char>>(65536);
  aFrom->async_read_some(
    asio::buffer(*bytes), [this, aFrom, aTo, bytes](beast::error_code aError, size_t aCount) {
      if (m_cut) {
        return; // the bytes are lost; both sides see an open connection that is silent
      }
      beast::error_code ignored;
      if (aError) {
        aTo->shutdown(tcp::socket::shutdown_send, ignored);
        return;
      }
      asio::async_write(*aTo,
                        asio::buffer(bytes->data(), aCount),
                        [this, aFrom, aTo, bytes](beast::error_code aWriteError, size_t) {
                          if (!aWriteError) {
                            Pump(aFrom, aTo);
                          }
                        });
    });
}

void
Store::SetDown(bool aDown)
{
  m_down = aDown;
  if (!aDown) {
    return;
  }
  for (const std::shared_ptr<Waiter>& waiter : std::exchange(m_waiters, {})) {
    waiter->m_timer->cancel();
    waiter->m_reply(503, "{}");
  }
}

void
Store::Handle(const Request& aRequest, Reply aReply, bool aFar)
{
  if (aFar && m_farCut) {
    return; // the call does not arrive
  }
  if (m_down) {
    aReply(503, "{}");
    return;
  }
  const std::string target(aRequest.target());
  const std::string path = target.substr(0, target.find('?'));
  const std::map<std::string, std::string> query = ParseQuery(target);
  if (path == "/-/log-append") {
    const std::shared_ptr<asio::steady_timer> timer =
      std::make_shared<asio::steady_timer>(m_io, std::chrono::milliseconds(kAnswerMs));
    timer->async_wait([this, timer, query, body = aRequest.body(), reply = std::move(aReply)](
                        beast::error_code) { Append(query, body, reply); });
  } else if (path == "/-/log-read") {
    Read(query, [this, aFar, reply = std::move(aReply)](unsigned aStatus, std::string aBody) {
      reply(aStatus, aFar ? std::move(aBody) : Translated(std::move(aBody)));
    });
  } else if (path == "/-/log-newest") {
    Newest(query, aReply, aFar);
  } else {
    aReply(404, "{}");
  }
}

void
Store::Add(Topic& aTopic, Item aItem)
{
  if (aItem.m_value.empty()) {
    aTopic.m_newest.erase(aItem.m_key);
  } else {
    aTopic.m_newest[aItem.m_key] = aTopic.m_items.size();
  }
  aTopic.m_items.push_back(std::move(aItem));
}

void
Store::Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
{
  Add(m_topics[aTopic], { aKey, aValue });
  WakeReaders(aTopic);
}

void
Store::Append(const std::map<std::string, std::string>& aQuery,
              const std::string& aBody,
              Reply aReply)
{
  if (m_down) {
    aReply(503, "{}");
    return;
  }
  const std::string name = aQuery.count("topic") ? aQuery.at("topic") : "";
  if (name == "keyed.op" || name == "keyed.servers") {
    aReply(403, "{}");
    return;
  }
  Topic& topic = m_topics[name];
  std::vector<Item> items;
  size_t at = 0;
  size_t largest = 0;
  while (at + 4 <= aBody.size()) {
    uint32_t length = 0;
    for (int i = 0; i < 4; ++i) {
      length = (length << 8) | static_cast<unsigned char>(aBody[at + i]);
    }
    at += 4;
    largest = std::max<size_t>(largest, length);
    const size_t key = static_cast<unsigned char>(aBody[at]);
    items.push_back({ aBody.substr(at + 1, key), aBody.substr(at + 1 + key, length - 1 - key) });
    at += length;
  }
  // PROTOCOL.md: "Each record consists of a length (4 bytes, big-endian) and at most
  // `record_bytes`; the records of one call total at most `call_bytes`."
  if (largest > kRecordBytes || aBody.size() > kCallBytes) {
    if (m_oversized++ < 5) {
      m_record.Line("store: append to " + name + " refused with 400, its largest record has " +
                    std::to_string(largest) + " bytes");
    }
    aReply(400, "{\"error\":\"a record is larger than record_bytes\"}");
    return;
  }
  if (aQuery.count("at") && std::stoull(aQuery.at("at")) != topic.m_items.size()) {
    aReply(412, "{\"end\":" + std::to_string(topic.m_items.size()) + "}");
    return;
  }
  const size_t offset = topic.m_items.size();
  for (Item& item : items) {
    Add(topic, std::move(item));
  }
  aReply(200,
         "{\"offset\":" + std::to_string(offset) +
           ",\"end\":" + std::to_string(topic.m_items.size()) + "}");
  WakeReaders(name);
}

std::string
Store::Tail(const std::string& aTopic, uint64_t aFrom) const
{
  const auto it = m_topics.find(aTopic);
  const size_t end = it == m_topics.end() ? 0 : it->second.m_items.size();
  std::string body;
  PutNumber(body, end, 8);
  PutNumber(body, 0, 8);
  for (size_t i = aFrom; i < end && body.size() < 1024 * 1024; ++i) {
    const Item& item = it->second.m_items[i];
    PutNumber(body, 1 + item.m_key.size() + item.m_value.size(), 4);
    PutNumber(body, item.m_key.size(), 1);
    body += item.m_key;
    body += item.m_value;
  }
  return body;
}

void
Store::Read(const std::map<std::string, std::string>& aQuery, Reply aReply)
{
  const std::string name = aQuery.at("topic");
  const uint64_t from = std::stoull(aQuery.at("from"));
  const int64_t wait = aQuery.count("wait_ms") ? std::stoll(aQuery.at("wait_ms")) : 0;
  if (from < m_topics[name].m_items.size() || wait == 0) {
    aReply(200, Tail(name, from));
    return;
  }
  const std::shared_ptr<Waiter> waiter = std::make_shared<Waiter>();
  waiter->m_topic = name;
  waiter->m_from = from;
  waiter->m_reply = std::move(aReply);
  waiter->m_timer = std::make_shared<asio::steady_timer>(m_io, std::chrono::milliseconds(wait));
  waiter->m_timer->async_wait([this, waiter](beast::error_code aError) {
    const auto it = std::find(m_waiters.begin(), m_waiters.end(), waiter);
    if (!aError && it != m_waiters.end()) {
      m_waiters.erase(it);
      waiter->m_reply(200, Tail(waiter->m_topic, waiter->m_from));
    }
  });
  m_waiters.push_back(waiter);
}

void
Store::WakeReaders(const std::string& aTopic)
{
  std::vector<std::shared_ptr<Waiter>> woken;
  for (const std::shared_ptr<Waiter>& waiter : m_waiters) {
    if (waiter->m_topic == aTopic) {
      woken.push_back(waiter);
    }
  }
  for (const std::shared_ptr<Waiter>& waiter : woken) {
    m_waiters.erase(std::find(m_waiters.begin(), m_waiters.end(), waiter));
    waiter->m_timer->cancel();
    waiter->m_reply(200, Tail(aTopic, waiter->m_from));
  }
}

void
Store::Newest(const std::map<std::string, std::string>& aQuery, const Reply& aReply, bool aFar)
{
  const Topic& topic = m_topics[aQuery.at("topic")];
  const std::string after = aQuery.count("deps") ? aQuery.at("deps") : "";
  json::array items;
  size_t bytes = 0;
  bool more = false;
  for (auto it = topic.m_newest.upper_bound(after); it != topic.m_newest.end(); ++it) {
    if (items.size() >= kItemsPerPage || bytes > 1024 * 1024) {
      more = true;
      break;
    }
    const std::string& text = topic.m_items[it->second].m_value;
    const std::string value = Base64(aFar ? text : Translated(text));
    bytes += value.size();
    items.push_back(
      json::object{ { "key", it->first }, { "value", value }, { "offset", it->second } });
  }
  json::object body{ { "items", std::move(items) }, { "end", topic.m_items.size() } };
  if (more) {
    body["has_more"] = true;
  }
  aReply(200, json::serialize(body));
}

Worker::Worker(asio::io_context& aIo,
               std::string aId,
               std::string aService,
               std::string aZone,
               std::string aKind,
               std::string aRack,
               History& aHistory,
               std::function<TaskKind(const std::string&)> aKindOf)
  : m_io(aIo)
  , m_id(std::move(aId))
  , m_service(std::move(aService))
  , m_zone(std::move(aZone))
  , m_kind(std::move(aKind))
  , m_rack(std::move(aRack))
  , m_history(aHistory)
  , m_kindOf(std::move(aKindOf))
  , m_leaseTimer(aIo)
  , m_server(aIo, "127.0.0.1", [this](const Request& aRequest, Reply aReply) {
    Handle(aRequest, aReply);
  })
{
  m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count();
}

std::string
Worker::Entry() const
{
  const json::object entry{ { "service", m_service },
                            { "addr", m_server.Address() },
                            { "zone", m_zone },
                            { "version", "v1" },
                            { "slots", 8 },
                            { "state", "ready" },
                            { "cold_left_ms", 0 },
                            { "capacity",
                              json::object{ { "cpu", 16000 }, { "mem_mb", 64000 }, { "gpu", 0 } } },
                            { "labels", json::array{ m_kind, m_rack } },
                            { "clock_ms", ClockMs() },
                            { "born", m_born },
                            { "seq", ++m_seq } };
  return json::serialize(entry);
}

std::string
Worker::ClockBody(const char* aReason) const
{
  json::object body{ { "clock_ms", ClockMs() } };
  if (aReason) {
    body["reason"] = aReason;
  }
  return json::serialize(body);
}

void
Worker::Handle(const Request& aRequest, const Reply& aReply)
{
  if (m_dead) {
    return;
  }
  const std::string path(aRequest.target());
  const beast::string_view expected = aRequest["Expect-Instance"];
  if (!expected.empty() && expected != m_id) {
    aReply(421, "{}");
    return;
  }
  if (path == "/health") {
    aReply(200, "{}");
    return;
  }
  beast::error_code error;
  const json::value value = json::parse(aRequest.body(), error);
  if (error || !value.is_object()) {
    aReply(400, "{}");
    return;
  }
  const json::object& body = value.as_object();
  const int64_t fence = Number(body, "fence");
  if (fence >= m_cutLowest && fence <= m_cutHighest) {
    return; // the sender is on the other side of the cut
  }
  if (fence < m_fence) {
    ++m_history.m_fenced;
    aReply(409, ClockBody("fence"));
    return;
  }
  m_fence = fence;
  if (path == "/-/run-start") {
    StartRun(body, aReply);
  } else if (path == "/-/run-stop") {
    StopRun(body, aReply);
  } else if (path == "/-/hold") {
    Hold(body, aReply);
  } else if (path == "/-/pace") {
    aReply(200, ClockBody());
  } else {
    aReply(404, "{}");
  }
}

void
Worker::Extend(int64_t aUntilMs)
{
  m_until = std::max(m_until, std::min(aUntilMs, ClockMs() + s_holdMaxMs));
  m_leaseTimer.expires_after(std::chrono::milliseconds(std::max<int64_t>(0, m_until - ClockMs())));
  m_leaseTimer.async_wait([this](beast::error_code aError) {
    if (!aError) {
      CheckLease();
    }
  });
}

void
Worker::CheckLease()
{
  if (ClockMs() < m_until) {
    return;
  }
  while (!m_running.empty()) {
    ++m_history.m_lapses;
    EndRun(m_running.begin()->first, "lapsed");
  }
}

void
Worker::StartRun(const json::object& aBody, const Reply& aReply)
{
  if (m_sheds) {
    ++m_history.m_shed;
    aReply(503, "{}");
    return;
  }
  const std::string task = Text(aBody, "task");
  const int64_t run = Number(aBody, "run");
  const auto running = m_running.find(task);
  if (running != m_running.end() && running->second.m_run == run) {
    Extend(Number(aBody, "until_ms"));
    aReply(200, ClockBody());
    return;
  }
  if (running != m_running.end() || run <= m_highestEnded[task]) {
    Extend(Number(aBody, "until_ms"));
    aReply(409, ClockBody("old"));
    return;
  }
  if (Number(aBody, "until_ms") <= ClockMs()) {
    aReply(409, ClockBody("late"));
    return;
  }
  Extend(Number(aBody, "until_ms"));
  Run& started = m_running[task];
  started.m_run = run;
  started.m_startedAt = NowMs();
  started.m_generation = ++m_generation;
  started.m_kind = m_kindOf(task);
  started.m_checkpoint = Text(aBody, "checkpoint");
  started.m_timer =
    std::make_shared<asio::steady_timer>(m_io, std::chrono::milliseconds(started.m_kind.m_workMs));
  started.m_timer->async_wait(
    [this, task, generation = started.m_generation](beast::error_code aError) {
      if (!aError) {
        Finish(task, generation);
      }
    });
  m_history.m_starts.push_back({ task, run, m_id, NowMs(), Text(aBody, "spec") });
  aReply(200, ClockBody());
}

void
Worker::Finish(const std::string& aTask, int64_t aGeneration)
{
  const auto it = m_running.find(aTask);
  if (it != m_running.end() && it->second.m_generation == aGeneration) {
    EndRun(aTask, "done");
  }
}

void
Worker::EndRun(std::string aTask, const char* aHow)
{
  const auto it = m_running.find(aTask);
  const Run ended = it->second;
  ended.m_timer->cancel();
  m_running.erase(it);
  m_highestEnded[aTask] = std::max(m_highestEnded[aTask], ended.m_run);
  m_history.m_ends.push_back({ aTask, ended.m_run, m_id, aHow, NowMs() });
  const std::string checkpoint = std::strcmp(aHow, "done") == 0 ? "" : CheckpointOf(ended);
  m_ended.push_back({ ++m_lastNumber, m_history.m_ends.size() - 1, checkpoint });
  AnswerHold();
}

void
Worker::Die()
{
  m_dead = true;
  m_hold.reset();
  m_leaseTimer.cancel();
  for (auto& [task, run] : m_running) {
    run.m_timer->cancel();
    m_history.m_ends.push_back({ task, run.m_run, m_id, "gone", NowMs() });
  }
  m_running.clear();
  m_ended.clear();
  m_server.Close();
}

std::string
Worker::CheckpointOf(const Run& aRun) const
{
  if (aRun.m_kind.m_saveMs == 0) {
    return "";
  }
  const int64_t saves = (NowMs() - aRun.m_startedAt) / aRun.m_kind.m_saveMs;
  if (saves == 0) {
    return aRun.m_checkpoint;
  }
  std::string checkpoint = std::to_string(aRun.m_startedAt) + "-" + std::to_string(saves) + "-";
  checkpoint.resize(std::max(checkpoint.size(), aRun.m_kind.m_checkpointBytes), 'c');
  return checkpoint;
}

void
Worker::StopRun(const json::object& aBody, const Reply& aReply)
{
  const std::string task = Text(aBody, "task");
  const int64_t run = Number(aBody, "run");
  m_highestEnded[task] = std::max(m_highestEnded[task], run);
  const auto it = m_running.find(task);
  if (it != m_running.end() && it->second.m_run == run) {
    it->second.m_timer->expires_after(std::chrono::milliseconds(kStopMs));
    it->second.m_timer->async_wait(
      [this, task, generation = it->second.m_generation](beast::error_code aError) {
        const auto found = m_running.find(task);
        if (!aError && found != m_running.end() && found->second.m_generation == generation) {
          EndRun(task, "stopped");
        }
      });
  }
  aReply(200, ClockBody());
}

std::string
Worker::Lists(uint64_t aSeen)
{
  while (!m_ended.empty() && m_ended.front().m_number <= aSeen) {
    m_history.m_ends[m_ended.front().m_end].m_notedAt = NowMs();
    m_ended.pop_front();
  }
  json::array running;
  for (const auto& [task, run] : m_running) {
    const int64_t work = std::max<int64_t>(1, run.m_kind.m_workMs);
    const int64_t percent = std::min<int64_t>(99, 100 * (NowMs() - run.m_startedAt) / work);
    running.push_back(json::array{ task, run.m_run, CheckpointOf(run), percent, 100 });
  }
  // PROTOCOL.md: "Ends up to `seen_upto` are forgotten. The others are returned again (500 at a
  // time)."
  json::array ended;
  for (const Listed& listed : m_ended) {
    if (ended.size() == kEndsPerAnswer) {
      break;
    }
    End& end = m_history.m_ends[listed.m_end];
    end.m_listedAt = end.m_listedAt < 0 ? NowMs() : end.m_listedAt;
    ended.push_back(
      json::array{ listed.m_number, end.m_task, end.m_run, end.m_how, listed.m_checkpoint });
  }
  const json::object body{ { "clock_ms", ClockMs() },
                           { "born", m_born },
                           { "running", std::move(running) },
                           { "ended", std::move(ended) } };
  return json::serialize(body);
}

void
Worker::Hold(const json::object& aBody, const Reply& aReply)
{
  if (aBody.contains("until_ms")) {
    Extend(Number(aBody, "until_ms"));
  }
  const uint64_t seen = static_cast<uint64_t>(Number(aBody, "seen_upto"));
  const int64_t wait = std::min(kMaxWaitMs, Number(aBody, "wait_ms"));
  const bool unseen = !m_ended.empty() && m_ended.back().m_number > seen;
  AnswerHold();
  if (wait == 0 || unseen) {
    aReply(200, Lists(seen));
    return;
  }
  m_hold.emplace(aReply, seen);
  m_holdTimer = std::make_shared<asio::steady_timer>(m_io, std::chrono::milliseconds(wait));
  m_holdTimer->async_wait([this](beast::error_code aError) {
    if (!aError) {
      AnswerHold();
    }
  });
}

void
Worker::AnswerHold()
{
  if (!m_hold) {
    return;
  }
  const std::pair<Reply, uint64_t> hold = *m_hold;
  m_hold.reset();
  m_holdTimer->cancel();
  hold.first(200, Lists(hold.second));
}

Answer
Call(const std::string& aAddress,
     http::verb aMethod,
     const std::string& aHost,
     const std::string& aPath,
     const std::string& aBody,
     int64_t aTimeoutMs)
{
  const size_t colon = aAddress.find(':');
  const tcp::endpoint endpoint(asio::ip::make_address(aAddress.substr(0, colon)),
                               static_cast<uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  asio::io_context io;
  beast::tcp_stream stream(io);
  beast::flat_buffer buffer;
  Request request(aMethod, aPath, 11);
  request.set(http::field::host, aHost);
  request.set(http::field::content_type, "application/json");
  request.set("Deadline-Ms", std::to_string(aTimeoutMs));
  request.body() = aBody;
  request.prepare_payload();
  Response response;
  Answer answer;
  stream.expires_after(std::chrono::milliseconds(aTimeoutMs));
  stream.async_connect(endpoint, [&](beast::error_code aError) {
    if (aError) {
      return;
    }
    http::async_write(stream, request, [&](beast::error_code aWriteError, size_t) {
      if (aWriteError) {
        return;
      }
      http::async_read(stream, buffer, response, [&](beast::error_code aReadError, size_t) {
        if (!aReadError) {
          answer.m_status = response.result_int();
          answer.m_body = response.body();
        }
      });
    });
  });
  io.run();
  return answer;
}

} // namespace standin
