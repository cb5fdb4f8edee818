#include "Commands.h"

#include "Output.h"
#include "egretturn/Journal/Records.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace egretturn {

namespace http = boost::beast::http;

static constexpr Duration kStatusInterval = std::chrono::milliseconds(200);

static std::string
TextOf(Arguments& aArguments, const char* aName, const std::string& aDefault = "")
{
  const docopt::value& value = aArguments[aName];
  return value ? value.asString() : aDefault;
}

static bool
FlagOf(Arguments& aArguments, const char* aName)
{
  const docopt::value& value = aArguments[aName];
  return value && value.asBool();
}

static std::string
InstanceOf(Arguments& aArguments)
{
  return TextOf(aArguments, "--instance");
}

static ExitCode
FailWith(const Error& aError)
{
  PrintError(aError);
  const bool away =
    aError.m_kind == ErrorKind::Unavailable || aError.m_kind == ErrorKind::Overloaded;
  return away ? ExitUnavailable : ExitRefused;
}

/// The error in an answer that is none of success.
static Error
ErrorIn(const ToolAnswer& aAnswer)
{
  Error error{ ErrorKind::Internal, aAnswer.m_text, "see the daemon's log" };
  if (aAnswer.m_body.is_object()) {
    error.m_message = aAnswer.m_body.value("message", error.m_message);
    error.m_remedy = aAnswer.m_body.value("remedy", error.m_remedy);
  }
  const bool away = aAnswer.m_status == 503 || aAnswer.m_status == 504;
  error.m_kind = away ? ErrorKind::Unavailable : ErrorKind::BadInput;
  return error;
}

