// Settings of one daemon: its identity, the addresses on which it listens, and those of its peers
// and the platform.
#pragma once

#include "egretturn/Support/Error.h"
#include "egretturn/Support/Log.h"
#include "egretturn/Support/Time.h"

#include <string>
#include <string_view>
#include <vector>

namespace egretturn {

/// Identity and addresses of another instance.
struct PeerSettings
{
  std::string m_id;
  std::string m_zone;
  std::string m_region;
  std::string m_address;     ///< Address for JSON-RPC between instances.
  std::string m_httpAddress; ///< Address for forwarded requests.
};

/// Limits of the HTTP connections to callers.
struct HttpLimits
{
  size_t m_headerBytes = 16 * 1024;
  size_t m_bodyBytes = 1024 * 1024;
  size_t m_responseBytes = 8 * 1024 * 1024;
  Duration m_idle = std::chrono::seconds(30);
  Duration m_request = std::chrono::seconds(30); ///< From the first byte of a request to its last.
  size_t m_connections = 4096;
  /// What all connections of a server hold together in unfinished requests and unread responses.
  size_t m_heldBytes = 64 * 1024 * 1024;
};

/// Timing of the ownership and lease protocol. It must be the same for all instances of an
/// availability zone.
struct Timing
{
  Duration m_heartbeat = std::chrono::milliseconds(300);
  /// Silence after which a peer is suspected.
  Duration m_suspect = std::chrono::milliseconds(1200);
  Duration m_authority = std::chrono::milliseconds(1500);
  Duration m_messageDelay = std::chrono::milliseconds(500); ///< Maximum delay of a message.
  Duration m_taskLease = std::chrono::seconds(10);
  Duration m_workerPoll = std::chrono::milliseconds(500);
  /// Silence after which the leases of a worker are left to expire.
  Duration m_workerTimeout = std::chrono::seconds(2);
  Duration m_logPollInterval = std::chrono::milliseconds(50);
  Duration m_logTimeout = std::chrono::milliseconds(1000);
  Duration m_logRetention = std::chrono::seconds(3600);
  /// Time for the load balancer to see that the instance is not ready.
  Duration m_drainWait = std::chrono::milliseconds(1000);
};

/// Settings of one daemon.
struct Settings
{
  std::string m_id;
  std::string m_zone;
  std::string m_region;
  std::string m_listen;
  std::string m_peerListen;
  std::string m_logAddress;
  std::string m_directoryAddress; ///< Address of the instance directory.
  LogLevel m_logLevel = LogLevel::Info;
  HttpLimits m_limits;
  Timing m_timing;
  std::vector<PeerSettings> m_peers;
};

/// Parses settings from \p aText. Error messages name the text \p aFile. Thread-safe.
/// Errors: bad_input with file, line, key and remedy, all reported in one pass.
tl::expected<Settings, Errors> ParseSettings(std::string_view aText, std::string_view aFile);

} // namespace egretturn
