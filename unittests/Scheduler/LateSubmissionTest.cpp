// Tests that a job whose cancellation was answered with "no such job" never starts, however late a
// submission of it arrives.
#include "RandomFaults.h"
#include "SingleScheduler.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/Log.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr uint64_t kSeeds = 60;
static constexpr uint64_t kFirstSeed = 6001;
static constexpr Duration kRetention = seconds(120);

/// How much longer than promised a tombstone may be kept under one leader.
static constexpr Duration kMaxExtraTime = seconds(4);

namespace {

/// Leaders that follow each other over one store, with a worker that carries out all starts.
class LateSubmissionWorld
{
public:
  explicit LateSubmissionWorld(const SchedulerLimits& aLimits = SchedulerLimits())
    : m_limits(aLimits)
  {
    ElectLeader();
  }

  /// Lets a new leader go on from what the store has.
  void ElectLeader()
  {
    m_pending.reset();
    m_scheduler = std::make_unique<Scheduler>(m_limits, ++m_epoch, m_now);
    m_scheduler->RestoreRetentionClock(m_storedReadingMs);
    for (const std::pair<const std::string, std::string>& record : m_store) {
      GraphId id = 0;
      StoredTombstone tombstone;
      if (ClassifyKey(record.first, id) == RecordKind::Tombstone &&
          UnpackCompact(record.second, tombstone)) {
        m_scheduler->RestoreTombstone(id, tombstone);
      }
    }
    m_scheduler->UpdateWorker(MakeReport("w"), m_now);
    m_scheduler->OnDirectoryRead();
    Advance(milliseconds(200));
  }

  /// Asks the leader to cancel \p aId. Returns the request.
  RequestToken Cancel(GraphId aId)
  {
    m_scheduler->Cancel(++m_lastRequest, aId, m_now, ToMillis(m_now.time_since_epoch()));
    return m_lastRequest;
  }

  RequestToken Submit(GraphId aId)
  {
    GraphStep step;
    step.m_count = 1;
    step.m_demand = { 1000, 500, 0 };
    m_scheduler->Submit(
      ++m_lastRequest, MakeSubmission(aId, step), m_now, ToMillis(m_now.time_since_epoch()));
    return m_lastRequest;
  }

  /// Returns the result of \p aRequest, if it has one after a while.
  std::optional<SubmitResult> ResultOf(RequestToken aRequest)
  {
    Advance(milliseconds(200));
    const auto it = m_results.find(aRequest);
    return it == m_results.end() ? std::nullopt : std::optional<SubmitResult>(it->second);
  }

  void Advance(Duration aTime)
  {
    RunScheduler(*m_scheduler, m_now, aTime, [this](const Action& aAction) { Execute(aAction); });
    m_storedReadingMs = m_storeAvailable ? m_scheduler->RetentionClockMs() : m_storedReadingMs;
  }

  /// Carries out the append that has waited while the store was not available.
  void RegainStore()
  {
    m_storeAvailable = true;
    if (const std::optional<AppendRecords> pending = std::exchange(m_pending, std::nullopt)) {
      Append(*pending);
    }
  }

  bool HasRecord(GraphId aId) const { return m_store.count(TombstoneKey(aId)) > 0; }

  Instant m_now{ std::chrono::hours(1) };
  bool m_storeAvailable = true;
  std::unique_ptr<Scheduler> m_scheduler;
  std::vector<TaskRef> m_starts;

private:
  void Execute(const Action& aAction)
  {
    if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      if (m_storeAvailable) {
        Append(*append);
      } else {
        m_pending = *append;
      }
    } else if (const CompleteRequest* complete = std::get_if<CompleteRequest>(&aAction)) {
      m_results[complete->m_request] = complete->m_result;
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      m_scheduler->OnPollResponse(poll->m_worker, poll->m_number, WorkerStatus(), m_now);
    } else if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      m_starts.push_back(start->m_task);
    }
  }

  void Append(const AppendRecords& aAppend)
  {
    for (const KeyedRecord& record : aAppend.m_records) {
      if (record.m_value.empty()) {
        m_store.erase(record.m_key);
      } else {
        m_store[record.m_key] = record.m_value;
      }
    }
    m_scheduler->OnAppended(aAppend.m_batch, m_now);
  }

  SchedulerLimits m_limits;
  uint64_t m_epoch = 0;
  int64_t m_storedReadingMs = 0;
  std::map<std::string, std::string> m_store;
  std::optional<AppendRecords> m_pending;
  RequestToken m_lastRequest = 0;
  std::map<RequestToken, SubmitResult> m_results;
};

} // namespace

