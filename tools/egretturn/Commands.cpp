#include "Commands.h"

#include "Output.h"
#include "egretturn/Journal/Records.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace egretturn {

namespace http = boost::beast::http;

static constexpr Duration kPollInterval = std::chrono::milliseconds(200);

static std::string
StringOption(Arguments& aArguments, const char* aName, const std::string& aDefault = "")
{
  const docopt::value& value = aArguments[aName];
  return value ? value.asString() : aDefault;
}

static bool
IsSet(Arguments& aArguments, const char* aName)
{
  const docopt::value& value = aArguments[aName];
  return value && value.asBool();
}

static std::string
InstanceAddress(Arguments& aArguments)
{
  return StringOption(aArguments, "--instance");
}

static ExitCode
ReportError(const Error& aError)
{
  PrintError(aError);
  const bool unavailable =
    aError.m_kind == ErrorKind::Unavailable || aError.m_kind == ErrorKind::Overloaded;
  return unavailable ? ExitUnavailable : ExitRefused;
}

/// Returns the error that an unsuccessful response reports.
static Error
ErrorFrom(const InstanceResponse& aResponse)
{
  Error error{ ErrorKind::Internal, aResponse.m_text, "see the daemon's log" };
  if (aResponse.m_body.is_object()) {
    error.m_message = aResponse.m_body.value("message", error.m_message);
    error.m_remedy = aResponse.m_body.value("remedy", error.m_remedy);
  }
  const bool unavailable = aResponse.m_status == 503 || aResponse.m_status == 504;
  error.m_kind = unavailable ? ErrorKind::Unavailable : ErrorKind::BadInput;
  return error;
}

ExitCode
PrintResponse(Arguments& aArguments,
              const Expected<InstanceResponse>& aResponse,
              const std::string& aRows,
              const std::vector<std::string>& aColumns)
{
  if (!aResponse) {
    return ReportError(aResponse.error());
  }
  if (aResponse->m_status != 200) {
    return ReportError(ErrorFrom(*aResponse));
  }
  if (IsSet(aArguments, "--json")) {
    std::cout << aResponse->m_text << '\n';
    return ExitOk;
  }
  if (!aRows.empty() && aResponse->m_body.contains(aRows)) {
    PrintTable(aResponse->m_body[aRows], aColumns);
    return ExitOk;
  }
  PrintObject(aResponse->m_body);
  return ExitOk;
}

static tl::expected<Document, Errors>
ReadDocument(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    return tl::unexpected<Errors>(
      Errors{ Error{ ErrorKind::BadInput, aFile + ": cannot be read", "check the path" } });
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseDocument(text.str(), aFile);
}

static ExitCode
PrintErrors(const Errors& aErrors)
{
  for (const Error& error : aErrors) {
    std::cerr << error.Text() << '\n';
  }
  std::cerr << aErrors.size() << " errors\n";
  return ExitRefused;
}

/// The configuration in force, as an instance reports it.
struct PublishedConfig
{
  uint64_t m_version = 0;
  Document m_document;
  Json m_history;
};

static Expected<PublishedConfig>
FetchConfig(const std::string& aInstance)
{
  const Expected<InstanceResponse> response = GetFrom(aInstance, "/v1/config");
  if (!response) {
    return tl::unexpected<Error>(response.error());
  }
  if (response->m_status != 200) {
    return tl::unexpected<Error>(ErrorFrom(*response));
  }
  PublishedConfig config;
  config.m_version = response->m_body.value("version", uint64_t{ 0 });
  config.m_history = response->m_body.value("history", Json::array());
  const tl::expected<Document, Errors> document =
    ParseDocument(response->m_body.value("toml", std::string()), "published");
  if (!document) {
    return tl::unexpected<Error>(document.error().front());
  }
  config.m_document = *document;
  return config;
}

