#include "loadgenerator.h"

#include <curl/curl.h>

#include <chrono>
#include <memory>

namespace persimmon {

namespace {

constexpr long CallTimeoutMs = 20'000;

std::size_t append(char *Data, std::size_t Size, std::size_t Count,
                   void *User) {
  static_cast<std::string *>(User)->append(Data, Size * Count);
  return Size * Count;
}

} // namespace

LoadGenerator::LoadGenerator(LoadPlan ThePlan) : Plan(std::move(ThePlan)) {
  for (int Worker = 0; Worker < this->Plan.Workers; ++Worker)
    this->Threads.emplace_back([this, Worker] { this->runWorker(Worker); });
}

LoadGenerator::~LoadGenerator() { this->stop(); }

void LoadGenerator::stop() {
  this->Stopping = true;
  for (std::thread &Item : this->Threads) {
    if (Item.joinable())
      Item.join();
  }
}

void LoadGenerator::runWorker(int Worker) {
  using Clock = std::chrono::steady_clock;
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> Easy(
      curl_easy_init(), &curl_easy_cleanup);
  const std::chrono::duration<double> Pause(this->Plan.Workers /
                                            this->Plan.Rate);
  auto Next = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                 Pause * Worker / this->Plan.Workers);
  for (int Number = 0; !this->Stopping; ++Number) {
    std::this_thread::sleep_until(Next);
    Next = std::max(Clock::now() - std::chrono::milliseconds(100),
                    Next + std::chrono::duration_cast<Clock::duration>(Pause));
    const std::string Id = this->Plan.IdPrefix + "-" + std::to_string(Worker) +
                           "-" + std::to_string(Number);
    const auto Index =
        static_cast<std::size_t>(Worker + Number) % this->Plan.Callers.size();
    const CallResult Result =
        this->callOnce(Easy.get(), Id, this->Plan.Callers[Index]);
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Results.emplace(Id, Result);
  }
}

LoadGenerator::CallResult LoadGenerator::callOnce(void *Handle,
                                                  const std::string &Id,
                                                  const std::string &Caller) {
  CURL *Easy = Handle;
  std::string Body;
  std::string Headers;
  const std::string Path = this->Plan.Path + "/" + Id;
  const std::string Sent(static_cast<std::size_t>(this->Plan.BodyBytes), 'x');
  curl_slist *List =
      curl_slist_append(nullptr, ("Host: " + this->Plan.Job).c_str());
  List = curl_slist_append(List, ("X-Request-Id: " + Id).c_str());
  // The HTTP library of the proxy does not respond to Expect: 100-continue.
  List = curl_slist_append(List, "Expect:");
  if (this->Plan.Keyed)
    List = curl_slist_append(List, ("Idempotency-Key: " + Id).c_str());
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> Owner(
      List, &curl_slist_free_all);
  curl_easy_reset(Easy);
  curl_easy_setopt(Easy, CURLOPT_URL, ("http://" + Caller + Path).c_str());
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, List);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, CallTimeoutMs);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &append);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Body);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &append);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Headers);
  if (this->Plan.Method == "POST") {
    curl_easy_setopt(Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Sent.c_str());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Sent.size()));
  }
  if (curl_easy_perform(Easy) != CURLE_OK)
    return CallResult::Broken;
  long Status = 0;
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  constexpr long Success = 200;
  if (Status != Success)
    return Headers.find("Persimmon-Not-Run: true") != std::string::npos
               ? CallResult::NotRun
               : CallResult::Unknown;
  const std::string Expected = this->Plan.Method + " " + Path + "\n" + Sent;
  return Body == Expected ? CallResult::Ok : CallResult::Crossed;
}

LoadCounts LoadGenerator::count(const std::map<std::string, int> &Runs) const {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  LoadCounts Out;
  for (const auto &[Id, Result] : this->Results) {
    const auto Found = Runs.find(Id);
    const int Times = Found == Runs.end() ? 0 : Found->second;
    Out.Sent += 1;
    Out.Ok += Result == CallResult::Ok ? 1 : 0;
    Out.NotRun += Result == CallResult::NotRun ? 1 : 0;
    Out.Unknown += Result == CallResult::Unknown ? 1 : 0;
    Out.Broken += Result == CallResult::Broken ? 1 : 0;
    Out.Crossed += Result == CallResult::Crossed ? 1 : 0;
    Out.Doubled += Times > 1 ? 1 : 0;
    Out.Lied += Result == CallResult::NotRun && Times > 0 ? 1 : 0;
  }
  return Out;
}

} // namespace persimmon
