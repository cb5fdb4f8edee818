#include "SchedulerWorld.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Scheduler/Fence.h"
#include "egretturn/Support/EnumTable.h"

namespace egretturn::schedtest {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration kTickInterval = milliseconds(20);
static constexpr Duration kDirectoryInterval = milliseconds(400);
static constexpr Duration kResponseTimeout = milliseconds(1000);
static constexpr Duration kSettleTime = seconds(90);
static constexpr uint64_t kMaxDueDelayMs = 4000;
static constexpr uint64_t kMinFlapMs = 400; // a flapping worker is down or up this long
static constexpr uint64_t kMaxFlapMs = 3000;
static constexpr uint64_t kMaxLatenessMs = 12000;   // of a submission that is cancelled
static constexpr uint64_t kMaxCancelDelayMs = 2000; // after that submission was sent
static constexpr uint64_t kShortListSeeds = 4;      // in each fourth seed, workers list few ends
static constexpr size_t kShortList = 3;

SchedulerWorld::SchedulerWorld(uint64_t aSeed, size_t aWorkers)
  : m_random(aSeed)
{
  for (size_t i = 0; i < aWorkers; ++i) {
    AddWorker({ 8000, 16000, 0 });
    if (aSeed % kShortListSeeds == 0) {
      m_workers.back()->m_maxListedEnds = kShortList;
    }
  }
}

FakeWorker&
SchedulerWorld::AddWorker(const Demand& aCapacity)
{
  const size_t index = m_workers.size();
  WorkerReport report;
  report.m_id = "w" + std::to_string(index);
  report.m_service = "desk";
  report.m_address = "10.0.0." + std::to_string(index + 1) + ":80";
  report.m_zone = "z" + std::to_string(index % 2);
  report.m_rack = "r" + std::to_string(index / 4);
  report.m_labels = { index % 2 ? "b" : "a", report.m_rack };
  report.m_capacity = aCapacity;
  report.m_incarnation = WallMs();
  m_workers.push_back(std::make_unique<FakeWorker>(report, m_oracle, m_random));
  return *m_workers.back();
}

void
SchedulerWorld::After(Duration aDelay, std::function<void()> aCallback)
{
  m_events.push({ m_now + aDelay, m_sequence++, std::move(aCallback) });
}

FakeWorker&
SchedulerWorld::WorkerOf(const WorkerName& aName)
{
  return *m_workers[std::stoul(aName.substr(1))];
}

static GraphStep
RandomStep(Random& aRandom, size_t aIndex, bool aLongRunning)
{
  GraphStep step;
  step.m_count = static_cast<uint32_t>(1 + aRandom.Below(6));
  step.m_demand = { static_cast<int64_t>(500 + aRandom.Below(2000)),
                    static_cast<int64_t>(500 + aRandom.Below(3000)),
                    0 };
  step.m_estimateMs = static_cast<int64_t>(200 + aRandom.Below(3000));
  step.m_longRunning = aLongRunning;
  step.m_bestEffort = !aLongRunning && aRandom.Below(2) == 0;
  step.m_gang = !aLongRunning && aRandom.Below(6) == 0;
  step.m_checkpoints = aRandom.Below(2) == 0;
  step.m_maxPerWorker = aRandom.Below(4) == 0 ? 2 : 0;
  step.m_image = "image" + std::to_string(aRandom.Below(4));
  if (aIndex > 0) {
    step.m_dependencies.push_back(static_cast<uint32_t>(aRandom.Below(aIndex)));
  }
  return step;
}

Submission
SchedulerWorld::MakeRandomSubmission()
{
  Submission submission;
  submission.m_id = m_random.Next();
  submission.m_terms = { "route", "desk", static_cast<uint32_t>(m_random.Below(3)), 3, 2.0, 500 };
  const bool longRunning = m_random.Below(6) == 0;
  const size_t steps = longRunning ? 1 : 1 + m_random.Below(3);
  for (size_t i = 0; i < steps; ++i) {
    submission.m_graph.m_steps.push_back(RandomStep(m_random, i, longRunning));
  }
  if (!longRunning && m_random.Below(4) == 0) {
    submission.m_graph.m_occurrences = 1;
    submission.m_graph.m_firstDueMs =
      WallMs() + static_cast<int64_t>(m_random.Below(kMaxDueDelayMs));
  }
  return submission;
}

GraphId
SchedulerWorld::SubmitRandom()
{
  Submission submission = MakeRandomSubmission();
  const GraphId id = submission.m_id;
  Submit(std::move(submission));
  return id;
}

void
SchedulerWorld::CancelBeforeSubmission()
{
  const Submission submission = MakeRandomSubmission();
  const GraphId id = submission.m_id;
  m_oracle.m_jobs[id].m_submission = submission;
  const uint64_t copies = 1 + m_random.Below(3);
  for (uint64_t i = 0; i < copies; ++i) {
    After(milliseconds(m_random.Below(kMaxLatenessMs)), [this, submission] {
      if (!m_leaders.empty()) {
        SubmitTo(m_leaders[m_random.Below(m_leaders.size())], submission);
      }
    });
  }
  After(milliseconds(m_random.Below(kMaxCancelDelayMs)), [this, id] { Cancel(id); });
}

GraphId
SchedulerWorld::SubmitRepeated()
{
  Submission submission;
  submission.m_id = m_random.Next();
  submission.m_terms = { "route", "desk", static_cast<uint32_t>(m_random.Below(3)), 3, 2.0, 500 };
  const size_t steps = 1 + m_random.Below(2);
  for (size_t i = 0; i < steps; ++i) {
    GraphStep step = RandomStep(m_random, i, false);
    step.m_gang = m_random.Below(2) == 0;
    step.m_maxPerWorker = static_cast<uint32_t>(m_random.Below(3));
    submission.m_graph.m_steps.push_back(step);
  }
  submission.m_graph.m_occurrences = static_cast<uint32_t>(1 + m_random.Below(3));
  submission.m_graph.m_firstDueMs = WallMs() + static_cast<int64_t>(m_random.Below(kMaxDueDelayMs));
  submission.m_graph.m_intervalMs = static_cast<int64_t>(1000 + m_random.Below(kMaxDueDelayMs));
  const GraphId id = submission.m_id;
  Submit(std::move(submission));
  return id;
}

void
SchedulerWorld::Submit(Submission aSubmission)
{
  m_oracle.m_jobs[aSubmission.m_id].m_submission = aSubmission;
  if (!m_leaders.empty()) {
    SubmitTo(m_leaders.back(), std::move(aSubmission));
  }
}

void
SchedulerWorld::SubmitTo(const std::shared_ptr<Leader>& aLeader, Submission aSubmission)
{
  const RequestToken token = ++m_request;
  aLeader->m_requests[token] = { aSubmission.m_id, false };
  aLeader->m_scheduler->Submit(token, std::move(aSubmission), m_now, WallMs(*aLeader));
  RunScheduler(aLeader);
}

void
SchedulerWorld::Cancel(GraphId aId)
{
  if (m_leaders.empty()) {
    return;
  }
  const std::shared_ptr<Leader> leader = m_leaders.back();
  const RequestToken token = ++m_request;
  leader->m_requests[token] = { aId, true };
  leader->m_scheduler->Cancel(token, aId, m_now, WallMs(*leader));
  RunScheduler(leader);
}

std::optional<JobState>
SchedulerWorld::StateOf(GraphId aId)
{
  return m_leaders.empty() ? std::nullopt : m_leaders.back()->m_scheduler->StateOf(aId);
}

void
SchedulerWorld::ReadDirectory(const std::shared_ptr<Leader>& aLeader)
{
  if (aLeader->m_stopped ||
      std::find(m_leaders.begin(), m_leaders.end(), aLeader) == m_leaders.end()) {
    return;
  }
  for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
    const WorkerName& id = worker->Report().m_id;
    const bool registered = worker->m_deregisteredUntil <= m_now;
    if (registered) {
      UpdateWorker(aLeader, worker->Report());
    } else if (aLeader->m_registered[id]) {
      aLeader->m_scheduler->DeregisterWorker(id, m_now);
    }
    aLeader->m_registered[id] = registered;
  }
  for (const std::pair<const WorkerName, Instant>& goneEntry : m_goneWorkers) {
    const WorkerName& id = goneEntry.first;
    const bool registered = goneEntry.second > m_now;
    WorkerReport report = WorkerOf(id).Report();
    report.m_id = id;
    if (registered) {
      UpdateWorker(aLeader, report);
    } else if (aLeader->m_registered[id]) {
      aLeader->m_scheduler->DeregisterWorker(id, m_now);
    }
    aLeader->m_registered[id] = registered;
  }
  aLeader->m_scheduler->OnDirectoryRead();
  RunScheduler(aLeader);
  After(kDirectoryInterval, [this, aLeader] { ReadDirectory(aLeader); });
}

