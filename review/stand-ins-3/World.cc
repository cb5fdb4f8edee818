#include "World.hh"

#include "egretturn/Journal/Codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <ctime>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;
using namespace egretturn;

static constexpr size_t kZones = 3;
static constexpr size_t kWorkersPerRack = 8;
static constexpr Duration kEntryInterval = milliseconds(1500);
static constexpr Duration kCallTimeout = milliseconds(3000);
static constexpr Duration kStartTimeout = seconds(20);
static constexpr const char* kDirectory = "keyed.servers";

static int64_t
MonotonicMs()
{
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int64_t
WallMs()
{
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static std::string
MakeConfiguration()
{
  json::object route;
  route["name"] = "route";
  route["host"] = kHost;
  route["path_prefix"] = kPrefix;
  route["service"] = kService;
  route["timeout_ms"] = 3000;
  route["priority"] = 1;
  route["attempts"] = 4;
  route["stretch"] = 2.0;
  route["target_latency_ms"] = 500;
  json::object service;
  service["name"] = kService;
  json::object configuration;
  configuration["version"] = 1;
  configuration["routes"] = json::array{ std::move(route) };
  configuration["services"] = json::array{ std::move(service) };
  return json::serialize(configuration);
}

World::World(WorldSettings aSettings)
  : m_settings(std::move(aSettings))
  , m_timer(m_io)
  , m_store(
      m_io,
      [](size_t, const KeyedRecord& aRecord) { return aRecord.m_value; },
      [this](const std::string& aTopic, const KeyedRecord& aRecord) {
        StoredClaim claim;
        if (aTopic == "keyed.jobs" && aRecord.m_key == kClaimKey &&
            UnpackCompact(aRecord.m_value, claim)) {
          if (claim.m_epoch != m_claim.m_epoch) {
            Record("claim of " + claim.m_instance + ", epoch " + std::to_string(claim.m_epoch));
          }
          m_claim = claim;
          m_leader = IndexOf(claim.m_instance);
        }
      })
  , m_client(m_io, 1024 * 1024)
  , m_recordFile(std::fopen(m_settings.m_record.c_str(), "w"))
  , m_startedAtMs(MonotonicMs())
{
  m_lastId = static_cast<uint64_t>(WallMs()) << 16;
  for (size_t i = 0; i < m_settings.m_instances; ++i) {
    InstanceProcess instance;
    instance.m_zone = "z" + std::to_string(i % kZones);
    instance.m_name = "front-" + instance.m_zone + "-" + std::to_string(i / kZones + 1);
    instance.m_front = m_ports.Take(m_io);
    instance.m_ready = m_ports.Take(m_io);
    instance.m_peer = m_ports.Take(m_io);
    instance.m_store = m_ports.Take(m_io);
    m_store.Listen("127.0.0.1:" + std::to_string(instance.m_store));
    WriteSettings(instance);
    m_instances.push_back(instance);
  }
  m_store.Put("keyed.op", "config", MakeConfiguration());
}

World::~World()
{
  for (const InstanceProcess& instance : m_instances) {
    if (instance.m_pid > 0) {
      kill(instance.m_pid, SIGKILL);
      waitpid(instance.m_pid, nullptr, 0);
    }
  }
  for (const WorkerProcess& worker : m_workers) {
    if (worker.m_pid > 0) {
      kill(worker.m_pid, SIGKILL);
      waitpid(worker.m_pid, nullptr, 0);
    }
  }
  std::fclose(m_recordFile);
}

int64_t
World::NowMs() const
{
  return MonotonicMs() - m_startedAtMs;
}

void
World::Record(const std::string& aLine)
{
  std::fprintf(m_recordFile, "%8.3f %s\n", static_cast<double>(NowMs()) / 1000, aLine.c_str());
  std::fflush(m_recordFile);
}

void
World::WriteSettings(const InstanceProcess& aInstance) const
{
  std::ofstream file(m_settings.m_folder + "/" + aInstance.m_name + ".toml");
  file << "node = \"" << aInstance.m_name << "\"\nrole = \"instance\"\nclass = \"front\"\nzone = \""
       << aInstance.m_zone << "\"\nip = \"127.0.0.1\"\nport_range = [" << aInstance.m_peer << ", "
       << aInstance.m_peer
       << "]\n[zones]\nz0 = \"south\"\nz1 = \"south\"\nz2 = \"north\"\n[listen]\nfront = "
          "\"127.0.0.1:"
       << aInstance.m_front << "\"\nready = \"127.0.0.1:" << aInstance.m_ready
       << "\"\n[limits]\ncpu_share = " << m_settings.m_processorShare
       << "\ncores = 1\nmemory_mb = 260\nmax_fds = " << m_settings.m_maxDescriptors
       << "\n[bounds]\nstable_window_ms = 4000\ngrace_s = 6\nstatus_s = 120\nstop_ms = 400\n"
          "hold_max_ms = 6000\ngang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nfar_x = 1.5\n"
          "[platform]\naddr = \"127.0.0.1:"
       << aInstance.m_store << "\"\nform = \"log\"\ncall_bytes = 2097152\nrecord_bytes = 262144\n";
}

size_t
World::IndexOf(const std::string& aName) const
{
  for (size_t i = 0; i < m_instances.size(); ++i) {
    if (m_instances[i].m_name == aName) {
      return i;
    }
  }
  return 0;
}

/// Starts a program with its output in \p aLog. Returns its process id.
static pid_t
Spawn(const std::vector<std::string>& aArguments,
      const std::string& aSettings,
      const std::string& aLog,
      int aMaxDescriptors)
{
  const pid_t pid = fork();
  if (pid != 0) {
    return pid;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL); // none outlives the case
  const int output = open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  if (!aSettings.empty()) {
    setenv("EGRETTURN_CONFIG", aSettings.c_str(), 1);
  }
  closefrom(STDERR_FILENO + 1);
  if (aMaxDescriptors > 0) {
    const rlimit limit{ static_cast<rlim_t>(aMaxDescriptors),
                        static_cast<rlim_t>(aMaxDescriptors) };
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  std::vector<char*> arguments;
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(127);
}

void
World::StartInstance(size_t aInstance)
{
  InstanceProcess& instance = m_instances[aInstance];
  const std::string base = m_settings.m_folder + "/" + instance.m_name;
  instance.m_endExpected = false;
  instance.m_pid =
    Spawn({ m_settings.m_program }, base + ".toml", base + ".log", m_settings.m_maxDescriptors);
  Record("instance " + instance.m_name + " starts");
}

void
World::SignalInstance(size_t aInstance, int aSignal)
{
  InstanceProcess& instance = m_instances[aInstance];
  if (instance.m_pid <= 0) {
    return;
  }
  Record("instance " + instance.m_name + " gets signal " + std::to_string(aSignal));
  instance.m_endExpected = aSignal == SIGKILL || aSignal == SIGTERM || instance.m_endExpected;
  kill(instance.m_pid, aSignal);
}

size_t
World::AddWorker()
{
  const size_t index = m_workers.size();
  WorkerProcess worker;
  worker.m_id = "w-" + std::to_string(index);
  worker.m_zone = "z" + std::to_string(index % kZones);
  worker.m_rack = "r" + std::to_string(index / kWorkersPerRack);
  worker.m_port = m_ports.Take(m_io);
  m_workers.push_back(worker);
  StartWorker(index);
  return index;
}

void
World::StartWorker(size_t aWorker)
{
  WorkerProcess& worker = m_workers[aWorker];
  worker.m_bornMs = WallMs();
  worker.m_startedMs = NowMs();
  worker.m_pid = Spawn({ m_settings.m_self,
                         "worker",
                         worker.m_id,
                         std::to_string(worker.m_port),
                         m_settings.m_folder + "/" + worker.m_id + ".runs",
                         std::to_string(worker.m_bornMs) },
                       "",
                       m_settings.m_folder + "/workers.log",
                       0);
}

void
World::WriteEntry(size_t aWorker)
{
  const WorkerProcess& worker = m_workers[aWorker];
  json::object capacity;
  capacity["cpu"] = 16000;
  capacity["mem_mb"] = 64000;
  json::object entry;
  entry["service"] = kService;
  entry["addr"] = "127.0.0.1:" + std::to_string(worker.m_port);
  entry["zone"] = worker.m_zone;
  entry["version"] = "1";
  entry["slots"] = 8;
  entry["state"] = worker.m_draining ? "draining" : "ready";
  entry["seq"] = NowMs();
  entry["born"] = worker.m_bornMs;
  entry["capacity"] = std::move(capacity);
  entry["labels"] = json::array{ "a", json::string(worker.m_rack) };
  if (worker.m_draining) {
    entry["remaining_ms"] = 2000;
  }
  m_store.Put(kDirectory, worker.m_id, json::serialize(entry));
}

void
World::WriteEntries()
{
  for (size_t i = 0; i < m_workers.size(); ++i) {
    if (m_workers[i].m_listed) {
      WriteEntry(i);
    }
  }
  m_timer.expires_after(kEntryInterval);
  m_timer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      WriteEntries();
    }
  });
}

