// Tables that map the values of an enum class to stable names.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace egretturn {

/// One entry of an EnumTable.
template<typename E>
struct EnumName
{
  E m_value;
  std::string_view m_name;
};

template<typename E, size_t N>
using EnumTable = std::array<EnumName<E>, N>;

/// Returns the name of \p aValue, or "unknown" for a value that is not in the table. Thread-safe.
template<typename E, size_t N>
constexpr std::string_view
NameIn(const EnumTable<E, N>& aTable, E aValue)
{
  for (const EnumName<E>& row : aTable) {
    if (row.m_value == aValue) {
      return row.m_name;
    }
  }
  return "unknown";
}

/// Returns the value named \p aName, or nothing if the table has none. Thread-safe.
template<typename E, size_t N>
constexpr std::optional<E>
ValueIn(const EnumTable<E, N>& aTable, std::string_view aName)
{
  for (const EnumName<E>& row : aTable) {
    if (row.m_name == aName) {
      return row.m_value;
    }
  }
  return std::nullopt;
}

/// Builds a visitor for std::visit from lambdas.
template<typename... Fs>
struct Overloaded : Fs...
{
  using Fs::operator()...;
};
template<typename... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

} // namespace egretturn
