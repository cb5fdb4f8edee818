#include "egretturn/Daemon/EventLoopThread.h"

#include <boost/asio/post.hpp>

namespace egretturn {

EventLoopThread::EventLoopThread(size_t aCapacity)
  : m_workGuard(boost::asio::make_work_guard(m_io))
  , m_queue(aCapacity)
{
}

EventLoopThread::~EventLoopThread()
{
  Stop();
}

void
EventLoopThread::Start(Handler aHandler)
{
  m_handler = std::move(aHandler);
  m_thread = std::thread([this] { m_io.run(); });
}

size_t
EventLoopThread::SubmitAll(std::vector<Action>& aActions)
{
  if (aActions.empty()) {
    return 0;
  }
  const size_t dropped = m_queue.PushAll(aActions);
  if (!m_scheduled.exchange(true)) {
    boost::asio::post(m_io, [this] { Drain(); });
  }
  return dropped;
}

void
EventLoopThread::Drain()
{
  m_scheduled = false; // before popping, so that a later push schedules Drain() again
  for (Action& action : m_queue.PopAll(Duration::zero())) {
    m_handler(std::move(action));
  }
}

void
EventLoopThread::Stop()
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
