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

/// An answer of an instance.
struct ToolAnswer
{
  unsigned m_status = 0;
  std::string m_outcome; ///< Of a request; empty otherwise.
  std::string m_text;
  Json m_body; ///< Null if the text is no JSON.
};

/// Sends \p aRequest to \p aAddress and waits. Errors: unavailable, bad_input for the address.
Expected<ToolAnswer> CallInstance(const std::string& aAddress,
                                  HttpRequest aRequest,
                                  Duration aTimeout);

Expected<ToolAnswer> GetFrom(const std::string& aAddress, const std::string& aPath);

Expected<ToolAnswer> PostTo(const std::string& aAddress,
                            const std::string& aPath,
                            const std::string& aBody);

} // namespace egretturn
