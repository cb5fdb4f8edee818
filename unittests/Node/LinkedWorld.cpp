#include "LinkedWorld.h"

#include "egretturn/Journal/Codec.h"

namespace egretturn::schedtest {

using std::chrono::milliseconds;

static constexpr Duration kOrdersTimeout = milliseconds(900);     // as in PeerLinkPort
static constexpr Duration kResultsTimeout = milliseconds(400);    // as in PeerLinkPort
static constexpr Duration kMaxLinkSilence = milliseconds(1000);   // as in WorkerLinks
static constexpr Duration kLinkCheckInterval = milliseconds(100); // as in WorkerLinks
static constexpr Duration kPingInterval = milliseconds(200);
static constexpr uint64_t kMaxAnnouncementMs = 1000; // until a shard knows of a new leader
static constexpr double kLeaderWeight = 0.001;       // it can carry a single worker
static constexpr double kShardWeight = 0.1;

/// Calls the simulated workers for one process, which gets no results while it is suspended.
class LinkedWorld::ProcessWorkers : public WorkerPort
{
public:
  ProcessWorkers(LinkedWorld& aWorld, std::shared_ptr<Process> aProcess)
    : m_world(aWorld)
    , m_process(std::move(aProcess))
    , m_direct(m_world.MakeDirectPort(m_process->m_caller))
  {
  }

  void Start(const StartTask& aStart, uint64_t aFence, WorkerCallCallback aDone) override
  {
    m_direct->Start(aStart, aFence, Wrap(aDone));
  }

  void Stop(const StopTask& aStop, uint64_t aFence, WorkerCallCallback aDone) override
  {
    m_direct->Stop(aStop, aFence, Wrap(aDone));
  }

  void Poll(const PollWorker& aPoll, uint64_t aFence, PollCallback aDone) override
  {
    m_direct->Poll(aPoll,
                   aFence,
                   [world = &m_world, process = m_process, aDone](WorkerCallResult aResult,
                                                                  const WorkerStatus& aStatus) {
                     world->RunIn(process, [aDone, aResult, aStatus] { aDone(aResult, aStatus); });
                   });
  }

  void Throttle(const ThrottleTask&, uint64_t, WorkerCallCallback) override {}

private:
  WorkerCallCallback Wrap(const WorkerCallCallback& aDone)
  {
    return [world = &m_world, process = m_process, aDone](WorkerCallResult aResult) {
      world->RunIn(process, [aDone, aResult] { aDone(aResult); });
    };
  }

  LinkedWorld& m_world;
  std::shared_ptr<Process> m_process;
  std::shared_ptr<WorkerPort> m_direct;
};

/// Time and messages of one process.
class LinkedWorld::ProcessPort : public LinkPort
{
public:
  ProcessPort(LinkedWorld& aWorld, std::shared_ptr<Process> aProcess)
    : m_world(aWorld)
    , m_process(std::move(aProcess))
  {
  }

  Instant Now() override { return m_world.Now(); }

  void After(Duration aDelay, std::function<void()> aCallback) override
  {
    m_world.After(aDelay,
                  [world = &m_world, process = m_process, life = m_process->m_life, aCallback] {
                    if (process->m_life == life) {
                      world->RunIn(process, aCallback);
                    }
                  });
  }

  void SendOrders(const std::string& aAddress,
                  const LinkOrders& aOrders,
                  LinkOrdersCallback aDone) override
  {
    Send<LinkOrders, LinkOrdersReply>(
      aAddress,
      aOrders,
      [](const Process& aTo, const LinkOrders& aMessage) {
        return aTo.m_shard ? aTo.m_shard->OnOrders(aMessage) : LinkOrdersReply();
      },
      kOrdersTimeout,
      std::move(aDone));
  }

