#include "egretturn/Core/Context.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>

namespace egretturn {

static constexpr EnumTable<Outcome, 3> kOutcomeNames{ {
  { Outcome::Done, "done" },
  { Outcome::NotRun, "not-run" },
  { Outcome::Unknown, "unknown" },
} };

static constexpr EnumTable<DispatchResult, 5> kDispatchResultNames{ {
  { DispatchResult::Completed, "answered" },
  { DispatchResult::NotSent, "not_sent" },
  { DispatchResult::Refused, "refused" },
  { DispatchResult::Broken, "broken" },
  { DispatchResult::TimedOut, "timed_out" },
} };

std::string_view
NameOf(Outcome aOutcome)
{
  return NameIn(kOutcomeNames, aOutcome);
}

std::optional<Outcome>
ParseOutcome(std::string_view aName)
{
  return ValueIn(kOutcomeNames, aName);
}

std::string_view
NameOf(DispatchResult aResult)
{
  return NameIn(kDispatchResultNames, aResult);
}

Context::Context(const Settings& aSettings, InstanceId aSelf, uint64_t aSeed)
  : m_settings(aSettings)
  , m_self(std::move(aSelf))
  , m_replica(aSettings.m_zone)
  , m_members(aSettings, m_self)
  , m_writer(m_self, aSettings.m_timing.m_logTimeout)
  , m_random(aSeed)
{
}

void
Context::Log(LogLine aLine)
{
  m_actions.push_back(WriteLog{ std::move(aLine) });
}

bool
Context::IsLogCurrent() const
{
  return m_zoneCaughtUpAt != Instant{} && m_now - m_zoneCaughtUpAt < Times().m_authority;
}

Instant
Context::AuthorityUntil() const
{
  const Instant byLog =
    m_zoneCaughtUpAt == Instant{} ? Instant{} : m_zoneCaughtUpAt + Times().m_authority;
  const std::optional<Instant> byConsent = m_members.ConsentUntil(m_now);
  return byConsent ? std::max(byLog, *byConsent) : byLog;
}

} // namespace egretturn
