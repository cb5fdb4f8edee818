#include "SchedulerWorld.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/EnumTable.h"

namespace egretturn::schedtest {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration kTick = milliseconds(20);
static constexpr Duration kDirectoryEvery = milliseconds(400);
static constexpr Duration kAnswerTimeout = milliseconds(1000);
static constexpr Duration kSettleTime = seconds(90);
static constexpr Duration kLongestLookPause = seconds(2);
static constexpr Duration kLongestLook = seconds(2); // with its timeout
static constexpr Duration kRestartNoticed = seconds(2);
static constexpr Duration kRestartedTime = seconds(20);
static constexpr int64_t kOtherClockMs = 3600000; // of a worker that has started again

SchedulerWorld::SchedulerWorld(uint64_t aSeed, size_t aWorkers)
  : m_random(aSeed)
{
  for (size_t i = 0; i < aWorkers; ++i) {
    WorkerReport report;
    report.m_id = "w" + std::to_string(i);
    report.m_service = "desk";
    report.m_address = "10.0.0." + std::to_string(i + 1) + ":80";
    report.m_rack = "r" + std::to_string(i / 4);
    report.m_labels = { i % 2 ? "b" : "a", report.m_rack };
    report.m_capacity = { 8000, 16000, 0 };
    report.m_incarnation = WallMs();
    m_workers.push_back(std::make_unique<FakeWorker>(report, m_oracle, m_random));
  }
}

void
SchedulerWorld::After(Duration aDelay, std::function<void()> aRun)
{
  m_events.push({ m_now + aDelay, m_order++, std::move(aRun) });
}

FakeWorker&
SchedulerWorld::WorkerOf(const WorkerName& aName)
{
  return *m_workers[std::stoul(aName.substr(1))];
}

static GraphStep
RandomStep(Random& aRandom, size_t aIndex, bool aLasting)
{
  GraphStep step;
  step.m_count = static_cast<uint32_t>(1 + aRandom.Below(6));
  step.m_demand = { static_cast<int64_t>(500 + aRandom.Below(2000)),
                    static_cast<int64_t>(500 + aRandom.Below(3000)),
                    0 };
  step.m_estimateMs = static_cast<int64_t>(200 + aRandom.Below(3000));
  step.m_longRunning = aLasting;
  step.m_bestEffort = !aLasting && aRandom.Below(2) == 0;
  step.m_checkpoints = aRandom.Below(2) == 0;
  step.m_maxPerWorker = aRandom.Below(4) == 0 ? 2 : 0;
  step.m_image = "image" + std::to_string(aRandom.Below(4));
  if (aIndex > 0) {
    step.m_dependencies.push_back(static_cast<uint32_t>(aRandom.Below(aIndex)));
  }
  return step;
}

GraphId
SchedulerWorld::SubmitRandom()
{
  Submission submission;
  submission.m_id = m_random.Next();
  submission.m_terms = { "route", "desk", static_cast<uint32_t>(m_random.Below(3)), 3, 2.0, 500 };
  const bool lasting = m_random.Below(6) == 0;
  const size_t steps = lasting ? 1 : 1 + m_random.Below(3);
  for (size_t i = 0; i < steps; ++i) {
    submission.m_graph.m_steps.push_back(RandomStep(m_random, i, lasting));
  }
  const GraphId id = submission.m_id;
  Submit(std::move(submission));
  return id;
}

void
SchedulerWorld::Submit(Submission aSubmission)
{
  m_oracle.m_jobs[aSubmission.m_id].m_submission = aSubmission;
  if (m_deciders.empty()) {
    return;
  }
  const std::shared_ptr<Decider> decider = m_deciders.back();
  const RequestToken token = ++m_request;
  decider->m_requests[token] = { aSubmission.m_id, false };
  decider->m_scheduler->Submit(token, std::move(aSubmission), m_now, WallMs());
  Pump(decider);
}

void
SchedulerWorld::Cancel(GraphId aId)
{
  if (m_deciders.empty()) {
    return;
  }
  const std::shared_ptr<Decider> decider = m_deciders.back();
  const RequestToken token = ++m_request;
  decider->m_requests[token] = { aId, true };
  decider->m_scheduler->Cancel(token, aId, m_now, WallMs());
  Pump(decider);
}

std::optional<JobState>
SchedulerWorld::StateOf(GraphId aId)
{
  return m_deciders.empty() ? std::nullopt : m_deciders.back()->m_scheduler->StateOf(aId);
}

void
SchedulerWorld::TakeOver(bool aOldLives)
{
  std::optional<std::vector<PlacedTask>> placed;
  if (!m_deciders.empty() && m_random.Unit() < 0.5) {
    m_deciders.back()->m_stopped = true; // it answers its successor, and gives no order afterwards
    placed = m_deciders.back()->m_scheduler->DescribePlaced();
  }
  if (!aOldLives) {
    m_deciders.clear();
  }
  const std::shared_ptr<Decider> decider = std::make_shared<Decider>();
  decider->m_epoch = ++m_epoch;
  SchedulerLimits limits;
  limits.m_endedJobRetention = std::chrono::hours(1); // states are asked for at the end
  decider->m_scheduler = std::make_unique<Scheduler>(limits, decider->m_epoch, m_now);
  decider->m_end = ++m_storeEnd; // the claim
  std::vector<std::pair<GraphId, StoredProgress>> progress;
  for (const std::pair<const std::string, std::string>& valueEntry : m_store) {
    const std::string& key = valueEntry.first;
    const std::string& value = valueEntry.second;
    GraphId id = 0;
    const RecordKind kind = ClassifyKey(key, id);
    StoredJob job;
    StoredProgress one;
    WorkerReport report;
    if (kind == RecordKind::Job && UnpackCompact(value, job)) {
      decider->m_scheduler->RestoreJob(std::move(job), m_now, WallMs());
    } else if (kind == RecordKind::Progress && UnpackCompact(value, one)) {
      progress.emplace_back(id, std::move(one));
    } else if (kind == RecordKind::Worker && UnpackCompact(value, report)) {
      decider->m_scheduler->RestoreWorker(report, m_now);
    }
  }
  for (const std::pair<GraphId, StoredProgress>& oneEntry : progress) {
    const GraphId id = oneEntry.first;
    const StoredProgress& one = oneEntry.second;
    decider->m_scheduler->RestoreProgress(id, one);
  }
  if (placed) {
    decider->m_scheduler->RestorePlaced(*placed);
  }
  m_deciders.push_back(decider);
  ReadDirectory(decider);
}

void
SchedulerWorld::ReadDirectory(const std::shared_ptr<Decider>& aDecider)
{
  if (aDecider->m_stopped ||
      std::find(m_deciders.begin(), m_deciders.end(), aDecider) == m_deciders.end()) {
    return;
  }
  for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
    const WorkerName& id = worker->Report().m_id;
    const bool listed = worker->m_unlistedUntil <= m_now;
    if (listed) {
      aDecider->m_scheduler->UpdateWorker(worker->Report(), m_now);
    } else if (aDecider->m_listed[id]) {
      aDecider->m_scheduler->DeregisterWorker(id, m_now);
    }
    aDecider->m_listed[id] = listed;
  }
  aDecider->m_scheduler->OnDirectoryRead();
  Pump(aDecider);
  After(kDirectoryEvery, [this, aDecider] { ReadDirectory(aDecider); });
}

