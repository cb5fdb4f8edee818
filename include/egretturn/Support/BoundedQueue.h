// A bounded queue between threads that reports to the producer when it is full and never blocks it.
#pragma once

#include "egretturn/Support/Time.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace egretturn {

/// Bounded multi-producer, single-consumer queue. All methods are thread-safe.
template<typename T>
class BoundedQueue
{
public:
  explicit BoundedQueue(size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  /// Appends \p aItem. Returns false and leaves the queue unchanged if it is full or closed.
  bool TryPush(T aItem) { return Push(std::move(aItem), m_capacity); }

  /// Appends an item that must not be lost, such as the response to a lease renewal, even if the
  /// queue is full. Returns false if it is closed.
  bool PushUnbounded(T aItem) { return Push(std::move(aItem), SIZE_MAX); }

  /// Appends as many of \p aItems as the capacity allows, and clears it. Returns how many were
  /// dropped.
  size_t PushAll(std::vector<T>& aItems)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const size_t free = m_closed || m_items.size() >= m_capacity ? 0 : m_capacity - m_items.size();
    const size_t accepted = std::min(free, aItems.size());
    const size_t dropped = aItems.size() - accepted;
    for (size_t i = 0; i < accepted; ++i) {
      m_items.push_back(std::move(aItems[i]));
    }
    aItems.clear();
    m_itemsAvailable.notify_all();
    return dropped;
  }

  /// Removes and returns all items, waiting up to \p aWait for the first one. Returns an empty
  /// vector on timeout, or if the queue is empty and closed.
  std::vector<T> PopAll(Duration aWait)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_items.empty() && !m_closed) {
      m_consumerWaiting = true;
      m_itemsAvailable.wait_for(lock, aWait, [this] { return !m_items.empty() || m_closed; });
      m_consumerWaiting = false;
    }
    std::vector<T> items;
    items.swap(m_items);
    return items;
  }

  /// Rejects later items and wakes the consumer. Queued items can still be popped.
  void Close()
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_closed = true;
    m_itemsAvailable.notify_all();
  }

  /// Returns the number of queued items.
  size_t Size() const
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_items.size();
  }

private:
  bool Push(T aItem, size_t aLimit)
  {
    bool wake = false;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      if (m_closed || m_items.size() >= aLimit) {
        return false;
      }
      m_items.push_back(std::move(aItem));
      wake = m_consumerWaiting;
    }
    if (wake) {
      m_itemsAvailable.notify_one();
    }
    return true;
  }

  const size_t m_capacity;
  mutable std::mutex m_mutex;
  std::condition_variable m_itemsAvailable;
  std::vector<T> m_items;
  bool m_consumerWaiting = false;
  bool m_closed = false;
};

} // namespace egretturn
