#include "egretturn/Node/PeerLinkPort.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Node/PeerProtocol.h"
#include "egretturn/Node/Ports.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace egretturn {

static constexpr Duration kOrdersTimeout = std::chrono::milliseconds(900);
// Results are repeated at once, and a link on which nothing new arrives is given up soon.
static constexpr Duration kResultsTimeout = std::chrono::milliseconds(400);

PeerLinkPort::PeerLinkPort(boost::asio::io_context& aIo, HttpClient& aClient)
  : m_io(aIo)
  , m_client(aClient)
{
}

Instant
PeerLinkPort::Now()
{
  return BootClockNow();
}

void
PeerLinkPort::After(Duration aDelay, std::function<void()> aCallback)
{
  if (aDelay <= Duration::zero()) {
    boost::asio::post(m_io, std::move(aCallback));
    return;
  }
  const std::shared_ptr<boost::asio::steady_timer> timer =
    std::make_shared<boost::asio::steady_timer>(m_io, aDelay);
  timer->async_wait(
    [timer, callback = std::move(aCallback)](boost::system::error_code) { callback(); });
}

/// Sends \p aMessage and passes the decoded reply to \p aDone, or nothing.
template<typename Reply, typename Message>
static void
Send(HttpClient& aClient,
     const std::string& aAddress,
     PeerOperation aOperation,
     const Message& aMessage,
     Duration aTimeout,
     std::function<void(const std::optional<Reply>&)> aDone)
{
  aClient.Send(
    aAddress,
    MakeRequest(boost::beast::http::verb::post, PathOf(aOperation), PackCompact(aMessage)),
    aTimeout,
    [done = std::move(aDone)](const ClientResponse& aResponse) {
      Reply reply;
      const bool replied = aResponse.m_result == ClientResult::Completed &&
                           UnpackCompact(aResponse.m_response.body(), reply);
      done(replied ? std::optional(reply) : std::nullopt);
    });
}

void
PeerLinkPort::SendOrders(const std::string& aAddress,
                         const LinkOrders& aOrders,
                         LinkOrdersCallback aDone)
{
  Send<LinkOrdersReply>(
    m_client, aAddress, PeerOperation::LinkOrders, aOrders, kOrdersTimeout, std::move(aDone));
}

void
PeerLinkPort::SendResults(const std::string& aAddress,
                          const LinkResults& aResults,
                          LinkResultsCallback aDone)
{
  Send<LinkResultsReply>(
    m_client, aAddress, PeerOperation::LinkResults, aResults, kResultsTimeout, std::move(aDone));
}

} // namespace egretturn