ExitCode
ShowAnswer(Arguments& aArguments,
           const Expected<ToolAnswer>& aAnswer,
           const std::string& aRows,
           const std::vector<std::string>& aColumns)
{
  if (!aAnswer) {
    return FailWith(aAnswer.error());
  }
  if (aAnswer->m_status != 200) {
    return FailWith(ErrorIn(*aAnswer));
  }
  if (FlagOf(aArguments, "--json")) {
    std::cout << aAnswer->m_text << '\n';
    return ExitOk;
  }
  if (!aRows.empty() && aAnswer->m_body.contains(aRows)) {
    PrintTable(aAnswer->m_body[aRows], aColumns);
    return ExitOk;
  }
  PrintObject(aAnswer->m_body);
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

/// A configuration in force, as an instance tells it.
struct PublishedConfig
{
  uint64_t m_version = 0;
  Document m_document;
  Json m_history;
};

static Expected<PublishedConfig>
FetchConfig(const std::string& aInstance)
{
  const Expected<ToolAnswer> answer = GetFrom(aInstance, "/v1/config");
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  if (answer->m_status != 200) {
    return tl::unexpected<Error>(ErrorIn(*answer));
  }
  PublishedConfig config;
  config.m_version = answer->m_body.value("version", uint64_t{ 0 });
  config.m_history = answer->m_body.value("history", Json::array());
  const tl::expected<Document, Errors> document =
    ParseDocument(answer->m_body.value("toml", std::string()), "published");
  if (!document) {
    return tl::unexpected<Error>(document.error().front());
  }
  config.m_document = *document;
  return config;
}

/// Asks every instance that \p aInstance knows for its version, until all alive ones have at least
/// \p aVersion in force or \p aWait is over.
static ExitCode
WaitInForce(Arguments& aArguments, uint64_t aVersion, Duration aWait)
{
  const std::chrono::steady_clock::time_point until = std::chrono::steady_clock::now() + aWait;
  while (true) {
    const Expected<ToolAnswer> answer = GetFrom(InstanceOf(aArguments), "/v1/instances");
    if (!answer) {
      return FailWith(answer.error());
    }
    Json rows = answer->m_body.value("instances", Json::array());
    size_t behind = 0;
    for (Json& row : rows) {
      const Expected<ToolAnswer> status =
        GetFrom(row.value("address", std::string()), "/v1/status");
      const bool answered = status && status->m_status == 200;
      row["answers"] = answered;
      row["config_version"] =
        answered ? status->m_body.value("config_version", uint64_t{ 0 }) : uint64_t{ 0 };
      behind += row["config_version"].get<uint64_t>() < aVersion ? 1 : 0;
    }
    const bool late = std::chrono::steady_clock::now() >= until;
    if (behind == 0 || late) {
      if (FlagOf(aArguments, "--json")) {
        std::cout << Json{ { "version", aVersion }, { "instances", rows } }.dump() << '\n';
      } else {
        PrintTable(rows, { "id", "zone", "answers", "config_version" });
        std::cout << "version " << aVersion << " is in force on " << rows.size() - behind << " of "
                  << rows.size() << " instances\n";
      }
      return behind == 0 ? ExitOk : ExitUnavailable;
    }
    std::cerr << "waiting for " << behind << " of " << rows.size() << " instances\n";
    std::this_thread::sleep_for(kStatusInterval);
  }
}

static Duration
WaitOf(Arguments& aArguments)
{
  return std::chrono::seconds(std::strtol(TextOf(aArguments, "--wait", "10").c_str(), nullptr, 10));
}

static ExitCode
Publish(Arguments& aArguments)
{
  const tl::expected<Document, Errors> wanted = ReadDocument(TextOf(aArguments, "FILE"));
  if (!wanted) {
    return PrintErrors(wanted.error());
  }
  const tl::expected<Model, Errors> model = CheckDocument(*wanted);
  if (!model) {
    return PrintErrors(model.error());
  }
  const Expected<PublishedConfig> current = FetchConfig(InstanceOf(aArguments));
  if (!current) {
    return FailWith(current.error());
  }
  ConfigPublish change;
  change.m_base = current->m_version;
  const std::string base = TextOf(aArguments, "--base");
  if (!base.empty()) {
    change.m_base = std::strtoull(base.c_str(), nullptr, 10);
  }
  change.m_author = TextOf(aArguments, "--author", "operator");
  change.m_changes = Difference(current->m_document, *wanted);
  if (change.m_changes.empty() && base.empty()) {
    std::cout << "version " << current->m_version << " is the same; nothing to publish\n";
    return ExitOk;
  }
  const Expected<ToolAnswer> answer =
    PostTo(InstanceOf(aArguments), "/v1/config", Encode(change, FieldStyle::Named).dump());
  if (!answer) {
    return FailWith(answer.error());
  }
  if (answer->m_status != 200) {
    return FailWith(ErrorIn(*answer));
  }
  const uint64_t version = answer->m_body.value("version", uint64_t{ 0 });
  std::cerr << "accepted as version " << version << '\n';
  return WaitInForce(aArguments, version, WaitOf(aArguments));
}

static ExitCode
PrintDifference(Arguments& aArguments)
{
  const tl::expected<Document, Errors> wanted = ReadDocument(TextOf(aArguments, "FILE"));
  if (!wanted) {
    return PrintErrors(wanted.error());
  }
  const Expected<PublishedConfig> current = FetchConfig(InstanceOf(aArguments));
  if (!current) {
    return FailWith(current.error());
  }
  for (const ObjectChange& change : Difference(current->m_document, *wanted)) {
    const ObjectKey key{ change.m_kind, change.m_name };
    const bool known = current->m_document.m_objects.contains(key);
    std::cout << (change.m_body ? (known ? "change " : "add ") : "delete ") << key.Text() << '\n';
  }
  return ExitOk;
}

ExitCode
RunConfig(Arguments& aArguments)
{
  if (FlagOf(aArguments, "check")) {
    const tl::expected<Document, Errors> document = ReadDocument(TextOf(aArguments, "FILE"));
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
  if (FlagOf(aArguments, "publish")) {
    return Publish(aArguments);
  }
  if (FlagOf(aArguments, "diff")) {
    return PrintDifference(aArguments);
  }
  const Expected<PublishedConfig> current = FetchConfig(InstanceOf(aArguments));
  if (!current) {
    return FailWith(current.error());
  }
  if (FlagOf(aArguments, "status")) {
    return WaitInForce(aArguments, current->m_version, WaitOf(aArguments));
  }
  if (FlagOf(aArguments, "history")) {
    if (FlagOf(aArguments, "--json")) {
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
  Json body{ { "key", TextOf(aArguments, "--key") },
             { "kind", TextOf(aArguments, "--kind") },
             { "team", TextOf(aArguments, "--team") },
             { "tasks", std::strtoul(TextOf(aArguments, "--tasks", "1").c_str(), nullptr, 10) },
             { "urgent", FlagOf(aArguments, "--urgent") },
             { "restartable", FlagOf(aArguments, "--restartable") } };
  Json after = Json::array();
  std::istringstream ids(TextOf(aArguments, "--after"));
  for (std::string id; std::getline(ids, id, ',');) {
    after.push_back(std::strtoull(id.c_str(), nullptr, 10));
  }
  body["after"] = after;
  return ShowAnswer(aArguments, PostTo(InstanceOf(aArguments), "/v1/jobs", body.dump()), "", {});
}

ExitCode
RunJob(Arguments& aArguments)
{
  const std::string instance = InstanceOf(aArguments);
  const std::string path = "/v1/jobs/" + TextOf(aArguments, "ID");
  if (FlagOf(aArguments, "submit")) {
    return SubmitJob(aArguments);
  }
  if (FlagOf(aArguments, "list")) {
    return ShowAnswer(aArguments,
                      GetFrom(instance, "/v1/jobs"),
                      "jobs",
                      { "id", "key", "kind", "team", "zone", "state", "tasks", "finished" });
  }
  if (FlagOf(aArguments, "cancel")) {
    return ShowAnswer(aArguments, PostTo(instance, path + "/cancel", ""), "", {});
  }
  if (FlagOf(aArguments, "explain")) {
    return ShowAnswer(
      aArguments,
      GetFrom(instance, path + "/explain"),
      "task_rows",
      { "task", "state", "attempt", "rack", "decided_by", "waiting_ms", "waits_for" });
  }
  return ShowAnswer(aArguments, GetFrom(instance, path), "", {});
}

ExitCode
RunRequest(Arguments& aArguments)
{
  const std::string path =
    "/v1/services/" + TextOf(aArguments, "SERVICE") + "/" + TextOf(aArguments, "REQUEST");
  HttpRequest request = MakeRequest(http::verb::post, path, TextOf(aArguments, "--body"));
  const std::string key = TextOf(aArguments, "--key");
  const std::string deadline = TextOf(aArguments, "--deadline-ms");
  if (!key.empty()) {
    request.set("Idempotency-Key", key);
  }
  if (!deadline.empty()) {
    request.set("Egretturn-Deadline-Ms", deadline);
  }
  const Expected<ToolAnswer> answer =
    CallInstance(InstanceOf(aArguments), std::move(request), std::chrono::seconds(60));
  if (!answer) {
    return FailWith(answer.error());
  }
  std::cerr << "outcome: " << answer->m_outcome << '\n';
  std::cout << answer->m_text << '\n';
  if (answer->m_outcome == "done") {
    return answer->m_status < 400 ? ExitOk : ExitRefused;
  }
  return answer->m_status >= 500 ? ExitUnavailable : ExitRefused;
}

} // namespace egretturn
