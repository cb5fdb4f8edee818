#include "egretturn/Config/Document.h"

#include "egretturn/Config/FieldReader.h"
#include "egretturn/Support/EnumTable.h"

#include <sstream>

namespace egretturn {

static constexpr EnumTable<ObjectKind, 8> kKindNames{ {
  { ObjectKind::Zone, "zone" },
  { ObjectKind::Pool, "pool" },
  { ObjectKind::Service, "service" },
  { ObjectKind::Kind, "kind" },
  { ObjectKind::Team, "team" },
  { ObjectKind::Rule, "rule" },
  { ObjectKind::Drain, "drain" },
  { ObjectKind::Policy, "policy" },
} };

static constexpr int64_t kMaxMilliCores = 1'000'000;
static constexpr int64_t kMaxMemoryMb = 16'000'000;
static constexpr int64_t kMaxAccelerators = 64;
static constexpr int64_t kMaxDeadlineMs = 3'600'000;
static constexpr int64_t kMaxRunSeconds = 7 * 24 * 3600;

std::string_view
NameOf(ObjectKind aKind)
{
  return NameIn(kKindNames, aKind);
}

std::optional<ObjectKind>
ParseObjectKind(std::string_view aName)
{
  return ValueIn(kKindNames, aName);
}

std::string
ObjectKey::Text() const
{
  return std::string(NameOf(m_kind)) + "." + m_name;
}

static std::string
CanonicalText(const toml::table& aTable)
{
  std::ostringstream text;
  text << aTable;
  return text.str();
}

tl::expected<Document, Errors>
ParseDocument(std::string_view aText, std::string_view aFile)
{
  Errors errors;
  const toml::parse_result parsed = toml::parse(aText, aFile);
  if (!parsed) {
    std::ostringstream message;
    message << aFile << ':' << parsed.error().source().begin.line << ": "
            << parsed.error().description();
    errors.push_back(Error{ ErrorKind::BadInput, message.str(), "correct the TOML syntax" });
    return tl::unexpected<Errors>(std::move(errors));
  }
  Document document;
  for (auto it = parsed.table().cbegin(); it != parsed.table().cend(); ++it) {
    const toml::key& kindName = it->first;
    const toml::node& node = it->second;
    const std::optional<ObjectKind> kind = ParseObjectKind(kindName.str());
    std::ostringstream location;
    location << aFile << ':' << node.source().begin.line << ": " << kindName.str();
    if (!kind || !node.is_table()) {
      errors.push_back(
        Error{ ErrorKind::BadInput,
               location.str() + ": is not a known object kind",
               "use [zone.NAME], pool, service, kind, team, rule, drain or policy" });
      continue;
    }
    for (auto inner = node.as_table()->cbegin(); inner != node.as_table()->cend(); ++inner) {
      const toml::key& name = inner->first;
      const toml::node& object = inner->second;
      if (!object.is_table()) {
        errors.push_back(Error{ ErrorKind::BadInput,
                                location.str() + "." + std::string(name.str()) + ": is not a table",
                                "write the object as [" + std::string(kindName.str()) + ".NAME]" });
        continue;
      }
      document.m_objects[ObjectKey{ *kind, std::string(name.str()) }] =
        CanonicalText(*object.as_table());
    }
  }
  if (!errors.empty()) {
    return tl::unexpected<Errors>(std::move(errors));
  }
  return document;
}

std::string
PrintDocument(const Document& aDocument)
{
  toml::table root;
  for (const std::pair<const ObjectKey, std::string>& bodyEntry : aDocument.m_objects) {
    const ObjectKey& key = bodyEntry.first;
    const std::string& body = bodyEntry.second;
    toml::parse_result object = toml::parse(body);
    if (!object) {
      continue; // bodies are canonical text; text that does not parse was rejected on input
    }
    root.emplace(NameOf(key.m_kind), toml::table{});
    root.get(NameOf(key.m_kind))->as_table()->emplace(key.m_name, std::move(object).table());
  }
  std::ostringstream text;
  text << root << '\n';
  return text.str();
}

std::vector<ObjectChange>
Difference(const Document& aFrom, const Document& aTo)
{
  std::vector<ObjectChange> changes;
  for (const std::pair<const ObjectKey, std::string>& keyEntry : aFrom.m_objects) {
    const ObjectKey& key = keyEntry.first;
    if (!aTo.m_objects.contains(key)) {
      changes.push_back(ObjectChange{ key.m_kind, key.m_name, std::nullopt });
    }
  }
  for (const std::pair<const ObjectKey, std::string>& bodyEntry : aTo.m_objects) {
    const ObjectKey& key = bodyEntry.first;
    const std::string& body = bodyEntry.second;
    const std::map<ObjectKey, std::string>::const_iterator it = aFrom.m_objects.find(key);
    if (it == aFrom.m_objects.end() || it->second != body) {
      changes.push_back(ObjectChange{ key.m_kind, key.m_name, body });
    }
  }
  return changes;
}

void
ApplyChanges(Document& aDocument, const std::vector<ObjectChange>& aChanges)
{
  for (const ObjectChange& change : aChanges) {
    const ObjectKey key{ change.m_kind, change.m_name };
    if (change.m_body) {
      aDocument.m_objects[key] = *change.m_body;
    } else {
      aDocument.m_objects.erase(key);
    }
  }
}

static Resources
ReadResources(FieldReader& aReader, bool aRequired)
{
  const std::optional<int64_t> fallback = aRequired ? std::nullopt : std::optional<int64_t>(0);
  Resources size;
  size.m_milliCores = aReader.Integer("millicores", aRequired ? 1 : 0, kMaxMilliCores, fallback);
  size.m_memoryMb = aReader.Integer("memory_mb", aRequired ? 1 : 0, kMaxMemoryMb, fallback);
  size.m_accelerators = aReader.Integer("accelerators", 0, kMaxAccelerators, 0);
  return size;
}

static void
ReadPool(FieldReader& aReader, const std::string& aName, Model& aModel)
{
  Pool& pool = aModel.m_pools[aName];
  pool.m_zone = aReader.String("zone");
  pool.m_rack = aReader.String("rack", aName);
  pool.m_size = ReadResources(aReader, true);
  pool.m_workers = aReader.Strings("workers", true);
}

static void
ReadService(FieldReader& aReader, const std::string& aName, Model& aModel, Errors& aErrors)
{
  Service& service = aModel.m_services[aName];
  service.m_pools = aReader.Strings("pools", true);
  service.m_slots = static_cast<uint32_t>(aReader.Integer("slots", 1, 1024, 8));
  service.m_connections = static_cast<uint32_t>(aReader.Integer("connections", 1, 65535, 64));
  service.m_reserve = ReadResources(aReader, false);
  if (service.m_connections < service.m_slots) {
    aReader.Reject("connections", "is less than slots", "allow at least one connection per slot");
  }
  const toml::table* requests = aReader.Table("requests");
  if (!requests || requests->empty()) {
    aReader.Reject("requests", "is missing or empty", "add [service." + aName + ".requests.NAME]");
    return;
  }
  for (auto it = requests->cbegin(); it != requests->cend(); ++it) {
    const toml::key& name = it->first;
    const toml::node& node = it->second;
    if (!node.is_table()) {
      aReader.Reject(
        "requests", "contains an item that is not a table", "write each request as a table");
      continue;
    }
    FieldReader fields(*node.as_table(),
                       "service." + aName + ".requests." + std::string(name.str()),
                       false,
                       aErrors);
    RequestKind& request = service.m_requests[std::string(name.str())];
    request.m_idempotent = fields.Boolean("idempotent", false);
    request.m_deadline =
      std::chrono::milliseconds(fields.Integer("deadline_ms", 1, kMaxDeadlineMs, 2000));
    fields.RejectUnknown();
  }
}

static void
ReadKind(FieldReader& aReader, const std::string& aName, Model& aModel)
{
  BatchKind& kind = aModel.m_kinds[aName];
  kind.m_pools = aReader.Strings("pools", true);
  kind.m_size = ReadResources(aReader, true);
  kind.m_runTime = std::chrono::seconds(aReader.Integer("run_s", 1, kMaxRunSeconds, 60));
  kind.m_restartable = aReader.Boolean("restartable", false);
  kind.m_checkpoints = aReader.Boolean("checkpoints", false);
}

static void
ReadTeam(FieldReader& aReader, const std::string& aName, Model& aModel)
{
  Team& team = aModel.m_teams[aName];
  team.m_parent = aReader.String("parent", "");
  team.m_quotaMilliCores = aReader.Integer("quota_millicores", 0, INT64_MAX / 2);
  team.m_borrows = aReader.Boolean("borrows", true);
}

static void
ReadRule(FieldReader& aReader, const std::string& aName, Model& aModel)
{
  PlacementRule& rule = aModel.m_rules[aName];
  rule.m_service = aReader.String("service");
  rule.m_spillZones = aReader.Strings("spill_zones", false);
  rule.m_linkBytesPerSecond = aReader.Integer("link_bytes_per_s", 0, INT64_MAX / 2, 0);
}

static void
ReadPolicy(FieldReader& aReader, const std::string& aName, Policy& aPolicy)
{
  if (aName != "default") {
    aReader.Reject("name", "is not 'default'", "rename the policy object to policy.default");
  }
  aPolicy.m_tailWeight = aReader.Number("tail_weight", 0, 1, 0.5);
  aPolicy.m_hedgeShare = aReader.Number("hedge_share", 0, 0.5, 0.02);
  aPolicy.m_retryShare = aReader.Number("retry_share", 0, 1, 0.1);
  aPolicy.m_ejectShare = aReader.Number("eject_share", 0, 0.9, 0.3);
  aPolicy.m_logAppendsPerSecond = aReader.Integer("log_appends_per_s", 1, 100'000, 150);
}

static void
ReadObject(const ObjectKey& aKey, const toml::table& aTable, Model& aModel, Errors& aErrors)
{
  FieldReader reader(aTable, aKey.Text(), false, aErrors);
  switch (aKey.m_kind) {
    case ObjectKind::Zone:
      aModel.m_zones[aKey.m_name].m_region = reader.String("region");
      break;
    case ObjectKind::Pool:
      ReadPool(reader, aKey.m_name, aModel);
      break;
    case ObjectKind::Service:
      ReadService(reader, aKey.m_name, aModel, aErrors);
      break;
    case ObjectKind::Kind:
      ReadKind(reader, aKey.m_name, aModel);
      break;
    case ObjectKind::Team:
      ReadTeam(reader, aKey.m_name, aModel);
      break;
    case ObjectKind::Rule:
      ReadRule(reader, aKey.m_name, aModel);
      break;
    case ObjectKind::Drain:
      aModel.m_drains[aKey.m_name] = Drain{ reader.String("worker"), reader.String("reason", "") };
      break;
    case ObjectKind::Policy:
      ReadPolicy(reader, aKey.m_name, aModel.m_policy);
      break;
  }
  reader.RejectUnknown();
}

tl::expected<Model, Errors>
CheckDocument(const Document& aDocument)
{
  Model model;
  Errors errors;
  for (const std::pair<const ObjectKey, std::string>& bodyEntry : aDocument.m_objects) {
    const ObjectKey& key = bodyEntry.first;
    const std::string& body = bodyEntry.second;
    const toml::parse_result parsed = toml::parse(body);
    if (!parsed) {
      errors.push_back(Error{ ErrorKind::BadInput,
                              key.Text() + ": " + std::string(parsed.error().description()),
                              "correct the TOML syntax" });
      continue;
    }
    ReadObject(key, parsed.table(), model, errors);
  }
  ValidateReferences(model, errors);
  if (!errors.empty()) {
    return tl::unexpected<Errors>(std::move(errors));
  }
  return model;
}

} // namespace egretturn
