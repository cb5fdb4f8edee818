// Typed errors: a kind that programs act on, and a message that names the remedy for people.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace egretturn {

enum class ErrorKind
{
  BadInput,    ///< The sender must change what it sent.
  Conflict,    ///< Another writer was first; read again and retry.
  NotFound,    ///< The named object does not exist.
  Unavailable, ///< A process or service that is needed cannot be reached now.
  Overloaded,  ///< A limit was reached; retry later.
  Corrupt,     ///< Bytes that were read do not decode.
  Internal,    ///< A fault of this program.
};

/// Returns the stable lower-case name of \p aKind.
std::string_view NameOf(ErrorKind aKind);

/// One error. Thread-compatible value type.
struct Error
{
  ErrorKind m_kind = ErrorKind::Internal;
  std::string m_message; ///< What is wrong, lowercase, without a full stop.
  std::string m_remedy;  ///< What the reader can do about it.

  /// The message and the remedy on one line.
  std::string Text() const;
};

template<typename T>
using Expected = tl::expected<T, Error>;

using Errors = std::vector<Error>;

/// Shorthand for an unexpected value. \p aRemedy must not be empty.
tl::unexpected<Error> Fail(ErrorKind aKind, std::string aMessage, std::string aRemedy);

} // namespace egretturn
