// The settings of one daemon: who it is, where it listens, and how it reaches peers and platform.
#pragma once

#include "egretturn/Support/Error.h"
#include "egretturn/Support/Log.h"
#include "egretturn/Support/Time.h"

#include <string>
#include <string_view>
#include <vector>

namespace egretturn {

/// Another instance of the system, as the settings name it.
struct PeerSettings
{
  std::string m_id;
  std::string m_zone;
  std::string m_region;
  std::string m_address;     ///< For JSON-RPC between instances.
  std::string m_httpAddress; ///< For forwarded requests.
};

/// Limits towards callers.
struct HttpLimits
{
  size_t m_headerBytes = 16 * 1024;
  size_t m_bodyBytes = 1024 * 1024;
  size_t m_responseBytes = 8 * 1024 * 1024;
  Duration m_idle = std::chrono::seconds(30);
  size_t m_connections = 4096;
};

/// Times of the ownership and lease protocol. The same in all instances of an availability zone.
struct Timing
{
  Duration m_heartbeat = std::chrono::milliseconds(300);
  Duration m_suspect = std::chrono::milliseconds(1200); ///< Silence after which a peer is suspect.
  Duration m_authority = std::chrono::milliseconds(1500);
  Duration m_messageDelay = std::chrono::milliseconds(500); ///< Longest delay of a message.
  Duration m_taskLease = std::chrono::seconds(10);
  Duration m_workerPoll = std::chrono::milliseconds(500);
  Duration m_workerTimeout =
    std::chrono::seconds(2); ///< Silence after which leases are left to lapse.
  Duration m_logPollInterval = std::chrono::milliseconds(50);
  Duration m_logTimeout = std::chrono::milliseconds(1000);
  Duration m_logRetention = std::chrono::seconds(3600);
  Duration m_drainWait = std::chrono::milliseconds(1000); ///< For the balancer to see unready.
};

struct Settings
{
  std::string m_id;
  std::string m_zone;
  std::string m_region;
  std::string m_listen;
  std::string m_peerListen;
  std::string m_logAddress;
  std::string m_directoryAddress; ///< Of the list of instances.
  LogLevel m_logLevel = LogLevel::Info;
  HttpLimits m_limits;
  Timing m_timing;
  std::vector<PeerSettings> m_peers;
};

/// Reads settings from \p aText; \p aFile names it in errors. Thread-safe.
/// Errors: bad_input with file, line, key and remedy, all found in one pass.
tl::expected<Settings, Errors> ParseSettings(std::string_view aText, std::string_view aFile);

} // namespace egretturn
