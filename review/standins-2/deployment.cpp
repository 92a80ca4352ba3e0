#include "deployment.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *Program = "target/platform/persimmonwheel";
constexpr int InternalPort = 7380;
constexpr int CoreMemoryMb = 256;
constexpr int CoreCount = 3;
constexpr int FirstSidecar = 101;
constexpr milliseconds OperatorTimeout{1000};
constexpr milliseconds RetryPause{100};
constexpr int OperatorTries = 100;

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

std::string field(const std::string &Name, const std::string &Value) {
  return quoted(Name) + ":" + Value;
}

/// Returns a prefix of three bytes whose addresses have the ports free.
std::string findFreePrefix() {
  for (int Try = 0; Try < 100; ++Try) {
    const int Number = static_cast<int>(::getpid()) + Try * 257;
    std::string Prefix = "127." + std::to_string(64 + Number % 128) + "." +
                         std::to_string(Number / 128 % 256) + ".";
    const std::array<int, 5> Ports = {InternalPort, ReadinessPort, ControlPort,
                                      BackendPort, OutboundPort};
    const bool Free = std::all_of(Ports.begin(), Ports.end(), [&](int Port) {
      return Socket::listenOn(Prefix + "1", Port).valid() &&
             Socket::listenOn(Prefix + std::to_string(FirstSidecar), Port)
                 .valid();
    });
    if (Free)
      return Prefix;
  }
  throw std::runtime_error("no free addresses");
}

} // namespace

