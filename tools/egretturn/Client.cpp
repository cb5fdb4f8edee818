#include "Client.h"

#include <optional>

namespace egretturn {

namespace http = boost::beast::http;

static constexpr size_t kMaxResponseBytes = 64 * 1024 * 1024;
static constexpr Duration kTimeout = std::chrono::seconds(12);

Expected<InstanceResponse>
CallInstance(const std::string& aAddress, HttpRequest aRequest, Duration aTimeout)
{
  const Expected<boost::asio::ip::tcp::endpoint> endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    return tl::unexpected<Error>(endpoint.error());
  }
  boost::asio::io_context io;
  HttpClient client(io, kMaxResponseBytes);
  std::optional<ClientResponse> response;
  client.Send(aAddress, std::move(aRequest), aTimeout, [&](ClientResponse aResponse) {
    response = std::move(aResponse);
  });
  io.run();
  if (!response || response->m_result != ClientResult::Completed) {
    return Fail(ErrorKind::Unavailable,
                "instance " + aAddress + " did not respond",
                "check that it is running, or choose another with --instance");
  }
  InstanceResponse out;
  out.m_status = response->m_response.result_int();
  const boost::beast::string_view outcome = response->m_response["Egretturn-Outcome"];
  out.m_outcome = std::string(outcome.data(), outcome.size());
  out.m_text = response->m_response.body();
  out.m_body = Json::parse(out.m_text, nullptr, false);
  if (out.m_body.is_discarded()) {
    out.m_body = Json();
  }
  return out;
}

Expected<InstanceResponse>
GetFrom(const std::string& aAddress, const std::string& aPath)
{
  return CallInstance(aAddress, MakeRequest(http::verb::get, aPath, ""), kTimeout);
}

Expected<InstanceResponse>
PostTo(const std::string& aAddress, const std::string& aPath, const std::string& aBody)
{
  return CallInstance(aAddress, MakeRequest(http::verb::post, aPath, aBody), kTimeout);
}

} // namespace egretturn
