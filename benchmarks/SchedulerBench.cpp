// Measures what the scheduler of one epoch costs per start, by part, at several sizes of a site.
// Workers and the store are simulated under virtual time; their own cost is not counted.
#include "egretturn/Scheduler/Scheduler.h"
#include "egretturn/Support/Random.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <queue>
#include <unordered_map>
#include <unordered_set>

using namespace egretturn;
using std::chrono::milliseconds;

static constexpr Duration kCallLatency = milliseconds(1);   // one way
static constexpr Duration kAppendLatency = milliseconds(6); // both ways
static constexpr Duration kBatchingDelay = milliseconds(2); // as in LeaderSession
static constexpr Duration kDirectoryInterval = milliseconds(1500);
static constexpr Duration kSubmitInterval = milliseconds(10);
static constexpr Duration kWarmUp = std::chrono::seconds(4);
static constexpr size_t kBestEffortImages = 30;
static constexpr size_t kServingImages = 16;

/// The parts of the scheduler's work that are measured.
enum class Part
{
  Submit,
  Tick,
  NextTick,
  StartResult,
  PollResponse,
  Append,
  Directory,
  State,
};

static constexpr size_t kParts = 8;
static constexpr std::array<const char*, kParts> kPartNames{ "submit",       "tick", "next_tick",
                                                             "start_result", "poll", "append",
                                                             "directory",    "state" };

/// Time spent in each part.
struct Cost
{
  std::array<double, kParts> m_micros{};
  std::array<uint64_t, kParts> m_calls{};
  double m_longestMicros = 0;

  void Add(Part aPart, double aMicros)
  {
    m_micros[static_cast<size_t>(aPart)] += aMicros;
    ++m_calls[static_cast<size_t>(aPart)];
    m_longestMicros = std::max(m_longestMicros, aMicros);
  }
};

/// A task that runs on a simulated worker.
struct BenchAttempt
{
  TaskRef m_task;
  AttemptNumber m_attempt = 0;
  Instant m_startedAt;
  Instant m_endsAt;
  bool m_serving = false;
};

/// A simulated worker: attempts end after their duration; a poll waits for an end.
struct BenchWorker
{
  std::vector<BenchAttempt> m_attempts;
  std::vector<EndedAttempt> m_ended;
  uint64_t m_lastEnd = 0;
  uint64_t m_heldPoll = 0; ///< Number of the poll that waits for an end, or 0.
};

/// A site of the given size under virtual time.
class BenchSite
{
public:
  BenchSite(size_t aWorkers, double aStartsPerSecond)
    : m_startsPerSecond(aStartsPerSecond)
    , m_random(1)
    , m_scheduler(SchedulerLimits{}, 1, m_now)
  {
    for (size_t i = 0; i < aWorkers; ++i) {
      m_names.push_back("i-" + FormatGraphId(Mix(i)).substr(0, 10));
      m_workers[m_names.back()] = {};
    }
    ReadDirectory();
    m_scheduler.OnDirectoryRead();
    SubmitServingJobs(aWorkers);
    SubmitJobs();
    Wake();
  }

  void Run(Duration aTime)
  {
    const Instant end = m_now + aTime;
    while (!m_events.empty() && m_events.top().m_at <= end) {
      const std::function<void()> callback = m_events.top().m_callback;
      m_now = m_events.top().m_at;
      m_events.pop();
      callback();
    }
    m_now = end;
  }

  void ResetCost()
  {
    m_cost = {};
    m_startsBefore = m_scheduler.Counters().m_starts;
  }

