#include "descriptorshares.h"

#include <sys/resource.h>

namespace persimmon {

DescriptorShares DescriptorShares::ofProcess() {
  /// The usual limit of a process, if the system names none.
  constexpr rlim_t UsualLimit = 1024;
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    Limit.rlim_cur = UsualLimit;
  return DescriptorShares(static_cast<std::size_t>(Limit.rlim_cur));
}

} // namespace persimmon
