#include "Site.h"

#include <boost/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace egretturn::review {

namespace json = boost::json;

static constexpr const char* kHost = "nony24.example";
static constexpr const char* kPrefix = "/lohu930/";
static constexpr Millis kTickInterval{ 10 };
static constexpr Millis kHeartbeat{ 1500 }; // heartbeat_ms
static constexpr Millis kRestartDelay{ 500 };
static constexpr Millis kReadyWait{ 15000 };
static constexpr Millis kTimeLimit{ 3000 };  // of a caller
static constexpr Millis kCancelTime{ 3000 }; // cancel_ms

Site::Site(SiteSettings aSettings)
  : m_settings(std::move(aSettings))
  , m_judge(m_settings.m_folder + "/record.txt", m_settings.m_attempts, kCancelTime)
  , m_store(m_io)
{
  static const char* const kZones[] = { "hobart-a", "kingston-b", "launceston-a" };
  for (size_t i = 0; i < m_settings.m_instances; ++i) {
    Instance instance;
    instance.m_zone = kZones[i % 3];
    instance.m_name = "front-" + instance.m_zone + "-" + std::to_string(1 + i / 3);
    instance.m_ingressPort = FreePort();
    instance.m_readyPort = FreePort();
    instance.m_peerPort = FreePort();
    instance.m_storePort = FreePort();
    instance.m_store = m_store.Listen(instance.m_storePort);
    WriteSettings(instance);
    m_instances.push_back(instance);
  }
  std::vector<uint16_t> ports;
  for (const Instance& instance : m_instances) {
    ports.push_back(instance.m_peerPort);
  }
  m_relays = std::make_unique<Relays>(m_io, ports);
  m_store.SetTranslator([this](std::string aText, std::optional<size_t> aReader) {
    return m_relays->Translate(std::move(aText), aReader);
  });
}

Site::~Site()
{
  for (Instance& instance : m_instances) {
    if (instance.m_pid > 0) {
      kill(instance.m_pid, SIGKILL);
      waitpid(instance.m_pid, nullptr, 0);
    }
  }
}

void
Site::WriteSettings(const Instance& aInstance) const
{
  std::ofstream file(m_settings.m_temporary + "/" + aInstance.m_name + ".toml");
  file << "node = \"" << aInstance.m_name << "\"\nrole = \"instance\"\nclass = \"front\"\n"
       << "serves = [\"front\"]\nip = \"127.0.0.1\"\nzone = \"" << aInstance.m_zone
       << "\"\nregion = \"" << (aInstance.m_zone == "launceston-a" ? "tas-north" : "tas-south")
       << "\"\nport_range = [" << aInstance.m_peerPort << "," << aInstance.m_peerPort
       << "]\nseeds = []\nbootstrap = true\nin_tolerance = false\ndiscovery = \"platform\"\n"
       << "entry = \"vip\"\nheartbeat_ms = 1500\n"
       << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\","
       << "\"platform\",\"advice\",\"upkeep\",\"sharing\"]\norders = \"call\"\n"
       << "[zones]\nhobart-a = \"tas-south\"\nlaunceston-a = \"tas-north\"\n"
       << "kingston-b = \"tas-south\"\n[listen]\nfront = \"127.0.0.1:" << aInstance.m_ingressPort
       << "\"\nready = \"127.0.0.1:" << aInstance.m_readyPort
       << "\"\n[limits]\ncpu_share = " << m_settings.m_processorShare
       << "\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
       << "[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n"
       << "stable_window_ms = 4000\nack_ms = 5000\ndrain_ms = 2500\ngrace_s = 6\n"
       << "config_ms = 2500\nrecover_s = 12\nhold_max_ms = 6000\nstop_ms = 400\n"
       << "gang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n"
       << "finish_s = 14\nstatus_s = 120\nfar_x = 1.5\nsave_s = 2\nrestore_ms = 250\n"
       << "lease_ms = 3000\npace_ms = 100\n[platform]\naddr = \"127.0.0.1:" << aInstance.m_storePort
       << "\"\nform = \"log\"\nwrites_per_s = 600\nreads_per_s = 2000\nparts = 16\n"
       << "append_ms = 3.0\nrecord_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 300\n"
       << "part_mb = 200\nttl_min_ms = 1000\n";
}

Worker&
Site::AddWorker(WorkerSettings aSettings)
{
  m_workers.push_back(std::make_unique<Worker>(
    m_io, m_store, m_judge, m_gangs, std::move(aSettings), [this](const RunName& aRun) {
      if (m_planner) {
        return m_planner(aRun);
      }
      const Step* step = m_judge.FindStep(aRun.m_task);
      return Plan{ End::Done, step ? step->m_work : Millis(500) };
    }));
  return *m_workers.back();
}

