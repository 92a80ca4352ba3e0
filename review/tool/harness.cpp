#include "harness.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace fs = std::filesystem;

namespace {

constexpr int MaxRedirects = 2;
constexpr std::size_t ReadBytes = 16U << 10U;
/// Share of a core that the settings name; nothing enforces it here.
constexpr const char *CpuShare = "0.2";

std::uint64_t randomNumber() {
  static std::mutex Lock;
  static std::mt19937_64 Source{std::random_device{}()};
  const std::lock_guard<std::mutex> Held(Lock);
  return Source();
}

std::string lower(std::string_view Text) {
  std::string Out(Text);
  for (char &C : Out)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Out;
}

sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Out.sin_addr);
  return Out;
}

int msLeft(Clock::time_point Until) {
  const auto Left =
      std::chrono::duration_cast<Ms>(Until - Clock::now()).count();
  return Left < 0 ? 0 : static_cast<int>(Left);
}

bool waitFor(int Socket, short Events, Clock::time_point Until) {
  pollfd Item{Socket, Events, 0};
  return ::poll(&Item, 1, msLeft(Until)) > 0;
}

int listenOn(const std::string &Ip, int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int Yes = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
  const sockaddr_in Address = addressOf(Ip, Port);
  constexpr int Backlog = 128;
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
      ::listen(Socket, Backlog) != 0) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

bool sendAll(int Socket, std::string_view Bytes, Clock::time_point Until) {
  while (!Bytes.empty()) {
    const ssize_t Sent =
        ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent > 0) {
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
      continue;
    }
    if (errno != EAGAIN || !waitFor(Socket, POLLOUT, Until))
      return false;
  }
  return true;
}

/// Reads messages with a length from a connection.
class MessageReader {
public:
  explicit MessageReader(int TheSocket) : Socket(TheSocket) {}

  /// Returns whether a whole message came.
  bool next(Message &Out, Clock::time_point Until) {
    std::size_t End = 0;
    while ((End = this->Bytes.find("\r\n\r\n")) == std::string::npos) {
      if (!this->more(Until))
        return false;
    }
    Out = Message();
    std::istringstream Head(this->Bytes.substr(0, End));
    std::getline(Head, Out.First);
    std::string Line;
    while (std::getline(Head, Line)) {
      const std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::string Value = Line.substr(Colon + 1);
      Value.erase(0, Value.find_first_not_of(' '));
      while (!Value.empty() && Value.back() == '\r')
        Value.pop_back();
      Out.Fields.emplace_back(Line.substr(0, Colon), Value);
    }
    this->Bytes.erase(0, End + 4);
    const std::size_t Size =
        std::strtoul(Out.field("Content-Length").c_str(), nullptr, 10);
    while (this->Bytes.size() < Size) {
      if (!this->more(Until))
        return false;
    }
    Out.Body = this->Bytes.substr(0, Size);
    this->Bytes.erase(0, Size);
    return true;
  }

private:
  bool more(Clock::time_point Until) {
    if (!waitFor(this->Socket, POLLIN, Until))
      return false;
    std::string Buffer(ReadBytes, '\0');
    const ssize_t Got = ::recv(this->Socket, Buffer.data(), Buffer.size(), 0);
    if (Got <= 0)
      return false;
    this->Bytes.append(Buffer.data(), static_cast<std::size_t>(Got));
    return true;
  }

  int Socket;
  std::string Bytes;
};

/// The fields that a settings template may name.
struct TemplateFields {
  std::map<std::string, std::string> Values;
  std::map<std::string, std::vector<std::string>> Lists;
};

/// Fills in a template as the page on the deploy file describes it.
class TemplateText {
public:
  TemplateText(std::string_view TheText, const TemplateFields &TheFields)
      : Text(TheText), Fields(TheFields) {}

