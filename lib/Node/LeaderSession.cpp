#include "egretturn/Node/LeaderSession.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/EnumTable.h"
#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kDirectoryPollInterval = std::chrono::milliseconds(400);
static constexpr Duration kAppendRetryDelay = std::chrono::milliseconds(100);
static constexpr uint32_t kMaxRefusals = 3; // of one record, before it is left out
static constexpr Duration kStoreUnavailableAfter = std::chrono::milliseconds(800);
// Events within this time share one run of the scheduler, which looks at each worker.
static constexpr Duration kBatchingDelay = std::chrono::milliseconds(2);
static constexpr Duration kBatchingDelayPerWorker = std::chrono::microseconds(3);
static constexpr Duration kConfirmInterval = std::chrono::milliseconds(400);
static constexpr Duration kReadingInterval =
  std::chrono::milliseconds(1000); // between readings of the retention clock in the store
static constexpr Duration kSuspendedInterval =
  std::chrono::milliseconds(50); // between checks whether workers may be called again

LeaderSession::LeaderSession(boost::asio::io_context& aIo,
                             StorePort& aStore,
                             WorkerPort& aWorkers,
                             ReportDecoder aDecoder,
                             const SchedulerLimits& aLimits,
                             StoredClaim aClaim,
                             Callbacks aCallbacks)
  : m_io(aIo)
  , m_timer(aIo)
  , m_appendTimer(aIo)
  , m_store(aStore)
  , m_workers(aWorkers)
  , m_decoder(std::move(aDecoder))
  , m_claim(std::move(aClaim))
  , m_callbacks(std::move(aCallbacks))
  , m_scheduler(aLimits, m_claim.m_epoch, BootClockNow())
  , m_earlierLeaders(std::exchange(m_claim.m_earlierLeaders, {}))
{
}

void
LeaderSession::Start(RecoveredState aState)
{
  const Instant now = BootClockNow();
  const int64_t wallMs = WallNowMs();
  m_end = aState.m_end;
  m_confirmedAt = aState.m_confirmedAt;
  m_authority.OnConfirmed(m_confirmedAt);
  m_scheduler.RestoreRetentionClock(m_claim.m_readingMs);
  m_scheduler.RestoreModels(aState.m_models);
  for (StoredJob& job : aState.m_jobs) {
    m_scheduler.RestoreJob(std::move(job), now, wallMs);
  }
  for (const std::pair<GraphId, StoredProgress>& progressEntry : aState.m_progress) {
    const GraphId id = progressEntry.first;
    const StoredProgress& progress = progressEntry.second;
    m_scheduler.RestoreProgress(id, progress);
  }
  for (const RecoveredProgressPart& part : aState.m_progressParts) {
    m_scheduler.RestoreProgressPart(part.m_key, part.m_job, part.m_part, now);
  }
  for (const std::pair<GraphId, StoredTombstone>& tombstoneEntry : aState.m_tombstones) {
    m_scheduler.RestoreTombstone(tombstoneEntry.first, tombstoneEntry.second);
  }
  if (aState.m_earlierLeadersActive) {
    m_scheduler.ExpectEarlierLeaders();
  }
  for (const WorkerReport& report : aState.m_workers) {
    m_workers.SetWorkerZone(report.m_id, report.m_zone);
    m_scheduler.RestoreWorker(report, now);
  }
  TopicFollower::Callbacks callbacks;
  const std::weak_ptr<LeaderSession> weak = weak_from_this();
  callbacks.m_onRecord = [weak](const KeyedRecord& aRecord) {
    const std::shared_ptr<LeaderSession> self = weak.lock();
    if (!self || self->m_stopped) {
      return;
    }
    if (aRecord.m_value.empty()) {
      self->m_scheduler.DeregisterWorker(aRecord.m_key, BootClockNow());
      return;
    }
    const Expected<WorkerReport> report = self->m_decoder(aRecord);
    if (report) {
      self->m_workers.SetWorkerZone(report->m_id, report->m_zone);
      self->m_scheduler.UpdateWorker(*report, BootClockNow());
      return;
    }
    if (const std::optional<uint64_t> suppressed =
          self->m_skippedEntryLimiter.TryAcquire(BootClockNow())) {
      Log(LogLine(LogLevel::Warning, "entry_skipped")
            .Add("worker", aRecord.m_key)
            .Add("error", report.error().Text())
            .Add("lines_held_back", *suppressed));
    }
  };
  callbacks.m_onCaughtUp = [weak] {
    const std::shared_ptr<LeaderSession> self = weak.lock();
    if (self && !self->m_stopped) {
      self->m_scheduler.OnDirectoryRead();
      self->Wake();
    }
  };
  FollowTiming timing;
  timing.m_interval = kDirectoryPollInterval;
  m_directory =
    std::make_shared<TopicFollower>(m_io, m_store, Topic::Directory, timing, std::move(callbacks));
  m_directory->Start();
  Wake();
}

