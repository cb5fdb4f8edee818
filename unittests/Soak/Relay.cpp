#include "Relay.h"

#include <boost/asio/write.hpp>
#include <functional>

namespace egretturn::soak {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

static constexpr size_t kChunkBytes = 16 * 1024;

static tcp::endpoint
Loopback(uint16_t aPort)
{
  return { boost::asio::ip::address_v4::loopback(), aPort };
}

/// One connection and its continuation. Pending operations keep it alive.
class Relay::Pipe : public std::enable_shared_from_this<Pipe>
{
public:
  Pipe(tcp::socket aCaller, tcp::socket aCallee, const bool& aCut)
    : m_caller(std::move(aCaller))
    , m_callee(std::move(aCallee))
    , m_cut(aCut)
  {
  }

  void Open(const tcp::endpoint& aTo)
  {
    m_callee.async_connect(aTo, [self = shared_from_this()](ErrorCode aError) {
      if (aError) {
        self->Close();
        return;
      }
      self->Forward(self->m_caller, self->m_callee, self->m_fromCaller);
      self->Forward(self->m_callee, self->m_caller, self->m_fromCallee);
    });
  }

  /// Goes on with what was held up.
  void Resume()
  {
    for (const std::function<void()>& held : std::exchange(m_held, {})) {
      held();
    }
  }

private:
  using Buffer = std::vector<char>;

  void Forward(tcp::socket& aFrom, tcp::socket& aTo, Buffer& aBuffer)
  {
    aBuffer.resize(kChunkBytes);
    aFrom.async_read_some(
      boost::asio::buffer(aBuffer),
      [self = shared_from_this(), &aFrom, &aTo, &aBuffer](ErrorCode aError, size_t aBytes) {
        const std::function<void()> next = [self, &aFrom, &aTo, &aBuffer, aError, aBytes] {
          self->Pass(aFrom, aTo, aBuffer, aError, aBytes);
        };
        if (self->m_cut) {
          self->m_held.push_back(next);
        } else {
          next();
        }
      });
  }

  void Pass(tcp::socket& aFrom, tcp::socket& aTo, Buffer& aBuffer, ErrorCode aError, size_t aBytes)
  {
    if (aError) {
      Close();
      return;
    }
    boost::asio::async_write(
      aTo,
      boost::asio::buffer(aBuffer.data(), aBytes),
      [self = shared_from_this(), &aFrom, &aTo, &aBuffer](ErrorCode aWriteError, size_t) {
        if (aWriteError) {
          self->Close();
        } else {
          self->Forward(aFrom, aTo, aBuffer);
        }
      });
  }

  void Close()
  {
    ErrorCode ignored;
    m_caller.close(ignored);
    m_callee.close(ignored);
  }

  tcp::socket m_caller;
  tcp::socket m_callee;
  const bool& m_cut;
  Buffer m_fromCaller;
  Buffer m_fromCallee;
  std::vector<std::function<void()>> m_held;
};

Relay::Relay(boost::asio::io_context& aIo, uint16_t aFrom, uint16_t aTo)
  : m_io(aIo)
  , m_acceptor(aIo, Loopback(aFrom))
  , m_to(Loopback(aTo))
{
  Accept();
}

void
Relay::SetCut(bool aCut)
{
  m_cut = aCut;
  if (aCut) {
    return;
  }
  for (const std::weak_ptr<Pipe>& weak : std::exchange(m_pipes, {})) {
    if (const std::shared_ptr<Pipe> pipe = weak.lock()) {
      m_pipes.push_back(pipe);
      pipe->Resume();
    }
  }
}

void
Relay::Accept()
{
  m_acceptor.async_accept([this](ErrorCode aError, tcp::socket aSocket) {
    if (!aError) {
      const std::shared_ptr<Pipe> pipe =
        std::make_shared<Pipe>(std::move(aSocket), tcp::socket(m_io), m_cut);
      m_pipes.push_back(pipe);
      pipe->Open(m_to);
    }
    Accept();
  });
}

} // namespace egretturn::soak
