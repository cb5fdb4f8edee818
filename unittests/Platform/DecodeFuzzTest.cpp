// Mutates valid documents randomly and passes them to the decoders. A seed reproduces a sequence.
// EGRETTURN_FUZZ_SEED and EGRETTURN_FUZZ_COUNT choose the seeds.
#include "Ingress.h"
#include "Store.h"
#include "Workers.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/Random.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdlib>

using namespace egretturn;
using namespace egretturn::platform;

namespace {

constexpr uint64_t kSeeds = 400;
constexpr size_t kNestingDepth = 100000;
constexpr size_t kDigitCount = 400;
constexpr size_t kLongText = 300000;
constexpr int64_t kMaxExactInteger = int64_t{ 1 } << 53; // doubles are exact up to it
constexpr size_t kRecordBytes = 262144;                  // the store's limit for one record

constexpr const char* kEntry =
  R"({"service":"s","addr":"10.0.0.9:80","zone":"a","version":"v1","slots":8,"state":"ready",)"
  R"("cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],)"
  R"("clock_ms":482113,"seq":4,"born":1700000000000,"remaining_ms":900})";

constexpr const char* kView =
  R"({"clock_ms":482113,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0b",41,9]],)"
  R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

constexpr const char* kRoutes =
  R"({"version":7,"routes":[{"name":"r1","host":"h","path_prefix":"/a/","timeout_ms":3000,)"
  R"("target_latency_ms":400,"priority":0,"service":"s","attempts":4,"stretch":1.5}],)"
  R"("limits":{"max_body_bytes":262144}})";

constexpr const char* kJob =
  R"({"spec":"t","times":2,"first_ms":1700000000000,"interval_ms":500,"steps":[{"count":4,)"
  R"("cpu":500,"mem_mb":256,"gpu":1,"est_ms":900,"affinity":"r1","required_label":"a"},)"
  R"({"count":2,"deps":[0],"max_per_server":1,"image":"i","target_ms":30,"may_miss":1}]})";

constexpr const char* kSettings = R"(
node = "front-1"
zone = "a"
ip = "10.1.0.13"
port_range = [7720, 7735]
[listen]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
[limits]
cpu_share = 0.25
memory_mb = 256
[bounds]
grace_s = 6
status_s = 120
stop_ms = 400
hold_max_ms = 7000
gang_ms = 3000
[platform]
addr = "10.200.1.7:8169"
call_bytes = 2097152
)";

/// Returns JSON text that replaces a value.
std::string
InvalidValue(Random& aRandom)
{
  static const std::vector<std::string> kValues = {
    "1e400",
    "-1e400",
    "1e300",
    "-1e300",
    "1e19",
    "18446744073709551615",
    "9223372036854775807",
    "-9223372036854775808",
    "9007199254740993",
    "4294967297",
    "4294967296",
    "65536",
    "101",
    "1.5",
    "-1",
    "0",
    "1e99999999999",
    "NaN",
    "null",
    "true",
    "[]",
    "{}",
    R"("")",
    R"("text")",
    R"("10.0.0.9:0")",
    R"("10.0.0.9:65536")",
    R"("10.0.0.9:99999999999")",
    R"(":80")",
    R"("[::1]:80")",
    R"("0.0.0.0:80")",
    R"("255.255.255.255:80")",
    R"("10.0.0.9\u0000x:80")",
    R"("\ud800")",
    "\"\xff\xfe\"",
    "\"\xe2\x82\"",
    std::string(kDigitCount, '9'),
    "-" + std::string(kDigitCount, '9'),
    "0." + std::string(kDigitCount, '3'),
    "\"" + std::string(kLongText, 'x') + "\"",
    "[" + std::string(kLongText, '0') + "]",
    std::string(kNestingDepth, '['),
    std::string(kNestingDepth, '[') + std::string(kNestingDepth, ']'),
  };
  if (aRandom.Below(20) == 0) {
    std::string nested;
    for (size_t i = 0; i < kNestingDepth; ++i) {
      nested += R"({"a":)";
    }
    return nested + "1" + std::string(kNestingDepth, '}');
  }
  return kValues[aRandom.Below(kValues.size())];
}

