// Table of idempotency keys, built from log records, for requests that must run at most once.
#pragma once

#include "egretturn/Journal/Records.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace egretturn {

/// Outcome of an intent record. Every instance that reads the log derives the same outcome.
enum class IntentVerdict
{
  Granted,      ///< First intent for the key: only its writer may dispatch the request.
  Pending,      ///< Another intent holds the key, and its result is not known yet.
  Completed,    ///< The recorded result is the response.
  BodyMismatch, ///< The key is in use for a request with a different body.
};

/// State of one idempotency key.
struct KeyState
{
  std::string m_key;
  InstanceId m_holder; ///< The instance whose intent was granted.
  uint64_t m_bodyHash = 0;
  bool m_done = false; ///< Whether the result, m_status and m_body, is recorded.
  uint32_t m_status = 0;
  std::string m_body;
  Offset m_offset = 0; ///< Log offset of the intent.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("key", aSelf.m_key);
    aVisit("holder", aSelf.m_holder);
    aVisit("body_hash", aSelf.m_bodyHash);
    aVisit("done", aSelf.m_done);
    aVisit("status", aSelf.m_status);
    aVisit("body", aSelf.m_body);
    aVisit("offset", aSelf.m_offset);
  }
};

/// Maps idempotency keys to the state of their requests. Only the keys of the last kMaxKeys intents
/// are kept. Not thread-safe.
class KeyTable
{
public:
  static constexpr size_t kMaxKeys = 50'000;

  /// Applies an intent that \p aWriter appended to the log at \p aOffset.
  IntentVerdict Apply(const KeyIntent& aIntent, const InstanceId& aWriter, Offset aOffset);

  /// Applies the result of a request. Returns whether it was accepted: it must be the first one
  /// and come from the key's holder.
  bool Apply(const KeyOutcome& aOutcome, const InstanceId& aWriter);

  /// Returns the state of \p aKey, or null if no intent holds it.
  const KeyState* Find(const std::string& aKey) const;

  size_t Size() const { return m_keys.size(); }

  /// Returns the states in log order, for a snapshot.
  std::vector<KeyState> All() const;

  /// Replaces the contents with \p aStates, a result of All().
  void Restore(const std::vector<KeyState>& aStates);

private:
  struct LoggedIntent
  {
    Offset m_offset;
    std::string m_key;
  };
  void DiscardOldest();

  std::unordered_map<std::string, KeyState> m_keys;
  std::deque<LoggedIntent> m_intents;
};

} // namespace egretturn
