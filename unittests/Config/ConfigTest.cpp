#include "egretturn/Config/Document.h"
#include "egretturn/Config/Settings.h"

#include <catch2/catch.hpp>

using namespace egretturn;

static constexpr const char* kGood = R"(
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
Mentions(const Errors& aErrors, const std::string& aText)
{
  for (const Error& error : aErrors) {
    if (error.Text().find(aText) != std::string::npos) {
      return true;
    }
  }
  return false;
}

TEST_CASE("a right document is read and printed without change", "[config]")
{
  const tl::expected<Document, Errors> document = ParseDocument(kGood, "good");
  REQUIRE(document);
  REQUIRE(CheckDocument(*document));
  const tl::expected<Document, Errors> again = ParseDocument(PrintDocument(*document), "again");
  REQUIRE(again);
  CHECK(Difference(*document, *again).empty());
}

TEST_CASE("all mistakes of a set are found in one pass, with object, field and remedy", "[config]")
{
  const std::string text = std::string(kGood) + R"(
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
  CHECK(Mentions(model.error(), "kind.k.pools: refers to pool.nowhere"));
  CHECK(
    Mentions(model.error(), "kind.big.millicores: 9000 is more than the largest worker's 8000"));
  CHECK(Mentions(model.error(), "team.x.parent: is part of a cycle"));
  CHECK(Mentions(model.error(), "pool.q: memory_mb: is not an integer"));
  CHECK(Mentions(model.error(), "has the same id as"));
  CHECK(Mentions(model.error(), "'host:80' is not an address"));
  CHECK(Mentions(model.error(), "drain.d: colour: is not a known key"));
  CHECK(Mentions(model.error(), "drain.d.worker: '10.9.9.9:80' is in no pool"));
  for (const Error& error : model.error()) {
    CHECK_FALSE(error.m_remedy.empty());
  }
}

TEST_CASE("a difference applied to its base gives the other document", "[config]")
{
  const Document from = *ParseDocument(kGood, "from");
  Document to = from;
  to.m_objects.erase(ObjectKey{ ObjectKind::Team, "t" });
  to.m_objects[ObjectKey{ ObjectKind::Team, "u" }] = "quota_millicores = 5";
  Document changed = from;
  ApplyChanges(changed, Difference(from, to));
  CHECK(changed.m_objects == to.m_objects);
}

TEST_CASE("a settings file with five mistakes gives five lines with file, line, key and remedy",
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
  CHECK(Mentions(settings.error(), "s.toml:2: zone: is not a string"));
  CHECK(Mentions(settings.error(), "s.toml:4: listen: 'somewhere' is not an address"));
  CHECK(Mentions(settings.error(), "s.toml:8: log_level"));
  CHECK(Mentions(settings.error(), "s.toml:9: colour: is not a known key"));
  CHECK(Mentions(settings.error(), "s.toml:11: connections: 0 is out of range"));
}

TEST_CASE("contradictory times are refused", "[config]")
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
  CHECK(Mentions(settings.error(), "peer_listen: is the same as listen"));
  CHECK(Mentions(settings.error(), "task_lease_ms: is not longer than a takeover"));
  CHECK(Mentions(settings.error(), "suspect_ms: is less than two heartbeats"));
}
