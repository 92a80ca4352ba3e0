#pragma once

#include "libhost/storagefolder.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// A disk with one folder. Keeps apart what was written and what was synced. A
/// process kill leaves what was written; a loss of power leaves what was synced
/// and any part of what was written later.
class SimulatedDisk {
public:
  /// Opens the folder for a new process. The disk must outlive the result.
  std::unique_ptr<StorageFolder> openFolder();

  /// Lets the process end at the \p Steps-th step from now on; each operation
  /// takes one to five steps. A write that it ends in is done in part.
  void endProcessAfter(std::uint64_t Steps) { this->StepsLeft = Steps; }

  /// Returns whether the process has ended; all its operations fail.
  bool processEnded() const { return this->StepsLeft == 0; }

  /// Keeps all that was written, as after the end of a process.
  void restart() { this->StepsLeft.reset(); }

  /// Restarts after a loss of power. \p Random draws what is left of that which
  /// was not synced.
  void losePower(std::mt19937_64 &Random);

  /// Restarts after a loss of power that leaves only what was synced.
  void losePowerAndAllUnsynced();

  /// Removes all files.
  void wipe() { *this = SimulatedDisk(); }

  /// Fails each operation for which \p Refuses returns true; it is given the
  /// operation's and the file's name.
  void
  refuse(std::function<bool(std::string_view, const std::string &)> Refuses) {
    this->Refuses = std::move(Refuses);
  }

  /// Returns a file as the next process would read it, or nothing.
  std::optional<std::string> content(const std::string &Name) const;
  /// Replaces or creates a file, synced.
  void setContent(const std::string &Name, std::string Bytes);
  /// Returns whether a name starts with \p Prefix.
  bool hasNameWith(std::string_view Prefix) const;

private:
  friend class SimulatedFolder;
  struct File {
    std::string Written;
    std::string Synced;
    /// Written and Synced agree up to here.
    std::size_t Agreed = 0;
  };
  using FilePtr = std::shared_ptr<File>;

  /// Counts a step and returns whether the process goes on.
  bool step();
  FilePtr find(const std::string &Name) const;
  void setName(const std::string &Name, FilePtr Value);
  void syncNames();
  static void loseUnsynced(File &Item, std::mt19937_64 &Random);

  /// For each name the files it stood for since the last sync of the names,
  /// newest last; null where it did not exist.
  std::map<std::string, std::vector<FilePtr>> Names;
  std::optional<std::uint64_t> StepsLeft;
  std::function<bool(std::string_view, const std::string &)> Refuses;
};

} // namespace persimmon
