#include "egretturn/Http/Http.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace egretturn {

namespace http = boost::beast::http;

static constexpr size_t kMaxQuotedBytes = 80; // of an invalid address, in its error message

Expected<boost::asio::ip::tcp::endpoint>
ParseEndpoint(std::string_view aAddress)
{
  const size_t colon = aAddress.rfind(':');
  const std::string text(aAddress);
  if (colon != std::string_view::npos && text.find('\0') == std::string::npos) {
    std::string host(aAddress.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
      host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const boost::asio::ip::address address = boost::asio::ip::make_address(host, error);
    uint16_t port = 0;
    const char* end = aAddress.data() + aAddress.size();
    const std::from_chars_result parsed = std::from_chars(aAddress.data() + colon + 1, end, port);
    if (!error && parsed.ec == std::errc() && parsed.ptr == end) {
      return boost::asio::ip::tcp::endpoint(address, port);
    }
  }
  return Fail(ErrorKind::BadInput,
              "'" + text.substr(0, kMaxQuotedBytes) + "' is not an address",
              "use an IP address and a port, such as 10.0.0.1:8000");
}

HttpRequest
MakeRequest(http::verb aMethod, std::string_view aTarget, std::string aBody)
{
  HttpRequest request(aMethod, boost::beast::string_view(aTarget.data(), aTarget.size()), 11);
  request.set(http::field::host, "egretturn");
  request.body() = std::move(aBody);
  request.prepare_payload();
  return request;
}

HttpResponse
MakeResponse(unsigned aStatus, std::string_view aContentType, std::string aBody)
{
  HttpResponse response;
  response.version(11);
  response.result(aStatus);
  response.set(http::field::content_type,
               boost::beast::string_view(aContentType.data(), aContentType.size()));
  response.body() = std::move(aBody);
  response.prepare_payload();
  return response;
}

} // namespace egretturn
