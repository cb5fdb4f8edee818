// A bare forwarder: an HTTP server and client without any decisions. It is the upper bound for the
// daemon's data plane.
#include "egretturn/Http/Http.h"

#include <iostream>

using namespace egretturn;

int
main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    std::cerr << "usage: bare-forwarder LISTEN TARGET\n";
    return 2;
  }
  const std::string target = aArguments[2];
  boost::asio::io_context io(1);
  HttpClient client(io, 8 * 1024 * 1024);
  HttpServer server(
    io, HttpLimits{}, [&](HttpRequest aRequest, const std::shared_ptr<HttpReply>& aReply) {
      client.Send(
        target, std::move(aRequest), std::chrono::seconds(30), [aReply](ClientResponse aResponse) {
          const bool completed = aResponse.m_result == ClientResult::Completed;
          aReply->Send(completed ? std::move(aResponse.m_response)
                                 : MakeResponse(502, "text/plain", "no answer\n"));
        });
    });
  const Expected<void> listening = server.Listen(aArguments[1]);
  if (!listening) {
    std::cerr << listening.error().Text() << '\n';
    return 1;
  }
  io.run();
  return 0;
}
