// The links between the instances: a proxy for each pair and direction, which can be cut.
#pragma once

#include "Net.h"

#include <map>
#include <vector>

namespace egretturn::review {

/// Instances learn each other's addresses from the store and from each other. What passes by is
/// changed, so that each one knows the others by its own proxies only. Not thread-safe.
class Relays
{
public:
  Relays(asio::io_context& aIo, std::vector<uint16_t> aPorts);

  /// Returns \p aText with the addresses as \p aReader is to see them, or their own without it.
  std::string Translate(std::string aText, std::optional<size_t> aReader) const;

  /// Holds up all bytes between the instance and all others, or lets them pass again.
  void SetCut(size_t aInstance, bool aCut) { m_cut[aInstance] = aCut; }

private:
  using SocketPtr = std::shared_ptr<Socket>;

  Task<void> Accept(size_t aFrom, size_t aTo);
  Task<void> Connect(size_t aFrom, size_t aTo, SocketPtr aIncoming);
  Task<void> Pass(SocketPtr aSource, SocketPtr aTarget, size_t aReader, size_t aWriter);

  asio::io_context& m_io;
  std::vector<uint16_t> m_ports;                   ///< Of the instances themselves.
  std::vector<std::vector<uint16_t>> m_relayPorts; ///< By the caller and the called one.
  std::map<std::string, size_t> m_instanceOf;      ///< By address.
  std::vector<bool> m_cut;
};

} // namespace egretturn::review
