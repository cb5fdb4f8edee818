// Built as C++14: libjsonrpccpp's headers use dynamic exception specifications.
#include "egretturn/Daemon/PeerRpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace egretturn {

namespace {

/// Captures the text of a call instead of sending it, so that it can be sent asynchronously.
class CapturingConnector : public jsonrpc::IClientConnector
{
public:
  void SendRPCMessage(const std::string& aMessage,
                      std::string& aResult) throw(jsonrpc::JsonRpcException) override
  {
    m_message = aMessage;
    aResult.clear();
  }

  std::string m_message;
};

/// Returns each response to the caller of OnRequest() instead of sending it.
class ReturningConnector : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void* aInfo) override
  {
    *static_cast<std::string*>(aInfo) = aResponse;
    return true;
  }
};

class NotificationHandler : public jsonrpc::AbstractServer<NotificationHandler>
{
public:
  NotificationHandler(jsonrpc::AbstractServerConnector& aConnector,
                      const std::string& aMethod,
                      NotificationServer::Handler aHandler)
    : AbstractServer<NotificationHandler>(aConnector, jsonrpc::JSONRPC_SERVER_V2)
    , m_handler(std::move(aHandler))
  {
    bindAndAddNotification(
      jsonrpc::Procedure(
        aMethod, jsonrpc::PARAMS_BY_NAME, "message", jsonrpc::JSON_STRING, nullptr),
      &NotificationHandler::OnNotification);
  }

  void OnNotification(const Json::Value& aParameters)
  {
    m_handler(aParameters["message"].asString());
  }

private:
  NotificationServer::Handler m_handler;
};

} // namespace

std::string
EncodeNotification(const std::string& aMethod, const std::string& aMessage)
{
  CapturingConnector connector;
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  Json::Value parameters;
  parameters["message"] = aMessage;
  client.CallNotification(aMethod, parameters);
  return connector.m_message;
}

class NotificationServer::Impl
{
public:
  Impl(const std::string& aMethod, Handler aHandler)
    : m_handler(m_connector, aMethod, std::move(aHandler))
  {
  }

  std::string Handle(const std::string& aRequest)
  {
    std::string response;
    m_connector.OnRequest(aRequest, &response);
    return response;
  }

private:
  ReturningConnector m_connector;
  NotificationHandler m_handler;
};

NotificationServer::NotificationServer(const std::string& aMethod, Handler aHandler)
  : m_impl(new Impl(aMethod, std::move(aHandler)))
{
}

NotificationServer::~NotificationServer() = default;

std::string
NotificationServer::Handle(const std::string& aRequest)
{
  return m_impl->Handle(aRequest);
}

} // namespace egretturn
