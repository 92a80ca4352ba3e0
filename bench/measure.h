#pragma once

#include <sys/types.h>
#include <vector>

namespace persimmon {

/// Returns the value below which \p Share of the samples lie.
double quantile(std::vector<double> Values, double Share);

/// What the operating system says of a process.
struct ProcessUsage {
  double CpuSeconds = 0;
  double RssMb = 0;
};

ProcessUsage usageOfProcess(pid_t Id);

} // namespace persimmon