  std::string render() { return this->renderUntil("", nullptr, 0, 0); }

private:
  std::string valueOf(std::string Name, const std::string *Item,
                      std::size_t Index, std::size_t Count) const {
    if (Name == ".")
      return Item == nullptr ? "" : *Item;
    if (Name == ",")
      return Index + 1 < Count ? "," : "";
    const bool AsJson = Name.ends_with("|json");
    if (AsJson)
      Name.resize(Name.size() - std::string_view("|json").size());
    const auto Value = this->Fields.Values.find(Name);
    if (Value != this->Fields.Values.end())
      return AsJson ? "\"" + Value->second + "\"" : Value->second;
    const std::size_t Dot = Name.rfind('.');
    if (Dot == std::string::npos)
      return "";
    const auto List = this->Fields.Lists.find(Name.substr(0, Dot));
    const std::size_t At = std::strtoul(&Name[Dot + 1], nullptr, 10);
    return List == this->Fields.Lists.end() || At >= List->second.size()
               ? ""
               : List->second[At];
  }

  std::string section(const std::string &Name, bool Inverted) {
    const auto List = this->Fields.Lists.find(Name);
    const std::string Value = this->valueOf(Name, nullptr, 0, 0);
    const bool Present = List != this->Fields.Lists.end() ||
                         (!Value.empty() && Value != "false");
    const std::size_t Begin = this->Position;
    std::string Out;
    const std::size_t Count =
        List == this->Fields.Lists.end() ? 1 : List->second.size();
    for (std::size_t I = 0; Present && !Inverted && I < Count; ++I) {
      this->Position = Begin;
      const std::string *Item =
          List == this->Fields.Lists.end() ? nullptr : &List->second[I];
      Out += this->renderUntil(Name, Item, I, Count);
    }
    if (!Present || Inverted || Count == 0) {
      const std::string Skipped = this->renderUntil(Name, nullptr, 0, 0);
      if (Inverted && !Present)
        Out = Skipped;
    }
    return Out;
  }

  std::string renderUntil(const std::string &Closing, const std::string *Item,
                          std::size_t Index, std::size_t Count) {
    std::string Out;
    while (this->Position < this->Text.size()) {
      const std::size_t Open = this->Text.find("{{", this->Position);
      if (Open == std::string_view::npos)
        break;
      Out += this->Text.substr(this->Position, Open - this->Position);
      const std::size_t Close = this->Text.find("}}", Open);
      const std::string Name(this->Text.substr(Open + 2, Close - Open - 2));
      this->Position = Close + 2;
      if (Name == "/" + Closing)
        return Out;
      if (Name.starts_with('#') || Name.starts_with('^'))
        Out += this->section(Name.substr(1), Name[0] == '^');
      else
        Out += this->valueOf(Name, Item, Index, Count);
    }
    Out += this->Text.substr(this->Position);
    this->Position = this->Text.size();
    return Out;
  }

  std::string_view Text;
  const TemplateFields &Fields;
  std::size_t Position = 0;
};

std::string readFile(const std::string &Name) {
  std::ifstream In(Name, std::ios::binary);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

std::string endpoint(const std::string &Ip, int Port) {
  return Ip + ":" + std::to_string(Port);
}

} // namespace

std::string newId() {
  std::ostringstream Out;
  Out << std::hex << (randomNumber() | (1ULL << 63U));
  return Out.str();
}