// Guards against work that nobody asks for any more (UNASKED): the submission lay at an instance
// that stood still, and was accepted after its cancel had been answered 410.
TEST_CASE("a submission that arrives after its cancel was answered is refused")
{
  LateSubmissionWorld world;
  REQUIRE(world.ResultOf(world.Cancel(kJob)) == SubmitResult::NoSuchJob);
  world.Advance(seconds(4));
  CHECK(world.ResultOf(world.Submit(kJob)) == SubmitResult::Cancelled);
  world.Advance(seconds(2));
  CHECK(world.m_starts.empty());
  CHECK_FALSE(world.m_scheduler->StateOf(kJob).has_value());
  CHECK(world.m_scheduler->Counters().m_refusedAsCancelled == 1);
  CHECK(world.ResultOf(world.Submit(kJob + 1)) == SubmitResult::Accepted);
}

// Guards against the same after the leader that had answered the cancel was lost.
TEST_CASE("a later leader refuses a submission whose cancel was answered")
{
  LateSubmissionWorld world;
  REQUIRE(world.ResultOf(world.Cancel(kJob)) == SubmitResult::NoSuchJob);
  for (int leader = 0; leader < 3; ++leader) {
    world.ElectLeader();
    CHECK(world.ResultOf(world.Submit(kJob)) == SubmitResult::Cancelled);
  }
  CHECK(world.m_starts.empty());
}

// Guards against an answer that is only in the memory of a leader that may be lost.
TEST_CASE("a cancel of an unknown job is answered once the store has its tombstone")
{
  LateSubmissionWorld world;
  world.m_storeAvailable = false;
  const RequestToken cancel = world.Cancel(kJob);
  CHECK_FALSE(world.ResultOf(cancel));
  world.m_scheduler->OnConfirmed(world.m_now, world.m_now);
  CHECK_FALSE(world.ResultOf(cancel)); // that nobody else leads is not enough
  CHECK_FALSE(world.HasRecord(kJob));
  world.RegainStore();
  CHECK(world.ResultOf(cancel) == SubmitResult::NoSuchJob);
  CHECK(world.HasRecord(kJob));
}

// Guards against a job that starts although the cancel that overtook it is under way.
TEST_CASE("a job that arrives while its cancel waits is accepted as cancelled")
{
  LateSubmissionWorld world;
  world.m_storeAvailable = false;
  const RequestToken cancel = world.Cancel(kJob);
  const bool written = GENERATE(false, true);
  if (written) {
    world.Advance(milliseconds(200)); // the tombstone is on its way
  }
  const RequestToken submit = world.Submit(kJob);
  world.RegainStore();
  CHECK(world.ResultOf(submit) == SubmitResult::Accepted);
  CHECK(world.ResultOf(cancel) == SubmitResult::Accepted);
  world.Advance(seconds(2));
  CHECK(world.m_scheduler->StateOf(kJob) == JobState::Cancelled);
  CHECK(world.m_starts.empty());
}

// Guards against tombstones that pile up, and against those that are forgotten too early.
TEST_CASE("a tombstone is kept as long as the state of an ended job")
{
  LateSubmissionWorld world;
  REQUIRE(world.ResultOf(world.Cancel(kJob)) == SubmitResult::NoSuchJob);
  world.Advance(kRetention / 2);
  world.ElectLeader();
  world.Advance(kRetention / 2 - seconds(2));
  CHECK(world.ResultOf(world.Submit(kJob)) == SubmitResult::Cancelled);
  world.Advance(seconds(2) + kMaxExtraTime);
  CHECK(world.m_scheduler->TombstoneCount() == 0);
  CHECK_FALSE(world.HasRecord(kJob));
}

