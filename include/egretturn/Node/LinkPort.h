// Interface of the links to their process: time, and messages to other instances.
#pragma once

#include "egretturn/Node/LinkProtocol.h"
#include "egretturn/Support/Time.h"

#include <functional>
#include <optional>

namespace egretturn {

using LinkOrdersCallback = std::function<void(const std::optional<LinkOrdersReply>&)>;
using LinkResultsCallback = std::function<void(const std::optional<LinkResultsReply>&)>;

/// Calls don't block. Callbacks run later, on the same thread.
class LinkPort
{
public:
  virtual ~LinkPort() = default;

  /// Returns the time of a monotonic clock that includes the time while the machine is suspended.
  virtual Instant Now() = 0;

  virtual void After(Duration aDelay, std::function<void()> aCallback) = 0;

  /// Sends a message to the instance at \p aAddress. The callback gets its reply, or nothing if
  /// there was none in time; the message may have arrived then, or may arrive later.
  virtual void SendOrders(const std::string& aAddress,
                          const LinkOrders& aOrders,
                          LinkOrdersCallback aDone) = 0;
  virtual void SendResults(const std::string& aAddress,
                           const LinkResults& aResults,
                           LinkResultsCallback aDone) = 0;
};

} // namespace egretturn
