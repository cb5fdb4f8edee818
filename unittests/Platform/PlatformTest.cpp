// What the adapter reads and writes: settings, records, entries, rows and routes.
#include "Ingress.h"
#include "Store.h"
#include "Workers.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::platform;

static constexpr const char* kSettings = R"(
node = "front-1"
zone = "a"
ip = "10.1.0.13"
port_range = [7720, 7735]
some_new_field = 3
[listen]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
[limits]
cpu_share = 0.25
[bounds]
hold_max_ms = 7000
[platform]
addr = "10.200.1.7:8169"
)";

TEST_CASE("settings are read, and unknown fields are passed over")
{
  const tl::expected<PlatformSettings, Errors> settings = ParsePlatformSettings(kSettings);
  REQUIRE(settings);
  const NodeSettings node = MakeNodeSettings(*settings);
  CHECK(node.m_peerAddress == "10.1.0.13:7720");
  CHECK(node.m_weight == Approx(0.25));
  CHECK(node.m_limits.m_lease.m_longest == std::chrono::milliseconds(7000));
}

TEST_CASE("all missing settings are named at once")
{
  const tl::expected<PlatformSettings, Errors> settings = ParsePlatformSettings("zone = 3\n");
  REQUIRE_FALSE(settings);
  CHECK(settings.error().size() == 7);
  CHECK_FALSE(ParsePlatformSettings("zone = [")); // not TOML
}

TEST_CASE("records of an append read back from a tail")
{
  const std::string records = EncodeRecords({ { "job/1", "value" }, { "job/2", "" } });
  std::string body(16, '\0');
  body[7] = 2; // the end
  const Expected<TopicPage> page = DecodeTail(body + records);
  REQUIRE(page);
  CHECK(page->m_end == 2);
  REQUIRE(page->m_records.size() == 2);
  CHECK(page->m_records[0].m_key == "job/1");
  CHECK(page->m_records[0].m_value == "value");
  CHECK(page->m_records[1].m_value.empty());
  CHECK_FALSE(DecodeTail(body + records.substr(0, records.size() - 1)));
  CHECK_FALSE(DecodeTail("short"));
}

TEST_CASE("a worker's lists are read; rows that are no rows are left out")
{
  const Expected<WorkerView> view = DecodeView(
    R"({"clock_ms":482113,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0b",41,9],["x",1]],)"
    R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.9",1,"odd",""]]})");
  REQUIRE(view);
  CHECK(view->m_clockMs == 482113);
  CHECK(view->m_incarnation == 17);
  REQUIRE(view->m_running.size() == 1);
  CHECK(view->m_running[0].m_task == TaskRef{ 0x5c0e7a21d94b36f8, 0, 1, 17 });
  CHECK(view->m_running[0].m_usage == 9);
  REQUIRE(view->m_ended.size() == 1);
  CHECK(view->m_ended[0].m_end == RunEnd::Done);
  CHECK_FALSE(DecodeView("nonsense"));
}

TEST_CASE("an entry that names no worker to use is refused")
{
  const std::string good =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"a","state":"draining","born":5,)"
    R"("capacity":{"cpu":16000,"mem_mb":32768},"labels":["a","r1-3"],"remaining_ms":900})";
  const Expected<WorkerReport> report = DecodeEntry({ "i-1", good });
  REQUIRE(report);
  CHECK(report->m_draining);
  CHECK(report->m_rack == "r1-3");
  CHECK(report->m_remainingMs == 900);
  for (const char* bad : { "", "[]", "{}", R"({"service":4,"addr":"10.0.0.9:80"})", "\xff\xfe" }) {
    CHECK_FALSE(DecodeEntry({ "i-1", bad }));
  }
  std::string unknownState = good;
  unknownState.replace(unknownState.find("draining"), 8, "sleeping");
  CHECK_FALSE(DecodeEntry({ "i-1", unknownState }));
}

TEST_CASE("the longest prefix of a host's routes is taken")
{
  const Expected<RouteTable> routes = DecodeRoutes(
    R"({"version":7,"routes":[{"name":"r1","host":"h","path_prefix":"/a/","service":"s","attempts":4},)"
    R"({"name":"r2","host":"h","path_prefix":"/a/b/","service":"s","stretch":1.5}]})");
  REQUIRE(routes);
  CHECK(routes->Find("h", "/a/x")->m_terms.m_route == "r1");
  CHECK(routes->Find("h", "/a/b/x")->m_terms.m_route == "r2");
  CHECK(routes->Find("other", "/a/x") == nullptr);
  CHECK(routes->Find("h", "/c/x") == nullptr);
  CHECK_FALSE(DecodeRoutes("{}"));
}

TEST_CASE("a job is read from the body, or refused with every error")
{
  const tl::expected<Graph, Errors> graph = DecodeJob(
    R"({"spec":"t","steps":[{"count":4,"cpu":500,"est_ms":900},{"count":2,"deps":[0],"fills":true,"may_miss":1}]})");
  REQUIRE(graph);
  CHECK(graph->m_steps[1].m_fills);
  CHECK(graph->m_steps[1].m_hasBudget);
  CHECK_FALSE(DecodeJob(""));
  CHECK_FALSE(DecodeJob(R"({"spec":"t"})"));
  CHECK(DecodeJob(R"({"steps":[{"count":0},{"count":1,"deps":[1]}]})").error().size() == 2);
}