void
SchedulerWorld::RunScheduler(const std::shared_ptr<Leader>& aLeader)
{
  const bool busy = m_busyUntil > m_now && m_now - aLeader->m_lastRunAt < m_busyInterval;
  if (aLeader->m_stopped || busy) {
    return;
  }
  aLeader->m_lastRunAt = m_now;
  aLeader->m_scheduler->Tick(m_now, WallMs(*aLeader));
  const std::vector<Action> actions = aLeader->m_scheduler->TakeActions();
  CheckGangs(actions);
  for (const Action& action : actions) {
    Execute(aLeader, action);
  }
}

void
SchedulerWorld::UpdateWorker(const std::shared_ptr<Leader>& aLeader, const WorkerReport& aReport)
{
  aLeader->m_workerPort->SetWorkerZone(aReport.m_id, aReport.m_zone);
  aLeader->m_scheduler->UpdateWorker(aReport, m_now);
}

void
SchedulerWorld::CallWorker(const std::shared_ptr<Caller>& aCaller,
                           const WorkerName& aWorker,
                           const std::function<WorkerCallResult(FakeWorker&, bool)>& aCall,
                           const WorkerCallCallback& aDone)
{
  // A worker that is back under its id takes calls that were meant for its former life.
  if (m_random.Unit() < m_faults.m_lateCallProbability) {
    After(kResponseTimeout, [aDone] { aDone(WorkerCallResult::NoResponse); });
    const Duration lateness = milliseconds(2000 + m_random.Below(10000));
    m_lateCallsUntil = std::max(m_lateCallsUntil, m_now + lateness);
    After(lateness, [this, aWorker, aCall] {
      FakeWorker& worker = WorkerOf(aWorker);
      if (worker.Report().m_id == aWorker) {
        aCall(worker, true);
      }
    });
    return;
  }
  After(Delay(), [this, aCaller, aWorker, aCall, aDone] {
    FakeWorker& worker = WorkerOf(aWorker);
    if (worker.m_unreachableUntil > m_now || aCaller->m_unreachableUntil[aWorker] > m_now) {
      After(kResponseTimeout, [aDone] { aDone(WorkerCallResult::NotSent); });
      return;
    }
    const bool intended = worker.Report().m_id == aWorker;
    const WorkerCallResult result =
      intended ? aCall(worker, false) : WorkerCallResult::IncarnationMismatch;
    After(Delay(), [aDone, result] { aDone(result); });
  });
}

