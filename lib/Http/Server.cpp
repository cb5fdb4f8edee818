#include "egretturn/Http/Http.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

namespace egretturn {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// State shared by the sessions of one server.
struct HttpServer::Shared
{
  HttpLimits m_limits;
  HttpHandler m_handler;
  size_t m_connections = 0;
  size_t m_inFlight = 0;
  bool m_keepAliveDisabled = false;
};

namespace {

/// One connection. The handlers of its pending operations hold shared ownership of it.
template<typename SharedState>
class Session
  : public HttpReply
  , public std::enable_shared_from_this<Session<SharedState>>
{
public:
  Session(boost::asio::ip::tcp::socket aSocket, std::shared_ptr<SharedState> aShared)
    : m_stream(std::move(aSocket))
    , m_shared(std::move(aShared))
  {
    ++m_shared->m_connections;
    boost::system::error_code ignored;
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  }

  ~Session() override
  {
    FinishRequest();
    --m_shared->m_connections;
  }

  void Read()
  {
    m_parser.emplace();
    m_parser->header_limit(static_cast<uint32_t>(m_shared->m_limits.m_headerBytes));
    m_parser->body_limit(m_shared->m_limits.m_bodyBytes);
    m_stream.expires_after(m_shared->m_limits.m_idle);
    http::async_read(m_stream,
                     m_buffer,
                     *m_parser,
                     [self = this->shared_from_this()](beast::error_code aError, size_t) {
                       self->OnRead(aError);
                     });
  }

  void Send(HttpResponse aResponse) override
  {
    if (m_responded) {
      return;
    }
    m_responded = true;
    m_onDisconnect = nullptr;
    m_response = std::move(aResponse);
    m_response.keep_alive(m_keepAlive && !m_shared->m_keepAliveDisabled);
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
  void OnRead(beast::error_code aError)
  {
    if (aError == http::error::body_limit || aError == http::error::header_limit) {
      m_keepAlive = false;
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
    m_keepAlive = request.keep_alive();
    m_responded = false;
    // The handler bounds the time until the response; a read detects that the caller disconnects.
    m_stream.expires_never();
    m_inFlight = true;
    ++m_shared->m_inFlight;
    m_shared->m_handler(std::move(request), this->shared_from_this());
    WatchForDisconnect();
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
    Read();
  }

  void Close()
  {
    beast::error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_stream.close();
  }

  beast::tcp_stream m_stream;
  std::shared_ptr<SharedState> m_shared;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  HttpResponse m_response;
  std::function<void()> m_onDisconnect;
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
  , m_shared(std::make_shared<Shared>())
{
  m_shared->m_limits = aLimits;
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
      if (!aError && m_shared->m_connections < m_shared->m_limits.m_connections) {
        std::make_shared<Session<Shared>>(std::move(aSocket), m_shared)->Read();
      }
      Accept(); // a connection above the limit is closed when aSocket is destroyed
    });
}

void
HttpServer::StopAccepting()
{
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
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

size_t
HttpServer::Connections() const
{
  return m_shared->m_connections;
}

} // namespace egretturn
