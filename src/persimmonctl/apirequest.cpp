#include "apirequest.h"

#include <curl/curl.h>

#include <memory>

namespace persimmon {

namespace {

constexpr long ConnectTimeoutMs = 1000;
/// Requests are idempotent, so after this time the next instance is tried.
constexpr long AnswerTimeoutMs = 2500;

std::size_t takeBody(char *Data, std::size_t Size, std::size_t Count,
                     void *User) {
  static_cast<std::string *>(User)->append(Data, Size * Count);
  return Size * Count;
}

} // namespace

leaf::result<ApiAnswer> requestApi(const std::string &Method,
                                   const std::string &Address,
                                   const std::string &Path,
                                   const std::string &Token,
                                   const nlohmann::json &Body) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> Easy(
      curl_easy_init(), &curl_easy_cleanup);
  std::string Text;
  const std::string Url = "http://" + Address + Path;
  const std::string Sent = Body.is_null() ? "" : Body.dump();
  curl_slist *List =
      curl_slist_append(nullptr, "Content-Type: application/json");
  if (!Token.empty())
    List = curl_slist_append(List, ("Authorization: Bearer " + Token).c_str());
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> Headers(
      List, &curl_slist_free_all);
  curl_easy_setopt(Easy.get(), CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Easy.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(Easy.get(), CURLOPT_HTTPHEADER, Headers.get());
  curl_easy_setopt(Easy.get(), CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
  curl_easy_setopt(Easy.get(), CURLOPT_TIMEOUT_MS, AnswerTimeoutMs);
  curl_easy_setopt(Easy.get(), CURLOPT_WRITEFUNCTION, &takeBody);
  curl_easy_setopt(Easy.get(), CURLOPT_WRITEDATA, &Text);
  if (Method == "POST") {
    curl_easy_setopt(Easy.get(), CURLOPT_POST, 1L);
    curl_easy_setopt(Easy.get(), CURLOPT_POSTFIELDS, Sent.c_str());
    curl_easy_setopt(Easy.get(), CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Sent.size()));
  }
  const CURLcode Code = curl_easy_perform(Easy.get());
  if (Code != CURLE_OK)
    return fail(ResultCode::Unreachable, Address, curl_easy_strerror(Code));
  long Status = 0;
  curl_easy_getinfo(Easy.get(), CURLINFO_RESPONSE_CODE, &Status);
  ApiAnswer Out;
  Out.Status = static_cast<int>(Status);
  Out.Body = nlohmann::json::parse(Text, nullptr, false);
  if (!Out.Body.is_object())
    return fail(ResultCode::Unreachable, Address,
                "the response is not a JSON object");
  return Out;
}

} // namespace persimmon
