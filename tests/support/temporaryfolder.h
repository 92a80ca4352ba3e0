#pragma once

#include <string>

namespace persimmon {

/// A new folder for the files of a test, removed with its content by the
/// destructor.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  const std::string &path() const { return this->Path; }
  std::string file(const std::string &Name) const {
    return this->Path + "/" + Name;
  }

private:
  std::string Path;
};

} // namespace persimmon
