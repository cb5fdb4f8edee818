// Passes the operator's requests to evacuate zones to the leader's session and to the link shard.
#include "egretturn/Node/Node.h"

#include "egretturn/Support/Log.h"

namespace egretturn {

void
Node::OnEvacuation(const std::string& aZone, bool aRequested)
{
  if (!m_settings.m_followsEvacuations) {
    Log(LogLine(LogLevel::Warning, "evacuation_ignored")
          .Add("zone", aZone)
          .Add("reason", "the settings have no bound for evacuations"));
    return;
  }
  const Instant now = BootClockNow();
  const auto since = m_evacuations.Zones().find(aZone);
  const Duration inForce =
    since == m_evacuations.Zones().end() ? Duration::zero() : now - since->second;
  const EvacuationChange change =
    aRequested ? m_evacuations.OnRequest(aZone, now) : m_evacuations.OnWithdrawal(aZone);
  // A record is repeated also when the topic is read anew, as after a gap in its history.
  const bool usual = change == EvacuationChange::Begun || change == EvacuationChange::Ended ||
                     change == EvacuationChange::Repeated;
  Log(LogLine(usual ? LogLevel::Info : LogLevel::Warning, "evacuation")
        .Add("zone", aZone)
        .Add("change", NameOf(change))
        .Add("in_force_ms", ToMillis(inForce))
        .Add("zones", uint64_t{ m_evacuations.Zones().size() }));
  ApplyEvacuations();
}

void
Node::OnOperatorRead()
{
  if (m_evacuations.OnRead()) {
    ApplyEvacuations();
  }
}

void
Node::ApplyEvacuations()
{
  m_shard->SetEvacuations(m_evacuations);
  if (m_session) {
    m_session->SetEvacuations(m_evacuations);
  }
}

} // namespace egretturn
