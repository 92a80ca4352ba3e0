#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace persimmon {

/// Counters, gauges and summaries, exported in the Prometheus text exposition
/// format. Names may include labels: name{label="value"}.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void incrementCounter(std::string_view Name, std::uint64_t Count = 1);
  void setGauge(std::string_view Name, double Value);

  /// Adds a sample to a summary. Its quantiles are estimated.
  void observe(std::string_view Name, double Value);

  std::string exportText() const;

private:
  struct Summary;

  std::map<std::string, std::uint64_t, std::less<>> Counters;
  std::map<std::string, double, std::less<>> Gauges;
  std::map<std::string, std::unique_ptr<Summary>, std::less<>> Summaries;
};

} // namespace persimmon
