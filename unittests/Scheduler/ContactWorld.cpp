#include "ContactWorld.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace egretturn::schedtest {

using std::chrono::milliseconds;
using std::chrono::seconds;

void
ContactWorld::RegisterWorker(const WorkerName& aName,
                             int64_t aIncarnation,
                             const std::string& aAddress,
                             bool aDraining)
{
  WorkerReport report;
  report.m_incarnation = aIncarnation;
  report.m_id = aName;
  report.m_service = "desk";
  report.m_address = aAddress;
  report.m_draining = aDraining;
  report.m_capacity = { 8000, 64000, 0 };
  m_scheduler.UpdateWorker(report, m_now);
}

void
ContactWorld::RegisterWithTask(const WorkerName& aName, int64_t aCpuMilli, int64_t aIncarnation)
{
  m_incarnations[aName] = aIncarnation;
  RegisterWorker(aName, aIncarnation);
  SubmitLongRunning(1, aCpuMilli);
  Advance(seconds(1));
}

void
ContactWorld::RegisterWithLostStart(const WorkerName& aName)
{
  RegisterWorker(aName);
  m_ordersLost.insert(aName);
  Advance(seconds(1));
  SubmitLongRunning(1, 5000);
  Advance(milliseconds(500));
}

void
ContactWorld::Restart(const WorkerName& aName, int64_t aIncarnation)
{
  m_running[aName].clear();
  m_ended[aName].clear();
  m_acknowledged[aName] = 0;
  m_fences[aName] = 0;
  m_stopped[aName].clear();
  m_incarnations[aName] = aIncarnation;
}

void
ContactWorld::DeliverLateCalls()
{
  for (const StartTask& start : std::exchange(m_lateStarts, {})) {
    const bool stopped = m_stopped[start.m_worker][start.m_task] >= start.m_attempt;
    if (!stopped && TakeFence(start.m_worker, start.m_fence)) {
      Run(start);
    }
  }
  for (const PollWorker& poll : std::exchange(m_latePolls, {})) {
    if (TakeFence(poll.m_worker, poll.m_fence)) {
      Acknowledge(poll);
    }
  }
}

bool
ContactWorld::TakeFence(const WorkerName& aName, uint64_t aFence)
{
  uint64_t& highest = m_fences[aName];
  if (aFence < highest) {
    return false;
  }
  highest = aFence;
  return true;
}

void
ContactWorld::End(const WorkerName& aWorker, AttemptEnd aEnd)
{
  std::vector<RunningAttempt>& running = m_running[aWorker];
  std::vector<EndedAttempt>& ended = m_ended[aWorker];
  REQUIRE_FALSE(running.empty());
  const RunningAttempt& reported = running.front();
  ended.push_back({ ended.size() + 1, reported.m_task, reported.m_attempt, aEnd, "" });
  running.erase(running.begin());
}

void
ContactWorld::Advance(Duration aTime)
{
  for (const Instant end = m_now + aTime; m_now < end; m_now += m_tickInterval) {
    m_scheduler.Tick(m_now, WallMs());
    for (const Action& action : m_scheduler.TakeActions()) {
      Execute(action);
    }
  }
}

void
ContactWorld::AdvancePastLeases()
{
  const Duration lease = m_scheduler.Workers().LatestLeaseExpiry(m_now) - m_now;
  Advance(lease + seconds(1));
}

void
ContactWorld::Submit(GraphId aId, int64_t aCpuMilli, bool aLongRunning)
{
  Submission submission;
  submission.m_id = aId;
  submission.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
  GraphStep step;
  step.m_demand = { aCpuMilli, 1000, 0 };
  step.m_longRunning = aLongRunning;
  if (aLongRunning) {
    m_longRunning.insert(aId);
  }
  step.m_estimateMs = aLongRunning ? 0 : ToMillis(100 * kPerPercent);
  submission.m_graph.m_steps.push_back(step);
  m_scheduler.Submit(aId, std::move(submission), m_now, WallMs());
}

std::vector<RunningAttempt>
ContactWorld::ReportedAttempts(const WorkerName& aWorker)
{
  std::vector<RunningAttempt> reportedAttempts = m_running[aWorker];
  for (RunningAttempt& reported : reportedAttempts) {
    const bool longRunning = reported.m_percent == 100;
    reported.m_percent =
      longRunning ? 100 : static_cast<int>((m_now - m_startedAt[reported.m_task]) / kPerPercent);
  }
  return reportedAttempts;
}

