// Connects the links of an instance to its event loop and to its HTTP client.
#pragma once

#include "egretturn/Http/Http.h"
#include "egretturn/Node/LinkPort.h"

namespace egretturn {

/// Sends the messages of links as HTTP requests to other instances. Not thread-safe: all methods
/// and callbacks run on the thread of the io_context.
class PeerLinkPort : public LinkPort
{
public:
  PeerLinkPort(boost::asio::io_context& aIo, HttpClient& aClient);

  Instant Now() override;
  void After(Duration aDelay, std::function<void()> aCallback) override;
  void SendOrders(const std::string& aAddress,
                  const LinkOrders& aOrders,
                  LinkOrdersCallback aDone) override;
  void SendResults(const std::string& aAddress,
                   const LinkResults& aResults,
                   LinkResultsCallback aDone) override;

private:
  boost::asio::io_context& m_io;
  HttpClient& m_client;
};

} // namespace egretturn
