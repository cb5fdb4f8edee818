// Coroutines for HTTP on loopback: a server whose connections can be cut, and a client.
#pragma once

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace egretturn::review {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Socket = asio::ip::tcp::socket;
template<typename T>
using Task = asio::awaitable<T>;

/// Waits for \p aTime.
Task<void> Sleep(Millis aTime);

/// Returns a port of the loopback address that is free now.
uint16_t FreePort();

/// Returns a response with a JSON body.
Response MakeResponse(unsigned aStatus, std::string aBody);

/// A response to one request; without one the connection stays open and silent.
using Handler = std::function<Task<std::optional<Response>>(Request)>;

/// An HTTP server on a loopback port. Not thread-safe.
class Server : public std::enable_shared_from_this<Server>
{
public:
  Server(asio::io_context& aIo, uint16_t aPort, Handler aHandler);

  /// Listens; connections are refused before. \pre The server is closed.
  void Open();
  /// Closes the port and resets all connections, as the end of the process would.
  void Close();

private:
  Task<void> Accept(std::shared_ptr<asio::ip::tcp::acceptor> aAcceptor);
  Task<void> Serve(std::shared_ptr<Socket> aSocket);

  asio::io_context& m_io;
  uint16_t m_port;
  Handler m_handler;
  std::shared_ptr<asio::ip::tcp::acceptor> m_acceptor;
  std::set<std::shared_ptr<Socket>> m_sockets;
};

/// The status of a response, or 0 if there was none in time, and its body.
struct Answer
{
  unsigned m_status = 0;
  std::string m_body;
};

/// Sends a request on a new connection and waits up to \p aTimeout for the response.
Task<Answer> Call(uint16_t aPort, Request aRequest, Millis aTimeout);

} // namespace egretturn::review
