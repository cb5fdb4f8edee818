// Tests how a leader resolves appends whose responses are lost.
#include "NodeFakes.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Node/LeaderSession.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <thread>

using namespace egretturn;
using namespace egretturn::nodetest;
using std::chrono::milliseconds;

namespace {

/// A store that executes each append but loses the response, and reports the records of the topic
/// of jobs as deleted.
class DeletingStore : public StorePort
{
public:
  void ReadNewest(Topic, std::function<void(Expected<TopicPage>)> aDone) override
  {
    aDone(TopicPage());
  }
  void ReadTail(Topic aTopic,
                LogOffset,
                Duration,
                std::function<void(Expected<TopicPage>)> aDone) override
  {
    if (aTopic == Topic::Jobs) {
      ++m_conflictReads;
      aDone(Fail(ErrorKind::NotFound, "the records have been deleted", "read the newest"));
    }
  }
  void AppendAt(Topic,
                LogOffset aAt,
                const std::vector<KeyedRecord>& aRecords,
                std::function<void(AppendResult)> aDone) override
  {
    if (aAt != m_end) {
      aDone({ AppendResult::Kind::Conflict, m_end });
      return;
    }
    m_end += aRecords.size();
    aDone({ AppendResult::Kind::Unknown, 0 });
  }
  void Append(Topic, const std::vector<KeyedRecord>&, std::function<void(AppendResult)>) override {}

  LogOffset m_end = 0;
  int m_conflictReads = 0;
};

/// A store that executes each append but loses the response, and returns one record in each read.
class PagingStore : public StorePort
{
public:
  void ReadNewest(Topic, std::function<void(Expected<TopicPage>)> aDone) override
  {
    aDone(TopicPage());
  }
  void ReadTail(Topic aTopic,
                LogOffset aFrom,
                Duration,
                std::function<void(Expected<TopicPage>)> aDone) override
  {
    if (aTopic != Topic::Jobs) {
      return;
    }
    TopicPage page;
    page.m_end = m_records.size();
    if (aFrom < m_records.size()) {
      page.m_records.push_back(m_records[aFrom]);
    }
    aDone(std::move(page));
  }
  void AppendAt(Topic,
                LogOffset aAt,
                const std::vector<KeyedRecord>& aRecords,
                std::function<void(AppendResult)> aDone) override
  {
    if (aAt != m_records.size()) {
      aDone({ AppendResult::Kind::Conflict, m_records.size() });
      return;
    }
    m_records.insert(m_records.end(), aRecords.begin(), aRecords.end());
    m_mostRecords = std::max(m_mostRecords, aRecords.size());
    aDone({ AppendResult::Kind::Unknown, 0 });
  }
  void Append(Topic, const std::vector<KeyedRecord>&, std::function<void(AppendResult)>) override {}

  std::vector<KeyedRecord> m_records;
  size_t m_mostRecords = 0; ///< In one append.
};

/// A store with one worker in the directory. Appends are confirmed only while \c m_available.
class OneWorkerStore : public StorePort
{
public:
  void ReadNewest(Topic aTopic, std::function<void(Expected<TopicPage>)> aDone) override
  {
    aDone(aTopic == Topic::Directory ? TopicPage{ { { "w", "entry" } }, 1 } : TopicPage());
  }
  void ReadTail(Topic aTopic,
                LogOffset,
                Duration,
                std::function<void(Expected<TopicPage>)> aDone) override
  {
    aDone(TopicPage{ {}, aTopic == Topic::Directory ? LogOffset(1) : LogOffset(0) });
  }
  void AppendAt(Topic,
                LogOffset aAt,
                const std::vector<KeyedRecord>& aRecords,
                std::function<void(AppendResult)> aDone) override
  {
    if (m_available) {
      m_written.insert(m_written.end(), aRecords.begin(), aRecords.end());
      aDone({ AppendResult::Kind::Appended, aAt + aRecords.size() });
    } else {
      aDone({ AppendResult::Kind::NotAppended, aAt });
    }
  }
  void Append(Topic, const std::vector<KeyedRecord>&, std::function<void(AppendResult)>) override {}

  std::vector<KeyedRecord> m_written;
  bool m_available = true;
};

/// A store that refuses appends with a record of more than \c m_maxValueBytes, or with too many
/// records.
class StrictStore : public OneWorkerStore
{
public:
  void AppendAt(Topic aTopic,
                LogOffset aAt,
                const std::vector<KeyedRecord>& aRecords,
                std::function<void(AppendResult)> aDone) override
  {
    const bool tooLarge =
      std::any_of(aRecords.begin(), aRecords.end(), [this](const KeyedRecord& aRecord) {
        return aRecord.m_value.size() > m_maxValueBytes;
      });
    if (tooLarge || aRecords.size() > m_maxRecords) {
      ++m_refused;
      aDone({ AppendResult::Kind::Refused, 0 });
    } else {
      OneWorkerStore::AppendAt(aTopic, aAt, aRecords, std::move(aDone));
    }
  }

