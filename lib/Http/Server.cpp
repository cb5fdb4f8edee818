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

/// What the sessions of one server share.
struct HttpServer::Shared
{
  HttpLimits m_limits;
  HttpHandler m_handler;
  size_t m_connections = 0;
  size_t m_inFlight = 0;
  bool m_stopping = false;
};

namespace {

/// One connection. Keeps itself alive through the handlers of its pending operations.
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
    EndRequest();
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
    if (m_answered) {
      return;
    }
    m_answered = true;
    m_onGone = nullptr;
    m_response = std::move(aResponse);
    m_response.keep_alive(m_keepAlive && !m_shared->m_stopping);
    m_stream.expires_after(m_shared->m_limits.m_idle);
    http::async_write(
      m_stream, m_response, [self = this->shared_from_this()](beast::error_code aError, size_t) {
        self->OnWritten(aError);
      });
  }

  bool IsGone() const override { return m_gone; }

  void OnGone(std::function<void()> aCallback) override { m_onGone = std::move(aCallback); }

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
    m_answered = false;
    // The handler decides how long an answer takes; a caller that goes away is noticed by a read.
    m_stream.expires_never();
    m_inFlight = true;
    ++m_shared->m_inFlight;
    m_shared->m_handler(std::move(request), this->shared_from_this());
    WatchForGone();
  }

  /// Waits until the caller sends more or closes, while its request is being answered.
  void WatchForGone()
  {
    if (m_answered || m_buffer.size() > 0) {
      return;
    }
    m_stream.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                 [self = this->shared_from_this()](beast::error_code aError) {
                                   if (!aError && !self->m_answered) {
                                     self->CheckGone();
                                   }
                                 });
  }

  void CheckGone()
  {
    char byte = 0;
    beast::error_code error;
    m_stream.socket().non_blocking(true, error);
    m_stream.socket().receive(
      boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    if (!error || error == boost::asio::error::would_block) {
      return; // the next request of a pipelining caller
    }
    m_gone = true;
    if (m_onGone) {
      const std::function<void()> callback = std::move(m_onGone);
      m_onGone = nullptr;
      callback();
    }
  }

  void EndRequest()
  {
    if (m_inFlight) {
      m_inFlight = false;
      --m_shared->m_inFlight;
    }
  }

  void OnWritten(beast::error_code aError)
  {
    EndRequest();
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
  std::function<void()> m_onGone;
  bool m_keepAlive = true;
  bool m_answered = true;
  bool m_inFlight = false; ///< Counted in the server's number of requests.
  bool m_gone = false;
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
                "choose a free port and an address of this machine");
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
      Accept(); // above the limit the connection is closed at once
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
  m_shared->m_stopping = true;
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
