#include "Process.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace egretturn::hostile {

// A process that grows without end fails before the machine does.
static constexpr rlim_t kMaxAddressSpace = rlim_t{ 4 } * 1024 * 1024 * 1024;

static void
WriteSettings(const std::string& aPath, const ProcessPorts& aPorts, const ProcessLimits& aLimits)
{
  std::ofstream file(aPath);
  file << "node = \"front-z0-1\"\nzone = \"z0\"\nip = \"127.0.0.1\"\nport_range = ["
       << aPorts.m_peer << ", " << aPorts.m_peer
       << "]\n[zones]\nz0 = \"south\"\n[listen]\nfront = \"127.0.0.1:" << aPorts.m_ingress
       << "\"\nready = \"127.0.0.1:" << aPorts.m_ready
       << "\"\n[limits]\ncpu_share = 1.0\nmemory_mb = " << aLimits.m_memoryMb
       << "\nmax_fds = " << aLimits.m_descriptors
       << "\n[bounds]\ngrace_s = 6\nstatus_s = 120\nstop_ms = 400\nhold_max_ms = 6000\n"
       << "gang_ms = 3000\n[platform]\naddr = \"127.0.0.1:" << aPorts.m_store
       << "\"\ncall_bytes = 2097152\nrecord_bytes = 262144\n";
}

Process::Process(const std::string& aProgram,
                 const std::string& aFolder,
                 const ProcessPorts& aPorts,
                 const ProcessLimits& aLimits)
{
  const std::string settings = aFolder + "/settings.toml";
  const std::string log = aFolder + "/log.txt";
  WriteSettings(settings, aPorts, aLimits);
  m_pid = fork();
  if (m_pid != 0) {
    return;
  }
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  closefrom(STDERR_FILENO + 1);
  const rlimit descriptors{ aLimits.m_descriptors, aLimits.m_descriptors };
  setrlimit(RLIMIT_NOFILE, &descriptors);
  const rlimit addressSpace{ kMaxAddressSpace, kMaxAddressSpace };
  setrlimit(RLIMIT_AS, &addressSpace);
  setenv("EGRETTURN_CONFIG", settings.c_str(), 1);
  execl(aProgram.c_str(), aProgram.c_str(), static_cast<char*>(nullptr));
  _exit(127);
}

Process::~Process()
{
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

bool
Process::IsRunning()
{
  if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
    m_pid = 0;
  }
  return m_pid > 0;
}

uint64_t
Process::PeakMemoryKb() const
{
  static constexpr const char* kPeak = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
  std::string word;
  while (status >> word) {
    if (word == kPeak) {
      uint64_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

size_t
Process::OpenSockets() const
{
  size_t sockets = 0;
  std::error_code error;
  const std::filesystem::path folder = "/proc/" + std::to_string(m_pid) + "/fd";
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator(folder, error)) {
    const std::string target = std::filesystem::read_symlink(entry.path(), error).string();
    sockets += target.rfind("socket:", 0) == 0 ? 1 : 0;
  }
  return sockets;
}

} // namespace egretturn::hostile
