#include "egretturn/Node/WorkerLinks.h"

#include "egretturn/Support/Log.h"

#include <algorithm>
#include <cassert>

namespace egretturn {

// How long a new leader waits for instances that report to it, before it calls all workers itself.
static constexpr Duration kShardWait = std::chrono::milliseconds(600);

static constexpr Duration kMaxSilence =
  std::chrono::milliseconds(1000);                                  // several heartbeats of a shard
static constexpr Duration kExclusionTime = std::chrono::seconds(2); // after a link has failed
static constexpr Duration kCheckInterval = std::chrono::milliseconds(100);

// Below this share of its capacity the leader calls all workers itself again.
static constexpr double kUnshardShare = 0.8;

// The places in a worker's preferences that are tried: two shards, then the leader itself.
static constexpr size_t kChoices = 3;
static constexpr size_t kLeaderChoice = kChoices - 1;

static constexpr uint64_t kMaxFailureLogLines = 20; // per period
static constexpr Duration kFailureLogPeriod = std::chrono::seconds(10);

WorkerLinks::WorkerLinks(LinkPort& aPort,
                         WorkerPort& aDirect,
                         WorkerLinksSettings aSettings,
                         std::function<bool()> aMayCall)
  : m_port(aPort)
  , m_direct(aDirect)
  , m_settings(std::move(aSettings))
  , m_mayCall(std::move(aMayCall))
  , m_failureLimiter(kMaxFailureLogLines, kFailureLogPeriod)
{
}

void
WorkerLinks::Begin()
{
  m_waitUntil = m_port.Now() + kShardWait;
  CheckLinks();
}

void
WorkerLinks::End()
{
  m_ended = true;
  m_held.clear();
  m_routes.clear();
  m_links.clear();
}

void
WorkerLinks::SetInstances(std::vector<LinkInstance> aInstances)
{
  if (m_ended || aInstances == m_instances) {
    return;
  }
  m_instances = std::move(aInstances);
  UpdatePlan();
}

void
WorkerLinks::UpdatePlan()
{
  m_planStale = false;
  ++m_generation;
  const size_t capacity = LinkCapacity(m_settings.m_self.m_weight);
  const size_t limit =
    m_sharded ? static_cast<size_t>(kUnshardShare * static_cast<double>(capacity)) : capacity;
  const bool sharded = m_routes.size() > limit;
  if (sharded != m_sharded) {
    m_sharded = sharded;
    Log(LogLine(LogLevel::Info, sharded ? "links_sharded" : "links_direct")
          .Add("epoch", m_settings.m_epoch)
          .Add("workers", uint64_t{ m_routes.size() })
          .Add("own_capacity", uint64_t{ capacity }));
  }
  std::vector<LinkInstance> usable;
  const Instant now = m_port.Now();
  for (const LinkInstance& instance : m_instances) {
    const auto it = m_links.find(instance.m_id);
    if (m_sharded && (it == m_links.end() || it->second->m_excludedUntil <= now)) {
      usable.push_back(instance);
    }
  }
  m_plan = LinkPlan(std::move(usable), m_workersByZone, m_settings.m_regionOf);
  if (!MustWait()) {
    ReleaseHeldCalls();
  }
}

bool
WorkerLinks::MustWait() const
{
  return m_sharded && !m_plan.IsSufficient() && m_port.Now() < m_waitUntil;
}

bool
WorkerLinks::HoldIfWaiting(std::function<void()> aCall)
{
  if (m_planStale) {
    UpdatePlan();
  }
  if (!MustWait()) {
    return false;
  }
  m_held.push_back(std::move(aCall));
  return true;
}

void
WorkerLinks::ReleaseHeldCalls()
{
  for (const std::function<void()>& call : std::exchange(m_held, {})) {
    call();
  }
}

void
WorkerLinks::SetWorkerZone(const WorkerName& aWorker, const std::string& aZone)
{
  const auto [it, added] = m_routes.emplace(aWorker, Route());
  Route& route = it->second;
  if (!added && route.m_zone == aZone) {
    return;
  }
  if (!added) {
    --m_workersByZone[route.m_zone];
  }
  route.m_zone = aZone;
  ++m_workersByZone[aZone];
  m_planStale = true;
}

void
WorkerLinks::RemoveWorker(const WorkerName& aWorker)
{
  const auto it = m_routes.find(aWorker);
  if (it == m_routes.end()) {
    return;
  }
  SetLink(it->second, nullptr);
  --m_workersByZone[it->second.m_zone];
  m_routes.erase(it);
  m_planStale = true;
}

void
WorkerLinks::SetLink(Route& aRoute, Link* aLink)
{
  if (aRoute.m_link) {
    --aRoute.m_link->m_workers;
  }
  aRoute.m_link = aLink;
  if (aLink) {
    ++aLink->m_workers;
  }
}

WorkerLinks::Link*
WorkerLinks::ChooseLink(const WorkerName& aWorker, const Route& aRoute)
{
  if (!m_sharded || aRoute.m_choice == kLeaderChoice) {
    return nullptr;
  }
  const LinkInstance* instance = m_plan.Find(aWorker, aRoute.m_zone, aRoute.m_choice);
  if (!instance) {
    return nullptr;
  }
  std::unique_ptr<Link>& link = m_links[instance->m_id];
  if (!link) {
    link = std::make_unique<Link>();
  }
  if (link->m_state == LinkState::Closed) {
    link->m_instance = *instance; // its address may have changed
  }
  return link.get();
}

WorkerLinks::Link*
WorkerLinks::FindLink(const WorkerName& aWorker)
{
  if (m_planStale) {
    UpdatePlan();
  }
  const auto it = m_routes.find(aWorker);
  if (it == m_routes.end()) {
    return nullptr;
  }
  Route& route = it->second;
  if (route.m_generation != m_generation) {
    route.m_generation = m_generation;
    SetLink(route, ChooseLink(aWorker, route));
  }
  return route.m_link;
}

void
WorkerLinks::CheckLinks()
{
  if (m_ended) {
    return;
  }
  const Instant now = m_port.Now();
  std::vector<Link*> silent;
  bool readmitted = false;
  for (const std::pair<const std::string, std::unique_ptr<Link>>& linkEntry : m_links) {
    Link& link = *linkEntry.second;
    if (link.m_state != LinkState::Closed && now - link.m_heardAt > kMaxSilence) {
      silent.push_back(&link);
    } else if (link.m_state == LinkState::Open && link.m_workers == 0 && link.m_pending.empty()) {
      Close(link);
    }
    if (link.m_excludedUntil != Instant() && link.m_excludedUntil <= now) {
      link.m_excludedUntil = Instant();
      readmitted = true;
    }
  }
  for (Link* link : silent) {
    Fail(*link, "silent");
  }
  if (readmitted) {
    UpdatePlan();
  }
  if (!MustWait()) {
    ReleaseHeldCalls();
  }
  m_port.After(kCheckInterval, [self = shared_from_this()] { self->CheckLinks(); });
}

void
WorkerLinks::Open(Link& aLink)
{
  aLink.m_state = LinkState::Opening;
  aLink.m_session = ++m_lastSession;
  aLink.m_lastSequence = 0;
  aLink.m_heardAt = m_port.Now();
  Log(LogLine(LogLevel::Info, "link_opening")
        .Add("instance", aLink.m_instance.m_id)
        .Add("zone", aLink.m_instance.m_zone)
        .Add("session", aLink.m_session));
  Send(aLink, {});
}

void
WorkerLinks::Close(Link& aLink)
{
  aLink.m_state = LinkState::Closed;
  aLink.m_sending = false;
  aLink.m_drafts.clear();
}

void
WorkerLinks::Fail(Link& aLink, std::string_view aReason)
{
  std::unordered_map<LinkCallId, PendingCall> pending = std::exchange(aLink.m_pending, {});
  if (const std::optional<uint64_t> suppressed = m_failureLimiter.TryAcquire(m_port.Now())) {
    Log(LogLine(LogLevel::Warning, "link_failed")
          .Add("instance", aLink.m_instance.m_id)
          .Add("reason", aReason)
          .Add("workers", uint64_t{ aLink.m_workers })
          .Add("calls", uint64_t{ pending.size() })
          .Add("lines_held_back", *suppressed));
  }
  Close(aLink);
  aLink.m_excludedUntil = m_port.Now() + kExclusionTime;
  UpdatePlan();
  for (std::pair<const LinkCallId, PendingCall>& callEntry : pending) {
    const PendingCall& call = callEntry.second;
    if (call.m_onPolled) {
      call.m_onPolled(WorkerCallResult::LinkLost, {});
    } else {
      call.m_onCalled(WorkerCallResult::LinkLost);
    }
  }
}

LinkCallId
WorkerLinks::AddPending(Link& aLink, PendingCall aCall)
{
  const LinkCallId id = ++m_lastCall;
  aLink.m_pending.emplace(id, std::move(aCall));
  return id;
}

PollCallback
WorkerLinks::WatchPoll(const WorkerName& aWorker, PollCallback aDone)
{
  return [self = shared_from_this(), aWorker, done = std::move(aDone)](
           WorkerCallResult aResult, const WorkerStatus& aStatus) {
    const auto it = self->m_routes.find(aWorker);
    const bool unreachable =
      aResult == WorkerCallResult::NotSent || aResult == WorkerCallResult::NoResponse;
    if (unreachable && it != self->m_routes.end()) {
      // Only the path from the caller to the worker may be broken.
      it->second.m_choice = (it->second.m_choice + 1) % kChoices;
      it->second.m_generation = 0;
    }
    done(aResult, aStatus);
  };
}

void
WorkerLinks::Poll(const PollWorker& aPoll, uint64_t aFence, PollCallback aDone)
{
  if (HoldIfWaiting(
        [self = shared_from_this(), aPoll, aFence, aDone] { self->Poll(aPoll, aFence, aDone); })) {
    return;
  }
  Link* link = FindLink(aPoll.m_worker);
  PollCallback done = WatchPoll(aPoll.m_worker, std::move(aDone));
  if (!link) {
    m_direct.Poll(aPoll, aFence, std::move(done));
    return;
  }
  const LinkCallId call = AddPending(*link, { std::move(done), nullptr });
  DraftOf(*link).m_orders.m_polls.push_back({ call,
                                              aPoll.m_worker,
                                              aPoll.m_address,
                                              aPoll.m_leaseEndMs,
                                              aPoll.m_acknowledged,
                                              ToMillis(aPoll.m_wait),
                                              aPoll.m_incarnation,
                                              aFence });
  ScheduleFlush(*link);
}

void
WorkerLinks::Start(const StartTask& aStart, uint64_t aFence, WorkerCallCallback aDone)
{
  Link* link = FindLink(aStart.m_worker);
  if (!link) {
    m_direct.Start(aStart, aFence, std::move(aDone));
    return;
  }
  Draft& draft = DraftOf(*link);
  const uint32_t next = static_cast<uint32_t>(draft.m_orders.m_payloads.size());
  const auto [payload, added] = draft.m_payloadOf.emplace(aStart.m_task.m_job, next);
  if (added) {
    draft.m_orders.m_payloads.push_back(aStart.m_payload);
    draft.m_payloadBytes += aStart.m_payload.size();
  }
  const LinkCallId call = AddPending(*link, { nullptr, std::move(aDone) });
  draft.m_orders.m_starts.push_back({ call,
                                      aStart.m_worker,
                                      aStart.m_address,
                                      aStart.m_task,
                                      aStart.m_attempt,
                                      payload->second,
                                      aStart.m_checkpoint,
                                      aStart.m_ticket,
                                      aStart.m_leaseEndMs,
                                      aFence,
                                      m_routes.at(aStart.m_worker).m_zone });
  ScheduleFlush(*link);
}

void
WorkerLinks::Stop(const StopTask& aStop, uint64_t aFence, WorkerCallCallback aDone)
{
  Link* link = FindLink(aStop.m_worker);
  if (!link) {
    m_direct.Stop(aStop, aFence, std::move(aDone));
    return;
  }
  const LinkCallId call = AddPending(*link, { nullptr, std::move(aDone) });
  DraftOf(*link).m_orders.m_stops.push_back(
    { call, aStop.m_worker, aStop.m_address, aStop.m_task, aStop.m_attempt, aFence });
  ScheduleFlush(*link);
}

void
WorkerLinks::Throttle(const ThrottleTask& aThrottle, uint64_t aFence, WorkerCallCallback aDone)
{
  Link* link = FindLink(aThrottle.m_worker);
  if (!link) {
    m_direct.Throttle(aThrottle, aFence, std::move(aDone));
    return;
  }
  DraftOf(*link).m_orders.m_throttles.push_back({ aThrottle.m_worker,
                                                  aThrottle.m_address,
                                                  aThrottle.m_task,
                                                  aThrottle.m_attempt,
                                                  aThrottle.m_percent,
                                                  aFence });
  ScheduleFlush(*link);
}

std::string
WorkerLinks::HolderOf(const WorkerName& aWorker)
{
  const Link* link = FindLink(aWorker);
  return link ? link->m_instance.m_id : m_settings.m_self.m_id;
}

std::vector<LinkStatus>
WorkerLinks::ListLinks() const
{
  const Instant now = m_port.Now();
  std::vector<LinkStatus> links;
  for (const std::pair<const std::string, std::unique_ptr<Link>>& linkEntry : m_links) {
    const Link& link = *linkEntry.second;
    if (link.m_state != LinkState::Closed) {
      links.push_back(
        { link.m_instance.m_id, link.m_workers, link.m_pending.size(), now - link.m_heardAt });
    }
  }
  return links;
}

} // namespace egretturn
