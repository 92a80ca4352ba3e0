#include "rollout.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace persimmon {

namespace {

using nlohmann::json;

constexpr std::size_t MaxVersionBytes = 100;
constexpr std::size_t MaxDigestBytes = 200;
constexpr int PerMille = 1000;
constexpr double MinDurationS = 1;
constexpr double MaxDurationS = 86'400;
constexpr double MsPerSecond = 1000;
/// Share of the calls before the rate of the service is known.
constexpr int FirstCanaryPerMille = 20;
constexpr std::string_view DigestSalt = "rollout";

std::string hexOf(std::uint64_t Number) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr int DigitBits = 4;
  constexpr int NumberBits = 24;
  std::string Out;
  for (int Shift = NumberBits - DigitBits; Shift >= 0; Shift -= DigitBits)
    Out += Digits[(Number >> static_cast<unsigned>(Shift)) % Digits.size()];
  return Out;
}

leaf::result<RolloutState> readState(const std::string &Path,
                                     std::string_view Name) {
  for (const RolloutState State :
       {RolloutState::Running, RolloutState::Completed,
        RolloutState::RolledBack}) {
    if (Name == nameOf(State))
      return State;
  }
  return fail(ResultCode::ValueInvalid, Path, "unknown state of a roll-out");
}

leaf::result<RolloutStage> readStage(const std::string &Path,
                                     std::string_view Name) {
  for (const RolloutStage Stage : {RolloutStage::Canary, RolloutStage::Full}) {
    if (Name == nameOf(Stage))
      return Stage;
  }
  return fail(ResultCode::ValueInvalid, Path, "unknown stage of a roll-out");
}

leaf::result<void> checkRollout(const std::string &Path, const Rollout &Item) {
  const bool Valid =
      isValidTargetVersion(Item.Version) &&
      (Item.Established.empty() || isValidTargetVersion(Item.Established)) &&
      Item.Id.size() <= MaxVersionBytes &&
      Item.Digest.size() <= MaxDigestBytes &&
      Item.EarlierDigest.size() <= MaxDigestBytes && Item.CanaryPerMille >= 0 &&
      Item.CanaryPerMille <= PerMille && Item.StartedAtMs >= 0 &&
      Item.DurationMs > 0 && Item.ElapsedMs >= 0;
  if (!Valid)
    return fail(ResultCode::ValueInvalid, Path,
                "a field of the roll-out is out of range");
  return {};
}

} // namespace

std::string_view nameOf(RolloutState State) {
  switch (State) {
  case RolloutState::Running:
    return "running";
  case RolloutState::Completed:
    return "completed";
  case RolloutState::RolledBack:
    break;
  }
  return "rolled_back";
}

std::string_view nameOf(RolloutStage Stage) {
  return Stage == RolloutStage::Canary ? "canary" : "full";
}

std::string rolloutPath(std::string_view Service) {
  const std::size_t Slash = Service.find('/');
  return std::string(Service.substr(0, Slash)) + "/" +
         std::string(RolloutsKind) + "/" +
         std::string(Service.substr(Slash + 1));
}

bool isRolloutPath(std::string_view Path) {
  const std::size_t Slash = Path.find('/');
  return Slash != std::string_view::npos &&
         Path.substr(Slash + 1).starts_with(RolloutsKind) &&
         Path.substr(Slash + 1 + RolloutsKind.size()).starts_with('/');
}

bool isValidTargetVersion(std::string_view Version) {
  return !Version.empty() && Version.size() <= MaxVersionBytes &&
         std::all_of(Version.begin(), Version.end(),
                     [](char C) { return C > ' ' && C < '\x7f'; });
}

leaf::result<Rollout> readRollout(const std::string &Path,
                                  std::string_view Value) {
  const std::size_t First = Path.find('/');
  const json Document = json::parse(Value, nullptr, false);
  if (!Document.is_object())
    return fail(ResultCode::ValueInvalid, Path, "expected a JSON object");
  try {
    Rollout Out;
    Out.Service =
        Path.substr(0, First) + "/" + Path.substr(Path.rfind('/') + 1);
    Out.Id = Document.at("id").get<std::string>();
    Out.Version = Document.at("version").get<std::string>();
    Out.Established = Document.value("established", "");
    BOOST_LEAF_ASSIGN(Out.State,
                      readState(Path, Document.at("state").get<std::string>()));
    BOOST_LEAF_ASSIGN(Out.Stage,
                      readStage(Path, Document.at("stage").get<std::string>()));
    Out.CanaryPerMille = Document.at("canaryPerMille").get<int>();
    Out.StartedAtMs = Document.at("startedAtMs").get<std::int64_t>();
    Out.DurationMs = Document.at("durationMs").get<std::int64_t>();
    Out.ElapsedMs = Document.value("elapsedMs", std::int64_t{0});
    Out.Digest = Document.at("digest").get<std::string>();
    Out.EarlierDigest = Document.value("earlierDigest", "");
    BOOST_LEAF_CHECK(checkRollout(Path, Out));
    return Out;
  } catch (const json::exception &Error) {
    return fail(ResultCode::ValueInvalid, Path, Error.what());
  }
}

