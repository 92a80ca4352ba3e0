#pragma once

#include "libwire/libwire.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace persimmon {

/// The files of a data folder. After a loss of power a file holds what its last
/// sync covered; each later write may be there, missing or torn. A failed
/// operation says nothing about the content of the folder.
class StorageFolder {
public:
  virtual ~StorageFolder() = default;

  virtual std::string path(std::string_view Name) const = 0;

  /// Errors: DiskReadFailed.
  virtual leaf::result<bool> contains(const std::string &Name) const = 0;

  /// Returns the whole file. Errors: DiskReadFailed, also if it is missing.
  virtual leaf::result<std::string> read(const std::string &Name) const = 0;

  /// Returns \p Size bytes from \p Offset on. Errors: DiskReadFailed, also if
  /// the file is shorter.
  virtual leaf::result<std::string> read(const std::string &Name,
                                         std::uint64_t Offset,
                                         std::size_t Size) const = 0;

  /// Appends to an existing file without a sync. Errors: DiskWriteFailed.
  virtual leaf::result<void> append(const std::string &Name,
                                    std::string_view Bytes) = 0;

  /// Cuts a file to \p Size bytes without a sync. Errors: DiskWriteFailed.
  virtual leaf::result<void> truncate(const std::string &Name,
                                      std::uint64_t Size) = 0;

  /// Makes the content of a file durable. Errors: DiskWriteFailed.
  virtual leaf::result<void> sync(const std::string &Name) = 0;

  /// Makes all names in the folder durable. Errors: DiskWriteFailed.
  virtual leaf::result<void> syncNames() = 0;

  /// Replaces or creates a file; content and name are durable when it returns.
  /// After a loss of power meanwhile, the file is the old or the new one.
  /// Errors: DiskWriteFailed.
  virtual leaf::result<void> replace(const std::string &Name,
                                     std::string_view Bytes) = 0;

  /// Moves a file into the subfolder \p Subfolder, which is created if it is
  /// missing. Errors: DiskWriteFailed.
  virtual leaf::result<void> moveAside(const std::string &Name,
                                       const std::string &Subfolder) = 0;
};

/// Opens the folder \p Path, creates it if it is missing, and locks it against
/// other processes. Errors: DataFolderUnwritable.
leaf::result<std::unique_ptr<StorageFolder>>
openStorageFolder(const std::string &Path);

} // namespace persimmon
