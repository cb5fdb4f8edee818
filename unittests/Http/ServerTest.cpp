// Tests what a graceful shutdown relies on: the count of requests in flight and the end of
// keep-alive.
#include "egretturn/Http/Http.h"

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace egretturn;

namespace {

constexpr const char* kAddress = "127.0.0.1:18971";
constexpr Duration kTestTimeout = std::chrono::seconds(5);

/// A client, and a server whose responses are sent by the test.
struct ServerFixture
{
  ServerFixture()
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
                  kTestTimeout,
                  [this](const ClientResponse& aResponse) { m_responses.push_back(aResponse); });
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
  std::vector<std::shared_ptr<HttpReply>> m_replies;
  std::vector<ClientResponse> m_responses;
  HttpServer m_server;
  HttpClient m_client;
};

} // namespace

TEST_CASE("a request is in flight from its last byte until its response is written")
{
  ServerFixture fixture;
  CHECK(fixture.m_server.InFlight() == 0);
  fixture.Send();
  fixture.Send();
  fixture.RunUntil([&] { return fixture.m_replies.size() == 2; });
  CHECK(fixture.m_server.InFlight() == 2);
  fixture.m_replies[0]->Send(MakeResponse(200, "text/plain", "first"));
  fixture.RunUntil(
    [&] { return fixture.m_responses.size() == 1 && fixture.m_server.InFlight() == 1; });
  fixture.m_replies[1]->Send(MakeResponse(200, "text/plain", "second"));
  fixture.RunUntil(
    [&] { return fixture.m_responses.size() == 2 && fixture.m_server.InFlight() == 0; });
}

TEST_CASE("after DisableKeepAlive the next response closes its connection")
{
  ServerFixture fixture;
  fixture.Send();
  fixture.RunUntil([&] { return fixture.m_replies.size() == 1; });
  fixture.m_server.DisableKeepAlive();
  fixture.m_replies[0]->Send(MakeResponse(200, "text/plain", "last"));
  fixture.RunUntil([&] { return fixture.m_responses.size() == 1; });
  CHECK(fixture.m_responses[0].m_result == ClientResult::Completed);
  CHECK_FALSE(fixture.m_responses[0].m_response.keep_alive());
}

TEST_CASE("a caller that expects it is told to send its body")
{
  static constexpr std::string_view kInterim = "HTTP/1.1 100 Continue\r\n\r\n";
  ServerFixture fixture;
  boost::asio::ip::tcp::socket caller(fixture.m_io);
  caller.connect(*ParseEndpoint(kAddress));
  boost::asio::write(
    caller,
    boost::asio::buffer(std::string_view("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                                         "Expect: 100-continue\r\n\r\n")));
  std::string received(kInterim.size(), '\0');
  bool read = false;
  boost::asio::async_read(caller,
                          boost::asio::buffer(received),
                          [&](boost::system::error_code aError, size_t) { read = !aError; });
  fixture.RunUntil([&] { return read; });
  CHECK(received == kInterim);
  CHECK(fixture.m_replies.empty());
  boost::asio::write(caller, boost::asio::buffer(std::string_view("body")));
  fixture.RunUntil([&] { return fixture.m_replies.size() == 1; });
  fixture.m_replies[0]->Send(MakeResponse(200, "text/plain", ""));
}

// Guards against calls to a wrong endpoint when an address that another program wrote is malformed.
TEST_CASE("an address is an IP address and a 16-bit port, with nothing around them")
{
  for (const char* valid : { "10.0.0.1:8000", "[::1]:80", "127.0.0.1:65535" }) {
    CHECK(ParseEndpoint(valid));
  }
  const std::string embeddedNul("10.0.0.1\0x:80", 13);
  const std::string longText(100000, 'x');
  for (const std::string& invalid : { std::string(),
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
                                      embeddedNul,
                                      longText }) {
    const Expected<boost::asio::ip::tcp::endpoint> endpoint = ParseEndpoint(invalid);
    REQUIRE_FALSE(endpoint);
    CHECK(endpoint.error().Text().size() < 250);
  }
}
