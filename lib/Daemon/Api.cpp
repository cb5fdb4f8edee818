#include "egretturn/Daemon/Api.h"

#include "egretturn/Support/Random.h"

#include <charconv>

namespace egretturn {

namespace http = boost::beast::http;

static constexpr std::string_view kServicePrefix = "/v1/services/";
static constexpr std::string_view kJobsPrefix = "/v1/jobs/";
static constexpr int64_t kMaxDeadlineMs = 3'600'000;
static constexpr size_t kMaxHeaderValue = 128;
static constexpr const char* kRetryAfterSeconds = "1";

static std::string
HeaderValue(const HttpRequest& aRequest, const char* aName)
{
  const boost::beast::string_view value = aRequest[aName];
  return std::string(value.data(), value.size());
}

static std::string_view
RequestTarget(const HttpRequest& aRequest)
{
  return std::string_view(aRequest.target().data(), aRequest.target().size());
}

bool
IsServiceRequest(const HttpRequest& aRequest)
{
  return RequestTarget(aRequest).starts_with(kServicePrefix);
}

template<typename T>
static bool
ParseNumber(std::string_view aText, T& aValue)
{
  const char* end = aText.data() + aText.size();
  const std::from_chars_result result = std::from_chars(aText.data(), end, aValue);
  return !aText.empty() && result.ec == std::errc() && result.ptr == end;
}

static Expected<std::string>
BoundedHeaderValue(const HttpRequest& aRequest, const char* aName)
{
  std::string value = HeaderValue(aRequest, aName);
  if (value.size() > kMaxHeaderValue) {
    return Fail(ErrorKind::BadInput,
                std::string("header ") + aName + " is longer than " +
                  std::to_string(kMaxHeaderValue),
                "shorten it");
  }
  return value;
}

Expected<RequestArrived>
ParseServiceRequest(const HttpRequest& aRequest)
{
  RequestArrived arrived;
  const std::string_view path = RequestTarget(aRequest).substr(kServicePrefix.size());
  const size_t slash = path.find('/');
  if (slash == std::string_view::npos || slash == 0 || slash + 1 == path.size() ||
      path.find('/', slash + 1) != std::string_view::npos) {
    return Fail(ErrorKind::NotFound,
                "the path is not /v1/services/SERVICE/REQUEST",
                "name the service and the request");
  }
  if (aRequest.method() != http::verb::post) {
    return Fail(ErrorKind::BadInput, "the method is not POST", "send the request by POST");
  }
  arrived.m_service = path.substr(0, slash);
  arrived.m_request = path.substr(slash + 1);
  const Expected<std::string> key = BoundedHeaderValue(aRequest, kIdempotencyKeyHeader);
  const Expected<std::string> team = BoundedHeaderValue(aRequest, kTeamHeader);
  if (!key || !team) {
    return tl::unexpected<Error>(key ? team.error() : key.error());
  }
  arrived.m_key = *key;
  arrived.m_team = *team;
  const std::string deadline = HeaderValue(aRequest, kDeadlineHeader);
  int64_t deadlineMs = 0;
  if (!deadline.empty() &&
      (!ParseNumber(deadline, deadlineMs) || deadlineMs < 1 || deadlineMs > kMaxDeadlineMs)) {
    return Fail(ErrorKind::BadInput,
                std::string("header ") + kDeadlineHeader + " is not a number of milliseconds",
                "send 1 to " + std::to_string(kMaxDeadlineMs) + ", or leave it out");
  }
  arrived.m_deadline = std::chrono::milliseconds(deadlineMs);
  arrived.m_bodyHash = HashBytes(aRequest.body());
  arrived.m_bodyBytes = aRequest.body().size();
  return arrived;
}

static Expected<Json>
ParseBody(const HttpRequest& aRequest)
{
  Json body = Json::parse(aRequest.body(), nullptr, false);
  if (body.is_discarded() || !body.is_object()) {
    return Fail(ErrorKind::BadInput, "the body is not a JSON object", "send a JSON object");
  }
  return body;
}

/// Fails if \p aBody has a member that is not in \p aKnown.
static Expected<void>
CheckMembers(const Json& aBody, std::initializer_list<std::string_view> aKnown)
{
  for (auto it = aBody.begin(); it != aBody.end(); ++it) {
    const std::string& name = it.key();
    if (std::find(aKnown.begin(), aKnown.end(), name) == aKnown.end()) {
      return Fail(
        ErrorKind::BadInput, name + ": is not a known field", "remove it or correct its spelling");
    }
  }
  return {};
}

static Expected<CommandBody>
ParseSubmit(const HttpRequest& aRequest)
{
  const Expected<Json> body = ParseBody(aRequest);
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  const Expected<void> known =
    CheckMembers(*body, { "key", "kind", "team", "urgent", "restartable", "tasks", "after" });
  if (!known) {
    return tl::unexpected<Error>(known.error());
  }
  // Checked here because the conversion would truncate a negative or too large number.
  const Json::const_iterator tasks = body->find("tasks");
  const bool validCount =
    tasks == body->end() || (tasks->is_number_unsigned() && tasks->get<uint64_t>() <= UINT32_MAX);
  SubmitCommand command;
  if (!validCount || !Decode(*body, command.m_job)) {
    return Fail(ErrorKind::BadInput,
                validCount ? "a field has the wrong type" : "tasks: is not a valid number of tasks",
                "send key, kind and team as strings, tasks as a number, urgent and restartable as "
                "booleans, after as an array of job ids");
  }
  return command;
}

static Expected<CommandBody>
ParsePublish(const HttpRequest& aRequest)
{
  const Expected<Json> body = ParseBody(aRequest);
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  PublishCommand command;
  if (!Decode(*body, command.m_publish)) {
    return Fail(ErrorKind::BadInput,
                "the body is not a configuration change",
                "send base, changes and author, or use `egretturn config publish`");
  }
  return command;
}

static Expected<CommandBody>
ParseJobCommand(const HttpRequest& aRequest, std::string_view aRest)
{
  const size_t slash = aRest.find('/');
  const std::string_view action =
    slash == std::string_view::npos ? std::string_view() : aRest.substr(slash + 1);
  JobId job = 0;
  if (!ParseNumber(aRest.substr(0, slash), job)) {
    return Fail(
      ErrorKind::BadInput, "the job id is not a number", "use an id from `egretturn job list`");
  }
  const bool get = aRequest.method() == http::verb::get;
  if (action.empty() && get) {
    return JobQuery{ job };
  }
  if (action == "explain" && get) {
    return ExplainQuery{ job };
  }
  if (action == "cancel" && !get) {
    return CancelCommand{ job };
  }
  return Fail(ErrorKind::NotFound,
              "unknown path or method",
              "see docs/INTERFACES.md for the paths and their methods");
}

Expected<CommandBody>
ParseCommand(const HttpRequest& aRequest)
{
  const std::string_view path = RequestTarget(aRequest);
  const bool get = aRequest.method() == http::verb::get;
  const bool post = aRequest.method() == http::verb::post;
  if (path == "/v1/jobs" && post) {
    return ParseSubmit(aRequest);
  }
  if (path == "/v1/config" && post) {
    return ParsePublish(aRequest);
  }
  if (path == "/v1/jobs" && get) {
    return JobListQuery{};
  }
  if (path == "/v1/config" && get) {
    return ConfigQuery{};
  }
  if (path == "/v1/status" && get) {
    return StatusQuery{};
  }
  if (path == "/v1/workers" && get) {
    return WorkersQuery{};
  }
  if (path == "/v1/instances" && get) {
    return InstancesQuery{};
  }
  if (path.starts_with(kJobsPrefix)) {
    return ParseJobCommand(aRequest, path.substr(kJobsPrefix.size()));
  }
  return Fail(ErrorKind::NotFound,
              "unknown path or method",
              "see docs/INTERFACES.md for the paths and their methods");
}

HttpRequest
MakeDispatchRequest(const HttpRequest& aOriginal, const Dispatch& aDispatch)
{
  HttpRequest request = MakeRequest(http::verb::post, RequestTarget(aOriginal), aOriginal.body());
  for (const char* name : { kIdempotencyKeyHeader, kTeamHeader }) {
    const boost::beast::string_view value = aOriginal[name];
    if (!value.empty()) {
      request.set(name, value);
    }
  }
  const boost::beast::string_view type = aOriginal[http::field::content_type];
  if (!type.empty()) {
    request.set(http::field::content_type, type);
  }
  request.set(kAttemptHeader, std::to_string(aDispatch.m_attempt));
  request.set(kDeadlineHeader, std::to_string(std::max<int64_t>(1, ToMillis(aDispatch.m_timeout))));
  return request;
}

static unsigned
HttpStatusOf(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::BadInput:
      return 400;
    case ErrorKind::Conflict:
      return 409;
    case ErrorKind::NotFound:
      return 404;
    case ErrorKind::Unavailable:
    case ErrorKind::Overloaded:
      return 503;
    case ErrorKind::Corrupt:
    case ErrorKind::Internal:
      return 500;
  }
  return 500;
}

