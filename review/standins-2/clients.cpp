#include "clients.h"

#include "deployment.h"

#include <utility>

namespace review {

void Clients::add(const Load &Wanted) {
  this->Threads.emplace_back([this, Wanted] { this->run(Wanted); });
}

void Clients::stop() {
  this->Stopping = true;
  for (std::thread &Item : this->Threads)
    Item.join();
  this->Threads.clear();
}

std::vector<Call> Clients::calls() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Calls;
}

Call Clients::callOnce(const Load &Wanted) {
  Call Out;
  const int Number = ++this->LastId;
  constexpr int IdWidth = 16;
  std::string Digits = std::to_string(Number);
  Out.RequestId = std::string(IdWidth - Digits.size(), '0') + Digits;
  Out.Path = Wanted.PathPrefix + std::to_string(Number);
  HttpRequest Request;
  Request.Method = Wanted.Method;
  Request.Path = Out.Path;
  Request.Headers = {
      {"Host", Wanted.Host},
      {"X-Request-Id", Out.RequestId},
      {"X-Deadline-Ms", std::to_string(Wanted.Deadline.count())}};
  Request.Body.assign(Wanted.BodyBytes, 'b');
  Out.SentAt = Clock::now();
  const HttpAnswer Answer =
      send(Wanted.Ip, OutboundPort, Request, Wanted.Deadline);
  Out.Status = Answer.Status;
  Out.Seal = Answer.Message.header("X-Response-Seal");
  this->Out.line("client at " + Wanted.Ip + ": sent " + Out.RequestId + " at " +
                 formatSeconds(this->Out.secondsAt(Out.SentAt)) + " " +
                 Wanted.Method + " " + Wanted.Host + Out.Path + ", answered " +
                 (Answer.Status != 0 ? std::to_string(Answer.Status)
                  : Answer.Closed    ? "by a closed connection"
                                     : "nothing") +
                 " " + Answer.Message.Body);
  return Out;
}

void Clients::run(const Load &Wanted) {
  while (!this->Stopping) {
    Call Done = this->callOnce(Wanted);
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Calls.push_back(std::move(Done));
    }
    std::this_thread::sleep_for(Wanted.Pause);
  }
}

} // namespace review