  void Report(size_t aWorkers, Duration aTime)
  {
    const uint64_t starts = m_scheduler.Counters().m_starts - m_startsBefore;
    double total = 0;
    for (double micros : m_cost.m_micros) {
      total += micros;
    }
    const double seconds = static_cast<double>(ToMillis(aTime)) / 1000.0;
    std::printf("workers %zu starts/s %.0f jobs %zu waiting %llu: %.1f us a start, %.3f cores, "
                "longest turn %.1f ms\n ",
                aWorkers,
                static_cast<double>(starts) / seconds,
                m_scheduler.JobCount(),
                static_cast<unsigned long long>(m_scheduler.Counters().m_tasksWaiting),
                total / static_cast<double>(std::max<uint64_t>(starts, 1)),
                total / 1e6 / seconds,
                m_cost.m_longestMicros / 1000.0);
    for (size_t i = 0; i < kParts; ++i) {
      std::printf(" %s %.1f us (%.0f/s)",
                  kPartNames[i],
                  m_cost.m_micros[i] / static_cast<double>(std::max<uint64_t>(starts, 1)),
                  static_cast<double>(m_cost.m_calls[i]) / seconds);
    }
    std::printf("\n");
  }

private:
  struct Event
  {
    Instant m_at;
    uint64_t m_sequence;
    std::function<void()> m_callback;
    bool operator<(const Event& aOther) const
    {
      return std::tie(m_at, m_sequence) > std::tie(aOther.m_at, aOther.m_sequence);
    }
  };

  void After(Duration aDelay, std::function<void()> aCallback)
  {
    m_events.push({ m_now + aDelay, ++m_sequence, std::move(aCallback) });
  }

  template<typename Callback>
  void Measure(Part aPart, Callback aCallback)
  {
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    aCallback();
    const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - start;
    m_cost.Add(aPart, spent.count());
  }

  int64_t WallMs() const { return ToMillis(m_now.time_since_epoch()); }

  void ReadDirectory()
  {
    for (size_t i = 0; i < m_names.size(); ++i) {
      WorkerReport report;
      report.m_id = m_names[i];
      report.m_service = "desk";
      report.m_address = "10.0.0.1:" + std::to_string(i);
      report.m_zone = "zone-" + std::to_string(i % 6);
      report.m_rack = "r" + std::to_string(i / 20);
      report.m_capacity = { 16000, 64000, 0 };
      report.m_incarnation = 1;
      Measure(Part::Directory, [&] { m_scheduler.UpdateWorker(report, m_now); });
    }
    After(kDirectoryInterval, [this] { ReadDirectory(); });
  }

  void Submit(Submission aSubmission)
  {
    Measure(Part::Submit,
            [&] { m_scheduler.Submit(++m_request, std::move(aSubmission), m_now, WallMs()); });
  }

  Submission MakeJob(const char* aRoute, uint32_t aPriority)
  {
    Submission job;
    job.m_id = Mix(++m_lastJob);
    job.m_terms.m_route = aRoute;
    job.m_terms.m_service = "desk";
    job.m_terms.m_priority = aPriority;
    job.m_terms.m_maxAttempts = 4;
    job.m_terms.m_stretch = 2;
    job.m_terms.m_targetMs = 1000;
    job.m_graph.m_payload = std::string(300, 'x');
    return job;
  }

  GraphStep MakeStep(uint32_t aCount, int64_t aCpuMilli, int64_t aMs)
  {
    GraphStep step;
    step.m_count =
      std::max<uint32_t>(1, aCount / 2 + static_cast<uint32_t>(m_random.Below(aCount)));
    step.m_demand = { aCpuMilli / 2 + static_cast<int64_t>(m_random.Below(aCpuMilli)),
                      aCpuMilli,
                      0 };
    step.m_estimateMs = aMs;
    return step;
  }

  /// Long-running tasks that reserve half of all processors.
  void SubmitServingJobs(size_t aWorkers)
  {
    for (size_t reserved = 0; reserved < aWorkers * 8000; reserved += 24 * 3200) {
      Submission job = MakeJob("meter", 0);
      GraphStep step = MakeStep(24, 3200, 1000);
      step.m_longRunning = true;
      step.m_targetMs = 18;
      step.m_image = "serving-" + std::to_string(m_random.Below(kServingImages));
      job.m_graph.m_steps.push_back(step);
      m_servingJobs.insert(job.m_id);
      Submit(std::move(job));
    }
  }

