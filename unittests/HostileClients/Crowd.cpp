#include "Crowd.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <thread>

namespace egretturn::hostile {

using boost::asio::ip::tcp;

// A server that takes no byte for so long does not read.
static constexpr std::chrono::seconds kStalled{ 3 };
static constexpr std::chrono::milliseconds kPause{ 5 };
static constexpr size_t kBlockBytes = 64 * 1024;

Crowd::Crowd(uint16_t aPort, size_t aClients)
{
  for (size_t i = 0; i < aClients; ++i) {
    m_clients.emplace_back(m_io);
    Client& client = m_clients.back();
    boost::system::error_code error;
    client.m_socket.connect({ boost::asio::ip::address_v4::loopback(), aPort }, error);
    client.m_ended = error.failed();
    client.m_socket.non_blocking(true, error);
  }
}

bool
Crowd::SendPiece(Client& aClient, const Script& aScript, const std::string& aBlock)
{
  const bool starting = aClient.m_sent < aScript.m_start.size();
  const size_t start = aScript.m_start.size();
  const size_t offset = starting ? aClient.m_sent : (aClient.m_sent - start) % aBlock.size();
  const std::string& text = starting ? aScript.m_start : aBlock;
  const size_t count = std::min(text.size() - offset, aScript.m_bytes - aClient.m_sent);
  boost::system::error_code error;
  const size_t sent =
    aClient.m_socket.send(boost::asio::buffer(text.data() + offset, count), 0, error);
  aClient.m_sent += sent;
  m_sentBytes += sent;
  aClient.m_ended =
    (error && error != boost::asio::error::would_block && error != boost::asio::error::try_again) ||
    aClient.m_sent == aScript.m_bytes;
  return sent > 0;
}

void
Crowd::Send(const Script& aScript)
{
  if (aScript.m_bytes == 0) {
    return;
  }
  std::string block;
  while (!aScript.m_repeated.empty() && block.size() < kBlockBytes) {
    block += aScript.m_repeated;
  }
  std::chrono::steady_clock::time_point progressAt = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - progressAt < kStalled) {
    bool ended = true;
    bool progress = false;
    for (Client& client : m_clients) {
      if (!client.m_ended) {
        progress = SendPiece(client, aScript, block) || progress;
        ended = ended && client.m_ended;
      }
    }
    if (ended) {
      return;
    }
    if (progress) {
      progressAt = std::chrono::steady_clock::now();
    } else {
      std::this_thread::sleep_for(kPause);
    }
  }
}

} // namespace egretturn::hostile
