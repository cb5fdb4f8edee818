#include "egretturn/Http/Http.h"

#include "egretturn/Http/ConnectionBudget.h"
#include "egretturn/Support/Log.h"
#include "egretturn/Support/LogRateLimiter.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <cassert>
#include <optional>

namespace egretturn {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Size of the first read of a request, for which idle connections keep their buffer, and of later
// ones.
static constexpr size_t kFirstReadBytes = 512;
static constexpr size_t kReadBytes = 4096;

// A body of chunks of one byte takes six bytes for each.
static constexpr size_t kMaxWireBytesPerBodyByte = 8;

static constexpr unsigned kHttp11 = 11; // as the parser counts versions
static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

static constexpr const char* kRetryAfterSeconds = "1";
static constexpr Duration kAcceptRetry = std::chrono::milliseconds(50);
static constexpr uint64_t kMaxCloseLogLines = 1;
static constexpr Duration kCloseLogPeriod = std::chrono::seconds(10);

static Instant
MonotonicTime()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

namespace {

/// A connection that the server can close.
class Closable
{
public:
  virtual ~Closable() = default;

  /// Closes the connection without a response.
  virtual void Abort() = 0;
};

} // namespace

/// State shared by the sessions of one server.
struct HttpServer::Shared
{
  explicit Shared(const HttpLimits& aLimits)
    : m_limits(aLimits)
    , m_budget(aLimits.m_heldBytes, aLimits.m_connections)
  {
  }

  /// Closes connections until all hold no more than they may.
  void FreeBytes()
  {
    const Instant now = MonotonicTime();
    while (const std::optional<ConnectionBudget::Id> id = m_budget.FindToFreeBytes(now)) {
      ++m_counters.m_closedForBytes;
      Close(*id, "bytes", now);
    }
  }

  /// Closes a connection in favor of a new one. Returns whether one could be closed.
  bool FreeConnection()
  {
    const Instant now = MonotonicTime();
    const std::optional<ConnectionBudget::Id> id = m_budget.FindToFreeConnection(now);
    if (id) {
      ++m_counters.m_closedForConnections;
      Close(*id, "connections", now);
    }
    return id.has_value();
  }

  void Close(ConnectionBudget::Id aId, const char* aReason, Instant aNow)
  {
    if (const std::optional<uint64_t> suppressed = m_closeLogLimiter.TryAcquire(aNow)) {
      Log(LogLine(LogLevel::Warning, "connection_closed")
            .Add("short_of", aReason)
            .Add("connections", uint64_t{ m_budget.Connections() })
            .Add("held_bytes", uint64_t{ m_budget.HeldBytes() })
            .Add("suppressed", *suppressed));
    }
    m_sessions.at(aId)->Abort();
  }

  HttpLimits m_limits;
  HttpHandler m_handler;
  ConnectionBudget m_budget;
  std::unordered_map<ConnectionBudget::Id, Closable*> m_sessions; ///< Those in the budget.
  HttpCounters m_counters;
  LogRateLimiter m_closeLogLimiter{ kMaxCloseLogLines, kCloseLogPeriod };
  size_t m_connections = 0;
  size_t m_inFlight = 0;
  bool m_keepAliveDisabled = false;
};

namespace {

/// One connection. The handlers of its pending operations hold shared ownership of it.
template<typename SharedState>
class Session
  : public HttpReply
  , public Closable
  , public std::enable_shared_from_this<Session<SharedState>>
{
public:
  Session(boost::asio::ip::tcp::socket aSocket, std::shared_ptr<SharedState> aShared)
    : m_stream(std::move(aSocket))
    , m_shared(std::move(aShared))
    , m_id(m_shared->m_budget.Open(MonotonicTime()))
    , m_buffer(m_shared->m_limits.m_headerBytes + kReadBytes)
  {
    ++m_shared->m_connections;
    m_shared->m_sessions[m_id] = this;
    boost::system::error_code ignored;
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  }

  ~Session() override
  {
    FinishRequest();
    LeaveBudget();
    --m_shared->m_connections;
  }

  void Read()
  {
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<uint32_t>(m_shared->m_limits.m_headerBytes));
    m_parser->body_limit(m_shared->m_limits.m_bodyBytes);
    m_receivedBytes = 0;
    m_continueSent = false;
    m_stream.expires_after(m_shared->m_limits.m_idle);
    if (m_buffer.size() > 0) {
      StartReceiving();
      Parse();
      return;
    }
    m_buffer.shrink_to_fit();
    NoteHeld();
    ReadSome(kFirstReadBytes);
  }