  /// One short job of 20 tasks for every two batch jobs of 80 tasks.
  void SubmitJobs()
  {
    m_owedTasks += m_startsPerSecond * static_cast<double>(ToMillis(kSubmitInterval)) / 1000.0;
    while (m_owedTasks > 0) {
      const bool batch = ++m_turn % 3 != 0;
      Submission job = MakeJob(batch ? "rebate" : "quote", batch ? 2 : 0);
      for (uint32_t s = 0; s < 2; ++s) {
        GraphStep step = MakeStep(batch ? 40 : 10, batch ? 1800 : 3200, batch ? 1700 : 1000);
        step.m_bestEffort = batch;
        step.m_checkpoints = batch;
        step.m_image = batch ? "batch-" + std::to_string(m_random.Below(kBestEffortImages)) : "";
        step.m_dependencies = s > 0 ? std::vector<uint32_t>{ s - 1 } : std::vector<uint32_t>{};
        m_owedTasks -= step.m_count;
        job.m_graph.m_steps.push_back(step);
      }
      AskState(job.m_id);
      Submit(std::move(job));
    }
    After(kSubmitInterval, [this] { SubmitJobs(); });
    Wake();
  }

  /// A client asks for the state of its job until the job has ended.
  void AskState(GraphId aId)
  {
    After(milliseconds(500), [this, aId] {
      std::optional<JobState> state;
      Measure(Part::State, [&] { state = m_scheduler.StateOf(aId); });
      if (!state || !IsEnded(*state)) {
        AskState(aId);
      }
    });
  }

  void Wake()
  {
    if (m_tickDue) {
      return;
    }
    m_tickDue = true;
    After(kBatchingDelay, [this] {
      m_tickDue = false;
      Tick();
    });
  }

  void Tick()
  {
    Measure(Part::Tick, [&] { m_scheduler.Tick(m_now, WallMs()); });
    for (const Action& action : m_scheduler.TakeActions()) {
      Execute(action);
    }
    Instant next;
    Measure(Part::NextTick, [&] { next = m_scheduler.NextTickAt(m_now); });
    After(std::max(next - m_now, kBatchingDelay), [this] { Wake(); });
  }

