#include "recordsize.h"

#include <string>
#include <vector>

namespace persimmon {

namespace {

/// What an allocation takes beyond its content.
constexpr std::size_t AllocationBytes = 16;

std::size_t heapOf(const std::string &Text) {
  static const std::size_t InlineBytes = std::string().capacity();
  return Text.size() <= InlineBytes ? 0 : Text.size() + AllocationBytes;
}

} // namespace

static std::size_t memoryOf(const wire::PathEdit &Record) {
  return sizeof(Record) + heapOf(Record.Path) + heapOf(Record.Value);
}

static std::size_t memoryOf(const wire::Replica &Record) {
  return sizeof(Record) + heapOf(Record.Instance) + heapOf(Record.Address);
}

static std::size_t memoryOf(const wire::Claim &Record) {
  return sizeof(Record) + heapOf(Record.Key) + heapOf(Record.Owner) +
         heapOf(Record.OwnerAddress);
}

static std::size_t memoryOf(const std::string &Text) {
  return sizeof(std::string) + heapOf(Text);
}

template <typename RecordT>
static std::size_t sumOf(const std::vector<RecordT> &List) {
  std::size_t Sum = 0;
  for (const RecordT &Item : List)
    Sum += memoryOf(Item);
  return Sum;
}

std::size_t memoryOf(const wire::Setting &Record) {
  return sizeof(Record) + heapOf(Record.Path) + heapOf(Record.Value);
}

std::size_t memoryOf(const wire::Delta &Record) {
  return sizeof(Record) + sumOf(Record.Puts) + sumOf(Record.Removed);
}

std::size_t memoryOf(const wire::LogEntry &Record) {
  return sizeof(Record) + heapOf(Record.TheChange.ChangeId) +
         heapOf(Record.TheChange.Team) + sumOf(Record.TheChange.Edits) +
         sumOf(Record.Voters) + sumOf(Record.Claims);
}

} // namespace persimmon
