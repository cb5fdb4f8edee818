// A simulated world whose leaders call workers through link shards, with faults of shards and of
// the network between instances.
#pragma once

#include "SchedulerWorld.h"

#include "egretturn/Node/LinkShard.h"
#include "egretturn/Node/WorkerLinks.h"

namespace egretturn::schedtest {

class LinkedWorld : public SchedulerWorld
{
public:
  LinkedWorld(uint64_t aSeed, size_t aWorkers, size_t aShards);

  /// Suspends a shard: what it receives meanwhile, it handles when it wakes.
  void PauseShard(size_t aIndex, Duration aTime);

  /// Loses all messages between a shard and the leaders.
  void CutShard(size_t aIndex, Duration aTime);

  /// Lets a shard reach no worker.
  void CutShardFromWorkers(size_t aIndex, Duration aTime);

  /// Ends the process of a shard and starts it again.
  void RestartShard(size_t aIndex);

  /// Injects one of these faults into a random shard, or changes how many messages are lost.
  void InjectLinkFault();

  void HealLinks();

  /// Returns the calls that the shards have made.
  uint64_t CountShardCalls() const;

protected:
  std::shared_ptr<WorkerPort> MakeWorkerPort(const std::shared_ptr<Leader>& aLeader) override;

  bool HasOtherFaults() override;

  /// A poll takes longer by the time in which a leader notices that a link has failed.
  Duration MaxPollTime() const override;

private:
  class ProcessPort;
  class ProcessWorkers;

  /// The process of a shard or of a leader.
  struct Process
  {
    std::string m_address;
    Instant m_pausedUntil;
    Instant m_cutUntil;
    uint64_t m_life = 0; ///< Rises with each restart.
    std::shared_ptr<Caller> m_caller = std::make_shared<Caller>();
    std::shared_ptr<LinkPort> m_port;
    std::shared_ptr<WorkerPort> m_workers;
    std::shared_ptr<LinkShard> m_shard;   ///< Of a shard.
    std::shared_ptr<WorkerLinks> m_links; ///< Of a leader.
    std::shared_ptr<Leader> m_leader;
  };

  void StartShard(const std::shared_ptr<Process>& aProcess);
  LinkInstance Describe(const Process& aProcess) const;
  /// Runs \p aCallback in the process once it is not suspended, unless it is restarted before.
  void RunIn(const std::shared_ptr<Process>& aProcess, const std::function<void()>& aCallback);
  std::shared_ptr<Process> FindProcess(const std::string& aAddress) const;
  /// Lets the leader know of the shards, and the shards of the leader.
  void Introduce(const std::shared_ptr<Process>& aProcess);
  bool IsLost(const Process& aFrom, const Process& aTo);

  std::vector<std::shared_ptr<Process>> m_shards;
  std::vector<std::shared_ptr<Process>> m_leaderProcesses;
  std::vector<std::shared_ptr<void>> m_retired; ///< What pending callbacks of an ended process use.
  uint64_t m_knownLives = 0;                    ///< The sum of the shards' lives at the last check.
  double m_lossProbability = 0;                 ///< Of a message between instances.
};

} // namespace egretturn::schedtest
