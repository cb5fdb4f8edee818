#include "egretturn/Scheduler/ZoneEvacuations.h"

#include "egretturn/Support/EnumTable.h"

namespace egretturn {

static constexpr size_t kChanges = static_cast<size_t>(EvacuationChange::Invalid) + 1;

static constexpr EnumTable<EvacuationChange, kChanges> kChangeNames{ {
  { EvacuationChange::Begun, "begun" },
  { EvacuationChange::BegunUnknownZone, "begun_unknown_zone" },
  { EvacuationChange::Repeated, "repeated" },
  { EvacuationChange::Ended, "ended" },
  { EvacuationChange::NotInForce, "not_in_force" },
  { EvacuationChange::Invalid, "invalid" },
} };

std::string_view
NameOf(EvacuationChange aChange)
{
  return NameIn(kChangeNames, aChange);
}

EvacuationChange
ZoneEvacuations::OnRequest(const std::string& aZone, Instant aNow)
{
  if (aZone.empty()) {
    return EvacuationChange::Invalid; // workers without a zone would count as evacuated
  }
  if (!m_zones.emplace(aZone, aNow).second) {
    return EvacuationChange::Repeated;
  }
  const bool known = m_knownZones.empty() || m_knownZones.count(aZone) > 0;
  return known ? EvacuationChange::Begun : EvacuationChange::BegunUnknownZone;
}

EvacuationChange
ZoneEvacuations::OnWithdrawal(const std::string& aZone)
{
  if (aZone.empty()) {
    return EvacuationChange::Invalid;
  }
  return m_zones.erase(aZone) > 0 ? EvacuationChange::Ended : EvacuationChange::NotInForce;
}

ZoneState
ZoneEvacuations::StateOf(const std::string& aZone) const
{
  if (m_zones.count(aZone) > 0) {
    return ZoneState::Evacuated;
  }
  return m_unread ? ZoneState::Unread : ZoneState::Open;
}

} // namespace egretturn
