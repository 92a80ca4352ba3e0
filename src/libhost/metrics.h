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

  void add(std::string_view Name, std::uint64_t Count = 1);
  void set(std::string_view Name, double Value);

  /// Adds a sample to a summary. Its quantiles are estimated.
  void observe(std::string_view Name, double Value);

  std::string text() const;

private:
  struct Distribution;

  std::map<std::string, std::uint64_t, std::less<>> Counters;
  std::map<std::string, double, std::less<>> Gauges;
  std::map<std::string, std::unique_ptr<Distribution>, std::less<>>
      Distributions;
};

} // namespace persimmon