/// Polls every instance known to the instance in \p aArguments for its configuration version, until
/// all have at least \p aVersion in force or \p aWait has passed.
static ExitCode
WaitUntilInForce(Arguments& aArguments, uint64_t aVersion, Duration aWait)
{
  const std::chrono::steady_clock::time_point until = std::chrono::steady_clock::now() + aWait;
  while (true) {
    const Expected<InstanceResponse> response =
      GetFrom(InstanceAddress(aArguments), "/v1/instances");
    if (!response) {
      return ReportError(response.error());
    }
    Json rows = response->m_body.value("instances", Json::array());
    size_t outdated = 0;
    for (Json& row : rows) {
      const Expected<InstanceResponse> status =
        GetFrom(row.value("address", std::string()), "/v1/status");
      const bool responded = status && status->m_status == 200;
      row["answers"] = responded;
      row["config_version"] =
        responded ? status->m_body.value("config_version", uint64_t{ 0 }) : uint64_t{ 0 };
      outdated += row["config_version"].get<uint64_t>() < aVersion ? 1 : 0;
    }
    const bool timedOut = std::chrono::steady_clock::now() >= until;
    if (outdated == 0 || timedOut) {
      if (IsSet(aArguments, "--json")) {
        std::cout << Json{ { "version", aVersion }, { "instances", rows } }.dump() << '\n';
      } else {
        PrintTable(rows, { "id", "zone", "answers", "config_version" });
        std::cout << "version " << aVersion << " is in force on " << rows.size() - outdated
                  << " of " << rows.size() << " instances\n";
      }
      return outdated == 0 ? ExitOk : ExitUnavailable;
    }
    std::cerr << "waiting for " << outdated << " of " << rows.size() << " instances\n";
    std::this_thread::sleep_for(kPollInterval);
  }
}

static Duration
WaitTimeout(Arguments& aArguments)
{
  return std::chrono::seconds(
    std::strtol(StringOption(aArguments, "--wait", "10").c_str(), nullptr, 10));
}

static ExitCode
Publish(Arguments& aArguments)
{
  const tl::expected<Document, Errors> desired = ReadDocument(StringOption(aArguments, "FILE"));
  if (!desired) {
    return PrintErrors(desired.error());
  }
  const tl::expected<Model, Errors> model = CheckDocument(*desired);
  if (!model) {
    return PrintErrors(model.error());
  }
  const Expected<PublishedConfig> current = FetchConfig(InstanceAddress(aArguments));
  if (!current) {
    return ReportError(current.error());
  }
  ConfigPublish change;
  change.m_base = current->m_version;
  const std::string base = StringOption(aArguments, "--base");
  if (!base.empty()) {
    change.m_base = std::strtoull(base.c_str(), nullptr, 10);
  }
  change.m_author = StringOption(aArguments, "--author", "operator");
  change.m_changes = Difference(current->m_document, *desired);
  if (change.m_changes.empty() && base.empty()) {
    std::cout << "version " << current->m_version << " is identical; nothing to publish\n";
    return ExitOk;
  }
  const Expected<InstanceResponse> response =
    PostTo(InstanceAddress(aArguments), "/v1/config", Encode(change, FieldStyle::Named).dump());
  if (!response) {
    return ReportError(response.error());
  }
  if (response->m_status != 200) {
    return ReportError(ErrorFrom(*response));
  }
  const uint64_t version = response->m_body.value("version", uint64_t{ 0 });
  std::cerr << "accepted as version " << version << '\n';
  return WaitUntilInForce(aArguments, version, WaitTimeout(aArguments));
}

static ExitCode
PrintDifference(Arguments& aArguments)
{
  const tl::expected<Document, Errors> desired = ReadDocument(StringOption(aArguments, "FILE"));
  if (!desired) {
    return PrintErrors(desired.error());
  }
  const Expected<PublishedConfig> current = FetchConfig(InstanceAddress(aArguments));
  if (!current) {
    return ReportError(current.error());
  }
  for (const ObjectChange& change : Difference(current->m_document, *desired)) {
    const ObjectKey key{ change.m_kind, change.m_name };
    const bool exists = current->m_document.m_objects.contains(key);
    std::cout << (change.m_body ? (exists ? "change " : "add ") : "delete ") << key.Text() << '\n';
  }
  return ExitOk;
}

