#include "egretturn/Support/MessagePack.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

// The library's header replaces `bool` unless it is a macro.
#define bool bool // NOLINT(bugprone-reserved-identifier)
extern "C"
{
#include <mpack.h>
}
#undef bool

namespace egretturn {

static constexpr double kMaxExactDouble = 9007199254740992.0; // 2^53

static constexpr char kNil = '\xc0';

/// Appends the bytes of \p aToken; for text, those of its head.
static void
Append(std::string& aBytes, const mpack_token_t& aToken)
{
  char buffer[MPACK_MAX_TOKEN_LEN];
  char* next = buffer;
  size_t left = sizeof buffer;
  mpack_tokbuf_t state;
  mpack_tokbuf_init(&state);
  mpack_write(&state, &next, &left, &aToken);
  aBytes.append(buffer, sizeof buffer - left);
}

void
MessagePackWriter::Nil()
{
  Append(m_bytes, mpack_pack_nil());
}

void
MessagePackWriter::Bool(bool aValue)
{
  Append(m_bytes, mpack_pack_boolean(aValue ? 1 : 0));
}

void
MessagePackWriter::Unsigned(uint64_t aValue)
{
  Append(m_bytes, mpack_pack_uint(aValue));
}

void
MessagePackWriter::Signed(int64_t aValue)
{
  if (aValue >= 0) {
    Unsigned(static_cast<uint64_t>(aValue));
    return;
  }
  // libmpack 1.0 writes some negative numbers wrongly, such as -129.
  nlohmann::json::to_msgpack(nlohmann::json(aValue), m_bytes);
}

void
MessagePackWriter::Double(double aValue)
{
  Append(m_bytes, mpack_pack_float(aValue));
}

void
MessagePackWriter::Text(std::string_view aValue)
{
  Append(m_bytes, mpack_pack_str(static_cast<uint32_t>(aValue.size())));
  m_bytes.append(aValue);
}

void
MessagePackWriter::Array(size_t aSize)
{
  Append(m_bytes, mpack_pack_array(static_cast<uint32_t>(aSize)));
}

/// One value of the input.
struct MessagePackReader::Token
{
  mpack_token_t m_token;
  std::string_view m_content; ///< Of text, bytes and extensions.

  mpack_token_type_t Type() const { return m_token.type; }
};

std::optional<MessagePackReader::Token>
MessagePackReader::Fail()
{
  m_failed = true;
  m_rest = {};
  return std::nullopt;
}

std::optional<MessagePackReader::Token>
MessagePackReader::Next()
{
  if (m_failed || m_rest.empty()) {
    return Fail();
  }
  Token token{};
  mpack_tokbuf_t state;
  mpack_tokbuf_init(&state);
  const char* next = m_rest.data();
  size_t left = m_rest.size();
  if (mpack_read(&state, &next, &left, &token.m_token) != MPACK_OK) {
    return Fail();
  }
  m_rest.remove_prefix(m_rest.size() - left);
  const mpack_token_type_t type = token.Type();
  const bool container = type == MPACK_TOKEN_ARRAY || type == MPACK_TOKEN_MAP;
  const bool hasContent =
    type == MPACK_TOKEN_STR || type == MPACK_TOKEN_BIN || type == MPACK_TOKEN_EXT;
  // Each item of a container takes a byte at least.
  if ((container || hasContent) && token.m_token.length > m_rest.size()) {
    return Fail();
  }
  if (hasContent) {
    token.m_content = m_rest.substr(0, token.m_token.length);
    m_rest.remove_prefix(token.m_token.length);
  }
  return token;
}

bool
MessagePackReader::TryNil()
{
  if (m_failed || m_rest.empty() || m_rest.front() != kNil) {
    return false;
  }
  m_rest.remove_prefix(1);
  return true;
}

std::optional<bool>
MessagePackReader::Bool()
{
  const std::optional<Token> token = Next();
  if (!token || token->Type() != MPACK_TOKEN_BOOLEAN) {
    Fail();
    return std::nullopt;
  }
  return mpack_unpack_boolean(token->m_token);
}

std::optional<double>
MessagePackReader::Double()
{
  const std::optional<Token> token = Next();
  if (token && token->Type() == MPACK_TOKEN_UINT) {
    return static_cast<double>(mpack_unpack_uint(token->m_token));
  }
  if (token && token->Type() == MPACK_TOKEN_SINT) {
    return static_cast<double>(mpack_unpack_sint(token->m_token));
  }
  if (token && token->Type() == MPACK_TOKEN_FLOAT) {
    return mpack_unpack_float(token->m_token);
  }
  Fail();
  return std::nullopt;
}

std::optional<int64_t>
MessagePackReader::Signed()
{
  const std::optional<Token> token = Next();
  if (token && token->Type() == MPACK_TOKEN_SINT) {
    return mpack_unpack_sint(token->m_token);
  }
  if (token && token->Type() == MPACK_TOKEN_UINT) {
    const uint64_t value = mpack_unpack_uint(token->m_token);
    if (value <= static_cast<uint64_t>(std::numeric_limits<int64_t>::max())) {
      return static_cast<int64_t>(value);
    }
  }
  if (token && token->Type() == MPACK_TOKEN_FLOAT) {
    const double value = mpack_unpack_float(token->m_token);
    if (std::abs(value) <= kMaxExactDouble) {
      return static_cast<int64_t>(value);
    }
  }
  Fail();
  return std::nullopt;
}

std::optional<uint64_t>
MessagePackReader::Unsigned()
{
  const std::string_view before = m_rest;
  const std::optional<Token> token = Next();
  if (token && token->Type() == MPACK_TOKEN_UINT) {
    return mpack_unpack_uint(token->m_token);
  }
  if (!token) {
    return std::nullopt;
  }
  m_rest = before;
  const std::optional<int64_t> value = Signed();
  if (!value || *value < 0) {
    Fail();
    return std::nullopt;
  }
  return static_cast<uint64_t>(*value);
}

std::optional<std::string_view>
MessagePackReader::Text()
{
  const std::optional<Token> token = Next();
  if (!token || token->Type() != MPACK_TOKEN_STR) {
    Fail();
    return std::nullopt;
  }
  return token->m_content;
}

std::optional<size_t>
MessagePackReader::Array()
{
  const std::optional<Token> token = Next();
  if (!token || token->Type() != MPACK_TOKEN_ARRAY) {
    Fail();
    return std::nullopt;
  }
  return token->m_token.length;
}

bool
MessagePackReader::Skip()
{
  for (uint64_t left = 1; left > 0; --left) {
    const std::optional<Token> token = Next();
    if (!token) {
      return false;
    }
    if (token->Type() == MPACK_TOKEN_ARRAY) {
      left += token->m_token.length;
    } else if (token->Type() == MPACK_TOKEN_MAP) {
      left += uint64_t{ 2 } * token->m_token.length;
    }
  }
  return true;
}

} // namespace egretturn
