// JSON-RPC 2.0 between instances, using libjsonrpccpp. This header uses only standard types, since
// that library's headers need an older language version than the rest of the project.
#pragma once

#include <functional>
#include <memory>
#include <string>

namespace egretturn {

/// Encodes a notification of \p aMethod whose parameter "message" is \p aMessage. Thread-safe.
std::string EncodeNotification(const std::string& aMethod, const std::string& aMessage);

/// Decodes notifications of one method and passes their messages to a handler. Not thread-safe.
class NotificationServer
{
public:
  using Handler = std::function<void(const std::string& aMessage)>;

  NotificationServer(const std::string& aMethod, Handler aHandler);
  ~NotificationServer();
  NotificationServer(const NotificationServer&) = delete;
  NotificationServer& operator=(const NotificationServer&) = delete;

  /// Handles one JSON-RPC request and returns the response, which is empty for a notification.
  std::string Handle(const std::string& aRequest);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace egretturn