void
World::SetListed(size_t aWorker, bool aListed)
{
  m_workers[aWorker].m_listed = aListed;
  if (aListed) {
    WriteEntry(aWorker);
  } else {
    m_store.Put(kDirectory, m_workers[aWorker].m_id, "");
  }
}

void
World::Drain(size_t aWorker)
{
  m_workers[aWorker].m_draining = true;
  WriteEntry(aWorker);
}

void
World::KillWorker(size_t aWorker)
{
  WorkerProcess& worker = m_workers[aWorker];
  if (worker.m_pid > 0) {
    kill(worker.m_pid, SIGKILL);
    waitpid(worker.m_pid, nullptr, 0);
    worker.m_pid = 0;
  }
}

void
World::RestartWorker(size_t aWorker)
{
  StartWorker(aWorker);
  RunFor(milliseconds(50));
  WriteEntry(aWorker);
}

void
World::LeaveNextStartUnanswered(int64_t aDelayMs)
{
  const std::string path = m_settings.m_folder + "/leave-unanswered";
  std::ofstream(path + ".new") << aDelayMs << "\n";
  std::rename((path + ".new").c_str(), path.c_str());
}

void
World::CutWorker(size_t aWorker, bool aCut)
{
  const std::string path = m_settings.m_folder + "/" + m_workers[aWorker].m_id + ".runs.cut";
  if (aCut) {
    std::ofstream file(path);
  } else {
    std::remove(path.c_str());
  }
}

