// The commands of the tool. Each returns the exit code.
#pragma once

#include "Client.h"

#include "egretturn/CommandLine/CommandLine.h"

#include <string>

namespace egretturn {

ExitCode RunConfig(Arguments& aArguments);
ExitCode RunJob(Arguments& aArguments);
ExitCode RunRequest(Arguments& aArguments);

/// Prints an answer: JSON as it is with --json, else rows \p aRows by \p aColumns, else an object.
ExitCode ShowAnswer(Arguments& aArguments,
                    const Expected<ToolAnswer>& aAnswer,
                    const std::string& aRows,
                    const std::vector<std::string>& aColumns);

} // namespace egretturn
