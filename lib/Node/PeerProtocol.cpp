#include "egretturn/Node/PeerProtocol.h"

#include "egretturn/Support/EnumTable.h"

namespace egretturn {

static constexpr EnumTable<PeerOperation, 10> kPaths{ {
  { PeerOperation::Submit, "/v1/peer/submit" },
  { PeerOperation::Cancel, "/v1/peer/cancel" },
  { PeerOperation::State, "/v1/peer/state" },
  { PeerOperation::Pending, "/v1/peer/pending" },
  { PeerOperation::Ping, "/v1/peer/ping" },
  { PeerOperation::Claim, "/v1/peer/claim" },
  { PeerOperation::Placed, "/v1/peer/placed" },
  { PeerOperation::LinkOrders, "/v1/peer/link/orders" },
  { PeerOperation::LinkResults, "/v1/peer/link/results" },
  { PeerOperation::Follow, "/v1/peer/follow" },
} };

std::string_view
PathOf(PeerOperation aOperation)
{
  return NameIn(kPaths, aOperation);
}

std::optional<PeerOperation>
OperationAt(std::string_view aPath)
{
  return ValueIn(kPaths, aPath);
}

} // namespace egretturn
