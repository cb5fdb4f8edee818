// Stand-in for the platform's workers over HTTP: tasks under leases, and service slots with
// simulated latency.
#pragma once

#include "egretturn/Config/Model.h"
#include "egretturn/Http/Http.h"
#include "egretturn/Standin/WorkerModel.h"
#include "egretturn/Support/Random.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretturn {

/// Simulated durations of the stand-in workers.
struct TargetOptions
{
  int64_t m_serviceUs = 2000; ///< Median service time of a request.
  int64_t m_taskMs = 1500;    ///< Run time of each task.
};

/// Serves one worker on one address. Runs on the thread of its io_context.
class TargetServer
{
public:
  TargetServer(boost::asio::io_context& aIo,
               const std::string& aAddress,
               const Resources& aSize,
               uint32_t aSlots,
               const TargetOptions& aOptions,
               const std::vector<std::string>& aKinds);

  /// Errors: as HttpServer::Listen().
  Expected<void> Listen();

private:
  void OnRequest(HttpRequest aRequest, const std::shared_ptr<HttpReply>& aReply);
  void OnService(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply);
  void OnAdmin(const HttpRequest& aRequest, HttpReply& aReply);
  Json HistoryJson() const;
  void FinishRequest(const std::string& aKey,
                     size_t aBodyBytes,
                     const std::shared_ptr<HttpReply>& aReply);

  boost::asio::io_context& m_io;
  std::string m_address;
  uint32_t m_slots;
  TargetOptions m_options;
  WorkerModel m_model;
  HttpServer m_server;
  Random m_random;
  uint32_t m_busySlots = 0;
  bool m_truncateResponses = false; ///< Closes the connection in the middle of each response.
  bool m_failAll = false;
  uint64_t m_served = 0;
  std::map<std::string, uint32_t>
    m_runsByKey; ///< How often a request with each idempotency key ran.
};

} // namespace egretturn