void
LeaderSession::SetEvacuations(const ZoneEvacuations& aEvacuations)
{
  m_scheduler.Workers().SetEvacuations(aEvacuations);
  Wake();
}

void
LeaderSession::RestorePlacements(const Placements& aPlacements)
{
  if (m_stopped) {
    return;
  }
  Log(LogLine(LogLevel::Info, "placed_known")
        .Add("epoch", m_claim.m_epoch)
        .Add("tasks", uint64_t{ aPlacements.m_tasks.size() })
        .Add("leases", uint64_t{ aPlacements.m_leases.size() }));
  m_scheduler.RestorePlacements(aPlacements, BootClockNow());
  Wake();
}

void
LeaderSession::Stop()
{
  m_stopped = true;
  m_timer.cancel();
  m_appendTimer.cancel();
  if (m_directory) {
    m_directory->Stop();
  }
}

void
LeaderSession::Submit(RequestToken aRequest, Submission aSubmission)
{
  m_scheduler.Submit(aRequest, std::move(aSubmission), BootClockNow(), WallNowMs());
  Wake();
}

void
LeaderSession::Cancel(RequestToken aRequest, GraphId aId)
{
  m_scheduler.Cancel(aRequest, aId, BootClockNow(), WallNowMs());
  Wake();
}

void
LeaderSession::RenewClaim()
{
  if (m_appending.empty()) {
    Append({ MakeClaimRecord() }, 0);
  }
}

KeyedRecord
LeaderSession::MakeClaimRecord()
{
  m_claimWrittenAt = BootClockNow();
  m_appendedWitnesses = m_witnesses;
  UpdateAuthority();
  StoredClaim claim = m_claim;
  claim.m_readingMs = m_scheduler.RetentionClockMs();
  claim.m_witnesses = m_witnesses;
  if (!m_scheduler.IsRecovered()) {
    claim.m_earlierLeaders = m_earlierLeaders; // afterwards no lease of theirs is valid any more
  }
  return { std::string(kClaimKey), PackCompact(claim) };
}

void
LeaderSession::SetWitnesses(std::vector<Witness> aWitnesses)
{
  m_witnesses = std::move(aWitnesses);
}

void
LeaderSession::UpdateAuthority()
{
  std::vector<std::string> names;
  for (const std::vector<Witness>* witnesses : { &m_storedWitnesses, &m_appendedWitnesses }) {
    for (const Witness& witness : *witnesses) {
      names.push_back(witness.m_instance);
    }
  }
  m_authority.SetWitnesses(std::move(names));
}

void
LeaderSession::OnFollowed(const std::string& aPeer, Instant aSince)
{
  m_authority.OnFollowed(aPeer, aSince);
}

void
LeaderSession::OnEarlierLeadersStopping()
{
  m_scheduler.OnEarlierLeadersStopping(BootClockNow());
  Wake();
}

void
LeaderSession::Wake()
{
  WakeAt(BootClockNow() + BatchingDelay());
}

