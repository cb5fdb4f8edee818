// Claims to decide: reads all jobs from the store and appends a claim behind them.
#pragma once

#include "egretturn/Node/LeaderSession.h"

namespace egretturn {

/// One attempt. Kept alive by its pending calls. On the thread of the io_context.
class LeadershipClaimer : public std::enable_shared_from_this<LeadershipClaimer>
{
public:
  struct Outcome
  {
    std::optional<StoredClaim> m_own;   ///< Set if this instance decides now.
    std::optional<StoredClaim> m_other; ///< A claim newer than the one that was to be succeeded.
    bool m_leaderWrites = false;        ///< Gave way to a leader that goes on writing.
    RecoveredState m_state;
  };
  using Callback = std::function<void(Outcome)>;

  /// \p aKnownEpoch: the epoch to succeed; a newer one ends the attempt. With \p aGivesWay, so
  /// does a leader that goes on writing.
  LeadershipClaimer(boost::asio::io_context& aIo,
                    StorePort& aStore,
                    StoredClaim aIdentity,
                    uint64_t aKnownEpoch,
                    bool aGivesWay,
                    Callback aDone);

  void Start();

private:
  void ReadOn();
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
  bool m_givesWay;
  bool m_gaveWay = false;
  Callback m_done;
  std::unordered_map<std::string, std::string> m_values; ///< Newest value of each key.
  StoredClaim m_newest;
  LogOffset m_end = 0;
  uint32_t m_tries = 0;
};

} // namespace egretturn
