// HTTP/1.1 server and client on Boost.Beast, with limits on message sizes, times and connections.
#pragma once

#include "egretturn/Config/Settings.h"
#include "egretturn/Support/Error.h"
#include "egretturn/Support/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace egretturn {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Parses an address of the form "ip:port", with IPv6 addresses in brackets. Errors: bad_input.
/// Thread-safe.
Expected<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view aAddress);

/// Sends the response to one request. Holding it keeps the connection's session alive, so that the
/// response can be sent after the handler has returned.
class HttpReply
{
public:
  virtual ~HttpReply() = default;

  /// Sends \p aResponse. Later calls for the same request have no effect. Call on the server's
  /// thread.
  virtual void Send(HttpResponse aResponse) = 0;

  /// Returns whether the caller has closed its connection. Call on the server's thread.
  virtual bool IsDisconnected() const = 0;

  /// Registers \p aCallback, which runs on the server's thread if the caller disconnects before the
  /// response is sent.
  virtual void OnDisconnect(std::function<void()> aCallback) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

/// What a server has done to stay within its limits, in connections since its start.
struct HttpCounters
{
  uint64_t m_closedForBytes = 0;       ///< Closed because all held too many bytes.
  uint64_t m_refusedForBytes = 0;      ///< Requests refused because all held too many bytes.
  uint64_t m_closedForConnections = 0; ///< Closed in favor of a new connection.
  uint64_t m_waited = 0;               ///< New ones that had to wait, since none could be closed.
};

/// Listens on one address and passes each request to a handler. All callbacks run on the thread
/// that runs \p aIo.
class HttpServer
{
public:
  HttpServer(boost::asio::io_context& aIo, const HttpLimits& aLimits, HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts accepting connections on \p aAddress. Errors: bad_input, unavailable if the port is in
  /// use.
  Expected<void> Listen(std::string_view aAddress);

  /// Stops accepting connections. Each open connection is closed after its current request.
  void StopAccepting();

  /// Closes each connection after its next response, while new connections are still accepted.
  void DisableKeepAlive();

  /// Returns the number of open connections.
  size_t Connections() const;

  /// Returns the number of requests that were read completely and whose response has not been
  /// written yet.
  size_t InFlight() const;

  /// Returns what the server has closed. Call on the thread that runs the io_context.
  const HttpCounters& Counters() const;

  /// Returns lines of metrics whose names contain \p aServer. Call on that thread.
  std::string Metrics(std::string_view aServer) const;

private:
  struct Shared;
  void Accept();
  void AcceptLater();

  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_acceptTimer; ///< Until the next attempt to accept a connection.
  std::optional<boost::asio::ip::tcp::socket> m_waiting; ///< Accepted while the server was full.
  std::shared_ptr<Shared> m_shared;
};

/// The result of a client call.
enum class ClientResult
{
  Completed,
  NotSent, ///< No byte of the request was sent.
  Broken,  ///< The connection broke, or the response was truncated or too large.
  TimedOut,
};

/// The result of a call, with the response if the call completed.
struct ClientResponse
{
  ClientResult m_result = ClientResult::Broken;
  HttpResponse m_response;
};

using ClientCallback = std::function<void(ClientResponse)>;

/// A call in progress.
class ClientCall
{
public:
  virtual ~ClientCall() = default;

  /// Closes the call's connection without running its callback. Call on the client's thread.
  virtual void Cancel() = 0;
};

/// HTTP client that keeps idle connections to each address for reuse. Call all methods on the
/// thread that runs \p aIo.
class HttpClient
{
public:
  HttpClient(boost::asio::io_context& aIo, size_t aMaxResponseBytes);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends \p aRequest to \p aAddress over an idle connection that the peer has not closed, or else
  /// over a new one.
  std::shared_ptr<ClientCall> Send(const std::string& aAddress,
                                   HttpRequest aRequest,
                                   Duration aTimeout,
                                   ClientCallback aCallback);

private:
  struct Pool;
  class Call;

  boost::asio::io_context& m_io;
  size_t m_maxResponseBytes;
  std::shared_ptr<Pool> m_pool;
};

/// Builds an HTTP/1.1 request with the headers Host and Content-Length. Thread-safe.
HttpRequest MakeRequest(boost::beast::http::verb aMethod,
                        std::string_view aTarget,
                        std::string aBody);

/// Builds an HTTP/1.1 response with the headers Content-Type and Content-Length. Thread-safe.
HttpResponse MakeResponse(unsigned aStatus, std::string_view aContentType, std::string aBody);

} // namespace egretturn
