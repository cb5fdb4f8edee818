#include "World.h"

#include "SoakJobs.h"

#include "egretturn/JobGraph/Graph.h"

#include <iostream>

namespace egretturn::hostile {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr int kAttempts = 3;
static constexpr Duration kAnswerTimeout = seconds(8);
static constexpr Duration kStartTimeout = seconds(30);
static constexpr Duration kRetryPause = milliseconds(200);
static constexpr Duration kSettlePause = milliseconds(500);
static constexpr int kSettlePauses = 16;
static constexpr size_t kMaxResponseBytes = 1024 * 1024;

World::World(const std::string& aProgram, const std::string& aFolder)
  : m_program(aProgram)
  , m_folder(aFolder)
  , m_store(
      m_storeIo,
      [](size_t, const KeyedRecord& aRecord) { return aRecord.m_value; },
      [](const std::string&, const KeyedRecord&) {})
  , m_ports{ m_block.Take(m_storeIo),
             m_block.Take(m_storeIo),
             m_block.Take(m_storeIo),
             m_block.Take(m_storeIo) }
{
  m_store.Listen("127.0.0.1:" + std::to_string(m_ports.m_store));
  m_store.Put("keyed.op", "config", soak::EncodeConfiguration());
  StartProcess();
  StartStore();
}

World::~World()
{
  StopStore();
}

void
World::StartProcess()
{
  m_process = std::make_unique<Process>(m_program, m_folder, m_ports, kLimits);
}

void
World::StartStore()
{
  m_storeIo.restart();
  m_thread = std::thread([this] { m_storeIo.run(); });
}

void
World::StopStore()
{
  m_storeIo.stop();
  m_thread.join();
}

void
World::Restart()
{
  StopStore(); // a process is forked before there is a second thread
  m_process.reset();
  StartProcess();
  StartStore();
}

bool
World::Start()
{
  const Instant end = BootClockNow() + kStartTimeout;
  while (BootClockNow() < end && m_process->IsRunning()) {
    if (Submit()) {
      return true;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  return false;
}

bool
World::Submit()
{
  HttpRequest request = MakeRequest(http::verb::post,
                                    soak::kPathPrefix + FormatGraphId(++m_lastJob),
                                    soak::EncodeJob(soak::MakeRandomJob(m_random).m_graph));
  request.set(http::field::host, soak::kHost);
  boost::asio::io_context io;
  HttpClient client(io, kMaxResponseBytes);
  bool accepted = false;
  client.Send("127.0.0.1:" + std::to_string(m_ports.m_ingress),
              std::move(request),
              kAnswerTimeout,
              [&](const ClientResponse& aResponse) {
                accepted = aResponse.m_result == ClientResult::Completed &&
                           aResponse.m_response.result_int() / 100 == 2;
              });
  io.run();
  return accepted;
}

void
World::Settle() const
{
  uint64_t memory = 0;
  for (int i = 0; i < kSettlePauses && m_process->PeakMemoryKb() != memory; ++i) {
    memory = m_process->PeakMemoryKb();
    std::this_thread::sleep_for(kSettlePause);
  }
}

std::vector<std::string>
World::Check()
{
  std::vector<std::string> broken;
  bool answered = false;
  for (int attempt = 0; attempt < kAttempts && !answered; ++attempt) {
    answered = Submit();
  }
  if (!answered) {
    broken.emplace_back("an ordinary request is not answered");
  }
  if (!m_process->IsRunning()) {
    broken.emplace_back("the process has ended");
    return broken;
  }
  const uint64_t memory = m_process->PeakMemoryKb();
  const size_t sockets = m_process->OpenSockets();
  std::cout << "peak memory " << memory << " KB of " << kMaxMemoryKb << ", sockets " << sockets
            << " of " << kMaxSockets << '\n';
  if (memory > kMaxMemoryKb) {
    broken.emplace_back("the process had more memory than its settings give it");
  }
  if (sockets > kMaxSockets) {
    broken.emplace_back("the process has more sockets than its settings give it");
  }
  return broken;
}

} // namespace egretturn::hostile
