// Reads a program's arguments by its usage text, with the same exit codes for all programs.
#pragma once

#include "egretturn/Support/Error.h"

#include <docopt/docopt.h>
#include <map>
#include <string>

namespace egretturn {

/// The parsed arguments by name.
using Arguments = std::map<std::string, docopt::value>;

constexpr int kExitUsage = 2; ///< The arguments, or what they name, are wrong.

/// Parses the arguments by \p aUsage, which begins with the program's name and a colon. Otherwise
/// the code with which the program should end: 0 after help or version were printed, else
/// kExitUsage, with the reason on standard error. Thread-safe.
tl::expected<Arguments, int> ParseCommandLine(const char* aUsage, int aCount, char** aArguments);

/// The value of the option \p aName as a number of at least 0.
/// \pre The usage text gives the option, with a default. Errors: bad_input. Thread-safe.
Expected<double> NumberOption(const Arguments& aArguments, const std::string& aName);

/// Prints \p aError to standard error. Returns kExitUsage. Thread-safe.
int RefuseArguments(const Error& aError);

} // namespace egretturn