  size_t m_maxValueBytes = 1000;
  size_t m_maxRecords = 3;
  int m_refused = 0;
};

/// Workers that don't respond to any call. Counts the polls.
class CountingWorkers : public SilentWorkers
{
public:
  void Poll(const PollWorker&, uint64_t, PollCallback aDone) override
  {
    ++m_polls;
    aDone(WorkerCallResult::NoResponse, WorkerStatus());
  }

  int m_polls = 0;
};

/// Workers whose first poll is answered by the test. Counts the stops.
class HoldingWorkers : public SilentWorkers
{
public:
  void Poll(const PollWorker&, uint64_t, PollCallback aDone) override
  {
    m_held = m_held ? m_held : std::move(aDone);
  }
  void Stop(const StopTask&, uint64_t, WorkerCallCallback) override { ++m_stops; }

  PollCallback m_held;
  int m_stops = 0;
};

} // namespace

/// Decodes every entry of the directory as the worker "w".
static Expected<WorkerReport>
DecodeAsWorker(const KeyedRecord&)
{
  WorkerReport report;
  report.m_id = "w";
  report.m_service = "desk";
  report.m_address = "10.0.0.1:80";
  return report;
}

/// Starts a session whose claim has just been confirmed.
static std::shared_ptr<LeaderSession>
StartSession(boost::asio::io_context& aIo, StorePort& aStore, WorkerPort& aWorkers)
{
  RecoveredState state;
  state.m_confirmedAt = BootClockNow();
  std::shared_ptr<LeaderSession> session = std::make_shared<LeaderSession>(
    aIo,
    aStore,
    aWorkers,
    DecodeAsWorker,
    SchedulerLimits(),
    StoredClaim(),
    LeaderSession::Callbacks{ [](RequestToken, SubmitResult) {}, [](const std::string&) {} });
  session->Start(std::move(state));
  return session;
}

// Guards against tasks that run twice, because a leader that was suspended extends leases before it
// learns that another instance has claimed meanwhile.
TEST_CASE("a leader that was suspended calls no worker until the store has confirmed its claim")
{
  boost::asio::io_context io;
  OneWorkerStore store;
  CountingWorkers workers;
  const std::shared_ptr<LeaderSession> session = StartSession(io, store, workers);
  io.run_for(milliseconds(700));
  CHECK(workers.m_polls > 0);

  store.m_available = false;
  std::this_thread::sleep_for(milliseconds(1200));
  const int polls = workers.m_polls;
  session->OnFollowed("peer", BootClockNow()); // no witness: its claim named none
  io.run_for(milliseconds(800));
  CHECK(workers.m_polls == polls);

  store.m_available = true;
  io.run_for(milliseconds(2500));
  CHECK(workers.m_polls > polls);
  session->Stop();
}

// Guards against calls that a superseded leader sends after the time to notice: a long poll that
// returns, or a caller's cancel, emits stops and throttles, which are sent without a tick.
TEST_CASE("a leader that was suspended stops no task before the store has confirmed its claim")
{
  boost::asio::io_context io;
  OneWorkerStore store;
  HoldingWorkers workers;
  const std::shared_ptr<LeaderSession> session = StartSession(io, store, workers);
  io.run_for(milliseconds(500));
  REQUIRE(workers.m_held);

  store.m_available = false;
  std::this_thread::sleep_for(milliseconds(1200));
  WorkerStatus status;
  status.m_clockMs = 1000;
  status.m_running.push_back({ { 7, 0, 0, 0 }, 1, "", 40, 0 });
  workers.m_held(WorkerCallResult::Accepted, status);
  io.run_for(milliseconds(300));
  CHECK(workers.m_stops == 0);
  session->Stop();
}

// Guards against an instance that stays leader forever without ever writing again.
TEST_CASE("a leader steps down if its append was deleted before it could be read back")
{
  boost::asio::io_context io;
  DeletingStore store;
  SilentWorkers workers;
  bool steppedDown = false;
  StoredClaim claim;
  claim.m_epoch = 1;
  const std::shared_ptr<LeaderSession> session = std::make_shared<LeaderSession>(
    io,
    store,
    workers,
    RejectEntry,
    SchedulerLimits(),
    claim,
    LeaderSession::Callbacks{ [](RequestToken, SubmitResult) {},
                              [&](const std::string&) { steppedDown = true; } });
  session->Start({});
  session->RenewClaim();
  io.run_for(milliseconds(500));
  CHECK(store.m_conflictReads == 1);
  CHECK(steppedDown);
  session->Stop();
}

