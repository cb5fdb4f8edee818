// The other instances: their liveness, their last heartbeats, and their consent to this instance's
// making decisions without the log.
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

/// A configured peer and its known state.
struct Member
{
  PeerSettings m_settings;
  InstanceId m_current;            ///< Incarnation zero until the first heartbeat.
  std::set<uint64_t> m_superseded; ///< Older incarnations; their messages are dropped.
  Instant m_lastHeardAt{};
  Instant m_aliveSince{}; ///< When it was first heard after its last silence.
  Heartbeat m_lastHeartbeat;
  bool m_exited = false;           ///< It has announced its exit.
  bool m_consentRequired = false;  ///< Its consent is required while the log is unavailable.
  uint64_t m_lastSentSequence = 0; ///< Sequence number of the last heartbeat to it.
  std::deque<std::pair<uint64_t, Instant>>
    m_recentSends; ///< Sequence numbers and times of recent heartbeats to it.
  Instant m_consentUntil{};
};

/// Tracks the configured peers by their heartbeats.
/// Not thread-safe; owned by the decision thread.
class Members
{
public:
  Members(const Settings& aSettings, InstanceId aSelf);

  /// Records a heartbeat. Returns false if it came from a superseded incarnation, from an unknown
  /// instance or from one that has announced its exit.
  bool OnHeartbeat(const InstanceId& aFrom, const Heartbeat& aHeartbeat, Instant aNow);

  /// Records that the peer announced its exit.
  void OnGoodbye(const InstanceId& aFrom);

  /// Sets the sequence number and the echo of a heartbeat to \p aPeer and records when it was sent.
  void StampHeartbeat(Heartbeat& aHeartbeat, const std::string& aPeer, Instant aNow);

  /// Updates whose consent is required. \p aLogCurrent means that the log was read recently; the
  /// racks of a silent peer can then be claimed through the log, and its consent is not required.
  void Tick(Instant aNow, bool aLogCurrent);

  /// Returns until when all required peers of the own availability zone consent to this instance's
  /// making decisions without the log. Returns nothing if the consent of one of them has expired.
  std::optional<Instant> ConsentUntil(Instant aNow) const;

  /// Whether the peer was heard within the suspicion timeout and has not announced its exit.
  bool IsAlive(const std::string& aPeer, Instant aNow) const;

  /// Whether \p aInstance is the current incarnation of a live peer, or this instance.
  bool IsAlive(const InstanceId& aInstance, Instant aNow) const;

  /// Returns the ids of the instances of the own availability zone that may own racks now,
  /// including this instance unless \p aSelfShuttingDown.
  std::vector<std::string> Eligible(Instant aNow, bool aSelfShuttingDown) const;

  /// Whether a live peer of the own availability zone has recently read the log.
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