Deployment::Deployment(const std::vector<std::string> &Services,
                       int TheSidecarMemoryMb, Record &TheRecord)
    : SidecarMemoryMb(TheSidecarMemoryMb), Out(TheRecord) {
  if (::access(Program, X_OK) != 0)
    throw std::runtime_error(std::string(Program) + " is not built");
  std::string Template =
      std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
  if (::mkdtemp(Template.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  this->Folder = Template;
  const std::string Prefix = findFreePrefix();
  const std::array<std::string, 3> Zones = {"zone-a", "zone-b", "zone-c"};
  for (std::size_t I = 0; I < CoreCount; ++I)
    this->Core.push_back({"core-" + std::to_string(I + 1),
                          Prefix + std::to_string(I + 1), Zones[I % 3], "", 0});
  for (std::size_t I = 0; I < Services.size(); ++I)
    this->Sidecars.push_back({"sidecar-" + std::to_string(I + 1),
                              Prefix + std::to_string(FirstSidecar + I),
                              Zones[I % 3], Services[I], 0});
}

Deployment::~Deployment() {
  for (std::vector<Machine> *List : {&this->Core, &this->Sidecars}) {
    for (Machine &Item : *List) {
      if (Item.Process > 0)
        this->kill(Item);
    }
  }
  std::error_code Ignored;
  std::filesystem::remove_all(this->Folder, Ignored);
}

std::string Deployment::settingsOf(const Machine &Item, bool Bootstrap) const {
  const auto At = [&](int Port) {
    return quoted(Item.Ip + ":" + std::to_string(Port));
  };
  std::string Seeds;
  for (const Machine &Seed : this->Core)
    Seeds += (Seeds.empty() ? "" : ",") +
             quoted(Seed.Ip + ":" + std::to_string(ControlPort));
  std::string Text = "{" + field("name", quoted(Item.Name)) + "," +
                     field("availabilityZone", quoted(Item.Zone)) + "," +
                     field("listen", At(InternalPort)) + "," +
                     field("seeds", "[" + Seeds + "]") + "," +
                     field("seedPort", std::to_string(InternalPort)) + "," +
                     field("log", "{\"linesPerSecond\":400}") + ",";
  if (Item.Service.empty())
    return Text + field("role", quoted("control")) + "," +
           field("operators", At(ControlPort)) + "," +
           field("dataFolder", quoted(this->Folder + "/" + Item.Name)) + "," +
           field("found", Bootstrap ? "true" : "false") + "," +
           field("lossesBorne", "1") + "," + field("openTeams", "[\"mesh\"]") +
           "," + field("memoryMb", std::to_string(CoreMemoryMb)) + "," +
           field("stop", "{\"giveUpMs\":5000}") + "}";
  return Text + field("role", quoted("proxy")) + "," +
         field("callers", At(OutboundPort)) + "," +
         field("local", At(ControlPort)) + "," +
         field("readiness", At(ReadinessPort)) + "," +
         field("target", "{" +
                             field("service", quoted("mesh/" + Item.Service)) +
                             "," + field("address", At(BackendPort)) +
                             ",\"probeIntervalMs\":0}") +
         "," + field("stop", "{\"serveOnMs\":2200,\"giveUpMs\":5000}") + "," +
         field("retryBurst", "20") + "," +
         field("memoryMb", std::to_string(this->SidecarMemoryMb)) + "," +
         field("linkMbps", "1000.0") + "}";
}

void Deployment::start(Machine &Item, bool Bootstrap) {
  const std::string File = this->Folder + "/" + Item.Name + ".json";
  std::ofstream(File) << this->settingsOf(Item, Bootstrap);
  const std::string Log = this->logFile(Item);
  const std::string Variable = "PERSIMMONWHEEL_NODE_FILE=" + File;
  const pid_t Child = ::fork();
  if (Child < 0)
    throw std::runtime_error("cannot start a process");
  if (Child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Descriptor =
        ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(Descriptor, STDOUT_FILENO);
    ::dup2(Descriptor, STDERR_FILENO);
    std::array<char *, 2> Arguments = {const_cast<char *>(Program), nullptr};
    std::array<char *, 2> Environment = {const_cast<char *>(Variable.c_str()),
                                         nullptr};
    ::execve(Program, Arguments.data(), Environment.data());
    ::_exit(127);
  }
  Item.Process = Child;
  this->Out.line("platform: started " + Item.Name + " at " + Item.Ip +
                 (Item.Service.empty() ? "" : " for " + Item.Service));
}

void Deployment::startAll() {
  for (Machine &Item : this->Core)
    this->start(Item, true);
  for (Machine &Item : this->Sidecars)
    this->start(Item, true);
}

void Deployment::kill(Machine &Item) {
  if (Item.Process <= 0)
    return;
  ::kill(Item.Process, SIGKILL);
  ::waitpid(Item.Process, nullptr, 0);
  Item.Process = 0;
}

bool Deployment::runs(const Machine &Item) {
  return Item.Process > 0 && ::waitpid(Item.Process, nullptr, WNOHANG) == 0;
}

HttpAnswer Deployment::sendToLeader(const HttpRequest &Request) {
  HttpAnswer Answer;
  for (int Try = 0; Try < OperatorTries; ++Try) {
    std::string Ip = this->Core[static_cast<std::size_t>(Try) % CoreCount].Ip;
    Answer = send(Ip, ControlPort, Request, OperatorTimeout);
    constexpr int Redirect = 307;
    for (int Hop = 0; Hop < 2 && Answer.Status == Redirect; ++Hop) {
      constexpr std::size_t SchemeLength = 7;
      const std::string Location = Answer.Message.header("Location");
      Ip = Location.substr(SchemeLength, Location.rfind(':') - SchemeLength);
      Answer = send(Ip, ControlPort, Request, OperatorTimeout);
    }
    constexpr int FirstServerError = 500;
    if (Answer.Status != 0 && Answer.Status != Redirect &&
        Answer.Status < FirstServerError)
      return Answer;
    std::this_thread::sleep_for(RetryPause);
  }
  return {};
}

int Deployment::replaceConfiguration(const std::string &Text) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/persimmonwheel/Config.Replace";
  Request.Headers = {{"Content-Type", "application/json"}};
  Request.Body = Text;
  const HttpAnswer Answer = this->sendToLeader(Request);
  this->Out.line("operator: sent a configuration of " +
                 std::to_string(Text.size()) + " bytes, answered " +
                 std::to_string(Answer.Status) + " " + Answer.Message.Body);
  return Answer.Status;
}

std::string Deployment::readConfiguration() {
  HttpRequest Request;
  Request.Path = "/persimmonwheel/Config.Get";
  const HttpAnswer Answer = this->sendToLeader(Request);
  this->Out.line("operator: read the configuration, answered " +
                 std::to_string(Answer.Status) + " " + Answer.Message.Body);
  return Answer.Status == 200 ? Answer.Message.Body : "";
}

bool Deployment::isReady(const Machine &Item) const {
  HttpRequest Request;
  Request.Path = "/persimmonwheel/readiness";
  return send(Item.Ip, ReadinessPort, Request, milliseconds(500)).Status == 200;
}

bool Deployment::awaitReady(milliseconds Timeout) {
  const Time Deadline = Clock::now() + Timeout;
  while (Clock::now() < Deadline) {
    if (std::all_of(this->Sidecars.begin(), this->Sidecars.end(),
                    [&](const Machine &Item) { return this->isReady(Item); }))
      return true;
    std::this_thread::sleep_for(RetryPause);
  }
  return false;
}

std::string configurationText(int Version, int BaseVersion,
                              const std::vector<Route> &Routes,
                              const std::vector<std::string> &Services,
                              const std::string &More) {
  std::string Text = "{" + field("version", std::to_string(Version)) + ",";
  std::string List;
  for (const Route &Item : Routes)
    List += (List.empty() ? "{" : ",{") + field("name", quoted(Item.Name)) +
            "," + field("host", quoted(Item.Host)) + "," +
            field("pathPrefix", quoted(Item.PathPrefix)) + "," +
            field("kind", quoted(Item.Kind)) + "," +
            field("timeoutS", formatSeconds(Item.TimeoutS)) + "," +
            field("targetLatencyS", formatSeconds(Item.TimeoutS / 2)) + "," +
            field("priority", "1") + "," +
            field("service", quoted(Item.Service)) + "," +
            field("maxAttempts", "2") + "}";
  Text += field("routes", "[" + List + "]") + ",";
  List.clear();
  for (const std::string &Name : Services)
    List += (List.empty() ? "{" : ",{") + field("name", quoted(Name)) +
            ",\"healthPath\":\"/health\",\"maxConnections\":130,"
            "\"protocol\":\"h1\",\"tls\":false}";
  return Text + field("services", "[" + List + "]") +
         ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
         "\"headerTimeoutS\":3,\"idleTimeoutS\":15}," +
         field("baseVersion", std::to_string(BaseVersion)) + More + "}";
}

} // namespace review
