#include "simulateddisk.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr std::size_t SectorBytes = 512;

} // namespace

/// The folder as one process sees it.
class SimulatedFolder : public StorageFolder {
public:
  explicit SimulatedFolder(SimulatedDisk &Disk) : Disk(Disk) {}

  std::string path(std::string_view Name) const override {
    return "simulated/" + std::string(Name);
  }

  leaf::result<bool> contains(const std::string &Name) const override {
    if (!this->mayGoOn("contains", Name))
      return fail(ResultCode::DiskReadFailed, this->path(Name));
    return this->Disk.find(Name) != nullptr;
  }

  leaf::result<std::string> read(const std::string &Name) const override {
    const SimulatedDisk::FilePtr Item = this->Disk.find(Name);
    if (!this->mayGoOn("read", Name) || Item == nullptr)
      return fail(ResultCode::DiskReadFailed, this->path(Name));
    return Item->Written;
  }

  leaf::result<std::string> read(const std::string &Name, std::uint64_t Offset,
                                 std::size_t Size) const override {
    BOOST_LEAF_AUTO(Bytes, this->read(Name));
    if (Offset + Size > Bytes.size())
      return fail(ResultCode::DiskReadFailed, this->path(Name));
    return Bytes.substr(Offset, Size);
  }

  leaf::result<void> append(const std::string &Name,
                            std::string_view Bytes) override {
    const SimulatedDisk::FilePtr Item = this->Disk.find(Name);
    if (!this->mayGoOn("append", Name) || Item == nullptr)
      return this->writeFailed(Name);
    const std::size_t Half = Bytes.size() / 2;
    Item->Written += Bytes.substr(0, Half);
    if (!this->Disk.step())
      return this->writeFailed(Name);
    Item->Written += Bytes.substr(Half);
    return this->afterStep(Name);
  }

  leaf::result<void> truncate(const std::string &Name,
                              std::uint64_t Size) override {
    const SimulatedDisk::FilePtr Item = this->Disk.find(Name);
    if (!this->mayGoOn("truncate", Name) || Item == nullptr)
      return this->writeFailed(Name);
    Item->Written.resize(Size);
    Item->Agreed = std::min<std::size_t>(Item->Agreed, Size);
    return this->afterStep(Name);
  }

  leaf::result<void> sync(const std::string &Name) override {
    const SimulatedDisk::FilePtr Item = this->Disk.find(Name);
    if (!this->mayGoOn("sync", Name) || Item == nullptr)
      return this->writeFailed(Name);
    Item->Synced = Item->Written;
    Item->Agreed = Item->Written.size();
    return this->afterStep(Name);
  }

  leaf::result<void> syncNames() override {
    if (!this->mayGoOn("syncNames", ""))
      return this->writeFailed("");
    this->Disk.syncNames();
    return this->afterStep("");
  }

  leaf::result<void> replace(const std::string &Name,
                             std::string_view Bytes) override {
    if (!this->mayGoOn("replace", Name))
      return this->writeFailed(Name);
    const std::string Temporary = Name + ".new";
    this->Disk.setName(Temporary, std::make_shared<SimulatedDisk::File>());
    BOOST_LEAF_CHECK(this->append(Temporary, Bytes));
    BOOST_LEAF_CHECK(this->sync(Temporary));
    this->Disk.setName(Name, this->Disk.find(Temporary));
    this->Disk.setName(Temporary, nullptr);
    BOOST_LEAF_CHECK(this->afterStep(Name));
    return this->syncNames();
  }

  leaf::result<void> moveAside(const std::string &Name,
                               const std::string &Subfolder) override {
    if (!this->mayGoOn("moveAside", Name))
      return this->writeFailed(Name);
    this->Disk.setName(std::string(Subfolder).append("/").append(Name),
                       this->Disk.find(Name));
    this->Disk.setName(Name, nullptr);
    return this->afterStep(Name);
  }

private:
  /// Returns whether an operation may begin.
  bool mayGoOn(std::string_view Operation, const std::string &Name) const {
    return this->Disk.step() &&
           !(this->Disk.Refuses && this->Disk.Refuses(Operation, Name));
  }

