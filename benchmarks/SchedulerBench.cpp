// Measures what the scheduler of one epoch costs per start, by part, at several sizes of a site.
// Workers and the store are simulated under virtual time; their own cost is not counted.
#include "SiteModel.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <queue>

using namespace egretturn;
using namespace egretturn::bench;
using std::chrono::milliseconds;

static constexpr Duration kAppendLatency = milliseconds(6);
static constexpr Duration kBatchingDelay = milliseconds(2); // as in LeaderSession
static constexpr Duration kDirectoryInterval = milliseconds(1500);
static constexpr Duration kSubmitInterval = milliseconds(10);
static constexpr Duration kStateInterval = milliseconds(500);
static constexpr Duration kWarmUp = std::chrono::seconds(4);
static constexpr Duration kMeasuredTime = std::chrono::seconds(6);

namespace {

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

constexpr size_t kParts = 8;
constexpr std::array<const char*, kParts> kPartNames{ "submit",       "tick", "next_tick",
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

/// Virtual time: callbacks run in the order of their times.
class VirtualClock : public Clock
{
public:
  Instant Now() override { return m_now; }

  void After(Duration aDelay, std::function<void()> aCallback) override
  {
    m_events.push({ m_now + aDelay, ++m_sequence, std::move(aCallback) });
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

  Instant m_now{ std::chrono::hours(1) };
  std::priority_queue<Event> m_events;
  uint64_t m_sequence = 0;
};

/// A leader's scheduler under the load of a site.
class BenchSite
{
public:
  BenchSite(size_t aWorkers, double aStartsPerSecond)
    : m_startsPerSecond(aStartsPerSecond)
    , m_jobs(1)
    , m_workers(m_clock, aWorkers)
    , m_scheduler(SchedulerLimits{}, 1, m_clock.Now())
  {
    ReadDirectory();
    m_scheduler.OnDirectoryRead();
    for (Submission& job : m_jobs.MakeServingJobs(aWorkers)) {
      Submit(std::move(job));
    }
    SubmitJobs();
    Wake();
  }

  /// Runs the site and prints what the scheduler has cost after the warm-up.
  void Measure()
  {
    m_clock.Run(kWarmUp);
    m_cost = {};
    const uint64_t before = m_scheduler.Counters().m_starts;
    m_clock.Run(kMeasuredTime);
    Report(m_scheduler.Counters().m_starts - before);
  }

private:
  void Report(uint64_t aStarts)
  {
    const double seconds = static_cast<double>(ToMillis(kMeasuredTime)) / 1000.0;
    const double starts = static_cast<double>(std::max<uint64_t>(aStarts, 1));
    double total = 0;
    for (double micros : m_cost.m_micros) {
      total += micros;
    }
    std::printf("workers %zu starts/s %.0f jobs %zu waiting %llu: %.1f us a start, %.3f cores, "
                "longest turn %.1f ms\n ",
                m_workers.Reports().size(),
                starts / seconds,
                m_scheduler.JobCount(),
                static_cast<unsigned long long>(m_scheduler.Counters().m_tasksWaiting),
                total / starts,
                total / 1e6 / seconds,
                m_cost.m_longestMicros / 1000.0);
    for (size_t i = 0; i < kParts; ++i) {
      std::printf(" %s %.1f us (%.0f/s)",
                  kPartNames[i],
                  m_cost.m_micros[i] / starts,
                  static_cast<double>(m_cost.m_calls[i]) / seconds);
    }
    std::printf("\n");
  }

  template<typename Callback>
  void Timed(Part aPart, Callback aCallback)
  {
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    aCallback();
    const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - start;
    m_cost.Add(aPart, spent.count());
  }

  void ReadDirectory()
  {
    for (const WorkerReport& report : m_workers.Reports()) {
      Timed(Part::Directory, [&] { m_scheduler.UpdateWorker(report, m_clock.Now()); });
    }
    m_clock.After(kDirectoryInterval, [this] { ReadDirectory(); });
  }

  void Submit(Submission aSubmission)
  {
    const Instant now = m_clock.Now();
    Timed(Part::Submit,
          [&] { m_scheduler.Submit(++m_request, std::move(aSubmission), now, WallMsAt(now)); });
  }

  void SubmitJobs()
  {
    const double seconds = static_cast<double>(ToMillis(kSubmitInterval)) / 1000.0;
    for (Submission& job : m_jobs.MakeJobs(m_startsPerSecond * seconds)) {
      AskState(job.m_id);
      Submit(std::move(job));
    }
    m_clock.After(kSubmitInterval, [this] { SubmitJobs(); });
    Wake();
  }

  /// A client asks for the state of its job until the job has ended.
  void AskState(GraphId aId)
  {
    m_clock.After(kStateInterval, [this, aId] {
      std::optional<JobState> state;
      Timed(Part::State, [&] { state = m_scheduler.StateOf(aId); });
      if (!state || !IsEnded(*state)) {
        AskState(aId);
      }
    });
  }

  void Wake()
  {
    if (!m_tickDue) {
      m_tickDue = true;
      m_clock.After(kBatchingDelay, [this] { Tick(); });
    }
  }

  void Tick()
  {
    m_tickDue = false;
    const Instant now = m_clock.Now();
    Timed(Part::Tick, [&] { m_scheduler.Tick(now, WallMsAt(now)); });
    for (const Action& action : m_scheduler.TakeActions()) {
      Execute(action);
    }
    Instant next;
    Timed(Part::NextTick, [&] { next = m_scheduler.NextTickAt(now); });
    m_clock.After(std::max(next - now, kBatchingDelay), [this] { Wake(); });
  }

  void Execute(const Action& aAction)
  {
    if (const StartTask* start = std::get_if<StartTask>(&aAction)) {
      m_workers.Start(*start, 1, [this, call = *start](WorkerCallResult aResult) {
        Timed(Part::StartResult, [&] {
          m_scheduler.OnStartResult(
            call.m_worker, call.m_task, call.m_attempt, aResult, m_clock.Now());
        });
        Wake();
      });
    } else if (const StopTask* stop = std::get_if<StopTask>(&aAction)) {
      m_workers.Stop(*stop, 1, [this, call = *stop](WorkerCallResult aResult) {
        m_scheduler.OnStopResult(
          call.m_worker, call.m_task, call.m_attempt, aResult, m_clock.Now());
        Wake();
      });
    } else if (const PollWorker* poll = std::get_if<PollWorker>(&aAction)) {
      m_workers.Poll(*poll,
                     1,
                     [this, name = poll->m_worker, number = poll->m_number](
                       WorkerCallResult, const WorkerStatus& aStatus) {
                       Timed(Part::PollResponse, [&] {
                         m_scheduler.OnPollResponse(name, number, aStatus, m_clock.Now());
                       });
                       Wake();
                     });
    } else if (const AppendRecords* append = std::get_if<AppendRecords>(&aAction)) {
      m_clock.After(kAppendLatency, [this, batch = append->m_batch] {
        Timed(Part::Append, [&] { m_scheduler.OnAppended(batch, m_clock.Now()); });
        Wake();
      });
    }
  }

  double m_startsPerSecond;
  VirtualClock m_clock;
  JobSource m_jobs;
  ModelWorkers m_workers;
  Scheduler m_scheduler;
  uint64_t m_request = 0;
  bool m_tickDue = false;
  Cost m_cost;
};

/// A size of a site.
struct Size
{
  size_t m_workers;
  double m_startsPerSecond;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  std::vector<Size> sizes{
    { 50, 100 }, { 500, 1200 }, { 1100, 1200 }, { 1100, 2700 }, { 2100, 2700 }
  };
  if (aCount == 3) {
    sizes = { { std::strtoul(aArguments[1], nullptr, 10), std::strtod(aArguments[2], nullptr) } };
  }
  for (const Size& size : sizes) {
    BenchSite(size.m_workers, size.m_startsPerSecond).Measure();
  }
  return 0;
}
