// The platform's store: keyed topics of one partition, in memory.
#pragma once

#include "Net.h"

#include <map>
#include <vector>

namespace egretturn::review {

/// How the store treats the calls of one instance.
enum class StoreMode
{
  Available,
  Busy,   ///< Responds with status 503 and does nothing.
  Silent, ///< Does nothing and never responds.
};

/// Each instance calls an address of its own. Not thread-safe.
class Store
{
public:
  /// Changes the text of a record that an instance reads, or one that it has written if none is
  /// given.
  using Translator = std::function<std::string(std::string, std::optional<size_t> aReader)>;

  explicit Store(asio::io_context& aIo)
    : m_io(aIo)
  {
  }

  void SetTranslator(Translator aTranslator) { m_translator = std::move(aTranslator); }

  /// Listens for one more instance and returns its index.
  size_t Listen(uint16_t aPort);
  void SetMode(size_t aInstance, StoreMode aMode) { m_modes[aInstance] = aMode; }

  /// Writes a record as the operator or a worker does; an empty value deletes the key.
  void Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue);

private:
  struct Record
  {
    std::string m_key;
    std::string m_value;
  };

  struct Topic
  {
    std::vector<Record> m_records;
    std::map<std::string, size_t> m_newest; ///< Offset of the newest record of each key.
  };

  using Query = std::map<std::string, std::string>;

  Task<std::optional<Response>> Handle(size_t aInstance, Request aRequest);
  Response Append(const Query& aQuery, std::string_view aBody);
  Task<std::optional<Response>> Read(size_t aInstance, Query aQuery);
  Response Newest(size_t aInstance, const Query& aQuery);

  asio::io_context& m_io;
  Translator m_translator = [](std::string aText, std::optional<size_t>) { return aText; };
  std::vector<std::shared_ptr<Server>> m_servers;
  std::vector<StoreMode> m_modes;
  std::map<std::string, Topic> m_topics;
};

} // namespace egretturn::review
