// The platform's log service and list of instances over HTTP, with faults to inject.
#pragma once

#include "egretturn/Http/Http.h"
#include "egretturn/Standin/LogModel.h"
#include "egretturn/Support/Fields.h"
#include "egretturn/Support/Random.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <set>
#include <string>

namespace egretturn {

/// Faults of the log, set by POST /admin.
struct LogFaults
{
  bool m_outage = false;    ///< Every call is answered with 503.
  int64_t m_delayMs = 0;    ///< Before each answer.
  double m_loseAnswers = 0; ///< Share of appends that take effect but answer 500.
  int64_t m_retentionMs = 24LL * 3600 * 1000;
  double m_appendsPerSecond = 0; ///< Zero for no limit.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("outage", aSelf.m_outage);
    aVisit("delay_ms", aSelf.m_delayMs);
    aVisit("lose_answers", aSelf.m_loseAnswers);
    aVisit("retention_ms", aSelf.m_retentionMs);
    aVisit("appends_per_s", aSelf.m_appendsPerSecond);
  }
};

/// Serves one address. Lives on the thread of its io_context.
class PlatformServer
{
public:
  explicit PlatformServer(boost::asio::io_context& aIo);

  /// Errors: as HttpServer::Listen().
  Expected<void> Listen(const std::string& aAddress);

private:
  struct Waiter
  {
    std::string m_stream;
    Offset m_from = 0;
    std::shared_ptr<HttpReply> m_reply;
    Instant m_until{};
  };
  void OnRequest(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply);
  void OnAdmin(const HttpRequest& aRequest, HttpReply& aReply);
  void OnAppend(const std::string& aStream, const std::string& aBytes, HttpReply& aReply);
  void OnRead(Waiter aWaiter);
  void SendChunk(const Waiter& aWaiter);
  void ServeWaiters();
  void Tick();

  boost::asio::steady_timer m_timer;
  HttpServer m_server;
  LogModel m_log;
  LogFaults m_faults;
  Random m_random{ 1 };
  std::list<Waiter> m_waiters;
  std::set<std::string> m_leaving;
};

} // namespace egretturn
