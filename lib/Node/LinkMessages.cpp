// Sends the orders of the links in batches, and takes in the results of the shards.
#include "egretturn/Node/WorkerLinks.h"

#include <algorithm>

namespace egretturn {

// Each message costs the leader processor time, so messages are rarer with many links.
static constexpr Duration kFlushIntervalPerLink = std::chrono::microseconds(1200);
static constexpr Duration kMinFlushInterval = std::chrono::milliseconds(4);
static constexpr Duration kMaxFlushInterval = std::chrono::milliseconds(25);

// How long orders wait for evidence that the leader still leads before it is looked for again.
static constexpr Duration kEvidenceRetryInterval = std::chrono::milliseconds(100);

// Limits of one message.
static constexpr size_t kMaxCallsPerMessage = 400;
static constexpr size_t kMaxPayloadBytesPerMessage = 256 * 1024;

Duration
WorkerLinks::FlushInterval() const
{
  const Duration interval = kFlushIntervalPerLink * m_links.size();
  return std::clamp(interval, kMinFlushInterval, kMaxFlushInterval);
}

WorkerLinks::Draft&
WorkerLinks::DraftOf(Link& aLink)
{
  const bool full = !aLink.m_drafts.empty() &&
                    (aLink.m_drafts.back().m_orders.CountCalls() >= kMaxCallsPerMessage ||
                     aLink.m_drafts.back().m_payloadBytes >= kMaxPayloadBytesPerMessage);
  if (aLink.m_drafts.empty() || full) {
    aLink.m_drafts.emplace_back();
  }
  return aLink.m_drafts.back();
}

void
WorkerLinks::ScheduleFlush(Link& aLink)
{
  if (aLink.m_state == LinkState::Closed) {
    Open(aLink);
    return;
  }
  if (aLink.m_flushScheduled || aLink.m_sending || aLink.m_state != LinkState::Open ||
      aLink.m_drafts.empty()) {
    return;
  }
  aLink.m_flushScheduled = true;
  const Duration delay = std::max(aLink.m_nextFlushAt - m_port.Now(), Duration::zero());
  m_port.After(delay, [self = shared_from_this(), id = aLink.m_instance.m_id] {
    const auto it = self->m_links.find(id);
    if (it != self->m_links.end()) {
      it->second->m_flushScheduled = false;
      self->Flush(*it->second);
    }
  });
}

void
WorkerLinks::Flush(Link& aLink)
{
  if (aLink.m_sending || aLink.m_state != LinkState::Open || aLink.m_drafts.empty()) {
    return;
  }
  if (!m_mayCall()) {
    aLink.m_nextFlushAt = m_port.Now() + kEvidenceRetryInterval;
    ScheduleFlush(aLink);
    return;
  }
  aLink.m_nextFlushAt = m_port.Now() + FlushInterval();
  LinkOrders orders = std::move(aLink.m_drafts.front().m_orders);
  aLink.m_drafts.pop_front();
  Send(aLink, std::move(orders));
}

void
WorkerLinks::Send(Link& aLink, LinkOrders aOrders)
{
  aOrders.m_epoch = m_settings.m_epoch;
  aOrders.m_leader = m_settings.m_self.m_address;
  aOrders.m_session = aLink.m_session;
  aOrders.m_flushMs = ToMillis(FlushInterval());
  aLink.m_sending = true;
  m_port.SendOrders(
    aLink.m_instance.m_address,
    aOrders,
    [self = shared_from_this(), id = aLink.m_instance.m_id, session = aLink.m_session](
      const std::optional<LinkOrdersReply>& aReply) { self->OnOrdersReply(id, session, aReply); });
}

void
WorkerLinks::OnOrdersReply(const std::string& aInstance,
                           uint64_t aSession,
                           const std::optional<LinkOrdersReply>& aReply)
{
  const auto it = m_links.find(aInstance);
  if (it == m_links.end() || it->second->m_state == LinkState::Closed ||
      it->second->m_session != aSession) {
    return;
  }
  Link& link = *it->second;
  link.m_sending = false;
  if (!aReply) {
    Fail(link, "no_reply");
  } else if (aReply->m_outcome != LinkOrdersOutcome::Taken) {
    Fail(link, NameOf(aReply->m_outcome));
  } else {
    ScheduleFlush(link);
  }
}

LinkResultsReply
WorkerLinks::OnResults(const LinkResults& aResults)
{
  const auto it = m_links.find(aResults.m_instance);
  if (m_ended || aResults.m_epoch != m_settings.m_epoch || it == m_links.end() ||
      it->second->m_state == LinkState::Closed || it->second->m_session != aResults.m_session) {
    return { LinkResultsOutcome::Ended };
  }
  Link& link = *it->second;
  if (link.m_state == LinkState::Opening && aResults.m_confirmed) {
    link.m_state = LinkState::Open;
    link.m_heardAt = m_port.Now();
    ScheduleFlush(link);
  }
  const LinkResultsReply reply{ m_mayCall() ? LinkResultsOutcome::Confirmed
                                            : LinkResultsOutcome::Unconfirmed };
  if (aResults.m_sequence <= link.m_lastSequence) {
    return reply; // repeated, since an earlier reply was lost
  }
  link.m_lastSequence = aResults.m_sequence;
  if (link.m_state == LinkState::Open) {
    link.m_heardAt = m_port.Now(); // neither repeated nor unconfirmed results show a working link
  }
  for (const LinkCallResult& result : aResults.m_calls) {
    const auto call = link.m_pending.find(result.m_call);
    if (call != link.m_pending.end() && call->second.m_onCalled) {
      const WorkerCallCallback done = std::move(call->second.m_onCalled);
      link.m_pending.erase(call);
      done(result.m_result);
    }
  }
  for (const LinkPollResult& result : aResults.m_polls) {
    const auto call = link.m_pending.find(result.m_call);
    if (call != link.m_pending.end() && call->second.m_onPolled) {
      const PollCallback done = std::move(call->second.m_onPolled);
      link.m_pending.erase(call);
      done(result.m_result, result.m_status);
    }
  }
  return reply;
}

} // namespace egretturn
