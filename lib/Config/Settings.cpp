#include "egretturn/Config/Settings.h"

#include "egretturn/Config/FieldReader.h"

#include <set>
#include <sstream>

namespace egretturn {

static constexpr int64_t kMaxBytes = 1 << 30;
static constexpr int64_t kMaxMs = 24 * 3600 * 1000;

static std::string
ReadAddress(FieldReader& aReader, std::string_view aKey)
{
  std::string address = aReader.String(aKey);
  const size_t colon = address.rfind(':');
  const bool validCharacters =
    address.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string::npos;
  if (!address.empty() &&
      (!validCharacters || colon == std::string::npos || colon + 1 == address.size())) {
    aReader.Reject(
      aKey, "'" + address + "' is not an address", "write an IP number and a port: 10.0.0.1:8000");
  }
  return address;
}

static Duration
ReadMillis(FieldReader& aReader, std::string_view aKey, Duration aDefault)
{
  return std::chrono::milliseconds(aReader.Integer(aKey, 1, kMaxMs, ToMillis(aDefault)));
}

static void
ReadLimits(const toml::table& aTable,
           const std::string& aFile,
           HttpLimits& aLimits,
           Errors& aErrors)
{
  FieldReader reader(aTable, aFile, true, aErrors);
  const auto limit = [&](std::string_view aKey, size_t aDefault) {
    return static_cast<size_t>(reader.Integer(aKey, 1, kMaxBytes, static_cast<int64_t>(aDefault)));
  };
  aLimits.m_headerBytes = limit("header_bytes", aLimits.m_headerBytes);
  aLimits.m_bodyBytes = limit("body_bytes", aLimits.m_bodyBytes);
  aLimits.m_responseBytes = limit("answer_bytes", aLimits.m_responseBytes);
  aLimits.m_idle = ReadMillis(reader, "idle_ms", aLimits.m_idle);
  aLimits.m_request = ReadMillis(reader, "request_ms", aLimits.m_request);
  aLimits.m_connections = limit("connections", aLimits.m_connections);
  aLimits.m_heldBytes = limit("held_bytes", aLimits.m_heldBytes);
  reader.RejectUnknown();
}

static void
CheckTiming(FieldReader& aReader, const Timing& aTiming)
{
  if (aTiming.m_suspect < 2 * aTiming.m_heartbeat) {
    aReader.Reject("suspect_ms",
                   "is less than two heartbeats",
                   "raise suspect_ms or lower heartbeat_ms, so that one lost message does not look "
                   "like a failure");
  }
  const Duration takeover =
    aTiming.m_suspect + aTiming.m_authority + aTiming.m_messageDelay + aTiming.m_workerPoll;
  if (aTiming.m_taskLease <= takeover) {
    aReader.Reject("task_lease_ms",
                   "is not longer than a takeover (" + std::to_string(ToMillis(takeover)) + " ms)",
                   "raise it, so that running tasks survive the failure of their owner");
  }
  if (aTiming.m_authority <= 2 * aTiming.m_logPollInterval) {
    aReader.Reject(
      "authority_ms", "is not longer than two log reads", "raise it above twice log_read_ms");
  }
}

static void
ReadTiming(const toml::table& aTable, const std::string& aFile, Timing& aTiming, Errors& aErrors)
{
  FieldReader reader(aTable, aFile, true, aErrors);
  aTiming.m_heartbeat = ReadMillis(reader, "heartbeat_ms", aTiming.m_heartbeat);
  aTiming.m_suspect = ReadMillis(reader, "suspect_ms", aTiming.m_suspect);
  aTiming.m_authority = ReadMillis(reader, "authority_ms", aTiming.m_authority);
  aTiming.m_messageDelay = ReadMillis(reader, "message_delay_ms", aTiming.m_messageDelay);
  aTiming.m_taskLease = ReadMillis(reader, "task_lease_ms", aTiming.m_taskLease);
  aTiming.m_workerPoll = ReadMillis(reader, "worker_poll_ms", aTiming.m_workerPoll);
  aTiming.m_workerTimeout = ReadMillis(reader, "worker_silent_ms", aTiming.m_workerTimeout);
  aTiming.m_logPollInterval = ReadMillis(reader, "log_read_ms", aTiming.m_logPollInterval);
  aTiming.m_logTimeout = ReadMillis(reader, "log_timeout_ms", aTiming.m_logTimeout);
  aTiming.m_logRetention = ReadMillis(reader, "log_retention_ms", aTiming.m_logRetention);
  aTiming.m_drainWait = ReadMillis(reader, "drain_wait_ms", aTiming.m_drainWait);
  CheckTiming(reader, aTiming);
  reader.RejectUnknown();
}

static void
ReadPeers(const toml::array& aArray, const std::string& aFile, Settings& aSettings, Errors& aErrors)
{
  std::set<std::string> ids{ aSettings.m_id };
  for (const toml::node& node : aArray) {
    if (!node.is_table()) {
      aErrors.push_back(Error{ ErrorKind::BadInput,
                               aFile + ": peers: contains an item that is not a table",
                               "use [[peers]]" });
      continue;
    }
    FieldReader reader(*node.as_table(), aFile, true, aErrors);
    PeerSettings peer;
    peer.m_id = reader.String("id");
    peer.m_zone = reader.String("zone");
    peer.m_region = reader.String("region");
    peer.m_address = ReadAddress(reader, "address");
    peer.m_httpAddress = ReadAddress(reader, "http_address");
    reader.RejectUnknown();
    if (!ids.insert(peer.m_id).second) {
      reader.Reject("id", "'" + peer.m_id + "' is used twice", "give each instance its own id");
    }
    aSettings.m_peers.push_back(std::move(peer));
  }
}

tl::expected<Settings, Errors>
ParseSettings(std::string_view aText, std::string_view aFile)
{
  Errors errors;
  const std::string file(aFile);
  const toml::parse_result parsed = toml::parse(aText, aFile);
  if (!parsed) {
    std::ostringstream message;
    message << file << ':' << parsed.error().source().begin.line << ": "
            << parsed.error().description();
    errors.push_back(Error{ ErrorKind::BadInput, message.str(), "correct the TOML syntax" });
    return tl::unexpected<Errors>(std::move(errors));
  }
  Settings settings;
  FieldReader reader(parsed.table(), file, true, errors);
  settings.m_id = reader.String("id");
  settings.m_zone = reader.String("zone");
  settings.m_region = reader.String("region");
  settings.m_listen = ReadAddress(reader, "listen");
  settings.m_peerListen = ReadAddress(reader, "peer_listen");
  settings.m_logAddress = ReadAddress(reader, "log_address");
  settings.m_directoryAddress = ReadAddress(reader, "list_address");
  const Expected<LogLevel> level = ParseLogLevel(reader.String("log_level", "info"));
  if (level) {
    settings.m_logLevel = *level;
  } else {
    reader.Reject("log_level", level.error().m_message, level.error().m_remedy);
  }
  if (!settings.m_listen.empty() && settings.m_listen == settings.m_peerListen) {
    reader.Reject("peer_listen", "is the same as listen", "use a separate port for the peers");
  }
  if (const toml::table* limits = reader.Table("limits")) {
    ReadLimits(*limits, file, settings.m_limits, errors);
  }
  if (const toml::table* timing = reader.Table("timing")) {
    ReadTiming(*timing, file, settings.m_timing, errors);
  }
  if (const toml::array* peers = reader.Array("peers")) {
    ReadPeers(*peers, file, settings, errors);
  }
  reader.RejectUnknown();
  if (!errors.empty()) {
    return tl::unexpected<Errors>(std::move(errors));
  }
  return settings;
}

} // namespace egretturn