/// Collects \p aValue and all values in it.
void
Collect(boost::json::value& aValue, std::vector<boost::json::value*>& aFound)
{
  aFound.push_back(&aValue);
  if (boost::json::object* object = aValue.if_object()) {
    for (boost::json::key_value_pair& field : *object) {
      Collect(field.value(), aFound);
    }
  } else if (boost::json::array* items = aValue.if_array()) {
    for (boost::json::value& item : *items) {
      Collect(item, aFound);
    }
  }
}

/// Returns \p aText with an unusual value in place of a random one, or with a field removed or an
/// item added.
std::string
DamageValue(const std::string& aText, Random& aRandom)
{
  static const std::string kMark = "@@odd@@";
  boost::json::value document = boost::json::parse(aText);
  std::vector<boost::json::value*> values;
  Collect(document, values);
  boost::json::value& chosen = *values[aRandom.Below(values.size())];
  boost::json::object* object = chosen.if_object();
  boost::json::array* items = chosen.if_array();
  if (object && !object->empty() && aRandom.Below(2) == 0) {
    object->erase(object->begin() + static_cast<ptrdiff_t>(aRandom.Below(object->size())));
  } else if (items && aRandom.Below(2) == 0) {
    items->insert(items->begin(), boost::json::value(kMark));
  } else {
    chosen = kMark;
  }
  std::string text = boost::json::serialize(document);
  const size_t at = text.find("\"" + kMark + "\"");
  return at == std::string::npos ? text : text.replace(at, kMark.size() + 2, InvalidValue(aRandom));
}

/// Returns \p aText with bytes replaced, truncated, duplicated, removed or inserted.
std::string
DamageBytes(std::string aText, Random& aRandom)
{
  for (uint64_t i = aRandom.Below(4) + 1; i > 0 && !aText.empty(); --i) {
    const size_t at = aRandom.Below(aText.size());
    switch (aRandom.Below(5)) {
      case 0:
        aText[at] = static_cast<char>(aRandom.Below(256));
        break;
      case 1:
        aText.resize(at);
        break;
      case 2:
        aText.insert(at, aText.substr(at, aRandom.Below(40)));
        break;
      case 3:
        aText.erase(at, aRandom.Below(10) + 1);
        break;
      default:
        aText.insert(at, InvalidValue(aRandom));
    }
  }
  return aText;
}

std::string
Damage(const std::string& aText, Random& aRandom)
{
  return aRandom.Below(3) > 0 ? DamageValue(aText, aRandom) : DamageBytes(aText, aRandom);
}

bool
IsWithin(int64_t aNumber, int64_t aMin, int64_t aMax)
{
  return aNumber >= aMin && aNumber <= aMax;
}

void
CheckEntry(const WorkerReport& aReport)
{
  const Demand& capacity = aReport.m_capacity;
  CHECK(IsWithin(capacity.m_cpuMilli, 1, 1000000000));
  CHECK(IsWithin(capacity.m_memoryMb, 1, 1000000000));
  CHECK(IsWithin(capacity.m_accelerators, 0, 1000000));
  CHECK(IsWithin(aReport.m_incarnation, 0, kMaxExactInteger));
  CHECK(IsWithin(aReport.m_remainingMs, 0, kMaxExactInteger));
  const Expected<boost::asio::ip::tcp::endpoint> endpoint = ParseEndpoint(aReport.m_address);
  REQUIRE(endpoint);
  CHECK(endpoint->port() > 0);
  CHECK(PackCompact(aReport).size() < kRecordBytes / 4); // its record must fit the store
}

void
CheckStatus(const WorkerStatus& aStatus)
{
  CHECK(IsWithin(aStatus.m_clockMs, 0, kMaxExactInteger));
  CHECK(IsWithin(aStatus.m_incarnation, 0, kMaxExactInteger));
  for (const RunningAttempt& row : aStatus.m_running) {
    CHECK(IsWithin(static_cast<int64_t>(row.m_attempt), 1, kMaxExactInteger));
    CHECK(IsWithin(row.m_percent, 0, 100));
    CHECK(IsWithin(row.m_usage, 0, kMaxExactInteger));
    CHECK(row.m_checkpoint.size() < kRecordBytes / 4);
  }
  for (const EndedAttempt& row : aStatus.m_ended) {
    CHECK(IsWithin(static_cast<int64_t>(row.m_number), 1, kMaxExactInteger));
    CHECK(IsWithin(static_cast<int64_t>(row.m_attempt), 1, kMaxExactInteger));
    CHECK(row.m_checkpoint.size() < kRecordBytes / 4);
  }
}

