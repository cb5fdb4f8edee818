// Base64 for bytes inside JSON text, using the iterators of Boost.Serialization.
#pragma once

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <string>
#include <string_view>

namespace egretturn {

/// Encodes \p aBytes as Base64 without padding. Thread-safe.
inline std::string
ToBase64(std::string_view aBytes)
{
  namespace it = boost::archive::iterators;
  using Encoder = it::base64_from_binary<it::transform_width<const char*, 6, 8>>;
  return std::string(Encoder(aBytes.data()), Encoder(aBytes.data() + aBytes.size()));
}

/// Returns whether \p aText is Base64 without padding. Thread-safe.
inline bool
IsBase64(std::string_view aText)
{
  return aText.size() % 4 != 1 &&
         aText.find_first_not_of(
           "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/") ==
           std::string_view::npos;
}

/// Decodes \p aText, which has no padding. Thread-safe. \pre IsBase64(\p aText).
inline std::string
FromBase64(std::string_view aText)
{
  namespace it = boost::archive::iterators;
  using Decoder = it::transform_width<it::binary_from_base64<const char*>, 8, 6>;
  std::string padded(aText);
  const size_t bytes = aText.size() * 6 / 8;
  padded.append((4 - padded.size() % 4) % 4, 'A');
  std::string out(Decoder(padded.data()), Decoder(padded.data() + padded.size()));
  out.resize(bytes);
  return out;
}

} // namespace egretturn
