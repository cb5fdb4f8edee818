// A thread with an event loop that executes actions from a bounded queue.
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

/// The events for the decision thread, pushed by the event loop threads.
using EventQueue = BoundedQueue<Event>;

/// Runs an io_context on a thread of its own and passes submitted actions to a handler there.
/// SubmitAll() is thread-safe.
class EventLoopThread
{
public:
  using Handler = std::function<void(Action)>;

  explicit EventLoopThread(size_t aCapacity);
  ~EventLoopThread();
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  /// Starts the thread. \pre Has not been called before.
  void Start(Handler aHandler);

  /// Queues all of \p aActions in order and clears it. Returns how many were dropped because the
  /// queue was full.
  size_t SubmitAll(std::vector<Action>& aActions);

  /// Handles the actions that are queued, then stops and joins the thread.
  void Stop();

  /// Returns the io_context that the thread runs.
  boost::asio::io_context& Io() { return m_io; }

private:
  void Drain();

  boost::asio::io_context m_io{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
  BoundedQueue<Action> m_queue;
  std::atomic<bool> m_scheduled{ false };
  Handler m_handler;
  std::thread m_thread;
};

} // namespace egretturn
