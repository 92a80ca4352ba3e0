#include "allowance.h"

namespace persimmon {

std::int64_t accountNumber(std::string_view Path) {
  constexpr std::uint64_t Mask = 0xffffffff;
  return static_cast<std::int64_t>(hashOf(Path) & Mask);
}

std::uint32_t digestOf(std::int64_t Account, const ShareSize &Share) {
  if (Share.empty())
    return 0;
  const std::int64_t Fields[] = {Account, Share.MilliPerSecond,
                                 Share.MilliDepth};
  return static_cast<std::uint32_t>(hashOf(
      std::string_view(reinterpret_cast<const char *>(Fields), sizeof Fields)));
}

} // namespace persimmon
