#include "scripttext.h"

#include <sstream>

namespace persimmon {

std::vector<std::string> splitWords(const std::string &Line) {
  std::istringstream In(Line);
  std::vector<std::string> Out;
  std::string Word;
  while (In >> Word)
    Out.push_back(Word);
  return Out;
}

std::map<std::string, std::string>
namedValues(const std::vector<std::string> &Line) {
  std::map<std::string, std::string> Out;
  for (const std::string &Word : Line) {
    const std::size_t Equals = Word.find('=');
    if (Equals != std::string::npos)
      Out[Word.substr(0, Equals)] = Word.substr(Equals + 1);
  }
  return Out;
}

std::chrono::milliseconds durationOf(const std::string &Text) {
  const long Number = std::stol(Text);
  return Text.ends_with("ms") ? std::chrono::milliseconds(Number)
                              : std::chrono::seconds(Number);
}

} // namespace persimmon
