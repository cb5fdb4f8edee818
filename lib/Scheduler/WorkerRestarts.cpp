// Handles workers whose process has ended: another one has started under their id, or has their
// address.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

bool
Scheduler::IsCurrentIncarnation(Worker& aWorker, int64_t aIncarnation)
{
  // The second of two consecutive polls is sent after the response to the first has arrived, so an
  // incarnation that is in both responses is the current one.
  const int64_t latest = std::max(aWorker.m_incarnation, aWorker.m_report.m_incarnation);
  if (aIncarnation == 0 || aIncarnation >= latest ||
      aIncarnation == aWorker.m_unconfirmedIncarnation) {
    return true;
  }
  Log(LogLine(LogLevel::Info, "worker_answer_doubted")
        .Add("worker", aWorker.m_report.m_id)
        .Add("incarnation", aIncarnation)
        .Add("latest_known", latest));
  aWorker.m_unconfirmedIncarnation = aIncarnation;
  return false;
}

void
Scheduler::SetIncarnation(Worker& aWorker, int64_t aIncarnation)
{
  const bool restarted = aWorker.m_incarnation != 0;
  aWorker.m_incarnation = aIncarnation;
  if (!restarted) {
    return;
  }
  Log(LogLine(LogLevel::Info, "worker_restarted")
        .Add("worker", aWorker.m_report.m_id)
        .Add("incarnation", aIncarnation)
        .Add("runs", uint64_t{ aWorker.m_attempts.size() }));
  // Calls in flight may have reached the new incarnation, so the lists of the poll response decide
  // about each attempt.
  aWorker.m_endsProcessed = 0;
  aWorker.m_endsDurable = 0;
  aWorker.m_nonDurableEnds.clear();
  aWorker.m_endsInBatch = 0;
  aWorker.m_endsAcknowledged = 0;
  aWorker.m_endsBeingAcknowledged = 0;
  aWorker.m_endsComplete = true;
}

void
Scheduler::OnWorkerRestarted(Worker& aWorker, const WorkerStatus& aStatus, Instant aNow)
{
  // Calls that were meant for the process before may be executed at any time until a call with a
  // higher fence has arrived, so this response decides nothing.
  ++aWorker.m_restarts;
  aWorker.m_fenceRaised = true;
  aWorker.m_statusStale = true;
  aWorker.m_clockMs = aStatus.m_clockMs;
  aWorker.m_clockReadAt = aNow;
  m_fleet.ExtendLeaseOfAnyCall(aWorker, aNow);
  SendPoll(aWorker, aNow);
}

void
Scheduler::OnWorkerGone(Worker& aWorker, Instant aNow)
{
  // The process that had the address has ended, and all that it ran.
  std::vector<TaskRef> lost;
  for (const std::pair<const TaskRef, AttemptState>& attemptEntry : aWorker.m_attempts) {
    if (attemptEntry.second.m_startedAt < aWorker.m_pollSentAt) {
      lost.push_back(attemptEntry.first);
    }
  }
  for (const TaskRef& task : lost) {
    MarkAttemptLost(aWorker, task, aNow, "other_instance");
  }
  m_fleet.RemoveLateStarts(aWorker, [](const LateStart&) { return true; });
  if (aWorker.m_attempts.empty()) {
    aWorker.m_leaseExpiresAt = std::min(aWorker.m_leaseExpiresAt, aNow);
  }
}

} // namespace egretturn
