// Reads the fields of a TOML table and collects all errors with their location and remedy.
#pragma once

#include "egretturn/Support/Error.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace egretturn {

/// Reads the fields of one table and appends errors to a list. The table and the list must outlive
/// the reader. Not thread-safe.
class FieldReader
{
public:
  /// Errors name the object or file \p aLocation and, with \p aWithLines, the line.
  FieldReader(const toml::table& aTable, std::string aLocation, bool aWithLines, Errors& aErrors);

  /// Returns the string at \p aKey. An absent key without \p aDefault is an error.
  std::string String(std::string_view aKey,
                     const std::optional<std::string>& aDefault = std::nullopt);

  /// Returns the integer at \p aKey, which must be in [\p aLow, \p aHigh]. An absent key without
  /// \p aDefault is an error.
  int64_t Integer(std::string_view aKey,
                  int64_t aLow,
                  int64_t aHigh,
                  std::optional<int64_t> aDefault = std::nullopt);

  /// Returns the number at \p aKey, which must be in [\p aLow, \p aHigh].
  double Number(std::string_view aKey, double aLow, double aHigh, double aDefault);

  /// Returns the boolean at \p aKey.
  bool Boolean(std::string_view aKey, bool aDefault);

  /// Returns the strings in the array at \p aKey. With \p aRequired, an absent or empty array is an
  /// error.
  std::vector<std::string> Strings(std::string_view aKey, bool aRequired);

  /// Returns the table at \p aKey, or null if the key is absent. Any other type is an error.
  const toml::table* Table(std::string_view aKey);

  /// Returns the array at \p aKey, or null if the key is absent. Any other type is an error.
  const toml::array* Array(std::string_view aKey);

  /// Reports an error for each key that has not been read. Call this last.
  void RejectUnknown();

  /// Reports an error at \p aKey.
  void Reject(std::string_view aKey, std::string_view aReason, std::string aRemedy);

private:
  const toml::node* Find(std::string_view aKey, bool aRequired);

  const toml::table& m_table;
  std::string m_location;
  bool m_withLines;
  Errors& m_errors;
  std::set<std::string, std::less<>> m_readKeys;
};

} // namespace egretturn
