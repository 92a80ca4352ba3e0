#include "support/platformroutes.h"

#include <nlohmann/json.hpp>

#include <array>
#include <random>

namespace persimmon {

namespace {

using nlohmann::json;

constexpr int Services = 40;
constexpr int RoutesPerSplit = 8;
constexpr int RoutesPerHost = 12;

std::string serviceName(unsigned Number) {
  constexpr std::array<const char *, 5> Words = {"label", "history", "scan",
                                                 "tariff", "route"};
  return std::string(Words[Number % Words.size()]) + "-" +
         std::to_string(Number % Services);
}

std::string hexDigits(std::mt19937 &Random) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr int Length = 8;
  std::string Out;
  for (int I = 0; I < Length; ++I)
    Out += Digits[Random() % Digits.size()];
  return Out;
}

wire::Setting setting(std::string Path, const json &Value,
                      std::int64_t Version) {
  wire::Setting Out;
  Out.Path = std::move(Path);
  Out.Value = Value.dump();
  Out.Version = Version;
  return Out;
}

json routeValue(int Number, std::mt19937 &Random) {
  json Out{{"job", serviceName(Number / RoutesPerHost) + ".example"},
           {"pathPrefix", "/" + hexDigits(Random) + "/"},
           {"pathMatch", "text"},
           {"repeatable", Random() % 2 == 0 ? "always" : "never"},
           {"deadlineMs", 100 + 50 * (Random() % 40)},
           {"targetLatencyMs", 50 + 10 * (Random() % 40)},
           {"maxAttempts", 1 + Random() % 3},
           {"priority", 90 + Random() % 11}};
  const std::string Service = "mesh/" + serviceName(Random() % Services);
  if (Number % RoutesPerSplit != 0) {
    Out["service"] = Service;
    return Out;
  }
  const unsigned Weight = 1 + Random() % 99;
  Out["split"] = {
      {{"service", Service}, {"weight", Weight}},
      {{"service", "mesh/" + serviceName(Number)}, {"weight", 100 - Weight}}};
  return Out;
}

} // namespace

std::vector<wire::Setting> platformServices(std::int64_t Version) {
  std::vector<wire::Setting> Out;
  Out.reserve(Services);
  for (int I = 0; I < Services; ++I)
    Out.push_back(
        setting("mesh/services/" + serviceName(I),
                {{"maxBodyBytes", 64 << 20},
                 {"healthPath", "/health"},
                 {"connections", 10 + I},
                 {"annotations", {{"protocol", "h1"}, {"tls", false}}}},
                Version));
  return Out;
}

std::vector<wire::Setting> platformRoutes(int First, int Count,
                                          std::int64_t Version) {
  std::mt19937 Random(static_cast<unsigned>(First) + 1);
  std::vector<wire::Setting> Out;
  Out.reserve(static_cast<std::size_t>(Count));
  for (int I = First; I < First + Count; ++I)
    Out.push_back(
        setting("mesh/routes/r-" + std::to_string(I) + "-" + hexDigits(Random),
                routeValue(I, Random), Version));
  return Out;
}

} // namespace persimmon