Duration
LeaderSession::BatchingDelay()
{
  return kBatchingDelay + kBatchingDelayPerWorker * m_scheduler.Workers().All().size();
}

void
LeaderSession::WakeAt(Instant aAt)
{
  if (m_stopped || (m_timerSet && m_wakeAt <= aAt)) {
    return;
  }
  m_timerSet = true;
  m_wakeAt = aAt;
  m_timer.expires_after(std::max(aAt - BootClockNow(), Duration::zero()));
  m_timer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError && !self->m_stopped) {
      self->m_timerSet = false;
      self->RunScheduler();
    }
  });
}

bool
LeaderSession::NeedsConfirmation(Instant aNow) const
{
  return aNow - m_confirmedAt >= kConfirmInterval || m_witnesses != m_storedWitnesses;
}

void
LeaderSession::RunScheduler()
{
  const Instant now = BootClockNow();
  if (m_appending.empty() && NeedsConfirmation(now)) {
    RenewClaim();
  }
  if (!m_appending.empty() && now - m_appendStartedAt >= kStoreUnavailableAfter) {
    SetStoreAvailable(false);
  }
  const bool mayCall = CheckAuthority(now);
  if (mayCall) {
    m_scheduler.OnConfirmed(m_authority.ConfirmedSince(), now);
    m_scheduler.Tick(now, WallNowMs());
  }
  m_scheduler.ExpireUnconfirmedCancels(now);
  ExecuteActions();
  if (m_stopped) {
    return;
  }
  WakeAt(mayCall ? std::max(m_scheduler.NextTickAt(now), now + BatchingDelay())
                 : now + kSuspendedInterval);
}

void
LeaderSession::ExecuteActions()
{
  for (const Action& action : m_scheduler.TakeActions()) {
    Execute(action);
    if (m_stopped) {
      return;
    }
  }
}

bool
LeaderSession::CheckAuthority(Instant aNow)
{
  const bool mayCall = m_authority.MayCall(aNow);
  if (mayCall != m_mayCall) {
    m_mayCall = mayCall;
    Log(LogLine(LogLevel::Warning, mayCall ? "calls_resumed" : "calls_suspended")
          .Add("epoch", m_claim.m_epoch)
          .Add("confirmed_ms", ToMillis(aNow - m_confirmedAt)));
  }
  return mayCall;
}

bool
LeaderSession::MayCall() const
{
  return !m_stopped && m_authority.MayCall(BootClockNow());
}

void
LeaderSession::Execute(const Action& aAction)
{
  const std::shared_ptr<LeaderSession> self = shared_from_this();
  std::visit(
    Overloaded{
      [&](const StartTask& aStart) {
        m_workers.Start(
          aStart,
          aStart.m_fence,
          [self, worker = aStart.m_worker, task = aStart.m_task, attempt = aStart.m_attempt](
            WorkerCallResult aResult) {
            if (!self->m_stopped) {
              self->m_scheduler.OnStartResult(worker, task, attempt, aResult, BootClockNow());
              self->Wake();
            }
          });
      },
      [&](const StopTask& aStop) {
        if (!m_mayCall) {
          return; // a successor may rely on the task; the scheduler retries unconfirmed stops
        }
        m_workers.Stop(
          aStop,
          aStop.m_fence,
          [self, worker = aStop.m_worker, task = aStop.m_task, attempt = aStop.m_attempt](
            WorkerCallResult aResult) {
            if (!self->m_stopped) {
              self->m_scheduler.OnStopResult(worker, task, attempt, aResult, BootClockNow());
              self->Wake();
            }
          });
      },
      [&](const ThrottleTask& aThrottle) {
        m_workers.Throttle(aThrottle, aThrottle.m_fence, [](WorkerCallResult) {});
      },
      [&](const PollWorker& aPoll) {
        m_workers.Poll(
          aPoll,
          aPoll.m_fence,
          [self, worker = aPoll.m_worker, number = aPoll.m_number](WorkerCallResult aResult,
                                                                   const WorkerStatus& aStatus) {
            if (self->m_stopped) {
              return;
            }
            if (aResult == WorkerCallResult::Accepted) {
              self->m_scheduler.OnPollResponse(worker, number, aStatus, BootClockNow());
              if (self->MayCall()) {
                self->ExecuteActions();
              }
            } else {
              self->m_scheduler.OnPollFailed(worker, number, aResult, BootClockNow());
            }
            self->Wake();
          });
      },
      [&](const AppendRecords& aAppend) { Append(aAppend.m_records, aAppend.m_batch); },
      [&](const CompleteRequest& aRequest) {
        m_callbacks.m_onRequestComplete(aRequest.m_request, aRequest.m_result);
      },
      [&](const StepDown& aStepDown) { StepDownNow(aStepDown.m_reason); },
      [&](const ForgetWorker& aForget) { m_workers.RemoveWorker(aForget.m_worker); },
    },
    aAction);
}

