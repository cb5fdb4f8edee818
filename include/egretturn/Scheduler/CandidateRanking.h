// Ranks the workers for the tasks of one step. Each worker is judged once, and again only after it
// has changed, so that a step of many tasks costs one pass over the workers instead of one each.
#pragma once

#include "egretturn/Scheduler/Packing.h"

namespace egretturn {

/// The workers on which a task of one request fits, best first. Not thread-safe.
class CandidateRanking
{
public:
  /// Judges all of \p aWorkers. \pre They accept new work, and what \p aRequest points to outlives
  /// the ranking.
  CandidateRanking(const std::vector<Worker*>& aWorkers, const PlacementRequest& aRequest);

  /// Removes the best worker and returns it, or nullptr if none is left. \p aAvoided is returned
  /// only if there is no other.
  Worker* TakeBest(const Worker* aAvoided);

  /// Judges a worker that TakeBest() returned again, after it has been given a task. It is a
  /// candidate again if another task fits. \pre The request's siblings are up to date.
  void Return(Worker& aWorker);

private:
  struct Candidate
  {
    double m_score = 0;
    size_t m_order = 0; ///< Decides between equal scores, so that the choice is deterministic.
    Worker* m_worker = nullptr;

    bool operator<(const Candidate& aOther) const
    {
      return m_score < aOther.m_score || (m_score == aOther.m_score && m_order > aOther.m_order);
    }
  };

  void AddIfFits(Worker& aWorker, size_t aOrder);

  PlacementRequest m_request;
  std::vector<Candidate> m_heap;
  size_t m_takenOrder = 0; ///< Of the worker that was taken last.
};

} // namespace egretturn
