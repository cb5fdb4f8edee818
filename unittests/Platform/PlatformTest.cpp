// Tests the decoders and encoders of the platform adapter: settings, records, entries, rows,
// routes.
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

TEST_CASE("settings are parsed, and unknown fields are ignored")
{
  const tl::expected<PlatformSettings, Errors> settings = ParsePlatformSettings(kSettings);
  REQUIRE(settings);
  const NodeSettings node = MakeNodeSettings(*settings);
  CHECK(node.m_peerAddress == "10.1.0.13:7720");
  CHECK(node.m_weight == Approx(0.25));
  CHECK(node.m_limits.m_lease.m_maxDuration == std::chrono::milliseconds(7000));
}

TEST_CASE("requests to evacuate a zone count where the settings have a bound for them")
{
  const std::string text = kSettings;
  const tl::expected<PlatformSettings, Errors> without = ParsePlatformSettings(text);
  REQUIRE(without);
  CHECK_FALSE(MakeNodeSettings(*without).m_followsEvacuations);
  const std::string bounds = "[bounds]\n";
  std::string changed = text;
  REQUIRE(changed.find(bounds) != std::string::npos);
  changed.insert(changed.find(bounds) + bounds.size(), "evac_ms = 5000\n");
  const tl::expected<PlatformSettings, Errors> with = ParsePlatformSettings(changed);
  REQUIRE(with);
  CHECK(MakeNodeSettings(*with).m_followsEvacuations);
  CHECK(EvacuatedZone("evacuate/hobart-a") == "hobart-a");
  CHECK(EvacuatedZone("evacuate/") == "");
  CHECK(EvacuatedZone("evacuate/a/b") == "a/b");
  CHECK_FALSE(EvacuatedZone("evacuate"));
  CHECK_FALSE(EvacuatedZone("config"));
}

// Guards against records and appends that the store refuses, since its limits were not read.
TEST_CASE("the store's limits of a record and of an append are read from the settings")
{
  const std::string text = kSettings; // ends with the table of the store
  const tl::expected<PlatformSettings, Errors> usual = ParsePlatformSettings(text);
  REQUIRE(usual);
  CHECK(MakeNodeSettings(*usual).m_limits.m_maxRecordBytes == 262144);
  const tl::expected<PlatformSettings, Errors> settings =
    ParsePlatformSettings(text + "record_bytes = 5000\ncall_bytes = 20000\n");
  REQUIRE(settings);
  const SchedulerLimits limits = MakeNodeSettings(*settings).m_limits;
  CHECK(limits.m_maxRecordBytes == 5000);
  CHECK(limits.m_maxBatchBytes == 10000); // with room for the claim
  const tl::expected<PlatformSettings, Errors> narrow =
    ParsePlatformSettings(text + "record_bytes = 50000\ncall_bytes = 20000\n");
  REQUIRE(narrow);
  CHECK(MakeNodeSettings(*narrow).m_limits.m_maxRecordBytes == 10000);
  CHECK_FALSE(ParsePlatformSettings(text + "record_bytes = 3\n"));
}

// Guards against an append that is tried again for ever, though the store refuses its bytes.
TEST_CASE("an append that the store refuses is told from one that it can't carry out now")
{
  ClientResponse response;
  response.m_result = ClientResult::Completed;
  for (const unsigned status : { 400u, 413u }) {
    response.m_response.result(status);
    CHECK(ToAppendResult(response).m_kind == AppendResult::Kind::Refused);
  }
  for (const unsigned status : { 429u, 503u, 507u }) {
    response.m_response.result(status);
    CHECK(ToAppendResult(response).m_kind == AppendResult::Kind::NotAppended);
  }
}

TEST_CASE("all missing settings are reported at once")
{
  const tl::expected<PlatformSettings, Errors> settings = ParsePlatformSettings("zone = 3\n");
  REQUIRE_FALSE(settings);
  CHECK(settings.error().size() == 7);
  CHECK_FALSE(ParsePlatformSettings("zone = [")); // not TOML
}

TEST_CASE("records encoded for an append decode from a tail")
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