void
LeaderSession::Append(std::vector<KeyedRecord> aRecords, uint64_t aBatch)
{
  if (!m_appending.empty()) {
    m_queued = std::move(aRecords); // the claim is being renewed
    m_queuedBatch = aBatch;
    return;
  }
  m_appending = std::move(aRecords);
  m_appendingBatch = aBatch;
  m_mayHaveAppended = false;
  m_appendStartedAt = BootClockNow();
  if (m_appendStartedAt - m_claimWrittenAt >= kReadingInterval) {
    m_appending.push_back(MakeClaimRecord());
  }
  SendAppend();
}

void
LeaderSession::SendAppend()
{
  m_requestSentAt = BootClockNow();
  m_store.AppendAt(
    Topic::Jobs, m_end, m_appending, [self = shared_from_this()](AppendResult aResult) {
      if (!self->m_stopped) {
        self->OnAppend(aResult);
      }
    });
}

void
LeaderSession::OnAppend(const AppendResult& aResult)
{
  switch (aResult.m_kind) {
    case AppendResult::Kind::Appended:
      FinishAppend(aResult.m_end);
      return;
    case AppendResult::Kind::Conflict:
      if (m_mayHaveAppended) {
        ResolveConflict();
      } else {
        StepDownNow("the topic of jobs has another writer");
      }
      return;
    case AppendResult::Kind::Unknown:
      m_mayHaveAppended = true;
      RetryAppend();
      return;
    case AppendResult::Kind::NotAppended:
      RetryAppend();
      return;
    case AppendResult::Kind::Refused:
      DivideAppend();
      return;
  }
}

void
LeaderSession::DivideAppend()
{
  const auto largest = std::max_element(
    m_appending.begin(), m_appending.end(), [](const KeyedRecord& aOne, const KeyedRecord& aTwo) {
      return RecordBytes(aOne) < RecordBytes(aTwo);
    });
  Log(LogLine(LogLevel::Error, "append_refused")
        .Add("epoch", m_claim.m_epoch)
        .Add("records", uint64_t{ m_appending.size() })
        .Add("largest", largest->m_key)
        .Add("bytes", uint64_t{ RecordBytes(*largest) })
        .Add("remedy", "compare the store's limits with the settings"));
  if (m_appending.size() == 1) {
    LeaveOutRecord();
    return;
  }
  const auto middle = m_appending.begin() + static_cast<std::ptrdiff_t>(m_appending.size() / 2);
  m_postponed.insert(m_postponed.begin(), middle, m_appending.end());
  m_appending.erase(middle, m_appending.end());
  m_refusals = 0;
  SendAppend();
}

