// Runs the placement passes: which steps wait, in which order they are tried, and where a pass that
// was cut goes on.
#include "egretturn/Scheduler/LongRunningAbsence.h"
#include "egretturn/Scheduler/Scheduler.h"

#include <algorithm>

namespace egretturn {

// A pass over many steps or workers takes longer, so the next pass is delayed further.
static constexpr Duration kMinPlacementInterval = std::chrono::milliseconds(5);
static constexpr Duration kPlacementIntervalPerWorker = std::chrono::microseconds(10);
static constexpr Duration kPlacementIntervalPerStep = std::chrono::microseconds(150);
static constexpr Duration kMaxExtraPlacementInterval = std::chrono::milliseconds(45);
// A pass runs at least this often, because some obstacles pass with time alone: avoidance, slowness
// and the idle time of a job.
static constexpr Duration kMaxPlacementPause = std::chrono::milliseconds(300);

// Overdue steps that go first in a pass. What can't be placed must not hold back all other work.
static constexpr size_t kMaxStepsFirst = 64;

static constexpr double kMilliPerCore = 1000;
static constexpr double kMilliPerSecond = 1000;

// Share of the processors that is kept without serving tasks, for work that would interfere with
// them.
static constexpr double kMinShareWithoutServing = 0.15;

void
Scheduler::AddToRouteMeans(const Job& aJob)
{
  const std::string& route = aJob.m_stored.m_terms.m_route;
  if (!aJob.IsLongRunning()) {
    m_workMeans.Add(route, aJob.TotalWork());
  }
  m_room.Learn(aJob.m_stored.m_terms, aJob.m_stored.m_graph, !aJob.m_recovered, aJob.m_submittedAt);
  for (const GraphStep& step : aJob.m_stored.m_graph.m_steps) {
    if (step.m_bestEffort) {
      m_bestEffortDemandMeans.Add(route, static_cast<double>(step.m_demand.m_cpuMilli));
    }
  }
}

/// Returns the cores that all tasks of \p aGraph take together.
static double
CoresOf(const Graph& aGraph)
{
  double cores = 0;
  for (const GraphStep& step : aGraph.m_steps) {
    cores += step.m_count * static_cast<double>(step.m_demand.m_cpuMilli) / kMilliPerCore;
  }
  return cores;
}

/// Returns since when the callers of \p aJob wait for \p aOccurrence.
static Instant
WaitsSince(const Job& aJob, const OccurrenceRecord& aOccurrence)
{
  if (aJob.IsLongRunning()) {
    return std::max({ aJob.m_submittedAt, aOccurrence.m_openedAt, aJob.m_lastRanAt });
  }
  const bool scheduled = aJob.m_stored.m_graph.m_occurrences > 0;
  return scheduled ? std::max(aJob.m_submittedAt, aOccurrence.m_openedAt) : aJob.m_submittedAt;
}

JobRank
Scheduler::RankOccurrence(const Job& aJob, const OccurrenceRecord& aOccurrence, Instant aNow) const
{
  const RemainingWork remaining = EstimateRemainingWork(aJob, aOccurrence);
  const JobTerms& terms = aJob.m_stored.m_terms;
  RankInput input;
  input.m_priority = terms.m_priority;
  input.m_longRunning = aJob.IsLongRunning();
  input.m_age = aNow - WaitsSince(aJob, aOccurrence);
  if (input.m_longRunning) {
    input.m_away = aNow - LongestAwaySince(aJob, aOccurrence).value_or(aNow);
  }
  input.m_objective = aJob.m_objective;
  input.m_criticalPath = remaining.m_criticalPath;
  input.m_totalWork = aJob.TotalWork();
  input.m_remainingWork = remaining.m_coreSeconds;
  input.m_meanWork = m_workMeans.MeanOf(terms.m_route, input.m_totalWork);
  input.m_cores = input.m_longRunning ? CoresOf(aJob.m_stored.m_graph) : 0;
  return RankJob(input);
}

bool
Scheduler::CollectReadyStepsOf(Job& aJob, std::vector<WaitingStep>& aWaiting, Instant aNow)
{
  bool any = false;
  for (OccurrenceRecord& occurrence : aJob.m_occurrences) {
    const JobRank rank = RankOccurrence(aJob, occurrence, aNow);
    for (size_t s = 0; s < occurrence.m_steps.size(); ++s) {
      if (!m_passBudget.TakeVisit()) {
        return true; // nothing is known of the others
      }
      if (occurrence.m_steps[s].m_waiting == 0) {
        continue;
      }
      any = true;
      WaitingStep step{ &aJob, &occurrence, static_cast<uint16_t>(s), rank };
      const GraphStep& graphStep = aJob.m_stored.m_graph.m_steps[s];
      const bool mayGoFirst =
        graphStep.m_longRunning && m_longRunningShare.MayGoFirst(aJob.m_stored.m_terms.m_service,
                                                                 graphStep.m_demand.m_cpuMilli);
      if (!mayGoFirst) {
        step.m_rank.m_overdue = false;
        step.m_rank.m_away = Duration::zero();
      }
      if (!JobRegistry::IsReady(aJob, occurrence, s)) {
        continue;
      }
      if (IsBlockedByRecovery(aJob)) {
        ReportTasks(&WaitingReport::AddRecovering, step, occurrence.m_steps[s].m_waiting, aNow);
      } else if (m_passBudget.TakeReadyStep()) {
        aWaiting.push_back(step);
      } else {
        return true;
      }
    }
  }
  return any;
}

std::vector<WaitingStep>
Scheduler::CollectReadySteps(Instant aNow)
{
  // What went first does so in each pass until it starts, whichever jobs this one collects: others
  // would take the room that is cleared for it.
  std::vector<WaitingStep> waiting;
  for (const GraphId id : m_jobsFirst) {
    Job* job = m_waitingJobs.count(id) > 0 ? m_jobs.Find(id) : nullptr;
    if (job && job->m_durable && !IsEnded(job->m_state)) {
      CollectReadyStepsOf(*job, waiting, aNow);
    }
  }
  m_passBudget = PassBudget(); // these jobs are few
  std::set<GraphId>::iterator it = m_waitingJobs.lower_bound(m_nextWaitingJob);
  for (size_t left = m_waitingJobs.size(); left > 0 && m_passBudget.MayCollect(); --left) {
    it = it == m_waitingJobs.end() ? m_waitingJobs.begin() : it;
    if (m_jobsFirst.count(*it) > 0) {
      ++it;
      continue;
    }
    Job* job = m_jobs.Find(*it);
    const bool waits =
      job && job->m_durable && !IsEnded(job->m_state) && CollectReadyStepsOf(*job, waiting, aNow);
    it = waits ? std::next(it) : m_waitingJobs.erase(it);
  }
  const bool all = m_passBudget.MayCollect();
  m_endOfCollected = all || it == m_waitingJobs.end() ? 0 : *it;
  std::sort(
    waiting.begin(), waiting.end(), [](const WaitingStep& aLeft, const WaitingStep& aRight) {
      return aLeft.m_rank < aRight.m_rank;
    });
  return waiting;
}

/// Returns the cores of \p aWorkers by service.
static QuotaFloors::ServiceCores
SumCores(const std::vector<Worker*>& aWorkers)
{
  QuotaFloors::ServiceCores cores;
  QuotaFloors::ServiceCores::iterator service = cores.end();
  for (const Worker* worker : aWorkers) {
    const WorkerReport& report = worker->m_report;
    if (service == cores.end() || service->first != report.m_service) { // most are of one service
      service = cores.emplace(report.m_service, 0).first;
    }
    service->second += static_cast<double>(report.m_capacity.m_cpuMilli) / kMilliPerCore;
  }
  return cores;
}

FloorCandidate
Scheduler::DescribeForFloors(const WaitingStep& aWaiting, Instant aNow)
{
  const Job& job = *aWaiting.m_job;
  const JobTerms& terms = job.m_stored.m_terms;
  const GraphStep& step = StepOf(aWaiting);
  const StepRecord& record = aWaiting.m_occurrence->m_steps[aWaiting.m_step];
  const double cores = static_cast<double>(step.m_demand.m_cpuMilli) / kMilliPerCore;
  const double seconds =
    static_cast<double>(job.m_stepDurationMs[aWaiting.m_step]) / kMilliPerSecond;
  FloorCandidate candidate;
  candidate.m_service = &terms.m_service;
  candidate.m_route = &terms.m_route;
  candidate.m_longRunning = step.m_longRunning;
  candidate.m_tooLate = aWaiting.m_rank.m_tooLate;
  candidate.m_age = aNow - WaitsSince(job, *aWaiting.m_occurrence);
  candidate.m_work = record.m_waiting * cores * seconds;
  return candidate;
}

void
Scheduler::ApplyFloors(std::vector<WaitingStep>& aWaiting, Instant aNow)
{
  const QuotaFloors::ServiceCores cores = SumCores(m_availableWorkers);
  std::vector<FloorCandidate> candidates;
  candidates.reserve(aWaiting.size());
  for (const WaitingStep& waiting : aWaiting) {
    candidates.push_back(DescribeForFloors(waiting, aNow));
  }
  const std::vector<bool> first = m_floors.SelectFirst(candidates, cores, aNow);
  std::vector<WaitingStep> ordered;
  ordered.reserve(aWaiting.size());
  for (const bool guaranteed : { true, false }) {
    for (size_t i = 0; i < aWaiting.size(); ++i) {
      if (first[i] == guaranteed) {
        ordered.push_back(aWaiting[i]);
      }
    }
  }
  aWaiting = std::move(ordered);
}

bool
Scheduler::IsIdle(const Job& aJob, Instant aNow)
{
  return aJob.m_liveAttempts == 0 && aNow - aJob.m_lastActiveAt >= kMaxJobIdleTime;
}

double
Scheduler::ReservedShareOf(const std::string& aService)
{
  const auto it = m_reservedShares.find(aService);
  if (it != m_reservedShares.end()) {
    return it->second;
  }
  return m_reservedShares.emplace(aService, m_fleet.ReservedShare(aService)).first->second;
}

PlacementRequest
Scheduler::MakePlacementRequest(const WaitingStep& aWaiting, Instant aNow)
{
  const Job& job = *aWaiting.m_job;
  PlacementRequest request;
  request.m_step = &StepOf(aWaiting);
  request.m_service = &job.m_stored.m_terms.m_service;
  request.m_interference = &m_interference;
  request.m_farFactor = m_limits.m_farFactor;
  request.m_mayInterfere = request.m_step->m_bestEffort && IsIdle(job, aNow) &&
                           ReservedShareOf(*request.m_service) < kLowReservation;
  request.m_image = m_interference.Intern(request.m_step->m_image);
  request.m_typicalCpu = m_bestEffortDemandMeans.MeanOf(job.m_stored.m_terms.m_route, 0);
  request.m_fewEmptyWorkers =
    request.m_step->m_targetMs > 0 && m_fleet.ShareWithoutServing() < kMinShareWithoutServing;
  return request;
}

PassOrder
Scheduler::OrderSteps(const std::vector<WaitingStep>& aWaiting, Instant aNow)
{
  using Iterator = std::vector<WaitingStep>::const_iterator;
  const Iterator firstOther =
    std::partition_point(aWaiting.begin(), aWaiting.end(), [](const WaitingStep& aStep) {
      return aStep.m_rank.m_overdue;
    });
  PassOrder order;
  order.m_steps.assign(aWaiting.begin(), firstOther);
  order.m_overdue = order.m_steps.size();
  order.m_first = std::min(order.m_overdue, kMaxStepsFirst);
  m_overdueCursor.Rotate(order.m_steps);
  m_jobsFirst.clear();
  for (size_t i = 0; i < order.m_first; ++i) {
    m_jobsFirst.insert(order.m_steps[i].m_job->m_stored.m_id);
  }
  const Iterator endOfFirst = order.m_steps.cbegin() + static_cast<std::ptrdiff_t>(order.m_first);
  std::vector<WaitingStep> others(endOfFirst, order.m_steps.cend());
  others.insert(others.end(), firstOther, aWaiting.end());
  ApplyFloors(others, aNow);
  m_cursor.Rotate(others);
  order.m_steps.erase(endOfFirst, order.m_steps.cend());
  order.m_steps.insert(order.m_steps.end(), others.begin(), others.end());
  return order;
}

void
Scheduler::FinishPass(const PassOrder& aOrder, size_t aTriedFirst, size_t aTriedOthers)
{
  if (m_cursor.Advance(aOrder.m_steps.size() - aOrder.m_first, aTriedOthers)) {
    m_nextWaitingJob = m_endOfCollected;
  }
  if (m_clearedPlaces == 0 || aTriedFirst < aOrder.m_first) {
    m_overdueCursor.Advance(aOrder.m_overdue, aTriedFirst);
  }
  if (aTriedFirst + aTriedOthers < aOrder.m_steps.size() || m_nextWaitingJob != 0) {
    ++m_counters.m_passesCut;
    m_placementNeeded = true;
  }
}

void
Scheduler::PlaceWaitingSteps(Instant aNow)
{
  if (m_waitingJobs.empty()) { // no report follows that would say so
    m_counters.m_tasksWaiting = 0;
    m_counters.m_tasksSkipped = 0;
    m_counters.m_tasksRecovering = 0;
    m_counters.m_tasksUnconfirmed = 0;
    m_counters.m_tasksEvacuated = 0;
    if (aNow >= m_nextWaitingReportAt) { // attempts that do not run may hold jobs all the same
      ReportWaitingJobs({}, aNow);
    }
  }
  const bool overdue = !m_waitingJobs.empty() && aNow >= m_nextPlacementAt + kMaxPlacementPause;
  if ((!m_placementNeeded && !overdue) || aNow < m_nextPlacementAt) {
    return;
  }
  m_placementNeeded = false;
  m_reservedShares.clear();
  m_putOffByRack.clear();
  m_room.Update(m_fleet, aNow);
  UpdateUnreadLeases(aNow);
  m_availableWorkers = ListAvailableWorkers(m_fleet, aNow);
  m_penalizedWorkers = ListPenalizedWorkers(m_fleet, aNow);
  m_longRunningShare = LongRunningShare(m_availableWorkers);
  if (aNow >= m_nextWaitingReportAt) {
    m_waitingReport.emplace();
  }
  m_passBudget = PassBudget();
  m_clearedPlaces = 0;
  const PassOrder order = OrderSteps(CollectReadySteps(aNow), aNow);
  m_nextPlacementAt = aNow + kMinPlacementInterval +
                      kPlacementIntervalPerWorker * m_fleet.All().size() +
                      std::min<Duration>(kPlacementIntervalPerStep * order.m_steps.size(),
                                         kMaxExtraPlacementInterval);
  std::vector<FailedStep> failedSteps;
  size_t triedFirst = 0;
  size_t triedOthers = 0;
  for (size_t i = 0; i < order.m_steps.size(); ++i) {
    const WaitingStep& waiting = order.m_steps[i];
    const bool first = i < order.m_first;
    if (i == order.m_first) {
      m_passBudget.LeaveToOthers();
    }
    if (!(first ? m_passBudget.MayTryFirst() : m_passBudget.MayTry())) {
      ReportSkippedStep(waiting, aNow);
      continue;
    }
    ++(first ? triedFirst : triedOthers);
    const PlacementRequest request = MakePlacementRequest(waiting, aNow);
    const bool idle = IsIdle(*waiting.m_job, aNow);
    const bool ruledOut =
      std::any_of(failedSteps.begin(), failedSteps.end(), [&](const FailedStep& aFailed) {
        return RulesOut(aFailed.m_request, request);
      });
    if (ruledOut && !MayUseLastResort(waiting, aNow)) {
      ReportSkippedStep(waiting, aNow);
      ClearPlaces(waiting, request, aNow);
    } else if (!PlaceStepAndCharge(waiting, request, aNow)) {
      ClearPlaces(waiting, request, aNow);
      // Made anew: a job that is no longer idle failed with a task that must not interfere.
      failedSteps.push_back({ waiting, MakePlacementRequest(waiting, aNow) });
      m_passBudget.TakeFailure();
    }
    if (m_waitingReport && idle && waiting.m_job->m_liveAttempts == 0) {
      m_waitingReport->AddIdleJob(waiting.m_job->m_stored.m_id,
                                  *request.m_service,
                                  aNow - waiting.m_job->m_lastActiveAt,
                                  ReservedShareOf(*request.m_service));
    }
  }
  FinishPass(order, triedFirst, triedOthers);
  m_heldPlaces.ReleaseAll();
  FinishWaitingReport(failedSteps, aNow);
  m_confirmation.OnPlacementPass();
}

} // namespace egretturn
