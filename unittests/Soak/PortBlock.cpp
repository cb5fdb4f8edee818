#include "PortBlock.h"

#include <boost/asio/ip/tcp.hpp>
#include <fcntl.h>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <sys/file.h>
#include <unistd.h>

namespace egretturn::soak {

// Below the blocks of utils/cluster.sh, and below the ports of outgoing connections.
static constexpr uint16_t kFirstBlock = 10000;
static constexpr uint16_t kLastBlock = 17000;
static constexpr uint16_t kBlockPorts = 1000;

PortBlock::PortBlock()
{
  const std::string folder = std::filesystem::temp_directory_path().string();
  for (uint16_t base = kFirstBlock; base <= kLastBlock; base += kBlockPorts) {
    const std::string path = folder + "/egretturn-ports-" + std::to_string(base) + ".lock";
    m_lock = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (m_lock >= 0 && flock(m_lock, LOCK_EX | LOCK_NB) == 0) {
      m_next = base;
      return;
    }
    close(m_lock);
  }
  throw std::runtime_error("no block of ports is free; stop another run of the tests");
}

PortBlock::~PortBlock()
{
  close(m_lock);
}

uint16_t
PortBlock::Take(boost::asio::io_context& aIo)
{
  using boost::asio::ip::tcp;
  while (true) {
    const uint16_t port = m_next++;
    tcp::acceptor acceptor(aIo, tcp::v4());
    boost::system::error_code error;
    acceptor.bind({ boost::asio::ip::address_v4::loopback(), port }, error);
    if (!error) {
      return port;
    }
  }
}

} // namespace egretturn::soak
