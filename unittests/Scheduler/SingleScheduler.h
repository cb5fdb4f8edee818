// What tests of a single scheduler share: the report of a worker, jobs of one step, and the passing
// of time.
#pragma once

#include "egretturn/Scheduler/Scheduler.h"

#include <functional>

namespace egretturn::schedtest {

constexpr GraphId kJob = 7;
constexpr TaskRef kFirstTask{ kJob, 0, 0, 0 };

inline WorkerReport
MakeReport(const WorkerName& aName, const Demand& aCapacity = { 16000, 64000, 0 })
{
  WorkerReport report;
  report.m_id = aName;
  report.m_service = "desk";
  report.m_address = "10.0.0.1:80";
  report.m_capacity = aCapacity;
  return report;
}

inline Submission
MakeSubmission(GraphId aId, const GraphStep& aStep)
{
  Submission submission;
  submission.m_id = aId;
  submission.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
  submission.m_graph.m_steps.push_back(aStep);
  return submission;
}

/// Returns a job that an earlier epoch has accepted.
inline StoredJob
MakeStoredJob(GraphId aId, const GraphStep& aStep)
{
  const Submission submission = MakeSubmission(aId, aStep);
  return { submission.m_id, submission.m_terms, submission.m_graph };
}

/// Advances \p aNow by \p aTime. The scheduler runs every 20 ms, and \p aExecute carries out its
/// actions.
inline void
RunScheduler(Scheduler& aScheduler,
             Instant& aNow,
             Duration aTime,
             const std::function<void(const Action&)>& aExecute)
{
  for (const Instant end = aNow + aTime; aNow < end; aNow += std::chrono::milliseconds(20)) {
    aScheduler.Tick(aNow, ToMillis(aNow.time_since_epoch()));
    for (const Action& action : aScheduler.TakeActions()) {
      aExecute(action);
    }
  }
}

} // namespace egretturn::schedtest
