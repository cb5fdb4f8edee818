// Tests what a server does with clients that keep to no limit: it refuses or closes them, and
// serves others.
#include "PortBlock.h"

#include "egretturn/Http/Http.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace egretturn;
using boost::asio::ip::tcp;

namespace {

constexpr Duration kTestTimeout = std::chrono::seconds(20);
constexpr const char* kChunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A server that responds at once, and clients that send what a test gives them.
struct UntrustedFixture
{
  explicit UntrustedFixture(const HttpLimits& aLimits)
    : m_server(m_io,
               aLimits,
               [this](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
                 m_bodies.push_back(aRequest.body());
                 m_replies.push_back(aReply);
                 if (!m_holdsReplies) {
                   SendReplies();
                 }
               })
  {
    REQUIRE(m_server.Listen(m_address));
  }

  void SendReplies()
  {
    for (const std::shared_ptr<HttpReply>& reply : std::exchange(m_replies, {})) {
      reply->Send(MakeResponse(200, "text/plain", "served"));
    }
  }

  /// Connects a client and sends \p aText.
  std::shared_ptr<tcp::socket> Send(std::string aText)
  {
    std::shared_ptr<tcp::socket> socket = std::make_shared<tcp::socket>(m_io);
    socket->connect(*ParseEndpoint(m_address));
    const std::shared_ptr<std::string> text = std::make_shared<std::string>(std::move(aText));
    boost::asio::async_write(
      *socket, boost::asio::buffer(*text), [socket, text](boost::system::error_code, size_t) {});
    return socket;
  }

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + kTestTimeout;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      m_io.run_one_for(std::chrono::milliseconds(10));
    }
    REQUIRE(aCondition());
  }

  boost::asio::io_context m_io;
  soak::PortBlock m_ports;
  std::string m_address = "127.0.0.1:" + std::to_string(m_ports.Take(m_io));
  std::vector<std::string> m_bodies;
  std::vector<std::shared_ptr<HttpReply>> m_replies;
  bool m_holdsReplies = false;
  HttpServer m_server;
};

HttpLimits
SmallLimits()
{
  HttpLimits limits;
  limits.m_headerBytes = 1024;
  limits.m_bodyBytes = 8192;
  return limits;
}

} // namespace

TEST_CASE("a request that is larger than its body's limit is refused, however it is chunked")
{
  UntrustedFixture fixture(SmallLimits());
  const std::string filler(100000, 'x');
  std::string extensions;
  for (int i = 0; i < 200; ++i) {
    extensions += "1;" + std::string(1000, 'x') + "\r\nx\r\n";
  }
  for (const std::string& rest : { "0\r\nName: " + filler, "1;" + filler, extensions }) {
    const std::shared_ptr<tcp::socket> client = fixture.Send(kChunked + rest);
    fixture.RunUntil([&] { return fixture.m_server.Connections() == 1; });
    fixture.RunUntil([&] { return fixture.m_server.Connections() == 0; });
  }
  CHECK(fixture.m_bodies.empty());
}

TEST_CASE("chunks of one byte, short extensions and trailers are served")
{
  UntrustedFixture fixture(SmallLimits());
  std::string text = kChunked;
  for (int i = 0; i < 8192; ++i) {
    text += "1\r\nx\r\n";
  }
  fixture.Send(text + "1;a=b\r\n" + "x\r\n0\r\nName: text\r\n\r\n"); // one byte too many
  const std::shared_ptr<tcp::socket> client =
    fixture.Send(text + "0;a=b\r\nName: text\r\n\r\n" + "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  fixture.RunUntil([&] { return fixture.m_bodies.size() == 2; });
  CHECK(fixture.m_bodies[0] == std::string(8192, 'x'));
  CHECK(fixture.m_bodies[1].empty()); // pipelined
}

TEST_CASE("connections that hold more than the server may are closed, and others are served")
{
  HttpLimits limits = SmallLimits();
  limits.m_heldBytes = 40000;
  UntrustedFixture fixture(limits);
  std::vector<std::shared_ptr<tcp::socket>> clients;
  clients.reserve(21);
  for (int i = 0; i < 20; ++i) {
    clients.push_back(fixture.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8000\r\n\r\n" +
                                   std::string(7000, 'x')));
  }
  fixture.RunUntil([&] { return fixture.m_server.Counters().m_closedForBytes >= 16; });
  clients.push_back(fixture.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  fixture.RunUntil([&] { return fixture.m_bodies.size() == 1; });
  CHECK(fixture.m_server.Connections() <= 5);
}

// Guards against many complete requests that wait together, for example while there is no leader.
TEST_CASE("a request is refused while those that are being served hold too much")
{
  HttpLimits limits = SmallLimits();
  limits.m_heldBytes = 40000;
  UntrustedFixture fixture(limits);
  fixture.m_holdsReplies = true;
  const std::string request =
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8000\r\n\r\n" + std::string(8000, 'x');
  std::vector<std::shared_ptr<tcp::socket>> clients;
  clients.reserve(21);
  for (int i = 0; i < 20; ++i) {
    clients.push_back(fixture.Send(request));
    fixture.RunUntil([&] {
      const HttpCounters& counters = fixture.m_server.Counters();
      return fixture.m_bodies.size() + counters.m_refusedForBytes + counters.m_closedForBytes >
             static_cast<size_t>(i);
    });
  }
  CHECK(fixture.m_bodies.size() <= 5);
  fixture.m_holdsReplies = false;
  fixture.SendReplies();
  const size_t served = fixture.m_bodies.size();
  clients.clear();
  fixture.RunUntil([&] { return fixture.m_server.Connections() == 0; });
  clients.push_back(fixture.Send(request));
  fixture.RunUntil([&] { return fixture.m_bodies.size() == served + 1; });
}

TEST_CASE("a new connection replaces one that sends nothing")
{
  HttpLimits limits = SmallLimits();
  limits.m_connections = 4;
  UntrustedFixture fixture(limits);
  std::vector<std::shared_ptr<tcp::socket>> clients;
  clients.reserve(9);
  for (int i = 0; i < 8; ++i) {
    clients.push_back(fixture.Send("G"));
  }
  fixture.RunUntil([&] { return fixture.m_server.Counters().m_closedForConnections == 4; });
  clients.push_back(fixture.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  fixture.RunUntil([&] { return fixture.m_bodies.size() == 1; });
  CHECK(fixture.m_server.Connections() <= 4);
}

TEST_CASE("a request that arrives byte by byte is closed when its time is over")
{
  HttpLimits limits = SmallLimits();
  limits.m_idle = std::chrono::minutes(5);
  limits.m_request = std::chrono::milliseconds(200);
  UntrustedFixture fixture(limits);
  const std::shared_ptr<tcp::socket> client = fixture.Send("GET /");
  fixture.RunUntil([&] { return fixture.m_server.Connections() == 1; });
  fixture.RunUntil([&] {
    boost::system::error_code ignored;
    client->send(boost::asio::buffer("x", 1), 0, ignored);
    return fixture.m_server.Connections() == 0;
  });
}
