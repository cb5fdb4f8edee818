// Lets leaders of the simulated world follow each other, and restores them from its store.
#include "SchedulerWorld.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Scheduler/Fence.h"

namespace egretturn::schedtest {

using std::chrono::milliseconds;

std::shared_ptr<SchedulerWorld::Leader>
SchedulerWorld::MakeLeader()
{
  std::shared_ptr<Leader> leader = std::make_shared<Leader>();
  leader->m_epoch = m_epoch = NextEpoch(m_epoch);
  leader->m_recoveryCountsFrom = m_now;
  leader->m_clockLagMs =
    m_random.Below(2) == 0 ? 0 : static_cast<int64_t>(m_random.Below(kMaxClockLagMs));
  SchedulerLimits limits;
  limits.m_endedJobRetention = std::chrono::hours(1); // states are queried at the end
  limits.m_maxRecordBytes = m_maxRecordBytes;
  leader->m_scheduler = std::make_unique<Scheduler>(limits, leader->m_epoch, m_now);
  leader->m_workerPort = MakeWorkerPort(leader);
  leader->m_end = ++m_storeEnd; // the claim
  RestoreRecords(*leader);
  return leader;
}

void
SchedulerWorld::RestoreRecords(Leader& aLeader)
{
  std::vector<std::pair<GraphId, StoredProgress>> progress;
  std::vector<std::pair<std::string, StoredProgressPart>> parts;
  for (const std::pair<const std::string, std::string>& valueEntry : m_store) {
    const std::string& key = valueEntry.first;
    const std::string& value = valueEntry.second;
    GraphId id = 0;
    const RecordKind kind = ClassifyKey(key, id);
    StoredJob job;
    StoredProgress one;
    StoredProgressPart part;
    StoredTombstone tombstone;
    WorkerReport report;
    if (kind == RecordKind::Job && UnpackCompact(value, job)) {
      aLeader.m_scheduler->RestoreJob(std::move(job), m_now, WallMs(aLeader));
    } else if (kind == RecordKind::Progress && UnpackCompact(value, one)) {
      progress.emplace_back(id, std::move(one));
    } else if (kind == RecordKind::ProgressPart && UnpackCompact(value, part)) {
      parts.emplace_back(key, std::move(part));
    } else if (kind == RecordKind::Tombstone && UnpackCompact(value, tombstone)) {
      aLeader.m_scheduler->RestoreTombstone(id, tombstone);
    } else if (kind == RecordKind::Worker && UnpackCompact(value, report)) {
      aLeader.m_workerPort->SetWorkerZone(report.m_id, report.m_zone);
      aLeader.m_scheduler->RestoreWorker(report, m_now);
    }
  }
  for (const std::pair<GraphId, StoredProgress>& oneEntry : progress) {
    aLeader.m_scheduler->RestoreProgress(oneEntry.first, oneEntry.second);
  }
  for (const std::pair<std::string, StoredProgressPart>& partEntry : parts) {
    GraphId id = 0;
    ClassifyKey(partEntry.first, id);
    aLeader.m_scheduler->RestoreProgressPart(partEntry.first, id, partEntry.second, m_now);
  }
}

void
SchedulerWorld::LimitRecords(size_t aMaxRecordBytes)
{
  static constexpr size_t kCheckpointBytes = 120;
  m_maxRecordBytes = aMaxRecordBytes;
  for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
    worker->m_checkpointBytes = kCheckpointBytes;
  }
}

void
SchedulerWorld::ElectLeader(bool aKeepPrevious)
{
  std::optional<Placements> placed;
  // What the previous leader can't reach, its successor can't reach either.
  const std::map<WorkerName, Instant> unreachableUntil =
    m_leaders.empty() ? std::map<WorkerName, Instant>()
                      : m_leaders.back()->m_caller->m_unreachableUntil;
  if (!m_leaders.empty() && m_random.Unit() < 0.5) {
    m_leaders.back()->m_stopped = true; // it responds to the new leader, but calls no worker
    placed = m_leaders.back()->m_scheduler->ListPlacements(m_now);
  } else if (!m_leaders.empty()) {
    StopLater(m_leaders.back(), milliseconds(kMaxNoticeMs));
  }
  if (!aKeepPrevious) {
    m_leaders.clear();
  }
  const std::shared_ptr<Leader> leader = MakeLeader();
  leader->m_caller->m_unreachableUntil = unreachableUntil;
  if (placed) {
    leader->m_scheduler->RestorePlacements(*placed, m_now);
  }
  m_leaders.push_back(leader);
  ReadDirectory(leader);
}

void
SchedulerWorld::StopLater(const std::shared_ptr<Leader>& aLeader, Duration aNoticeTime)
{
  After(aNoticeTime, [aLeader] { aLeader->m_stopped = true; });
}

void
SchedulerWorld::SupersedeUnnoticed(Duration aNoticeTime)
{
  if (m_leaders.empty()) {
    return;
  }
  const std::shared_ptr<Leader> previous = m_leaders.back();
  previous->m_reachesStore = false;
  StopLater(previous, aNoticeTime);
  const std::shared_ptr<Leader> leader = MakeLeader();
  for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
    if (m_random.Below(2) == 0) {
      leader->m_caller->m_unreachableUntil[worker->Report().m_id] =
        m_now + milliseconds(m_random.Below(12000));
    }
  }
  m_leaders.push_back(leader);
  ReadDirectory(leader);
}

void
SchedulerWorld::CutWorkersFromLeader(Duration aTime)
{
  for (const std::unique_ptr<FakeWorker>& worker : m_workers) {
    if (m_random.Below(2) == 0) {
      m_leaders.back()->m_caller->m_unreachableUntil[worker->Report().m_id] = m_now + aTime;
    }
  }
}

void
SchedulerWorld::ListGoneWorker(Duration aTime)
{
  const FakeWorker& successor = *m_workers[m_random.Below(m_workers.size())];
  m_goneWorkers[successor.Report().m_id + "-" + std::to_string(m_random.Below(4))] = m_now + aTime;
}

} // namespace egretturn::schedtest
