#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace persimmon {

/// Bounds retries to a share of the calls of each service.
class RetryBudget {
public:
  /// Notes a new call; each earns \p Percent hundredths of a retry.
  void earn(std::string_view Service, int Percent) {
    double &Left = this->slot(Service);
    Left = std::min(this->MaxSaved, Left + Percent / 100.0);
  }

  /// Shares \p Burst retries among \p Daemons; each may save up its part. A
  /// burst of 0 leaves every daemon the default.
  void setBurst(int Burst, std::size_t Daemons) {
    if (Burst > 0 && Daemons > 0)
      this->MaxSaved =
          static_cast<double>(Burst) / static_cast<double>(Daemons);
  }

  /// Takes one retry; returns whether there was one.
  bool spend(std::string_view Service) {
    double &Left = this->slot(Service);
    if (Left < 1.0)
      return false;
    Left -= 1.0;
    return true;
  }

private:
  double MaxSaved = 10.0;

  double &slot(std::string_view Service) {
    const auto Found = this->Saved.find(Service);
    if (Found != this->Saved.end())
      return Found->second;
    return this->Saved.emplace(std::string(Service), 1.0).first->second;
  }

  std::map<std::string, double, std::less<>> Saved;
};

} // namespace persimmon
