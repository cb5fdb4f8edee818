// Clients that send complete requests, one after the other over kept connections, and read the
// responses. What they ask for is another matter.
#pragma once

#include "egretturn/Http/Http.h"

#include <string>

namespace egretturn::hostile {

/// A request of a caller.
struct CallerRequest
{
  boost::beast::http::verb m_method = boost::beast::http::verb::get;
  std::string m_path;
  std::string m_body;
};

/// Returns the request numbered \p aNumber, from 0 on.
using RequestMaker = std::function<CallerRequest(size_t aNumber)>;

/// What became of all requests of a crowd.
struct CallerCounts
{
  uint64_t m_accepted = 0; ///< Status 2xx.
  uint64_t m_refused = 0;  ///< Status 429 or 503.
  uint64_t m_others = 0;   ///< Any other status.
  uint64_t m_unanswered = 0;
  /// Refusals that do not say when to come back.
  uint64_t m_withoutRetryAfter = 0;
};

/// Sends \p aRequests requests to \p aPort of this machine from \p aClients clients, each as soon
/// as its client is free, and returns when all are done. A client gives a request up after
/// \p aTimeout.
CallerCounts SendRequests(uint16_t aPort,
                          size_t aClients,
                          size_t aRequests,
                          Duration aTimeout,
                          const RequestMaker& aMakeRequest);

} // namespace egretturn::hostile
