// Tests what a leader says of a job that it does not know and is to cancel.
#include "SingleScheduler.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using namespace egretturn::schedtest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A leader that is asked to cancel job kJob, which it does not know. Its appends are confirmed
/// only by ConfirmAppends().
class CancelWorld
{
public:
  CancelWorld()
  {
    m_now += seconds(1);
    m_scheduler.Cancel(kRequest, kJob, m_now, 0);
    m_requestedAt = m_now;
    Advance(milliseconds(500));
    REQUIRE_FALSE(m_result);
  }

  void Advance(Duration aTime)
  {
    RunScheduler(m_scheduler, m_now, aTime, [this](const Action& aAction) {
      if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
        m_batch = append->m_batch;
      } else if (const CompleteRequest* complete = std::get_if<CompleteRequest>(&aAction)) {
        m_result = complete->m_request == kRequest ? complete->m_result : m_result;
      }
    });
  }

  /// Confirms that nobody else had claimed at \p aSince.
  void Confirm(Instant aSince)
  {
    m_scheduler.OnConfirmed(aSince, m_now);
    Advance(milliseconds(100));
  }

  /// Confirms the append in flight, and those that follow it.
  void ConfirmAppends()
  {
    for (int i = 0; i < 3; ++i) {
      m_scheduler.OnAppended(m_batch, m_now);
      Advance(milliseconds(100));
    }
  }

  static constexpr RequestToken kRequest = 5;
  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler{ SchedulerLimits(), 1, m_now };
  Instant m_requestedAt;
  std::optional<SubmitResult> m_result; ///< Of the cancellation.
  uint64_t m_batch = 0;                 ///< The last one.
};

} // namespace

// Guards against a lost cancellation: a leader that is cut off said that there is no such job,
// which its successor had accepted, and the job ran on (UNASKED).
TEST_CASE("a cancel of an unknown job is answered once no other leader can have accepted the job")
{
  CancelWorld world;
  world.Confirm(world.m_requestedAt - milliseconds(1)); // a successor may have claimed after that
  CHECK_FALSE(world.m_result);
  world.Confirm(world.m_requestedAt);
  CHECK_FALSE(world.m_result); // a later leader would not know
  world.ConfirmAppends();
  CHECK(world.m_result == SubmitResult::NoSuchJob);
}

// Guards against a cancel that is answered for a job that was handed in while it waited.
TEST_CASE("a cancel that waits for a confirmation cancels the job if it has come meanwhile")
{
  CancelWorld world;
  GraphStep step;
  step.m_count = 1;
  step.m_demand = { 1000, 500, 0 };
  world.m_scheduler.Submit(1, MakeSubmission(kJob, step), world.m_now, 0);
  world.Advance(milliseconds(100));
  world.ConfirmAppends();
  CHECK(world.m_result == SubmitResult::Accepted);
  CHECK(world.m_scheduler.StateOf(kJob) == JobState::Cancelled);
}

// Guards against a caller who waits at a leader that is cut off instead of asking another instance.
TEST_CASE("a cancel of an unknown job gets no definite answer from a leader that isn't confirmed")
{
  CancelWorld world;
  world.m_scheduler.ExpireUnconfirmedCancels(world.m_requestedAt + milliseconds(900));
  world.Advance(milliseconds(20));
  CHECK_FALSE(world.m_result);
  world.m_scheduler.ExpireUnconfirmedCancels(world.m_requestedAt + milliseconds(1100));
  world.Advance(milliseconds(20));
  CHECK(world.m_result == SubmitResult::Unknown);
}
