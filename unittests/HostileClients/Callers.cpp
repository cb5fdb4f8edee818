#include "Callers.h"

#include "SoakJobs.h"

#include <boost/asio/io_context.hpp>

namespace egretturn::hostile {

namespace http = boost::beast::http;

static constexpr size_t kMaxResponseBytes = 1024 * 1024;
static constexpr unsigned kTooManyRequests = 429;
static constexpr unsigned kUnavailable = 503;

static void
Count(const ClientResponse& aResponse, CallerCounts& aCounts)
{
  if (aResponse.m_result != ClientResult::Completed) {
    ++aCounts.m_unanswered;
    return;
  }
  const unsigned status = aResponse.m_response.result_int();
  if (status / 100 == 2) {
    ++aCounts.m_accepted;
  } else if (status == kTooManyRequests || status == kUnavailable) {
    ++aCounts.m_refused;
    aCounts.m_withoutRetryAfter += aResponse.m_response.count(http::field::retry_after) > 0 ? 0 : 1;
  } else {
    ++aCounts.m_others;
  }
}

CallerCounts
SendRequests(uint16_t aPort,
             size_t aClients,
             size_t aRequests,
             Duration aTimeout,
             const RequestMaker& aMakeRequest)
{
  boost::asio::io_context io;
  HttpClient client(io, kMaxResponseBytes);
  const std::string address = "127.0.0.1:" + std::to_string(aPort);
  CallerCounts counts;
  size_t next = 0;
  const std::function<void()> sendNext = [&] {
    if (next == aRequests) {
      return;
    }
    CallerRequest made = aMakeRequest(next++);
    HttpRequest request = MakeRequest(made.m_method, made.m_path, std::move(made.m_body));
    request.set(http::field::host, soak::kHost);
    client.Send(address, std::move(request), aTimeout, [&](const ClientResponse& aResponse) {
      Count(aResponse, counts);
      sendNext();
    });
  };
  for (size_t i = 0; i < aClients; ++i) {
    sendNext();
  }
  io.run();
  return counts;
}

} // namespace egretturn::hostile
