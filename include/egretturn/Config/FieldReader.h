// Reads the fields of one TOML table, collecting every mistake with its place and remedy.
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

/// Reader of one table. Errors go to the list given at construction. Not thread-safe.
/// The table and the list must outlive the reader.
class FieldReader
{
public:
  /// \p aWhere names the object or file in errors; with \p aLines, errors start with file and line.
  FieldReader(const toml::table& aTable, std::string aWhere, bool aLines, Errors& aErrors);

  /// The string at \p aKey; an error when it is absent and \p aDefault is not given.
  std::string String(std::string_view aKey,
                     const std::optional<std::string>& aDefault = std::nullopt);

  /// The integer at \p aKey within [\p aLow, \p aHigh].
  int64_t Integer(std::string_view aKey,
                  int64_t aLow,
                  int64_t aHigh,
                  std::optional<int64_t> aDefault = std::nullopt);

  /// The number at \p aKey within [\p aLow, \p aHigh].
  double Number(std::string_view aKey, double aLow, double aHigh, double aDefault);

  bool Boolean(std::string_view aKey, bool aDefault);

  /// The array of strings at \p aKey; an error when it is absent and \p aRequired.
  std::vector<std::string> Strings(std::string_view aKey, bool aRequired);

  /// The table at \p aKey, or null. An error when it is something else.
  const toml::table* Table(std::string_view aKey);

  /// The array at \p aKey, or null. An error when it is something else.
  const toml::array* Array(std::string_view aKey);

  /// Reports the keys that no call asked for. Call last.
  void RejectUnknown();

  /// Reports a mistake at \p aKey.
  void Reject(std::string_view aKey, std::string_view aReason, std::string aRemedy);

private:
  const toml::node* Find(std::string_view aKey, bool aRequired);

  const toml::table& m_table;
  std::string m_where;
  bool m_lines;
  Errors& m_errors;
  std::set<std::string, std::less<>> m_known;
};

} // namespace egretturn
