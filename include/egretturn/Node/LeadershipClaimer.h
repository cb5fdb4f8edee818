// Claims the leadership: reads all jobs from the store and appends a claim after them.
#pragma once

#include "egretturn/Node/LeaderSession.h"

namespace egretturn {

/// Makes one try at claiming the leadership. Its pending calls keep it alive.
/// Not thread-safe: runs on the thread of the io_context.
class LeadershipClaimer : public std::enable_shared_from_this<LeadershipClaimer>
{
public:
  struct Outcome
  {
    std::optional<StoredClaim> m_own;   ///< Set if this instance is now the leader.
    std::optional<StoredClaim> m_other; ///< A claim newer than the one to succeed, if any.
    bool m_deferredToLeader = false;    ///< The known leader is still writing. Not with m_other.
    bool m_abandoned = false;           ///< The claim was no longer needed before it was written.
    RecoveredState m_state;
  };
  using Callback = std::function<void(Outcome)>;

  /// Tells whether the claim is still needed. Reading all jobs takes time, in which the leader may
  /// have been heard from again.
  using NeededCheck = std::function<bool()>;

  /// Succeeds the epoch \p aKnownEpoch; fails if the store holds a newer claim. With
  /// \p aDefersToLeader, it also fails if the current leader is still writing.
  /// It is abandoned if \p aIsNeeded returns false before the claim is written. \p aDone is called
  /// once.
  LeadershipClaimer(boost::asio::io_context& aIo,
                    StorePort& aStore,
                    StoredClaim aIdentity,
                    uint64_t aKnownEpoch,
                    bool aDefersToLeader,
                    NeededCheck aIsNeeded,
                    Callback aDone);

  /// Starts reading the topic of jobs; \c aDone follows later.
  void Start();

  /// The epoch that the last append of a claim was for, or 0 before the first one. Other instances
  /// may read that claim from the store before its result is known here.
  uint64_t ClaimedEpoch() const { return m_identity.m_epoch; }

private:
  void ReadNextRecords();
  void Apply(const TopicPage& aPage);
  void TryClaim();
  void OnAppend(const AppendResult& aResult);
  void Fail();
  void Succeed();
  void RetryLater();

  boost::asio::steady_timer m_timer;
  StorePort& m_store;
  StoredClaim m_identity;
  uint64_t m_knownEpoch;
  bool m_defersToLeader;
  bool m_deferred = false;
  bool m_abandoned = false;
  NeededCheck m_isNeeded;
  Callback m_done;
  std::unordered_map<std::string, std::string> m_values; ///< Latest value of each key.
  StoredClaim m_newest;
  LogOffset m_end = 0;
  Instant m_requestSentAt; ///< When the last request to the store was sent.
  uint32_t m_tries = 0;
};

} // namespace egretturn