long long unixMs() {
  return std::chrono::duration_cast<Ms>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool waitUntil(const std::function<bool()> &Done, Ms Limit) {
  const auto Until = Clock::now() + Limit;
  while (!Done()) {
    if (Clock::now() >= Until)
      return false;
    rest(Ms(20));
  }
  return true;
}

double Record::seconds() const {
  return std::chrono::duration<double>(Clock::now() - this->Start).count();
}

void Record::line(const std::string &Text) {
  const std::lock_guard<std::mutex> Held(this->Lock);
  std::array<char, 16> Time{};
  std::snprintf(Time.data(), Time.size(), "%8.3f ", this->seconds());
  this->Out << Time.data() << Text << '\n' << std::flush;
}

std::string Message::field(std::string_view Name) const {
  for (const auto &[Key, Value] : this->Fields) {
    if (lower(Key) == lower(Name))
      return Value;
  }
  return {};
}

Answer call(const std::string &Ip, int Port, const std::string &Method,
            const std::string &Path, const Headers &Fields,
            const std::string &Body, Ms Timeout) {
  const auto Until = Clock::now() + Timeout;
  Answer Out;
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in Address = addressOf(Ip, Port);
  (void)::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                  sizeof(Address));
  std::string Request = Method + " " + Path + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Fields)
    Request.append(Name).append(": ").append(Value).append("\r\n");
  if (Method == "POST")
    Request += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Request += "\r\n" + Body;
  MessageReader Reader(Socket);
  if (waitFor(Socket, POLLOUT, Until) && sendAll(Socket, Request, Until) &&
      Reader.next(Out.Content, Until))
    Out.Status = std::atoi(
        Out.Content.First.substr(Out.Content.First.find(' ') + 1).c_str());
  ::close(Socket);
  return Out;
}

Platform::Platform(std::string TheRoot, std::string TheFolder, Record &TheLog)
    : Root(std::move(TheRoot)), Folder(std::move(TheFolder)), Log(TheLog) {
  constexpr int FirstPort = 20000;
  constexpr int PortRange = 8000;
  const auto Number = randomNumber();
  this->Network = "127." + std::to_string(20 + Number % 200) + "." +
                  std::to_string(1 + (Number >> 8U) % 250) + ".";
  const int Base = FirstPort + static_cast<int>((Number >> 16U) % PortRange);
  this->ControlPort = Base;
  this->InternalPort = Base + 1;
  this->ReadinessPort = Base + 2;
  this->InboundPort = Base + 3;
  this->OutboundPort = Base + 4;
  this->AppPort = Base + 5;
}

Platform::~Platform() {
  for (const auto &Item : this->Machines)
    this->kill(*Item);
}

Machine &Platform::add(const std::string &Class, const std::string &Zone) {
  auto New = std::make_unique<Machine>();
  New->Ip = this->Network + std::to_string(++this->LastHost);
  New->Class = Class;
  New->Zone = Zone;
  New->Name = Class + "-" + Zone + "-" + std::to_string(this->LastHost);
  New->SettingsFile = this->Folder + "/" + New->Name + ".settings";
  if (Class == "core") {
    New->DataFolder = this->Folder + "/" + New->Name + ".data";
    fs::create_directories(New->DataFolder);
  }
  this->Machines.push_back(std::move(New));
  return *this->Machines.back();
}

Machine &Platform::addCore(const std::string &Zone) {
  Machine &Out = this->add("core", Zone);
  constexpr std::size_t MaxSeeds = 3;
  if (this->SeedIps.size() < MaxSeeds)
    this->SeedIps.push_back(Out.Ip);
  return Out;
}

Machine &Platform::addSide(const std::string &Zone,
                           const std::string &Service) {
  Machine &Out = this->add("sidecar", Zone);
  Out.Service = Service;
  return Out;
}

void Platform::removeFromSeeds(const std::string &Ip) {
  std::erase(this->SeedIps, Ip);
}

