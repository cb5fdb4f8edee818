#include "egretturn/Config/Document.h"
#include "egretturn/Config/Settings.h"

#include <catch2/catch.hpp>

using namespace egretturn;

static constexpr const char* kValidConfig = R"(
[zone.a]
region = "r"
[pool.p]
zone = "a"
millicores = 8000
memory_mb = 16000
workers = ["10.0.0.1:80", "10.0.0.2:80"]
[service.s]
pools = ["p"]
millicores = 2000
memory_mb = 2000
[service.s.requests.ask]
idempotent = true
[team.t]
quota_millicores = 1000
)";

static bool
HasError(const Errors& aErrors, const std::string& aText)
{
  for (const Error& error : aErrors) {
    if (error.Text().find(aText) != std::string::npos) {
      return true;
    }
  }
  return false;
}

TEST_CASE("a valid document is parsed and printed without change", "[config]")
{
  const tl::expected<Document, Errors> document = ParseDocument(kValidConfig, "good");
  REQUIRE(document);
  REQUIRE(CheckDocument(*document));
  const tl::expected<Document, Errors> reparsed = ParseDocument(PrintDocument(*document), "again");
  REQUIRE(reparsed);
  CHECK(Difference(*document, *reparsed).empty());
}

TEST_CASE("all errors of a configuration are reported in one pass, with object, field and remedy",
          "[config]")
{
  const std::string text = std::string(kValidConfig) + R"(
[kind.k]
pools = ["nowhere"]
millicores = 100
memory_mb = 10
[kind.big]
pools = ["p"]
millicores = 9000
memory_mb = 10
[team.x]
quota_millicores = 1
parent = "y"
[team.y]
quota_millicores = 1
parent = "x"
[pool.q]
zone = "a"
millicores = 8000
memory_mb = "much"
workers = ["10.0.0.2:80", "host:80"]
[drain.d]
worker = "10.9.9.9:80"
colour = "red"
)";
  const tl::expected<Document, Errors> document = ParseDocument(text, "bad");
  REQUIRE(document);
  const tl::expected<Model, Errors> model = CheckDocument(*document);
  REQUIRE_FALSE(model);
  CHECK(HasError(model.error(), "kind.k.pools: refers to pool.nowhere"));
  CHECK(
    HasError(model.error(), "kind.big.millicores: 9000 is more than the largest worker's 8000"));
  CHECK(HasError(model.error(), "team.x.parent: is part of a cycle"));
  CHECK(HasError(model.error(), "pool.q: memory_mb: is not an integer"));
  CHECK(HasError(model.error(), "has the same id as"));
  CHECK(HasError(model.error(), "'host:80' is not an address"));
  CHECK(HasError(model.error(), "drain.d: colour: is not a known key"));
  CHECK(HasError(model.error(), "drain.d.worker: '10.9.9.9:80' is in no pool"));
  for (const Error& error : model.error()) {
    CHECK_FALSE(error.m_remedy.empty());
  }
}

TEST_CASE("applying a difference to its base yields the other document", "[config]")
{
  const Document from = *ParseDocument(kValidConfig, "from");
  Document to = from;
  to.m_objects.erase(ObjectKey{ ObjectKind::Team, "t" });
  to.m_objects[ObjectKey{ ObjectKind::Team, "u" }] = "quota_millicores = 5";
  Document changed = from;
  ApplyChanges(changed, Difference(from, to));
  CHECK(changed.m_objects == to.m_objects);
}

TEST_CASE("a settings file with five errors yields five messages with file, line, key and remedy",
          "[config]")
{
  const tl::expected<Settings, Errors> settings = ParseSettings(R"(id = "a"
zone = 5
region = "r"
listen = "somewhere"
peer_listen = "127.0.0.1:2"
log_address = "127.0.0.1:3"
list_address = "127.0.0.1:3"
log_level = "loud"
colour = "red"
[limits]
connections = 0
)",
                                                                "s.toml");
  REQUIRE_FALSE(settings);
  CHECK(settings.error().size() == 5);
  CHECK(HasError(settings.error(), "s.toml:2: zone: is not a string"));
  CHECK(HasError(settings.error(), "s.toml:4: listen: 'somewhere' is not an address"));
  CHECK(HasError(settings.error(), "s.toml:8: log_level"));
  CHECK(HasError(settings.error(), "s.toml:9: colour: is not a known key"));
  CHECK(HasError(settings.error(), "s.toml:11: connections: 0 is out of range"));
}

TEST_CASE("contradictory timing settings are rejected", "[config]")
{
  const tl::expected<Settings, Errors> settings = ParseSettings(R"(id = "a"
zone = "z"
region = "r"
listen = "127.0.0.1:1"
peer_listen = "127.0.0.1:1"
log_address = "127.0.0.1:3"
list_address = "127.0.0.1:3"
[timing]
task_lease_ms = 1000
suspect_ms = 100
)",
                                                                "s.toml");
  REQUIRE_FALSE(settings);
  CHECK(HasError(settings.error(), "peer_listen: is the same as listen"));
  CHECK(HasError(settings.error(), "task_lease_ms: is not longer than a takeover"));
  CHECK(HasError(settings.error(), "suspect_ms: is less than two heartbeats"));
}
