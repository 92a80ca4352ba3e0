#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace persimmon {

/// Splits a script line at white space.
std::vector<std::string> splitWords(const std::string &Line);

/// Returns the words of the form KEY=VALUE.
std::map<std::string, std::string>
namedValues(const std::vector<std::string> &Line);

/// Parses a duration such as 500ms or 2s.
std::chrono::milliseconds durationOf(const std::string &Text);

} // namespace persimmon
