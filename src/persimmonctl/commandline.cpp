#include "commandline.h"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <map>
#include <sstream>

namespace persimmon {

namespace {

constexpr std::string_view GeneralHelp =
    "Usage: persimmonctl [OPTION]... COMMAND [ARGUMENT]...\n"
    "\n"
    "Reads and changes the settings of persimmonwheel.\n"
    "\n"
    "Commands:\n"
    "  init                form the control instances, once\n"
    "  team NAME           give a team its token\n"
    "  apply FILE          put and delete settings as one change\n"
    "  diff FILE           show what apply would change\n"
    "  put PATH FILE       put one setting\n"
    "  delete PATH         delete one setting\n"
    "  get [PATH]          show settings below a path\n"
    "  status              show leader, versions and convergence\n"
    "  members             show daemons and targets\n"
    "  rollout             order a roll-out, or show the last ones\n"
    "  recover             continue after a quorum of disks was lost\n"
    "\n"
    "Options:\n"
    "  -c, --control LIST  operators' addresses of the control instances,\n"
    "                      IP:PORT, separated by commas; else from the\n"
    "                      environment variable PERSIMMON_CONTROL\n"
    "  -t, --token TOKEN   token; else from PERSIMMON_TOKEN\n"
    "  -T, --team NAME     team of the change; else the first path's team\n"
    "  -i, --change-id ID  resend the change with this id\n"
    "  -w, --wait[=SEC]    wait until the change is in force on every proxy\n"
    "  -j, --json          print JSON\n"
    "      --i-accept-loss confirm recover\n"
    "  -V, --version       print the version and exit\n"
    "  -h, --help          print this text, or that of COMMAND, and exit\n"
    "\n"
    "Exit status: 0 done, 1 refused or failed, 2 wrong use, 3 the outcome is\n"
    "not known yet or the change is not in force yet.\n";

const std::map<std::string, std::string, std::less<>> &commandHelp() {
  static const std::map<std::string, std::string, std::less<>> Texts = {
      {"init",
       "persimmonctl --token ADMIN-TOKEN init\n\nForms the control instances "
       "from the first address of --control and sets the\nadministrator's "
       "token. Works once; the other instances join by themselves.\n"},
      {"team", "persimmonctl --token ADMIN-TOKEN team NAME TEAM-TOKEN\n\nGives "
               "a team its token, which is the right to change its subtree.\n"},
      {"apply",
       "persimmonctl --token TEAM-TOKEN [--wait] apply FILE\n\nFILE is a JSON "
       "object of paths and values; the value null deletes. All paths\nare "
       "changed together or not at all. The versions that are current now "
       "must\nstill be current when the change is run.\n"},
      {"diff", "persimmonctl diff FILE\n\nShows which paths of FILE are new, "
               "changed, deleted or equal.\n"},
      {"put", "persimmonctl --token TEAM-TOKEN put PATH FILE\n\nPuts the JSON "
              "value in FILE at PATH; - reads standard input.\n"},
      {"delete", "persimmonctl --token TEAM-TOKEN delete PATH\n\nDeletes one "
                 "setting. A service that a route uses is not deleted.\n"},
      {"get", "persimmonctl get [PATH]\n\nShows the settings whose path begins "
              "with PATH, with their versions.\n"},
      {"rollout",
       "persimmonctl --token TEAM-TOKEN rollout start TEAM/SERVICE VERSION "
       "SECONDS\npersimmonctl rollout show [TEAM/SERVICE]\n\nOrders that the "
       "calls of a service move to its targets of another version, or\nshows "
       "the last roll-out of each service.\n"},
      {"status", "persimmonctl status\n\nShows the leader, the configuration "
                 "version, and on how many proxies it is in\nforce, with the "
                 "names of those that lag. Exits with 1 without a leader.\n"},
      {"members", "persimmonctl members\n\nShows every daemon with its target, "
                  "as one control instance sees them.\n"},
      {"recover",
       "persimmonctl --token ADMIN-TOKEN --i-accept-loss recover\n\nMakes the "
       "first address of --control the only voter. Use it only if a quorum\n"
       "of disks is lost: what only those disks held is gone. Blank instances "
       "join\nagain by themselves.\n"}};
  return Texts;
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Out;
  std::istringstream In(Text);
  std::string Item;
  while (std::getline(In, Item, ',')) {
    if (!Item.empty())
      Out.push_back(Item);
  }
  return Out;
}

std::string environment(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? std::string() : std::string(Value);
}

constexpr int AcceptLossOption = 1000;
constexpr std::chrono::seconds DefaultWait{30};

} // namespace

leaf::result<CommandLine> CommandLine::parse(std::span<char *> Arguments) {
  const std::array<option, 10> LongOptions = {
      {{"control", required_argument, nullptr, 'c'},
       {"token", required_argument, nullptr, 't'},
       {"team", required_argument, nullptr, 'T'},
       {"change-id", required_argument, nullptr, 'i'},
       {"wait", optional_argument, nullptr, 'w'},
       {"json", no_argument, nullptr, 'j'},
       {"i-accept-loss", no_argument, nullptr, AcceptLossOption},
       {"version", no_argument, nullptr, 'V'},
       {"help", no_argument, nullptr, 'h'},
       {nullptr, 0, nullptr, 0}}};
  CommandLine Out;
  Out.Control = splitList(environment("PERSIMMON_CONTROL"));
  Out.Token = environment("PERSIMMON_TOKEN");
  const Time Now = std::chrono::steady_clock::now();
  int OptionCode = 0;
  while ((OptionCode = getopt_long(static_cast<int>(Arguments.size()),
                                   Arguments.data(), "c:t:T:i:w::jVh",
                                   LongOptions.data(), nullptr)) != -1) {
    switch (OptionCode) {
    case 'c':
      Out.Control = splitList(optarg);
      break;
    case 't':
      Out.Token = optarg;
      break;
    case 'T':
      Out.Team = optarg;
      break;
    case 'i':
      Out.ChangeId = optarg;
      break;
    case 'w':
      Out.Wait = true;
      Out.WaitUntil =
          Now + (optarg == nullptr ? DefaultWait
                                   : std::chrono::seconds(std::atoi(optarg)));
      break;
    case 'j':
      Out.Json = true;
      break;
    case AcceptLossOption:
      Out.AcceptLoss = true;
      break;
    case 'V':
      Out.Version = true;
      break;
    case 'h':
      Out.Help = true;
      break;
    default:
      return fail(ResultCode::UsageError, {}, "see persimmonctl --help");
    }
  }
  for (std::size_t I = static_cast<std::size_t>(optind); I < Arguments.size();
       ++I)
    Out.Operands.emplace_back(Arguments[I]);
  return Out;
}

std::string helpText(const std::string &Command) {
  const auto Found = commandHelp().find(Command);
  return Found == commandHelp().end() ? std::string(GeneralHelp)
                                      : Found->second;
}

} // namespace persimmon
