#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmon {

/// The requests that a load generator sends, and their rate.
struct LoadPlan {
  std::string Name;
  std::vector<std::string> Callers;
  std::string Job;
  std::string Path = "/";
  std::string Method = "GET";
  std::string Target;
  double Rate = 100;
  int Workers = 8;
  int BodyBytes = 0;
  bool Keyed = false;
  /// Prefix of the request ids. Loads with the same prefix send the same calls.
  std::string IdPrefix;
};

/// Numbers of calls by outcome.
struct LoadCounts {
  int Sent = 0;
  int Ok = 0;
  int NotRun = 0;
  int Unknown = 0;
  int Broken = 0;
  int Crossed = 0;
  int Doubled = 0;
  int Lied = 0;
};

/// Sends requests from several threads at a constant rate and checks each
/// response.
class LoadGenerator {
public:
  explicit LoadGenerator(LoadPlan Plan);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;

  /// Stops sending and waits for outstanding responses.
  void stop();

  /// Counts the outcomes. \p Runs holds the executions that targets logged, by
  /// request id.
  LoadCounts count(const std::map<std::string, int> &Runs) const;

private:
  enum class CallResult { Ok, NotRun, Unknown, Broken, Crossed };

  void runWorker(int Worker);
  CallResult callOnce(void *Easy, const std::string &Id,
                      const std::string &Caller);

  LoadPlan Plan;
  std::atomic<bool> Stopping{false};
  mutable std::mutex Lock;
  std::map<std::string, CallResult> Results;
  std::vector<std::thread> Threads;
};

} // namespace persimmon
