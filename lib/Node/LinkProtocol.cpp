#include "egretturn/Node/LinkProtocol.h"

#include "egretturn/Support/EnumTable.h"

namespace egretturn {

static constexpr EnumTable<LinkOrdersOutcome, 4> kOutcomeNames{ {
  { LinkOrdersOutcome::Taken, "taken" },
  { LinkOrdersOutcome::Superseded, "superseded" },
  { LinkOrdersOutcome::Unconfirmed, "unconfirmed" },
  { LinkOrdersOutcome::Invalid, "invalid" },
} };

std::string_view
NameOf(LinkOrdersOutcome aOutcome)
{
  return NameIn(kOutcomeNames, aOutcome);
}

} // namespace egretturn
