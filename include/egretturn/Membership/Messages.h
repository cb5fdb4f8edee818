// Messages between instances. The peer transport carries them with the sender's identity.
#pragma once

#include "egretturn/Journal/Records.h"

#include <string>
#include <variant>
#include <vector>

namespace egretturn {

/// Free capacity of an instance for requests of one service.
struct ServiceCapacity
{
  std::string m_service;
  uint32_t m_freeSlots = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("service", aSelf.m_service);
    aVisit("free_slots", aSelf.m_freeSlots);
  }
};

/// Free capacity for batch work in a rack that the sender owns.
struct RackCapacity
{
  std::string m_rack;
  int64_t m_freeMilliCores = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("rack", aSelf.m_rack);
    aVisit("free_millicores", aSelf.m_freeMilliCores);
  }
};

/// Sent at a fixed interval. The echo of a heartbeat of the receiver is also the sender's consent:
/// no claim of the sender takes effect against the receiver until the authority time after that
/// heartbeat was sent.
struct Heartbeat
{
  uint64_t m_sequence = 0;
  uint64_t m_echo = 0;            ///< Highest sequence number received from the receiver.
  uint64_t m_echoIncarnation = 0; ///< Incarnation of the receiver that sent it.
  bool m_consents = true;         ///< False once a claim against the receiver was read back.
  bool m_logCurrent = false;      ///< The sender has recently read the log.
  bool m_ready = false;
  bool m_shuttingDown = false;
  uint64_t m_configVersion = 0;
  Offset m_zoneOffset = 0;
  std::vector<ServiceCapacity> m_services;
  std::vector<RackCapacity> m_racks;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("sequence", aSelf.m_sequence);
    aVisit("echo", aSelf.m_echo);
    aVisit("echo_incarnation", aSelf.m_echoIncarnation);
    aVisit("consents", aSelf.m_consents);
    aVisit("log_fresh", aSelf.m_logCurrent);
    aVisit("ready", aSelf.m_ready);
    aVisit("leaving", aSelf.m_shuttingDown);
    aVisit("config_version", aSelf.m_configVersion);
    aVisit("zone_offset", aSelf.m_zoneOffset);
    aVisit("services", aSelf.m_services);
    aVisit("racks", aSelf.m_racks);
  }
};

/// Requests the state of a stream. A starting instance asks its peers before it reads the log.
struct StateRequest
{
  Stream m_stream = Stream::Config;
  Offset m_applied = 0; ///< Offset applied by the sender; only a newer state is sent.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("stream", aSelf.m_stream);
    aVisit("applied", aSelf.m_applied);
  }
};

/// The state of a stream after all records below m_covers, in base64.
struct StateReply
{
  Stream m_stream = Stream::Config;
  Offset m_covers = 0;
  std::string m_state;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("stream", aSelf.m_stream);
    aVisit("covers", aSelf.m_covers);
    aVisit("state", aSelf.m_state);
  }
};

/// The sender has stopped making decisions for the rack and will not resume this epoch.
struct HandOver
{
  std::string m_rack;
  Epoch m_epoch = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("rack", aSelf.m_rack);
    aVisit("epoch", aSelf.m_epoch);
  }
};

/// The sender exits: it need not be waited for, and its consent is not required.
struct Goodbye
{
  uint32_t m_reason = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("reason", aSelf.m_reason);
  }
};

using PeerBody = std::variant<Heartbeat, StateRequest, StateReply, HandOver, Goodbye>;

/// A received message with the identity of its sender.
struct PeerMessage
{
  InstanceId m_from;
  PeerBody m_body;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("from", aSelf.m_from);
    aVisit("body", aSelf.m_body);
  }
};

} // namespace egretturn
