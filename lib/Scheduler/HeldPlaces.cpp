#include "egretturn/Scheduler/HeldPlaces.h"

namespace egretturn {

static void
AddDemand(Demand& aSum, const Demand& aDemand, int64_t aSign)
{
  aSum.m_cpuMilli += aSign * aDemand.m_cpuMilli;
  aSum.m_memoryMb += aSign * aDemand.m_memoryMb;
  aSum.m_accelerators += aSign * aDemand.m_accelerators;
}

void
Reserve(Worker& aWorker, const Demand& aDemand)
{
  AddDemand(aWorker.m_used, aDemand, 1);
}

void
Release(Worker& aWorker, const Demand& aDemand)
{
  AddDemand(aWorker.m_used, aDemand, -1);
}

void
HeldPlaces::Hold(Worker& aWorker, const Demand& aDemand)
{
  Reserve(aWorker, aDemand);
  AddDemand(aWorker.m_held, aDemand, 1);
  m_places.push_back({ &aWorker, aDemand });
}

void
HeldPlaces::ReleaseAll()
{
  for (const Place& place : m_places) {
    Release(*place.m_worker, place.m_demand);
    AddDemand(place.m_worker->m_held, place.m_demand, -1);
  }
  m_places.clear();
}

} // namespace egretturn
