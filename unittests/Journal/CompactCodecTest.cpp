// Tests the compact encoding of structs against the documents of the JSON library, which earlier
// versions wrote and read, and against damaged bytes.
#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/Random.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace egretturn;

namespace {

enum class Colour : uint8_t
{
  Red,
  Green,
};

struct Inner
{
  int64_t m_signed = 0;
  std::string m_text;

  bool operator==(const Inner&) const = default;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("signed", aSelf.m_signed);
    aVisit("text", aSelf.m_text);
  }
};

struct Outer
{
  uint64_t m_unsigned = 0;
  uint16_t m_small = 0;
  int m_int = 0;
  double m_real = 0;
  bool m_flag = false;
  Colour m_colour = Colour::Red;
  std::vector<Inner> m_items;
  std::optional<Inner> m_maybe;
  std::variant<Inner, std::string> m_either;

  bool operator==(const Outer&) const = default;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("unsigned", aSelf.m_unsigned);
    aVisit("small", aSelf.m_small);
    aVisit("int", aSelf.m_int);
    aVisit("real", aSelf.m_real);
    aVisit("flag", aSelf.m_flag);
    aVisit("colour", aSelf.m_colour);
    aVisit("items", aSelf.m_items);
    aVisit("maybe", aSelf.m_maybe);
    aVisit("either", aSelf.m_either);
  }
};

/// Returns a number of any length, so that each form of the encoding occurs.
uint64_t
AnyLength(Random& aRandom)
{
  return aRandom.Next() >> aRandom.Below(64);
}

Inner
RandomInner(Random& aRandom)
{
  const int64_t number = static_cast<int64_t>(AnyLength(aRandom) >> 1);
  return { aRandom.Below(2) ? number : -number,
           std::string(aRandom.Below(2) ? aRandom.Below(40) : aRandom.Below(70000), 'x') };
}

Outer
RandomOuter(Random& aRandom)
{
  Outer value;
  value.m_unsigned = AnyLength(aRandom);
  value.m_small = static_cast<uint16_t>(AnyLength(aRandom));
  value.m_int = static_cast<int>(AnyLength(aRandom));
  value.m_real = aRandom.Below(2) ? aRandom.Unit() : static_cast<double>(aRandom.Below(100)) / 4;
  value.m_flag = aRandom.Below(2) == 0;
  value.m_colour = aRandom.Below(2) ? Colour::Red : Colour::Green;
  for (uint64_t i = aRandom.Below(20); i > 0; --i) {
    value.m_items.push_back(RandomInner(aRandom));
  }
  if (aRandom.Below(2)) {
    value.m_maybe = RandomInner(aRandom);
  }
  if (aRandom.Below(2)) {
    value.m_either = std::string("either");
  }
  return value;
}

std::string
PackByDocument(const Outer& aValue)
{
  std::string bytes;
  Json::to_msgpack(Encode(aValue, FieldStyle::Compact), bytes);
  return bytes;
}

} // namespace

// Guards against instances of two versions that do not understand each other's messages or records.
TEST_CASE("the compact encoding is that of the documents of earlier versions")
{
  Random random(1);
  for (int i = 0; i < 300; ++i) {
    const Outer value = RandomOuter(random);
    const std::string bytes = PackCompact(value);
    CHECK((bytes == PackByDocument(value))); // without the bytes in the report
    Outer read;
    REQUIRE(UnpackCompact(bytes, read));
    CHECK(read == value);
  }
}

TEST_CASE("members that another version does not know are left out or keep their defaults")
{
  Inner inner;
  MessagePackWriter older;
  older.Array(1);
  older.Signed(-5);
  REQUIRE(UnpackCompact(older.Take(), inner));
  CHECK(inner.m_signed == -5);
  CHECK(inner.m_text.empty());

  MessagePackWriter newer;
  newer.Array(4);
  newer.Signed(7);
  newer.Text("text");
  newer.Array(2);
  newer.Nil();
  newer.Double(0.1);
  newer.Bool(true);
  REQUIRE(UnpackCompact(newer.Take(), inner));
  CHECK(inner.m_signed == 7);
  CHECK(inner.m_text == "text");
}

// Guards against a message that takes the process down or is read as another one.
TEST_CASE("damaged bytes are refused or read as some value, and never beyond their end")
{
  Random random(2);
  uint64_t refused = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = PackCompact(RandomInner(random)).substr(0, 60);
    for (uint64_t n = random.Below(4); n > 0 && !bytes.empty(); --n) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
    }
    bytes.resize(random.Below(bytes.size() + 1));
    Inner inner;
    Outer outer;
    refused += UnpackCompact(bytes, inner) ? 0 : 1;
    refused += UnpackCompact(bytes, outer) ? 0 : 1;
  }
  CHECK(refused > 1000);
}

TEST_CASE("an array that claims more items than there are bytes is refused before it is allocated")
{
  std::vector<std::string> bytes{ std::string("\xdd\xff\xff\xff\xff", 5),
                                  std::string("\x91\xdb\xff\xff\xff\xff", 6) };
  for (const std::string& one : bytes) {
    Outer outer;
    CHECK_FALSE(UnpackCompact(one, outer));
  }
}

// Guards against a message that makes the process run out of memory.
TEST_CASE("the items of a damaged array are not allocated before they are read")
{
  constexpr uint32_t kClaimed = 1000000;
  std::string bytes("\xdd\x00\x0f\x42\x40", 5); // an array of a million items
  bytes += std::string(kClaimed, '\xc1');       // a byte that no value begins with
  MessagePackReader reader(bytes);
  std::vector<Outer> items;
  CHECK_FALSE(ReadCompact(reader, items));
  CHECK(items.capacity() < 10);
}

TEST_CASE("numbers that do not fit and trailing bytes are refused")
{
  MessagePackWriter writer;
  writer.Array(2);
  writer.Unsigned(1);
  writer.Unsigned(std::numeric_limits<uint16_t>::max() + 1);
  Outer outer;
  CHECK_FALSE(UnpackCompact(writer.Take(), outer));

  MessagePackWriter negative;
  negative.Array(1);
  negative.Signed(-1);
  CHECK_FALSE(UnpackCompact(negative.Take(), outer));

  Inner inner;
  CHECK(UnpackCompact(PackCompact(inner), inner));
  CHECK_FALSE(UnpackCompact(PackCompact(inner) + "x", inner));
}