/// Calls the simulated workers for one instance.
class SchedulerWorld::DirectPort : public WorkerPort
{
public:
  DirectPort(SchedulerWorld& aWorld, std::shared_ptr<Caller> aCaller)
    : m_world(aWorld)
    , m_caller(std::move(aCaller))
  {
  }

  void Start(const StartTask& aStart, uint64_t aFence, WorkerCallCallback aDone) override
  {
    m_world.CallWorker(
      m_caller,
      aStart.m_worker,
      [world = &m_world, aStart, aFence](FakeWorker& aWorker, bool aLate) {
        return aWorker.Start(aStart, aFence, world->m_now, aLate);
      },
      aDone);
  }

  void Stop(const StopTask& aStop, uint64_t aFence, WorkerCallCallback aDone) override
  {
    m_world.CallWorker(
      m_caller,
      aStop.m_worker,
      [world = &m_world, aStop, aFence](FakeWorker& aWorker, bool) {
        return aWorker.Stop(aStop, aFence, world->m_now);
      },
      aDone);
  }

  void Poll(const PollWorker& aPoll, uint64_t aFence, PollCallback aDone) override
  {
    const std::shared_ptr<WorkerStatus> status = std::make_shared<WorkerStatus>();
    m_world.CallWorker(
      m_caller,
      aPoll.m_worker,
      [world = &m_world, aPoll, aFence, status](FakeWorker& aWorker, bool aLate) {
        WorkerStatus response;
        const WorkerCallResult result = aWorker.Poll(aPoll, aFence, world->m_now, response);
        if (!aLate) {
          *status = response;
        }
        return result;
      },
      [aDone, status](WorkerCallResult aResult) { aDone(aResult, *status); });
  }

