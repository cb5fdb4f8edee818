// Idempotency keys of requests that must run at most once, in the order of the log.
#pragma once

#include "egretturn/Journal/Records.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace egretturn {

/// What an intent record means, the same at every reader.
enum class IntentVerdict
{
  Granted,      ///< First with its key: its writer, and nobody else, may dispatch.
  Pending,      ///< Another intent holds the key and its fate is not known.
  Completed,    ///< The recorded outcome answers it.
  BodyMismatch, ///< The key is in use for another body.
};

struct KeyState
{
  std::string m_key;
  InstanceId m_holder;
  uint64_t m_bodyHash = 0;
  bool m_done = false;
  uint32_t m_status = 0;
  std::string m_body;
  Offset m_offset = 0; ///< Of the intent.

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

/// Keys of the last kKeptKeys intents. Not thread-safe.
class KeyTable
{
public:
  static constexpr size_t kKeptKeys = 50'000;

  /// Applies an intent at \p aOffset.
  IntentVerdict Apply(const KeyIntent& aIntent, const InstanceId& aWriter, Offset aOffset);

  /// Returns whether the outcome counts: it must come from the key's holder.
  bool Apply(const KeyOutcome& aOutcome, const InstanceId& aWriter);

  /// The state of \p aKey, or null if it is free.
  const KeyState* Find(const std::string& aKey) const;

  size_t Size() const { return m_keys.size(); }
  std::vector<KeyState> All() const;
  void Restore(const std::vector<KeyState>& aStates);

private:
  struct Age
  {
    Offset m_offset;
    std::string m_key;
  };
  void DropOldest();

  std::unordered_map<std::string, KeyState> m_keys;
  std::deque<Age> m_ages;
};

} // namespace egretturn