// Guards against a leader that gives up although only it has written: its append is longer than
// what the store returns in one read.
TEST_CASE("an append without a response is settled also if it is read back in several parts")
{
  boost::asio::io_context io;
  PagingStore store;
  SilentWorkers workers;
  size_t accepted = 0;
  bool steppedDown = false;
  StoredClaim claim;
  claim.m_epoch = 1;
  const std::shared_ptr<LeaderSession> session = std::make_shared<LeaderSession>(
    io,
    store,
    workers,
    RejectEntry,
    SchedulerLimits(),
    claim,
    LeaderSession::Callbacks{ [&](RequestToken, SubmitResult aResult) {
                               accepted += aResult == SubmitResult::Accepted ? 1 : 0;
                             },
                              [&](const std::string&) { steppedDown = true; } });
  session->Start({});
  for (GraphId id = 1; id <= 5; ++id) {
    Submission submission;
    submission.m_id = id;
    submission.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
    submission.m_graph.m_steps.emplace_back();
    session->Submit(id, std::move(submission));
  }
  io.run_for(milliseconds(700));
  CHECK(store.m_mostRecords >= 5);
  CHECK(accepted == 5);
  CHECK_FALSE(steppedDown);
  session->Stop();
}

// Guards against a leader that tries the same append for ever, and stores nothing any more, since
// the store refuses one of its records.
TEST_CASE("a record that the store refuses is left out, and all others are stored")
{
  boost::asio::io_context io;
  StrictStore store;
  SilentWorkers workers;
  std::map<RequestToken, SubmitResult> results;
  bool steppedDown = false;
  StoredClaim claim;
  claim.m_epoch = 1;
  const std::shared_ptr<LeaderSession> session = std::make_shared<LeaderSession>(
    io,
    store,
    workers,
    RejectEntry,
    SchedulerLimits(),
    claim,
    LeaderSession::Callbacks{
      [&](RequestToken aRequest, SubmitResult aResult) { results[aRequest] = aResult; },
      [&](const std::string&) { steppedDown = true; } });
  session->Start({});
  static constexpr GraphId kLarge = 3;
  for (GraphId id = 1; id <= 8; ++id) {
    Submission submission;
    submission.m_id = id;
    submission.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
    submission.m_graph.m_payload.resize(id == kLarge ? 2000 : 10, 'p');
    submission.m_graph.m_steps.emplace_back();
    session->Submit(id, std::move(submission));
  }
  io.run_for(milliseconds(1200));
  CHECK(results.size() == 8);
  for (const std::pair<const RequestToken, SubmitResult>& resultEntry : results) {
    CHECK(resultEntry.second ==
          (resultEntry.first == kLarge ? SubmitResult::TooLarge : SubmitResult::Accepted));
  }
  const int refused = store.m_refused;
  CHECK(refused < 12);
  io.run_for(milliseconds(600));
  CHECK(store.m_refused == refused);
  CHECK(session->IsStoreAvailable());
  CHECK_FALSE(steppedDown);
  session->Stop();
}

// Guards against a leader that goes on without a claim that its successors can read.
TEST_CASE("a leader steps down if the store refuses its claim")
{
  boost::asio::io_context io;
  StrictStore store;
  store.m_maxValueBytes = 1;
  SilentWorkers workers;
  bool steppedDown = false;
  StoredClaim claim;
  claim.m_epoch = 1;
  const std::shared_ptr<LeaderSession> session = std::make_shared<LeaderSession>(
    io,
    store,
    workers,
    RejectEntry,
    SchedulerLimits(),
    claim,
    LeaderSession::Callbacks{ [](RequestToken, SubmitResult) {},
                              [&](const std::string&) { steppedDown = true; } });
  session->Start({});
  session->RenewClaim();
  io.run_for(milliseconds(700));
  CHECK(steppedDown);
  session->Stop();
}

// Guards against a retention clock that stands still over changes of leader: a busy leader never
// renews its claim, since each batch confirms it.
TEST_CASE("a leader that writes batches all the time stores its retention clock each second")
{
  boost::asio::io_context io;
  OneWorkerStore store;
  SilentWorkers workers;
  const std::shared_ptr<LeaderSession> session = StartSession(io, store, workers);
  for (GraphId id = 1; id <= 25; ++id) {
    Submission submission;
    submission.m_id = id;
    submission.m_terms = { "route", "desk", 0, 3, 2.0, 500 };
    submission.m_graph.m_steps.emplace_back();
    session->Submit(id, std::move(submission));
    io.run_for(milliseconds(100));
  }
  StoredClaim last;
  for (const KeyedRecord& record : store.m_written) {
    if (record.m_key == kClaimKey) {
      REQUIRE(UnpackCompact(record.m_value, last));
    }
  }
  CHECK(last.m_readingMs >= 1000);
  CHECK(last.m_readingMs <= 2600);
  session->Stop();
}
