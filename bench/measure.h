#pragma once

#include <sys/types.h>
#include <vector>

namespace persimmon {

/// Returns the quantile \p Share, 0 to 1, of the samples.
double quantile(std::vector<double> Values, double Share);

/// CPU time and resident memory of a process.
struct ProcessUsage {
  double CpuSeconds = 0;
  double RssMb = 0;
};

ProcessUsage usageOfProcess(pid_t Id);

} // namespace persimmon
