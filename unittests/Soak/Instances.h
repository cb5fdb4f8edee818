// The processes under test: starts them with settings files, sends them signals and notices when
// one ends.
#pragma once

#include "egretturn/Support/Time.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace egretturn::soak {

/// Where an instance listens, and whom it calls.
struct InstanceSite
{
  std::string m_name;
  std::string m_zone;
  std::string m_region;
  uint16_t m_ingressPort = 0;
  uint16_t m_readyPort = 0;
  uint16_t m_peerPort = 0;
  uint16_t m_storePort = 0;
};

/// The instances of one run. Not thread-safe.
class Instances
{
public:
  /// \p aFolder receives settings and logs. \p aProcessorShare is what the settings give each.
  Instances(std::string aProgram, std::string aFolder, double aProcessorShare);

  /// Kills all processes that still run.
  ~Instances();

  Instances(const Instances&) = delete;
  Instances& operator=(const Instances&) = delete;

  void Add(const InstanceSite& aSite);
  size_t Count() const { return m_instances.size(); }
  const InstanceSite& Site(size_t aInstance) const { return m_instances[aInstance].m_site; }

  void Start(size_t aInstance);

  /// Sends a signal, if the process runs.
  void Signal(size_t aInstance, int aSignal);

  bool IsRunning(size_t aInstance) const { return m_instances[aInstance].m_pid > 0; }

  /// Notices ended processes. Returns the exit codes of those that ended by themselves without
  /// having been asked to, as text.
  std::vector<std::string> Reap();

private:
  struct Instance
  {
    InstanceSite m_site;
    pid_t m_pid = 0;
    bool m_endExpected = false; ///< It was sent a signal that ends it.
  };

  void WriteSettings(const InstanceSite& aSite) const;
  std::string SettingsPath(const InstanceSite& aSite) const;
  std::string LogPath(const InstanceSite& aSite) const;

  std::string m_program;
  std::string m_folder;
  double m_processorShare;
  std::vector<Instance> m_instances;
};

} // namespace egretturn::soak