std::string valueOf(const Rollout &Item) {
  json Out{{"id", Item.Id},
           {"version", Item.Version},
           {"state", nameOf(Item.State)},
           {"stage", nameOf(Item.Stage)},
           {"canaryPerMille", Item.CanaryPerMille},
           {"startedAtMs", Item.StartedAtMs},
           {"durationMs", Item.DurationMs},
           {"elapsedMs", Item.ElapsedMs},
           {"digest", Item.Digest}};
  if (!Item.Established.empty())
    Out["established"] = Item.Established;
  if (!Item.EarlierDigest.empty())
    Out["earlierDigest"] = Item.EarlierDigest;
  return Out.dump();
}

std::optional<Rollout> findRollout(const SettingsMap &Settings,
                                   std::string_view Service) {
  const auto Found = Settings.find(rolloutPath(Service));
  if (Found == Settings.end())
    return std::nullopt;
  std::optional<Rollout> Out;
  // Committed settings were validated before the commit.
  handleResult([&] { return readRollout(Found->first, Found->second.Value); },
               [&](Rollout Read) { Out = std::move(Read); });
  return Out;
}

leaf::result<RolloutOrder>
makeRolloutOrder(std::string Service, std::string Version, double DurationS) {
  if (!isValidTargetVersion(Version))
    return fail(ResultCode::ValueInvalid, "targetVersion",
                "a version has 1 to 100 visible ASCII characters");
  if (!(DurationS >= MinDurationS && DurationS <= MaxDurationS))
    return fail(ResultCode::ValueInvalid, "durationS",
                "a roll-out takes from one second to one day");
  RolloutOrder Out;
  Out.DurationMs = std::llround(DurationS * MsPerSecond);
  Out.Digest = hashToken(DigestSalt, Service + '\n' + Version + '\n' +
                                         std::to_string(Out.DurationMs));
  Out.Service = std::move(Service);
  Out.Version = std::move(Version);
  return Out;
}

leaf::result<std::optional<wire::Change>>
startRollout(const SettingsMap &Current, std::int64_t StoreVersion,
             const RolloutOrder &Order) {
  const std::string Path = rolloutPath(Order.Service);
  const std::size_t Slash = Order.Service.find('/');
  const std::string Team = Order.Service.substr(0, Slash);
  const auto Last = findRollout(Current, Order.Service);
  const bool IsResend = Last && (Last->Digest == Order.Digest ||
                                 Last->EarlierDigest == Order.Digest);
  if (IsResend && (Last->running() || !Order.MayRepeat))
    return std::optional<wire::Change>();
  if (Current.count(Team + "/services/" + Order.Service.substr(Slash + 1)) == 0)
    return fail(ResultCode::ValueInvalid, Path, "the service does not exist");
  if (Last && Last->running())
    return fail(ResultCode::RolloutRunning, Path,
                "the roll-out of version " + Last->Version + " is running");
  Rollout Next;
  Next.Service = Order.Service;
  Next.Id = hexOf(
      hashOf(Order.Service + Order.Digest + std::to_string(StoreVersion)));
  Next.Version = Order.Version;
  Next.Established = Last ? Last->mainVersion() : Order.Established;
  if (Next.Established.empty())
    Next.Established = Order.Established;
  Next.CanaryPerMille = FirstCanaryPerMille;
  Next.StartedAtMs = std::max(std::int64_t{0}, Order.WallMs);
  Next.DurationMs = Order.DurationMs;
  Next.Digest = Order.Digest;
  Next.EarlierDigest = Last ? Last->Digest : "";
  wire::Setting Before;
  Before.Path = Path;
  Before.Version = Last ? Current.find(Path)->second.Version : 0;
  auto Out = changeRollout(Before, Next);
  Out.BasedOn = StoreVersion;
  return std::optional(std::move(Out));
}

wire::Change changeRollout(const wire::Setting &Current, const Rollout &Next) {
  wire::PathEdit Edit;
  Edit.Path = Current.Path;
  Edit.Value = valueOf(Next);
  Edit.ExpectedVersion = Current.Version;
  wire::Change Out;
  Out.ChangeId = "rollout-" + Next.Id + "-" + std::to_string(Current.Version) +
                 "-" + std::string(nameOf(Next.State)) + "-" +
                 std::string(nameOf(Next.Stage)) + "-" +
                 std::to_string(Next.CanaryPerMille);
  Out.Team = Current.Path.substr(0, Current.Path.find('/'));
  Out.BasedOn = Current.Version;
  Out.Edits.push_back(std::move(Edit));
  return Out;
}

} // namespace persimmon
