#include "PolicySimulation.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace egretturn::bench {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration kWarmUp = seconds(60);
static constexpr Duration kServiceMedian = milliseconds(60);
static constexpr double kServiceSpread = 0.35; // sigma of the logarithm
static constexpr Duration kDeadline = milliseconds(600);
static constexpr Duration kWaveLength = seconds(60);
static constexpr uint32_t kSlots = 8;
static constexpr size_t kBacklogPerWorker = 3; // waiting tasks of each kind per worker

namespace {

/// Actual behavior of the tasks of a batch kind.
struct KindBehavior
{
  const char* m_name;
  Resources m_actualSize;
  Duration m_runTime;
  double m_addedSlowdown; ///< Slowdown of the service that each task adds, hidden from the policy.
};

constexpr KindBehavior kKinds[] = {
  { "quiet", { 1'000, 2'000, 0 }, seconds(20), 0.00 },
  { "middle", { 2'000, 4'000, 0 }, seconds(30), 0.03 },
  { "loud", { 1'500, 3'000, 0 }, seconds(25), 0.22 },
};

struct Timer
{
  Instant m_at;
  uint64_t m_order;
  std::function<void()> m_callback;
  bool operator<(const Timer& aOther) const
  {
    return m_at != aOther.m_at ? m_at > aOther.m_at : m_order > aOther.m_order;
  }
};

class PolicySimulation
{
public:
  PolicySimulation(const Site& aSite,
                   const Scenario& aScenario,
                   const DecisionOptions& aOptions,
                   uint64_t aSeed)
    : m_site(aSite)
    , m_scenario(aScenario)
    , m_random(aSeed)
    , m_core(MakeSettings(), InstanceId{ "one", aSeed | 1 }, aSeed, aOptions)
  {
    for (size_t i = 0; i < aSite.m_workers; ++i) {
      m_addresses.push_back("10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1) +
                            ":80");
      m_ids[m_addresses.back()] = i;
      m_workers.emplace_back(aSite.m_size, i + 1);
      for (const KindBehavior& kind : kKinds) {
        m_workers.back().SetBehavior(kind.m_name,
                                     TaskBehavior{ kind.m_runTime, kind.m_actualSize, true });
      }
    }
  }

  ScenarioResult Run(Duration aLength)
  {
    m_end = m_now + kWarmUp + aLength;
    m_measureFrom = m_now + kWarmUp;
    Tick();
    ScheduleAfter(seconds(1), [this] { PublishConfig(); });
    ScheduleAfter(seconds(4), [this] {
      SendNextRequest();
      RefillBacklog();
    });
    ScheduleFaults(aLength);
    while (!m_timers.empty() && m_timers.top().m_at <= m_end) {
      const Timer timer = m_timers.top();
      m_timers.pop();
      m_now = timer.m_at;
      timer.m_callback();
    }
    CountTasks();
    m_result.m_upperBound = ThroughputBound(aLength);
    return m_result;
  }

private:
  static Settings MakeSettings()
  {
    Settings settings;
    settings.m_id = "one";
    settings.m_zone = "z";
    settings.m_region = "r";
    return settings;
  }

  void ScheduleAfter(Duration aDelay, std::function<void()> aCallback)
  {
    m_timers.push(Timer{ m_now + aDelay, m_order++, std::move(aCallback) });
  }

  void Tick()
  {
    Step(TickEvent{});
    ScheduleAfter(kTickInterval, [this] { Tick(); });
  }

