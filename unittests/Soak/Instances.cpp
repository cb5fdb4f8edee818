#include "Instances.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace egretturn::soak {

Instances::Instances(std::string aProgram, std::string aFolder, double aProcessorShare)
  : m_program(std::move(aProgram))
  , m_folder(std::move(aFolder))
  , m_processorShare(aProcessorShare)
{
}

Instances::~Instances()
{
  for (Instance& instance : m_instances) {
    if (instance.m_pid > 0) {
      kill(instance.m_pid, SIGKILL);
      waitpid(instance.m_pid, nullptr, 0);
    }
  }
}

void
Instances::Add(const InstanceSite& aSite)
{
  m_instances.push_back({ aSite });
  WriteSettings(aSite);
  std::filesystem::remove(LogPath(aSite)); // of an earlier run
}

std::string
Instances::LogPath(const InstanceSite& aSite) const
{
  return m_folder + "/" + aSite.m_name + ".log";
}

std::string
Instances::SettingsPath(const InstanceSite& aSite) const
{
  return m_folder + "/" + aSite.m_name + ".toml";
}

void
Instances::WriteSettings(const InstanceSite& aSite) const
{
  std::ofstream file(SettingsPath(aSite));
  file
    << "node = \"" << aSite.m_name << "\"\nzone = \"" << aSite.m_zone
    << "\"\nip = \"127.0.0.1\"\nport_range = [" << aSite.m_peerPort << ", " << aSite.m_peerPort
    << "]\n[zones]\nz0 = \"south\"\nz1 = \"south\"\nz2 = \"north\"\n[listen]\nfront = \"127.0.0.1:"
    << aSite.m_ingressPort << "\"\nready = \"127.0.0.1:" << aSite.m_readyPort
    << "\"\n[limits]\ncpu_share = " << m_processorShare
    << "\nmemory_mb = 260\n[bounds]\ngrace_s = 6\nstatus_s = 120\nstop_ms = 400\n"
    << "hold_max_ms = 6000\ngang_ms = 3000\nevac_ms = 5000\n[platform]\naddr = \"127.0.0.1:"
    << aSite.m_storePort << "\"\ncall_bytes = 2097152\nrecord_bytes = 262144\n";
}

void
Instances::Start(size_t aInstance)
{
  Instance& instance = m_instances[aInstance];
  if (instance.m_pid > 0) {
    return;
  }
  instance.m_endExpected = false;
  const std::string settings = SettingsPath(instance.m_site);
  const std::string log = LogPath(instance.m_site);
  instance.m_pid = fork();
  if (instance.m_pid != 0) {
    return;
  }
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  setenv("EGRETTURN_CONFIG", settings.c_str(), 1);
  // The sockets of the stand-ins must not stay open in the child.
  closefrom(STDERR_FILENO + 1);
  execl(m_program.c_str(), m_program.c_str(), static_cast<char*>(nullptr));
  _exit(127);
}

void
Instances::Signal(size_t aInstance, int aSignal)
{
  Instance& instance = m_instances[aInstance];
  if (instance.m_pid <= 0) {
    return;
  }
  instance.m_endExpected =
    instance.m_endExpected || aSignal == SIGKILL || aSignal == SIGTERM || aSignal == SIGINT;
  kill(instance.m_pid, aSignal);
}

std::vector<std::string>
Instances::Reap()
{
  std::vector<std::string> unexpected;
  for (Instance& instance : m_instances) {
    int status = 0;
    if (instance.m_pid <= 0 || waitpid(instance.m_pid, &status, WNOHANG) != instance.m_pid) {
      continue;
    }
    instance.m_pid = 0;
    if (!instance.m_endExpected) {
      unexpected.push_back(instance.m_site.m_name + " ended by itself, status " +
                           std::to_string(status));
    }
  }
  return unexpected;
}

} // namespace egretturn::soak
