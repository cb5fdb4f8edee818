// Relays the connections of one instance to another, and can be cut like a network link.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace egretturn::soak {

/// While it is cut, bytes are held up and connections neither open nor close; afterwards they go
/// on. Not thread-safe: runs on the thread of the io_context.
class Relay
{
public:
  /// \pre The port \p aFrom is free.
  Relay(boost::asio::io_context& aIo, uint16_t aFrom, uint16_t aTo);

  void SetCut(bool aCut);

private:
  class Pipe;

  void Accept();

  boost::asio::io_context& m_io;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::ip::tcp::endpoint m_to;
  bool m_cut = false;
  std::vector<std::weak_ptr<Pipe>> m_pipes;
};

} // namespace egretturn::soak
