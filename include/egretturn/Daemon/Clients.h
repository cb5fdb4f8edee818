// Clients of the log service, the workers and the peers, each on an event loop thread of its own.
#pragma once

#include "egretturn/Daemon/EventLoopThread.h"
#include "egretturn/Http/Http.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>

namespace egretturn {

/// Counts the calls of one client and their bytes: bodies plus an estimate for headers.
/// Thread-safe.
struct TrafficCounters
{
  std::atomic<uint64_t> m_sent{ 0 };
  std::atomic<uint64_t> m_received{ 0 };
  std::atomic<uint64_t> m_calls{ 0 };
};

/// Client of the log service and of the platform's list of instances. Runs on its event loop
/// thread.
class LogClient
{
public:
  LogClient(EventLoopThread& aLoop,
            EventQueue& aEvents,
            const Settings& aSettings,
            TrafficCounters& aCounters);

  /// Executes ReadLog and AppendLog and ignores other actions.
  void Handle(const Action& aAction);

  /// Starts polling the list of instances. Call before the loop starts or on its thread.
  void PollInstanceList();

private:
  std::string StreamName(Stream aStream) const;
  void Read(const ReadLog& aRead);
  void Append(const AppendLog& aAppend);
  void ReadInstanceList();

  EventQueue& m_events;
  const Settings& m_settings;
  TrafficCounters& m_counters;
  HttpClient m_client;
  boost::asio::steady_timer m_instanceListTimer;
};

/// Client of the workers' control interface. Runs on its event loop thread.
class WorkerClient
{
public:
  WorkerClient(EventLoopThread& aLoop, EventQueue& aEvents, TrafficCounters& aCounters);

  /// Executes CallWorker and ignores other actions. A call whose authority over the worker has
  /// expired is not sent and reported as failed.
  void Handle(const Action& aAction);

private:
  EventQueue& m_events;
  TrafficCounters& m_counters;
  HttpClient m_client;
};

/// Client of the peers' JSON-RPC interface. Runs on its event loop thread.
class PeerClient
{
public:
  PeerClient(EventLoopThread& aLoop,
             const Settings& aSettings,
             const InstanceId& aSelf,
             TrafficCounters& aCounters);

  /// Executes SendPeer and ignores other actions. Delivery is not confirmed.
  void Handle(const Action& aAction);

private:
  InstanceId m_self;
  std::map<std::string, std::string> m_addresses;
  Duration m_timeout;
  TrafficCounters& m_counters;
  HttpClient m_client;
};

/// Returns the path of a call to a worker; see docs/INTERFACES.md. Thread-safe.
std::string WorkerCallPath(const WorkerBody& aBody);

/// Returns the JSON body of a call to a worker; see docs/INTERFACES.md. Thread-safe.
std::string EncodeWorkerCall(const WorkerCall& aCall);

/// Parses a call to a worker from its path and body, for stand-ins. Errors: bad_input. Thread-safe.
Expected<WorkerCall> ParseWorkerCall(std::string_view aPath, std::string_view aText);

} // namespace egretturn
