#include "egretturn/Http/ConnectionBudget.h"

#include <algorithm>
#include <cassert>

namespace egretturn {

// A response that its reader takes is written in less time.
static constexpr Duration kStalledSend = std::chrono::seconds(2);

ConnectionBudget::ConnectionBudget(size_t aMaxBytes, size_t aMaxConnections)
  : m_maxBytes(aMaxBytes)
  , m_maxConnections(aMaxConnections)
{
}

ConnectionBudget::Id
ConnectionBudget::Open(Instant aNow)
{
  m_connections[++m_lastId].m_since = aNow;
  return m_lastId;
}

void
ConnectionBudget::Close(Id aId)
{
  const std::map<Id, Connection>::const_iterator it = m_connections.find(aId);
  if (it != m_connections.end()) {
    m_heldBytes -= it->second.m_heldBytes;
    m_connections.erase(it);
  }
}

void
ConnectionBudget::SetState(Id aId, ConnectionState aState, Instant aNow)
{
  const std::map<Id, Connection>::iterator it = m_connections.find(aId);
  assert(it != m_connections.end());
  it->second.m_state = aState;
  it->second.m_since = aNow;
}

void
ConnectionBudget::SetHeld(Id aId, size_t aBytes)
{
  const std::map<Id, Connection>::iterator it = m_connections.find(aId);
  assert(it != m_connections.end());
  m_heldBytes += aBytes - it->second.m_heldBytes;
  it->second.m_heldBytes = aBytes;
}

std::optional<ConnectionBudget::Id>
ConnectionBudget::FindLargest(ConnectionState aState, Instant aNow) const
{
  std::optional<Id> found;
  double largest = 0;
  for (const std::pair<const Id, Connection>& entry : m_connections) {
    const Connection& connection = entry.second;
    const double age = static_cast<double>((aNow - connection.m_since).count()) + 1;
    const double cost = static_cast<double>(connection.m_heldBytes) * std::max(age, 1.0);
    if (connection.m_state == aState && cost > largest) {
      largest = cost;
      found = entry.first;
    }
  }
  return found;
}

std::optional<ConnectionBudget::Id>
ConnectionBudget::FindOldest(ConnectionState aState) const
{
  std::optional<Id> found;
  Instant oldest = Instant::max();
  for (const std::pair<const Id, Connection>& entry : m_connections) {
    const Connection& connection = entry.second;
    if (connection.m_state == aState && connection.m_since < oldest) {
      oldest = connection.m_since;
      found = entry.first;
    }
  }
  return found;
}

std::optional<ConnectionBudget::Id>
ConnectionBudget::FindToFreeBytes(Instant aNow) const
{
  if (!IsOverBytes()) {
    return std::nullopt;
  }
  const std::optional<Id> receiving = FindLargest(ConnectionState::Receiving, aNow);
  return receiving ? receiving : FindLargest(ConnectionState::Sending, aNow);
}

std::optional<ConnectionBudget::Id>
ConnectionBudget::FindToFreeConnection(Instant aNow) const
{
  for (const ConnectionState state : { ConnectionState::Receiving, ConnectionState::Idle }) {
    if (const std::optional<Id> found = FindOldest(state)) {
      return found;
    }
  }
  const std::optional<Id> sending = FindOldest(ConnectionState::Sending);
  const bool stalled = sending && aNow - m_connections.at(*sending).m_since >= kStalledSend;
  return stalled ? sending : std::nullopt;
}

} // namespace egretturn