  std::string ConfigText() const
  {
    std::ostringstream text;
    std::string pools;
    text << "[zone.z]\nregion = \"r\"\n";
    for (size_t rack = 0; rack * m_site.m_perRack < m_site.m_workers; ++rack) {
      pools += (rack > 0 ? ", \"p" : "\"p") + std::to_string(rack) + "\"";
      text << "[pool.p" << rack << "]\nzone = \"z\"\nmillicores = " << m_site.m_size.m_milliCores
           << "\nmemory_mb = " << m_site.m_size.m_memoryMb << "\nworkers = [";
      for (size_t i = rack * m_site.m_perRack;
           i < std::min((rack + 1) * m_site.m_perRack, m_site.m_workers);
           ++i) {
        text << '"' << m_addresses[i] << "\", ";
      }
      text << "]\n";
    }
    text << "[service.s]\npools = [" << pools << "]\nslots = " << kSlots
         << "\nmillicores = 4000\nmemory_mb = 8000\n[service.s.requests.ask]\nidempotent = true\n"
         << "deadline_ms = " << ToMillis(kDeadline) << "\n[team.t]\nquota_millicores = 100000000\n";
    for (const KindBehavior& kind : kKinds) {
      text << "[kind." << kind.m_name << "]\npools = [" << pools << "]\nmillicores = "
           << Declared(kind.m_actualSize.m_milliCores, m_site.m_size.m_milliCores - 4'000)
           << "\nmemory_mb = "
           << Declared(kind.m_actualSize.m_memoryMb, m_site.m_size.m_memoryMb - 8'000)
           << "\nrun_s = 30\ncheckpoints = true\n";
    }
    text << "[policy.default]\ntail_weight = " << m_site.m_tailWeight
         << "\nlog_appends_per_s = 150\n";
    return text.str();
  }

  int64_t Declared(int64_t aActual, int64_t aLargest) const
  {
    return std::min(aLargest,
                    static_cast<int64_t>(static_cast<double>(aActual) * m_scenario.m_sizeError));
  }

  void PublishConfig()
  {
    PublishCommand command;
    command.m_publish.m_changes = Difference(Document{}, *ParseDocument(ConfigText(), "bench"));
    Step(CommandArrived{ m_nextId++, command });
  }

  /// Returns the factor on the hidden slowdowns at the current time.
  double SlowdownFactor() const
  {
    const int64_t wave = (m_now - Instant{}) / kWaveLength;
    return !m_scenario.m_waves || wave % 2 == 0 ? m_scenario.m_noise : 0.2;
  }

  double Slowdown(size_t aWorker) const
  {
    double slowdown = 1;
    int64_t used = 0;
    for (const std::pair<const TaskAttempt, egretturn::OwnedAttempt>& runEntry : Runs(aWorker)) {
      const egretturn::OwnedAttempt& run = runEntry.second;
      for (const KindBehavior& kind : kKinds) {
        if (run.m_kind == kind.m_name && run.m_phase == AttemptPhase::Running &&
            !run.m_resourcesFreed) {
          const double throttled = run.m_throttle / 100.0;
          slowdown += kind.m_addedSlowdown * SlowdownFactor() * throttled;
          used += kind.m_actualSize.m_milliCores;
        }
      }
    }
    const double available = static_cast<double>(m_site.m_size.m_milliCores - 4'000);
    return slowdown * std::max(1.0, static_cast<double>(used) / available);
  }

  const std::map<TaskAttempt, egretturn::OwnedAttempt>& Runs(size_t aWorker) const
  {
    static const std::map<TaskAttempt, egretturn::OwnedAttempt> kNone;
    const WorkerId id = WorkerIdOf(m_addresses[aWorker]);
    for (const std::pair<const std::string, OwnedRack>& rackEntry : m_core.Racks().Racks()) {
      const OwnedRack& rack = rackEntry.second;
      const std::map<WorkerId, OwnedWorker>::const_iterator it = rack.m_workers.find(id);
      if (it != rack.m_workers.end()) {
        return it->second.m_attempts;
      }
    }
    return kNone;
  }

  double Normal()
  {
    const double uniform = std::max(m_random.Unit(), 1e-12);
    return std::sqrt(-2 * std::log(uniform)) * std::cos(6.283185307 * m_random.Unit());
  }

  double CurrentLoad() const
  {
    const Duration third = (m_end - m_measureFrom) / 3;
    const bool middle = m_now >= m_measureFrom + third && m_now < m_measureFrom + 2 * third;
    return m_scenario.m_load * (m_scenario.m_loadShift && middle ? 2 : 1);
  }

  void SendNextRequest()
  {
    RequestArrived request;
    request.m_id = m_nextId++;
    request.m_service = "s";
    request.m_request = "ask";
    m_sentAt[request.m_id] = m_now;
    Step(request);
    const double perSecond = static_cast<double>(m_site.m_workers * kSlots) * CurrentLoad() /
                             std::chrono::duration<double>(kServiceMedian).count();
    const double gap = -std::log(std::max(m_random.Unit(), 1e-12)) / perSecond;
    ScheduleAfter(Duration(static_cast<int64_t>(gap * 1e6)), [this] { SendNextRequest(); });
  }

  void RefillBacklog()
  {
    if (m_scenario.m_batch) {
      std::map<std::string, size_t> waiting;
      for (const std::pair<const JobId, Job>& jobEntry : m_core.State().m_replica.Jobs().All()) {
        const Job& job = jobEntry.second;
        waiting[job.m_spec.m_kind] +=
          job.m_ended < job.m_tasks.size() ? job.m_tasks.size() - job.m_ended - job.m_started : 0;
      }
      for (const KindBehavior& kind : kKinds) {
        while (waiting[kind.m_name] < kBacklogPerWorker * m_site.m_workers) {
          SubmitCommand command;
          command.m_job.m_key = "job-" + std::to_string(m_jobs++);
          command.m_job.m_kind = kind.m_name;
          command.m_job.m_team = "t";
          command.m_job.m_tasks = static_cast<uint32_t>(m_site.m_workers);
          Step(CommandArrived{ m_nextId++, command });
          waiting[kind.m_name] += m_site.m_workers;
        }
      }
    }
    ScheduleAfter(seconds(2), [this] { RefillBacklog(); });
  }

  void ScheduleFaults(Duration aLength)
  {
    ScheduleAfter(kWarmUp + aLength / 3, [this] {
      m_faultsAt = m_now;
      for (size_t i = 0; i < m_scenario.m_failingWorkers; ++i) {
        m_failing.insert(i * 7 % m_site.m_workers);
        m_workers[i * 7 % m_site.m_workers].SetFailAllTasks(true);
      }
      m_lostRack = m_scenario.m_rackLost;
      m_logDown = m_scenario.m_logDown;
    });
    ScheduleAfter(kWarmUp + 2 * aLength / 3, [this] { m_logDown = false; });
    ScheduleAfter(kWarmUp + aLength / 2, [this] {
      for (const std::pair<const JobId, Job>& jobEntry : m_core.State().m_replica.Jobs().All()) {
        const uint64_t id = jobEntry.first;
        const Job& job = jobEntry.second;
        if (m_scenario.m_cancelWave && id / kMaxBatchEntries % 2 == 0 &&
            job.m_ended < job.m_tasks.size()) {
          m_toCancel.push_back(id);
        }
      }
      for (const JobId id : m_toCancel) {
        Step(CommandArrived{ m_nextId++, CancelCommand{ id } });
      }
    });
  }

  bool IsLost(size_t aWorker) const { return m_lostRack && aWorker < m_site.m_perRack; }

  void Step(const Event& aEvent)
  {
    for (const Action& action : m_core.Step(aEvent, m_now)) {
      Execute(action);
    }
  }

  void Execute(const Action& aAction)
  {
    std::visit(
      Overloaded{
        [this](const ReadLog& aRead) {
          ScheduleAfter(milliseconds(2), [this, aRead] {
            if (m_logDown) {
              Step(LogReadFailed{ aRead.m_stream, aRead.m_requestedAt });
              return;
            }
            Step(LogReadDone{
              aRead.m_stream,
              aRead.m_requestedAt,
              m_log.Read(std::string(NameOf(aRead.m_stream)), aRead.m_from, 256, m_now) });
          });
        },
        [this](const AppendLog& aAppend) {
          ScheduleAfter(milliseconds(2), [this, call = aAppend.m_call] {
            const bool appended =
              !m_logDown &&
              m_log.Append(std::string(NameOf(call.m_stream)), call.m_bytes, m_now).has_value();
            Step(LogAppendEnded{ call.m_stream, call.m_sequence, appended });
          });
        },
        [this](const CallWorker& aCall) { ExecuteWorkerCall(aCall); },
        [this](const Dispatch& aDispatch) { ExecuteDispatch(aDispatch); },
        [this](const CompleteRequest& aResponse) { CountResponse(aResponse); },
        [](const auto&) {},
      },
      aAction);
  }

  void ExecuteWorkerCall(const CallWorker& aCall)
  {
    const size_t worker = m_ids.at(aCall.m_address);
    if (IsLost(worker)) {
      return;
    }
    ScheduleAfter(milliseconds(1), [this, worker, aCall] {
      if (const StartCall* start = std::get_if<StartCall>(&aCall.m_body.m_body)) {
        const bool jobFails =
          m_scenario.m_jobsFail && start->m_taskAttempt.m_task.m_job / kMaxBatchEntries % 4 == 0;
        m_workers[worker].SetFailAllTasks(jobFails || m_failing.contains(worker));
        m_result.m_starts += m_now >= m_measureFrom ? 1 : 0;
      }
      if (std::holds_alternative<StopCall>(aCall.m_body.m_body)) {
        m_result.m_evictions += m_now >= m_measureFrom ? 1 : 0;
      }
      WorkerReply reply = m_workers[worker].Handle(aCall.m_body, m_now);
      Step(WorkerReplied{ aCall.m_worker, aCall.m_call, true, std::move(reply) });
    });
  }

  void ExecuteDispatch(const Dispatch& aDispatch)
  {
    const size_t worker = m_ids.at(aDispatch.m_address);
    const RequestId id = aDispatch.m_id;
    const uint32_t attempt = aDispatch.m_attempt;
    if (IsLost(worker)) {
      ScheduleAfter(aDispatch.m_timeout, [this, id, attempt] {
        Step(DispatchEnded{ id, attempt, DispatchResult::TimedOut, 0, std::nullopt, "" });
      });
      return;
    }
    if (m_failing.contains(worker)) {
      m_sentToFailing[id] = true;
      ScheduleAfter(milliseconds(1), [this, id, attempt] {
        Step(DispatchEnded{ id, attempt, DispatchResult::Completed, 500, std::nullopt, "" });
      });
      return;
    }
    const double us = static_cast<double>(kServiceMedian.count()) * Slowdown(worker) *
                      std::exp(kServiceSpread * Normal());
    const Duration service(static_cast<int64_t>(us));
    const bool inTime = service < aDispatch.m_timeout;
    ScheduleAfter(inTime ? service : aDispatch.m_timeout, [this, id, attempt, inTime] {
      const DispatchResult result = inTime ? DispatchResult::Completed : DispatchResult::TimedOut;
      Step(DispatchEnded{ id, attempt, result, 200, std::nullopt, "" });
    });
  }

  void CountResponse(const CompleteRequest& aResponse)
  {
    const std::map<RequestId, Instant>::iterator it = m_sentAt.find(aResponse.m_id);
    if (it == m_sentAt.end()) {
      return;
    }
    const Instant sentAt = it->second;
    m_sentAt.erase(it);
    const bool viaFailingWorker = m_sentToFailing.erase(aResponse.m_id) > 0;
    if (sentAt < m_measureFrom) {
      return;
    }
    ++m_result.m_requests;
    if (aResponse.m_outcome == Outcome::NotRun) {
      ++m_result.m_notRun;
      return;
    }
    const Duration latency = m_now - sentAt;
    m_result.m_latency.Record(latency);
    if (aResponse.m_outcome == Outcome::Unknown || latency > kDeadline) {
      ++m_result.m_late;
      m_result.m_lateByFailingWorker +=
        viaFailingWorker && sentAt > m_faultsAt + seconds(2) ? 1 : 0;
    }
  }

  void CountTasks()
  {
    for (const WorkerModel& worker : m_workers) {
      for (const AttemptRecord& record : worker.History()) {
        m_result.m_finished +=
          record.m_state == AttemptStatus::Finished && record.m_to >= m_measureFrom ? 1 : 0;
      }
    }
  }

  /// Returns how many tasks a packing by actual sizes would finish: the tasks that fit at the same
  /// time, in equal shares of the kinds, over their mean run time.
  double ThroughputBound(Duration aLength) const
  {
    double milliCores = 0;
    double memory = 0;
    for (const KindBehavior& kind : kKinds) {
      const double seconds = std::chrono::duration<double>(kind.m_runTime).count();
      milliCores += static_cast<double>(kind.m_actualSize.m_milliCores) * seconds / 3;
      memory += static_cast<double>(kind.m_actualSize.m_memoryMb) * seconds / 3;
    }
    const double workers = static_cast<double>(m_site.m_workers);
    const double byCores =
      workers * static_cast<double>(m_site.m_size.m_milliCores - 4'000) / milliCores;
    const double byMemory =
      workers * static_cast<double>(m_site.m_size.m_memoryMb - 8'000) / memory;
    return std::min(byCores, byMemory) * std::chrono::duration<double>(aLength).count();
  }

  Site m_site;
  Scenario m_scenario;
  Random m_random;
  Core m_core;
  LogModel m_log;
  std::vector<std::string> m_addresses;
  std::map<std::string, size_t> m_ids;
  std::vector<WorkerModel> m_workers;
  std::priority_queue<Timer> m_timers;
  uint64_t m_order = 0;
  uint64_t m_nextId = 1;
  size_t m_jobs = 0;
  Instant m_now{ std::chrono::hours(1) };
  Instant m_end{};
  Instant m_measureFrom{};
  Instant m_faultsAt = Instant::max() - seconds(100);
  bool m_lostRack = false;
  bool m_logDown = false;
  std::set<size_t> m_failing;
  std::vector<JobId> m_toCancel;
  std::map<RequestId, Instant> m_sentAt;
  std::map<RequestId, bool> m_sentToFailing;
  ScenarioResult m_result;
};

} // namespace

ScenarioResult
RunScenario(const Site& aSite,
            const Scenario& aScenario,
            const DecisionOptions& aOptions,
            uint64_t aSeed,
            Duration aLength)
{
  PolicySimulation simulation(aSite, aScenario, aOptions, aSeed);
  return simulation.Run(aLength);
}

} // namespace egretturn::bench
