// Workers of the platform over HTTP: tasks under leases and service slots with latencies.
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

/// How the stand-in workers answer requests and run tasks.
struct TargetOptions
{
  int64_t m_serviceUs = 2000; ///< Median time to answer.
  int64_t m_taskMs = 1500;    ///< Run time of each task.
};

/// One worker on one address. Lives on the thread of its io_context.
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
  void Finish(const std::string& aKey, size_t aBodyBytes, const std::shared_ptr<HttpReply>& aReply);

  boost::asio::io_context& m_io;
  std::string m_address;
  uint32_t m_slots;
  TargetOptions m_options;
  WorkerModel m_model;
  HttpServer m_server;
  Random m_random;
  uint32_t m_busy = 0;
  bool m_truncates = false; ///< Closes in the middle of each answer.
  bool m_failsAll = false;
  uint64_t m_served = 0;
  std::map<std::string, uint32_t> m_ranByKey; ///< How often each idempotency key ran.
};

} // namespace egretturn
