#include "reporttree.h"

#include "versionfilter.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr std::size_t TreeFanout = 8;
constexpr std::size_t MaxLaggards = 5;
constexpr milliseconds KeepaliveInterval{2000};
constexpr milliseconds ReportValidity{6000};
constexpr milliseconds ReportInterval{50};

void addLaggard(std::vector<wire::Laggard> &Laggards, std::string Name,
                std::int64_t Version) {
  wire::Laggard Item;
  Item.Name = std::move(Name);
  Item.Version = Version;
  Laggards.push_back(std::move(Item));
}

void keepOldest(std::vector<wire::Laggard> &Laggards) {
  std::sort(Laggards.begin(), Laggards.end(),
            [](const wire::Laggard &Left, const wire::Laggard &Right) {
              return std::tie(Left.Version, Left.Name) <
                     std::tie(Right.Version, Right.Name);
            });
  if (Laggards.size() > MaxLaggards)
    Laggards.resize(MaxLaggards);
}

void addReport(wire::Report &Sum, const wire::Report &Part) {
  Sum.LeastVersion = std::min(Sum.LeastVersion, Part.LeastVersion);
  Sum.Count += Part.Count;
  Sum.NamesSum =
      static_cast<std::int64_t>(static_cast<std::uint64_t>(Sum.NamesSum) +
                                static_cast<std::uint64_t>(Part.NamesSum));
  Sum.Laggards.insert(Sum.Laggards.end(), Part.Laggards.begin(),
                      Part.Laggards.end());
  addAnswers(Sum.Versions, Part.Versions);
}

/// Returns the calls that are under way to other versions.
std::int64_t callsExcept(const std::vector<wire::VersionAnswers> &Counts,
                         std::string_view Version) {
  std::int64_t Out = 0;
  for (const wire::VersionAnswers &Item : Counts)
    Out += Item.Version == Version ? 0 : Item.UnderWay;
  return Out;
}

/// Returns whether the reports differ in their counts of roll-outs at most.
bool sameVersionsInForce(const wire::Report &Left, const wire::Report &Right) {
  return std::tie(Left.From, Left.LeastVersion, Left.Count, Left.NamesSum,
                  Left.Laggards) == std::tie(Right.From, Right.LeastVersion,
                                             Right.Count, Right.NamesSum,
                                             Right.Laggards);
}

bool isProxy(const wire::MemberRecord &Record) {
  return !Record.Control && isAlive(Record);
}

} // namespace

void ReportTree::receive(const wire::Report &Message, Time Now) {
  this->Children[Message.From] = {Message, Now + ReportValidity};
}

wire::Report ReportTree::subtreeReport(const Membership &Members,
                                       std::int64_t VersionInForce,
                                       Time Now) const {
  wire::Report Out;
  Out.From = Members.self().Name;
  Out.LeastVersion = VersionInForce;
  Out.Count = 1;
  Out.NamesSum = static_cast<std::int64_t>(hashOf(Out.From));
  addLaggard(Out.Laggards, Out.From, VersionInForce);
  Out.Versions = this->OwnAnswers;
  for (const auto &[Name, Item] : this->Children) {
    if (Now < Item.ValidUntil)
      addReport(Out, Item.Latest);
  }
  keepOldest(Out.Laggards);
  return Out;
}

void ReportTree::refreshParent(const Membership &Members) {
  if (this->ParentRevision == Members.revision())
    return;
  this->ParentRevision = Members.revision();
  this->ParentAddresses.clear();
  std::vector<const wire::MemberRecord *> Zone;
  std::size_t OwnIndex = 0;
  for (const auto &[Name, Record] : Members.records()) {
    if (!isProxy(Record) || Record.Zone != Members.self().Zone)
      continue;
    if (Name == Members.self().Name)
      OwnIndex = Zone.size();
    Zone.push_back(&Record);
  }
  if (OwnIndex > 0) {
    this->ParentAddresses.push_back(Zone[(OwnIndex - 1) / TreeFanout]->Address);
    return;
  }
  for (const auto &[Name, Record] : Members.records()) {
    if (Record.Control && isAlive(Record))
      this->ParentAddresses.push_back(Record.Address);
  }
}

void ReportTree::tick(const Membership &Members, std::int64_t VersionInForce,
                      Time Now, Effects &Out) {
  if (Members.self().Control || Now < this->NextReport)
    return;
  std::erase_if(this->Children, [&](const auto &Item) {
    return Now >= Item.second.ValidUntil;
  });
  this->refreshParent(Members);
  wire::Report NewReport = this->subtreeReport(Members, VersionInForce, Now);
  const bool Drained =
      !this->DrainingTo.empty() &&
      callsExcept(NewReport.Versions, this->DrainingTo) == 0 &&
      callsExcept(this->LastSent.Versions, this->DrainingTo) != 0;
  const bool AnswersDue =
      Drained || (Now >= this->NextAnswers &&
                  NewReport.Versions != this->LastSent.Versions);
  const bool AnswersOnly = Now < this->NextKeepalive &&
                           sameVersionsInForce(NewReport, this->LastSent);
  if (AnswersOnly && !AnswersDue)
    return;
  this->NextAnswers = Now + this->AnswersInterval;
  this->NextReport = Now + ReportInterval;
  const bool LeaderKnown =
      Now < this->LeaderUntil &&
      std::find(this->ParentAddresses.begin(), this->ParentAddresses.end(),
                this->Leader) != this->ParentAddresses.end();
  if (AnswersOnly && LeaderKnown) {
    send(Out, this->Leader, NewReport, Channel::Datagram);
  } else {
    this->NextKeepalive = Now + KeepaliveInterval;
    for (const std::string &Address : this->ParentAddresses)
      send(Out, Address, NewReport, Channel::Datagram);
  }
  this->LastSent = std::move(NewReport);
}

ReportTree::Summary ReportTree::summary(const Membership &Members,
                                        Time Now) const {
  wire::Report Sum;
  Sum.LeastVersion = INT64_MAX;
  for (const auto &[Name, Item] : this->Children) {
    if (Now < Item.ValidUntil)
      addReport(Sum, Item.Latest);
  }
  keepOldest(Sum.Laggards);
  Summary Out;
  std::uint64_t ExpectedNames = 0;
  for (const auto &[Name, Record] : Members.records()) {
    if (!isProxy(Record))
      continue;
    Out.Expected += 1;
    ExpectedNames += hashOf(Name);
  }
  Out.Reported = Sum.Count;
  Out.LeastVersion = Sum.Count == 0 ? 0 : Sum.LeastVersion;
  Out.Complete = ExpectedNames == static_cast<std::uint64_t>(Sum.NamesSum);
  Out.Laggards = std::move(Sum.Laggards);
  Out.Answers = std::move(Sum.Versions);
  return Out;
}

} // namespace persimmon
