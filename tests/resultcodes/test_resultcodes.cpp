#include "libwire/libwire.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <sstream>

using namespace persimmon;

namespace {

/// Returns the table that the documentation must contain.
std::string tableOfCode() {
  std::ostringstream Out;
#define RESULT_CODE(Number, Name, HttpStatus, Text)                            \
  Out << "| " << Number << " | " << #Name << " | " << HttpStatus << " | "      \
      << Text << " |\n";
#include "libwire/resultcodes.def"
#undef RESULT_CODE
  return Out.str();
}

} // namespace

TEST_CASE("the table in the documentation equals the code") {
  std::ifstream In(DOCS_FOLDER "/RESULT-CODES.md");
  std::string Line;
  std::string Table;
  while (std::getline(In, Line)) {
    if (Line.starts_with("| ") && std::isdigit(Line[2]) != 0)
      Table += Line + "\n";
  }
  CHECK(Table == tableOfCode());
}

TEST_CASE("numbers are unique") {
  std::set<int> Seen;
#define RESULT_CODE(Number, Name, HttpStatus, Text)                            \
  CHECK(Seen.insert(Number).second);
#include "libwire/resultcodes.def"
#undef RESULT_CODE
}
