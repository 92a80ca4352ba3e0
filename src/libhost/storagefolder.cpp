#include "storagefolder.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <optional>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace persimmon {

namespace {

namespace fs = std::filesystem;

constexpr std::size_t ReadBytes = 1u << 16;

std::string systemError() { return std::strerror(errno); }

/// Owns a file descriptor.
class Descriptor {
public:
  explicit Descriptor(int Number = -1) : Number(Number) {}
  Descriptor(Descriptor &&Other) noexcept
      : Number(std::exchange(Other.Number, -1)) {}
  Descriptor &operator=(Descriptor &&Other) noexcept {
    std::swap(this->Number, Other.Number);
    return *this;
  }
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;
  ~Descriptor() {
    if (this->Number >= 0)
      ::close(this->Number);
  }

  int number() const { return this->Number; }
  bool valid() const { return this->Number >= 0; }

private:
  int Number;
};

leaf::result<void> writeAll(const Descriptor &File, std::string_view Bytes,
                            const std::string &Path) {
  while (!Bytes.empty()) {
    const ssize_t Written = ::write(File.number(), Bytes.data(), Bytes.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written <= 0)
      return fail(ResultCode::DiskWriteFailed, Path, systemError());
    Bytes.remove_prefix(static_cast<std::size_t>(Written));
  }
  return {};
}

/// Reads up to \p Size bytes, or to the end of the file without \p Size.
leaf::result<std::string> readFrom(const Descriptor &File,
                                   std::optional<std::size_t> Size,
                                   const std::string &Path) {
  std::string Out;
  std::size_t Filled = 0;
  while (!Size || Filled < *Size) {
    Out.resize(Size ? *Size : Filled + ReadBytes);
    const ssize_t Count =
        ::read(File.number(), Out.data() + Filled, Out.size() - Filled);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return fail(ResultCode::DiskReadFailed, Path, systemError());
    if (Count == 0)
      break;
    Filled += static_cast<std::size_t>(Count);
  }
  Out.resize(Filled);
  return Out;
}

/// Writes and syncs a new file.
leaf::result<void> writeNew(const std::string &Path, std::string_view Bytes) {
  const Descriptor File(
      ::open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!File.valid())
    return fail(ResultCode::DiskWriteFailed, Path, systemError());
  BOOST_LEAF_CHECK(writeAll(File, Bytes, Path));
  if (::fsync(File.number()) != 0)
    return fail(ResultCode::DiskWriteFailed, Path, systemError());
  return {};
}

class PosixFolder : public StorageFolder {
public:
  PosixFolder(std::string Path, Descriptor Self)
      : Path(std::move(Path)), Self(std::move(Self)) {}

  std::string path(std::string_view Name) const override {
    return this->Path + "/" + std::string(Name);
  }

  leaf::result<bool> contains(const std::string &Name) const override {
    std::error_code Error;
    const fs::file_status Status = fs::status(this->path(Name), Error);
    if (Status.type() == fs::file_type::not_found)
      return false;
    if (Error)
      return fail(ResultCode::DiskReadFailed, this->path(Name),
                  Error.message());
    return true;
  }

  leaf::result<std::string> read(const std::string &Name) const override {
    BOOST_LEAF_AUTO(File, this->openToRead(Name));
    return readFrom(File, std::nullopt, this->path(Name));
  }

  leaf::result<std::string> read(const std::string &Name, std::uint64_t Offset,
                                 std::size_t Size) const override {
    // Small parts of one file are read one after the other.
    if (this->PartsName != Name) {
      BOOST_LEAF_ASSIGN(this->Parts, this->openToRead(Name));
      this->PartsName = Name;
    }
    if (::lseek(this->Parts.number(), static_cast<off_t>(Offset), SEEK_SET) < 0)
      return fail(ResultCode::DiskReadFailed, this->path(Name), systemError());
    BOOST_LEAF_AUTO(Out, readFrom(this->Parts, Size, this->path(Name)));
    if (Out.size() < Size)
      return fail(ResultCode::DiskReadFailed, this->path(Name),
                  "the file is shorter than before");
    return Out;
  }

