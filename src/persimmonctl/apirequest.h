#pragma once

#include "libpersimmon/libpersimmon.h"

#include <nlohmann/json.hpp>

#include <string>

namespace persimmon {

/// Response of a control instance.
struct ApiResponse {
  int Status = 0;
  nlohmann::json Body;
};

/// Sends an HTTP request to a control instance. A null \p Body sends none.
/// Errors: Unreachable.
leaf::result<ApiResponse> requestApi(const std::string &Method,
                                     const std::string &Address,
                                     const std::string &Path,
                                     const std::string &Token,
                                     const nlohmann::json &Body);

} // namespace persimmon
