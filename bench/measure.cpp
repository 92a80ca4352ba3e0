#include "measure.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace persimmon {

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Values.size())));
  return Values[std::min(Values.size(), std::max<std::size_t>(Index, 1)) - 1];
}

ProcessUsage usageOfProcess(pid_t Id) {
  // Numbers of skipped fields after the program name; see proc(5).
  constexpr int FieldsBeforeTimes = 11;
  constexpr int FieldsBeforePages = 8;
  ProcessUsage Out;
  std::ifstream Stat("/proc/" + std::to_string(Id) + "/stat");
  std::string Text;
  std::getline(Stat, Text);
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::string SkippedField;
  for (int I = 0; I < FieldsBeforeTimes; ++I)
    Fields >> SkippedField;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  Out.CpuSeconds = (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
  for (int I = 0; I < FieldsBeforePages; ++I)
    Fields >> SkippedField;
  double Pages = 0;
  Fields >> Pages;
  Out.RssMb = Pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  return Out;
}

} // namespace persimmon
