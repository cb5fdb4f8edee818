#include "egretturn/Node/LinkShard.h"

#include "egretturn/Support/Log.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(250);

// Orders are executed for this long after the sending of a heartbeat that the leader has confirmed.
static constexpr Duration kMaxConfirmationAge = std::chrono::milliseconds(700);

static constexpr Duration kResendDelay = std::chrono::milliseconds(50);
static constexpr Duration kMaxLeaderSilence = std::chrono::seconds(3); // then the session ends

// Ends are acknowledged only to the process that reported them: no worker restarts faster.
static constexpr Duration kMaxResponseAge = std::chrono::milliseconds(150);

static constexpr size_t kMaxPollsPerMessage = 200;

// Results that arrive close together share a message.
static constexpr Duration kGatherTime = std::chrono::milliseconds(2);

LinkShard::LinkShard(LinkPort& aPort, WorkerPort& aWorkers, std::string aInstance)
  : m_port(aPort)
  , m_workers(aWorkers)
  , m_instance(std::move(aInstance))
{
}

bool
LinkShard::IsValid(const LinkOrders& aOrders)
{
  return std::all_of(
           aOrders.m_starts.begin(),
           aOrders.m_starts.end(),
           [&](const LinkStart& aStart) { return aStart.m_payload < aOrders.m_payloads.size(); }) &&
         aOrders.m_epoch > 0 && !aOrders.m_leader.empty();
}

bool
LinkShard::IsConfirmed() const
{
  return m_session->m_confirmed && m_port.Now() - m_session->m_confirmedAt <= kMaxConfirmationAge;
}

LinkOrdersReply
LinkShard::OnOrders(const LinkOrders& aOrders)
{
  LinkOrdersOutcome outcome = LinkOrdersOutcome::Taken;
  const bool older = m_session && std::tie(aOrders.m_epoch, aOrders.m_session) <
                                    std::tie(m_session->m_epoch, m_session->m_number);
  const bool current =
    m_session && aOrders.m_epoch == m_session->m_epoch && aOrders.m_session == m_session->m_number;
  if (!IsValid(aOrders)) {
    outcome = LinkOrdersOutcome::Invalid;
  } else if (older || aOrders.m_epoch < m_newestEpoch) {
    outcome = LinkOrdersOutcome::Superseded;
  } else if (!current && aOrders.CountCalls() == 0) {
    Open(aOrders);
  } else if (!current || !IsConfirmed()) {
    outcome = LinkOrdersOutcome::Unconfirmed;
  } else {
    m_session->m_flushInterval = std::chrono::milliseconds(aOrders.m_flushMs);
    Execute(aOrders);
  }
  if (outcome != LinkOrdersOutcome::Taken) {
    m_counters.m_refusedCalls += aOrders.CountCalls();
    Log(LogLine(LogLevel::Warning, "link_orders_refused")
          .Add("epoch", aOrders.m_epoch)
          .Add("session", aOrders.m_session)
          .Add("reason", NameOf(outcome))
          .Add("calls", uint64_t{ aOrders.CountCalls() }));
  }
  return { outcome };
}

void
LinkShard::Open(const LinkOrders& aOrders)
{
  m_newestEpoch = aOrders.m_epoch;
  m_session = std::make_shared<Session>();
  m_session->m_epoch = aOrders.m_epoch;
  m_session->m_number = aOrders.m_session;
  m_session->m_leader = aOrders.m_leader;
  m_session->m_flushInterval = std::chrono::milliseconds(aOrders.m_flushMs);
  m_session->m_answeredAt = m_port.Now();
  Log(LogLine(LogLevel::Info, "link_opened")
        .Add("epoch", aOrders.m_epoch)
        .Add("session", aOrders.m_session)
        .Add("leader", aOrders.m_leader));
  ScheduleFlush(m_session, Duration::zero());
}

void
LinkShard::OnEpoch(uint64_t aEpoch)
{
  m_newestEpoch = std::max(m_newestEpoch, aEpoch);
  if (m_session && m_session->m_epoch < m_newestEpoch) {
    EndSession("a newer leader is known");
  }
}

void
LinkShard::EndSession(std::string_view aReason)
{
  Log(LogLine(LogLevel::Info, "link_closed")
        .Add("epoch", m_session->m_epoch)
        .Add("session", m_session->m_number)
        .Add("reason", aReason)
        .Add("calls", uint64_t{ m_session->m_callsInFlight }));
  m_session.reset();
}

size_t
LinkShard::CallsInFlight() const
{
  return m_session ? m_session->m_callsInFlight : 0;
}

