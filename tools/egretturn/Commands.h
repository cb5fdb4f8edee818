// The commands of the command-line tool. Each returns the exit code of the process.
#pragma once

#include "Client.h"

#include "egretturn/CommandLine/CommandLine.h"

#include <string>

namespace egretturn {

ExitCode RunConfig(Arguments& aArguments);
ExitCode RunJob(Arguments& aArguments);
ExitCode RunRequest(Arguments& aArguments);

/// Prints a response: with --json as received; else, if its body has a member \p aRows, that member
/// as a table of \p aColumns; else the members of the body.
ExitCode PrintResponse(Arguments& aArguments,
                       const Expected<InstanceResponse>& aResponse,
                       const std::string& aRows,
                       const std::vector<std::string>& aColumns);

} // namespace egretturn