TEST_CASE("a worker's lists are decoded, and invalid rows are skipped")
{
  const Expected<WorkerStatus> status = DecodeStatus(
    R"({"clock_ms":482113,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0b",41,9],["x",1]],)"
    R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.9",1,"odd",""]]})");
  REQUIRE(status);
  CHECK(status->m_clockMs == 482113);
  CHECK(status->m_incarnation == 17);
  REQUIRE(status->m_running.size() == 1);
  CHECK(status->m_running[0].m_task == TaskRef{ 0x5c0e7a21d94b36f8, 0, 1, 17 });
  CHECK(status->m_running[0].m_usage == 9);
  REQUIRE(status->m_ended.size() == 1);
  CHECK(status->m_ended[0].m_end == AttemptEnd::Done);
  CHECK_FALSE(DecodeStatus("nonsense"));
}

TEST_CASE("an entry that does not describe a usable worker is rejected")
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

TEST_CASE("the route of the host with the longest matching prefix is used")
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

TEST_CASE("a job is decoded from the body, or rejected with all errors")
{
  const tl::expected<Graph, Errors> graph = DecodeJob(
    R"({"spec":"t","steps":[{"count":4,"cpu":500,"est_ms":900},{"count":2,"deps":[0],"fills":true,"may_miss":1}]})");
  REQUIRE(graph);
  CHECK(graph->m_steps[1].m_bestEffort);
  CHECK(graph->m_steps[1].m_hasMaxUnavailable);
  CHECK_FALSE(DecodeJob(""));
  CHECK_FALSE(DecodeJob(R"({"spec":"t"})"));
  CHECK(DecodeJob(R"({"steps":[{"count":0},{"count":1,"deps":[1]}]})").error().size() == 2);
}

// Guards against an invalid entry of another writer that is accepted as a usable worker.
TEST_CASE("an entry with a field of a wrong type or out of range is rejected by its name")
{
  const std::string good =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"a","version":"v1","slots":8,"state":"ready",)"
    R"("cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],)"
    R"("clock_ms":482113,"seq":4})";
  REQUIRE(DecodeEntry({ "i-1", good }));
  const std::string digits(400, '9');
  const std::string longText = "\"" + std::string(1000, 'x') + "\"";
  struct InvalidCase
  {
    std::string m_from;
    std::string m_to;
    std::string m_field;
  };
  const std::vector<InvalidCase> invalid = {
    { "16000", "1e300", "capacity.cpu" },
    { "16000", "1e400", "capacity.cpu" },
    { "16000", digits, "capacity.cpu" },
    { "16000", "18446744073709551615", "capacity.cpu" },
    { "16000", "-1", "capacity.cpu" },
    { "16000", "0", "capacity.cpu" },
    { "16000", "0.5", "capacity.cpu" },
    { "16000", "\"16000\"", "capacity.cpu" },
    { "\"cpu\":16000,", "", "capacity.cpu" },
    { "32768", "null", "capacity.mem_mb" },
    { "\"gpu\":0", "\"gpu\":-1", "capacity.gpu" },
    { R"({"cpu":16000,"mem_mb":32768,"gpu":0})", "16000", "capacity." },
    { "10.0.0.9:80", "10.0.0.9:0", "addr" },
    { "10.0.0.9:80", "10.0.0.9:65536", "addr" },
    { "10.0.0.9:80", "10.0.0.9:99999999999", "addr" },
    { "10.0.0.9:80", ":80", "addr" },
    { "10.0.0.9:80", "worker.example:80", "addr" },
    { "10.0.0.9:80", "0.0.0.0:80", "addr" },
    { "10.0.0.9:80", "224.0.0.1:80", "addr" },
    { "10.0.0.9:80", "255.255.255.255:80", "addr" },
    { "10.0.0.9:80", R"(10.0.0.9\u0000x:80)", "addr" },
    { "\"a\",\"r1-3\"", "\"a\"," + longText, "labels" },
    { "\"a\",\"r1-3\"", "\"a\",7", "labels" },
    { "[\"a\",\"r1-3\"]", "\"a\"", "labels" },
    { "\"seq\":4", R"("seq":4,"born":1e300)", "born" },
    { "\"seq\":4", R"("seq":4,"born":0.5)", "born" },
    { "\"seq\":4", R"("seq":4,"remaining_ms":1e300)", "remaining_ms" },
    { "\"seq\":4", R"("seq":"4")", "seq" },
    { "482113", "1e400", "clock_ms" },
    { "\"zone\":\"a\"", "\"zone\":3", "zone" },
    { "\"service\":\"s\"", "\"service\":" + longText, "service" },
    { "\"ready\"", "\"sleeping\"", "state" },
  };
  for (const InvalidCase& row : invalid) {
    std::string text = good;
    text.replace(text.find(row.m_from), row.m_from.size(), row.m_to);
    INFO(text.substr(0, 500));
    const Expected<WorkerReport> report = DecodeEntry({ "i-1", text });
    REQUIRE_FALSE(report);
    CHECK(report.error().m_kind == ErrorKind::Corrupt);
    CHECK(report.error().m_message.find("'" + row.m_field) != std::string::npos);
    CHECK(report.error().Text().size() < 200);
  }
}

