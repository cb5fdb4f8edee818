#include "egretturn/Node/LeaderSession.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/EnumTable.h"
#include "egretturn/Support/Log.h"

namespace egretturn {

static constexpr Duration kDirectoryPause = std::chrono::milliseconds(400);
static constexpr Duration kAppendRetry = std::chrono::milliseconds(100);
static constexpr Duration kStorePatience = std::chrono::milliseconds(800); // then it counts as away
static constexpr Duration kGather = std::chrono::milliseconds(2); // events that come together
static constexpr Duration kConfirmEvery = std::chrono::milliseconds(1000);

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
  , m_scheduler(aLimits, m_claim.m_epoch, NowWithSuspend())
  , m_confirmedAt(NowWithSuspend())
{
}

void
LeaderSession::Start(RecoveredState aState)
{
  const Instant now = NowWithSuspend();
  const int64_t wallMs = WallNowMs();
  m_end = aState.m_end;
  m_scheduler.RestoreModels(aState.m_learned);
  for (StoredJob& job : aState.m_jobs) {
    m_scheduler.RestoreJob(std::move(job), now, wallMs);
  }
  for (const std::pair<GraphId, StoredProgress>& progressEntry : aState.m_progress) {
    const GraphId id = progressEntry.first;
    const StoredProgress& progress = progressEntry.second;
    m_scheduler.RestoreProgress(id, progress);
  }
  for (const WorkerReport& report : aState.m_workers) {
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
      self->m_scheduler.DeregisterWorker(aRecord.m_key, NowWithSuspend());
      return;
    }
    const Expected<WorkerReport> report = self->m_decoder(aRecord);
    if (report) {
      self->m_scheduler.UpdateWorker(*report, NowWithSuspend());
      return;
    }
    if (const std::optional<uint64_t> heldBack =
          self->m_skippedEntries.TryAcquire(NowWithSuspend())) {
      Log(LogLine(LogLevel::Warning, "entry_skipped")
            .Add("worker", aRecord.m_key)
            .Add("error", report.error().Text())
            .Add("lines_held_back", *heldBack));
    }
  };
  callbacks.m_onCaughtUp = [weak] {
    const std::shared_ptr<LeaderSession> self = weak.lock();
    if (self && !self->m_stopped) {
      self->m_scheduler.OnDirectoryRead();
      self->Wake();
    }
  };
  FollowPace pace;
  pace.m_pause = kDirectoryPause;
  m_directory =
    std::make_shared<TopicFollower>(m_io, m_store, Topic::Directory, pace, std::move(callbacks));
  m_directory->Start();
  Wake();
}

void
LeaderSession::RestorePlaced(const std::vector<PlacedTask>& aPlaced)
{
  if (m_stopped) {
    return;
  }
  Log(LogLine(LogLevel::Info, "placed_known")
        .Add("epoch", m_claim.m_epoch)
        .Add("tasks", uint64_t{ aPlaced.size() }));
  m_scheduler.RestorePlaced(aPlaced);
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
  m_scheduler.Submit(aRequest, std::move(aSubmission), NowWithSuspend(), WallNowMs());
  Wake();
}

void
LeaderSession::Cancel(RequestToken aRequest, GraphId aId)
{
  m_scheduler.Cancel(aRequest, aId, NowWithSuspend(), WallNowMs());
  Wake();
}

void
LeaderSession::Confirm()
{
  if (m_appending.empty()) {
    Append({ { std::string(kClaimKey), PackCompact(m_claim) } }, 0);
  }
}

void
LeaderSession::Wake()
{
  WakeAt(NowWithSuspend() + kGather);
}

void
LeaderSession::WakeAt(Instant aAt)
{
  if (m_stopped || (m_timerSet && m_wakeAt <= aAt)) {
    return;
  }
  m_timerSet = true;
  m_wakeAt = aAt;
  m_timer.expires_after(std::max(aAt - NowWithSuspend(), Duration::zero()));
  m_timer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError && !self->m_stopped) {
      self->m_timerSet = false;
      self->Step();
    }
  });
}

void
LeaderSession::Step()
{
  const Instant now = NowWithSuspend();
  if (m_appending.empty() && now - m_confirmedAt >= kConfirmEvery) {
    Confirm();
  }
  if (!m_appending.empty() && now - m_appendSince >= kStorePatience) {
    NoteStore(false);
  }
  m_scheduler.Tick(now, WallNowMs());
  for (const Action& action : m_scheduler.TakeActions()) {
    Carry(action);
    if (m_stopped) {
      return;
    }
  }
  WakeAt(std::max(m_scheduler.NextWake(now), now + kGather));
}

