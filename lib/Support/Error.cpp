#include "egretturn/Support/Error.h"

#include "egretturn/Support/EnumTable.h"

#include <cassert>

namespace egretturn {

static constexpr EnumTable<ErrorKind, 7> kErrorNames{ {
  { ErrorKind::BadInput, "bad_input" },
  { ErrorKind::Conflict, "conflict" },
  { ErrorKind::NotFound, "not_found" },
  { ErrorKind::Unavailable, "unavailable" },
  { ErrorKind::Overloaded, "overloaded" },
  { ErrorKind::Corrupt, "corrupt" },
  { ErrorKind::Internal, "internal" },
} };

std::string_view
NameOf(ErrorKind aKind)
{
  return NameIn(kErrorNames, aKind);
}

std::string
Error::Text() const
{
  return m_message + "; " + m_remedy;
}

tl::unexpected<Error>
Fail(ErrorKind aKind, std::string aMessage, std::string aRemedy)
{
  assert(!aRemedy.empty() && "an error must name its remedy");
  return tl::unexpected<Error>(Error{ aKind, std::move(aMessage), std::move(aRemedy) });
}

} // namespace egretturn
