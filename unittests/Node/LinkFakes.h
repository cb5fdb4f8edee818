// Stand-ins for what a link needs: time and messages under the control of a test, and workers that
// record their calls.
#pragma once

#include "egretturn/Node/LinkPort.h"
#include "egretturn/Node/Ports.h"

#include <map>

namespace egretturn::nodetest {

/// Time that the test advances, and messages that the test replies to.
class FakeLinkPort : public LinkPort
{
public:
  struct SentOrders
  {
    std::string m_address;
    LinkOrders m_orders;
    LinkOrdersCallback m_done;
  };

  struct SentResults
  {
    std::string m_address;
    LinkResults m_results;
    LinkResultsCallback m_done;
  };

  Instant Now() override { return m_now; }

  void After(Duration aDelay, std::function<void()> aCallback) override
  {
    m_timers.emplace(m_now + aDelay, std::move(aCallback));
  }

  void SendOrders(const std::string& aAddress,
                  const LinkOrders& aOrders,
                  LinkOrdersCallback aDone) override
  {
    m_orders.push_back({ aAddress, aOrders, std::move(aDone) });
  }

  void SendResults(const std::string& aAddress,
                   const LinkResults& aResults,
                   LinkResultsCallback aDone) override
  {
    m_results.push_back({ aAddress, aResults, std::move(aDone) });
  }

  /// Runs the timers that are due within \p aTime.
  void Advance(Duration aTime)
  {
    const Instant end = m_now + aTime;
    while (!m_timers.empty() && m_timers.begin()->first <= end) {
      m_now = std::max(m_now, m_timers.begin()->first);
      const std::function<void()> callback = std::move(m_timers.begin()->second);
      m_timers.erase(m_timers.begin());
      callback();
    }
    m_now = end;
  }

  /// Lets time pass in which the process does nothing.
  void Suspend(Duration aTime) { m_now += aTime; }

  std::vector<SentOrders> TakeOrders() { return std::exchange(m_orders, {}); }
  std::vector<SentResults> TakeResults() { return std::exchange(m_results, {}); }

private:
  Instant m_now{ std::chrono::hours(1) };
  std::multimap<Instant, std::function<void()>> m_timers;
  std::vector<SentOrders> m_orders;
  std::vector<SentResults> m_results;
};

/// Workers that record calls and respond when the test says so.
class RecordingWorkers : public WorkerPort
{
public:
  struct PollCall
  {
    PollWorker m_poll;
    PollCallback m_done;
  };

  struct StartCall
  {
    StartTask m_start;
    uint64_t m_fence;
    WorkerCallCallback m_done;
  };

  void Poll(const PollWorker& aPoll, uint64_t, PollCallback aDone) override
  {
    m_polls.push_back({ aPoll, std::move(aDone) });
  }

  void Start(const StartTask& aStart, uint64_t aFence, WorkerCallCallback aDone) override
  {
    m_starts.push_back({ aStart, aFence, std::move(aDone) });
  }

  void Stop(const StopTask& aStop, uint64_t, WorkerCallCallback aDone) override
  {
    m_stops.push_back(aStop);
    aDone(WorkerCallResult::Accepted);
  }

  void Throttle(const ThrottleTask& aThrottle, uint64_t, WorkerCallCallback) override
  {
    m_throttles.push_back(aThrottle);
  }

  std::vector<PollCall> m_polls;
  std::vector<StartCall> m_starts;
  std::vector<StopTask> m_stops;
  std::vector<ThrottleTask> m_throttles;
};

} // namespace egretturn::nodetest
