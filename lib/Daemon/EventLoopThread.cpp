#include "egretturn/Daemon/EventLoopThread.h"

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

size_t
DutyLoop::SubmitAll(std::vector<Action>& aActions)
{
  if (aActions.empty()) {
    return 0;
  }
  const size_t dropped = m_ring.PushAll(aActions);
  if (!m_scheduled.exchange(true)) {
    boost::asio::post(m_io, [this] { Drain(); });
  }
  return dropped;
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
