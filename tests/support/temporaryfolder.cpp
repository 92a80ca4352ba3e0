#include "temporaryfolder.h"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace persimmon {

namespace fs = std::filesystem;

TemporaryFolder::TemporaryFolder()
    : Path((fs::temp_directory_path() / "persimmon-XXXXXX").string()) {
  if (::mkdtemp(this->Path.data()) == nullptr)
    throw std::runtime_error("cannot create " + this->Path);
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code Ignored;
  fs::remove_all(this->Path, Ignored);
}

} // namespace persimmon
