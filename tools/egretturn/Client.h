// A blocking client of one instance, for the command-line tool.
#pragma once

#include "egretturn/Http/Http.h"
#include "egretturn/Support/Fields.h"

#include <string>

namespace egretturn {

/// Exit codes of the tool.
enum ExitCode
{
  ExitOk = 0,
  ExitRefused = 1,
  ExitUsage = 2,
  ExitUnavailable = 3,
};

/// The response of an instance.
struct InstanceResponse
{
  unsigned m_status = 0;
  std::string m_outcome; ///< The outcome of a request to a service; empty for a command.
  std::string m_text;
  Json m_body; ///< Null if the text is not JSON.
};

/// Sends \p aRequest to \p aAddress and waits for the response. Errors: unavailable, bad_input for
/// the address. Thread-safe.
Expected<InstanceResponse> CallInstance(const std::string& aAddress,
                                        HttpRequest aRequest,
                                        Duration aTimeout);

/// Sends a GET request to an instance and waits for the response. Errors: as CallInstance().
Expected<InstanceResponse> GetFrom(const std::string& aAddress, const std::string& aPath);

/// Sends a POST request to an instance and waits for the response. Errors: as CallInstance().
Expected<InstanceResponse> PostTo(const std::string& aAddress,
                                  const std::string& aPath,
                                  const std::string& aBody);

} // namespace egretturn
