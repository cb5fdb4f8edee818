#include "Store.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>

namespace egretturn::review {

namespace json = boost::json;

static constexpr Millis kAnswerTime{ 4 };
static constexpr Millis kAppendTime{ 3 };
static constexpr Millis kReadCheckInterval{ 5 };
static constexpr size_t kMaxPageItems = 500;
static constexpr size_t kMaxPageBytes = 700 * 1024; // below 1 MB in base64

size_t
Store::Listen(uint16_t aPort)
{
  const size_t instance = m_servers.size();
  m_modes.push_back(StoreMode::Available);
  m_servers.push_back(std::make_shared<Server>(m_io, aPort, [this, instance](Request aRequest) {
    return Handle(instance, std::move(aRequest));
  }));
  m_servers.back()->Open();
  return instance;
}

void
Store::Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
{
  Topic& topic = m_topics[aTopic];
  if (aValue.empty()) {
    topic.m_newest.erase(aKey);
  } else {
    topic.m_newest[aKey] = topic.m_records.size();
  }
  topic.m_records.push_back({ aKey, aValue });
}

/// Returns \p aText without percent-encoding.
static std::string
Decode(std::string_view aText)
{
  std::string text;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text.push_back(
        static_cast<char>(std::stoi(std::string(aText.substr(i + 1, 2)), nullptr, 16)));
      i += 2;
    } else {
      text.push_back(aText[i]);
    }
  }
  return text;
}

static std::map<std::string, std::string>
ParseQuery(std::string_view aTarget)
{
  std::map<std::string, std::string> query;
  const size_t mark = aTarget.find('?');
  std::string_view rest = mark == std::string_view::npos ? "" : aTarget.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view item = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(item.size() + 1, rest.size()));
    const size_t equals = std::min(item.find('='), item.size());
    query[std::string(item.substr(0, equals))] =
      Decode(item.substr(std::min(equals + 1, item.size())));
  }
  return query;
}

static size_t
NumberIn(const std::map<std::string, std::string>& aQuery, const char* aName)
{
  const auto it = aQuery.find(aName);
  return it == aQuery.end() ? 0 : std::stoul(it->second);
}

Task<std::optional<Response>>
Store::Handle(size_t aInstance, Request aRequest)
{
  const std::string target(aRequest.target().data(), aRequest.target().size());
  const Query query = ParseQuery(target);
  co_await Sleep(kAnswerTime);
  if (m_modes[aInstance] == StoreMode::Silent) {
    co_return std::nullopt;
  }
  if (m_modes[aInstance] == StoreMode::Busy) {
    co_return MakeResponse(503, "{}");
  }
  if (target.starts_with("/-/log-append")) {
    co_await Sleep(kAppendTime);
    co_return Append(query, aRequest.body());
  }
  if (target.starts_with("/-/log-newest")) {
    co_return Newest(aInstance, query);
  }
  if (target.starts_with("/-/log-read")) {
    co_return co_await Read(aInstance, query);
  }
  co_return MakeResponse(404, "{}");
}

Response
Store::Append(const Query& aQuery, std::string_view aBody)
{
  const std::string name = aQuery.at("topic");
  if (name == "keyed.op" || name == "keyed.servers") {
    return MakeResponse(403, "{}");
  }
  const size_t offset = m_topics[name].m_records.size();
  if (aQuery.contains("at") && NumberIn(aQuery, "at") != offset) {
    return MakeResponse(412, json::serialize(json::object{ { "end", offset } }));
  }
  while (aBody.size() >= 4) {
    const size_t length =
      boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(aBody.data()));
    const std::string_view content = aBody.substr(4, length);
    aBody.remove_prefix(4 + length);
    const size_t keyBytes = static_cast<unsigned char>(content[0]);
    Put(name,
        std::string(content.substr(1, keyBytes)),
        m_translator(std::string(content.substr(1 + keyBytes)), std::nullopt));
  }
  return MakeResponse(200,
                      json::serialize(json::object{ { "offset", offset },
                                                    { "end", m_topics[name].m_records.size() } }));
}

Task<std::optional<Response>>
Store::Read(size_t aInstance, Query aQuery)
{
  const std::string name = aQuery["topic"];
  const size_t from = NumberIn(aQuery, "from");
  const Clock::time_point until = Clock::now() + Millis(NumberIn(aQuery, "wait_ms"));
  while (m_topics[name].m_records.size() <= from && Clock::now() < until) {
    co_await Sleep(kReadCheckInterval);
  }
  if (m_modes[aInstance] != StoreMode::Available) {
    co_return std::nullopt;
  }
  const std::vector<Record>& records = m_topics[name].m_records;
  std::string body(16, '\0');
  boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(body.data()), records.size());
  for (size_t i = from; i < records.size() && body.size() < kMaxPageBytes; ++i) {
    const size_t length = 1 + records[i].m_key.size() + records[i].m_value.size();
    unsigned char prefix[4];
    boost::endian::store_big_u32(prefix, static_cast<uint32_t>(length));
    body.append(reinterpret_cast<const char*>(prefix), sizeof(prefix));
    body.push_back(static_cast<char>(records[i].m_key.size()));
    body.append(records[i].m_key).append(m_translator(records[i].m_value, aInstance));
  }
  Response response = MakeResponse(200, std::move(body));
  response.set(http::field::content_type, "application/octet-stream");
  co_return response;
}

static std::string
ToBase64(const std::string& aBytes)
{
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(aBytes.size()), '\0');
  text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

Response
Store::Newest(size_t aInstance, const Query& aQuery)
{
  const Topic& topic = m_topics[aQuery.at("topic")];
  const auto after = aQuery.find("deps");
  auto it =
    after == aQuery.end() ? topic.m_newest.begin() : topic.m_newest.upper_bound(after->second);
  json::array items;
  size_t bytes = 0;
  for (; it != topic.m_newest.end() && items.size() < kMaxPageItems && bytes < kMaxPageBytes;
       ++it) {
    const std::string& value = topic.m_records[it->second].m_value;
    bytes += value.size();
    items.push_back(json::object{ { "key", it->first },
                                  { "value", ToBase64(m_translator(value, aInstance)) },
                                  { "offset", it->second } });
  }
  const json::object body{ { "items", std::move(items) },
                           { "has_more", it != topic.m_newest.end() },
                           { "end", topic.m_records.size() } };
  return MakeResponse(200, json::serialize(body));
}

} // namespace egretturn::review
