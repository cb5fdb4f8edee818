// Measures what a leader with link shards costs per start, with real HTTP connections on the
// loopback interface: one thread is the leader, another one the shards with simulated workers.
#include "SiteModel.h"

#include "egretturn/Http/Http.h"
#include "egretturn/Journal/Codec.h"
#include "egretturn/Node/LeaderSession.h"
#include "egretturn/Node/LinkShard.h"
#include "egretturn/Node/PeerLinkPort.h"
#include "egretturn/Node/PeerProtocol.h"
#include "egretturn/Node/WorkerLinks.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <thread>

using namespace egretturn;
using namespace egretturn::bench;
using std::chrono::milliseconds;

static constexpr size_t kMaxBodyBytes = 1024 * 1024;
static constexpr size_t kShards = 12;
static constexpr size_t kZones = 6;
static constexpr uint16_t kFirstPort = 19300;
static constexpr Duration kAppendLatency = milliseconds(6);
static constexpr Duration kSubmitInterval = milliseconds(10);
static constexpr std::chrono::seconds kWarmUp(5);
static constexpr std::chrono::seconds kMeasuredTime(6);

namespace {

double
ThreadCpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

std::string
AddressOf(size_t aIndex)
{
  return "127.0.0.1:" + std::to_string(kFirstPort + aIndex);
}

/// The clock of an event loop.
class LoopClock : public Clock
{
public:
  explicit LoopClock(boost::asio::io_context& aIo)
    : m_io(aIo)
  {
  }

  Instant Now() override { return BootClockNow(); }

  void After(Duration aDelay, std::function<void()> aCallback) override
  {
    const std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(m_io, aDelay);
    timer->async_wait([timer, callback = std::move(aCallback)](boost::system::error_code aError) {
      if (!aError) {
        callback();
      }
    });
  }

private:
  boost::asio::io_context& m_io;
};

/// A store that accepts every append, with the workers in its directory.
class MemoryStore : public StorePort
{
public:
  MemoryStore(Clock& aClock, size_t aWorkers)
    : m_clock(aClock)
    , m_workers(aWorkers)
  {
  }

  void ReadNewest(Topic aTopic, std::function<void(Expected<TopicPage>)> aDone) override
  {
    TopicPage page;
    for (size_t i = 0; aTopic == Topic::Directory && i < m_workers; ++i) {
      page.m_records.push_back({ std::to_string(i), "entry" });
    }
    m_clock.After(kAppendLatency, [aDone, page] { aDone(page); });
  }

  void ReadTail(Topic, LogOffset, Duration, std::function<void(Expected<TopicPage>)> aDone) override
  {
    m_clock.After(kAppendLatency, [aDone] { aDone(TopicPage()); });
  }

  void AppendAt(Topic,
                LogOffset aAt,
                const std::vector<KeyedRecord>& aRecords,
                std::function<void(AppendResult)> aDone) override
  {
    const LogOffset end = aAt + aRecords.size();
    m_clock.After(kAppendLatency, [aDone, end] { aDone({ AppendResult::Kind::Appended, end }); });
  }

  void Append(Topic, const std::vector<KeyedRecord>&, std::function<void(AppendResult)>) override {}

private:
  Clock& m_clock;
  size_t m_workers;
};

template<typename Message>
std::unique_ptr<HttpServer>
Serve(boost::asio::io_context& aIo,
      const std::string& aAddress,
      std::function<std::string(const Message&)> aHandler)
{
  HttpLimits limits;
  limits.m_bodyBytes = kMaxBodyBytes;
  std::unique_ptr<HttpServer> server = std::make_unique<HttpServer>(
    aIo,
    limits,
    [handler = std::move(aHandler)](const HttpRequest& aRequest,
                                    const std::shared_ptr<HttpReply>& aReply) {
      Message message;
      if (UnpackCompact(aRequest.body(), message)) {
        aReply->Send(MakeResponse(200, "application/msgpack", handler(message)));
      }
    });
  if (!server->Listen(aAddress)) {
    std::fprintf(stderr, "cannot listen on %s\n", aAddress.c_str());
    std::exit(1);
  }
  return server;
}

/// The instances that call the simulated workers.
class ShardProcess
{
public:
  explicit ShardProcess(size_t aWorkers)
    : m_io(1)
    , m_clock(m_io)
    , m_workers(m_clock, aWorkers)
    , m_client(m_io, kMaxBodyBytes)
    , m_port(m_io, m_client)
  {
    for (size_t i = 0; i < kShards; ++i) {
      const std::shared_ptr<LinkShard> shard =
        std::make_shared<LinkShard>(m_port, m_workers, "shard-" + std::to_string(i));
      m_servers.push_back(
        Serve<LinkOrders>(m_io, AddressOf(i + 1), [shard](const LinkOrders& aOrders) {
          return PackCompact(shard->OnOrders(aOrders));
        }));
    }
    m_thread = std::thread([this] { m_io.run(); });
  }

  ~ShardProcess()
  {
    m_io.stop();
    m_thread.join();
  }