// Guards against rejecting the entries of real workers.
TEST_CASE("an entry without its optional fields is accepted")
{
  const std::vector<std::string> entries = {
    R"({"service":"s","addr":"10.0.0.9:80","state":"ready","capacity":{"cpu":16000,"mem_mb":32768}})",
    R"({"service":"s","addr":"10.0.0.9:80","state":"ready","capacity":{"cpu":16000.0,"mem_mb":3.2768e4},)"
    R"("labels":null,"born":1.7e12,"some_new_field":[[{}]]})",
    R"({"service":"s","addr":"10.0.0.9:80","zone":"a","state":"draining","remaining_ms":900.5,)"
    R"("cold_left_ms":-0.5,"capacity":{"cpu":1,"mem_mb":1},"labels":[]})",
    R"({"service":"s","addr":"[2001:db8::1]:80","state":"ready","capacity":{"cpu":1,"mem_mb":1}})",
  };
  for (const std::string& entry : entries) {
    INFO(entry);
    CHECK(DecodeEntry({ "i-1", entry }));
  }
}

// Guards against a key whose length does not fit one byte, which corrupts all records after it.
TEST_CASE("an entry whose key is not valid as a worker id in a header and a record is rejected")
{
  const std::string entry =
    R"({"service":"s","addr":"10.0.0.9:80","state":"ready","capacity":{"cpu":1,"mem_mb":1}})";
  const size_t longest = kMaxKeyBytes - WorkerKey("").size();
  const Expected<WorkerReport> report = DecodeEntry({ std::string(longest, 'w'), entry });
  REQUIRE(report);
  const std::vector<KeyedRecord> records = { { WorkerKey(report->m_id), "v" }, { "job/1", "w" } };
  const Expected<TopicPage> page = DecodeTail(std::string(16, '\0') + EncodeRecords(records));
  REQUIRE(page);
  REQUIRE(page->m_records.size() == 2);
  CHECK(page->m_records[0].m_key == records[0].m_key);
  CHECK(page->m_records[1].m_key == records[1].m_key);
  for (const std::string& key : { std::string(longest + 1, 'w'),
                                  std::string(),
                                  std::string("i 1"),
                                  std::string("i-1\r\nFence: 9"),
                                  std::string("i-1\0", 4),
                                  std::string("i-\xff") }) {
    CHECK_FALSE(DecodeEntry({ key, entry }));
  }
}

// Guards against one invalid item that hides all records after it.
TEST_CASE("items of a page that are not records are skipped, and the others are decoded")
{
  const Expected<NewestPage> page =
    DecodeNewest("{\"items\":[{\"key\":\"i-1\",\"value\":\"dg==\",\"offset\":1},{\"key\":4,"
                 "\"value\":\"dg==\"},7,null,"
                 "{\"value\":\"dg==\"},{\"key\":\"\xff\xfe\",\"value\":\"dg==\"},{\"key\":\"i-2\","
                 "\"value\":\"dg==\"}],"
                 "\"has_more\":true,\"end\":9}");
  REQUIRE(page);
  CHECK(page->m_skipped == 4);
  CHECK(page->m_hasMore);
  CHECK(page->m_page.m_end == 9);
  REQUIRE(page->m_page.m_records.size() == 3);
  CHECK(page->m_page.m_records[0].m_value == "v");
  CHECK(page->m_page.m_records[1].m_key == "\xff\xfe");
  CHECK(page->m_page.m_records[2].m_key == "i-2");
  for (const char* bad :
       { "", "[]", "{}", R"({"items":{},"end":1})", R"({"items":[],"end":1e300})" }) {
    CHECK_FALSE(DecodeNewest(bad));
  }
}