void
SchedulerWorld::Pump(const std::shared_ptr<Decider>& aDecider)
{
  if (aDecider->m_stopped) {
    return;
  }
  aDecider->m_scheduler->Tick(m_now, WallMs());
  for (const Action& action : aDecider->m_scheduler->TakeActions()) {
    Carry(aDecider, action);
  }
}

void
SchedulerWorld::Order(const std::shared_ptr<Decider>& aDecider,
                      const WorkerName& aWorker,
                      const std::function<WorkerCallResult(FakeWorker&, bool)>& aCall,
                      const std::function<void(WorkerCallResult)>& aDone)
{
  const std::function<void(WorkerCallResult)> done =
    [this, aDecider, aDone](WorkerCallResult aResult) {
      if (!aDecider->m_stopped) {
        aDone(aResult);
        Pump(aDecider);
      }
    };
  if (m_random.Unit() < m_faults.m_lateOrder) {
    After(kAnswerTimeout, [done] { done(WorkerCallResult::NoResponse); });
    After(milliseconds(2000 + m_random.Below(10000)),
          [this, aWorker, aCall, born = WorkerOf(aWorker).Report().m_incarnation] {
            FakeWorker& worker = WorkerOf(aWorker);
            if (worker.Report().m_incarnation == born) {
              aCall(worker, true);
            }
          });
    return;
  }
  After(Delay(), [this, aWorker, aCall, done, born = WorkerOf(aWorker).Report().m_incarnation] {
    FakeWorker& worker = WorkerOf(aWorker);
    if (worker.m_unreachableUntil > m_now) {
      After(kAnswerTimeout, [done] { done(WorkerCallResult::NotSent); });
      return;
    }
    const WorkerCallResult result = worker.Report().m_incarnation == born
                                      ? aCall(worker, false)
                                      : WorkerCallResult::IncarnationMismatch;
    After(Delay(), [done, result] { done(result); });
  });
}

