#include "Relays.h"

namespace egretturn::review {

static constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
static constexpr Millis kCutCheckInterval{ 20 };
static constexpr size_t kBufferBytes = 64 * 1024;
static constexpr std::string_view kAddressStart = "127.0.0.1:";
static constexpr size_t kPortDigits = 5; // of all ports, so that lengths stay as they are

static std::string
AddressOf(uint16_t aPort)
{
  return std::string(kAddressStart) + std::to_string(aPort);
}

Relays::Relays(asio::io_context& aIo, std::vector<uint16_t> aPorts)
  : m_io(aIo)
  , m_ports(std::move(aPorts))
  , m_relayPorts(m_ports.size(), std::vector<uint16_t>(m_ports.size()))
  , m_cut(m_ports.size())
{
  for (size_t from = 0; from < m_ports.size(); ++from) {
    m_instanceOf[AddressOf(m_ports[from])] = from;
    for (size_t to = 0; to < m_ports.size(); ++to) {
      if (from != to) {
        m_relayPorts[from][to] = FreePort();
        m_instanceOf[AddressOf(m_relayPorts[from][to])] = to;
        asio::co_spawn(m_io, Accept(from, to), asio::detached);
      }
    }
  }
}

std::string
Relays::Translate(std::string aText, std::optional<size_t> aReader) const
{
  const size_t length = kAddressStart.size() + kPortDigits;
  for (size_t at = aText.find(kAddressStart); at != std::string::npos;
       at = aText.find(kAddressStart, at + 1)) {
    const auto it = m_instanceOf.find(aText.substr(at, length));
    if (it != m_instanceOf.end()) {
      const bool own = !aReader || *aReader == it->second;
      const uint16_t port = own ? m_ports[it->second] : m_relayPorts[*aReader][it->second];
      aText.replace(at, length, AddressOf(port));
    }
  }
  return aText;
}

Task<void>
Relays::Accept(size_t aFrom, size_t aTo)
{
  asio::ip::tcp::acceptor acceptor(m_io,
                                   { asio::ip::address_v4::loopback(), m_relayPorts[aFrom][aTo] });
  while (true) {
    auto [error, accepted] = co_await acceptor.async_accept(kToTuple);
    if (!error) {
      asio::co_spawn(
        m_io, Connect(aFrom, aTo, std::make_shared<Socket>(std::move(accepted))), asio::detached);
    }
  }
}

Task<void>
Relays::Connect(size_t aFrom, size_t aTo, SocketPtr aIncoming)
{
  const SocketPtr outgoing = std::make_shared<Socket>(m_io);
  const auto [error] =
    co_await outgoing->async_connect({ asio::ip::address_v4::loopback(), m_ports[aTo] }, kToTuple);
  if (error) {
    aIncoming->close();
    co_return;
  }
  asio::co_spawn(m_io, Pass(aIncoming, outgoing, aTo, aFrom), asio::detached);
  co_await Pass(outgoing, aIncoming, aFrom, aTo);
}

Task<void>
Relays::Pass(SocketPtr aSource, SocketPtr aTarget, size_t aReader, size_t aWriter)
{
  std::vector<char> buffer(kBufferBytes);
  while (true) {
    const auto [error, bytes] = co_await aSource->async_read_some(asio::buffer(buffer), kToTuple);
    while (m_cut[aReader] || m_cut[aWriter]) {
      co_await Sleep(kCutCheckInterval);
    }
    if (error) {
      break;
    }
    const std::string text = Translate(std::string(buffer.data(), bytes), aReader);
    const auto [writeError, written] =
      co_await asio::async_write(*aTarget, asio::buffer(text), kToTuple);
    if (writeError) {
      break;
    }
  }
  boost::system::error_code ignored;
  aTarget->shutdown(Socket::shutdown_send, ignored);
}

} // namespace egretturn::review