std::string Platform::renderSettings(const Machine &Item) const {
  const bool Core = Item.Class == "core";
  TemplateFields Fields;
  auto &Values = Fields.Values;
  Values["nodeName"] = Item.Name;
  Values["role"] = Core ? "control" : "proxy";
  Values["machineClass"] = Item.Class;
  Values["ip"] = Item.Ip;
  Values["zone"] = Item.Zone;
  Values["region"] = "region";
  Values["listen.control"] = endpoint(Item.Ip, this->ControlPort);
  Values["bootstrap"] = Item.Bootstrap ? "true" : "false";
  Values["inLossBudget"] = Core ? "true" : "false";
  Values["limits.cpuShare"] = CpuShare;
  Values["limits.cores"] = "1";
  Values["limits.memoryMb"] = "256";
  Values["limits.maxFds"] = "4096";
  Values["limits.linkMbps"] = "1000.0";
  Values["limits.diskMb"] = Core ? "256" : "0";
  Values["discovery"] = "local";
  Values["entry"] = "local";
  Values["heartbeatS"] = "1.5";
  Values["faultTolerance.machines"] = "1";
  Values["faultTolerance.zones"] = "0";
  Values["faultTolerance.regions"] = "0";
  Fields.Lists["internalPorts"] = {std::to_string(this->InternalPort),
                                   std::to_string(this->InternalPort)};
  for (const std::string &Ip : this->SeedIps)
    Fields.Lists["seeds"].push_back(endpoint(Ip, this->ControlPort));
  if (Core) {
    Values["dataDir"] = Item.DataFolder;
  } else {
    Values["listen.outbound"] = endpoint(Item.Ip, this->OutboundPort);
    Values["listen.inbound"] = endpoint(Item.Ip, this->InboundPort);
    Values["listen.readinessAddress"] = endpoint(Item.Ip, this->ReadinessPort);
    Values["appAddress"] = endpoint(Item.Ip, this->AppPort);
    Values["service"] = Item.Service;
  }
  const std::string Text =
      readFile(this->Root + (Core ? "/deploy/control.template.json"
                                  : "/deploy/proxy.template.json"));
  return TemplateText(Text, Fields).render();
}

void Platform::start(Machine &Item) {
  std::ofstream(Item.SettingsFile) << this->renderSettings(Item);
  const std::string Program = this->Root + "/target/platform/persimmonwheel";
  const std::string LogFile = this->Folder + "/" + Item.Name + ".log";
  const std::string Variable = "PERSIMMONWHEEL_NODE_FILE=" + Item.SettingsFile;
  const pid_t Process = ::fork();
  if (Process == 0) {
    // Ends with the case, also when that is stopped.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Out = ::open(LogFile.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(Out, STDOUT_FILENO);
    ::dup2(Out, STDERR_FILENO);
    if (::chdir(this->Root.c_str()) != 0)
      ::_exit(NotRun);
    std::string Arguments = Program;
    std::string Environment = Variable;
    std::array<char *, 2> ArgumentList = {Arguments.data(), nullptr};
    std::array<char *, 2> EnvironmentList = {Environment.data(), nullptr};
    ::execve(Program.c_str(), ArgumentList.data(), EnvironmentList.data());
    ::_exit(NotRun);
  }
  Item.Process = Process;
  Item.Signalled = false;
  this->Log.line("platform starts " + Item.Name + " at " + Item.Ip);
}

void Platform::signal(Machine &Item, int Number) {
  Item.Signalled = true;
  if (Item.Process > 0)
    ::kill(Item.Process, Number);
  this->Log.line("platform sends signal " + std::to_string(Number) + " to " +
                 Item.Name);
}

void Platform::kill(Machine &Item) {
  if (Item.Process <= 0)
    return;
  ::kill(Item.Process, SIGKILL);
  ::waitpid(Item.Process, nullptr, 0);
  Item.Process = -1;
  this->Log.line("platform killed " + Item.Name);
}

void Platform::loseDisk(Machine &Item) {
  this->kill(Item);
  std::error_code Ignored;
  fs::remove_all(Item.DataFolder, Ignored);
  fs::create_directories(Item.DataFolder);
  Item.Bootstrap = false;
  this->Log.line("the disk of " + Item.Name + " is lost");
}