  void Throttle(const ThrottleTask&, uint64_t, WorkerCallCallback) override {}

private:
  SchedulerWorld& m_world;
  std::shared_ptr<Caller> m_caller;
};

std::shared_ptr<WorkerPort>
SchedulerWorld::MakeDirectPort(const std::shared_ptr<Caller>& aCaller)
{
  return std::make_shared<DirectPort>(*this, aCaller);
}

std::shared_ptr<WorkerPort>
SchedulerWorld::MakeWorkerPort(const std::shared_ptr<Leader>& aLeader)
{
  return MakeDirectPort(aLeader->m_caller);
}

void
SchedulerWorld::Notify(const std::shared_ptr<Leader>& aLeader,
                       const std::function<void(Scheduler&)>& aEvent)
{
  if (!aLeader->m_stopped) {
    aEvent(*aLeader->m_scheduler);
    RunScheduler(aLeader);
  }
}

void
SchedulerWorld::Execute(const std::shared_ptr<Leader>& aLeader, const Action& aAction)
{
  WorkerPort& workers = *aLeader->m_workerPort;
  std::visit(
    Overloaded{
      [&](const StartTask& aStart) {
        workers.Start(aStart, aStart.m_fence, [this, aLeader, aStart](WorkerCallResult aResult) {
          Notify(aLeader, [&](Scheduler& aScheduler) {
            aScheduler.OnStartResult(
              aStart.m_worker, aStart.m_task, aStart.m_attempt, aResult, m_now);
          });
        });
      },
      [&](const StopTask& aStop) {
        workers.Stop(aStop, aStop.m_fence, [this, aLeader, aStop](WorkerCallResult aResult) {
          Notify(aLeader, [&](Scheduler& aScheduler) {
            aScheduler.OnStopResult(aStop.m_worker, aStop.m_task, aStop.m_attempt, aResult, m_now);
          });
        });
      },
      [&](const PollWorker& aPoll) {
        workers.Poll(aPoll,
                     aPoll.m_fence,
                     [this, aLeader, worker = aPoll.m_worker, number = aPoll.m_number](
                       WorkerCallResult aResult, const WorkerStatus& aStatus) {
                       Notify(aLeader, [&](Scheduler& aScheduler) {
                         if (aResult == WorkerCallResult::Accepted) {
                           aScheduler.OnPollResponse(worker, number, aStatus, m_now);
                         } else {
                           aScheduler.OnPollFailed(worker, number, aResult, m_now);
                         }
                       });
                     });
      },
      [&](const ThrottleTask&) {},
      [&](const AppendRecords& aAppend) { Append(aLeader, aAppend); },
      [&](const CompleteRequest& aCompletion) { OnRequestCompleted(aLeader, aCompletion); },
      [&](const StepDown&) { aLeader->m_stopped = true; },
      [&](const ForgetWorker& aForget) { workers.RemoveWorker(aForget.m_worker); },
    },
    aAction);
}

void
SchedulerWorld::Append(const std::shared_ptr<Leader>& aLeader, const AppendRecords& aAppend)
{
  After(Delay(), [this, aLeader, aAppend] {
    if (aLeader->m_stopped) {
      return;
    }
    if (m_faults.m_storeDown || !aLeader->m_reachesStore) {
      Append(aLeader, aAppend); // retried until the store is available
      return;
    }
    if (m_storeEnd != aLeader->m_end) {
      aLeader->m_stopped = true;
      return;
    }
    for (const KeyedRecord& record : aAppend.m_records) {
      if (RecordBytes(record) > m_maxRecordBytes) {
        m_oracle.ReportViolation("larger than the store's limit: " + record.m_key);
      }
      GraphId id = 0;
      m_parts += ClassifyKey(record.m_key, id) == RecordKind::ProgressPart ? 1 : 0;
      if (record.m_value.empty()) {
        m_store.erase(record.m_key);
      } else {
        m_store[record.m_key] = record.m_value;
      }
    }
    m_storeEnd += aAppend.m_records.size();
    aLeader->m_end = m_storeEnd;
    // A lost response is resolved by reading back, later.
    const bool lost = m_random.Unit() < m_faults.m_lostResponseProbability;
    aLeader->m_responseLost = lost;
    After(lost ? Duration(milliseconds(1500)) : Delay(), [this, aLeader, aAppend] {
      aLeader->m_responseLost = false;
      if (!aLeader->m_stopped) {
        aLeader->m_scheduler->OnAppended(aAppend.m_batch, m_now);
        RunScheduler(aLeader);
      }
    });
  });
}