  void Abort() override
  {
    LeaveBudget();
    m_stream.close();
  }

  void Send(HttpResponse aResponse) override
  {
    if (m_responded) {
      return;
    }
    m_responded = true;
    m_onDisconnect = nullptr;
    m_response = std::move(aResponse);
    m_servedBytes = 0;
    // While the server is full, each connection makes room after its response.
    m_response.keep_alive(m_keepAlive && !m_shared->m_keepAliveDisabled &&
                          !m_shared->m_budget.IsFull());
    if (IsInBudget()) {
      m_shared->m_budget.SetState(m_id, ConnectionState::Sending, MonotonicTime());
    }
    NoteHeld();
    m_stream.expires_after(m_shared->m_limits.m_idle);
    http::async_write(
      m_stream, m_response, [self = this->shared_from_this()](beast::error_code aError, size_t) {
        self->OnWritten(aError);
      });
  }

  bool IsDisconnected() const override { return m_disconnected; }

  void OnDisconnect(std::function<void()> aCallback) override
  {
    m_onDisconnect = std::move(aCallback);
  }

private:
  bool IsInBudget() const { return m_shared->m_sessions.count(m_id) > 0; }

  void LeaveBudget()
  {
    m_shared->m_budget.Close(m_id);
    m_shared->m_sessions.erase(m_id);
  }

  /// The whole request has to arrive in time from its first byte on.
  void StartReceiving()
  {
    m_shared->m_budget.SetState(m_id, ConnectionState::Receiving, MonotonicTime());
    m_stream.expires_after(m_shared->m_limits.m_request);
  }

  /// Tells the budget what this connection holds, which may close connections, this one included.
  void NoteHeld()
  {
    if (!IsInBudget()) {
      return;
    }
    size_t bytes = m_buffer.capacity() + m_response.body().capacity() + m_servedBytes;
    if (m_parser) {
      bytes += m_parser->get().body().capacity() +
               std::min<size_t>(m_receivedBytes, m_shared->m_limits.m_headerBytes);
    }
    m_shared->m_budget.SetHeld(m_id, bytes);
    m_shared->FreeBytes();
  }

  void ReadSome(size_t aBytes)
  {
    const size_t room = m_buffer.max_size() - m_buffer.size();
    if (room == 0) {
      OnRead(http::error::header_limit); // one line of a trailer or a chunk without an end
      return;
    }
    m_stream.async_read_some(
      m_buffer.prepare(std::min(aBytes, room)),
      [self = this->shared_from_this()](beast::error_code aError, size_t aCount) {
        self->OnReadSome(aError, aCount);
      });
  }

  void OnReadSome(beast::error_code aError, size_t aCount)
  {
    if (aError || !IsInBudget()) {
      Close(); // also at the end of the stream: no request ends with it
      return;
    }
    m_buffer.commit(aCount);
    if (m_receivedBytes == 0) {
      StartReceiving();
    }
    Parse();
  }

  void Parse()
  {
    beast::error_code error;
    while (m_buffer.size() > 0 && !m_parser->is_done() && !error) {
      const size_t used = m_parser->put(m_buffer.data(), error);
      m_buffer.consume(used);
      m_receivedBytes += used;
      assert(used > 0 || error);
    }
    if (error == http::error::need_more) {
      error = {};
    }
    const HttpLimits& limits = m_shared->m_limits;
    if (!error && m_receivedBytes >
                    2 * limits.m_headerBytes + kMaxWireBytesPerBodyByte * limits.m_bodyBytes) {
      error = http::error::body_limit;
    }
    if (error || m_parser->is_done()) {
      OnRead(error);
      return;
    }
    NoteHeld();
    if (!IsInBudget()) {
      return;
    }
    if (AwaitsContinue()) {
      SendContinue();
    } else {
      ReadSome(kReadBytes);
    }
  }

