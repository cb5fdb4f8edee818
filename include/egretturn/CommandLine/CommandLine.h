// Parses command lines according to a usage text, with the same exit codes for all programs.
#pragma once

#include "egretturn/Support/Error.h"

#include <docopt/docopt.h>
#include <map>
#include <string>

namespace egretturn {

/// The parsed arguments and options by name.
using Arguments = std::map<std::string, docopt::value>;

constexpr int kExitUsage = 2; ///< The arguments, or the files they name, are invalid.

/// Parses the arguments according to \p aUsage, which begins with the program's name and a colon.
/// Returns the exit code of the program instead if it should exit: 0 after it printed the help or
/// the version, or kExitUsage after it printed an error to standard error. Thread-safe.
tl::expected<Arguments, int> ParseCommandLine(const char* aUsage, int aCount, char** aArguments);

/// Returns the value of the option \p aName as a number. Errors: bad_input for a value that is not
/// a number or is negative. Thread-safe.
/// \pre The usage text declares the option with a default.
Expected<double> ParseNumberOption(const Arguments& aArguments, const std::string& aName);

/// Prints \p aError to standard error and returns kExitUsage. Thread-safe.
int ReportUsageError(const Error& aError);

} // namespace egretturn
