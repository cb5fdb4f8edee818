#include "egretturn/Config/FieldReader.h"

#include <sstream>

namespace egretturn {

FieldReader::FieldReader(const toml::table& aTable,
                         std::string aLocation,
                         bool aWithLines,
                         Errors& aErrors)
  : m_table(aTable)
  , m_location(std::move(aLocation))
  , m_withLines(aWithLines)
  , m_errors(aErrors)
{
}

void
FieldReader::Reject(std::string_view aKey, std::string_view aReason, std::string aRemedy)
{
  std::ostringstream message;
  message << m_location;
  if (m_withLines) {
    const toml::node* node = m_table.get(aKey);
    message << ':' << (node ? node->source() : m_table.source()).begin.line;
  }
  message << ": " << aKey << ": " << aReason;
  m_errors.push_back(Error{ ErrorKind::BadInput, message.str(), std::move(aRemedy) });
}

const toml::node*
FieldReader::Find(std::string_view aKey, bool aRequired)
{
  m_readKeys.emplace(aKey);
  const toml::node* node = m_table.get(aKey);
  if (!node && aRequired) {
    Reject(aKey, "is missing", "add the key " + std::string(aKey));
  }
  return node;
}

std::string
FieldReader::String(std::string_view aKey, const std::optional<std::string>& aDefault)
{
  const toml::node* node = Find(aKey, !aDefault);
  if (!node) {
    return aDefault.value_or("");
  }
  if (const toml::value<std::string>* text = node->as_string()) {
    return text->get();
  }
  Reject(aKey, "is not a string", "write it in quotes");
  return aDefault.value_or("");
}

int64_t
FieldReader::Integer(std::string_view aKey,
                     int64_t aLow,
                     int64_t aHigh,
                     std::optional<int64_t> aDefault)
{
  const int64_t fallback = aDefault.value_or(aLow);
  const toml::node* node = Find(aKey, !aDefault);
  if (!node) {
    return fallback;
  }
  const toml::value<int64_t>* number = node->as_integer();
  const std::string range = std::to_string(aLow) + " to " + std::to_string(aHigh);
  if (!number) {
    Reject(aKey, "is not an integer", "use a whole number from " + range);
    return fallback;
  }
  if (number->get() < aLow || number->get() > aHigh) {
    Reject(aKey, std::to_string(number->get()) + " is out of range", "use a number from " + range);
    return fallback;
  }
  return number->get();
}

double
FieldReader::Number(std::string_view aKey, double aLow, double aHigh, double aDefault)
{
  const toml::node* node = Find(aKey, false);
  if (!node) {
    return aDefault;
  }
  const std::optional<double> number = node->value<double>();
  if (!number || *number < aLow || *number > aHigh) {
    std::ostringstream remedy;
    remedy << "use a number from " << aLow << " to " << aHigh;
    Reject(aKey, number ? "is out of range" : "is not a number", remedy.str());
    return aDefault;
  }
  return *number;
}

bool
FieldReader::Boolean(std::string_view aKey, bool aDefault)
{
  const toml::node* node = Find(aKey, false);
  if (!node) {
    return aDefault;
  }
  if (const toml::value<bool>* flag = node->as_boolean()) {
    return flag->get();
  }
  Reject(aKey, "is not a boolean", "use true or false");
  return aDefault;
}

std::vector<std::string>
FieldReader::Strings(std::string_view aKey, bool aRequired)
{
  std::vector<std::string> values;
  const toml::node* node = Find(aKey, aRequired);
  if (!node) {
    return values;
  }
  const toml::array* items = node->as_array();
  if (!items) {
    Reject(aKey, "is not an array", "use an array of strings such as [\"a\", \"b\"]");
    return values;
  }
  for (const toml::node& item : *items) {
    if (const toml::value<std::string>* text = item.as_string()) {
      values.push_back(text->get());
      continue;
    }
    Reject(aKey, "contains an item that is not a string", "write each item in quotes");
  }
  if (aRequired && values.empty()) {
    Reject(aKey, "is empty", "add at least one item");
  }
  return values;
}

const toml::table*
FieldReader::Table(std::string_view aKey)
{
  const toml::node* node = Find(aKey, false);
  if (!node) {
    return nullptr;
  }
  if (!node->is_table()) {
    Reject(aKey, "is not a table", "write it as a [table]");
  }
  return node->as_table();
}

const toml::array*
FieldReader::Array(std::string_view aKey)
{
  const toml::node* node = Find(aKey, false);
  if (!node) {
    return nullptr;
  }
  if (!node->is_array()) {
    Reject(aKey, "is not an array", "write it as [[tables]] or [\"items\"]");
  }
  return node->as_array();
}

void
FieldReader::RejectUnknown()
{
  for (auto it = m_table.cbegin(); it != m_table.cend(); ++it) {
    const toml::key& key = it->first;
    if (!m_readKeys.contains(key.str())) {
      Reject(key.str(), "is not a known key", "remove it or correct its spelling");
    }
  }
}

} // namespace egretturn