bool Platform::enforceMemory(Machine &Item) {
  if (Item.Process <= 0)
    return false;
  const std::string Status =
      readFile("/proc/" + std::to_string(Item.Process) + "/status");
  constexpr std::string_view Key = "VmRSS:";
  const std::size_t Found = Status.find(Key);
  if (Found == std::string::npos)
    return false;
  constexpr long KbPerMb = 1024;
  const long UsedKb = std::strtol(&Status[Found + Key.size()], nullptr, 10);
  if (UsedKb <= CoreMemoryMb * KbPerMb)
    return false;
  this->Log.line(Item.Name + " uses " + std::to_string(UsedKb / KbPerMb) +
                 " MB of " + std::to_string(CoreMemoryMb));
  this->kill(Item);
  Item.OwnEnds += 1;
  return true;
}

bool Platform::running(Machine &Item) {
  if (Item.Process <= 0)
    return false;
  int Status = 0;
  if (::waitpid(Item.Process, &Status, WNOHANG) == 0)
    return true;
  Item.Process = -1;
  if (Item.Signalled) {
    this->Log.line(Item.Name + " ended after a signal");
    return false;
  }
  Item.OwnEnds += 1;
  this->Log.line(Item.Name + " ended by itself, wait status " +
                 std::to_string(Status) + ", end " +
                 std::to_string(Item.OwnEnds));
  return false;
}

Answer Operator::send(const std::string &Ip, const std::string &Method,
                      const std::string &Path, const std::string &Body,
                      std::string &AnsweredBy) {
  std::string To = Ip;
  Answer Out;
  // More than a second for large bodies.
  constexpr std::size_t LargeBody = 100'000;
  const Ms Timeout = Body.size() > LargeBody ? Ms(3000) : Ms(1000);
  for (int I = 0; I <= MaxRedirects; ++I) {
    AnsweredBy = To;
    Out = call(To, this->Target.ControlPort, Method, Path,
               {{"Host", endpoint(To, this->Target.ControlPort)},
                {"Content-Type", "application/json"}},
               Body, Timeout);
    constexpr int Redirect = 307;
    if (Out.Status != Redirect)
      return Out;
    const std::string Url = Out.Content.field("Location");
    const std::size_t Begin = std::string_view("http://").size();
    To = Url.substr(Begin, Url.find(':', Begin) - Begin);
  }
  return Out;
}

OrderResult Operator::repeat(const std::string &Method, const std::string &Path,
                             const std::string &Body, const std::string &Name,
                             Ms Limit, std::string &AnswerBody) {
  const auto Until = Clock::now() + Limit;
  constexpr Ms LongestPause{1000};
  Ms Pause{100};
  OrderResult Out;
  int Denials = 0;
  while (Clock::now() < Until) {
    std::vector<std::string> Ips;
    for (const auto &Item : this->Target.Machines) {
      if (Item->Class == "core" && Item->Process > 0)
        Ips.push_back(Item->Ip);
    }
    Out.Tries += 1;
    if (!Ips.empty()) {
      const Answer Reply = this->send(Ips[this->Next++ % Ips.size()], Method,
                                      Path, Body, Out.Ip);
      this->Log.line(
          "operator: " + Name + " to " + Out.Ip + " -> " +
          (Reply.Status == 0 ? "no answer" : std::to_string(Reply.Status)));
      AnswerBody = Reply.Content.Body;
      const bool Final = Reply.Status == 200 || Reply.Status == 400 ||
                         Reply.Status == 409 || Reply.Status == 412 ||
                         Reply.Status == 413 || Reply.Status == 422;
      Denials += Reply.Status >= 400 && Reply.Status < 500 ? 1 : 0;
      if (Final || Denials == 3) {
        Out.Status = Reply.Status;
        return Out;
      }
    }
    if (this->BetweenTries)
      this->BetweenTries();
    rest(Pause);
    Pause = std::min(LongestPause, Pause * 2);
  }
  return Out;
}

