// The HTTP interface for callers and operators: paths, headers, status codes and bodies.
#pragma once

#include "egretturn/Core/Events.h"
#include "egretturn/Http/Http.h"

#include <optional>
#include <string>
#include <string_view>

namespace egretturn {

constexpr const char* kOutcomeHeader = "Egretturn-Outcome";
constexpr const char* kDeadlineHeader = "Egretturn-Deadline-Ms";
constexpr const char* kTeamHeader = "Egretturn-Team";
constexpr const char* kAttemptHeader = "Egretturn-Attempt";
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr const char* kRefusedHeader =
  "Egretturn-Refused"; ///< Set by a target that refused the request before running it.
constexpr const char* kJsonType = "application/json";

/// Returns whether \p aRequest is addressed to a service. Thread-safe.
bool IsServiceRequest(const HttpRequest& aRequest);

/// Parses a request to a service. Errors: not_found for a malformed path, bad_input for a wrong
/// method or header. Thread-safe.
/// \pre IsServiceRequest(\p aRequest).
Expected<RequestArrived> ParseServiceRequest(const HttpRequest& aRequest);

/// Parses a command. Errors: bad_input, not_found for an unknown path. Thread-safe.
Expected<CommandBody> ParseCommand(const HttpRequest& aRequest);

/// Builds the request that forwards \p aOriginal to a target or peer. Thread-safe.
HttpRequest MakeDispatchRequest(const HttpRequest& aOriginal, const Dispatch& aDispatch);

/// Builds the response for \p aError. For a request to a service, \p aOutcome goes into the outcome
/// header and the body; for a command it is empty. Thread-safe.
HttpResponse ErrorResponse(const Error& aError, std::optional<Outcome> aOutcome);

/// Builds the response to a command. Thread-safe.
HttpResponse CommandResponse(const ReplyCommand& aReply);

} // namespace egretturn
