#pragma once

#include "libwire/libwire.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace persimmon {

/// Learns the length of the answers of each route, as a streaming quantile.
class AnswerSizes {
public:
  /// Records the length of an answer, in bytes.
  void addSample(std::string_view Route, std::int64_t Bytes);

  /// Returns the length in bytes that most answers of the route do not exceed;
  /// 0 while it is unknown.
  std::int64_t expectedBytes(std::string_view Route) const;

  /// Returns whether answers of the route are sent in parts.
  bool large(std::string_view Route) const;

private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
  struct Samples {
    Samples();
    Quantile Bytes;
    int Count = 0;
    std::int64_t Largest = 0;
  };

  std::map<std::string, Samples, std::less<>> ByRoute;
};

} // namespace persimmon
