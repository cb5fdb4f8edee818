// Writes structs that list their members in Fields() as MessagePack arrays, and reads them. The
// bytes are those of Encode() with FieldStyle::Compact, without the document in between.
#pragma once

#include "egretturn/Support/Fields.h"
#include "egretturn/Support/MessagePack.h"

#include <limits>

namespace egretturn {

/// Returns the number of members that T lists in Fields().
template<HasFields T>
size_t
CountFields(const T& aValue)
{
  size_t count = 0;
  T::Fields(aValue, [&](const char*, const auto&) { ++count; });
  return count;
}

/// Writes \p aValue. Thread-compatible.
template<typename T>
void
WriteCompact(MessagePackWriter& aWriter, const T& aValue)
{
  if constexpr (HasFields<T>) {
    aWriter.Array(CountFields(aValue));
    T::Fields(aValue, [&](const char*, const auto& aField) { WriteCompact(aWriter, aField); });
  } else if constexpr (IsVector<T>::value) {
    aWriter.Array(aValue.size());
    for (const typename T::value_type& item : aValue) {
      WriteCompact(aWriter, item);
    }
  } else if constexpr (IsOptional<T>::value) {
    if (aValue) {
      WriteCompact(aWriter, *aValue);
    } else {
      aWriter.Nil();
    }
  } else if constexpr (IsVariant<T>::value) {
    aWriter.Array(2);
    aWriter.Unsigned(aValue.index());
    std::visit([&](const auto& aItem) { WriteCompact(aWriter, aItem); }, aValue);
  } else if constexpr (std::is_enum_v<T>) {
    WriteCompact(aWriter, static_cast<std::underlying_type_t<T>>(aValue));
  } else if constexpr (std::is_same_v<T, bool>) {
    aWriter.Bool(aValue);
  } else if constexpr (std::is_floating_point_v<T>) {
    aWriter.Double(aValue);
  } else if constexpr (std::is_unsigned_v<T>) {
    aWriter.Unsigned(aValue);
  } else if constexpr (std::is_integral_v<T>) {
    aWriter.Signed(aValue);
  } else {
    aWriter.Text(aValue);
  }
}

template<typename T>
bool ReadCompact(MessagePackReader& aReader, T& aValue);

/// Reads a number that fits into \p aValue. Returns false otherwise.
template<typename T>
bool
ReadNumber(MessagePackReader& aReader, T& aValue)
{
  if constexpr (std::is_floating_point_v<T>) {
    const std::optional<double> number = aReader.Double();
    aValue = static_cast<T>(number.value_or(0));
    return number.has_value();
  } else if constexpr (std::is_unsigned_v<T>) {
    const std::optional<uint64_t> number = aReader.Unsigned();
    aValue = static_cast<T>(number.value_or(0));
    return number && *number <= std::numeric_limits<T>::max();
  } else {
    const std::optional<int64_t> number = aReader.Signed();
    aValue = static_cast<T>(number.value_or(0));
    return number && *number >= std::numeric_limits<T>::min() &&
           *number <= std::numeric_limits<T>::max();
  }
}

/// Reads the alternative with the index \p aIndex. Returns false for an index out of range.
template<typename Variant, size_t I = 0>
bool
ReadAlternative(MessagePackReader& aReader, size_t aIndex, Variant& aValue)
{
  if constexpr (I >= std::variant_size_v<Variant>) {
    return false;
  } else {
    return aIndex == I ? ReadCompact(aReader, aValue.template emplace<I>())
                       : ReadAlternative<Variant, I + 1>(aReader, aIndex, aValue);
  }
}

/// Reads a struct. An older writer omits the last members, which keep their defaults; a newer one
/// appends members, which are skipped.
template<HasFields T>
bool
ReadStruct(MessagePackReader& aReader, T& aValue)
{
  const std::optional<size_t> size = aReader.Array();
  bool ok = size.has_value();
  size_t index = 0;
  T::Fields(aValue, [&](const char*, auto& aField) {
    ok = ok && (index >= *size || ReadCompact(aReader, aField));
    ++index;
  });
  for (; ok && index < *size; ++index) {
    ok = aReader.Skip();
  }
  return ok;
}

/// Reads \p aValue. Returns false and leaves it in an unspecified state if the next value has
/// another type or does not fit. Thread-compatible.
template<typename T>
bool
ReadCompact(MessagePackReader& aReader, T& aValue)
{
  if constexpr (HasFields<T>) {
    return ReadStruct(aReader, aValue);
  } else if constexpr (IsVector<T>::value) {
    const std::optional<size_t> size = aReader.Array();
    if (!size) {
      return false;
    }
    aValue.clear(); // and not resized: an item takes more memory than the bytes that claim it
    for (size_t i = 0; i < *size; ++i) {
      if (!ReadCompact(aReader, aValue.emplace_back())) {
        return false;
      }
    }
    return true;
  } else if constexpr (IsOptional<T>::value) {
    if (aReader.TryNil()) {
      aValue.reset();
      return true;
    }
    return ReadCompact(aReader, aValue.emplace());
  } else if constexpr (IsVariant<T>::value) {
    const std::optional<size_t> size = aReader.Array();
    const std::optional<uint64_t> index = aReader.Unsigned();
    return size == 2 && index && ReadAlternative(aReader, *index, aValue);
  } else if constexpr (std::is_enum_v<T>) {
    std::underlying_type_t<T> number{};
    const bool ok = ReadCompact(aReader, number);
    aValue = static_cast<T>(number);
    return ok;
  } else if constexpr (std::is_same_v<T, bool>) {
    const std::optional<bool> flag = aReader.Bool();
    aValue = flag.value_or(false);
    return flag.has_value();
  } else if constexpr (std::is_arithmetic_v<T>) {
    return ReadNumber(aReader, aValue);
  } else {
    const std::optional<std::string_view> text = aReader.Text();
    aValue = std::string(text.value_or(std::string_view()));
    return text.has_value();
  }
}

} // namespace egretturn
