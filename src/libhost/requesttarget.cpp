#include "requesttarget.h"

#include "edgeprotocol.h"

#include <array>

namespace persimmon {

namespace {

constexpr std::array<std::string_view, 2> Schemes = {"http://", "https://"};

/// Returns the length of the scheme that begins \p Url; 0 if it has none.
std::size_t schemeLength(std::string_view Url) {
  for (const std::string_view Scheme : Schemes) {
    // Schemes are compared as header names are: without regard to case.
    if (sameHeaderName(Url.substr(0, Scheme.size()), Scheme))
      return Scheme.size();
  }
  return 0;
}

void setHost(std::string Host, HttpRequest &Request) {
  std::erase_if(Request.Headers, [](const wire::Header &Item) {
    return sameHeaderName(Item.Name, "Host");
  });
  Request.Headers.push_back(makeHeader("Host", std::move(Host)));
}

leaf::result<void> toOriginForm(std::size_t AuthorityAt, HttpRequest &Request) {
  const std::size_t PathAt = Request.Url.find_first_of("/?", AuthorityAt);
  std::string Host = Request.Url.substr(AuthorityAt, PathAt - AuthorityAt);
  if (Host.empty() || Host.find('@') != std::string::npos)
    return fail(ResultCode::RequestMalformed, "URL",
                "expected a host without user information");
  std::string Path =
      PathAt == std::string::npos ? "" : Request.Url.substr(PathAt);
  Request.Url = Path.starts_with('/') ? std::move(Path) : "/" + Path;
  setHost(std::move(Host), Request);
  return {};
}

} // namespace

leaf::result<std::string> takeJob(HttpRequest &Request) {
  if (!isVisibleAscii(Request.Url))
    return fail(ResultCode::RequestMalformed, "URL",
                "expected a path of printable characters");
  if (const std::size_t AuthorityAt = schemeLength(Request.Url))
    BOOST_LEAF_CHECK(toOriginForm(AuthorityAt, Request));
  if (!Request.Url.starts_with('/'))
    return fail(ResultCode::RequestMalformed, "URL",
                "expected a path that starts with '/'");
  const std::string_view Host = Request.header("Host");
  std::string Job = toLowerCase(Host.substr(0, Host.find(':')));
  if (Job.empty() || !isVisibleAscii(Job))
    return fail(ResultCode::RequestMalformed, "Host",
                "the header is missing, empty or not printable");
  return Job;
}

} // namespace persimmon