void
Site::Publish(const std::string& aService)
{
  m_version += 3;
  m_judge.AllowService(aService);
  m_judge.Note("the operator sends the queue to " + aService);
  json::array services;
  std::set<std::string> names{ aService };
  for (const std::unique_ptr<Worker>& worker : m_workers) {
    names.insert(worker->Settings().m_service);
  }
  for (const std::string& name : names) {
    services.push_back(json::object{ { "name", name },
                                     { "health_path", "/health" },
                                     { "max_conns", 64 },
                                     { "protocol", "h1" },
                                     { "tls", false },
                                     { "rejects_overload", false },
                                     { "spare", false } });
  }
  const json::object route{
    { "name", "r-" + aService }, { "host", kHost },       { "path_prefix", kPrefix },
    { "kind", "unsafe" },        { "timeout_ms", 3000 },  { "target_latency_ms", 1000 },
    { "priority", 2 },           { "service", aService }, { "attempts", m_settings.m_attempts },
    { "stretch", 2.0 }
  };
  const json::object limits{ { "max_header_bytes", 16384 },
                             { "max_body_bytes", 262144 },
                             { "header_timeout_ms", 3000 },
                             { "idle_timeout_ms", 15000 } };
  m_store.Put("keyed.op",
              "config",
              json::serialize(json::object{ { "version", m_version },
                                            { "routes", json::array{ route } },
                                            { "services", std::move(services) },
                                            { "limits", limits } }));
}

void
Site::StartInstance(size_t aInstance)
{
  Instance& instance = m_instances[aInstance];
  const std::string settings = m_settings.m_temporary + "/" + instance.m_name + ".toml";
  const std::string log = m_settings.m_temporary + "/" + instance.m_name + ".log";
  instance.m_endExpected = false;
  instance.m_pid = fork();
  if (instance.m_pid != 0) {
    m_judge.Note("instance " + instance.m_name + " starts");
    return;
  }
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  setenv("EGRETTURN_CONFIG", settings.c_str(), 1);
  prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the case, however that ends
  closefrom(STDERR_FILENO + 1);     // the sockets of the stand-ins
  execl(m_settings.m_program.c_str(), m_settings.m_program.c_str(), static_cast<char*>(nullptr));
  _exit(127);
}

void
Site::Signal(size_t aInstance, int aSignal)
{
  Instance& instance = m_instances[aInstance];
  if (instance.m_pid <= 0) {
    return;
  }
  m_judge.Note("signal " + std::to_string(aSignal) + " to " + instance.m_name);
  instance.m_endExpected = instance.m_endExpected || aSignal == SIGKILL || aSignal == SIGTERM;
  kill(instance.m_pid, aSignal);
}

void
Site::Reap()
{
  for (size_t i = 0; i < m_instances.size(); ++i) {
    Instance& instance = m_instances[i];
    int status = 0;
    if (instance.m_pid <= 0 || waitpid(instance.m_pid, &status, WNOHANG) != instance.m_pid) {
      continue;
    }
    instance.m_pid = 0;
    if (!instance.m_endExpected) {
      m_judge.Break("Fault", instance.m_name + " ended by itself, " + std::to_string(status));
    }
    if (m_restarts) {
      asio::co_spawn(
        m_io,
        [this, i]() -> Task<void> {
          co_await Sleep(kRestartDelay);
          StartInstance(i);
        },
        asio::detached);
    }
  }
}

Task<void>
Site::Tick()
{
  Clock::time_point reportAt = Clock::now();
  while (true) {
    for (const std::unique_ptr<Worker>& worker : m_workers) {
      worker->Advance();
    }
    if (Clock::now() >= reportAt) {
      reportAt += kHeartbeat;
      for (const std::unique_ptr<Worker>& worker : m_workers) {
        worker->Report();
      }
    }
    Reap();
    co_await Sleep(kTickInterval);
  }
}

void
Site::SetCut(size_t aInstance, bool aCut)
{
  const Instance& instance = m_instances[aInstance];
  m_judge.Note(instance.m_name + (aCut ? " is cut off" : " is connected again"));
  m_relays->SetCut(aInstance, aCut);
  m_store.SetMode(instance.m_store, aCut ? StoreMode::Silent : StoreMode::Available);
}

Task<bool>
Site::Begin()
{
  asio::co_spawn(m_io, Tick(), asio::detached);
  for (const std::unique_ptr<Worker>& worker : m_workers) {
    worker->Boot();
  }
  for (size_t i = 0; i < m_instances.size(); ++i) {
    StartInstance(i);
  }
  const Clock::time_point until = Clock::now() + kReadyWait;
  size_t ready = 0;
  while (ready < m_instances.size() && Clock::now() < until) {
    co_await Sleep(Millis(200));
    ready = 0;
    for (const Instance& instance : m_instances) {
      const Answer answer =
        co_await Call(instance.m_readyPort, Request(http::verb::get, "/-/ready", 11), Millis(500));
      ready += answer.m_status == 200 ? 1 : 0;
    }
  }
  co_await Sleep(Millis(2000));
  co_return ready == m_instances.size();
}

