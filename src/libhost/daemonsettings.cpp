#include "daemonsettings.h"

#include "daemonschematext.h"

#include <asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>
#include <sstream>

namespace persimmon {

namespace {

using nlohmann::json;

leaf::result<Endpoint> requiredEndpoint(const json &Document, const char *Key,
                                        std::string_view Where) {
  const std::string KeyPath = std::string(Where) + "[" + Key + "]";
  if (!Document.contains(Key))
    return fail(ResultCode::SettingsInvalid, KeyPath,
                "the key is required for this role");
  return Endpoint::parse(Document.at(Key).get<std::string>(), KeyPath);
}

leaf::result<void> rejectKey(const json &Document, const char *Key,
                             std::string_view Where) {
  if (Document.contains(Key))
    return fail(ResultCode::SettingsInvalid,
                std::string(Where) + "[" + Key + "]",
                "the key is not allowed for this role");
  return {};
}

leaf::result<void> readControl(const json &Document, std::string_view Where,
                               DaemonSettings &Out) {
  BOOST_LEAF_CHECK(rejectKey(Document, "callers", Where));
  BOOST_LEAF_CHECK(rejectKey(Document, "local", Where));
  BOOST_LEAF_AUTO(Operators, requiredEndpoint(Document, "operators", Where));
  Out.Operators = Operators;
  if (!Document.contains("dataFolder"))
    return fail(ResultCode::SettingsInvalid,
                std::string(Where) + "[dataFolder]",
                "the key is required for this role");
  Out.DataFolder = Document.at("dataFolder").get<std::string>();
  Out.OpenTeams = Document.value("openTeams", Out.OpenTeams);
  Out.Bootstrap = Document.value("found", Out.Bootstrap);
  if (!Out.Seeds.empty()) {
    if (!Document.contains("lossesBorne"))
      return fail(ResultCode::SettingsInvalid,
                  std::string(Where) + "[lossesBorne]",
                  "the key is required if seeds is given");
    // A majority of the voters remains after this number of losses.
    Out.Voters.Count = 2 * Document.at("lossesBorne").get<std::size_t>() + 1;
    return {};
  }
  for (const ControlPeer &Peer : Out.ControlInstances) {
    if (Peer.Instance == Out.Name)
      return {};
  }
  return fail(ResultCode::SettingsInvalid,
              std::string(Where) + "[controlInstances]",
              "the list must contain this instance");
}

leaf::result<void> readTarget(const json &Target, std::string_view Where,
                              TargetSettings &Out) {
  Out.Service = Target.value("service", Out.Service);
  Out.ProbeInterval =
      milliseconds(Target.value("probeIntervalMs", Out.ProbeInterval.count()));
  if (!Target.contains("address"))
    return {};
  BOOST_LEAF_AUTO(Address,
                  Endpoint::parse(Target.at("address").get<std::string>(),
                                  std::string(Where) + "[target][address]"));
  Out.Address = Address.toString();
  return {};
}

leaf::result<void> readProxy(const json &Document, std::string_view Where,
                             DaemonSettings &Out) {
  BOOST_LEAF_CHECK(rejectKey(Document, "operators", Where));
  BOOST_LEAF_CHECK(rejectKey(Document, "dataFolder", Where));
  BOOST_LEAF_AUTO(Callers, requiredEndpoint(Document, "callers", Where));
  BOOST_LEAF_AUTO(Local, requiredEndpoint(Document, "local", Where));
  Out.Callers = Callers;
  Out.Local = Local;
  if (Document.contains("readiness")) {
    BOOST_LEAF_AUTO(Readiness, requiredEndpoint(Document, "readiness", Where));
    Out.Readiness = Readiness;
  }
  Out.LinkMbps = Document.value("linkMbps", Out.LinkMbps);
  Out.RetryBurst = Document.value("retryBurst", Out.RetryBurst);
  Out.EvenPlacement = Document.value("placement", "") == "even";
  return readTarget(Document.value("target", json::object()), Where,
                    Out.Target);
}

RolloutBounds readRollouts(const json &Document) {
  constexpr double MsPerSecond = 1000;
  RolloutBounds Out;
  Out.ExposureShare = Document.value("exposureShare", Out.ExposureShare);
  Out.ExposureSlack = Document.value("exposureSlack", Out.ExposureSlack);
  if (Document.contains("rollbackS"))
    Out.RollbackTime = milliseconds(static_cast<std::int64_t>(
        Document.at("rollbackS").get<double>() * MsPerSecond));
  return Out;
}

leaf::result<void> readSeeds(const json &Document, std::string_view Where,
                             DaemonSettings &Out) {
  const json Seeds = Document.value("seeds", json::array());
  for (std::size_t I = 0; I < Seeds.size(); ++I) {
    const std::string KeyPath =
        std::string(Where) + "[seeds][" + std::to_string(I) + "]";
    BOOST_LEAF_AUTO(Address,
                    Endpoint::parse(Seeds[I].get<std::string>(), KeyPath));
    Address.Port = Document.value("seedPort", Address.Port);
    Out.Seeds.push_back(Address.toString());
  }
  if (Out.Seeds.empty() == Out.ControlInstances.empty())
    return fail(ResultCode::SettingsInvalid, std::string(Where),
                "exactly one of controlInstances and seeds is required");
  return {};
}

leaf::result<void> readControlInstances(const json &Document,
                                        std::string_view Where,
                                        DaemonSettings &Out) {
  const json Peers = Document.value("controlInstances", json::array());
  for (std::size_t I = 0; I < Peers.size(); ++I) {
    const std::string KeyPath = std::string(Where) + "[controlInstances][" +
                                std::to_string(I) + "][address]";
    BOOST_LEAF_AUTO(
        Address,
        Endpoint::parse(Peers[I].at("address").get<std::string>(), KeyPath));
    Out.ControlInstances.push_back(
        {Peers[I].at("name").get<std::string>(), Address.toString()});
  }
  return {};
}

leaf::result<void> readRevocation(const json &Document, std::string_view Where,
                                  DaemonSettings &Out) {
  constexpr double MsPerSecond = 1000.0;
  if (Document.contains("revocationMs") && Document.contains("revocationS"))
    return fail(ResultCode::SettingsInvalid,
                std::string(Where) + "[revocationS]",
                "the key is not allowed together with revocationMs");
  Out.Revocation =
      milliseconds(Document.value("revocationMs", Out.Revocation.count()));
  if (Document.contains("revocationS"))
    Out.Revocation = milliseconds(static_cast<std::int64_t>(
        Document.at("revocationS").get<double>() * MsPerSecond));
  return {};
}

RequestSettings readRequests(const json &Requests) {
  constexpr int BytesPerKib = 1024;
  RequestSettings Out;
  const auto ReadTime = [&](const char *Key, milliseconds &Into) {
    Into = milliseconds(Requests.value(Key, Into.count()));
  };
  ReadTime("headerTimeoutMs", Out.HeaderTimeout);
  ReadTime("bodyTimeoutMs", Out.BodyTimeout);
  ReadTime("idleTimeoutMs", Out.IdleTimeout);
  Out.ReceiveBufferBytes =
      BytesPerKib *
      Requests.value("receiveBufferKb", Out.ReceiveBufferBytes / BytesPerKib);
  return Out;
}

} // namespace

std::string Endpoint::toString() const {
  return this->Ip + ":" + std::to_string(this->Port);
}

leaf::result<Endpoint> Endpoint::parse(std::string_view Text,
                                       std::string_view Where) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return fail(ResultCode::AddressInvalid, std::string(Where),
                "expected IP:PORT");
  Endpoint Out;
  Out.Ip = std::string(Text.substr(0, Colon));
  std::error_code Error;
  asio::ip::make_address_v4(Out.Ip, Error);
  const std::string_view Port = Text.substr(Colon + 1);
  const auto [End, Status] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Out.Port);
  if (Error || Status != std::errc() || End != Port.data() + Port.size() ||
      Out.Port == 0)
    return fail(ResultCode::AddressInvalid, std::string(Where),
                "expected IP:PORT, found " + std::string(Text));
  return Out;
}

