// Typed errors: a kind for programs, and a message and a remedy for people.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace egretturn {

/// The category of an error, which determines how the sender should react.
enum class ErrorKind
{
  BadInput,    ///< The input is invalid; the sender must change it.
  Conflict,    ///< Another writer was first; read again and retry.
  NotFound,    ///< The named object does not exist.
  Unavailable, ///< A required process or service is currently unreachable.
  Overloaded,  ///< A limit was reached; retry later.
  Corrupt,     ///< Stored or received bytes cannot be decoded.
  Internal,    ///< A bug in this program.
};

/// Returns the stable lower-case name of \p aKind.
std::string_view NameOf(ErrorKind aKind);

/// An error with its cause and remedy. Thread-compatible value type.
struct Error
{
  ErrorKind m_kind = ErrorKind::Internal;
  std::string m_message; ///< The cause, in lowercase and without a full stop.
  std::string m_remedy;  ///< What the reader can do about it.

  /// Returns the message and the remedy on one line.
  std::string Text() const;
};

template<typename T>
using Expected = tl::expected<T, Error>;

using Errors = std::vector<Error>;

/// Builds an unexpected value for an Expected. Thread-safe.
/// \pre \p aRemedy is not empty.
tl::unexpected<Error> Fail(ErrorKind aKind, std::string aMessage, std::string aRemedy);

} // namespace egretturn
