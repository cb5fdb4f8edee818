#include "egretturn/Daemon/DutyLoop.h"

#include <boost/asio/post.hpp>

namespace egretturn {

DutyLoop::DutyLoop(size_t aCapacity)
  : m_work(boost::asio::make_work_guard(m_io))
  , m_ring(aCapacity)
{
}

DutyLoop::~DutyLoop()
{
  Stop();
}

void
DutyLoop::Start(Handler aHandler)
{
  m_handler = std::move(aHandler);
  m_thread = std::thread([this] { m_io.run(); });
}

bool
DutyLoop::Submit(Action aAction)
{
  if (!m_ring.TryPush(std::move(aAction))) {
    return false;
  }
  if (!m_scheduled.exchange(true)) {
    boost::asio::post(m_io, [this] { Drain(); });
  }
  return true;
}

void
DutyLoop::Drain()
{
  m_scheduled = false; // before reading, so that a later push schedules again
  for (Action& action : m_ring.PopAll(Duration::zero())) {
    m_handler(std::move(action));
  }
}

void
DutyLoop::Stop()
{
  if (!m_thread.joinable()) {
    return;
  }
  boost::asio::post(m_io, [this] {
    Drain();
    m_io.stop();
  });
  m_thread.join();
}

} // namespace egretturn
