#include "egretturn/Scheduler/CandidateRanking.h"

#include <algorithm>

namespace egretturn {

CandidateRanking::CandidateRanking(const std::vector<Worker*>& aWorkers,
                                   const PlacementRequest& aRequest)
  : m_request(aRequest)
{
  for (size_t i = 0; i < aWorkers.size(); ++i) {
    AddIfFits(*aWorkers[i], i);
  }
  std::make_heap(m_heap.begin(), m_heap.end());
}

void
CandidateRanking::AddIfFits(Worker& aWorker, size_t aOrder)
{
  if (FindObstacle(aWorker, m_request) == Obstacle::None) {
    m_heap.push_back({ ScoreOf(aWorker, m_request), aOrder, &aWorker });
  }
}

Worker*
CandidateRanking::TakeBest(const Worker* aAvoided)
{
  if (m_heap.empty()) {
    return nullptr;
  }
  std::pop_heap(m_heap.begin(), m_heap.end());
  Candidate best = m_heap.back();
  m_heap.pop_back();
  if (best.m_worker == aAvoided && !m_heap.empty()) {
    std::pop_heap(m_heap.begin(), m_heap.end());
    std::swap(best, m_heap.back());
    std::push_heap(m_heap.begin(), m_heap.end());
  }
  m_takenOrder = best.m_order;
  return best.m_worker;
}

void
CandidateRanking::Return(Worker& aWorker)
{
  const size_t size = m_heap.size();
  AddIfFits(aWorker, m_takenOrder);
  if (m_heap.size() > size) {
    std::push_heap(m_heap.begin(), m_heap.end());
  }
}

} // namespace egretturn