OrderResult Operator::order(const std::string &Text, const std::string &Name,
                            Ms Limit) {
  std::string Ignored;
  return this->repeat("POST", "/persimmonwheel/Config.Replace", Text, Name,
                      Limit, Ignored);
}

long Operator::read(Ms Limit) {
  std::string Body;
  const OrderResult Result = this->repeat("GET", "/persimmonwheel/Config.Get",
                                          "", "read", Limit, Body);
  constexpr int Success = 200;
  const std::size_t Found = Body.find("\"version\":");
  if (Result.Status != Success || Found == std::string::npos)
    return -1;
  return std::strtol(&Body[Found + std::string_view("\"version\":").size()],
                     nullptr, 10);
}

Backend::Backend(Platform &ThePlatform, const Machine &TheMachine,
                 std::string TheId, long long Born, Record &TheLog)
    : Target(ThePlatform), Host(TheMachine), Id(std::move(TheId)), BornMs(Born),
      Log(TheLog), Listener(listenOn(TheMachine.Ip, ThePlatform.AppPort)) {
  this->Acceptor = std::thread([this] { this->serve(); });
}

Backend::~Backend() {
  this->stopHeartbeats();
  this->Stopping = true;
  this->Acceptor.join();
  for (std::thread &Item : this->Threads)
    Item.join();
  ::close(this->Listener);
}

void Backend::serve() {
  while (!this->Stopping) {
    if (!waitFor(this->Listener, POLLIN, Clock::now() + Ms(100)))
      continue;
    const int Socket =
        ::accept4(this->Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket >= 0)
      this->Threads.emplace_back([this, Socket] {
        this->serveConnection(Socket);
        ::close(Socket);
      });
  }
}

void Backend::serveConnection(int Socket) {
  const int Yes = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof(Yes));
  MessageReader Reader(Socket);
  while (!this->Stopping) {
    Message Request;
    if (!waitFor(Socket, POLLIN, Clock::now() + Ms(100)))
      continue;
    if (!Reader.next(Request, Clock::now() + Ms(1000)))
      return;
    if (!sendAll(Socket, this->respond(Request), Clock::now() + Ms(1000)))
      return;
  }
}

