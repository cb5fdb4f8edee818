// Stand-in for the platform's log service and list of instances over HTTP, with fault injection.
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

/// Injected faults of the log service, set by POST /admin.
struct LogFaults
{
  bool m_outage = false;      ///< Every call gets the status 503.
  int64_t m_delayMs = 0;      ///< Delay of each read.
  double m_loseResponses = 0; ///< Share of appends that take effect but get the status 500.
  int64_t m_retentionMs = 24LL * 3600 * 1000;
  double m_appendsPerSecond = 0; ///< Zero for no limit.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("outage", aSelf.m_outage);
    aVisit("delay_ms", aSelf.m_delayMs);
    aVisit("lose_answers", aSelf.m_loseResponses);
    aVisit("retention_ms", aSelf.m_retentionMs);
    aVisit("appends_per_s", aSelf.m_appendsPerSecond);
  }
};

/// Serves the log and the list of instances on one address. Runs on the thread of its io_context.
class PlatformServer
{
public:
  explicit PlatformServer(boost::asio::io_context& aIo);

  /// Errors: as HttpServer::Listen().
  Expected<void> Listen(const std::string& aAddress);

private:
  struct PendingRead
  {
    std::string m_stream;
    Offset m_from = 0;
    std::shared_ptr<HttpReply> m_reply;
    Instant m_deadline{};
  };
  void OnRequest(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply);
  void OnAdmin(const HttpRequest& aRequest, HttpReply& aReply);
  void OnAppend(const std::string& aStream, const std::string& aBytes, HttpReply& aReply);
  void OnRead(PendingRead aRead);
  void SendChunk(const PendingRead& aRead);
  void CompletePendingReads();
  void Tick();

  boost::asio::steady_timer m_timer;
  HttpServer m_server;
  LogModel m_log;
  LogFaults m_faults;
  Random m_random{ 1 };
  std::list<PendingRead> m_pendingReads;
  std::set<std::string> m_draining;
};

} // namespace egretturn
