#include "libhost/diskstore.h"
#include "support/lonecontrol.h"
#include "support/platformroutes.h"
#include "support/temporaryfolder.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <optional>

using namespace persimmon;
namespace fs = std::filesystem;

namespace {

constexpr std::size_t BytesPerMb = 1'000'000;
/// Memory of a machine that runs a control instance, and of its disk.
constexpr std::size_t ControlBytes = 256 * BytesPerMb;
constexpr std::size_t DiskBytes = 256 * BytesPerMb;
/// Memory of the smallest machine that runs a proxy.
constexpr std::size_t ProxyBytes = 110 * BytesPerMb;
constexpr int Routes = 2204;
constexpr int Changes = 160;

/// Returns the memory of this process.
std::size_t residentBytes() {
  std::ifstream In("/proc/self/status");
  std::string Word;
  while (In >> Word) {
    std::size_t Kib = 0;
    if (Word == "VmRSS:" && In >> Kib)
      return Kib * 1024;
  }
  return 0;
}

/// Returns the size of the files in \p Folder.
std::size_t bytesIn(const TemporaryFolder &Folder) {
  std::size_t Sum = 0;
  for (const auto &Item : fs::directory_iterator(Folder.path()))
    Sum += Item.is_regular_file() ? fs::file_size(Item) : 0;
  return Sum;
}

/// A control instance that is the only voter, with its disk.
class SingleControl {
public:
  explicit SingleControl(const TemporaryFolder &Folder) {
    const std::string Address = "127.0.0.1:7380";
    const auto Opened = handleResult(
        [&] {
          return DiskStore::open(Folder.path(), 1,
                                 initialVoterAt(Address).DiskId);
        },
        [&](DiskStore Store) { this->Disk.emplace(std::move(Store)); });
    REQUIRE(!Opened.failed());
    this->Daemon =
        makeLoneControl(Address, this->Disk->state(),
                        {this->Choice, this->VersionTopology}, this->Now);
    this->Disk->releaseState();
    this->submit(BootstrapRequested{{Address}});
    for (int I = 0; I < 200 && !this->Daemon->control()->consensus().ready();
         ++I)
      this->tick();
    REQUIRE(this->Daemon->control()->consensus().ready());
  }

  void submit(EventBody Body) {
    const Effects Out = this->Daemon->reduce({this->Now, 0, std::move(Body)});
    for (const Effect &Item : Out) {
      if (std::holds_alternative<ContinueWork>(Item))
        this->WorkLeft = true;
      std::visit([this](const auto &What) { this->execute(What); }, Item);
    }
  }

  void tick() {
    this->Now += milliseconds(20);
    this->submit(Tick());
    while (std::exchange(this->WorkLeft, false))
      this->submit(WorkContinued());
  }

  /// Replaces the whole configuration; returns whether it was accepted.
  bool replace(int Number) {
    SubtreeDocument Document;
    Document.Team = "mesh";
    Document.Number = Number;
    Document.BasedOn = Number - 1;
    Document.Digest = "digest-" + std::to_string(Number);
    for (const wire::Setting &Entry : platformServices(1))
      Document.Values.emplace(Entry.Path, Entry.Value);
    for (const wire::Setting &Entry : platformRoutes(0, Routes, 1)) {
      std::string Value = Entry.Value;
      Value.insert(Value.size() - 1, ",\"annotations\":{\"change\":" +
                                         std::to_string(Number) + "}");
      Document.Values.emplace(Entry.Path, std::move(Value));
    }
    ReplaceRequested Request;
    Request.RequestId = Number;
    Request.Document = std::move(Document);
    Request.Trusted = true;
    this->Accepted = false;
    this->submit(std::move(Request));
    for (int I = 0; I < 100 && !this->Accepted; ++I)
      this->tick();
    return this->Accepted;
  }

  const Node &node() const { return *this->Daemon; }

private:
  template <typename EffectT> void execute(const EffectT &) {}
  void execute(const AnswerOperator &Item) {
    INFO(describe(Item.Error));
    CHECK(!Item.Error.failed());
    this->Accepted = !Item.Error.failed();
  }
  void execute(const PersistHardState &Item) { this->persist(Item); }
  void execute(const PersistEntries &Item) { this->persist(Item); }
  void execute(const PersistSnapshot &Item) { this->persist(Item); }

  template <typename RecordT> void persist(const RecordT &Record) {
    const Failure Error =
        handleResult([&] { return this->Disk->write(Record); }, [] {});
    REQUIRE(!Error.failed());
  }

  LeastOfTwo Choice;
  PeerTopology VersionTopology;
  Time Now = Time() + std::chrono::hours(1);
  std::optional<DiskStore> Disk;
  std::unique_ptr<Node> Daemon;
  bool Accepted = false;
  bool WorkLeft = false;
};

} // namespace

// Guards against control instances that are killed for their memory, and again
// after each restart (Fault).
TEST_CASE("many changes of many routes fit into a control instance") {
  const TemporaryFolder Folder;
  {
    SingleControl Subject(Folder);
    for (int Number = 1; Number <= Changes; ++Number)
      REQUIRE(Subject.replace(Number));
    CHECK(residentBytes() < ControlBytes);
    CHECK(bytesIn(Folder) < DiskBytes);
  }
  SingleControl Restarted(Folder);
  CHECK(Restarted.node().control()->store().settings().size() > Routes);
  CHECK(residentBytes() < ControlBytes);
}

// Guards against proxies that are killed for their memory (Fault).
TEST_CASE("many changes of many routes fit into a proxy") {
  Distribution Subject(1);
  Effects Out;
  SettingsMap Content;
  std::uint64_t Hash = 0;
  for (int Number = 1; Number <= Changes; ++Number) {
    wire::Delta Change;
    Change.From = Number - 1;
    Change.To = Number;
    if (Number == 1)
      Change.Puts = platformServices(Number);
    for (wire::Setting &Entry : platformRoutes(0, Routes, Number))
      Change.Puts.push_back(std::move(Entry));
    for (const wire::Setting &Entry : Change.Puts)
      putSetting(Entry, Content, Hash);
    Change.Hash = static_cast<std::int64_t>(Hash);
    Subject.applyCommitted(Change, Out);
    Out.clear();
  }
  CHECK(Subject.version() == Changes);
  CHECK(residentBytes() < ProxyBytes);
}