void
SchedulerWorld::OnRequestCompleted(const std::shared_ptr<Leader>& aLeader,
                                   const CompleteRequest& aCompletion)
{
  const auto it = aLeader->m_requests.find(aCompletion.m_request);
  if (it == aLeader->m_requests.end()) {
    return;
  }
  const GraphId id = it->second.first;
  const bool cancel = it->second.second;
  aLeader->m_requests.erase(it);
  m_refusedAsCancelled += aCompletion.m_result == SubmitResult::Cancelled ? 1 : 0;
  const bool accepted = aCompletion.m_result == SubmitResult::Accepted;
  if (cancel) {
    if (accepted || aCompletion.m_result == SubmitResult::NoSuchJob) {
      m_oracle.OnCancelAnswered(id, accepted, m_now);
    }
    return;
  }
  if (accepted) {
    m_oracle.OnAccepted(id);
    return;
  }
  JobHistory& job = m_oracle.m_jobs[id];
  job.m_refused = job.m_refused || aCompletion.m_result == SubmitResult::NotRun ||
                  aCompletion.m_result == SubmitResult::TooLarge ||
                  aCompletion.m_result == SubmitResult::Cancelled;
}

void
SchedulerWorld::Advance(Duration aTime)
{
  const Instant end = m_now + aTime;
  while (m_now < end) {
    const Instant previous = m_now;
    const Instant tick = std::min(end, m_now + kTickInterval);
    while (!m_events.empty() && m_events.top().m_at <= tick) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = std::max(m_now, event.m_at);
      event.m_callback();
    }
    m_now = tick;
    for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
      worker->Advance(m_now);
    }
    for (const std::shared_ptr<Leader>& leader : std::vector(m_leaders)) {
      RunScheduler(leader);
    }
    CheckRecords();
    CheckRunnableTasks();
    CheckPolls();
    CheckRecoveryTime(m_now - previous);
  }
}

void
SchedulerWorld::FlapUntil(FakeWorker& aWorker, Instant aEnd)
{
  if (m_now >= std::min(aEnd, m_flapsEnd)) {
    return;
  }
  const auto period = [&] {
    return milliseconds(kMinFlapMs + m_random.Below(kMaxFlapMs - kMinFlapMs));
  };
  const Duration down = period();
  aWorker.Restart(m_now);
  aWorker.m_unreachableUntil = std::max(aWorker.m_unreachableUntil, m_now + down);
  if (m_random.Below(2) == 0) {
    aWorker.m_deregisteredUntil = std::max(aWorker.m_deregisteredUntil, m_now + down);
  }
  After(down + period(), [this, &aWorker, aEnd] { FlapUntil(aWorker, aEnd); });
}

void
SchedulerWorld::FlapWorker(FakeWorker& aWorker, Duration aTime)
{
  m_flapsEnd = std::max(m_flapsEnd, m_now + aTime);
  FlapUntil(aWorker, m_now + aTime);
}

void
SchedulerWorld::KeepBusy(Duration aInterval, Duration aTime)
{
  m_busyInterval = aInterval;
  m_busyUntil = m_now + aTime;
}

Duration
SchedulerWorld::MaxDelay() const
{
  return m_busyUntil > m_now ? m_busyInterval + kTickInterval : Duration::zero();
}

void
SchedulerWorld::Settle()
{
  Heal();
  Advance(kSettleTime);
}

void
SchedulerWorld::Heal()
{
  m_flapsEnd = m_now;
  m_busyUntil = m_now;
  m_faults = Faults();
  for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
    if (worker->HasLeft()) {
      continue;
    }
    worker->m_unreachableUntil = m_now;
    worker->m_deregisteredUntil = m_now;
    worker->m_failsAll = false;
  }
  for (std::pair<const WorkerName, Instant>& goneEntry : m_goneWorkers) {
    goneEntry.second = m_now;
  }
  for (const std::shared_ptr<Leader>& leader : m_leaders) {
    leader->m_caller->m_unreachableUntil.clear();
  }
  if (m_leaders.empty() || m_leaders.back()->m_stopped) {
    ElectLeader(false);
  }
}

} // namespace egretturn::schedtest
