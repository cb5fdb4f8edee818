// Clients that keep to none of the limits: raw connections that send what a test tells them and
// read nothing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

namespace egretturn::hostile {

/// What each client of a crowd sends: first \p m_start, then \p m_repeated until \p m_bytes are
/// sent in all.
struct Script
{
  std::string m_start;
  std::string m_repeated;
  size_t m_bytes = 0;
};

/// The connections of one crowd. They stay open as long as the object. Not thread-safe.
class Crowd
{
public:
  /// Connects \p aClients to \p aPort of this machine.
  Crowd(uint16_t aPort, size_t aClients);

  /// Lets all clients send in turn, until each has sent its bytes, was refused, or is no longer
  /// read from.
  void Send(const Script& aScript);

  /// Returns the number of bytes that the kernel has taken from all clients.
  uint64_t SentBytes() const { return m_sentBytes; }

private:
  struct Client
  {
    explicit Client(boost::asio::io_context& aIo)
      : m_socket(aIo)
    {
    }

    boost::asio::ip::tcp::socket m_socket;
    size_t m_sent = 0;
    bool m_ended = false;
  };

  /// Sends one piece. Returns whether the kernel took a byte of it.
  bool SendPiece(Client& aClient, const Script& aScript, const std::string& aBlock);

  boost::asio::io_context m_io;
  std::vector<Client> m_clients;
  uint64_t m_sentBytes = 0;
};

} // namespace egretturn::hostile