// Guards against a last key on a page, chosen by another writer, that breaks the request for the
// next page.
TEST_CASE("a key in the query of a request is percent-encoded")
{
  CHECK(EncodeQueryText("worker/i-7f3a.91_c2~") == "worker/i-7f3a.91_c2~");
  CHECK(EncodeQueryText("a b&c=%\r\n\xff#?+") == "a%20b%26c%3D%25%0D%0A%FF%23%3F%2B");
}

// Guards against an attempt that counts as lost, and is started again, since its row has an invalid
// value.
TEST_CASE("a running row with a valid attempt is kept, with its other values clamped")
{
  const std::string task = R"("5c0e7a21d94b36f8.0.1.17")";
  SkippedRows skipped;
  const Expected<WorkerStatus> status =
    DecodeStatus(R"({"clock_ms":5,"running":[[)" + task + R"(,2,"0b",1e300,-5],[)" + task +
                   R"(,3,7,"x",1e400],[)" + task + R"(,0,"",1],[)" + task + R"(,1e300,"",1],[)" +
                   task + R"(,"2","",1],[)" + task + R"(,-1,"",1]]})",
                 &skipped);
  REQUIRE(status);
  CHECK(skipped.m_count == 4);
  REQUIRE(status->m_running.size() == 2);
  CHECK(status->m_running[0].m_percent == 100);
  CHECK(status->m_running[0].m_usage == 0);
  CHECK(status->m_running[0].m_checkpoint == "0b");
  CHECK(status->m_running[1].m_percent == 0);
  CHECK(status->m_running[1].m_usage > 0);
  CHECK(status->m_running[1].m_checkpoint.empty());
}

// Guards against an end with a huge number, after which no end of the worker is recorded.
TEST_CASE("ends with an invalid number or attempt are skipped, with a bounded excerpt for the log")
{
  const std::string task = R"("5c0e7a21d94b36f8.0.1.9")";
  std::string rows;
  for (const std::string& number :
       { std::string("0"), std::string("-1"), std::string("1e300"), std::string(400, '9') }) {
    rows.append("[").append(number).append(",").append(task).append(R"(,1,"done",""],)");
  }
  SkippedRows skipped;
  const Expected<WorkerStatus> status =
    DecodeStatus(R"({"clock_ms":5,"ended":[)" + rows + "[58," + task + R"(,1,"done",""],["long)" +
                   std::string(100000, 'x') + R"("]]})",
                 &skipped);
  REQUIRE(status);
  CHECK(skipped.m_count == 5);
  CHECK(skipped.m_first.size() <= 200);
  REQUIRE(status->m_ended.size() == 1);
  CHECK(status->m_ended[0].m_number == 58);
}

// Guards against tasks that count as lost because their ends did not fit the list.
TEST_CASE("a list of ends is complete only if it is shorter than the longest one")
{
  const auto list = [](size_t aEnds) {
    std::string rows;
    for (size_t i = 1; i <= aEnds; ++i) {
      rows +=
        (i > 1 ? ",[" : "[") + std::to_string(i) + R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
    }
    return R"({"clock_ms":5,"ended":[)" + rows + "]}";
  };
  CHECK(DecodeStatus(R"({"clock_ms":5})")->m_endsComplete);
  CHECK(DecodeStatus(list(499))->m_endsComplete);
  CHECK_FALSE(DecodeStatus(list(500))->m_endsComplete);
}

// Guards against leases computed from a clock of 0, and against attempts that count as lost.
TEST_CASE("a response without a clock or with an invalid list is rejected")
{
  CHECK(DecodeStatus(R"({"clock_ms":0})"));
  CHECK(DecodeStatus(R"({"clock_ms":12.5,"running":[],"ended":null})"));
  for (const char* bad : { "{}",
                           R"({"clock_ms":"5"})",
                           R"({"clock_ms":-1})",
                           R"({"clock_ms":1e300})",
                           R"({"clock_ms":5,"born":"x"})",
                           R"({"clock_ms":5,"running":{}})",
                           R"({"clock_ms":5,"ended":"x"})" }) {
    INFO(bad);
    CHECK_FALSE(DecodeStatus(bad));
  }
}