size_t
World::WorkerOf(const std::string& aId) const
{
  for (size_t i = 0; i < m_workers.size(); ++i) {
    if (m_workers[i].m_id == aId) {
      return i;
    }
  }
  return m_workers.size();
}

bool
World::Start()
{
  for (size_t i = 0; i < m_settings.m_workers; ++i) {
    AddWorker();
  }
  RunFor(milliseconds(500));
  for (size_t i = 0; i < m_workers.size(); ++i) {
    m_workers[i].m_listed = true;
  }
  WriteEntries();
  for (size_t i = 0; i < m_instances.size(); ++i) {
    StartInstance(i);
  }
  const int64_t until = NowMs() + ToMillis(kStartTimeout);
  while (NowMs() < until) {
    RunFor(milliseconds(300));
    size_t ready = 0;
    for (const InstanceProcess& instance : m_instances) {
      m_client.Send("127.0.0.1:" + std::to_string(instance.m_ready),
                    MakeRequest(boost::beast::http::verb::get, "/-/ready", ""),
                    milliseconds(200),
                    [&ready](const ClientResponse& aResponse) {
                      const bool answered = aResponse.m_result == ClientResult::Completed;
                      ready += answered && aResponse.m_response.result_int() == 200 ? 1 : 0;
                    });
    }
    RunFor(milliseconds(300));
    if (ready == m_instances.size()) {
      RunFor(seconds(1));
      return true;
    }
  }
  return false;
}

