#include "apirequest.h"

#include <curl/curl.h>

#include <memory>

namespace persimmon {

namespace {

constexpr long ConnectTimeoutMs = 1000;
/// Requests are idempotent, so after this time the next instance is tried.
constexpr long AnswerTimeoutMs = 2500;

std::size_t appendToBody(char *Data, std::size_t Size, std::size_t Count,
                         void *User) {
  static_cast<std::string *>(User)->append(Data, Size * Count);
  return Size * Count;
}

} // namespace

leaf::result<ApiResponse> requestApi(const std::string &Method,
                                     const std::string &Address,
                                     const std::string &Path,
                                     const std::string &Token,
                                     const nlohmann::json &Body) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> Handle(
      curl_easy_init(), &curl_easy_cleanup);
  std::string ResponseText;
  const std::string Url = "http://" + Address + Path;
  const std::string RequestText = Body.is_null() ? "" : Body.dump();
  curl_slist *HeaderList =
      curl_slist_append(nullptr, "Content-Type: application/json");
  if (!Token.empty())
    HeaderList = curl_slist_append(HeaderList,
                                   ("Authorization: Bearer " + Token).c_str());
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> Headers(
      HeaderList, &curl_slist_free_all);
  curl_easy_setopt(Handle.get(), CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(Handle.get(), CURLOPT_HTTPHEADER, Headers.get());
  curl_easy_setopt(Handle.get(), CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
  curl_easy_setopt(Handle.get(), CURLOPT_TIMEOUT_MS, AnswerTimeoutMs);
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEFUNCTION, &appendToBody);
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEDATA, &ResponseText);
  if (Method == "POST") {
    curl_easy_setopt(Handle.get(), CURLOPT_POST, 1L);
    curl_easy_setopt(Handle.get(), CURLOPT_POSTFIELDS, RequestText.c_str());
    curl_easy_setopt(Handle.get(), CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(RequestText.size()));
  }
  const CURLcode Code = curl_easy_perform(Handle.get());
  if (Code != CURLE_OK)
    return fail(ResultCode::Unreachable, Address, curl_easy_strerror(Code));
  long Status = 0;
  curl_easy_getinfo(Handle.get(), CURLINFO_RESPONSE_CODE, &Status);
  ApiResponse Response;
  Response.Status = static_cast<int>(Status);
  Response.Body = nlohmann::json::parse(ResponseText, nullptr, false);
  if (!Response.Body.is_object())
    return fail(ResultCode::Unreachable, Address,
                "the response is not a JSON object");
  return Response;
}

} // namespace persimmon
