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
  void deposit(std::string_view Service, int Percent) {
    double &Balance = this->balance(Service);
    Balance = std::min(this->MaxBalance, Balance + Percent / 100.0);
  }

  /// Limits the balance of each service to \p Burst divided by the number of
  /// \p Daemons. A burst of 0 leaves the limit unchanged.
  void setBurst(int Burst, std::size_t Daemons) {
    if (Burst > 0 && Daemons > 0)
      this->MaxBalance =
          static_cast<double>(Burst) / static_cast<double>(Daemons);
  }

  /// Withdraws one retry from the balance. Returns false if there is none left.
  bool tryWithdraw(std::string_view Service) {
    double &Balance = this->balance(Service);
    if (Balance < 1.0)
      return false;
    Balance -= 1.0;
    return true;
  }

private:
  double MaxBalance = 10.0;

  double &balance(std::string_view Service) {
    const auto Found = this->Balances.find(Service);
    if (Found != this->Balances.end())
      return Found->second;
    return this->Balances.emplace(std::string(Service), 1.0).first->second;
  }

  std::map<std::string, double, std::less<>> Balances;
};

} // namespace persimmon
