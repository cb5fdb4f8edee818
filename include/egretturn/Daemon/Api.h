// The HTTP interface towards callers and operators: paths, headers, status codes and bodies.
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
constexpr const char* kKeyHeader = "Idempotency-Key";
constexpr const char* kRefusedHeader =
  "Egretturn-Refused"; ///< Set by a target that has run nothing.
constexpr const char* kJsonType = "application/json";

/// Whether \p aRequest asks for a service.
bool IsServiceRequest(const HttpRequest& aRequest);

/// Reads a request to a service. Errors: bad_input with the field and the remedy. Thread-safe.
Expected<RequestArrived> ParseServiceRequest(const HttpRequest& aRequest);

/// Reads a command. Errors: bad_input, not_found for an unknown path. Thread-safe.
Expected<CommandBody> ParseCommand(const HttpRequest& aRequest);

/// The request to send to a target or peer for \p aOriginal. Thread-safe.
HttpRequest MakeDispatch(const HttpRequest& aOriginal, const Dispatch& aDispatch);

/// Response for \p aError; with \p aOutcome in the header where it belongs to a request.
HttpResponse ErrorResponse(const Error& aError, std::optional<Outcome> aOutcome);

/// Response of a command. Thread-safe.
HttpResponse CommandResponse(const ReplyCommand& aReply);

} // namespace egretturn
