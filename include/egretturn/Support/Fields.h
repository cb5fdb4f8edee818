// Encodes structs as JSON values and decodes them: as arrays in compact records, as objects in
// interfaces.
//
// A struct opts in by listing its members once:
//   template<typename Self, typename Visit>
//   static void Fields(Self& aSelf, Visit&& aVisit) { aVisit("rack", aSelf.m_rack); ... }
#pragma once

#include "egretturn/Support/Error.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace egretturn {

using Json = nlohmann::json;

/// A struct that lists its members in Fields().
template<typename T>
concept HasFields = requires(T& aValue)
{
  T::Fields(aValue, [](const char*, auto&) {});
};

/// How structs are encoded.
enum class FieldStyle
{
  Compact, ///< Arrays in the order of the fields. New fields may only be appended at the end.
  Named,   ///< Objects keyed by the field names.
};

template<typename T>
struct IsVector : std::false_type
{
};
template<typename T>
struct IsVector<std::vector<T>> : std::true_type
{
};
template<typename T>
struct IsOptional : std::false_type
{
};
template<typename T>
struct IsOptional<std::optional<T>> : std::true_type
{
};
template<typename T>
struct IsVariant : std::false_type
{
};
template<typename... Ts>
struct IsVariant<std::variant<Ts...>> : std::true_type
{
};

/// Encodes \p aValue as JSON, structs in \p aStyle. Thread-safe.
template<typename T>
Json
Encode(const T& aValue, FieldStyle aStyle)
{
  if constexpr (HasFields<T>) {
    Json out = aStyle == FieldStyle::Compact ? Json::array() : Json::object();
    T::Fields(aValue, [&](const char* aName, const auto& aField) {
      if (aStyle == FieldStyle::Compact) {
        out.push_back(Encode(aField, aStyle));
      } else {
        out[aName] = Encode(aField, aStyle);
      }
    });
    return out;
  } else if constexpr (IsVector<T>::value) {
    Json out = Json::array();
    for (const typename T::value_type& item : aValue) {
      out.push_back(Encode(item, aStyle));
    }
    return out;
  } else if constexpr (IsOptional<T>::value) {
    return aValue ? Encode(*aValue, aStyle) : Json();
  } else if constexpr (IsVariant<T>::value) {
    Json out = Json::array({ aValue.index() });
    std::visit([&](const auto& aItem) { out.push_back(Encode(aItem, aStyle)); }, aValue);
    return out;
  } else if constexpr (std::is_enum_v<T>) {
    return static_cast<std::underlying_type_t<T>>(aValue);
  } else {
    return aValue;
  }
}

template<typename T>
bool Decode(const Json& aJson, T& aValue);

/// Decodes the alternative of \p aValue with the index \p aIndex. Returns false for an index out of
/// range or a type that does not match. Thread-safe.
template<typename Variant, size_t I = 0>
bool
DecodeAlternative(const Json& aJson, size_t aIndex, Variant& aValue)
{
  if constexpr (I >= std::variant_size_v<Variant>) {
    return false;
  } else {
    if (aIndex != I) {
      return DecodeAlternative<Variant, I + 1>(aJson, aIndex, aValue);
    }
    return Decode(aJson, aValue.template emplace<I>());
  }
}

template<HasFields T>
bool
DecodeFields(const Json& aJson, T& aValue)
{
  if (!aJson.is_array() && !aJson.is_object()) {
    return false;
  }
  bool ok = true;
  size_t index = 0;
  T::Fields(aValue, [&](const char* aName, auto& aField) {
    if (aJson.is_array()) {
      // An older writer omits the last fields, which keep their defaults.
      ok = ok && (index >= aJson.size() || Decode(aJson[index], aField));
      ++index;
      return;
    }
    const Json::const_iterator it = aJson.find(aName);
    ok = ok && (it == aJson.end() || Decode(*it, aField));
  });
  return ok;
}

/// Decodes \p aJson, encoded in either style, into \p aValue. Returns false and leaves \p aValue in
/// an unspecified state if a type does not match. Thread-safe.
template<typename T>
bool
Decode(const Json& aJson, T& aValue)
{
  if constexpr (HasFields<T>) {
    return DecodeFields(aJson, aValue);
  } else if constexpr (IsVector<T>::value) {
    if (!aJson.is_array()) {
      return false;
    }
    aValue.resize(aJson.size());
    for (size_t i = 0; i < aJson.size(); ++i) {
      if (!Decode(aJson[i], aValue[i])) {
        return false;
      }
    }
    return true;
  } else if constexpr (IsOptional<T>::value) {
    if (aJson.is_null()) {
      aValue.reset();
      return true;
    }
    return Decode(aJson, aValue.emplace());
  } else if constexpr (IsVariant<T>::value) {
    return aJson.is_array() && aJson.size() == 2 && aJson[0].is_number_unsigned() &&
           DecodeAlternative(aJson[1], aJson[0].get<size_t>(), aValue);
  } else if constexpr (std::is_enum_v<T>) {
    std::underlying_type_t<T> number{};
    const bool ok = Decode(aJson, number);
    aValue = static_cast<T>(number);
    return ok;
  } else if constexpr (std::is_same_v<T, bool>) {
    if (!aJson.is_boolean()) {
      return false;
    }
    aValue = aJson.get<bool>();
    return true;
  } else if constexpr (std::is_arithmetic_v<T>) {
    if (!aJson.is_number()) {
      return false;
    }
    aValue = aJson.get<T>();
    return true;
  } else {
    if (!aJson.is_string()) {
      return false;
    }
    aValue = aJson.get<T>();
    return true;
  }
}

} // namespace egretturn
