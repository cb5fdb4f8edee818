// Serves callers' connections and forwards requests to targets and peers as the core decides.
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

/// Holds the readiness and metrics that the decision thread publishes for the data plane.
/// Thread-safe.
class StatusBoard
{
public:
  /// Replaces the published state; \p aReason says why the instance is not ready.
  void Publish(bool aReady, std::string aReason, std::string aMetrics);

  /// Returns the published readiness and sets \p aReason to its reason.
  bool IsReady(std::string& aReason) const;

  /// Returns the published metrics as Prometheus text.
  std::string Metrics() const;

private:
  mutable std::mutex m_mutex;
  bool m_ready = false;
  std::string m_reason = "starting";
  std::string m_metrics;
};

/// Accepts requests and commands, passes them to the core as events, and executes the core's
/// actions on them. Construct it and call Listen() before the event loop starts; call the other
/// methods on its thread.
class DataPlane
{
public:
  DataPlane(EventLoopThread& aLoop,
            EventQueue& aEvents,
            const Settings& aSettings,
            StatusBoard& aStatusBoard);

  /// Starts listening for callers and peers. Errors: as HttpServer::Listen().
  Expected<void> Listen();

  /// Executes \p aAction if it concerns a request or a command, and ignores other actions.
  void Handle(Action aAction);

  /// Stops accepting connections of callers and peers.
  void StopAccepting();

private:
  struct PendingRequest
  {
    HttpRequest m_request;
    std::shared_ptr<HttpReply> m_reply;
    Instant m_arrivedAt{};
    std::map<uint32_t, std::shared_ptr<ClientCall>> m_calls;
    std::map<uint32_t, HttpResponse> m_responses;
  };

  void OnRequest(HttpRequest aRequest, const std::shared_ptr<HttpReply>& aReply, bool aFromPeer);
  bool HandleFixedPath(const HttpRequest& aRequest, HttpReply& aReply);
  void OnServiceRequest(HttpRequest aRequest,
                        const std::shared_ptr<HttpReply>& aReply,
                        bool aFromPeer);
  void OnCommand(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply);
  void SendDispatch(const Dispatch& aDispatch);
  void OnDispatchResponse(RequestId aId, uint32_t aAttempt, bool aPeer, ClientResponse aResponse);
  void SendResponse(const CompleteRequest& aAction);
  void OnPeerMessage(const std::string& aMessage);
  std::string MetricsText() const;

  EventQueue& m_events;
  const Settings& m_settings;
  StatusBoard& m_statusBoard;
  HttpServer m_server;
  HttpServer m_peerServer;
  HttpClient m_client;
  NotificationServer m_rpcServer;
  RequestId m_nextId = 1;
  std::unordered_map<RequestId, PendingRequest> m_requests;
  std::unordered_map<CommandId, std::shared_ptr<HttpReply>> m_commands;
  LatencyHistogram m_latency;
  uint64_t m_shedRequests = 0;
};

/// Reads the local monotonic clock. Thread-safe.
Instant MonotonicNow();

} // namespace egretturn