  /// Returns whether the caller waits for the interim response before it sends the body.
  bool AwaitsContinue() const
  {
    if (m_continueSent || !m_parser->is_header_done() || m_parser->get().version() < kHttp11) {
      return false;
    }
    return beast::iequals(m_parser->get()[http::field::expect], "100-continue");
  }

  void SendContinue()
  {
    m_continueSent = true;
    boost::asio::async_write(m_stream,
                             boost::asio::buffer(kContinue),
                             [self = this->shared_from_this()](beast::error_code aError, size_t) {
                               if (aError || !self->IsInBudget()) {
                                 self->Close();
                               } else {
                                 self->ReadSome(kReadBytes);
                               }
                             });
  }

  void OnRead(beast::error_code aError)
  {
    if (aError == http::error::body_limit || aError == http::error::header_limit) {
      m_keepAlive = false;
      m_responded = false;
      const bool body = aError == http::error::body_limit;
      Send(MakeResponse(
        body ? 413 : 431,
        "application/json",
        body
          ? R"({"kind":"bad_input","message":"the body is too large","remedy":"send less; see limits.body_bytes"})"
          : R"({"kind":"bad_input","message":"the header is too large","remedy":"send less; see limits.header_bytes"})"));
      return;
    }
    if (aError) {
      Close();
      return;
    }
    HttpRequest request = m_parser->release();
    m_parser.reset();
    m_servedBytes = request.body().size();
    m_shared->m_budget.SetState(m_id, ConnectionState::Serving, MonotonicTime());
    NoteHeld();
    m_keepAlive = request.keep_alive();
    m_responded = false;
    if (m_shared->m_budget.IsOverBytes()) {
      RefuseForBytes();
      return;
    }
    // The handler bounds the time until the response; a read detects that the caller disconnects.
    m_stream.expires_never();
    m_inFlight = true;
    ++m_shared->m_inFlight;
    m_shared->m_handler(std::move(request), this->shared_from_this());
    WatchForDisconnect();
  }

  /// Refuses a request that was not handed over, since those that were hold too much together.
  void RefuseForBytes()
  {
    ++m_shared->m_counters.m_refusedForBytes;
    HttpResponse response = MakeResponse(
      503,
      "application/json",
      R"({"kind":"unavailable","message":"the requests being served hold too much memory","remedy":"try again later"})");
    response.set(http::field::retry_after, kRetryAfterSeconds);
    Send(std::move(response));
  }

  /// Waits until the caller sends more data or closes the connection while its request is pending.
  void WatchForDisconnect()
  {
    if (m_responded || m_buffer.size() > 0) {
      return;
    }
    m_stream.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                 [self = this->shared_from_this()](beast::error_code aError) {
                                   if (!aError && !self->m_responded) {
                                     self->CheckForDisconnect();
                                   }
                                 });
  }

  void CheckForDisconnect()
  {
    char byte = 0;
    beast::error_code error;
    m_stream.socket().non_blocking(true, error);
    m_stream.socket().receive(
      boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    if (!error || error == boost::asio::error::would_block) {
      return; // a pipelined request
    }
    m_disconnected = true;
    if (m_onDisconnect) {
      const std::function<void()> callback = std::move(m_onDisconnect);
      m_onDisconnect = nullptr;
      callback();
    }
  }

  void FinishRequest()
  {
    if (m_inFlight) {
      m_inFlight = false;
      --m_shared->m_inFlight;
    }
  }

  void OnWritten(beast::error_code aError)
  {
    FinishRequest();
    if (aError || !m_response.keep_alive()) {
      Close();
      return;
    }
    m_response = HttpResponse();
    if (IsInBudget()) {
      m_shared->m_budget.SetState(m_id, ConnectionState::Idle, MonotonicTime());
      Read();
    }
  }

  void Close()
  {
    beast::error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_stream.close();
  }

  beast::tcp_stream m_stream;
  std::shared_ptr<SharedState> m_shared;
  ConnectionBudget::Id m_id;
  beast::flat_buffer m_buffer;
  size_t m_receivedBytes = 0; ///< Of the current request, as far as it was parsed.
  size_t m_servedBytes = 0;   ///< Of the body of the request that is with the handler.
  std::optional<http::request_parser<http::string_body>> m_parser;
  HttpResponse m_response;
  std::function<void()> m_onDisconnect;
  bool m_continueSent = false; ///< For the current request.
  bool m_keepAlive = true;
  bool m_responded = true;
  bool m_inFlight = false; ///< Whether Shared::m_inFlight counts the current request.
  bool m_disconnected = false;
};

} // namespace