HttpResponse
ErrorResponse(const Error& aError, std::optional<Outcome> aOutcome)
{
  Json body{ { "kind", NameOf(aError.m_kind) },
             { "message", aError.m_message },
             { "remedy", aError.m_remedy } };
  unsigned status = HttpStatusOf(aError.m_kind);
  if (aOutcome == Outcome::Unknown) {
    status = 504;
  }
  if (aOutcome) {
    body["outcome"] = NameOf(*aOutcome);
  }
  const Json::error_handler_t replace = Json::error_handler_t::replace;
  HttpResponse response = MakeResponse(status, kJsonType, body.dump(-1, ' ', false, replace));
  if (aOutcome) {
    const std::string_view name = NameOf(*aOutcome);
    response.set(kOutcomeHeader, boost::beast::string_view(name.data(), name.size()));
  }
  if (status == 503) {
    response.set(http::field::retry_after, kRetryAfterSeconds);
  }
  return response;
}

HttpResponse
CommandResponse(const ReplyCommand& aReply)
{
  if (aReply.m_error) {
    return ErrorResponse(*aReply.m_error, std::nullopt);
  }
  const Json::error_handler_t replace = Json::error_handler_t::replace;
  return MakeResponse(200, kJsonType, aReply.m_body.dump(-1, ' ', false, replace));
}

} // namespace egretturn
