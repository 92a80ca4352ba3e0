#include "metrics.h"

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace persimmon {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> Quantiles = {0.5, 0.99, 0.999};

using Samples =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;

std::string_view familyOf(std::string_view Name) {
  return Name.substr(0, Name.find('{'));
}

} // namespace

struct Metrics::Summary {
  Samples Values{acc::extended_p_square_probabilities = Quantiles};
};

Metrics::Metrics() = default;

Metrics::~Metrics() = default;

void Metrics::incrementCounter(std::string_view Name, std::uint64_t Count) {
  const auto Found = this->Counters.find(Name);
  if (Found == this->Counters.end())
    this->Counters.emplace(std::string(Name), Count);
  else
    Found->second += Count;
}

void Metrics::setGauge(std::string_view Name, double Value) {
  this->Gauges[std::string(Name)] = Value;
}

void Metrics::observe(std::string_view Name, double Value) {
  auto Found = this->Summaries.find(Name);
  if (Found == this->Summaries.end())
    Found =
        this->Summaries.emplace(std::string(Name), std::make_unique<Summary>())
            .first;
  Found->second->Values(Value);
}

std::string Metrics::exportText() const {
  std::ostringstream Out;
  std::string_view Family;
  const auto WriteTypeLine = [&](const std::string &Name, const char *Type) {
    if (familyOf(Name) == Family)
      return;
    Family = familyOf(Name);
    Out << "# TYPE " << Family << ' ' << Type << '\n';
  };
  for (const auto &[Name, Value] : this->Counters) {
    WriteTypeLine(Name, "counter");
    Out << Name << ' ' << Value << '\n';
  }
  for (const auto &[Name, Value] : this->Gauges) {
    WriteTypeLine(Name, "gauge");
    Out << Name << ' ' << Value << '\n';
  }
  for (const auto &[Name, Item] : this->Summaries) {
    WriteTypeLine(Name, "summary");
    std::size_t I = 0;
    for (const double Value : acc::extended_p_square(Item->Values))
      Out << Name << "{quantile=\"" << Quantiles[I++] << "\"} " << Value
          << '\n';
    Out << Name << "_sum " << acc::sum(Item->Values) << '\n';
    Out << Name << "_count " << acc::count(Item->Values) << '\n';
  }
  return Out.str();
}

} // namespace persimmon