void
LeaderSession::LeaveOutRecord()
{
  const std::string key = m_appending.front().m_key;
  if (++m_refusals < kMaxRefusals) {
    RetryAppend();
    return;
  }
  if (key == kClaimKey) {
    StepDownNow("the store refuses the claim");
    return;
  }
  Log(LogLine(LogLevel::Error, "record_left_out").Add("epoch", m_claim.m_epoch).Add("key", key));
  m_refusals = 0;
  m_scheduler.OnRecordRefused(key, BootClockNow());
  m_appending = std::exchange(m_postponed, {});
  if (m_appending.empty()) {
    m_appending.push_back(MakeClaimRecord()); // only an append confirms the claim
  }
  SendAppend();
}

void
LeaderSession::RetryAppend()
{
  if (BootClockNow() - m_appendStartedAt >= kStoreUnavailableAfter) {
    SetStoreAvailable(false);
  }
  m_appendTimer.expires_after(kAppendRetryDelay);
  m_appendTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError && !self->m_stopped) {
      self->SendAppend();
    }
  });
}

void
LeaderSession::ResolveConflict()
{
  m_readBack.clear();
  ReadBack();
}

void
LeaderSession::ReadBack()
{
  m_requestSentAt = BootClockNow();
  m_store.ReadTail(Topic::Jobs,
                   m_end + m_readBack.size(),
                   Duration::zero(),
                   [self = shared_from_this()](const Expected<TopicPage>& aPage) {
                     if (!self->m_stopped) {
                       self->OnConflictRead(aPage);
                     }
                   });
}

void
LeaderSession::OnConflictRead(const Expected<TopicPage>& aPage)
{
  if (!aPage && aPage.error().m_kind == ErrorKind::NotFound) {
    // The result of the append can't be determined any more.
    StepDownNow("the records after the last known one have been deleted");
    return;
  }
  if (!aPage) {
    RetryAppend();
    return;
  }
  // The records after m_end are this instance's own append, unless another instance has claimed.
  // A read may return only a part of them.
  m_readBack.insert(m_readBack.end(), aPage->m_records.begin(), aPage->m_records.end());
  const size_t compared = std::min(m_readBack.size(), m_appending.size());
  const bool own =
    aPage->m_end == m_end + m_appending.size() &&
    std::equal(m_readBack.begin(), m_readBack.begin() + compared, m_appending.begin());
  if (!own) {
    StepDownNow("another instance has claimed");
    return;
  }
  if (m_readBack.size() >= m_appending.size()) {
    FinishAppend(aPage->m_end);
  } else if (aPage->m_records.empty()) {
    RetryAppend(); // the response made no progress
  } else {
    ReadBack();
  }
}

void
LeaderSession::FinishAppend(LogOffset aEnd)
{
  m_end = aEnd;
  m_appending = std::exchange(m_postponed, {});
  m_refusals = 0;
  m_mayHaveAppended = false;
  m_readBack.clear();
  m_confirmedAt = m_requestSentAt;
  m_authority.OnConfirmed(m_confirmedAt);
  if (!m_appending.empty()) {
    SendAppend();
    return;
  }
  m_storedWitnesses =
    m_appendedWitnesses; // the append may not have held them, but earlier ones did
  UpdateAuthority();
  SetStoreAvailable(true);
  if (m_appendingBatch > 0) {
    m_scheduler.OnAppended(m_appendingBatch, BootClockNow());
  }
  if (!m_queued.empty()) {
    Append(std::exchange(m_queued, {}), m_queuedBatch);
  }
  Wake();
}

void
LeaderSession::SetStoreAvailable(bool aAvailable)
{
  if (m_storeAvailable == aAvailable) {
    return;
  }
  m_storeAvailable = aAvailable;
  m_scheduler.SetStoreAvailable(aAvailable);
  Log(LogLine(LogLevel::Warning, aAvailable ? "store_regained" : "store_lost")
        .Add("epoch", m_claim.m_epoch)
        .Add("pending_ms", ToMillis(BootClockNow() - m_appendStartedAt)));
}

void
LeaderSession::StepDownNow(const std::string& aReason)
{
  if (m_stopped) {
    return;
  }
  m_callbacks.m_onStepDown(aReason);
  Stop();
}

} // namespace egretturn