// Guards against a route with a number that is truncated to its field, or missing.
TEST_CASE("a configuration with a field of a wrong type or out of range is rejected")
{
  const std::string good =
    R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/","timeout_ms":3000,)"
    R"("priority":0,"service":"s","attempts":4,"stretch":1.5}],"limits":{"max_body_bytes":9}})";
  REQUIRE(DecodeRoutes(good));
  const std::vector<std::pair<std::string, std::string>> invalid = {
    { "3000", "1e300" },  { "\"priority\":0", "\"priority\":4294967296" },
    { "\"h\"", "3" },     { "\"attempts\":4", "\"attempts\":\"4\"" },
    { "1.5", "1e400" },   { "1.5", "-1" },
    { ":7,", ":1e300," }, { "{\"max_body_bytes\":9}", "3" },
    { "9}}", "1e300}}" }, { "\"/a/\"", "[]" },
  };
  for (const std::pair<std::string, std::string>& row : invalid) {
    std::string text = good;
    text.replace(text.find(row.first), row.first.size(), row.second);
    INFO(text);
    CHECK_FALSE(DecodeRoutes(text));
  }
}

// Guards against a time that overflows when it is converted to microseconds.
TEST_CASE("a caller's deadline can shorten the route's timeout, but not extend it")
{
  const Duration timeout = std::chrono::milliseconds(3000);
  const Duration margin = timeout - ResponseTimeout("", timeout);
  CHECK(ResponseTimeout("1000", timeout) == std::chrono::milliseconds(1000) - margin);
  for (const char* invalid :
       { "9223372036854775807", "9223372036854775808", "-1", "0", "x", "99999" }) {
    CHECK(ResponseTimeout(invalid, timeout) == timeout - margin);
  }
  CHECK(ResponseTimeout("1", timeout) > Duration::zero());
}

// Guards against a job whose numbers wrap or overflow, or whose record exceeds the store's limit.
TEST_CASE("a job with a field of a wrong type or out of range is rejected")
{
  const std::string good =
    R"({"spec":"t","times":2,"first_ms":9,"interval_ms":500,"steps":[{"count":4,"cpu":500,)"
    R"("mem_mb":256,"est_ms":900},{"count":2,"deps":[0],"image":"i","gang":true,"target_ms":30}]})";
  REQUIRE(DecodeJob(good));
  const std::string longText = "\"" + std::string(200000, 'x') + "\"";
  std::string manyZeros = "[0";
  for (int i = 0; i < 100000; ++i) {
    manyZeros += ",0";
  }
  const std::vector<std::pair<std::string, std::string>> invalid = {
    { "\"count\":4", "\"count\":4294967297" },
    { "\"count\":4", "\"count\":1e300" },
    { "\"count\":4", "\"count\":\"4\"" },
    { "[0]", "[4294967296]" },
    { "[0]", "[\"0\"]" },
    { "[0]", manyZeros + "]" },
    { "500,\"mem", "1e300,\"mem" },
    { "256", "1e18" },
    { "900", "1e300" },
    { "900", "9000000000000000000" },
    { "\"i\"", longText },
    { "true", "\"yes\"" },
    { ":30", ":-1" },
    { ":500,\"steps", ":9e15,\"steps" },
    { "\"first_ms\":9", "\"first_ms\":1e18" },
    { "\"times\":2", "\"times\":4294967297" },
    { "\"t\"", "3" },
  };
  for (const std::pair<std::string, std::string>& row : invalid) {
    std::string text = good;
    text.replace(text.find(row.first), row.first.size(), row.second);
    INFO(text.substr(0, 500));
    const tl::expected<Graph, Errors> job = DecodeJob(text);
    REQUIRE_FALSE(job);
    CHECK(job.error().front().m_kind == ErrorKind::BadInput);
    CHECK(job.error().front().Text().size() < 200);
  }
}

// Guards against settings that are truncated to their field, such as port 73256 to 7720.
TEST_CASE("a setting that is out of range is rejected")
{
  const std::vector<std::pair<std::string, std::string>> invalid = {
    { "7720", "73256" }, { "7720", "-1" },    { "7720", "\"x\"" }, { "0.25", "nan" },
    { "0.25", "-1" },    { "7000", "1e300" }, { "7000", "-5" },    { "7000", "inf" },
  };
  for (const std::pair<std::string, std::string>& row : invalid) {
    std::string text = kSettings;
    text.replace(text.find(row.first), row.first.size(), row.second);
    INFO(text);
    CHECK_FALSE(ParsePlatformSettings(text));
  }
}
