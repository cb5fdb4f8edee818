#include "egretturn/Scheduler/LongRunningShare.h"

namespace egretturn {

// Of a service's processors. The rest is left to the floors of work that ends.
static constexpr double kMaxShareFirst = 0.98;

LongRunningShare::LongRunningShare(const std::vector<Worker*>& aWorkers)
{
  for (const Worker* worker : aWorkers) {
    Service& service = m_services[worker->m_report.m_service];
    service.m_cpuMilli += worker->m_report.m_capacity.m_cpuMilli;
    service.m_longRunningCpuMilli += worker->m_longRunning.m_cpuMilli;
  }
}

bool
LongRunningShare::MayGoFirst(const std::string& aService, int64_t aCpuMilli) const
{
  const auto it = m_services.find(aService);
  if (it == m_services.end()) {
    return false;
  }
  return static_cast<double>(it->second.m_longRunningCpuMilli + aCpuMilli) <=
         kMaxShareFirst * static_cast<double>(it->second.m_cpuMilli);
}

} // namespace egretturn