WorkerCallCallback
LinkShard::ReportCall(LinkCallId aCall)
{
  ++m_session->m_callsInFlight;
  return [self = shared_from_this(), session = m_session, aCall](WorkerCallResult aResult) {
    --session->m_callsInFlight;
    session->m_draft.m_calls.push_back({ aCall, aResult });
    self->ScheduleFlush(session, kGatherTime);
  };
}

uint64_t
LinkShard::FenceOfCall(uint64_t aFence) const
{
  return aFence != 0 ? aFence : m_session->m_epoch;
}

bool
LinkShard::RefuseEvacuated(const LinkStart& aStart)
{
  if (m_evacuations.StateOf(aStart.m_zone) != ZoneState::Evacuated) {
    return false;
  }
  ++m_counters.m_evacuated;
  Log(LogLine(LogLevel::Info, "link_start_evacuated")
        .Add("task", FormatTaskRef(aStart.m_task))
        .Add("worker", aStart.m_worker)
        .Add("zone", aStart.m_zone));
  m_session->m_draft.m_calls.push_back({ aStart.m_call, WorkerCallResult::NotSent });
  ScheduleFlush(m_session, kGatherTime);
  return true;
}

void
LinkShard::Execute(const LinkOrders& aOrders)
{
  m_counters.m_calls += aOrders.CountCalls();
  for (const LinkStart& start : aOrders.m_starts) {
    if (RefuseEvacuated(start)) {
      continue;
    }
    StartTask task{ start.m_worker,
                    start.m_address,
                    start.m_task,
                    start.m_attempt,
                    aOrders.m_payloads[start.m_payload],
                    start.m_checkpoint,
                    start.m_ticket,
                    start.m_leaseEndMs };
    m_workers.Start(task, FenceOfCall(start.m_fence), ReportCall(start.m_call));
  }
  for (const LinkStop& stop : aOrders.m_stops) {
    m_workers.Stop({ stop.m_worker, stop.m_address, stop.m_task, stop.m_attempt },
                   FenceOfCall(stop.m_fence),
                   ReportCall(stop.m_call));
  }
  for (const LinkThrottle& throttle : aOrders.m_throttles) {
    m_workers.Throttle({ throttle.m_worker,
                         throttle.m_address,
                         throttle.m_task,
                         throttle.m_attempt,
                         throttle.m_percent },
                       FenceOfCall(throttle.m_fence),
                       [](WorkerCallResult) {});
  }
  for (const LinkPoll& poll : aOrders.m_polls) {
    ExecutePoll(poll);
  }
}

void
LinkShard::ExecutePoll(const LinkPoll& aPoll)
{
  const auto responded = m_session->m_respondedAt.find(aPoll.m_worker);
  const bool recent = responded != m_session->m_respondedAt.end() &&
                      m_port.Now() - responded->second < kMaxResponseAge;
  if (aPoll.m_acknowledged == 0 || recent) {
    SendPoll(aPoll, ReportPoll(m_session, aPoll.m_call));
    return;
  }
  if (aPoll.m_incarnation != 0) {
    PollBeforeAcknowledging(aPoll);
    return;
  }
  // The worker may have restarted since; the leader polls it first without an acknowledgement.
  m_session->m_draft.m_polls.push_back({ aPoll.m_call, WorkerCallResult::LinkLost, {} });
  ScheduleFlush(m_session, kGatherTime);
}

void
LinkShard::PollBeforeAcknowledging(const LinkPoll& aPoll)
{
  LinkPoll first = aPoll;
  first.m_acknowledged = 0;
  first.m_waitMs = 0;
  SendPoll(first,
           [self = shared_from_this(), session = m_session, aPoll](WorkerCallResult aResult,
                                                                   const WorkerStatus& aStatus) {
             const bool same = aResult == WorkerCallResult::Accepted &&
                               aStatus.m_incarnation == aPoll.m_incarnation;
             if (!same) {
               self->ReportPoll(session, aPoll.m_call)(aResult,
                                                       aStatus); // it tells the leader of a restart
             } else if (self->IsCurrent(session) && self->IsConfirmed()) {
               self->SendPoll(aPoll, self->ReportPoll(session, aPoll.m_call));
             } else {
               // Any other result would tell the leader that the ends were acknowledged.
               self->ReportPoll(session, aPoll.m_call)(WorkerCallResult::LinkLost, {});
             }
           });
}

