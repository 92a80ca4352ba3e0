#include "cancellationsender.h"

namespace persimmon {

namespace {

/// Many times the round trip time between availability zones. Allows two
/// resends within the 500 ms after which work for a disconnected caller is
/// wasted.
constexpr milliseconds RepeatInterval{200};
/// Most runs have ended within this time.
constexpr milliseconds GiveUpTimeout{2000};

Message cancellationOf(const wire::AttemptId &Id) {
  wire::CallCancel Out;
  Out.Id = Id;
  return Out;
}

} // namespace

void CancellationSender::cancel(const wire::AttemptId &Id,
                                std::string_view Address, Channel Via, Time Now,
                                Effects &Out) {
  this->Open[Id] = {std::string(Address), Now + RepeatInterval,
                    Now + GiveUpTimeout};
  send(Out, Address, cancellationOf(Id), Via);
}

void CancellationSender::tick(Time Now, Effects &Out) {
  for (auto Next = this->Open.begin(); Next != this->Open.end();) {
    Item &Cancelled = Next->second;
    if (Now >= Cancelled.GiveUpAt) {
      Next = this->Open.erase(Next);
      continue;
    }
    if (Now >= Cancelled.RepeatAt) {
      Cancelled.RepeatAt = Now + RepeatInterval;
      // The missing reply may be due to the connection, so avoid it.
      send(Out, Cancelled.Address, cancellationOf(Next->first),
           Channel::Datagram);
    }
    ++Next;
  }
}

} // namespace persimmon
