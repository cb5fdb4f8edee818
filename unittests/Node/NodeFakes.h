// Stand-ins for systems that an instance talks to, for tests that need no response from them.
#pragma once

#include "egretturn/Node/Ports.h"

namespace egretturn::nodetest {

/// Returns a claim of the instance "leader-<aEpoch>".
inline StoredClaim
ClaimOf(uint64_t aEpoch, const char* aAddress)
{
  StoredClaim claim;
  claim.m_epoch = aEpoch;
  claim.m_instance = "leader-" + std::to_string(aEpoch);
  claim.m_address = aAddress;
  return claim;
}

/// Workers that never respond.
class SilentWorkers : public WorkerPort
{
public:
  void Poll(const PollWorker&, uint64_t, PollCallback) override {}
  void Start(const StartTask&, uint64_t, WorkerCallCallback) override {}
  void Stop(const StopTask&, uint64_t, WorkerCallCallback) override {}
  void Throttle(const ThrottleTask&, uint64_t, WorkerCallCallback) override {}
};

/// A decoder that rejects every entry of the directory.
inline Expected<WorkerReport>
RejectEntry(const KeyedRecord&)
{
  return Fail(ErrorKind::Corrupt, "no entry", "none");
}

} // namespace egretturn::nodetest
