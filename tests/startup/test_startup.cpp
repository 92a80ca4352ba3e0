#include "support/process.h"
#include "support/temporaryfolder.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <optional>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace persimmon;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds HeldFor{1500};
constexpr std::chrono::seconds StartTimeout{10};
constexpr unsigned short PeerPort = 7100;
constexpr unsigned short OperatorPort = 7101;

/// Settings of a control instance at \p Ip. Each test has its own address, as
/// tests run beside each other.
class ControlFolder {
public:
  explicit ControlFolder(const std::string &Ip) {
    const std::string Peer = Ip + ":" + std::to_string(PeerPort);
    std::ofstream(this->settings())
        << R"({"role":"control","name":"c1","availabilityZone":"z","listen":")"
        << Peer << R"(","operators":")" << Ip << ":" << OperatorPort
        << R"(","controlInstances":[{"name":"c1","address":")" << Peer
        << R"("}],"dataFolder":")" << this->Folder.file("data") << "\"}";
  }

  std::string settings() const { return this->Folder.file("c1.json"); }

  void start(Process &Daemon) const {
    REQUIRE(Daemon.start({DAEMON_PROGRAM, "--settings", this->settings()},
                         this->Folder.file("log")));
  }

  /// Starts the daemon with a limit of \p Descriptors file descriptors.
  void startLimited(Process &Daemon, int Descriptors) const {
    REQUIRE(Daemon.start(
        {"/bin/sh", "-c",
         "ulimit -n " + std::to_string(Descriptors) + "; exec \"$0\" \"$@\"",
         DAEMON_PROGRAM, "--settings", this->settings()},
        this->Folder.file("log")));
  }

private:
  TemporaryFolder Folder;
};

bool answers(const std::string &Ip) {
  asio::io_context Io;
  tcp::socket Socket(Io);
  std::error_code Error;
  Socket.connect({asio::ip::make_address(Ip), OperatorPort}, Error);
  return !Error;
}

/// Returns the processor time that a process has used, in clock ticks.
long processorTicks(pid_t Id) {
  std::ifstream In("/proc/" + std::to_string(Id) + "/stat");
  std::string Field;
  // The fields 14 and 15 are the times in user and in system mode.
  constexpr int UserTimeField = 14;
  for (int I = 1; I < UserTimeField; ++I)
    In >> Field;
  long User = 0;
  long System = 0;
  In >> User >> System;
  return User + System;
}

/// Returns the status line of an answer to a request to the operators' port;
/// empty if none comes.
std::string statusLine(const std::string &Ip) {
  asio::io_context Io;
  tcp::socket Socket(Io);
  std::error_code Error;
  Socket.connect({asio::ip::make_address(Ip), OperatorPort}, Error);
  const std::string Request =
      "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  asio::write(Socket, asio::buffer(Request), Error);
  std::string Out;
  asio::async_read_until(Socket, asio::dynamic_buffer(Out), "\r\n",
                         [](std::error_code, std::size_t) {});
  Io.run_for(StartTimeout);
  return Out.substr(0, Out.find("\r\n"));
}

/// Returns whether \p Daemon accepts connections before the start timeout.
bool starts(Process &Daemon, const std::string &Ip) {
  const auto Deadline = std::chrono::steady_clock::now() + StartTimeout;
  while (std::chrono::steady_clock::now() < Deadline && Daemon.running()) {
    if (answers(Ip))
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

/// Checks that a daemon waits for its addresses and starts after \p Release.
void checkWaits(const ControlFolder &Folder, const std::string &Ip,
                const std::function<void()> &Release) {
  Process Daemon;
  Folder.start(Daemon);
  std::this_thread::sleep_for(HeldFor);
  CHECK(Daemon.running());
  Release();
  CHECK(starts(Daemon, Ip));
}

} // namespace

// Guards against daemons that end because an earlier run has not ended yet
// (Fault).
TEST_CASE("a daemon starts once its ports are free") {
  const std::string Ip = "127.64.0.1";
  for (const unsigned short Port : {PeerPort, OperatorPort}) {
    const ControlFolder Folder(Ip);
    asio::io_context Io;
    std::optional<tcp::acceptor> Holder;
    Holder.emplace(Io, tcp::endpoint(asio::ip::make_address(Ip), Port));
    // The daemon must not inherit the socket.
    REQUIRE(::fcntl(Holder->native_handle(), F_SETFD, FD_CLOEXEC) == 0);
    INFO("port " << Port);
    checkWaits(Folder, Ip, [&] { Holder.reset(); });
  }
}

TEST_CASE("a daemon starts once an earlier run has ended") {
  const std::string Ip = "127.64.0.2";
  const ControlFolder Folder(Ip);
  Process Earlier;
  Folder.start(Earlier);
  REQUIRE(starts(Earlier, Ip));
  checkWaits(Folder, Ip, [&] { Earlier.kill(); });
}

TEST_CASE("a daemon that waits for its ports stops at once") {
  const std::string Ip = "127.64.0.3";
  const ControlFolder Folder(Ip);
  Process Earlier;
  Folder.start(Earlier);
  REQUIRE(starts(Earlier, Ip));
  Process Daemon;
  Folder.start(Daemon);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  Daemon.signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  CHECK(!Daemon.running());
}

// Guards against a daemon that accepts without a pause while it has no file
// descriptors left, which takes the processor from its other work.
TEST_CASE("a daemon without free file descriptors waits and serves again") {
  const std::string Ip = "127.64.0.4";
  constexpr int Descriptors = 64;
  constexpr std::chrono::seconds Observed{2};
  const ControlFolder Folder(Ip);
  Process Daemon;
  Folder.startLimited(Daemon, Descriptors);
  REQUIRE(starts(Daemon, Ip));
  for (const unsigned short Port : {OperatorPort, PeerPort}) {
    asio::io_context Io;
    std::vector<tcp::socket> Clients;
    for (int I = 0; I < 2 * Descriptors; ++I) {
      Clients.emplace_back(Io);
      Clients.back().connect({asio::ip::make_address(Ip), Port});
    }
    const long Before = processorTicks(Daemon.id());
    std::this_thread::sleep_for(Observed);
    const double Used =
        static_cast<double>(processorTicks(Daemon.id()) - Before) /
        static_cast<double>(::sysconf(_SC_CLK_TCK));
    INFO("port " << Port);
    // Without work it uses next to nothing; a tenth of the time is a bound.
    CHECK(Used < 0.1 * static_cast<double>(Observed.count()));
    CHECK(Daemon.running());
  }
  CHECK(statusLine(Ip).starts_with("HTTP/1.1 200"));
}
