#include "answersizes.h"

#include "effects.h"

#include <algorithm>

namespace persimmon {

namespace {

/// Share of a route's answers that do not exceed the expected length.
constexpr double ExpectedQuantile = 0.7;
/// The streaming quantile needs five samples before it is defined. Until then
/// the longest answer is expected.
constexpr int MinSamples = 5;

} // namespace

AnswerSizes::Samples::Samples()
    : Bytes(boost::accumulators::quantile_probability = ExpectedQuantile) {}

void AnswerSizes::addSample(std::string_view Route, std::int64_t Bytes) {
  Samples &Item = this->ByRoute.try_emplace(std::string(Route)).first->second;
  Item.Bytes(static_cast<double>(Bytes));
  Item.Count += 1;
  Item.Largest = std::max(Item.Largest, Bytes);
}

std::int64_t AnswerSizes::expectedBytes(std::string_view Route) const {
  const auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end())
    return 0;
  if (Found->second.Count < MinSamples)
    return Found->second.Largest;
  return static_cast<std::int64_t>(
      boost::accumulators::p_square_quantile(Found->second.Bytes));
}

bool AnswerSizes::large(std::string_view Route) const {
  return this->expectedBytes(Route) >
         static_cast<std::int64_t>(InlineBodyBytes);
}

} // namespace persimmon