void
LeaderSession::Carry(const Action& aAction)
{
  const uint64_t fence = m_claim.m_epoch;
  const std::shared_ptr<LeaderSession> self = shared_from_this();
  std::visit(
    Overloaded{
      [&](const StartTask& aStart) {
        m_workers.Start(
          aStart,
          fence,
          [self, worker = aStart.m_worker, task = aStart.m_task, run = aStart.m_attempt](
            WorkerCallResult aResult) {
            if (!self->m_stopped) {
              self->m_scheduler.OnStartResult(worker, task, run, aResult, NowWithSuspend());
              self->Wake();
            }
          });
      },
      [&](const StopTask& aStop) {
        m_workers.Stop(aStop,
                       fence,
                       [self, worker = aStop.m_worker, task = aStop.m_task, run = aStop.m_attempt](
                         WorkerCallResult aResult) {
                         if (!self->m_stopped) {
                           self->m_scheduler.OnStopResult(
                             worker, task, run, aResult, NowWithSuspend());
                           self->Wake();
                         }
                       });
      },
      [&](const ThrottleTask& aPace) { m_workers.Pace(aPace, fence, [](WorkerCallResult) {}); },
      [&](const PollWorker& aLook) {
        m_workers.Look(
          aLook,
          fence,
          [self, worker = aLook.m_worker, number = aLook.m_number](WorkerCallResult aResult,
                                                                   const WorkerStatus& aView) {
            if (self->m_stopped) {
              return;
            }
            if (aResult == WorkerCallResult::Accepted) {
              self->m_scheduler.OnPollResponse(worker, number, aView, NowWithSuspend());
            } else {
              self->m_scheduler.OnPollFailed(worker, number, aResult, NowWithSuspend());
            }
            self->Wake();
          });
      },
      [&](const AppendRecords& aAppend) { Append(aAppend.m_records, aAppend.m_batch); },
      [&](const CompleteRequest& aAnswer) {
        m_callbacks.m_onAnswer(aAnswer.m_request, aAnswer.m_result);
      },
      [&](const StepDown& aStepDown) { StepDownNow(aStepDown.m_reason); },
    },
    aAction);
}

void
LeaderSession::Append(std::vector<KeyedRecord> aRecords, uint64_t aBatch)
{
  if (!m_appending.empty()) {
    m_queued = std::move(aRecords); // a claim is being written again
    m_queuedBatch = aBatch;
    return;
  }
  m_appending = std::move(aRecords);
  m_appendingBatch = aBatch;
  m_mayHaveAppended = false;
  m_appendSince = NowWithSuspend();
  SendAppend();
}

void
LeaderSession::SendAppend()
{
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
        SettleConflict();
      } else {
        StepDownNow("the topic of jobs has another writer");
      }
      return;
    case AppendResult::Kind::Unknown:
      m_mayHaveAppended = true;
      RetryAppend();
      return;
    case AppendResult::Kind::NotDone:
      RetryAppend();
      return;
  }
}

void
LeaderSession::RetryAppend()
{
  if (NowWithSuspend() - m_appendSince >= kStorePatience) {
    NoteStore(false);
  }
  m_appendTimer.expires_after(kAppendRetry);
  m_appendTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError && !self->m_stopped) {
      self->SendAppend();
    }
  });
}

void
LeaderSession::SettleConflict()
{
  m_store.ReadTail(Topic::Jobs,
                   m_end,
                   Duration::zero(),
                   [self = shared_from_this()](const Expected<TopicPage>& aPage) {
                     if (!self->m_stopped) {
                       self->OnSettleRead(aPage);
                     }
                   });
}

void
LeaderSession::OnSettleRead(const Expected<TopicPage>& aPage)
{
  if (!aPage && aPage.error().m_kind == ErrorKind::NotFound) {
    StepDownNow("the records behind the last known one have been deleted"); // nothing can tell
    return;
  }
  if (!aPage) {
    RetryAppend();
    return;
  }
  // Only this instance's own append can stand there, unless another one has claimed.
  const std::vector<KeyedRecord>& found = aPage->m_records;
  bool own = found.size() >= m_appending.size();
  for (size_t i = 0; own && i < m_appending.size(); ++i) {
    own = found[i].m_key == m_appending[i].m_key && found[i].m_value == m_appending[i].m_value;
  }
  if (!own || aPage->m_end != m_end + m_appending.size()) {
    StepDownNow("another instance has claimed");
    return;
  }
  FinishAppend(aPage->m_end);
}

void
LeaderSession::FinishAppend(LogOffset aEnd)
{
  m_end = aEnd;
  m_appending.clear();
  m_confirmedAt = m_appendSince;
  NoteStore(true);
  if (m_appendingBatch > 0) {
    m_scheduler.OnAppended(m_appendingBatch, NowWithSuspend());
  }
  if (!m_queued.empty()) {
    Append(std::exchange(m_queued, {}), m_queuedBatch);
  }
  Wake();
}

void
LeaderSession::NoteStore(bool aAvailable)
{
  if (m_storeAvailable == aAvailable) {
    return;
  }
  m_storeAvailable = aAvailable;
  m_scheduler.SetStoreAvailable(aAvailable);
  Log(LogLine(LogLevel::Warning, aAvailable ? "store_regained" : "store_lost")
        .Add("epoch", m_claim.m_epoch)
        .Add("pending_ms", ToMillis(NowWithSuspend() - m_appendSince)));
}

void
LeaderSession::StepDownNow(const std::string& aReason)
{
  if (m_stopped) {
    return;
  }
  Stop();
  m_callbacks.m_onStepDown(aReason);
}

} // namespace egretturn
