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

/// How a stand-in target behaves. The settings under "/standin" change it.
struct StandinOptions {
  std::string Name = "target";
  std::string Listen;
  std::string Daemon;
  std::string Service;
  std::string LogFile;
  /// Where the target sends calls of its own, for chains.
  std::string Callers;
  int Slots = 20;
  int Connections = 100;
  int DelayMs = 0;
  int ColdStartMs = 0;
  bool Well = true;
  bool Failing = false;
  bool Breaking = false;
  bool Shedding = false;
  bool HangingUp = false;
};

/// A target for tests and examples: announces itself to the daemon beside it,
/// answers after a delay, and logs each request that it runs, so that runs can
/// be counted from its side.
class StandinTarget : public HttpHandler {
public:
  /// Opens the port and starts to announce. Errors: PortInUse.
  static leaf::result<std::unique_ptr<StandinTarget>>
  open(asio::io_context &Io, const StandinOptions &Options);

private:
  StandinTarget(asio::io_context &Io, const StandinOptions &Options);

  void onRequest(HttpRequest Request) override;
  void onRequestAborted(std::int64_t Id) override;
  void runRequest(HttpRequest Request);
  void callOnwards(const HttpRequest &Request, int Left);
  void finish(std::int64_t Id, HttpResponse Answer);
  void configure(const HttpRequest &Request);
  void announce();
  void announceEvery();
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
  int MostRunning = 0;
  bool Draining = false;
};

} // namespace persimmon
