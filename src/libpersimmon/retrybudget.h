#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace persimmon {

/// Limits the retries of each service to a percentage of its calls.
class RetryBudget {
public:
  /// Adds \p Percent hundredths of a retry to the balance for a new call.
  void earn(std::string_view Service, int Percent) {
    double &Left = this->slot(Service);
    Left = std::min(this->MaxSaved, Left + Percent / 100.0);
  }

  /// Limits the balance of each service to \p Burst divided by the number of
  /// \p Daemons. A burst of 0 leaves the limit unchanged.
  void setBurst(int Burst, std::size_t Daemons) {
    if (Burst > 0 && Daemons > 0)
      this->MaxSaved =
          static_cast<double>(Burst) / static_cast<double>(Daemons);
  }

  /// Withdraws one retry from the balance. Returns false if there is none left.
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