HttpServer::HttpServer(boost::asio::io_context& aIo,
                       const HttpLimits& aLimits,
                       HttpHandler aHandler)
  : m_acceptor(aIo)
  , m_acceptTimer(aIo)
  , m_shared(std::make_shared<Shared>(aLimits))
{
  m_shared->m_handler = std::move(aHandler);
}

HttpServer::~HttpServer() = default;

Expected<void>
HttpServer::Listen(std::string_view aAddress)
{
  const Expected<boost::asio::ip::tcp::endpoint> endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    return tl::unexpected<Error>(endpoint.error());
  }
  boost::system::error_code error;
  m_acceptor.open(endpoint->protocol(), error);
  if (!error) {
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    m_acceptor.bind(*endpoint, error);
  }
  if (!error) {
    m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorKind::Unavailable,
                "cannot listen on " + std::string(aAddress) + ": " + error.message(),
                "choose an unused port and an address of this host");
  }
  Accept();
  return {};
}

void
HttpServer::Accept()
{
  m_acceptor.async_accept(
    [this](boost::system::error_code aError, boost::asio::ip::tcp::socket aSocket) {
      if (!m_acceptor.is_open()) {
        return;
      }
      if (aError) {
        // Mostly a lack of descriptors, which another attempt would meet at once.
        m_shared->FreeConnection();
        AcceptLater();
        return;
      }
      if (m_shared->m_budget.IsFull() && !m_shared->FreeConnection()) {
        ++m_shared->m_counters.m_waited;
        m_waiting = std::move(aSocket);
        AcceptLater();
        return;
      }
      std::make_shared<Session<Shared>>(std::move(aSocket), m_shared)->Read();
      Accept();
    });
}

void
HttpServer::AcceptLater()
{
  m_acceptTimer.expires_after(kAcceptRetry);
  m_acceptTimer.async_wait([this](boost::system::error_code aError) {
    if (aError || !m_acceptor.is_open()) {
      return;
    }
    if (m_waiting) {
      if (m_shared->m_budget.IsFull() && !m_shared->FreeConnection()) {
        AcceptLater();
        return;
      }
      std::make_shared<Session<Shared>>(std::move(*m_waiting), m_shared)->Read();
      m_waiting.reset();
    }
    Accept();
  });
}

void
HttpServer::StopAccepting()
{
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  m_waiting.reset();
  DisableKeepAlive();
}

void
HttpServer::DisableKeepAlive()
{
  m_shared->m_keepAliveDisabled = true;
}

size_t
HttpServer::InFlight() const
{
  return m_shared->m_inFlight;
}

const HttpCounters&
HttpServer::Counters() const
{
  return m_shared->m_counters;
}

std::string
HttpServer::Metrics(std::string_view aServer) const
{
  const std::string prefix = "egretturn_" + std::string(aServer) + "_";
  std::string text;
  const auto add = [&](const char* aName, uint64_t aValue) {
    text.append(prefix).append(aName).append(1, ' ').append(std::to_string(aValue)).append(1, '\n');
  };
  add("connections", Connections());
  add("held_bytes", m_shared->m_budget.HeldBytes());
  add("closed_for_bytes_total", m_shared->m_counters.m_closedForBytes);
  add("closed_for_connections_total", m_shared->m_counters.m_closedForConnections);
  add("refused_for_bytes_total", m_shared->m_counters.m_refusedForBytes);
  add("waited_total", m_shared->m_counters.m_waited);
  return text;
}

size_t
HttpServer::Connections() const
{
  return m_shared->m_connections;
}

} // namespace egretturn