void
LinkShard::SendPoll(const LinkPoll& aPoll, PollCallback aDone)
{
  PollWorker poll;
  poll.m_worker = aPoll.m_worker;
  poll.m_address = aPoll.m_address;
  poll.m_leaseEndMs = aPoll.m_leaseEndMs;
  poll.m_acknowledged = aPoll.m_acknowledged;
  poll.m_wait = std::chrono::milliseconds(aPoll.m_waitMs);
  ++m_session->m_callsInFlight;
  m_workers.Poll(
    poll,
    FenceOfCall(aPoll.m_fence),
    [port = &m_port, session = m_session, worker = aPoll.m_worker, done = std::move(aDone)](
      WorkerCallResult aResult, const WorkerStatus& aStatus) {
      --session->m_callsInFlight;
      if (aResult == WorkerCallResult::Accepted) {
        session->m_respondedAt[worker] = port->Now();
      }
      done(aResult, aStatus);
    });
}

PollCallback
LinkShard::ReportPoll(const std::shared_ptr<Session>& aSession, LinkCallId aCall)
{
  return [self = shared_from_this(), session = aSession, aCall](WorkerCallResult aResult,
                                                                const WorkerStatus& aStatus) {
    session->m_draft.m_polls.push_back({ aCall, aResult, aStatus });
    self->ScheduleFlush(session, kGatherTime);
  };
}

void
LinkShard::ScheduleFlush(const std::shared_ptr<Session>& aSession, Duration aDelay)
{
  const Instant at = std::max(m_port.Now() + aDelay, aSession->m_nextFlushAt);
  if (!IsCurrent(aSession) || (aSession->m_flushScheduled && aSession->m_flushAt <= at)) {
    return;
  }
  aSession->m_flushScheduled = true;
  aSession->m_flushAt = at;
  m_port.After(at - m_port.Now(), [self = shared_from_this(), aSession, at] {
    if (aSession->m_flushScheduled && aSession->m_flushAt == at) {
      aSession->m_flushScheduled = false;
      self->Flush(aSession);
    }
  });
}

void
LinkShard::Flush(const std::shared_ptr<Session>& aSession)
{
  if (!IsCurrent(aSession) || aSession->m_sending) {
    return;
  }
  LinkResults& draft = aSession->m_draft;
  LinkResults results;
  results.m_epoch = aSession->m_epoch;
  results.m_session = aSession->m_number;
  results.m_sequence = aSession->m_unacknowledged.m_sequence + 1;
  results.m_instance = m_instance;
  results.m_confirmed = aSession->m_confirmed;
  results.m_calls = std::exchange(draft.m_calls, {});
  const size_t polls = std::min(draft.m_polls.size(), kMaxPollsPerMessage);
  const auto end = draft.m_polls.begin() + static_cast<ptrdiff_t>(polls);
  std::move(draft.m_polls.begin(), end, std::back_inserter(results.m_polls));
  draft.m_polls.erase(draft.m_polls.begin(), end);
  aSession->m_unacknowledged = std::move(results);
  ++m_counters.m_results;
  SendUnacknowledged(aSession);
}

void
LinkShard::SendUnacknowledged(const std::shared_ptr<Session>& aSession)
{
  if (!IsCurrent(aSession)) {
    return;
  }
  const Instant now = m_port.Now();
  aSession->m_sending = true;
  aSession->m_nextFlushAt = now + aSession->m_flushInterval;
  m_port.SendResults(
    aSession->m_leader,
    aSession->m_unacknowledged,
    [self = shared_from_this(), aSession, now](const std::optional<LinkResultsReply>& aReply) {
      self->OnResultsReply(aSession, now, aReply);
    });
}

void
LinkShard::OnResultsReply(const std::shared_ptr<Session>& aSession,
                          Instant aSentAt,
                          const std::optional<LinkResultsReply>& aReply)
{
  aSession->m_sending = false;
  if (!IsCurrent(aSession)) {
    return;
  }
  const Instant now = m_port.Now();
  if (!aReply) {
    if (now - aSession->m_answeredAt > kMaxLeaderSilence) {
      EndSession("the leader does not reply");
      return;
    }
    aSession->m_sending = true; // until it is resent
    m_port.After(kResendDelay,
                 [self = shared_from_this(), aSession] { self->SendUnacknowledged(aSession); });
    return;
  }
  aSession->m_answeredAt = now;
  if (aReply->m_outcome == LinkResultsOutcome::Ended) {
    EndSession("the leader has ended it");
    return;
  }
  bool more = !aSession->m_draft.m_calls.empty() || !aSession->m_draft.m_polls.empty();
  if (aReply->m_outcome == LinkResultsOutcome::Confirmed) {
    more = more || !aSession->m_confirmed; // the leader sends no orders before it knows
    aSession->m_confirmed = true;
    aSession->m_confirmedAt = aSentAt;
  }
  ScheduleFlush(aSession, more ? kGatherTime : kHeartbeatInterval);
}

} // namespace egretturn