bool
ContactWorld::IsReachable(const WorkerName& aName, const std::string& aAddress) const
{
  return m_unreachable.count(aName) == 0 && aAddress == m_address;
}

void
ContactWorld::Execute(const Action& aAction)
{
  if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
    Append(*append);
  } else if (const StopTask* stop = std::get_if<StopTask>(&aAction)) {
    Stop(*stop);
  } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
    Start(*start);
  } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
    Poll(*poll);
  } else if (std::holds_alternative<StepDown>(aAction)) {
    m_steppedDown = true;
  }
}

void
ContactWorld::Append(const AppendRecords& aAppend)
{
  if (m_confirmationsHeld) {
    m_heldBatch = aAppend.m_batch;
  } else {
    m_scheduler.OnAppended(aAppend.m_batch, m_now);
  }
}

void
ContactWorld::Stop(const StopTask& aStop)
{
  const bool lost = m_ordersLost.count(aStop.m_worker) > 0;
  if (!lost && IsReachable(aStop.m_worker, aStop.m_address)) {
    AttemptNumber& stopped = m_stopped[aStop.m_worker][aStop.m_task];
    stopped = std::max(stopped, aStop.m_attempt);
  }
  m_scheduler.OnStopResult(aStop.m_worker,
                           aStop.m_task,
                           aStop.m_attempt,
                           lost ? WorkerCallResult::NoResponse : WorkerCallResult::Accepted,
                           m_now);
}

void
ContactWorld::Start(const StartTask& aStart)
{
  const bool reached =
    IsReachable(aStart.m_worker, aStart.m_address) && m_ordersLost.count(aStart.m_worker) == 0;
  const bool late = aStart.m_leaseEndMs <= ClockMs(aStart.m_worker);
  const bool fenced = reached && !TakeFence(aStart.m_worker, aStart.m_fence);
  const WorkerCallResult result = !reached ? WorkerCallResult::NoResponse
                                  : fenced ? WorkerCallResult::Fenced
                                  : late   ? WorkerCallResult::LeaseExpired
                                           : WorkerCallResult::Accepted;
  if (!reached) {
    m_lateStarts.push_back(aStart);
  }
  m_lastLease = milliseconds(aStart.m_leaseEndMs - WallMs());
  m_scheduler.OnStartResult(aStart.m_worker, aStart.m_task, aStart.m_attempt, result, m_now);
  if (result == WorkerCallResult::Accepted) {
    Run(aStart);
  }
}

void
ContactWorld::Run(const StartTask& aStart)
{
  const bool longRunning = m_longRunning.count(aStart.m_task.m_job) > 0;
  m_startedAt[aStart.m_task] = m_now;
  m_running[aStart.m_worker].push_back(
    { aStart.m_task, aStart.m_attempt, "", longRunning ? 100 : 0, 0 });
}

void
ContactWorld::Acknowledge(const PollWorker& aPoll)
{
  uint64_t& acknowledged = m_acknowledged[aPoll.m_worker];
  acknowledged = std::max(acknowledged, aPoll.m_acknowledged);
}

void
ContactWorld::Poll(const PollWorker& aPoll)
{
  ++m_polls;
  if (m_replaced.count(aPoll.m_worker) > 0) {
    m_scheduler.OnPollFailed(
      aPoll.m_worker, aPoll.m_number, WorkerCallResult::IncarnationMismatch, m_now);
    return;
  }
  if (!IsReachable(aPoll.m_worker, aPoll.m_address) || m_pollsLost.count(aPoll.m_worker) > 0) {
    m_latePolls.push_back(aPoll);
    m_scheduler.OnPollFailed(aPoll.m_worker, aPoll.m_number, WorkerCallResult::NoResponse, m_now);
    return;
  }
  if (!TakeFence(aPoll.m_worker, aPoll.m_fence)) {
    m_scheduler.OnPollFailed(aPoll.m_worker, aPoll.m_number, WorkerCallResult::Fenced, m_now);
    return;
  }
  WorkerStatus status;
  status.m_clockMs = ClockMs(aPoll.m_worker);
  status.m_incarnation = m_incarnations[aPoll.m_worker];
  status.m_running = ReportedAttempts(aPoll.m_worker);
  status.m_ended = m_ended[aPoll.m_worker];
  Acknowledge(aPoll);
  m_scheduler.OnPollResponse(aPoll.m_worker, aPoll.m_number, status, m_now);
}

} // namespace egretturn::schedtest