  leaf::result<void> append(const std::string &Name,
                            std::string_view Bytes) override {
    BOOST_LEAF_CHECK(this->openToAppend(Name));
    return writeAll(this->Appended, Bytes, this->path(Name));
  }

  leaf::result<void> truncate(const std::string &Name,
                              std::uint64_t Size) override {
    std::error_code Error;
    fs::resize_file(this->path(Name), Size, Error);
    if (Error)
      return fail(ResultCode::DiskWriteFailed, this->path(Name),
                  Error.message());
    return {};
  }

  leaf::result<void> sync(const std::string &Name) override {
    BOOST_LEAF_CHECK(this->openToAppend(Name));
    if (::fdatasync(this->Appended.number()) != 0)
      return fail(ResultCode::DiskWriteFailed, this->path(Name), systemError());
    return {};
  }

  leaf::result<void> syncNames() override {
    if (::fsync(this->Self.number()) != 0)
      return fail(ResultCode::DiskWriteFailed, this->Path, systemError());
    return {};
  }

  leaf::result<void> replace(const std::string &Name,
                             std::string_view Bytes) override {
    const std::string Temporary = this->path(Name + ".new");
    const Failure Error =
        handleResult([&] { return writeNew(Temporary, Bytes); }, [] {});
    if (Error.failed()) {
      // What it has written so far may be what fills the disk.
      ::unlink(Temporary.c_str());
      return fail(Error.Code, Error.Where, Error.What);
    }
    this->closeFile(Name);
    if (::rename(Temporary.c_str(), this->path(Name).c_str()) != 0)
      return fail(ResultCode::DiskWriteFailed, this->path(Name), systemError());
    return this->syncNames();
  }

  leaf::result<void> moveAside(const std::string &Name,
                               const std::string &Subfolder) override {
    this->closeFile(Name);
    std::error_code Error;
    fs::create_directories(this->path(Subfolder), Error);
    if (!Error)
      fs::rename(this->path(Name), this->path(Subfolder) + "/" + Name, Error);
    if (Error)
      return fail(ResultCode::DiskWriteFailed, this->path(Name),
                  Error.message());
    return {};
  }

private:
  leaf::result<Descriptor> openToRead(const std::string &Name) const {
    Descriptor File(::open(this->path(Name).c_str(), O_RDONLY | O_CLOEXEC));
    if (!File.valid())
      return fail(ResultCode::DiskReadFailed, this->path(Name), systemError());
    return File;
  }

  leaf::result<void> openToAppend(const std::string &Name) {
    if (this->AppendedName == Name)
      return {};
    Descriptor File(
        ::open(this->path(Name).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
    if (!File.valid())
      return fail(ResultCode::DiskWriteFailed, this->path(Name), systemError());
    this->Appended = std::move(File);
    this->AppendedName = Name;
    return {};
  }

  void closeFile(const std::string &Name) {
    if (this->AppendedName == Name) {
      this->Appended = Descriptor();
      this->AppendedName.clear();
    }
    if (this->PartsName == Name) {
      this->Parts = Descriptor();
      this->PartsName.clear();
    }
  }

  std::string Path;
  Descriptor Self;
  Descriptor Appended;
  std::string AppendedName;
  mutable Descriptor Parts;
  mutable std::string PartsName;
};

} // namespace

leaf::result<std::unique_ptr<StorageFolder>>
openStorageFolder(const std::string &Path) {
  std::error_code Error;
  fs::create_directories(Path, Error);
  Descriptor Self(::open(Path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!Self.valid() || ::access(Path.c_str(), W_OK) != 0)
    return fail(ResultCode::DataFolderUnwritable, Path, systemError());
  if (::flock(Self.number(), LOCK_EX | LOCK_NB) != 0)
    return fail(ResultCode::DataFolderUnwritable, Path,
                "the folder is locked by another process");
  return std::make_unique<PosixFolder>(Path, std::move(Self));
}

} // namespace persimmon
