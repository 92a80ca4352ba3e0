#pragma once

#include "libpersimmon/node.h"

#include <memory>
#include <string>

namespace persimmon {

/// Makes the control instance of a system that has no other one, with what
/// \p State says of its disk. BootstrapRequested for \p Address forms the
/// system on an empty disk. \p Policies must outlive the result.
std::unique_ptr<Node> makeLoneControl(const std::string &Address,
                                      const DurableState &State,
                                      const NodePolicies &Policies, Time Now);

} // namespace persimmon
