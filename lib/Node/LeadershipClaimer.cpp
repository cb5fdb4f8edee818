#include "egretturn/Node/LeadershipClaimer.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Scheduler/Fence.h"
#include "egretturn/Support/Log.h"

namespace egretturn {

static constexpr uint32_t kMaxTries = 20; // conflicts with a leader that is still writing
static constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

LeadershipClaimer::LeadershipClaimer(boost::asio::io_context& aIo,
                                     StorePort& aStore,
                                     StoredClaim aIdentity,
                                     uint64_t aKnownEpoch,
                                     bool aDefersToLeader,
                                     NeededCheck aIsNeeded,
                                     Callback aDone)
  : m_timer(aIo)
  , m_store(aStore)
  , m_identity(std::move(aIdentity))
  , m_knownEpoch(aKnownEpoch)
  , m_defersToLeader(aDefersToLeader)
  , m_isNeeded(std::move(aIsNeeded))
  , m_done(std::move(aDone))
{
}

void
LeadershipClaimer::Start()
{
  m_store.ReadNewest(Topic::Jobs, [self = shared_from_this()](Expected<TopicPage> aPage) {
    if (!aPage) {
      Log(LogLine(LogLevel::Warning, "claim_failed").Add("error", aPage.error().Text()));
      self->Fail();
      return;
    }
    self->Apply(*aPage);
    self->m_end = aPage->m_end;
    self->ReadNextRecords();
  });
}

void
LeadershipClaimer::Apply(const TopicPage& aPage)
{
  for (const KeyedRecord& record : aPage.m_records) {
    if (record.m_key != kClaimKey) {
      m_values[record.m_key] = record.m_value;
      continue;
    }
    StoredClaim claim;
    if (UnpackCompact(record.m_value, claim) && claim.m_epoch >= m_newest.m_epoch) {
      m_newest = claim; // a leader writes its claim again and again
    }
  }
}

void
LeadershipClaimer::ReadNextRecords()
{
  // The pages are read one by one while the topic may change. Replaying the records that follow
  // them yields a consistent state.
  m_requestSentAt = BootClockNow();
  m_store.ReadTail(
    Topic::Jobs, m_end, Duration::zero(), [self = shared_from_this()](Expected<TopicPage> aPage) {
      if (!aPage) {
        self->Fail();
        return;
      }
      self->Apply(*aPage);
      self->m_end += aPage->m_records.size();
      if (self->m_end < aPage->m_end && aPage->m_records.empty()) {
        self->Fail(); // the response made no progress; the caller retries later
      } else if (self->m_end < aPage->m_end) {
        self->ReadNextRecords();
      } else {
        self->TryClaim();
      }
    });
}

/// Returns the leaders that may still call workers when \p aPrevious is succeeded: it, and those
/// before it.
static std::vector<EarlierLeader>
ListEarlierLeaders(const StoredClaim& aPrevious)
{
  std::vector<EarlierLeader> leaders;
  if (!aPrevious.m_witnesses.empty()) {
    leaders.push_back({ aPrevious.m_instance, aPrevious.m_witnesses });
    leaders.back().m_contacts.push_back({ aPrevious.m_instance, aPrevious.m_address });
  }
  for (const EarlierLeader& earlier : aPrevious.m_earlierLeaders) {
    if (earlier.m_instance != aPrevious.m_instance) { // it leads one epoch at a time
      leaders.push_back(earlier);
    }
  }
  return leaders;
}

void
LeadershipClaimer::TryClaim()
{
  if (m_newest.m_epoch == m_identity.m_epoch && m_identity.m_epoch > 0 &&
      m_newest.m_incarnation == m_identity.m_incarnation) {
    Succeed(); // an earlier append without a response had succeeded
    return;
  }
  const bool superseded = m_newest.m_epoch > m_knownEpoch;
  // A claim that was sent may take effect, however late, so it is settled.
  m_abandoned = m_tries == 0 && !m_isNeeded();
  if (superseded || m_deferred || m_abandoned || ++m_tries > kMaxTries) {
    Fail();
    return;
  }
  m_identity.m_epoch = NextEpoch(m_newest.m_epoch);
  m_identity.m_readingMs = m_newest.m_readingMs;
  m_identity.m_earlierLeaders = ListEarlierLeaders(m_newest);
  m_requestSentAt = BootClockNow();
  m_store.AppendAt(Topic::Jobs,
                   m_end,
                   { { std::string(kClaimKey), PackCompact(m_identity) } },
                   [self = shared_from_this()](AppendResult aResult) { self->OnAppend(aResult); });
}

void
LeadershipClaimer::OnAppend(const AppendResult& aResult)
{
  switch (aResult.m_kind) {
    case AppendResult::Kind::Appended:
      m_end = aResult.m_end;
      Succeed();
      return;
    case AppendResult::Kind::Conflict:
      m_deferred = m_defersToLeader && m_tries == 1;
      ReadNextRecords();
      return;
    case AppendResult::Kind::Unknown:
      RetryLater();
      return;
    case AppendResult::Kind::Refused:
      Log(LogLine(LogLevel::Error, "claim_refused")
            .Add("bytes", uint64_t{ PackCompact(m_identity).size() })
            .Add("remedy", "compare the store's limits with the settings"));
      Fail();
      return;
    case AppendResult::Kind::NotAppended:
      Fail();
      return;
  }
}

void
LeadershipClaimer::RetryLater()
{
  m_timer.expires_after(kRetryDelay);
  m_timer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError) {
      self->ReadNextRecords();
    }
  });
}

