// Tests how the client handles idle connections that have gone silent without a reset, and large
// responses.
#include "egretturn/Http/Http.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace egretturn;

namespace {

namespace http = boost::beast::http;

constexpr const char* kAddress = "127.0.0.1:18975";
constexpr Duration kTimeout = std::chrono::milliseconds(200);
constexpr Duration kTestTimeout = std::chrono::seconds(5);

/// A server whose open connections can go silent permanently, without a reset, while new
/// connections work.
class SilentServer
{
public:
  explicit SilentServer(boost::asio::io_context& aIo)
    : m_acceptor(aIo, *ParseEndpoint(kAddress))
  {
    Accept();
  }

  /// Makes all open connections silent: the server no longer responds on them.
  void SilenceOpenConnections() { ++m_generation; }

  /// Responds to all requests that have been read, in order.
  void RespondToAll()
  {
    for (const std::shared_ptr<Connection>& connection : std::exchange(m_waiting, {})) {
      connection->m_response = MakeResponse(200, "text/plain", "response");
      connection->m_response.keep_alive(true);
      http::async_write(connection->m_socket,
                        connection->m_response,
                        [this, connection](boost::system::error_code aError, size_t) {
                          if (!aError) {
                            Read(connection);
                          }
                        });
    }
  }

  size_t Waiting() const { return m_waiting.size(); }
  size_t Accepted() const { return m_accepted; }

private:
  struct Connection
  {
    explicit Connection(boost::asio::ip::tcp::socket aSocket)
      : m_socket(std::move(aSocket))
    {
    }

    boost::asio::ip::tcp::socket m_socket;
    size_t m_generation = 0;
    boost::beast::flat_buffer m_buffer;
    HttpRequest m_request;
    HttpResponse m_response;
  };

  void Accept()
  {
    m_acceptor.async_accept(
      [this](boost::system::error_code aError, boost::asio::ip::tcp::socket aSocket) {
        if (aError) {
          return;
        }
        const std::shared_ptr<Connection> connection =
          std::make_shared<Connection>(std::move(aSocket));
        connection->m_generation = m_generation;
        ++m_accepted;
        Read(connection);
        Accept();
      });
  }

  void Read(const std::shared_ptr<Connection>& aConnection)
  {
    aConnection->m_request = {};
    http::async_read(aConnection->m_socket,
                     aConnection->m_buffer,
                     aConnection->m_request,
                     [this, aConnection](boost::system::error_code aError, size_t) {
                       if (aError) {
                         return;
                       }
                       if (aConnection->m_generation == m_generation) {
                         m_waiting.push_back(aConnection);
                       } else {
                         m_silent.push_back(aConnection); // stays open
                       }
                     });
  }

  boost::asio::ip::tcp::acceptor m_acceptor;
  size_t m_generation = 0;
  size_t m_accepted = 0;
  std::vector<std::shared_ptr<Connection>> m_waiting;
  std::vector<std::shared_ptr<Connection>> m_silent;
};

/// A client and a SilentServer on one event loop.
struct SilentServerFixture
{
  SilentServerFixture()
    : m_server(m_io)
    , m_client(m_io, 4096)
  {
  }

  void Send()
  {
    m_client.Send(
      kAddress,
      MakeRequest(http::verb::get, "/", ""),
      kTimeout,
      [this](const ClientResponse& aResponse) { m_results.push_back(aResponse.m_result); });
  }

  /// Leaves \p aCalls idle connections open, by sending as many requests at once so that each has a
  /// connection of its own.
  void OpenIdleConnections(size_t aCalls)
  {
    for (size_t i = 0; i < aCalls; ++i) {
      Send();
    }
    RunUntil([&] { return m_server.Waiting() == aCalls; });
    m_server.RespondToAll();
    RunUntil([&] { return m_results.size() == aCalls; });
    m_results.clear();
  }

  /// Runs until a pending call ends, and returns its result. The server responds immediately on
  /// connections that are not silent.
  ClientResult AwaitResult()
  {
    RunUntil([&] {
      m_server.RespondToAll();
      return !m_results.empty();
    });
    const ClientResult result = m_results.front();
    m_results.erase(m_results.begin());
    return result;
  }

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    boost::asio::steady_timer limit(m_io, kTestTimeout);
    limit.async_wait([](boost::system::error_code) {});
    while (!aCondition() && limit.expiry() > std::chrono::steady_clock::now()) {
      m_io.run_one();
    }
    REQUIRE(aCondition());
  }

  boost::asio::io_context m_io;
  std::vector<ClientResult> m_results;
  SilentServer m_server;
  HttpClient m_client;
};

} // namespace

// Guards against a healthy peer that stays unreachable for one timeout per idle connection.
TEST_CASE("a timed-out call closes the other idle connections, so that the next call succeeds")
{
  SilentServerFixture fixture;
  fixture.OpenIdleConnections(4);
  REQUIRE(fixture.m_server.Accepted() == 4);
  fixture.m_server.SilenceOpenConnections();

  fixture.Send();
  REQUIRE(fixture.AwaitResult() == ClientResult::TimedOut);
  fixture.Send();
  CHECK(fixture.AwaitResult() == ClientResult::Completed);
  CHECK(fixture.m_server.Accepted() == 5);
  fixture.Send(); // reuses the new connection
  CHECK(fixture.AwaitResult() == ClientResult::Completed);
  CHECK(fixture.m_server.Accepted() == 5);
}

// Guards against closing connections that have received a response after the timed-out call
// started.
TEST_CASE("a timed-out call keeps the connections that received a response after it started")
{
  SilentServerFixture fixture;
  fixture.OpenIdleConnections(1);
  fixture.m_server.SilenceOpenConnections();

  fixture.Send(); // reuses the silent connection
  fixture.Send(); // opens a new one
  REQUIRE(fixture.AwaitResult() == ClientResult::Completed);
  REQUIRE(fixture.AwaitResult() == ClientResult::TimedOut);
  fixture.Send();
  CHECK(fixture.AwaitResult() == ClientResult::Completed);
  CHECK(fixture.m_server.Accepted() == 2);
}

// Guards against a large response that takes seconds on a busy event loop, because each few hundred
// bytes of it wait for the other handlers: the directory of the workers was read too late (DRAIN).
TEST_CASE("a large response takes few turns of the event loop")
{
  constexpr size_t kBodyBytes = 1024 * 1024;
  constexpr size_t kMaxTurns = kBodyBytes / 4096;
  boost::asio::io_context serverIo;
  boost::asio::ip::tcp::acceptor acceptor(serverIo, *ParseEndpoint(kAddress));
  std::thread server([&] {
    boost::asio::ip::tcp::socket socket = acceptor.accept();
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
    boost::asio::write(
      socket,
      boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) +
                          "\r\n\r\n" + std::string(kBodyBytes, 'x')));
  });
  boost::asio::io_context io;
  HttpClient client(io, kBodyBytes);
  ClientResponse response{ ClientResult::Broken, {} };
  client.Send(kAddress,
              MakeRequest(http::verb::get, "/", ""),
              std::chrono::seconds(30),
              [&](ClientResponse aResponse) { response = std::move(aResponse); });
  size_t turns = 0;
  while (io.run_one() > 0) {
    ++turns;
  }
  server.join();
  CHECK(response.m_result == ClientResult::Completed);
  CHECK(response.m_response.body() == std::string(kBodyBytes, 'x'));
  CHECK(turns <= kMaxTurns);
}