// Guards against a promise that is shorter than a submission can be late, where the platform asks
// to keep the state of ended jobs for a short time only.
TEST_CASE("a tombstone outlives any submission that is under way")
{
  SchedulerLimits limits;
  limits.m_endedJobRetention = seconds(5);
  LateSubmissionWorld world(limits);
  REQUIRE(world.ResultOf(world.Cancel(kJob)) == SubmitResult::NoSuchJob);
  world.Advance(kMinTombstoneTime - seconds(1));
  CHECK(world.ResultOf(world.Submit(kJob)) == SubmitResult::Cancelled);
}

// Guards against a promise that ends with an earlier one.
TEST_CASE("a cancel that is asked again keeps the job away for as long again")
{
  LateSubmissionWorld world;
  REQUIRE(world.ResultOf(world.Cancel(kJob)) == SubmitResult::NoSuchJob);
  world.Advance(kRetention - seconds(10));
  REQUIRE(world.ResultOf(world.Cancel(kJob)) == SubmitResult::NoSuchJob);
  world.Advance(kRetention - seconds(10));
  CHECK(world.ResultOf(world.Submit(kJob)) == SubmitResult::Cancelled);
}

// Guards against callers that cancel random ids: memory is bounded, and no promise is given that
// could not be kept.
TEST_CASE("a cancel of one unknown job too many is refused")
{
  SchedulerLimits limits;
  limits.m_maxTombstones = 2;
  LateSubmissionWorld world(limits);
  CHECK(world.ResultOf(world.Cancel(kJob)) == SubmitResult::NoSuchJob);
  CHECK(world.ResultOf(world.Cancel(kJob + 1)) == SubmitResult::NoSuchJob);
  CHECK(world.ResultOf(world.Cancel(kJob + 2)) == SubmitResult::NotRun);
  CHECK(world.m_scheduler->Counters().m_cancelsRefused == 1);
  CHECK(world.ResultOf(world.Cancel(kJob)) == SubmitResult::NoSuchJob); // it is known
  CHECK(world.ResultOf(world.Submit(kJob + 2)) == SubmitResult::Accepted);
  CHECK(world.ResultOf(world.Cancel(kJob + 2)) == SubmitResult::Accepted);
  world.Advance(kRetention + kMaxExtraTime);
  CHECK(world.ResultOf(world.Cancel(kJob + 3)) == SubmitResult::NoSuchJob);
}

// Guards against an answer without a tombstone when the store refuses the job's own record.
TEST_CASE("a cancel of a job that the store refuses is answered with a tombstone")
{
  LateSubmissionWorld world;
  world.m_storeAvailable = false;
  const RequestToken submit = world.Submit(kJob);
  const RequestToken cancel = world.Cancel(kJob);
  CHECK_FALSE(world.ResultOf(cancel));
  world.m_scheduler->OnRecordRefused(JobKey(kJob), world.m_now);
  CHECK(world.ResultOf(submit) == SubmitResult::TooLarge);
  CHECK_FALSE(world.ResultOf(cancel));
  world.RegainStore();
  CHECK(world.ResultOf(cancel) == SubmitResult::NoSuchJob);
  CHECK(world.HasRecord(kJob));
}

// Guards against a caller that waits for a tombstone that the store refuses.
TEST_CASE("a cancel gets no definite answer if the store refuses its tombstone")
{
  LateSubmissionWorld world;
  world.m_storeAvailable = false;
  const RequestToken cancel = world.Cancel(kJob);
  CHECK_FALSE(world.ResultOf(cancel));
  world.m_scheduler->OnRecordRefused(TombstoneKey(kJob), world.m_now);
  CHECK(world.ResultOf(cancel) == SubmitResult::Unknown);
  CHECK(world.m_scheduler->TombstoneCount() == 0);
}

// Guards against UNASKED while leaders follow each other, stand still or lose the store, and the
// submission is sent several times, before and after the cancel.
TEST_CASE("no job starts once its cancel was answered, whatever leader gets its submission")
{
  uint64_t refused = 0;
  for (uint64_t seed : ListSeeds(kSeeds, kFirstSeed)) {
    SchedulerWorld world(seed, 8);
    PlayRandomSteps(world, [&] { world.CancelBeforeSubmission(); });
    CheckViolations(world, seed);
    refused += world.CountRefusedAsCancelled();
  }
  StopLogging();
  CHECK(refused > 0);
}
