// A bounded queue between two duties; a full ring is reported to the writer and never blocks it.
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
class BoundedRing
{
public:
  explicit BoundedRing(size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  /// Appends \p aItem. Returns false, leaving the ring unchanged, when it is full or closed.
  bool TryPush(T aItem) { return Push(std::move(aItem), m_capacity); }

  /// Appends an item that must not be lost, such as a lease renewal's answer. Only a closed ring
  /// refuses it.
  bool PushReserved(T aItem) { return Push(std::move(aItem), SIZE_MAX); }

  /// Appends as many of \p aItems as there is room for, and clears it. Returns how many were
  /// dropped.
  size_t PushAll(std::vector<T>& aItems)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const size_t room = m_closed || m_items.size() >= m_capacity ? 0 : m_capacity - m_items.size();
    const size_t taken = std::min(room, aItems.size());
    const size_t dropped = aItems.size() - taken;
    for (size_t i = 0; i < taken; ++i) {
      m_items.push_back(std::move(aItems[i]));
    }
    aItems.clear();
    m_ready.notify_all();
    return dropped;
  }

  /// Moves all items out, waiting up to \p aWait for the first. Empty on timeout or when closed.
  std::vector<T> PopAll(Duration aWait)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_items.empty() && !m_closed) {
      m_waiting = true;
      m_ready.wait_for(lock, aWait, [this] { return !m_items.empty() || m_closed; });
      m_waiting = false;
    }
    std::vector<T> items;
    items.swap(m_items);
    return items;
  }

  /// Refuses later items and wakes the consumer.
  void Close()
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_closed = true;
    m_ready.notify_all();
  }

  /// Items held now.
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
      wake = m_waiting;
    }
    if (wake) {
      m_ready.notify_one();
    }
    return true;
  }

  const size_t m_capacity;
  mutable std::mutex m_mutex;
  std::condition_variable m_ready;
  std::vector<T> m_items;
  bool m_waiting = false;
  bool m_closed = false;
};

} // namespace egretturn