leaf::result<DaemonSettings> DaemonSettings::load(const std::string &File) {
  std::ifstream In(File);
  std::ostringstream Text;
  if (!In || !(Text << In.rdbuf()))
    return fail(ResultCode::FileUnreadable, File);
  BOOST_LEAF_AUTO(Out, DaemonSettings::parse(Text.str(), File));
  Out.File = File;
  return Out;
}

leaf::result<DaemonSettings> DaemonSettings::parse(std::string_view Text,
                                                   std::string_view Where) {
  const json Document = json::parse(Text, nullptr, false);
  if (Document.is_discarded())
    return fail(ResultCode::SettingsNotJson, std::string(Where));
  BOOST_LEAF_CHECK(checkAgainstSchema(Document, DaemonSchemaText, Where,
                                      ResultCode::SettingsInvalid));
  DaemonSettings Out;
  Out.Role = Document.at("role") == "control" ? DaemonRole::Control
                                              : DaemonRole::Proxy;
  Out.Name = Document.at("name").get<std::string>();
  Out.Zone = Document.at("availabilityZone").get<std::string>();
  BOOST_LEAF_AUTO(Listen, requiredEndpoint(Document, "listen", Where));
  Out.Listen = Listen;
  Out.Advertise = Listen;
  if (Document.contains("advertise")) {
    BOOST_LEAF_AUTO(Advertise, requiredEndpoint(Document, "advertise", Where));
    Out.Advertise = Advertise;
  }
  BOOST_LEAF_CHECK(readControlInstances(Document, Where, Out));
  BOOST_LEAF_CHECK(readSeeds(Document, Where, Out));
  BOOST_LEAF_CHECK(readRevocation(Document, Where, Out));
  Out.MemoryMb = Document.value("memoryMb", Out.MemoryMb);
  if (Out.Role == DaemonRole::Control)
    BOOST_LEAF_CHECK(readControl(Document, Where, Out));
  else
    BOOST_LEAF_CHECK(readProxy(Document, Where, Out));
  if (Document.contains("rollouts"))
    Out.Rollouts = readRollouts(Document.at("rollouts"));
  if (Document.contains("stop")) {
    const json &Stop = Document.at("stop");
    Out.Stop.ServeOn = milliseconds(Stop.value("serveOnMs", 0));
    Out.Stop.GiveUp = milliseconds(Stop.value("giveUpMs", 0));
  }
  Out.Requests = readRequests(Document.value("requests", json::object()));
  if (Document.contains("log")) {
    const json &Log = Document.at("log");
    Out.Log.Level = Log.value("level", Out.Log.Level);
    Out.Log.Decisions = Log.value("decisions", Out.Log.Decisions);
    Out.Log.LinesPerSecond =
        Log.value("linesPerSecond", Out.Log.LinesPerSecond);
    Out.Log.File = Log.value("file", Out.Log.File);
  }
  if (Document.contains("baselines")) {
    const json &Baselines = Document.at("baselines");
    Out.Baselines.Distribution = Baselines.value("distribution", "");
    Out.Baselines.Choice = Baselines.value("choice", "");
  }
  return Out;
}

} // namespace persimmon