void
CheckRoutes(const RouteTable& aRoutes)
{
  CHECK(IsWithin(static_cast<int64_t>(aRoutes.m_version), 0, kMaxExactInteger));
  CHECK(IsWithin(static_cast<int64_t>(aRoutes.m_bodyBytes), 1, int64_t{ 1 } << 32));
  for (const Route& route : aRoutes.m_routes) {
    CHECK(route.m_timeout > Duration::zero());
    CHECK(route.m_timeout < std::chrono::hours(24 * 366));
    CHECK(std::isfinite(route.m_terms.m_stretch));
    CHECK(route.m_terms.m_maxAttempts >= 1);
    CHECK(IsWithin(route.m_terms.m_targetMs, 0, kMaxExactInteger));
  }
}

void
CheckJob(const Graph& aGraph)
{
  CHECK(ValidateGraph(aGraph).empty());
  std::vector<int64_t> estimates;
  for (const GraphStep& step : aGraph.m_steps) {
    CHECK(IsWithin(step.m_demand.m_cpuMilli, 0, 1000000000));
    CHECK(IsWithin(step.m_demand.m_memoryMb, 0, 1000000000));
    CHECK(IsWithin(step.m_demand.m_accelerators, 0, 1000000));
    CHECK(IsWithin(step.m_targetMs, 0, kMaxExactInteger));
    estimates.push_back(step.m_estimateMs);
  }
  CHECK(IsWithin(CriticalPathMs(aGraph, estimates), 0, kMaxExactInteger));
  const int64_t last = aGraph.m_firstDueMs + aGraph.m_occurrences * aGraph.m_intervalMs;
  CHECK(IsWithin(last, 0, kMaxExactInteger));
  CHECK(PackCompact(aGraph).size() < kRecordBytes / 2); // its record must fit the store
}

void
CheckSettings(const PlatformSettings& aSettings)
{
  CHECK(aSettings.m_firstPort > 0);
  CHECK(std::isfinite(aSettings.m_processorShare));
  CHECK(aSettings.m_processorShare > 0);
  for (Duration span : { aSettings.m_gracePeriod,
                         aSettings.m_stopTimeout,
                         aSettings.m_jobRetention,
                         aSettings.m_maxLease,
                         aSettings.m_gangTimeout }) {
    CHECK(span >= Duration::zero());
    CHECK(span < std::chrono::hours(24 * 366));
  }
}

/// Runs \p aStep for each seed; a failure reports its seed.
template<typename Step>
void
ForEachSeed(Step aStep)
{
  const char* first = std::getenv("EGRETTURN_FUZZ_SEED");
  const char* count = std::getenv("EGRETTURN_FUZZ_COUNT");
  const uint64_t from = first ? std::strtoull(first, nullptr, 10) : 1;
  const uint64_t seeds = count ? std::strtoull(count, nullptr, 10) : kSeeds;
  for (uint64_t seed = from; seed < from + seeds; ++seed) {
    Random random(seed);
    INFO("seed " << seed);
    aStep(random);
  }
}

std::string
RandomKey(Random& aRandom)
{
  std::string key(aRandom.Below(300), '\0');
  for (char& c : key) {
    c = static_cast<char>(aRandom.Below(256));
  }
  return key;
}

} // namespace

// Guards against an invalid entry that is accepted as a usable worker or terminates the process.
TEST_CASE("an accepted entry lies within its ranges, whatever another writer wrote")
{
  REQUIRE(DecodeEntry({ "i-1", kEntry }));
  ForEachSeed([](Random& aRandom) {
    const KeyedRecord record{ "i-1", Damage(kEntry, aRandom) };
    if (const Expected<WorkerReport> report = DecodeEntry(record)) {
      INFO(record.m_value.substr(0, 2000));
      CheckEntry(*report);
    }
    const KeyedRecord invalid{ RandomKey(aRandom), kEntry };
    if (DecodeEntry(invalid)) {
      CHECK(WorkerKey(invalid.m_key).size() <= kMaxKeyBytes);
    }
  });
}

