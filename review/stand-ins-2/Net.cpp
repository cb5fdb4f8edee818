#include "Net.h"

#include <unistd.h>

namespace egretturn::review {

using namespace asio::experimental::awaitable_operators;

static constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);

Task<void>
Sleep(Millis aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(kToTuple);
}

static asio::ip::tcp::endpoint
Loopback(uint16_t aPort)
{
  return { asio::ip::address_v4::loopback(), aPort };
}

uint16_t
FreePort()
{
  // Below the ports that outgoing connections take; cases that run at once use different blocks.
  static constexpr uint16_t kFirstPort = 20000;
  static constexpr uint16_t kPortsPerBlock = 80;
  static constexpr uint16_t kBlocks = 150;
  static uint16_t next = static_cast<uint16_t>(kFirstPort + getpid() % kBlocks * kPortsPerBlock);
  asio::io_context io;
  while (true) {
    const uint16_t port = next++;
    asio::ip::tcp::acceptor acceptor(io);
    boost::system::error_code error;
    acceptor.open(asio::ip::tcp::v4());
    acceptor.bind(Loopback(port), error);
    if (!error) {
      return port;
    }
  }
}

Response
MakeResponse(unsigned aStatus, std::string aBody)
{
  Response response;
  response.result(aStatus);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(aBody);
  response.prepare_payload();
  return response;
}

Server::Server(asio::io_context& aIo, uint16_t aPort, Handler aHandler)
  : m_io(aIo)
  , m_port(aPort)
  , m_handler(std::move(aHandler))
{
}

void
Server::Open()
{
  m_acceptor = std::make_shared<asio::ip::tcp::acceptor>(m_io);
  m_acceptor->open(asio::ip::tcp::v4());
  m_acceptor->set_option(asio::socket_base::reuse_address(true));
  m_acceptor->bind(Loopback(m_port));
  m_acceptor->listen(1024);
  asio::co_spawn(
    m_io,
    [self = shared_from_this(), acceptor = m_acceptor] { return self->Accept(acceptor); },
    asio::detached);
}

void
Server::Close()
{
  if (m_acceptor) {
    m_acceptor->close();
    m_acceptor.reset();
  }
  for (const std::shared_ptr<Socket>& socket : std::exchange(m_sockets, {})) {
    boost::system::error_code ignored;
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

Task<void>
Server::Accept(std::shared_ptr<asio::ip::tcp::acceptor> aAcceptor)
{
  while (aAcceptor->is_open()) {
    auto [error, accepted] = co_await aAcceptor->async_accept(kToTuple);
    if (error) {
      continue;
    }
    accepted.set_option(asio::ip::tcp::no_delay(true));
    const std::shared_ptr<Socket> socket = std::make_shared<Socket>(std::move(accepted));
    m_sockets.insert(socket);
    asio::co_spawn(
      m_io, [self = shared_from_this(), socket] { return self->Serve(socket); }, asio::detached);
  }
}

Task<void>
Server::Serve(std::shared_ptr<Socket> aSocket)
{
  boost::beast::flat_buffer buffer;
  while (aSocket->is_open()) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(16 * 1024 * 1024);
    const auto [readError, read] = co_await http::async_read(*aSocket, buffer, parser, kToTuple);
    if (readError) {
      break;
    }
    std::optional<Response> response = co_await m_handler(parser.release());
    if (!response || !aSocket->is_open()) {
      continue;
    }
    const auto [writeError, written] = co_await http::async_write(*aSocket, *response, kToTuple);
    if (writeError) {
      break;
    }
  }
  m_sockets.erase(aSocket);
}

/// Sends a request and reads its response into \p aAnswer.
static Task<void>
Exchange(uint16_t aPort, Request aRequest, std::shared_ptr<Answer> aAnswer)
{
  Socket socket(co_await asio::this_coro::executor);
  const auto [connectError] = co_await socket.async_connect(Loopback(aPort), kToTuple);
  if (connectError) {
    co_return;
  }
  const auto [writeError, written] = co_await http::async_write(socket, aRequest, kToTuple);
  if (writeError) {
    co_return;
  }
  boost::beast::flat_buffer buffer;
  Response response;
  const auto [readError, read] = co_await http::async_read(socket, buffer, response, kToTuple);
  if (!readError) {
    *aAnswer = { response.result_int(), response.body() };
  }
}

Task<Answer>
Call(uint16_t aPort, Request aRequest, Millis aTimeout)
{
  const std::shared_ptr<Answer> answer = std::make_shared<Answer>();
  aRequest.prepare_payload();
  co_await (Exchange(aPort, std::move(aRequest), answer) || Sleep(aTimeout));
  co_return *answer;
}

} // namespace egretturn::review