ExitCode
RunConfig(Arguments& aArguments)
{
  if (IsSet(aArguments, "check")) {
    const tl::expected<Document, Errors> document = ReadDocument(StringOption(aArguments, "FILE"));
    if (!document) {
      return PrintErrors(document.error());
    }
    const tl::expected<Model, Errors> model = CheckDocument(*document);
    if (!model) {
      return PrintErrors(model.error());
    }
    std::cout << "ok: " << document->m_objects.size() << " objects\n";
    return ExitOk;
  }
  if (IsSet(aArguments, "publish")) {
    return Publish(aArguments);
  }
  if (IsSet(aArguments, "diff")) {
    return PrintDifference(aArguments);
  }
  const Expected<PublishedConfig> current = FetchConfig(InstanceAddress(aArguments));
  if (!current) {
    return ReportError(current.error());
  }
  if (IsSet(aArguments, "status")) {
    return WaitUntilInForce(aArguments, current->m_version, WaitTimeout(aArguments));
  }
  if (IsSet(aArguments, "history")) {
    if (IsSet(aArguments, "--json")) {
      std::cout << current->m_history.dump() << '\n';
    } else {
      PrintTable(current->m_history, { "version", "author", "objects" });
    }
    return ExitOk;
  }
  std::cout << "# version " << current->m_version << '\n' << PrintDocument(current->m_document);
  return ExitOk;
}

static ExitCode
SubmitJob(Arguments& aArguments)
{
  Json body{ { "key", StringOption(aArguments, "--key") },
             { "kind", StringOption(aArguments, "--kind") },
             { "team", StringOption(aArguments, "--team") },
             { "tasks",
               std::strtoul(StringOption(aArguments, "--tasks", "1").c_str(), nullptr, 10) },
             { "urgent", IsSet(aArguments, "--urgent") },
             { "restartable", IsSet(aArguments, "--restartable") } };
  Json after = Json::array();
  std::istringstream ids(StringOption(aArguments, "--after"));
  for (std::string id; std::getline(ids, id, ',');) {
    after.push_back(std::strtoull(id.c_str(), nullptr, 10));
  }
  body["after"] = after;
  return PrintResponse(
    aArguments, PostTo(InstanceAddress(aArguments), "/v1/jobs", body.dump()), "", {});
}

ExitCode
RunJob(Arguments& aArguments)
{
  const std::string instance = InstanceAddress(aArguments);
  const std::string path = "/v1/jobs/" + StringOption(aArguments, "ID");
  if (IsSet(aArguments, "submit")) {
    return SubmitJob(aArguments);
  }
  if (IsSet(aArguments, "list")) {
    return PrintResponse(aArguments,
                         GetFrom(instance, "/v1/jobs"),
                         "jobs",
                         { "id", "key", "kind", "team", "zone", "state", "tasks", "finished" });
  }
  if (IsSet(aArguments, "cancel")) {
    return PrintResponse(aArguments, PostTo(instance, path + "/cancel", ""), "", {});
  }
  if (IsSet(aArguments, "explain")) {
    return PrintResponse(
      aArguments,
      GetFrom(instance, path + "/explain"),
      "task_rows",
      { "task", "state", "attempt", "rack", "decided_by", "waiting_ms", "waits_for" });
  }
  return PrintResponse(aArguments, GetFrom(instance, path), "", {});
}

ExitCode
RunRequest(Arguments& aArguments)
{
  const std::string path = "/v1/services/" + StringOption(aArguments, "SERVICE") + "/" +
                           StringOption(aArguments, "REQUEST");
  HttpRequest request = MakeRequest(http::verb::post, path, StringOption(aArguments, "--body"));
  const std::string key = StringOption(aArguments, "--key");
  const std::string deadline = StringOption(aArguments, "--deadline-ms");
  if (!key.empty()) {
    request.set("Idempotency-Key", key);
  }
  if (!deadline.empty()) {
    request.set("Egretturn-Deadline-Ms", deadline);
  }
  const Expected<InstanceResponse> response =
    CallInstance(InstanceAddress(aArguments), std::move(request), std::chrono::seconds(60));
  if (!response) {
    return ReportError(response.error());
  }
  std::cerr << "outcome: " << response->m_outcome << '\n';
  std::cout << response->m_text << '\n';
  if (response->m_outcome == "done") {
    return response->m_status < 400 ? ExitOk : ExitRefused;
  }
  return response->m_status >= 500 ? ExitUnavailable : ExitRefused;
}

} // namespace egretturn