  void SendResults(const std::string& aAddress,
                   const LinkResults& aResults,
                   LinkResultsCallback aDone) override
  {
    Send<LinkResults, LinkResultsReply>(
      aAddress,
      aResults,
      [](const Process& aTo, const LinkResults& aMessage) {
        const bool leads = aTo.m_links && !aTo.m_leader->m_stopped;
        return leads ? aTo.m_links->OnResults(aMessage) : LinkResultsReply();
      },
      kResultsTimeout,
      std::move(aDone));
  }

private:
  template<typename Message, typename Reply, typename Handler>
  void Send(const std::string& aAddress,
            const Message& aMessage,
            Handler aHandler,
            Duration aTimeout,
            std::function<void(const std::optional<Reply>&)> aDone)
  {
    // Whatever comes first, the reply or the timeout, completes the call.
    const std::shared_ptr<bool> completed = std::make_shared<bool>(false);
    const auto complete = [world = &m_world, process = m_process, completed, aDone](
                            const std::optional<Reply>& aReply) {
      world->RunIn(process, [completed, aDone, aReply] {
        if (!std::exchange(*completed, true)) {
          aDone(aReply);
        }
      });
    };
    After(aTimeout, [complete] { complete(std::nullopt); });
    const std::shared_ptr<Process> to = m_world.FindProcess(aAddress);
    if (!to || m_world.IsLost(*m_process, *to)) {
      return;
    }
    Message received;
    const bool decoded = UnpackCompact(PackCompact(aMessage), received);
    m_world.After(m_world.Delay(),
                  [world = &m_world, from = m_process, to, decoded, received, aHandler, complete] {
                    world->RunIn(to, [world, from, to, decoded, received, aHandler, complete] {
                      const Reply reply = decoded ? aHandler(*to, received) : Reply();
                      if (!world->IsLost(*to, *from)) {
                        world->After(world->Delay(), [complete, reply] { complete(reply); });
                      }
                    });
                  });
  }

  LinkedWorld& m_world;
  std::shared_ptr<Process> m_process;
};

LinkedWorld::LinkedWorld(uint64_t aSeed, size_t aWorkers, size_t aShards)
  : SchedulerWorld(aSeed, aWorkers)
{
  for (size_t i = 0; i < aShards; ++i) {
    const std::shared_ptr<Process> process = std::make_shared<Process>();
    process->m_address = "shard-" + std::to_string(i);
    m_shards.push_back(process);
    StartShard(process);
  }
}

void
LinkedWorld::StartShard(const std::shared_ptr<Process>& aProcess)
{
  ++aProcess->m_life;
  m_retired.push_back(aProcess->m_port);
  m_retired.push_back(aProcess->m_workers);
  aProcess->m_port = std::make_shared<ProcessPort>(*this, aProcess);
  aProcess->m_workers = std::make_shared<ProcessWorkers>(*this, aProcess);
  aProcess->m_shard =
    std::make_shared<LinkShard>(*aProcess->m_port, *aProcess->m_workers, aProcess->m_address);
}

LinkInstance
LinkedWorld::Describe(const Process& aProcess) const
{
  const size_t number = static_cast<size_t>(aProcess.m_address.back() - '0');
  return {
    aProcess.m_address, aProcess.m_address, "z" + std::to_string(number % 2), "region", kShardWeight
  };
}

void
LinkedWorld::RunIn(const std::shared_ptr<Process>& aProcess, const std::function<void()>& aCallback)
{
  if (aProcess->m_pausedUntil <= Now()) {
    aCallback();
    return;
  }
  After(aProcess->m_pausedUntil - Now(), [this, aProcess, life = aProcess->m_life, aCallback] {
    if (aProcess->m_life == life) {
      RunIn(aProcess, aCallback);
    }
  });
}

std::shared_ptr<LinkedWorld::Process>
LinkedWorld::FindProcess(const std::string& aAddress) const
{
  for (const std::vector<std::shared_ptr<Process>>* list : { &m_shards, &m_leaderProcesses }) {
    for (const std::shared_ptr<Process>& process : *list) {
      if (process->m_address == aAddress) {
        return process;
      }
    }
  }
  return nullptr;
}

bool
LinkedWorld::IsLost(const Process& aFrom, const Process& aTo)
{
  return aFrom.m_cutUntil > Now() || aTo.m_cutUntil > Now() || m_random.Unit() < m_lossProbability;
}

Duration
LinkedWorld::MaxPollTime() const
{
  // The orders wait for the reply to the ones before; then the call, and a link that is given up.
  return kOrdersTimeout + SchedulerWorld::MaxPollTime() + kMaxLinkSilence + kLinkCheckInterval;
}

std::shared_ptr<WorkerPort>
LinkedWorld::MakeWorkerPort(const std::shared_ptr<Leader>& aLeader)
{
  const std::shared_ptr<Process> process = std::make_shared<Process>();
  process->m_address = "leader-" + std::to_string(aLeader->m_epoch);
  process->m_caller = aLeader->m_caller;
  process->m_leader = aLeader;
  process->m_port = std::make_shared<ProcessPort>(*this, process);
  process->m_workers = std::make_shared<ProcessWorkers>(*this, process);
  WorkerLinksSettings settings;
  settings.m_epoch = aLeader->m_epoch;
  settings.m_self = { process->m_address, process->m_address, "z0", "region", kLeaderWeight };
  process->m_links = std::make_shared<WorkerLinks>(
    *process->m_port, *process->m_workers, settings, [leader = std::weak_ptr(aLeader)] {
      const std::shared_ptr<Leader> self = leader.lock();
      return self && !self->m_stopped;
    });
  m_leaderProcesses.push_back(process);
  process->m_links->Begin();
  Introduce(process);
  for (const std::shared_ptr<Process>& shard : m_shards) {
    After(milliseconds(m_random.Below(kMaxAnnouncementMs)),
          [this, shard, epoch = aLeader->m_epoch] {
            if (shard->m_cutUntil <= Now()) {
              RunIn(shard, [shard, epoch] { shard->m_shard->OnEpoch(epoch); });
            }
          });
  }
  return process->m_links;
}

void
LinkedWorld::Introduce(const std::shared_ptr<Process>& aProcess)
{
  if (aProcess->m_leader->m_stopped) {
    aProcess->m_links->End();
    return;
  }
  std::vector<LinkInstance> instances;
  for (const std::shared_ptr<Process>& shard : m_shards) {
    instances.push_back(Describe(*shard));
  }
  After(milliseconds(m_random.Below(200)), [aProcess, instances] {
    if (!aProcess->m_leader->m_stopped) {
      aProcess->m_links->SetInstances(instances);
    }
  });
  After(kPingInterval, [this, aProcess] { Introduce(aProcess); });
}

void
LinkedWorld::PauseShard(size_t aIndex, Duration aTime)
{
  m_shards[aIndex]->m_pausedUntil = Now() + aTime;
}

void
LinkedWorld::CutShard(size_t aIndex, Duration aTime)
{
  m_shards[aIndex]->m_cutUntil = Now() + aTime;
}

void
LinkedWorld::CutShardFromWorkers(size_t aIndex, Duration aTime)
{
  for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
    m_shards[aIndex]->m_caller->m_unreachableUntil[worker->Report().m_id] = Now() + aTime;
  }
}

