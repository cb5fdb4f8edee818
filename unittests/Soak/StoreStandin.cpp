#include "StoreStandin.h"

#include "Store.h"

#include "egretturn/Support/Base64.h"

#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>

namespace egretturn::soak {

static constexpr const char* kJson = "application/json";
static constexpr size_t kRecordsPerPage = 40; // few, so that reads of the newest records have pages
static constexpr size_t kMaxReadBytes = 256 * 1024;
static constexpr size_t kTailHeaderBytes = 16; // end and first offset, before the records
static constexpr size_t kMaxBodyBytes = 2 * 1024 * 1024;
static constexpr uint64_t kLossyAppends = 3; // one of so many gets no response
static constexpr Duration kMaxLateness = std::chrono::seconds(3);

StoreStandin::StoreStandin(boost::asio::io_context& aIo, Translator aTranslator, Observer aObserver)
  : m_io(aIo)
  , m_translator(std::move(aTranslator))
  , m_observer(std::move(aObserver))
{
}

void
StoreStandin::Listen(const std::string& aAddress)
{
  HttpLimits limits;
  limits.m_bodyBytes = kMaxBodyBytes;
  limits.m_idle = std::chrono::minutes(10);
  const size_t instance = m_servers.size();
  m_servers.push_back(std::make_unique<HttpServer>(
    m_io, limits, [this, instance](const HttpRequest& aRequest, std::shared_ptr<HttpReply> aReply) {
      Handle(instance, aRequest, std::move(aReply));
    }));
  m_modes.push_back(StoreMode::Available);
  if (!m_servers.back()->Listen(aAddress)) {
    throw std::runtime_error("the stand-in of the store cannot listen on " + aAddress);
  }
}

void
StoreStandin::SetMode(size_t aInstance, StoreMode aMode)
{
  m_modes[aInstance] = aMode;
  if (aMode == StoreMode::Available) {
    m_silenced.clear();
  }
}

StoreStandin::Query
StoreStandin::ParseQuery(std::string_view aTarget)
{
  Query query;
  std::string_view rest = aTarget.substr(std::min(aTarget.find('?') + 1, aTarget.size()));
  while (!rest.empty()) {
    const std::string_view item = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(item.size() + 1, rest.size()));
    const std::string name(item.substr(0, item.find('=')));
    const std::string value(item.substr(std::min(item.find('=') + 1, item.size())));
    if (name == "topic") {
      query.m_topic = value;
    } else if (name == "deps") {
      query.m_after = value; // the keys of these tests need no percent-encoding
    } else if (name == "from") {
      query.m_from = std::stoul(value);
    } else if (name == "at") {
      query.m_at = std::stoul(value);
    } else if (name == "wait_ms") {
      query.m_wait = std::chrono::milliseconds(std::stol(value));
    }
  }
  return query;
}

void
StoreStandin::Handle(size_t aInstance,
                     const HttpRequest& aRequest,
                     std::shared_ptr<HttpReply> aReply)
{
  const StoreMode mode = m_modes[aInstance];
  if (mode == StoreMode::Refusing) {
    aReply->Send(MakeResponse(503, kJson, "{}"));
    return;
  }
  if (mode == StoreMode::Silent) {
    m_silenced.push_back(std::move(aReply));
    return;
  }
  const std::string target(aRequest.target().data(), aRequest.target().size());
  const Query query = ParseQuery(target);
  if (target.starts_with("/-/log-append")) {
    HandleAppend(aInstance, query, aRequest.body(), aReply);
  } else if (target.starts_with("/-/log-read")) {
    HandleRead(aInstance, query, aReply);
  } else if (target.starts_with("/-/log-newest")) {
    aReply->Send(Newest(aInstance, query));
  } else {
    aReply->Send(MakeResponse(404, kJson, "{}"));
  }
}

void
StoreStandin::HandleAppend(size_t aInstance,
                           const Query& aQuery,
                           const std::string& aBody,
                           const std::shared_ptr<HttpReply>& aReply)
{
  const bool lossy = m_modes[aInstance] == StoreMode::Lossy;
  if (!lossy || ++m_appends % kLossyAppends != 0) {
    aReply->Send(Append(aQuery, aBody));
    return;
  }
  m_silenced.push_back(aReply);
  const Duration delay = kMaxLateness * (m_appends % 7) / 7;
  const std::shared_ptr<boost::asio::steady_timer> timer =
    std::make_shared<boost::asio::steady_timer>(m_io, delay);
  timer->async_wait([this, timer, aQuery, aBody](boost::system::error_code aError) {
    if (!aError) {
      Append(aQuery, aBody);
    }
  });
}

