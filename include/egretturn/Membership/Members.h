// The other instances: who is alive by heartbeat, what they last said, and what they consent to.
#pragma once

#include "egretturn/Config/Settings.h"
#include "egretturn/Membership/Messages.h"
#include "egretturn/Support/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace egretturn {

/// One configured peer and what is known of it.
struct Member
{
  PeerSettings m_settings;
  InstanceId m_current;            ///< Incarnation zero until it was heard.
  std::set<uint64_t> m_superseded; ///< Older incarnations; their messages are dropped.
  Instant m_lastHeard{};
  Instant m_firstHeard{}; ///< Of the present spell of being alive.
  Heartbeat m_lastHeartbeat;
  bool m_left = false;    ///< It said goodbye.
  bool m_counted = false; ///< Its consent is needed while the log is away.
  uint64_t m_sent = 0;    ///< Sequence of our last heartbeat to it.
  std::deque<std::pair<uint64_t, Instant>> m_sentAt; ///< Of recent heartbeats to it.
  Instant m_consentUntil{};
};

/// Not thread-safe; owned by the decision thread.
class Members
{
public:
  Members(const Settings& aSettings, InstanceId aSelf);

  /// Takes a heartbeat. Returns false for one that a superseded incarnation sent.
  bool OnHeartbeat(const InstanceId& aFrom, const Heartbeat& aHeartbeat, Instant aNow);

  /// The peer said goodbye.
  void OnGoodbye(const InstanceId& aFrom);

  /// Fills in the sequence and the echo of a heartbeat to \p aPeer and notes when it was sent.
  void StampHeartbeat(Heartbeat& aHeartbeat, const std::string& aPeer, Instant aNow);

  /// Updates who is counted. \p aLogFresh: the log was read of late, so that a silent peer can be
  /// superseded by record and its consent is no longer needed.
  void Tick(Instant aNow, bool aLogFresh);

  /// Until when all counted peers of the own availability zone let this instance go on without the
  /// log. Nothing while one of them is silent.
  std::optional<Instant> ConsentUntil(Instant aNow) const;

  /// Heard within the suspicion time and not gone.
  bool IsAlive(const std::string& aPeer, Instant aNow) const;

  /// Whether \p aInstance is a present run that is alive.
  bool IsAlive(const InstanceId& aInstance, Instant aNow) const;

  /// Ids in the own availability zone that may own racks now, this instance included unless
  /// \p aSelfLeaving.
  std::vector<std::string> Eligible(Instant aNow, bool aSelfLeaving) const;

  /// Whether any alive peer of the own availability zone reads the log.
  bool PeerReadsLog(Instant aNow) const;

  const std::map<std::string, Member>& All() const { return m_members; }
  const Member* Find(const std::string& aPeer) const;
  bool IsLocal(const Member& aMember) const { return aMember.m_settings.m_zone == m_zone; }

private:
  std::string m_zone;
  Timing m_timing;
  InstanceId m_self;
  std::map<std::string, Member> m_members;
};

} // namespace egretturn
