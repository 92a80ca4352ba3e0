#pragma once

#include "http.h"
#include "record.h"

#include <atomic>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// The stand-in of an application backend beside a sidecar daemon. Requests
/// run for a fixed time, as many at once as it has slots.
class Backend {
public:
  /// A request that the backend has begun to work on.
  struct Run {
    Time At;
    std::string RequestId;
    std::string Path;
    std::size_t BodyBytes = 0;
  };

  Backend(std::string Ip, std::string Service, std::string Id, Record &Out);
  ~Backend();
  Backend(const Backend &) = delete;
  Backend &operator=(const Backend &) = delete;

  /// Listens and sends heartbeats. Returns false if the address is in use.
  bool start();
  /// Ends at once, as a crash does.
  void stop();
  /// Stops sending heartbeats.
  void endHeartbeats();
  /// Sends Instances.Leave; its health check fails from now on. Returns whether
  /// it was acknowledged.
  bool leave();
  void setWork(milliseconds Work) { this->WorkMs = Work.count(); }

  /// Takes a heartbeat without sending it, as a network that delays it does.
  HttpRequest takeHeartbeat();
  /// Delivers a heartbeat; returns the status of the answer.
  int deliver(const HttpRequest &Heartbeat) const;

  const std::string &id() const { return this->Id; }
  std::vector<Run> runs();

private:
  struct Connection {
    explicit Connection(Socket TheSocket) : Stream(std::move(TheSocket)) {}
    Socket Stream;
    std::thread Thread;
  };

  void accept();
  void serve(const Socket &Stream);
  std::string answer(const HttpMessage &Request);
  void work();
  void beat();
  std::string load() const;

  std::string Ip;
  std::string Service;
  std::string Id;
  Record &Out;
  long long BornMs;
  std::atomic<long long> WorkMs{20};
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Leaving{false};
  std::atomic<bool> Beats{true};
  std::atomic<int> Sequence{0};
  std::atomic<int> Running{0};
  Socket Listener;
  std::mutex Mutex;
  std::condition_variable SlotFree;
  std::vector<Run> Runs;
  std::list<Connection> Connections;
  std::thread Acceptor;
  std::thread Heart;
};

} // namespace review
