// What kept connections cost once they have gone silent without a reset.
#include "egretturn/Http/Http.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <catch2/catch.hpp>

using namespace egretturn;

namespace {

namespace http = boost::beast::http;

constexpr const char* kAddress = "127.0.0.1:18975";
constexpr Duration kTimeout = std::chrono::milliseconds(200);
constexpr Duration kLimit = std::chrono::seconds(5);

/// A server whose open connections can go silent for good, without a reset, while new ones work.
class SilentServer
{
public:
  explicit SilentServer(boost::asio::io_context& aIo)
    : m_acceptor(aIo, *ParseEndpoint(kAddress))
  {
    Accept();
  }

  /// From here on, the connections of now neither read nor write.
  void SilenceOpen() { ++m_generation; }

  /// Answers what has been read, in order.
  void AnswerAll()
  {
    for (const std::shared_ptr<Connection>& connection : std::exchange(m_waiting, {})) {
      connection->m_response = MakeResponse(200, "text/plain", "answer");
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

/// A client with that server.
struct SilentWorld
{
  SilentWorld()
    : m_server(m_io)
    , m_client(m_io, 4096)
  {
  }

  void Send()
  {
    m_client.Send(kAddress,
                  MakeRequest(http::verb::get, "/", ""),
                  kTimeout,
                  [this](const ClientResponse& aAnswer) { m_results.push_back(aAnswer.m_result); });
  }

  /// Sends \p aCalls at a time, so that each has a connection of its own, and has them answered.
  void KeepConnections(size_t aCalls)
  {
    for (size_t i = 0; i < aCalls; ++i) {
      Send();
    }
    RunUntil([&] { return m_server.Waiting() == aCalls; });
    m_server.AnswerAll();
    RunUntil([&] { return m_results.size() == aCalls; });
    m_results.clear();
  }

  /// Runs until the call that is under way ends; the server answers at once where it answers.
  ClientResult Finish()
  {
    RunUntil([&] {
      m_server.AnswerAll();
      return !m_results.empty();
    });
    const ClientResult result = m_results.front();
    m_results.erase(m_results.begin());
    return result;
  }

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    boost::asio::steady_timer limit(m_io, kLimit);
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

// Guards against a sound peer that stays out of reach for one timeout per kept connection.
TEST_CASE("after one call on a silent connection the next call does not take another old one")
{
  SilentWorld world;
  world.KeepConnections(4);
  REQUIRE(world.m_server.Accepted() == 4);
  world.m_server.SilenceOpen();

  world.Send();
  REQUIRE(world.Finish() == ClientResult::TimedOut);
  world.Send();
  CHECK(world.Finish() == ClientResult::Completed);
  CHECK(world.m_server.Accepted() == 5);
  world.Send(); // and the new connection is kept
  CHECK(world.Finish() == ClientResult::Completed);
  CHECK(world.m_server.Accepted() == 5);
}

// Guards against dropping connections that have answered since the call that timed out began.
TEST_CASE("a call that times out leaves the connections that answered after its begin")
{
  SilentWorld world;
  world.KeepConnections(1);
  world.m_server.SilenceOpen();

  world.Send(); // takes the silent connection
  world.Send(); // opens a new one
  REQUIRE(world.Finish() == ClientResult::Completed);
  REQUIRE(world.Finish() == ClientResult::TimedOut);
  world.Send();
  CHECK(world.Finish() == ClientResult::Completed);
  CHECK(world.m_server.Accepted() == 2);
}