void
SchedulerWorld::Carry(const std::shared_ptr<Decider>& aDecider, const Action& aAction)
{
  Scheduler* scheduler = aDecider->m_scheduler.get();
  const uint64_t fence = aDecider->m_epoch;
  std::visit(Overloaded{
               [&](const StartTask& aStart) {
                 Order(
                   aDecider,
                   aStart.m_worker,
                   [this, aStart, fence](FakeWorker& aWorker, bool aLate) {
                     return aWorker.Start(aStart, fence, m_now, aLate);
                   },
                   [this, scheduler, aStart](WorkerCallResult aResult) {
                     scheduler->OnStartResult(
                       aStart.m_worker, aStart.m_task, aStart.m_attempt, aResult, m_now);
                   });
               },
               [&](const StopTask& aStop) {
                 Order(
                   aDecider,
                   aStop.m_worker,
                   [this, aStop, fence](FakeWorker& aWorker, bool) {
                     return aWorker.Stop(aStop, fence, m_now);
                   },
                   [this, scheduler, aStop](WorkerCallResult aResult) {
                     scheduler->OnStopResult(
                       aStop.m_worker, aStop.m_task, aStop.m_attempt, aResult, m_now);
                   });
               },
               [&](const PollWorker& aLook) {
                 const std::shared_ptr<WorkerStatus> view = std::make_shared<WorkerStatus>();
                 Order(
                   aDecider,
                   aLook.m_worker,
                   [this, aLook, fence, view](FakeWorker& aWorker, bool aLate) {
                     WorkerStatus seen;
                     const WorkerCallResult result = aWorker.Look(aLook, fence, m_now, seen);
                     if (!aLate) {
                       *view = seen;
                     }
                     return result;
                   },
                   [this, scheduler, aLook, view](WorkerCallResult aResult) {
                     if (aResult == WorkerCallResult::Accepted) {
                       scheduler->OnPollResponse(aLook.m_worker, aLook.m_number, *view, m_now);
                     } else {
                       scheduler->OnPollFailed(aLook.m_worker, aLook.m_number, aResult, m_now);
                     }
                   });
               },
               [&](const ThrottleTask&) {},
               [&](const AppendRecords& aAppend) { Append(aDecider, aAppend); },
               [&](const CompleteRequest& aAnswer) { Answer(aDecider, aAnswer); },
               [&](const StepDown&) { aDecider->m_stopped = true; },
             },
             aAction);
}

void
SchedulerWorld::Append(const std::shared_ptr<Decider>& aDecider, const AppendRecords& aAppend)
{
  After(Delay(), [this, aDecider, aAppend] {
    if (aDecider->m_stopped) {
      return;
    }
    if (m_faults.m_storeDown) {
      Append(aDecider, aAppend); // tried again until the store is back
      return;
    }
    if (m_storeEnd != aDecider->m_end) {
      aDecider->m_stopped = true;
      return;
    }
    for (const KeyedRecord& record : aAppend.m_records) {
      if (record.m_value.empty()) {
        m_store.erase(record.m_key);
      } else {
        m_store[record.m_key] = record.m_value;
      }
    }
    m_storeEnd += aAppend.m_records.size();
    aDecider->m_end = m_storeEnd;
    // A lost answer is settled by reading back, later.
    const bool lost = m_random.Unit() < m_faults.m_lostAppend;
    After(lost ? Duration(milliseconds(1500)) : Delay(), [this, aDecider, aAppend] {
      if (!aDecider->m_stopped) {
        aDecider->m_scheduler->OnAppended(aAppend.m_batch, m_now);
        Pump(aDecider);
      }
    });
  });
}

void
SchedulerWorld::Answer(const std::shared_ptr<Decider>& aDecider, const CompleteRequest& aAnswer)
{
  const auto it = aDecider->m_requests.find(aAnswer.m_request);
  if (it == aDecider->m_requests.end()) {
    return;
  }
  const GraphId id = it->second.first;
  const bool cancel = it->second.second;
  aDecider->m_requests.erase(it);
  JobTruth& job = m_oracle.m_jobs[id];
  if (cancel && aAnswer.m_result == SubmitResult::Accepted && !job.m_cancelled) {
    job.m_cancelled = true;
    job.m_cancelledAt = m_now;
  } else if (!cancel) {
    job.m_accepted = job.m_accepted || aAnswer.m_result == SubmitResult::Accepted;
    job.m_refused = job.m_refused || aAnswer.m_result == SubmitResult::NotRun;
  }
}

