// Decides which connections of a server are closed when they hold too many bytes together or are
// too many.
#pragma once

#include "egretturn/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace egretturn {

/// What a connection does at present.
enum class ConnectionState
{
  Receiving, ///< It has not sent its first request completely, or a part of a later one.
  Idle,      ///< It has been served and has sent nothing since.
  Serving,   ///< Its request is with the handler. Never closed.
  Sending,   ///< Its response is being written.
};

/// Counts what the connections of one server hold. Closes nothing itself. Not thread-safe.
class ConnectionBudget
{
public:
  using Id = uint64_t;

  /// \p aMaxBytes limits what all connections hold together, \p aMaxConnections their number.
  ConnectionBudget(size_t aMaxBytes, size_t aMaxConnections);

  /// Adds a connection that is receiving.
  Id Open(Instant aNow);

  /// Removes a connection. Has no effect if it was removed before.
  void Close(Id aId);

  /// Notes that a connection is in \p aState since \p aNow. \pre It is open.
  void SetState(Id aId, ConnectionState aState, Instant aNow);

  /// Notes the number of bytes that a connection holds. \pre It is open.
  void SetHeld(Id aId, size_t aBytes);

  /// Returns a connection to close because all hold too many bytes, if there is one. It is one that
  /// holds much for long, since an ordinary request is small and soon complete.
  std::optional<Id> FindToFreeBytes(Instant aNow) const;

  /// Returns whether the connections hold more than they may.
  bool IsOverBytes() const { return m_heldBytes > m_maxBytes; }

  /// Returns whether another connection exceeds the limit.
  bool IsFull() const { return m_connections.size() >= m_maxConnections; }

  /// Returns a connection to close so that another can be accepted, if there is one: the one that
  /// has been receiving longest, else idle longest, else sending for long without an end.
  std::optional<Id> FindToFreeConnection(Instant aNow) const;

  size_t HeldBytes() const { return m_heldBytes; }
  size_t Connections() const { return m_connections.size(); }

private:
  struct Connection
  {
    ConnectionState m_state = ConnectionState::Receiving;
    Instant m_since; ///< Of its state.
    size_t m_heldBytes = 0;
  };

  std::optional<Id> FindOldest(ConnectionState aState) const;
  std::optional<Id> FindLargest(ConnectionState aState, Instant aNow) const;

  size_t m_maxBytes;
  size_t m_maxConnections;
  std::map<Id, Connection> m_connections;
  size_t m_heldBytes = 0;
  Id m_lastId = 0;
};

} // namespace egretturn
