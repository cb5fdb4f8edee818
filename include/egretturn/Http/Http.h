// HTTP/1.1 by Boost.Beast: a server and a client with bounded sizes, times and connections.
#pragma once

#include "egretturn/Config/Settings.h"
#include "egretturn/Support/Error.h"
#include "egretturn/Support/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace egretturn {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Reads "ip:port". Errors: bad_input. Thread-safe.
Expected<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view aAddress);

/// Where a handler puts its answer. The session outlives the handler by shared ownership.
class HttpReply
{
public:
  virtual ~HttpReply() = default;

  /// Sends \p aResponse; at most once. Call on the server's thread.
  virtual void Send(HttpResponse aResponse) = 0;

  /// Whether the caller has closed its connection. Call on the server's thread.
  virtual bool IsGone() const = 0;

  /// Called on the server's thread if the caller goes before it is answered.
  virtual void OnGone(std::function<void()> aCallback) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

/// Accepts connections on one address. All callbacks run on the thread of \p aIo.
class HttpServer
{
public:
  HttpServer(boost::asio::io_context& aIo, const HttpLimits& aLimits, HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to accept on \p aAddress. Errors: bad_input, unavailable if the port is taken.
  Expected<void> Listen(std::string_view aAddress);

  /// Stops accepting; open connections end after their present request.
  void StopAccepting();

  /// Goes on accepting, but closes each connection with its next answer.
  void DisableKeepAlive();

  size_t Connections() const;

  /// Requests that were read whole and whose answers have not been written yet.
  size_t InFlight() const;

private:
  struct Shared;
  void Accept();

  boost::asio::ip::tcp::acceptor m_acceptor;
  std::shared_ptr<Shared> m_shared;
};

/// How a client call ended.
enum class ClientResult
{
  Completed,
  NotSent, ///< No byte of the request was sent.
  Broken,  ///< The connection broke, or the answer was truncated or too large.
  TimedOut,
};

struct ClientResponse
{
  ClientResult m_result = ClientResult::Broken;
  HttpResponse m_response;
};

using ClientCallback = std::function<void(ClientResponse)>;

/// A call in progress. Cancelling closes its connection; the callback does not run then.
class ClientCall
{
public:
  virtual ~ClientCall() = default;

  /// Call on the client's thread.
  virtual void Cancel() = 0;
};

/// Client with kept connections to many addresses. All methods on the thread of \p aIo.
class HttpClient
{
public:
  HttpClient(boost::asio::io_context& aIo, size_t aAnswerBytes);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends \p aRequest to \p aAddress. A kept connection is used only while the peer holds it open.
  std::shared_ptr<ClientCall> Send(const std::string& aAddress,
                                   HttpRequest aRequest,
                                   Duration aTimeout,
                                   ClientCallback aCallback);

private:
  struct Pool;
  class Call;

  boost::asio::io_context& m_io;
  size_t m_answerBytes;
  std::shared_ptr<Pool> m_pool;
};

/// A request with the headers that every call needs. Thread-safe.
HttpRequest MakeRequest(boost::beast::http::verb aMethod,
                        std::string_view aTarget,
                        std::string aBody);

/// A response with \p aBody. Thread-safe.
HttpResponse MakeResponse(unsigned aStatus, std::string_view aContentType, std::string aBody);

} // namespace egretturn