void
SchedulerWorld::Advance(Duration aTime)
{
  const Instant end = m_now + aTime;
  while (m_now < end) {
    const Instant tick = std::min(end, m_now + kTick);
    while (!m_events.empty() && m_events.top().m_at <= tick) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = std::max(m_now, event.m_at);
      event.m_attempt();
    }
    m_now = tick;
    for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
      worker->Advance(m_now);
    }
    for (const std::shared_ptr<Decider>& decider : std::vector(m_deciders)) {
      Pump(decider);
    }
    CheckLooks();
  }
}

void
SchedulerWorld::Settle()
{
  m_faults = Faults();
  for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
    worker->m_unreachableUntil = m_now;
    worker->m_unlistedUntil = m_now;
    worker->m_failsAll = false;
  }
  if (m_deciders.empty() || m_deciders.back()->m_stopped) {
    TakeOver(false);
  }
  Advance(kSettleTime);
}

void
SchedulerWorld::CheckContact()
{
  for (const std::unique_ptr<Worker>& worker : m_deciders.back()->m_scheduler->Workers().All()) {
    const Obstacle obstacle = FindUnavailability(*worker, m_now);
    if (obstacle != Obstacle::None) {
      m_oracle.Break("a sound worker takes no work: " + worker->m_report.m_id + " " +
                     std::string(NameOf(obstacle)));
    }
  }
}

void
SchedulerWorld::CheckLooks()
{
  if (m_deciders.empty() || m_deciders.back()->m_stopped) {
    return;
  }
  for (const std::unique_ptr<Worker>& worker : m_deciders.back()->m_scheduler->Workers().All()) {
    const Obstacle obstacle = FindUnavailability(*worker, m_now);
    const bool asked = obstacle == Obstacle::NotLooked || obstacle == Obstacle::OutOfContact ||
                       !worker->m_attempts.empty();
    // A look that was due is in flight by now: this follows a turn of the scheduler.
    const bool dueSoon =
      worker->m_lookDueAt > m_now && worker->m_lookDueAt <= m_now + kLongestLookPause;
    const bool inTime =
      worker->m_lookInFlight ? m_now - worker->m_lookSentAt <= kLongestLook : dueSoon;
    if (asked && !inTime) {
      m_oracle.Break("no look in time: " + worker->m_report.m_id + " " +
                     std::string(NameOf(obstacle)));
    }
  }
}

void
SchedulerWorld::CheckRestarts()
{
  for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
    worker->m_firstClockMs = kOtherClockMs;
    worker->Restart(m_now);
  }
  Advance(kRestartNoticed);
  for (const std::unique_ptr<Worker>& worker : m_deciders.back()->m_scheduler->Workers().All()) {
    const WorkerName& name = worker->m_report.m_id;
    if (worker->m_incarnation != WorkerOf(name).Report().m_incarnation) {
      m_oracle.Break("a restart went unnoticed: " + name);
    }
  }
  GraphStep step;
  step.m_count = static_cast<uint32_t>(m_workers.size());
  step.m_demand = { 1000, 1000, 0 };
  step.m_estimateMs = 1000;
  step.m_maxPerWorker = 1;
  Submission submission;
  submission.m_id = m_random.Next();
  submission.m_terms = { "route", "desk", 0, 100, 2.0, 500 };
  submission.m_graph.m_steps.push_back(step);
  const GraphId id = submission.m_id;
  Submit(std::move(submission));
  Advance(kRestartedTime);
  if (StateOf(id) != JobState::Done) {
    m_oracle.Break("workers that have started again do not take work");
  }
}

void
SchedulerWorld::CheckEnd()
{
  for (const std::pair<const GraphId, JobTruth>& jobEntry : m_oracle.m_jobs) {
    const GraphId id = jobEntry.first;
    const JobTruth& job = jobEntry.second;
    if (!job.m_accepted) {
      continue;
    }
    const std::string name = FormatGraphId(id);
    const std::optional<JobState> state = StateOf(id);
    if (!state) {
      m_oracle.Break("an accepted job is lost: " + name);
      continue;
    }
    if (job.m_cancelled && !IsEnded(*state)) {
      m_oracle.Break("a cancelled job goes on: " + name);
    }
    const bool lasting = job.m_submission.m_graph.m_steps[0].m_longRunning;
    if (!lasting && !IsEnded(*state)) {
      m_oracle.Break("a job stands still: " + name + " " + std::string(NameOf(*state)));
    }
    if (*state != JobState::Done) {
      continue;
    }
    for (size_t s = 0; s < job.m_submission.m_graph.m_steps.size(); ++s) {
      for (uint32_t i = 0; i < job.m_submission.m_graph.m_steps[s].m_count; ++i) {
        if (!m_oracle.IsDone({ id, 0, static_cast<uint16_t>(s), static_cast<uint16_t>(i) })) {
          m_oracle.Break("shown as done too early: " + name);
        }
      }
    }
  }
}

} // namespace egretturn::schedtest
