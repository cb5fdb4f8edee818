#include "SoakWorld.h"

#include "SoakJobs.h"

#include "egretturn/Journal/Codec.h"

#include <csignal>

namespace egretturn::soak {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration kTickInterval = milliseconds(20);
static constexpr Duration kEntryInterval = milliseconds(1500);
static constexpr Duration kRestartDelay = milliseconds(400);
static constexpr Duration kStartTimeout = seconds(20);
static constexpr Duration kReadyTimeout = milliseconds(200);
static constexpr Duration kStarvedRun = milliseconds(10);
static constexpr Duration kStarvedPause = milliseconds(90);
static constexpr size_t kMaxResponseBytes = 1024 * 1024;
static constexpr const char* kJobsTopic = "keyed.jobs";
static constexpr const char* kDirectoryTopic = "keyed.servers";
static constexpr const char* kOperatorTopic = "keyed.op";
static constexpr size_t kWorkersPerRack = 8;
static constexpr Duration kEvacuationBound = seconds(5); // as in the settings of the instances

SoakWorld::SoakWorld(const SoakSettings& aSettings)
  : m_random(aSettings.m_seed)
  , m_settings(aSettings)
  , m_record(aSettings.m_folder + "/record.txt")
  , m_startedAt(BootClockNow())
  , m_store(
      m_io,
      [this](size_t aInstance, const KeyedRecord& aRecord) {
        return Translate(aInstance, aRecord);
      },
      [this](const std::string& aTopic, const KeyedRecord& aRecord) {
        OnAppended(aTopic, aRecord);
      })
  , m_instances(aSettings.m_program, aSettings.m_folder, aSettings.m_processorShare)
  , m_client(m_io, kMaxResponseBytes)
  , m_callerRandom(Mix(aSettings.m_seed))
{
  for (size_t i = 0; i < m_settings.m_instances; ++i) {
    m_instances.Add(MakeSite(i));
    m_store.Listen("127.0.0.1:" + std::to_string(m_instances.Site(i).m_storePort));
  }
  OpenRelays();
  AddWorkers();
  m_cutUntil.resize(m_settings.m_instances);
  m_suspendedUntil.resize(m_settings.m_instances);
  m_paths.assign(m_settings.m_instances,
                 std::vector<PathMode>(m_settings.m_workers, PathMode::Open));
  m_store.Put(kOperatorTopic, "config", EncodeConfiguration());
  WriteEntries();
  Every(kTickInterval, [this] { Tick(); });
  Every(kEntryInterval, [this] { WriteEntries(); });
}

InstanceSite
SoakWorld::MakeSite(size_t aIndex)
{
  InstanceSite site;
  const size_t zone = aIndex % kZones;
  site.m_zone = "z" + std::to_string(zone);
  site.m_region = zone + 1 == kZones ? "north" : "south";
  site.m_name = "front-" + site.m_zone + "-" + std::to_string(aIndex / kZones + 1);
  site.m_ingressPort = m_ports.Take(m_io);
  site.m_readyPort = m_ports.Take(m_io);
  site.m_peerPort = m_ports.Take(m_io);
  site.m_storePort = m_ports.Take(m_io);
  return site;
}

void
SoakWorld::OpenRelays()
{
  m_relays.resize(m_instances.Count());
  m_relayPorts.assign(m_instances.Count(), std::vector<uint16_t>(m_instances.Count(), 0));
  for (size_t from = 0; from < m_instances.Count(); ++from) {
    for (size_t to = 0; to < m_instances.Count(); ++to) {
      m_relays[from].emplace_back();
      if (from != to) {
        m_relayPorts[from][to] = m_ports.Take(m_io);
        m_relays[from][to] =
          std::make_unique<Relay>(m_io, m_relayPorts[from][to], m_instances.Site(to).m_peerPort);
      }
    }
  }
}

void
SoakWorld::AddWorkers()
{
  for (size_t i = 0; i < m_settings.m_workers; ++i) {
    WorkerReport report;
    report.m_id = "w" + std::to_string(i);
    report.m_service = kService;
    report.m_address = "127.0.0.1:" + std::to_string(m_ports.Take(m_io));
    report.m_zone = "z" + std::to_string(i % kZones);
    report.m_rack = "r" + std::to_string(i / kWorkersPerRack);
    report.m_labels = { i % 2 ? "b" : "a", report.m_rack };
    report.m_capacity = { 8000, 16000, 0 };
    report.m_incarnation = ToMillis(m_startedAt.time_since_epoch());
    m_workers.push_back(std::make_unique<WorkerStandin>(
      m_io,
      report,
      m_oracle,
      m_random,
      [this](const WorkerName& aWorker, uint64_t aFence) { return FindPath(aWorker, aFence); },
      [this](const std::string& aLine) { Record(aLine); },
      [this, id = report.m_id, zone = i % kZones] {
        CheckEvacuated(id, zone);
        for (const std::unique_ptr<WorkerStandin>& worker : m_workers) {
          worker->Model().Advance(BootClockNow());
        }
      }));
    m_workers.back()->Listen();
  }
  m_unlistedUntil.resize(m_settings.m_workers);
}

std::string
SoakWorld::Translate(size_t aInstance, const KeyedRecord& aRecord)
{
  StoredClaim claim;
  if (aRecord.m_key != kClaimKey || !UnpackCompact(aRecord.m_value, claim)) {
    return aRecord.m_value;
  }
  for (size_t to = 0; to < m_instances.Count(); ++to) {
    const bool other = to != aInstance;
    if (other && claim.m_instance == m_instances.Site(to).m_name) {
      claim.m_address = "127.0.0.1:" + std::to_string(m_relayPorts[aInstance][to]);
      return PackCompact(claim);
    }
  }
  return aRecord.m_value;
}

void
SoakWorld::OnAppended(const std::string& aTopic, const KeyedRecord& aRecord)
{
  StoredClaim claim;
  if (aTopic != kJobsTopic || aRecord.m_key != kClaimKey ||
      !UnpackCompact(aRecord.m_value, claim)) {
    return;
  }
  for (size_t i = 0; i < m_instances.Count(); ++i) {
    if (m_instances.Site(i).m_name == claim.m_instance && m_leaderOf.count(claim.m_epoch) == 0) {
      m_leaderOf[claim.m_epoch] = i;
      m_leader = i;
      Record("epoch " + std::to_string(claim.m_epoch) + " by " + claim.m_instance);
    }
  }
}

PathMode
SoakWorld::FindPath(const WorkerName& aWorker, uint64_t aFence)
{
  const auto later = m_leaderOf.upper_bound(aFence); // by the epoch, its lowest fence
  return later == m_leaderOf.begin()
           ? PathMode::Open
           : m_paths[std::prev(later)->second][std::stoul(aWorker.substr(1))];
}

void
SoakWorld::Record(const std::string& aLine)
{
  const int64_t wallMs = WallNowMs();
  m_record << wallMs << " " << ToMillis(BootClockNow() - m_startedAt) << " " << aLine << std::endl;
}

void
SoakWorld::After(Duration aDelay, const std::function<void()>& aCallback)
{
  const std::shared_ptr<boost::asio::steady_timer> timer =
    std::make_shared<boost::asio::steady_timer>(m_io, aDelay);
  timer->async_wait([timer, aCallback](boost::system::error_code aError) {
    if (!aError) {
      aCallback();
    }
  });
}

void
SoakWorld::Every(Duration aInterval, const std::function<void()>& aCallback)
{
  After(aInterval, [this, aInterval, aCallback] {
    aCallback();
    Every(aInterval, aCallback);
  });
}

void
SoakWorld::Run(Duration aTime)
{
  m_io.run_for(aTime);
}

void
SoakWorld::Tick()
{
  const Instant now = BootClockNow();
  for (const std::unique_ptr<WorkerStandin>& worker : m_workers) {
    worker->Advance(now);
  }
  for (const std::string& end : m_instances.Reap()) {
    m_oracle.ReportViolation(end);
  }
  for (; m_violationsRecorded < m_oracle.m_violations.size(); ++m_violationsRecorded) {
    Record("VIOLATION " + m_oracle.m_violations[m_violationsRecorded]);
  }
}

void
SoakWorld::WriteEntries()
{
  const Instant now = BootClockNow();
  for (size_t i = 0; i < m_workers.size(); ++i) {
    const bool silent = m_workers[i]->Model().m_unreachableUntil > now;
    if (m_unlistedUntil[i] <= now && !silent) {
      m_store.Put(kDirectoryTopic, m_workers[i]->Report().m_id, m_workers[i]->Entry());
    }
  }
}

bool
SoakWorld::Start()
{
  for (size_t i = 0; i < m_instances.Count(); ++i) {
    m_instances.Start(i);
  }
  const Instant deadline = BootClockNow() + kStartTimeout;
  while (BootClockNow() < deadline) {
    if (AllReady()) {
      return true;
    }
  }
  return false;
}

bool
SoakWorld::AllReady()
{
  size_t ready = 0;
  for (size_t i = 0; i < m_instances.Count(); ++i) {
    m_client.Send("127.0.0.1:" + std::to_string(m_instances.Site(i).m_readyPort),
                  MakeRequest(boost::beast::http::verb::get, "/-/ready", ""),
                  kReadyTimeout,
                  [&ready](const ClientResponse& aResponse) {
                    const bool answered = aResponse.m_result == ClientResult::Completed;
                    ready += answered && aResponse.m_response.result_int() == 200 ? 1 : 0;
                  });
  }
  Run(2 * kReadyTimeout);
  return ready == m_instances.Count();
}

void
SoakWorld::EvacuateZone(size_t aZone, Duration aTime)
{
  const std::string key = "evacuate/z" + std::to_string(aZone);
  const Instant now = BootClockNow();
  m_store.Put(kOperatorTopic, key, "{}");
  m_evacuatedSince[aZone] = now;
  After(aTime, [this, aZone, key, now] {
    const auto it = m_evacuatedSince.find(aZone);
    if (it != m_evacuatedSince.end() && it->second == now) {
      m_store.Put(kOperatorTopic, key, "");
      m_evacuatedSince.erase(it);
      Record("zone " + std::to_string(aZone) + " is taken back");
    }
  });
}

void
SoakWorld::ExpectDelays(Duration aTime)
{
  m_delaysEnd = std::max(m_delaysEnd, BootClockNow() + aTime);
}

void
SoakWorld::CheckEvacuated(const WorkerName& aWorker, size_t aZone)
{
  const auto it = m_evacuatedSince.find(aZone);
  const Instant now = BootClockNow();
  if (it != m_evacuatedSince.end() && now > std::max(it->second, m_delaysEnd) + kEvacuationBound) {
    m_oracle.ReportViolation("a start in an evacuated zone, on " + aWorker);
  }
}

void
SoakWorld::Suspend(const std::vector<size_t>& aInstances, Duration aTime)
{
  for (const size_t instance : aInstances) {
    m_instances.Signal(instance, SIGSTOP);
    m_suspendedUntil[instance] = BootClockNow() + aTime;
    After(aTime, [this, instance] { m_instances.Signal(instance, SIGCONT); });
  }
}

void
SoakWorld::Starve(const std::vector<size_t>& aInstances, Duration aTime)
{
  for (const size_t instance : aInstances) {
    Throttle(instance, BootClockNow() + aTime);
  }
}

void
SoakWorld::Throttle(size_t aInstance, Instant aUntil)
{
  if (BootClockNow() >= aUntil) {
    return;
  }
  m_instances.Signal(aInstance, SIGSTOP);
  After(kStarvedPause, [this, aInstance, aUntil] {
    m_instances.Signal(aInstance, SIGCONT);
    After(kStarvedRun, [this, aInstance, aUntil] { Throttle(aInstance, aUntil); });
  });
}

void
SoakWorld::Restart(const std::vector<size_t>& aInstances, int aSignal)
{
  for (const size_t instance : aInstances) {
    m_instances.Signal(instance, aSignal);
    m_instances.Signal(instance, SIGCONT); // a stopped process would not end
    const std::shared_ptr<std::function<void()>> startAgain =
      std::make_shared<std::function<void()>>();
    *startAgain = [this, instance, weak = std::weak_ptr(startAgain), startAgain] {
      if (m_instances.IsRunning(instance)) {
        After(kRestartDelay, *weak.lock());
      } else {
        m_instances.Start(instance);
      }
    };
    After(kRestartDelay, *startAgain);
  }
}

void
SoakWorld::Signal(const std::vector<size_t>& aInstances, int aSignal)
{
  for (const size_t instance : aInstances) {
    m_instances.Signal(instance, aSignal);
  }
}

void
SoakWorld::SetStoreMode(const std::vector<size_t>& aInstances, StoreMode aMode, Duration aTime)
{
  for (const size_t instance : aInstances) {
    m_store.SetMode(instance, aMode);
    After(aTime, [this, instance] { m_store.SetMode(instance, StoreMode::Available); });
  }
}

void
SoakWorld::SetPaths(const std::vector<size_t>& aInstances,
                    const std::vector<size_t>& aWorkers,
                    PathMode aMode,
                    Duration aTime)
{
  for (const size_t instance : aInstances) {
    for (const size_t worker : aWorkers) {
      m_paths[instance][worker] = aMode;
      After(aTime, [this, instance, worker] { m_paths[instance][worker] = PathMode::Open; });
    }
  }
}

void
SoakWorld::CutOff(const std::vector<size_t>& aInstances, Duration aTime)
{
  const std::set<size_t> side(aInstances.begin(), aInstances.end());
  for (size_t from = 0; from < m_instances.Count(); ++from) {
    for (size_t to = 0; to < m_instances.Count(); ++to) {
      if (from != to && side.count(from) != side.count(to)) {
        m_relays[from][to]->SetCut(true);
        After(aTime, [this, from, to] { m_relays[from][to]->SetCut(false); });
      }
    }
  }
}

void
SoakWorld::CutZone(size_t aZone, Duration aTime)
{
  std::vector<size_t> instances[2]; // outside and inside
  std::vector<size_t> workers[2];
  for (size_t i = 0; i < m_instances.Count(); ++i) {
    instances[ZoneOf(i) == aZone ? 1 : 0].push_back(i);
  }
  for (size_t i = 0; i < m_workers.size(); ++i) {
    workers[i % kZones == aZone ? 1 : 0].push_back(i);
  }
  CutOff(instances[1], aTime);
  SetStoreMode(instances[1], StoreMode::Silent, aTime);
  SetPaths(instances[0], workers[1], PathMode::Cut, aTime);
  SetPaths(instances[1], workers[0], PathMode::Cut, aTime);
}

void
SoakWorld::MakeUnreachable(size_t aWorker, Duration aTime)
{
  m_workers[aWorker]->Model().m_unreachableUntil = BootClockNow() + aTime;
}

void
SoakWorld::RestartWorker(size_t aWorker)
{
  m_workers[aWorker]->Restart(BootClockNow());
}

void
SoakWorld::Unlist(size_t aWorker, Duration aTime)
{
  m_unlistedUntil[aWorker] = BootClockNow() + aTime;
  m_store.Put(kDirectoryTopic, m_workers[aWorker]->Report().m_id, "");
}

std::string
SoakWorld::Summary() const
{
  size_t accepted = 0;
  size_t refused = 0;
  for (const std::pair<const GraphId, schedtest::JobHistory>& job : m_oracle.m_jobs) {
    accepted += job.second.m_accepted ? 1 : 0;
    refused += job.second.m_refused && !job.second.m_accepted ? 1 : 0;
  }
  size_t unknown = 0;
  for (const std::pair<const GraphId, schedtest::JobHistory>& job : m_oracle.m_jobs) {
    unknown += job.second.m_unknownWhenCancelled ? 1 : 0;
  }
  size_t done = 0;
  for (const std::pair<const GraphId, JobState>& shown : m_shown) {
    done += shown.second == JobState::Done ? 1 : 0;
  }
  return "jobs " + std::to_string(m_oracle.m_jobs.size()) + ", accepted " +
         std::to_string(accepted) + ", refused " + std::to_string(refused) +
         ", cancelled before they were accepted " + std::to_string(unknown) + ", shown as done " +
         std::to_string(done) + ", epochs " + std::to_string(m_leaderOf.size());
}

} // namespace egretturn::soak
