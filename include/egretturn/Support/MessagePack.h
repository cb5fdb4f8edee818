// Writes and reads MessagePack values one by one, without an intermediate document.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace egretturn {

/// Appends MessagePack values to a string. Not thread-safe.
class MessagePackWriter
{
public:
  void Nil();
  void Bool(bool aValue);
  void Unsigned(uint64_t aValue);
  void Signed(int64_t aValue);
  void Double(double aValue);
  void Text(std::string_view aValue);

  /// Begins an array; its \p aSize items follow.
  void Array(size_t aSize);

  std::string Take() { return std::move(m_bytes); }

private:
  std::string m_bytes;
};

/// Reads MessagePack values in the order in which they were written. A method returns nothing, and
/// all later ones do as well, if the next value has another type or the bytes end. Not thread-safe.
class MessagePackReader
{
public:
  /// \p aBytes must outlive the reader.
  explicit MessagePackReader(std::string_view aBytes)
    : m_rest(aBytes)
  {
  }

  /// Reads a nil value if the next one is nil. Returns whether it was.
  bool TryNil();

  std::optional<bool> Bool();
  std::optional<uint64_t> Unsigned(); ///< Also of a signed or floating-point type, if it fits.
  std::optional<int64_t> Signed();    ///< Also of another numeric type, if it fits.
  std::optional<double> Double();     ///< Any number.
  std::optional<std::string_view> Text();

  /// Returns the number of items of an array. They follow, and there are enough bytes for them.
  std::optional<size_t> Array();

  /// Skips one value with all that it contains. Returns false if the bytes end before its end.
  bool Skip();

  bool AtEnd() const { return m_rest.empty(); }

private:
  struct Token;

  /// Reads the head of the next value, and the content if it is not a container.
  std::optional<Token> Next();
  std::optional<Token> Fail();

  std::string_view m_rest;
  bool m_failed = false;
};

} // namespace egretturn
