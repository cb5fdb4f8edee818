// Deterministic random numbers and hashes. The caller always provides the seed.
#pragma once

#include <cassert>
#include <cstdint>
#include <string_view>

namespace egretturn {

/// Mixes the bits of \p aValue with the finalizer of SplitMix64.
constexpr uint64_t
Mix(uint64_t aValue)
{
  aValue += 0x9e3779b97f4a7c15ULL;
  aValue = (aValue ^ (aValue >> 30)) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ (aValue >> 27)) * 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31);
}

/// Hashes \p aBytes with FNV-1a and Mix(). The result is the same in every process and build.
constexpr uint64_t
HashBytes(std::string_view aBytes, uint64_t aSeed = 0xcbf29ce484222325ULL)
{
  uint64_t hash = aSeed;
  for (char c : aBytes) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  }
  return Mix(hash);
}

/// A deterministic pseudo-random number generator. Not thread-safe.
class Random
{
public:
  explicit Random(uint64_t aSeed)
    : m_state(Mix(aSeed)) // mixed, so that consecutive seeds do not share a sequence
  {
  }

  /// Returns the next 64 random bits.
  uint64_t Next() { return Mix(m_state++); }

  /// Returns an integer in [0, \p aBound). \pre \p aBound > 0.
  uint64_t Below(uint64_t aBound)
  {
    assert(aBound > 0 && "the bound must be positive");
    return Next() % aBound;
  }

  /// Returns a real number in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

private:
  uint64_t m_state;
};

} // namespace egretturn
