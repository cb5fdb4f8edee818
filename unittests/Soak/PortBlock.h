// Reserves a block of ports, as utils/cluster.sh does, so that concurrent runs don't use the same
// ones.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>

namespace egretturn::soak {

/// The reservation lasts as long as the object. Not thread-safe.
class PortBlock
{
public:
  /// Throws std::runtime_error if no block is free.
  PortBlock();
  ~PortBlock();
  PortBlock(const PortBlock&) = delete;
  PortBlock& operator=(const PortBlock&) = delete;

  /// Returns a port of the block that is free and was not taken before.
  uint16_t Take(boost::asio::io_context& aIo);

private:
  int m_lock = -1; ///< The locked file.
  uint16_t m_next = 0;
};

} // namespace egretturn::soak
