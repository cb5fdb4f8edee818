// Encodes batches and stream states as MessagePack bytes for the log.
#pragma once

#include "egretturn/Journal/Records.h"
#include "egretturn/Support/CompactFields.h"

#include <string>
#include <string_view>

namespace egretturn {

/// Encodes \p aBatch for the log. Thread-safe.
std::string EncodeBatch(const Batch& aBatch);

/// Decodes a batch. Errors: corrupt if the bytes are not a batch or have a newer schema.
/// Thread-safe.
Expected<Batch> DecodeBatch(std::string_view aBytes);

/// Encodes \p aValue compactly as MessagePack. Thread-safe.
template<HasFields T>
std::string
PackCompact(const T& aValue)
{
  MessagePackWriter writer;
  WriteCompact(writer, aValue);
  return writer.Take();
}

/// Decodes what PackCompact() wrote. Returns false for other bytes; \p aValue is in an unspecified
/// state then. Thread-safe.
template<HasFields T>
bool
UnpackCompact(std::string_view aBytes, T& aValue)
{
  MessagePackReader reader(aBytes);
  return ReadCompact(reader, aValue) && reader.AtEnd();
}

} // namespace egretturn