void
LeadershipClaimer::Fail()
{
  Outcome outcome;
  if (m_newest.m_epoch > m_knownEpoch) {
    outcome.m_other = m_newest; // the conflict was this claim, not an append of the known leader
  } else {
    outcome.m_deferredToLeader = m_deferred;
    outcome.m_abandoned = m_abandoned;
  }
  m_done(std::move(outcome));
}

void
LeadershipClaimer::Succeed()
{
  Outcome outcome;
  outcome.m_own = m_identity;
  outcome.m_state.m_end = m_end;
  outcome.m_state.m_confirmedAt = m_requestSentAt;
  for (const std::pair<const std::string, std::string>& valueEntry : m_values) {
    const std::string& key = valueEntry.first;
    const std::string& value = valueEntry.second;
    GraphId id = 0;
    const RecordKind kind = ClassifyKey(key, id);
    if (value.empty() || kind == RecordKind::Claim) {
      continue;
    }
    StoredJob job;
    StoredProgress progress;
    StoredProgressPart part;
    StoredTombstone tombstone;
    WorkerReport worker;
    if (kind == RecordKind::Job && UnpackCompact(value, job)) {
      outcome.m_state.m_jobs.push_back(std::move(job));
    } else if (kind == RecordKind::Progress && UnpackCompact(value, progress)) {
      outcome.m_state.m_progress.emplace_back(id, std::move(progress));
    } else if (kind == RecordKind::ProgressPart && UnpackCompact(value, part)) {
      outcome.m_state.m_progressParts.push_back({ key, id, std::move(part) });
    } else if (kind == RecordKind::Tombstone && UnpackCompact(value, tombstone)) {
      outcome.m_state.m_tombstones.emplace_back(id, tombstone);
    } else if (kind == RecordKind::Learned && UnpackCompact(value, outcome.m_state.m_models)) {
      continue;
    } else if (kind == RecordKind::Worker && UnpackCompact(value, worker)) {
      outcome.m_state.m_workers.push_back(std::move(worker));
    } else {
      Log(LogLine(LogLevel::Error, "record_unreadable")
            .Add("key", key)
            .Add("remedy", "check that no other program writes to the topic of jobs"));
    }
  }
  m_done(std::move(outcome));
}

} // namespace egretturn