std::string Backend::respond(const Message &Request) {
  const std::string Path = Request.First.substr(
      Request.First.find(' ') + 1,
      Request.First.rfind(' ') - Request.First.find(' ') - 1);
  std::string Out = "X-Server-Load: 1,0,8\r\nKeep-Alive: timeout=10\r\n";
  if (Path == "/health") {
    const std::string Status = this->Leaving ? "503" : "200";
    return "HTTP/1.1 " + Status + " -\r\n" + Out +
           "X-Instance-Id: " + this->Id + "\r\nContent-Length: 0\r\n\r\n";
  }
  const std::string RequestId = Request.field("X-Request-Id");
  Out += "X-Request-Id: " + RequestId + "\r\n";
  const std::string Wanted = Request.field("X-Target-Instance");
  if (!Wanted.empty() && Wanted != this->Id) {
    this->Log.line("backend " + this->Id + " rejects " + RequestId + " for " +
                   Wanted);
    return "HTTP/1.1 421 -\r\n" + Out +
           "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
  this->Log.line("backend " + this->Id + " of " + this->Host.Service +
                 " runs " + RequestId + " " + Path);
  {
    const std::lock_guard<std::mutex> Held(this->Lock);
    this->Done.push_back(
        {this->Log.seconds(), RequestId, Path, this->Host.Service, this->Id});
  }
  rest(this->Work);
  const std::string Body = this->Host.Service + " " + RequestId;
  return "HTTP/1.1 200 -\r\n" + Out + "X-Response-Seal: " + this->Id + "." +
         RequestId + "\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

int Backend::beat(const std::string &State, int Sequence) {
  const std::string Body =
      "{\"service\":\"" + this->Host.Service + "\",\"address\":\"" +
      endpoint(this->Host.Ip, this->Target.AppPort) + "\",\"zone\":\"" +
      this->Host.Zone + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"" +
      State +
      "\",\"coldRemainingS\":0,\"sequence\":" + std::to_string(Sequence) +
      ",\"born\":" + std::to_string(this->BornMs) + "}";
  const Answer Reply =
      call(this->Host.Ip, this->Target.ControlPort, "POST",
           "/persimmonwheel/Instances.Heartbeat/" + this->Id,
           {{"Host", this->Host.Ip}, {"Content-Type", "application/json"}},
           Body, Ms(1000));
  this->Log.line("backend " + this->Id + " heartbeat " +
                 std::to_string(Sequence) + " " + State + " -> " +
                 std::to_string(Reply.Status));
  return Reply.Status;
}

int Backend::leave() {
  const Answer Reply =
      call(this->Host.Ip, this->Target.ControlPort, "POST",
           "/persimmonwheel/Instances.Leave/" + this->Id,
           {{"Host", this->Host.Ip}, {"Content-Type", "application/json"}},
           "{\"born\":" + std::to_string(this->BornMs) + "}", Ms(1000));
  this->Log.line("backend " + this->Id + " leave -> " +
                 std::to_string(Reply.Status));
  return Reply.Status;
}

void Backend::startHeartbeats() {
  this->Beating = true;
  this->Beater = std::thread([this] {
    while (this->Beating) {
      this->beatNext("ready");
      const auto Until = Clock::now() + HeartbeatInterval;
      while (this->Beating && Clock::now() < Until)
        rest(Ms(20));
    }
  });
}

void Backend::stopHeartbeats() {
  this->Beating = false;
  if (this->Beater.joinable())
    this->Beater.join();
}

std::vector<Run> Backend::runs() {
  const std::lock_guard<std::mutex> Held(this->Lock);
  return this->Done;
}

std::string configuration(int Version, int Base, const std::string &Host,
                          const std::vector<RouteText> &Routes,
                          const std::vector<std::string> &Services) {
  std::ostringstream Out;
  Out << "{\"version\":" << Version << ",\"routes\":[";
  const char *Comma = "";
  for (const RouteText &Item : Routes) {
    Out << Comma << "{\"name\":\"" << Item.Name << "\",\"host\":\"" << Host
        << "\",\"pathPrefix\":\"" << Item.Prefix << "\",\"kind\":\""
        << Item.Kind << "\",\"timeoutS\":" << Item.TimeoutS
        << ",\"targetLatencyS\":0.2,\"priority\":2,\"service\":\""
        << Item.Service << "\",\"maxAttempts\":2}";
    Comma = ",";
  }
  Out << "],\"services\":[";
  Comma = "";
  for (const std::string &Name : Services) {
    Out << Comma << "{\"name\":\"" << Name
        << "\",\"healthPath\":\"/health\",\"maxConnections\":130,"
           "\"protocol\":\"h1\",\"tls\":false}";
    Comma = ",";
  }
  Out << "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
         "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"baseVersion\":"
      << Base << "}";
  return Out.str();
}

int runCase(int Count, char **Arguments,
            const std::function<int(const Setup &)> &Case) {
  if (Count != 4)
    return NotRun;
  std::signal(SIGPIPE, SIG_IGN);
  Record Log(Arguments[3]);
  const char *Trouble = std::getenv("TROUBLE");
  const Setup Given{Arguments[1], Arguments[2], Log,
                    Trouble == nullptr || std::string_view(Trouble) != "0"};
  Log.line(Given.Trouble ? "with the disruption" : "without the disruption");
  int Result = NotRun;
  try {
    Result = Case(Given);
  } catch (const std::exception &Error) {
    Log.line(std::string("could not run: ") + Error.what());
  }
  Log.line(Result == Held     ? "the rule held"
           : Result == Broken ? "the rule was broken"
                              : "the case could not run");
  return Result;
}

} // namespace review
