#pragma once

#include "http.h"
#include "record.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// One request of a client and what came of it.
struct Call {
  Time SentAt;
  std::string RequestId;
  std::string Path;
  int Status = 0;
  std::string Seal;
};

/// What a client sends again and again, each time with a new id.
struct Load {
  std::string Ip;
  std::string Method = "GET";
  std::string Host;
  std::string PathPrefix;
  std::size_t BodyBytes = 0;
  milliseconds Deadline{1000};
  milliseconds Pause{0};
};

/// Stand-ins of clients, each with a thread of its own.
class Clients {
public:
  explicit Clients(Record &TheRecord) : Out(TheRecord) {}
  ~Clients() { this->stop(); }
  Clients(const Clients &) = delete;
  Clients &operator=(const Clients &) = delete;

  void add(const Load &Wanted);
  void stop();
  std::vector<Call> calls();

private:
  void run(const Load &Wanted);
  Call callOnce(const Load &Wanted);

  Record &Out;
  std::atomic<bool> Stopping{false};
  std::atomic<int> LastId{0};
  std::mutex Mutex;
  std::vector<Call> Calls;
  std::vector<std::thread> Threads;
};

} // namespace review
