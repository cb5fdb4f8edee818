// Stand-ins for what an instance talks to, where a test needs no answers from it.
#pragma once

#include "egretturn/Node/Ports.h"

namespace egretturn::nodetest {

/// A claim of the instance "leader-" and \p aEpoch.
inline StoredClaim
ClaimOf(uint64_t aEpoch, const char* aAddress)
{
  StoredClaim claim;
  claim.m_epoch = aEpoch;
  claim.m_instance = "leader-" + std::to_string(aEpoch);
  claim.m_address = aAddress;
  return claim;
}

/// Workers that answer nothing.
class NoWorkers : public WorkerPort
{
public:
  void Look(const PollWorker&, uint64_t, LookCallback) override {}
  void Start(const StartTask&, uint64_t, OrderCallback) override {}
  void Stop(const StopTask&, uint64_t, OrderCallback) override {}
  void Pace(const ThrottleTask&, uint64_t, OrderCallback) override {}
};

/// A decoder of the directory to which each entry is odd.
inline Expected<WorkerReport>
DecodeNoEntry(const KeyedRecord&)
{
  return Fail(ErrorKind::Corrupt, "no entry", "none");
}

} // namespace egretturn::nodetest
