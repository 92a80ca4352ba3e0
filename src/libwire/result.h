#pragma once

#include "resultcode.h"

#include <boost/leaf.hpp>

#include <type_traits>
#include <utility>

namespace persimmon {

namespace leaf = boost::leaf;

/// Creates the error of a leaf::result.
inline auto fail(ResultCode Code, std::string Where = {},
                 std::string What = {}) {
  return leaf::new_error(Failure{Code, std::move(Where), std::move(What)});
}

/// Calls \p Function, which returns a leaf::result, and passes a value to
/// \p Accept. Returns the failure, or a Failure with code Ok on success.
template <typename FunctionT, typename AcceptT>
Failure handleResult(FunctionT &&Function, AcceptT &&Accept) {
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
        return Failure{ResultCode::FrameMalformed, {}, "error without details"};
      });
}

} // namespace persimmon