void
LinkedWorld::RestartShard(size_t aIndex)
{
  m_shards[aIndex]->m_pausedUntil = Now();
  StartShard(m_shards[aIndex]);
}

bool
LinkedWorld::HasOtherFaults()
{
  uint64_t lives = 0;
  bool faulty = m_lossProbability > 0;
  for (const std::shared_ptr<Process>& shard : m_shards) {
    lives += shard->m_life;
    faulty = faulty || shard->m_pausedUntil > Now() || shard->m_cutUntil > Now();
    for (const std::pair<const WorkerName, Instant>& cut : shard->m_caller->m_unreachableUntil) {
      faulty = faulty || cut.second > Now();
    }
  }
  return std::exchange(m_knownLives, lives) != lives || faulty;
}

void
LinkedWorld::InjectLinkFault()
{
  const size_t shard = m_random.Below(m_shards.size());
  const Duration span = milliseconds(200 + m_random.Below(6000));
  switch (m_random.Below(5)) {
    case 0:
      PauseShard(shard, span);
      break;
    case 1:
      CutShard(shard, span);
      break;
    case 2:
      CutShardFromWorkers(shard, span);
      break;
    case 3:
      RestartShard(shard);
      break;
    default:
      m_lossProbability = m_random.Below(2) == 0 ? 0.0 : 0.02;
  }
}

void
LinkedWorld::HealLinks()
{
  m_lossProbability = 0;
  for (const std::shared_ptr<Process>& shard : m_shards) {
    shard->m_cutUntil = Now();
    shard->m_caller->m_unreachableUntil.clear();
  }
}

uint64_t
LinkedWorld::CountShardCalls() const
{
  uint64_t calls = 0;
  for (const std::shared_ptr<Process>& shard : m_shards) {
    calls += shard->m_shard->Counters().m_calls;
  }
  return calls;
}

} // namespace egretturn::schedtest