// Guards against numbers in a worker's response that no attempt, end or clock can have.
TEST_CASE("accepted rows lie within their ranges, whatever a worker responds")
{
  REQUIRE(DecodeStatus(kView));
  ForEachSeed([](Random& aRandom) {
    const std::string text = Damage(kView, aRandom);
    if (const Expected<WorkerStatus> status = DecodeStatus(text)) {
      INFO(text.substr(0, 2000));
      CheckStatus(*status);
    }
    // An invalid row next to a valid one does not affect it.
    std::string beside = kView;
    beside.insert(beside.find("[[\"") + 1, InvalidValue(aRandom) + ",");
    if (const Expected<WorkerStatus> status = DecodeStatus(beside)) {
      REQUIRE(status->m_running.size() == 1);
      CHECK(status->m_running[0].m_attempt == 2);
      CHECK(status->m_ended.size() == 1);
    }
  });
}

// Guards against numbers in the configuration that overflow where they are used.
TEST_CASE("an accepted configuration lies within its ranges, whatever was published")
{
  REQUIRE(DecodeRoutes(kRoutes));
  ForEachSeed([](Random& aRandom) {
    const std::string text = Damage(kRoutes, aRandom);
    if (const Expected<RouteTable> routes = DecodeRoutes(text)) {
      INFO(text.substr(0, 2000));
      CheckRoutes(*routes);
    }
  });
}

// Guards against a job whose numbers overflow, or whose record exceeds the store's limit.
TEST_CASE("an accepted job can be stored and computed with, whatever a caller sends")
{
  REQUIRE(DecodeJob(kJob));
  ForEachSeed([](Random& aRandom) {
    const std::string text = Damage(kJob, aRandom);
    if (const tl::expected<Graph, Errors> job = DecodeJob(text)) {
      INFO(text.substr(0, 2000));
      CheckJob(*job);
    }
  });
}

// Guards against settings whose numbers are cast beyond the range of their field.
TEST_CASE("accepted settings lie within their ranges, whatever the file contains")
{
  REQUIRE(ParsePlatformSettings(kSettings));
  ForEachSeed([](Random& aRandom) {
    static const std::vector<std::string> kFields = { "7720", "0.25",    "256", "120",
                                                      "7000", "2097152", "400", "3000" };
    std::string text = kSettings;
    const std::string& field = kFields[aRandom.Below(kFields.size())];
    text.replace(text.find(field), field.size(), InvalidValue(aRandom));
    if (const tl::expected<PlatformSettings, Errors> settings = ParsePlatformSettings(text)) {
      INFO(text.substr(0, 2000));
      CheckSettings(*settings);
    }
  });
}

// Guards against one invalid item that hides the records of all workers.
TEST_CASE("a valid item of a page is decoded, whatever stands next to it")
{
  ForEachSeed([](Random& aRandom) {
    static const std::string kPage =
      R"({"items":[{"key":"i-1","value":"dg==","offset":1}],"has_more":false,"end":9})";
    std::string beside = kPage;
    beside.insert(beside.find('[') + 1, InvalidValue(aRandom) + ",");
    if (const Expected<NewestPage> page = DecodeNewest(beside)) {
      REQUIRE(page->m_page.m_records.size() == 1);
      CHECK(page->m_page.m_records[0].m_value == "v");
      CHECK(page->m_skipped == 1);
    }
    (void)DecodeNewest(Damage(kPage, aRandom));
    const std::string key = RandomKey(aRandom);
    const std::string query = EncodeQueryText(key);
    CHECK(query.size() >= key.size());
    CHECK(query.find_first_of(" &#\r\n") == std::string::npos);
  });
}

// Guards against records with a wrong length prefix, which hides all records after them.
TEST_CASE("encoded records decode unchanged, and damaged tails don't crash the decoder")
{
  ForEachSeed([](Random& aRandom) {
    std::vector<KeyedRecord> records;
    for (uint64_t i = aRandom.Below(5) + 1; i > 0; --i) {
      const std::string key = RandomKey(aRandom).substr(0, 255);
      records.push_back({ key, std::string(aRandom.Below(2000), 'v') });
    }
    const std::string body = std::string(16, '\0') + EncodeRecords(records);
    const Expected<TopicPage> page = DecodeTail(body);
    REQUIRE(page);
    REQUIRE(page->m_records.size() == records.size());
    for (size_t i = 0; i < records.size(); ++i) {
      CHECK(page->m_records[i].m_key == records[i].m_key);
      CHECK(page->m_records[i].m_value == records[i].m_value);
    }
    (void)DecodeTail(DamageBytes(body, aRandom));
  });
}
