// A thread with an event loop for one duty, fed with actions through a bounded ring.
#pragma once

#include "egretturn/Core/Events.h"
#include "egretturn/Support/BoundedQueue.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <thread>
#include <vector>

namespace egretturn {

/// Where the duties put events for the decision thread.
using EventRing = BoundedRing<Event>;

/// Submit() is thread-safe; the handler runs on the loop's thread.
class DutyLoop
{
public:
  using Handler = std::function<void(Action)>;

  explicit DutyLoop(size_t aCapacity);
  ~DutyLoop();
  DutyLoop(const DutyLoop&) = delete;
  DutyLoop& operator=(const DutyLoop&) = delete;

  /// Starts the thread. \pre Called once.
  void Start(Handler aHandler);

  /// Hands over all of \p aActions at once and clears it. Returns how many were dropped.
  size_t SubmitAll(std::vector<Action>& aActions);

  /// Handles what was submitted, then ends the thread.
  void Stop();

  boost::asio::io_context& Io() { return m_io; }

private:
  void Drain();

  boost::asio::io_context m_io{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
  BoundedRing<Action> m_ring;
  std::atomic<bool> m_scheduled{ false };
  Handler m_handler;
  std::thread m_thread;
};

} // namespace egretturn