HttpResponse
StoreStandin::Append(const Query& aQuery, const std::string& aBody)
{
  TopicLog& topic = m_topics[aQuery.m_topic];
  boost::json::object body;
  if (aQuery.m_at && *aQuery.m_at != topic.m_records.size()) {
    body["end"] = topic.m_records.size();
    return MakeResponse(412, kJson, boost::json::serialize(body));
  }
  const Expected<TopicPage> page = platform::DecodeTail(std::string(kTailHeaderBytes, 0) + aBody);
  if (!page) {
    return MakeResponse(400, kJson, "{}");
  }
  body["offset"] = topic.m_records.size();
  for (const KeyedRecord& record : page->m_records) {
    Write(topic, record);
    m_observer(aQuery.m_topic, record);
  }
  body["end"] = topic.m_records.size();
  AnswerWaitingReads(aQuery.m_topic);
  return MakeResponse(200, kJson, boost::json::serialize(body));
}

void
StoreStandin::Write(TopicLog& aTopic, KeyedRecord aRecord)
{
  if (aRecord.m_value.empty()) {
    aTopic.m_newest.erase(aRecord.m_key);
  } else {
    aTopic.m_newest[aRecord.m_key] = aTopic.m_records.size();
  }
  aTopic.m_records.push_back(std::move(aRecord));
}

void
StoreStandin::Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
{
  Write(m_topics[aTopic], { aKey, aValue });
  AnswerWaitingReads(aTopic);
}

void
StoreStandin::AnswerWaitingReads(const std::string& aTopic)
{
  std::vector<WaitingRead> waiting;
  for (WaitingRead& read : std::exchange(m_waiting, {})) {
    if (read.m_topic == aTopic && m_modes[read.m_instance] == StoreMode::Available) {
      read.m_reply->Send(Tail(read.m_instance, aTopic, read.m_from));
    } else {
      waiting.push_back(std::move(read));
    }
  }
  m_waiting = std::move(waiting);
}

void
StoreStandin::HandleRead(size_t aInstance,
                         const Query& aQuery,
                         const std::shared_ptr<HttpReply>& aReply)
{
  const bool empty = aQuery.m_from >= m_topics[aQuery.m_topic].m_records.size();
  if (!empty || aQuery.m_wait <= Duration::zero()) {
    aReply->Send(Tail(aInstance, aQuery.m_topic, aQuery.m_from));
    return;
  }
  const std::shared_ptr<boost::asio::steady_timer> timer =
    std::make_shared<boost::asio::steady_timer>(m_io, aQuery.m_wait);
  m_waiting.push_back({ aQuery.m_topic, aInstance, aQuery.m_from, aReply, timer });
  timer->async_wait([this, aInstance, aQuery, aReply](boost::system::error_code aError) {
    if (!aError && m_modes[aInstance] == StoreMode::Available) {
      aReply->Send(Tail(aInstance, aQuery.m_topic, aQuery.m_from));
    }
  });
}

HttpResponse
StoreStandin::Tail(size_t aInstance, const std::string& aTopic, size_t aFrom)
{
  const TopicLog& topic = m_topics[aTopic];
  std::vector<KeyedRecord> records;
  size_t bytes = 0;
  for (size_t i = aFrom; i < topic.m_records.size() && bytes < kMaxReadBytes; ++i) {
    records.push_back({ topic.m_records[i].m_key, m_translator(aInstance, topic.m_records[i]) });
    bytes += records.back().m_key.size() + records.back().m_value.size();
  }
  std::string body(kTailHeaderBytes, 0);
  boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(body.data()),
                               topic.m_records.size());
  return MakeResponse(200, "application/octet-stream", body + platform::EncodeRecords(records));
}

HttpResponse
StoreStandin::Newest(size_t aInstance, const Query& aQuery)
{
  const TopicLog& topic = m_topics[aQuery.m_topic];
  boost::json::array items;
  auto it =
    aQuery.m_after.empty() ? topic.m_newest.begin() : topic.m_newest.upper_bound(aQuery.m_after);
  for (; it != topic.m_newest.end() && items.size() < kRecordsPerPage; ++it) {
    boost::json::object item;
    item["key"] = it->first;
    item["value"] = ToBase64(m_translator(aInstance, topic.m_records[it->second]));
    item["offset"] = it->second;
    items.push_back(std::move(item));
  }
  boost::json::object body;
  body["items"] = std::move(items);
  body["has_more"] = it != topic.m_newest.end();
  body["end"] = topic.m_records.size();
  return MakeResponse(200, kJson, boost::json::serialize(body));
}

} // namespace egretturn::soak
