// Callers' connections and dispatches to targets: carries out what the core decides for requests.
#pragma once

#include "egretturn/Daemon/Api.h"
#include "egretturn/Daemon/EventLoopThread.h"
#include "egretturn/Daemon/PeerRpc.h"
#include "egretturn/Support/Latency.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace egretturn {

/// What the decision thread publishes for health checks and metrics. Thread-safe.
class StatusBoard
{
public:
  void Publish(bool aReady, std::string aReason, std::string aMetrics);
  bool IsReady(std::string& aReason) const;
  std::string Metrics() const;

private:
  mutable std::mutex m_mutex;
  bool m_ready = false;
  std::string m_reason = "starting";
  std::string m_metrics;
};

/// Lives on its loop's thread. Construct before the loop starts.
class DataPlane
{
public:
  DataPlane(DutyLoop& aLoop, EventRing& aEvents, const Settings& aSettings, StatusBoard& aBoard);

  /// Listens for callers and peers. Errors: as HttpServer::Listen().
  Expected<void> Listen();

  /// Carries out \p aAction, one of those that concern requests and commands.
  void Handle(Action aAction);

  void StopAccepting();

private:
  struct PendingRequest
  {
    HttpRequest m_request;
    std::shared_ptr<HttpReply> m_reply;
    Instant m_arrivedAt{};
    std::map<uint32_t, std::shared_ptr<ClientCall>> m_calls;
    std::map<uint32_t, HttpResponse> m_answers;
  };

  void OnCaller(HttpRequest aRequest, const std::shared_ptr<HttpReply>& aReply, bool aFromPeer);
  bool AnswerFixedPath(const HttpRequest& aRequest, HttpReply& aReply);
  void OnServiceRequest(HttpRequest aRequest,
                        const std::shared_ptr<HttpReply>& aReply,
                        bool aFromPeer);
  void OnCommand(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply);
  void SendDispatch(const Dispatch& aDispatch);
  void OnTargetAnswer(RequestId aId, uint32_t aAttempt, bool aPeer, ClientResponse aAnswer);
  void Answer(const CompleteRequest& aAnswer);
  void OnPeerMessage(const std::string& aMessage);
  std::string MetricsText() const;

  EventRing& m_events;
  const Settings& m_settings;
  StatusBoard& m_board;
  HttpServer m_server;
  HttpServer m_peerServer;
  HttpClient m_client;
  NotificationServer m_rpc;
  RequestId m_nextId = 1;
  std::unordered_map<RequestId, PendingRequest> m_requests;
  std::unordered_map<CommandId, std::shared_ptr<HttpReply>> m_commands;
  LatencyHistogram m_latency;
  uint64_t m_shed = 0;
};

/// The local monotonic clock.
Instant MonotonicNow();

} // namespace egretturn