  void Execute(const Action& aAction)
  {
    if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      After(kCallLatency, [this, call = *start] { StartOn(call); });
    } else if (const StopTask* stop = std::get_if<StopTask>(&aAction)) {
      After(kCallLatency, [this, call = *stop] { StopOn(call); });
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      After(kCallLatency, [this, call = *poll] { Poll(call); });
    } else if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      After(kAppendLatency, [this, batch = append->m_batch] {
        Measure(Part::Append, [&] { m_scheduler.OnAppended(batch, m_now); });
        Wake();
      });
    }
  }

  void StartOn(const StartTask& aStart)
  {
    BenchAttempt attempt;
    attempt.m_task = aStart.m_task;
    attempt.m_attempt = aStart.m_attempt;
    attempt.m_startedAt = m_now;
    attempt.m_serving = m_servingJobs.count(aStart.m_task.m_job) > 0;
    const Duration length = attempt.m_serving ? Duration(std::chrono::hours(1))
                                              : milliseconds(500 + m_random.Below(2000));
    attempt.m_endsAt = m_now + length;
    m_workers[aStart.m_worker].m_attempts.push_back(attempt);
    if (!attempt.m_serving) {
      After(length, [this, name = aStart.m_worker] { EndDue(name); });
    }
    After(kCallLatency, [this, call = aStart] {
      Measure(Part::StartResult, [&] {
        m_scheduler.OnStartResult(
          call.m_worker, call.m_task, call.m_attempt, WorkerCallResult::Accepted, m_now);
      });
      Wake();
    });
  }

  void StopOn(const StopTask& aStop)
  {
    for (BenchAttempt& attempt : m_workers[aStop.m_worker].m_attempts) {
      attempt.m_endsAt = attempt.m_task == aStop.m_task ? m_now : attempt.m_endsAt;
    }
    EndDue(aStop.m_worker);
    After(kCallLatency, [this, call = aStop] {
      m_scheduler.OnStopResult(
        call.m_worker, call.m_task, call.m_attempt, WorkerCallResult::Accepted, m_now);
      Wake();
    });
  }

  void EndDue(const WorkerName& aName)
  {
    BenchWorker& worker = m_workers[aName];
    for (auto it = worker.m_attempts.begin(); it != worker.m_attempts.end();) {
      if (it->m_endsAt > m_now) {
        ++it;
        continue;
      }
      const AttemptEnd end = m_random.Below(20) == 0 ? AttemptEnd::Failed : AttemptEnd::Done;
      worker.m_ended.push_back({ ++worker.m_lastEnd, it->m_task, it->m_attempt, end, "" });
      it = worker.m_attempts.erase(it);
    }
    if (worker.m_heldPoll > 0 && !worker.m_ended.empty()) {
      Respond(aName, std::exchange(worker.m_heldPoll, 0));
    }
  }

  void Poll(const PollWorker& aPoll)
  {
    BenchWorker& worker = m_workers[aPoll.m_worker];
    while (!worker.m_ended.empty() && worker.m_ended.front().m_number <= aPoll.m_acknowledged) {
      worker.m_ended.erase(worker.m_ended.begin());
    }
    if (aPoll.m_wait == Duration::zero() || !worker.m_ended.empty()) {
      Respond(aPoll.m_worker, aPoll.m_number);
      return;
    }
    worker.m_heldPoll = aPoll.m_number;
    After(aPoll.m_wait, [this, name = aPoll.m_worker, number = aPoll.m_number] {
      if (m_workers[name].m_heldPoll == number) {
        m_workers[name].m_heldPoll = 0;
        Respond(name, number);
      }
    });
  }

  void Respond(const WorkerName& aName, uint64_t aNumber)
  {
    BenchWorker& worker = m_workers[aName];
    WorkerStatus status;
    status.m_clockMs = WallMs();
    status.m_incarnation = 1;
    status.m_ended = worker.m_ended;
    for (const BenchAttempt& attempt : worker.m_attempts) {
      RunningAttempt running;
      running.m_task = attempt.m_task;
      running.m_attempt = attempt.m_attempt;
      running.m_percent = static_cast<int>(std::min<int64_t>(
        99, (m_now - attempt.m_startedAt) * 100 / (attempt.m_endsAt - attempt.m_startedAt)));
      running.m_usage = attempt.m_serving ? 7 + static_cast<int64_t>(m_random.Below(3)) : 1500;
      running.m_checkpoint = attempt.m_serving ? "" : "0123456789abcdef";
      status.m_running.push_back(std::move(running));
    }
    After(kCallLatency, [this, aName, aNumber, status = std::move(status)] {
      Measure(Part::PollResponse,
              [&] { m_scheduler.OnPollResponse(aName, aNumber, status, m_now); });
      Wake();
    });
  }

  double m_startsPerSecond;
  Random m_random;
  Instant m_now{ std::chrono::hours(1) };
  Scheduler m_scheduler;
  std::vector<WorkerName> m_names;
  std::unordered_map<WorkerName, BenchWorker> m_workers;
  std::priority_queue<Event> m_events;
  uint64_t m_sequence = 0;
  uint64_t m_request = 0;
  uint64_t m_lastJob = 0;
  uint64_t m_turn = 0;
  double m_owedTasks = 0;
  bool m_tickDue = false;
  std::unordered_set<GraphId> m_servingJobs;
  Cost m_cost;
  uint64_t m_startsBefore = 0;
};

int
main(int aCount, char** aArguments)
{
  const std::vector<std::pair<size_t, double>> kSizes{
    { 50, 100 }, { 500, 1200 }, { 1100, 1200 }, { 1100, 2700 }, { 2100, 2700 }
  };
  std::vector<std::pair<size_t, double>> sizes = kSizes;
  if (aCount == 3) {
    sizes = { { std::strtoul(aArguments[1], nullptr, 10), std::strtod(aArguments[2], nullptr) } };
  }
  const Duration time = std::chrono::seconds(6);
  for (const std::pair<size_t, double>& size : sizes) {
    BenchSite site(size.first, size.second);
    site.Run(kWarmUp);
    site.ResetCost();
    site.Run(time);
    site.Report(size.first, time);
  }
  return 0;
}
