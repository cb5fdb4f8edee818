// A store of keyed topics behind HTTP, as the platform's protocol describes it, in memory. Each
// instance has an address of its own, so that the store can treat instances differently.
#pragma once

#include "egretturn/Http/Http.h"
#include "egretturn/Node/Ports.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>

namespace egretturn::soak {

/// How the store treats the calls of an instance.
enum class StoreMode
{
  Available,
  Refusing, ///< Responds with status 503 and does nothing.
  Silent,   ///< Does nothing and never responds.
  Lossy,    ///< Executes each third append late, and does not respond to it.
};

/// Not thread-safe: runs on the thread of the io_context.
class StoreStandin
{
public:
  /// Changes a record that \p aInstance reads, such as the address in a claim.
  using Translator = std::function<std::string(size_t aInstance, const KeyedRecord& aRecord)>;

  /// Sees each record that is appended to a topic.
  using Observer = std::function<void(const std::string& aTopic, const KeyedRecord& aRecord)>;

  StoreStandin(boost::asio::io_context& aIo, Translator aTranslator, Observer aObserver);

  /// Listens for one more instance. \pre The address is free.
  void Listen(const std::string& aAddress);

  void SetMode(size_t aInstance, StoreMode aMode);
  StoreMode Mode(size_t aInstance) const { return m_modes[aInstance]; }

  /// Writes a record as the operator or a worker does. An empty value deletes the key.
  void Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue);

private:
  /// The parameters of a request.
  struct Query
  {
    std::string m_topic;
    std::string m_after;        ///< Key after which a read of the newest records goes on.
    size_t m_from = 0;          ///< First offset to read.
    std::optional<size_t> m_at; ///< Offset at which an append has to start.
    Duration m_wait{};          ///< How long a read may wait for a record.
  };

  struct TopicLog
  {
    std::vector<KeyedRecord> m_records;
    std::map<std::string, size_t> m_newest; ///< Offset of the newest record of each key.
  };

  /// A read that waits for a record.
  struct WaitingRead
  {
    std::string m_topic;
    size_t m_instance;
    size_t m_from;
    std::shared_ptr<HttpReply> m_reply;
    std::shared_ptr<boost::asio::steady_timer> m_timer;
  };

  void Handle(size_t aInstance, const HttpRequest& aRequest, std::shared_ptr<HttpReply> aReply);
  void HandleAppend(size_t aInstance,
                    const Query& aQuery,
                    const std::string& aBody,
                    const std::shared_ptr<HttpReply>& aReply);
  /// Executes an append if its condition holds. Returns the response.
  HttpResponse Append(const Query& aQuery, const std::string& aBody);
  void HandleRead(size_t aInstance, const Query& aQuery, const std::shared_ptr<HttpReply>& aReply);
  HttpResponse Newest(size_t aInstance, const Query& aQuery);
  HttpResponse Tail(size_t aInstance, const std::string& aTopic, size_t aFrom);
  static Query ParseQuery(std::string_view aTarget);
  void Write(TopicLog& aTopic, KeyedRecord aRecord);
  void AnswerWaitingReads(const std::string& aTopic);

  boost::asio::io_context& m_io;
  Translator m_translator;
  Observer m_observer;
  std::vector<std::unique_ptr<HttpServer>> m_servers;
  std::vector<StoreMode> m_modes;
  std::map<std::string, TopicLog> m_topics;
  std::vector<WaitingRead> m_waiting;
  std::vector<std::shared_ptr<HttpReply>> m_silenced; ///< Kept open without a response.
  uint64_t m_appends = 0;
};

} // namespace egretturn::soak
