#include "Client.h"

#include <optional>

namespace egretturn {

namespace http = boost::beast::http;

static constexpr size_t kMaxAnswer = 64 * 1024 * 1024;
static constexpr Duration kTimeout = std::chrono::seconds(12);

Expected<ToolAnswer>
CallInstance(const std::string& aAddress, HttpRequest aRequest, Duration aTimeout)
{
  const Expected<boost::asio::ip::tcp::endpoint> endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    return tl::unexpected<Error>(endpoint.error());
  }
  boost::asio::io_context io;
  HttpClient client(io, kMaxAnswer);
  std::optional<ClientResponse> answer;
  client.Send(aAddress, std::move(aRequest), aTimeout, [&](ClientResponse aAnswer) {
    answer = std::move(aAnswer);
  });
  io.run();
  if (!answer || answer->m_result != ClientResult::Completed) {
    return Fail(ErrorKind::Unavailable,
                "instance " + aAddress + " did not answer",
                "check that it runs, or name another with --instance");
  }
  ToolAnswer out;
  out.m_status = answer->m_response.result_int();
  const boost::beast::string_view outcome = answer->m_response["Egretturn-Outcome"];
  out.m_outcome = std::string(outcome.data(), outcome.size());
  out.m_text = answer->m_response.body();
  out.m_body = Json::parse(out.m_text, nullptr, false);
  if (out.m_body.is_discarded()) {
    out.m_body = Json();
  }
  return out;
}

Expected<ToolAnswer>
GetFrom(const std::string& aAddress, const std::string& aPath)
{
  return CallInstance(aAddress, MakeRequest(http::verb::get, aPath, ""), kTimeout);
}

Expected<ToolAnswer>
PostTo(const std::string& aAddress, const std::string& aPath, const std::string& aBody)
{
  return CallInstance(aAddress, MakeRequest(http::verb::post, aPath, aBody), kTimeout);
}

} // namespace egretturn
