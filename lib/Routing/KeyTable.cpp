#include "egretturn/Routing/KeyTable.h"

#include <algorithm>

namespace egretturn {

IntentVerdict
KeyTable::Apply(const KeyIntent& aIntent, const InstanceId& aWriter, Offset aOffset)
{
  const auto [it, added] = m_keys.try_emplace(aIntent.m_key);
  KeyState& state = it->second;
  if (added) {
    state = KeyState{ aIntent.m_key, aWriter, aIntent.m_bodyHash, false, 0, "", aOffset };
    m_intents.push_back(LoggedIntent{ aOffset, aIntent.m_key });
    DiscardOldest();
    return IntentVerdict::Granted;
  }
  if (state.m_bodyHash != aIntent.m_bodyHash) {
    return IntentVerdict::BodyMismatch;
  }
  return state.m_done ? IntentVerdict::Completed : IntentVerdict::Pending;
}

bool
KeyTable::Apply(const KeyOutcome& aOutcome, const InstanceId& aWriter)
{
  const std::unordered_map<std::string, KeyState>::iterator it = m_keys.find(aOutcome.m_key);
  if (it == m_keys.end() || it->second.m_done || it->second.m_holder != aWriter) {
    return false;
  }
  if (aOutcome.m_result == KeyResult::NotRun) {
    m_keys.erase(it);
    return true;
  }
  it->second.m_done = true;
  it->second.m_status = aOutcome.m_status;
  it->second.m_body = aOutcome.m_body;
  return true;
}

const KeyState*
KeyTable::Find(const std::string& aKey) const
{
  const std::unordered_map<std::string, KeyState>::const_iterator it = m_keys.find(aKey);
  return it == m_keys.end() ? nullptr : &it->second;
}

void
KeyTable::DiscardOldest()
{
  while (m_intents.size() > kMaxKeys) {
    const LoggedIntent& oldest = m_intents.front();
    const std::unordered_map<std::string, KeyState>::iterator it = m_keys.find(oldest.m_key);
    if (it != m_keys.end() && it->second.m_offset == oldest.m_offset) {
      m_keys.erase(it);
    }
    m_intents.pop_front();
  }
}

std::vector<KeyState>
KeyTable::All() const
{
  std::vector<KeyState> all;
  all.reserve(m_keys.size());
  for (const LoggedIntent& intent : m_intents) {
    const KeyState* state = Find(intent.m_key);
    if (state && state->m_offset == intent.m_offset) {
      all.push_back(*state);
    }
  }
  return all;
}

void
KeyTable::Restore(const std::vector<KeyState>& aStates)
{
  m_keys.clear();
  m_intents.clear();
  for (const KeyState& state : aStates) {
    m_keys[state.m_key] = state;
    m_intents.push_back(LoggedIntent{ state.m_offset, state.m_key });
  }
}

} // namespace egretturn
