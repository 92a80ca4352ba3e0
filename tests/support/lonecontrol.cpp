#include "lonecontrol.h"

#include <stdexcept>

namespace persimmon {

std::unique_ptr<Node> makeLoneControl(const std::string &Address,
                                      const DurableState &State,
                                      const NodePolicies &Policies, Time Now) {
  NodeIdentity Identity;
  Identity.Name = "control";
  Identity.Address = Address;
  Identity.Incarnation = 1;
  Identity.Seeds = {Address};
  Identity.Voters.Count = 1;
  std::unique_ptr<Node> Out;
  const Failure Error = handleResult(
      [&] {
        return Node::makeControl(Identity, initialVoterAt(Address).DiskId,
                                 State, Policies, Now);
      },
      [&](std::unique_ptr<Node> Made) { Out = std::move(Made); });
  if (Error.failed())
    throw std::runtime_error(describe(Error));
  return Out;
}

} // namespace persimmon
