// Prints JSON objects as tables and errors as text.
#pragma once

#include "egretturn/Support/Fields.h"

#include <string>
#include <vector>

namespace egretturn {

/// Prints the members \p aColumns of each object in \p aRows as a table on standard output.
void PrintTable(const Json& aRows, const std::vector<std::string>& aColumns);

/// Prints the members of \p aObject that are not arrays on standard output, one per line.
void PrintObject(const Json& aObject);

/// Prints the message and the remedy of \p aError on standard error.
void PrintError(const Error& aError);

} // namespace egretturn
