// A random fleet and random placement requests, and the choice of a worker for one request.
#pragma once

#include "egretturn/Scheduler/CandidateRanking.h"
#include "egretturn/Support/Random.h"

namespace egretturn::schedtest {

/// Returns the worker on which a task of \p aRequest is placed, or nullptr if it fits nowhere.
inline Worker*
ChooseWorker(Fleet& aFleet, const PlacementRequest& aRequest, Instant aNow)
{
  return CandidateRanking(ListAvailableWorkers(aFleet, aNow), aRequest).TakeBest(nullptr);
}

/// A random fleet and random steps, with few distinct values so that requests are often similar.
struct RandomRequests
{
  explicit RandomRequests(uint64_t aSeed)
    : m_random(aSeed)
    , m_fleet(LeaseLimits())
  {
    for (size_t i = 0; i < m_services.size(); ++i) {
      m_images.push_back(m_model.Intern("image" + std::to_string(i)));
    }
    m_model.Restore({ { { "image0", "image0", 8.0, 0.01 }, { "image0", "image1", 1.0, 0.01 } } });
    for (size_t i = 0; i < 4; ++i) {
      AddWorker(i);
    }
  }

  void AddWorker(size_t aIndex)
  {
    WorkerReport report;
    report.m_id = "w" + std::to_string(aIndex);
    report.m_service = Pick(m_services);
    report.m_labels = { aIndex % 2 ? "a" : "b" };
    report.m_capacity = { m_random.Below(2) ? 16000 : 4000, 4000, 1 };
    m_fleet.Update(report, m_now);
    Worker& worker = *m_fleet.Find(report.m_id);
    worker.m_polled = true;
    worker.m_record = RecordState::Durable;
    worker.m_nearTarget = m_random.Below(4) == 0;
    const uint16_t attempts = static_cast<uint16_t>(m_random.Below(4));
    for (uint16_t attempt = 0; attempt < attempts; ++attempt) {
      AddAttempt(worker, attempt);
    }
  }

  void AddAttempt(Worker& aWorker, uint16_t aIndex)
  {
    AttemptState attempt;
    attempt.m_demand = { static_cast<int64_t>(m_random.Below(8)) * 250, 500, 0 };
    attempt.m_image = Pick(m_images);
    attempt.m_bestEffort = m_random.Below(2) == 0;
    attempt.m_longRunning = !attempt.m_bestEffort;
    attempt.m_targetMs = attempt.m_bestEffort ? 0 : 18;
    m_fleet.AddAttempt(aWorker, { 7, 0, 0, aIndex }, attempt);
  }

  GraphStep RandomStep()
  {
    GraphStep step;
    step.m_demand = { static_cast<int64_t>(m_random.Below(20)) * 250,
                      static_cast<int64_t>(m_random.Below(5)) * 1000,
                      static_cast<int64_t>(m_random.Below(2)) };
    step.m_bestEffort = m_random.Below(2) == 0;
    step.m_label = m_random.Below(4) == 0 ? "a" : "";
    step.m_maxPerWorker = m_random.Below(4) == 0 ? 1 : 0;
    return step;
  }

  PlacementRequest RandomRequest(const GraphStep& aStep)
  {
    PlacementRequest request;
    request.m_step = &aStep;
    request.m_service = &Pick(m_services);
    request.m_interference = m_random.Below(4) == 0 ? nullptr : &m_model;
    request.m_mayInterfere = m_random.Below(4) == 0;
    request.m_image = Pick(m_images);
    request.m_typicalCpu = static_cast<double>(m_random.Below(4)) * 750;
    return request;
  }

  template<typename List>
  const typename List::value_type& Pick(const List& aList)
  {
    return aList[m_random.Below(aList.size())];
  }

  const std::vector<std::string> m_services = { "desk", "shop" };
  Instant m_now{ std::chrono::hours(1) };
  Random m_random;
  ImageInterferenceModel m_model;
  std::vector<ImageId> m_images;
  Fleet m_fleet;
};

} // namespace egretturn::schedtest
