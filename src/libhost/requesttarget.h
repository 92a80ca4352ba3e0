#pragma once

#include "httpserver.h"

#include <string>

namespace persimmon {

/// Returns the job that a caller's request asks for: the host of its target
/// without the port, in lower case. A target in absolute form is replaced by
/// its path and query, and its host goes before the Host header and replaces it
/// (RFC 9112, 3.2.2). Errors: RequestMalformed.
leaf::result<std::string> takeJob(HttpRequest &Request);

} // namespace persimmon
