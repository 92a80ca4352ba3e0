#pragma once

#include "libhost/httpserver.h"
#include "libhost/targetclient.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <fstream>
#include <map>
#include <memory>
#include <string>

namespace persimmon {

/// Options of a stand-in target. POST /standin/set changes its behavior.
struct StandinOptions {
  std::string Name = "target";
  std::string Listen;
  std::string Daemon;
  std::string Service;
  std::string LogFile;
  /// Address to which the target sends the nested calls of a chain.
  std::string Callers;
  int Slots = 20;
  int Connections = 100;
  int DelayMs = 0;
  int ColdStartMs = 0;
  bool Healthy = true;
  bool Failing = false;
  bool Crashing = false;
  bool Shedding = false;
  bool DropsConnections = false;
};

/// A target for tests and examples. Announces itself to its daemon, responds
/// after a delay, and logs each request that it executes, so that executions
/// can be counted on the target.
class StandinTarget : public HttpHandler {
public:
  /// Opens the port and starts announcing. Errors: PortInUse.
  static leaf::result<std::unique_ptr<StandinTarget>>
  open(asio::io_context &Io, const StandinOptions &Options);

private:
  StandinTarget(asio::io_context &Io, const StandinOptions &Options);

  void onRequest(HttpRequest Request) override;
  void onRequestAborted(std::int64_t Id) override;
  void runRequest(HttpRequest Request);
  void callNextHop(const HttpRequest &Request, int HopsLeft);
  void finish(std::int64_t Id, HttpResponse Answer);
  void configure(const HttpRequest &Request);
  void announce();
  void announcePeriodically();
  void watchSignals();
  void log(const std::string &Line);

  asio::io_context &Io;
  StandinOptions Options;
  std::unique_ptr<HttpServer> Port;
  TargetClient Client;
  asio::steady_timer AnnounceTimer;
  asio::signal_set Signals;
  std::ofstream Log;
  std::map<std::int64_t, std::unique_ptr<asio::steady_timer>> Delays;
  std::string AnnouncementBody;
  Time ServingFrom;
  int Running = 0;
  int MaxRunning = 0;
  bool Draining = false;
};

} // namespace persimmon