void
World::RunFor(Duration aTime)
{
  if (m_io.stopped()) {
    m_io.restart();
  }
  m_io.run_for(aTime);
}

std::shared_ptr<ClientCall>
World::Call(size_t aInstance,
            boost::beast::http::verb aMethod,
            const std::string& aPath,
            const std::string& aBody,
            std::function<void(Answer)> aDone)
{
  HttpRequest request = MakeRequest(aMethod, kPrefix + aPath, aBody);
  request.set(boost::beast::http::field::host, kHost);
  request.set(boost::beast::http::field::content_type, "application/json");
  request.set("Deadline-Ms", std::to_string(ToMillis(kCallTimeout)));
  return m_client.Send("127.0.0.1:" + std::to_string(m_instances[aInstance].m_front),
                       std::move(request),
                       kCallTimeout,
                       [aDone = std::move(aDone)](const ClientResponse& aResponse) {
                         Answer answer;
                         if (aResponse.m_result == ClientResult::Completed) {
                           answer.m_status = aResponse.m_response.result_int();
                           answer.m_body = aResponse.m_response.body();
                         }
                         aDone(answer);
                       });
}

Answer
World::Ask(size_t aInstance,
           boost::beast::http::verb aMethod,
           const std::string& aPath,
           const std::string& aBody)
{
  Answer answer;
  bool done = false;
  Call(aInstance, aMethod, aPath, aBody, [&](Answer aAnswer) {
    answer = std::move(aAnswer);
    done = true;
  });
  const int64_t until = NowMs() + ToMillis(kCallTimeout) + 500;
  while (!done && NowMs() < until) {
    RunFor(milliseconds(5));
  }
  return answer;
}

std::string
World::StateOf(const std::string& aJob)
{
  for (size_t i = 0; i < m_instances.size(); ++i) {
    if (m_instances[i].m_pid <= 0) {
      continue;
    }
    const Answer answer = Ask(i, boost::beast::http::verb::get, aJob, "");
    if (answer.m_status == 410) {
      return "410";
    }
    boost::system::error_code error;
    const json::value body = json::parse(answer.m_body, error);
    if (answer.m_status == 200 && !error && body.is_object()) {
      const json::value* state = body.as_object().if_contains("state");
      return state && state->is_string() ? std::string(state->as_string()) : "unreadable";
    }
  }
  return "";
}

std::string
World::NewId()
{
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++m_lastId));
  return text;
}

size_t
World::CountDescriptors(pid_t aPid)
{
  size_t count = 0;
  DIR* folder = opendir(("/proc/" + std::to_string(aPid) + "/fd").c_str());
  while (folder && readdir(folder)) {
    ++count;
  }
  if (folder) {
    closedir(folder);
  }
  return count < 2 ? 0 : count - 2;
}

std::vector<RunEvent>
World::ReadRuns() const
{
  std::vector<RunEvent> events;
  for (const WorkerProcess& worker : m_workers) {
    std::ifstream file(m_settings.m_folder + "/" + worker.m_id + ".runs");
    std::string line;
    while (std::getline(file, line)) {
      std::istringstream words(line);
      RunEvent event;
      words >> event.m_atMs >> event.m_worker >> event.m_what >> event.m_task >> event.m_run >>
        event.m_how;
      event.m_atMs -= m_startedAtMs;
      events.push_back(event);
    }
  }
  std::stable_sort(events.begin(), events.end(), [](const RunEvent& aOne, const RunEvent& aTwo) {
    return aOne.m_atMs < aTwo.m_atMs;
  });
  return events;
}

std::vector<std::string>
World::Reap()
{
  std::vector<std::string> ended;
  for (InstanceProcess& instance : m_instances) {
    int status = 0;
    if (instance.m_pid <= 0 || waitpid(instance.m_pid, &status, WNOHANG) != instance.m_pid) {
      continue;
    }
    instance.m_pid = 0;
    if (!instance.m_endExpected) {
      ended.push_back(instance.m_name + " ended by itself, status " + std::to_string(status));
      Record(ended.back());
    }
  }
  return ended;
}

} // namespace review