  const std::vector<WorkerReport>& Reports() const { return m_workers.Reports(); }

private:
  boost::asio::io_context m_io;
  LoopClock m_clock;
  ModelWorkers m_workers;
  HttpClient m_client;
  PeerLinkPort m_port;
  std::vector<std::unique_ptr<HttpServer>> m_servers;
  std::thread m_thread;
};

/// The leader, on the calling thread.
class LeaderProcess
{
public:
  LeaderProcess(const std::vector<WorkerReport>& aReports, double aStartsPerSecond)
    : m_io(1)
    , m_clock(m_io)
    , m_store(m_clock, aReports.size())
    , m_client(m_io, kMaxBodyBytes)
    , m_port(m_io, m_client)
    , m_jobs(1)
    , m_startsPerSecond(aStartsPerSecond)
  {
    WorkerLinksSettings settings;
    settings.m_epoch = 1;
    settings.m_self = { "leader", AddressOf(0), "zone-0", "region", 0.01 };
    m_links = std::make_shared<WorkerLinks>(
      m_port, m_unused, settings, [this] { return m_session->MayCall(); });
    StoredClaim claim;
    claim.m_epoch = 1;
    LeaderSession::Callbacks callbacks;
    callbacks.m_onRequestComplete = [](RequestToken, SubmitResult) {};
    callbacks.m_onStepDown = [](const std::string& aReason) {
      std::fprintf(stderr, "stepped down: %s\n", aReason.c_str());
    };
    m_session = std::make_shared<LeaderSession>(
      m_io,
      m_store,
      *m_links,
      [aReports](const KeyedRecord& aRecord) -> Expected<WorkerReport> {
        return aReports[std::strtoul(aRecord.m_key.c_str(), nullptr, 10)];
      },
      SchedulerLimits(),
      claim,
      callbacks);
    m_server = Serve<LinkResults>(m_io, AddressOf(0), [this](const LinkResults& aResults) {
      return PackCompact(m_links->OnResults(aResults));
    });
    std::vector<LinkInstance> instances;
    for (size_t i = 0; i < kShards; ++i) {
      instances.push_back({ "shard-" + std::to_string(i),
                            AddressOf(i + 1),
                            "zone-" + std::to_string(i % kZones),
                            "region",
                            0.5 });
    }
    m_links->Begin();
    m_links->SetInstances(instances);
    m_session->Start({});
    for (Submission& job : m_jobs.MakeServingJobs(aReports.size())) {
      m_session->Submit(++m_request, std::move(job));
    }
    SubmitJobs();
  }

  void Measure()
  {
    m_io.run_for(kWarmUp);
    const SchedulerCounters before = m_session->GetScheduler().Counters();
    const double cpuBefore = ThreadCpuSeconds();
    m_io.run_for(kMeasuredTime);
    const double cpu = ThreadCpuSeconds() - cpuBefore;
    const SchedulerCounters& after = m_session->GetScheduler().Counters();
    const double starts = static_cast<double>(after.m_starts - before.m_starts);
    const double seconds = static_cast<double>(kMeasuredTime.count());
    std::printf(
      "workers %zu starts/s %.0f polls/s %.0f: %.1f us a start, %.3f cores, waiting %llu\n",
      m_session->GetScheduler().Workers().All().size(),
      starts / seconds,
      static_cast<double>(after.m_polls - before.m_polls) / seconds,
      1e6 * cpu / std::max(starts, 1.0),
      cpu / seconds,
      static_cast<unsigned long long>(after.m_tasksWaiting));
  }

private:
  /// No worker is called by the leader itself.
  class NoWorkers : public WorkerPort
  {
  public:
    void Poll(const PollWorker&, uint64_t, PollCallback) override {}
    void Start(const StartTask&, uint64_t, WorkerCallCallback) override {}
    void Stop(const StopTask&, uint64_t, WorkerCallCallback) override {}
    void Throttle(const ThrottleTask&, uint64_t, WorkerCallCallback) override {}
  };

  void SubmitJobs()
  {
    const double seconds = static_cast<double>(ToMillis(kSubmitInterval)) / 1000.0;
    for (Submission& job : m_jobs.MakeJobs(m_startsPerSecond * seconds)) {
      m_session->Submit(++m_request, std::move(job));
    }
    m_clock.After(kSubmitInterval, [this] { SubmitJobs(); });
  }

  boost::asio::io_context m_io;
  LoopClock m_clock;
  MemoryStore m_store;
  HttpClient m_client;
  PeerLinkPort m_port;
  NoWorkers m_unused;
  JobSource m_jobs;
  double m_startsPerSecond;
  std::shared_ptr<WorkerLinks> m_links;
  std::shared_ptr<LeaderSession> m_session;
  std::unique_ptr<HttpServer> m_server;
  uint64_t m_request = 0;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  const size_t workers = aCount == 3 ? std::strtoul(aArguments[1], nullptr, 10) : 1100;
  const double startsPerSecond = aCount == 3 ? std::strtod(aArguments[2], nullptr) : 2000;
  ShardProcess shards(workers);
  LeaderProcess(shards.Reports(), startsPerSecond).Measure();
  std::fflush(stdout);
  std::_Exit(0); // callbacks of pending calls would access destroyed objects
}