Task<std::optional<size_t>>
Site::FindLeader()
{
  for (size_t i = 0; i < m_instances.size(); ++i) {
    const Answer answer = co_await Call(
      m_instances[i].m_readyPort, Request(http::verb::get, "/metrics", 11), Millis(500));
    if (answer.m_body.find("egretturn_deciding 1") != std::string::npos) {
      co_return i;
    }
  }
  co_return std::nullopt;
}

Task<Answer>
Site::Send(http::verb aVerb, std::string aId, std::string aBody, size_t aInstance, Millis aTimeout)
{
  Request request(aVerb, kPrefix + aId, 11);
  request.set(http::field::host, kHost);
  request.set("Deadline-Ms", std::to_string(kTimeLimit.count()));
  if (!aBody.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(aBody);
  }
  const std::string what =
    std::string(http::to_string(aVerb)) + " " + aId + " at " + m_instances[aInstance].m_name;
  m_judge.Note("sent " + what);
  const Answer answer =
    co_await Call(m_instances[aInstance].m_ingressPort, std::move(request), aTimeout);
  m_judge.Note("answered " + what + ": " + std::to_string(answer.m_status) + " " +
               answer.m_body.substr(0, 80));
  co_return answer;
}

Task<Answer>
Site::Submit(JobSpec aJob, size_t aInstance, Millis aTimeout)
{
  m_judge.OnSent(aJob);
  const Answer answer =
    co_await Send(http::verb::post, aJob.m_id, aJob.Body(), aInstance, aTimeout);
  if (answer.m_status == 200) {
    m_judge.OnAccepted(aJob.m_id);
  }
  co_return answer;
}

Task<bool>
Site::SubmitUntilAccepted(JobSpec aJob)
{
  m_judge.OnSent(aJob);
  for (int tries = 0; tries < 6; ++tries) {
    const Answer answer = co_await Send(
      http::verb::post, aJob.m_id, aJob.Body(), Below(m_instances.size()), kTimeLimit);
    if (answer.m_status == 200) {
      m_judge.OnAccepted(aJob.m_id);
      co_return true;
    }
    co_await Sleep(Millis(300));
  }
  co_return false;
}

Task<Answer>
Site::Ask(std::string aId, size_t aInstance, Millis aTimeout)
{
  co_return co_await Send(http::verb::get, aId, "", aInstance, aTimeout);
}

Task<Answer>
Site::Cancel(std::string aId, size_t aInstance, Millis aTimeout)
{
  const Answer answer = co_await Send(http::verb::delete_, aId, "", aInstance, aTimeout);
  if (answer.m_status == 200 || answer.m_status == 410) {
    m_judge.OnCancelled(aId);
  }
  co_return answer;
}

Task<std::string>
Site::StateOf(std::string aId)
{
  for (size_t i = 0; i < m_instances.size(); ++i) {
    const Answer answer = co_await Ask(aId, i, kTimeLimit);
    if (answer.m_status == 410) {
      co_return "unknown";
    }
    if (answer.m_status == 200) {
      co_return std::string(json::parse(answer.m_body).at("state").as_string());
    }
  }
  co_return "";
}

Task<std::optional<int64_t>>
Site::CountPending(size_t aInstance)
{
  const Answer answer = co_await Ask("", aInstance, kTimeLimit);
  if (answer.m_status != 200) {
    co_return std::nullopt;
  }
  co_return json::parse(answer.m_body).at("pending").to_number<int64_t>();
}

std::string
Site::NewId()
{
  std::string id;
  for (int i = 0; i < 16; ++i) {
    id.push_back("0123456789abcdef"[Below(16)]);
  }
  return id;
}

size_t
Site::Below(size_t aBound)
{
  return std::uniform_int_distribution<size_t>(0, aBound - 1)(m_random);
}

int
Site::Run(const std::function<Task<void>(Site&)>& aCase)
{
  asio::co_spawn(
    m_io,
    [this, aCase]() -> Task<void> {
      if (co_await Begin()) {
        co_await aCase(*this);
      } else {
        m_judge.Note("the instances did not become ready");
      }
    },
    [this](const std::exception_ptr& aProblem) {
      m_mayJudge = m_mayJudge && !aProblem;
      m_io.stop();
    });
  m_io.run();
  m_restarts = false;
  const bool broken = !m_judge.Breaks().empty();
  m_judge.Note(broken ? "broken" : m_mayJudge ? "held" : "could not run");
  return broken ? 1 : m_mayJudge ? 0 : 2;
}

} // namespace egretturn::review
