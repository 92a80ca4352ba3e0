#pragma once

#include "resultcode.h"

#include <boost/leaf.hpp>

#include <type_traits>
#include <utility>

namespace persimmon {

namespace leaf = boost::leaf;

/// Makes the error of a leaf::result from its parts.
inline auto fail(ResultCode Code, std::string Where = {},
                 std::string What = {}) {
  return leaf::new_error(Failure{Code, std::move(Where), std::move(What)});
}

/// Runs \p Function, which returns a leaf::result, and hands its value to
/// \p Accept. Returns the failure, or one with code Ok.
template <typename FunctionT, typename AcceptT>
Failure settle(FunctionT &&Function, AcceptT &&Accept) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Failure> {
        auto Result = Function();
        if (!Result)
          return Result.error();
        if constexpr (std::is_void_v<decltype(Result.value())>)
          Accept();
        else
          Accept(std::move(*Result));
        return Failure{};
      },
      [](const Failure &Error) { return Error; },
      [] {
        return Failure{ResultCode::FrameMalformed, {}, "unexplained error"};
      });
}

} // namespace persimmon
