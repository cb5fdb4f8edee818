// Which availability zones take no new starts, because the operator has requested their evacuation.
#pragma once

#include "egretturn/Support/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace egretturn {

/// Whether tasks may start on the workers of a zone.
enum class ZoneState : uint8_t
{
  Open,
  Evacuated,
  Unread, ///< The operator's requests have not been read yet.
};

/// What a request, or its withdrawal, has changed.
enum class EvacuationChange : uint8_t
{
  Begun,
  BegunUnknownZone, ///< In force, although the settings don't name the zone.
  Repeated,         ///< It was in force.
  Ended,
  NotInForce, ///< A withdrawal without a request.
  Invalid,    ///< No zone is named. Nothing has changed.
};

/// Returns the stable name of \p aChange. Thread-safe.
std::string_view NameOf(EvacuationChange aChange);

/// The operator's requests that are in force, as far as they have been read. The default accepts
/// requests, and leaves all other zones open. Not thread-safe.
class ZoneEvacuations
{
public:
  ZoneEvacuations() = default;

  /// \p aKnownZones are the zones that the settings name; if there are none, any zone is known.
  explicit ZoneEvacuations(std::set<std::string> aKnownZones)
    : m_knownZones(std::move(aKnownZones))
  {
  }

  /// Says that no zone is open until OnRead(), since requests may be in force that were not read.
  void ExpectRead() { m_unread = true; }

  /// Handles that all requests up to now have been delivered. Returns true the first time.
  bool OnRead() { return std::exchange(m_unread, false); }

  EvacuationChange OnRequest(const std::string& aZone, Instant aNow);
  EvacuationChange OnWithdrawal(const std::string& aZone);

  ZoneState StateOf(const std::string& aZone) const;

  /// Returns the zones whose evacuation is in force, with the time since when it is here.
  const std::map<std::string, Instant>& Zones() const { return m_zones; }

private:
  std::set<std::string> m_knownZones;
  std::map<std::string, Instant> m_zones;
  bool m_unread = false;
};

} // namespace egretturn
