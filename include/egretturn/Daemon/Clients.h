// The duties that talk to the platform and to peers, each on a loop of its own.
#pragma once

#include "egretturn/Daemon/EventLoopThread.h"
#include "egretturn/Http/Http.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>

namespace egretturn {

/// Bytes sent and received for control, bodies and an allowance for headers. Thread-safe.
struct LinkCounters
{
  std::atomic<uint64_t> m_sent{ 0 };
  std::atomic<uint64_t> m_received{ 0 };
  std::atomic<uint64_t> m_calls{ 0 };
};

/// Client of the log service and of the list of instances. Lives on its loop's thread.
class LogLink
{
public:
  LogLink(DutyLoop& aLoop, EventRing& aEvents, const Settings& aSettings, LinkCounters& aCounters);

  /// Carries out reads and appends.
  void Handle(const Action& aAction);

  /// Starts to read the list of instances at an interval. Call on the loop's thread.
  void FollowList();

private:
  std::string StreamName(Stream aStream) const;
  void Read(const ReadLog& aRead);
  void Append(const AppendLog& aAppend);
  void ReadList();

  EventRing& m_events;
  const Settings& m_settings;
  LinkCounters& m_counters;
  HttpClient m_client;
  boost::asio::steady_timer m_listTimer;
};

/// Client of the workers' control interface. Lives on its loop's thread.
class WorkerLink
{
public:
  WorkerLink(DutyLoop& aLoop, EventRing& aEvents, LinkCounters& aCounters);

  /// Carries out calls. A call whose authority has lapsed is not sent.
  void Handle(const Action& aAction);

private:
  EventRing& m_events;
  LinkCounters& m_counters;
  HttpClient m_client;
};

/// Client of the peers' JSON-RPC interface. Lives on its loop's thread.
class PeerLink
{
public:
  PeerLink(DutyLoop& aLoop,
           const Settings& aSettings,
           const InstanceId& aSelf,
           LinkCounters& aCounters);

  /// Sends messages. Nothing is told of their fate.
  void Handle(const Action& aAction);

private:
  InstanceId m_self;
  std::map<std::string, std::string> m_addresses;
  Duration m_timeout;
  LinkCounters& m_counters;
  HttpClient m_client;
};

/// Path and JSON body of a call to a worker, as docs/INTERFACES.md describes. Thread-safe.
std::string WorkerPath(const WorkerBody& aBody);
std::string WorkerText(const WorkerCall& aCall);

/// Reads a call back from its path and body; for stand-ins. Thread-safe.
Expected<WorkerCall> ParseWorkerCall(std::string_view aPath, std::string_view aText);

} // namespace egretturn
