// What a graceful shutdown waits for.
#include "egretturn/Http/Http.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace egretturn;

namespace {

constexpr const char* kAddress = "127.0.0.1:18971";
constexpr Duration kTimeout = std::chrono::seconds(5);

/// A server that keeps its replies until the test sends them, and a client.
struct HeldServer
{
  HeldServer()
    : m_server(m_io,
               HttpLimits(),
               [this](const HttpRequest&, std::shared_ptr<HttpReply> aReply) {
                 m_replies.push_back(std::move(aReply));
               })
    , m_client(m_io, 4096)
  {
    REQUIRE(m_server.Listen(kAddress));
  }

  void Send()
  {
    m_client.Send(kAddress,
                  MakeRequest(boost::beast::http::verb::get, "/", ""),
                  kTimeout,
                  [this](const ClientResponse& aAnswer) { m_answers.push_back(aAnswer); });
  }

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    boost::asio::steady_timer limit(m_io, kTimeout);
    limit.async_wait([](boost::system::error_code) {});
    while (!aCondition() && limit.expiry() > std::chrono::steady_clock::now()) {
      m_io.run_one();
    }
    REQUIRE(aCondition());
  }

  boost::asio::io_context m_io;
  std::vector<std::shared_ptr<HttpReply>> m_replies;
  std::vector<ClientResponse> m_answers;
  HttpServer m_server;
  HttpClient m_client;
};

} // namespace

TEST_CASE("a request is in flight from its last byte until its answer is written")
{
  HeldServer server;
  CHECK(server.m_server.InFlight() == 0);
  server.Send();
  server.Send();
  server.RunUntil([&] { return server.m_replies.size() == 2; });
  CHECK(server.m_server.InFlight() == 2);
  server.m_replies[0]->Send(MakeResponse(200, "text/plain", "first"));
  server.RunUntil([&] { return server.m_answers.size() == 1 && server.m_server.InFlight() == 1; });
  server.m_replies[1]->Send(MakeResponse(200, "text/plain", "second"));
  server.RunUntil([&] { return server.m_answers.size() == 2 && server.m_server.InFlight() == 0; });
}

TEST_CASE("a server that stops keeping connections alive says so with its next answer")
{
  HeldServer server;
  server.Send();
  server.RunUntil([&] { return server.m_replies.size() == 1; });
  server.m_server.DisableKeepAlive();
  server.m_replies[0]->Send(MakeResponse(200, "text/plain", "last"));
  server.RunUntil([&] { return server.m_answers.size() == 1; });
  CHECK(server.m_answers[0].m_result == ClientResult::Completed);
  CHECK_FALSE(server.m_answers[0].m_response.keep_alive());
}

// Guards against calls to an address that another writer left, and that means something else.
TEST_CASE("an address is an IP number and a port of 16 bits, and nothing more")
{
  for (const char* good : { "10.0.0.1:8000", "[::1]:80", "127.0.0.1:65535" }) {
    CHECK(ParseEndpoint(good));
  }
  const std::string hidden("10.0.0.1\0x:80", 13);
  const std::string longText(100000, 'x');
  for (const std::string& bad : { std::string(),
                                  std::string("10.0.0.1"),
                                  std::string("10.0.0.1:"),
                                  std::string(":80"),
                                  std::string("[]:80"),
                                  std::string("10.0.0.1:65536"),
                                  std::string("10.0.0.1:-1"),
                                  std::string("10.0.0.1:+1"),
                                  std::string("10.0.0.1:99999999999"),
                                  std::string("10.0.0.1: 80"),
                                  std::string("10.0.0.1:80x"),
                                  std::string("10.0.0.256:80"),
                                  std::string("worker.example:80"),
                                  hidden,
                                  longText }) {
    const Expected<boost::asio::ip::tcp::endpoint> endpoint = ParseEndpoint(bad);
    REQUIRE_FALSE(endpoint);
    CHECK(endpoint.error().Text().size() < 250);
  }
}