  /// Ends an operation that was done; its process may end before it learns so.
  leaf::result<void> afterStep(const std::string &Name) {
    if (!this->Disk.step())
      return this->writeFailed(Name);
    return {};
  }

  leaf::result<void> writeFailed(const std::string &Name) const {
    return fail(ResultCode::DiskWriteFailed, this->path(Name));
  }

  SimulatedDisk &Disk;
};

std::unique_ptr<StorageFolder> SimulatedDisk::openFolder() {
  return std::make_unique<SimulatedFolder>(*this);
}

bool SimulatedDisk::step() {
  if (!this->StepsLeft)
    return true;
  if (*this->StepsLeft > 0)
    *this->StepsLeft -= 1;
  return *this->StepsLeft > 0;
}

SimulatedDisk::FilePtr SimulatedDisk::find(const std::string &Name) const {
  const auto Found = this->Names.find(Name);
  return Found == this->Names.end() ? nullptr : Found->second.back();
}

void SimulatedDisk::setName(const std::string &Name, FilePtr Value) {
  auto &History = this->Names[Name];
  if (History.empty())
    History.push_back(nullptr);
  History.push_back(std::move(Value));
}

void SimulatedDisk::syncNames() {
  for (auto &[Name, History] : this->Names)
    History = {History.back()};
}

void SimulatedDisk::loseUnsynced(File &Item, std::mt19937_64 &Random) {
  const std::size_t Longest = std::max(Item.Written.size(), Item.Synced.size());
  std::size_t Size = Item.Written.size();
  if (Random() % 4 == 0)
    Size = Item.Agreed + Random() % (Longest - Item.Agreed + 1);
  std::string Out = Item.Written.substr(0, Item.Agreed);
  while (Out.size() < Size) {
    const std::size_t Begin = Out.size();
    const std::size_t End =
        std::min(Size, (Begin / SectorBytes + 1) * SectorBytes);
    const auto Fate = Random() % 4;
    if (Fate == 0 && End <= Item.Synced.size())
      Out += Item.Synced.substr(Begin, End - Begin);
    else if (Fate <= 1 && End <= Item.Written.size())
      Out += Item.Written.substr(Begin, End - Begin);
    else
      while (Out.size() < End)
        Out += Fate == 2 ? '\0' : static_cast<char>(Random());
  }
  Item.Written = std::move(Out);
}

void SimulatedDisk::losePower(std::mt19937_64 &Random) {
  const auto Kind = Random() % 4;
  if (Kind == 0)
    return this->losePowerAndAllUnsynced();
  for (auto &[Name, History] : this->Names) {
    if (Kind != 1)
      History = {History[Random() % History.size()]};
    const FilePtr &Item = History.back();
    if (Item == nullptr)
      continue;
    if (Kind != 1)
      SimulatedDisk::loseUnsynced(*Item, Random);
    Item->Synced = Item->Written;
    Item->Agreed = Item->Written.size();
  }
  this->syncNames();
  this->restart();
}

void SimulatedDisk::losePowerAndAllUnsynced() {
  for (auto &[Name, History] : this->Names) {
    History = {History.front()};
    const FilePtr &Item = History.front();
    if (Item == nullptr)
      continue;
    Item->Written = Item->Synced;
    Item->Agreed = Item->Written.size();
  }
  this->restart();
}

std::optional<std::string>
SimulatedDisk::content(const std::string &Name) const {
  const FilePtr Item = this->find(Name);
  if (Item == nullptr)
    return std::nullopt;
  return Item->Written;
}

void SimulatedDisk::setContent(const std::string &Name, std::string Bytes) {
  const auto Item = std::make_shared<File>();
  Item->Written = std::move(Bytes);
  Item->Synced = Item->Written;
  Item->Agreed = Item->Written.size();
  this->Names[Name] = {Item};
}

bool SimulatedDisk::hasNameWith(std::string_view Prefix) const {
  return std::any_of(
      this->Names.begin(), this->Names.end(), [&](const auto &Item) {
        return Item.first.starts_with(Prefix) && Item.second.back() != nullptr;
      });
}

} // namespace persimmon
