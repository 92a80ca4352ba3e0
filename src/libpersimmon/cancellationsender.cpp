#include "cancellationsender.h"

namespace persimmon {

namespace {

/// Many times the round trip time between availability zones. Allows two
/// resends within the 500 ms after which work for a disconnected caller is
/// wasted.
constexpr milliseconds ResendInterval{200};
/// Most runs have ended within this time.
constexpr milliseconds GiveUpTimeout{2000};

Message makeCancellation(const wire::AttemptId &Id) {
  wire::CallCancel Out;
  Out.Id = Id;
  return Out;
}

} // namespace

void CancellationSender::cancel(const wire::AttemptId &Id,
                                std::string_view Address, Channel Via, Time Now,
                                Effects &Out) {
  this->Unacknowledged[Id] = {std::string(Address), Now + ResendInterval,
                              Now + GiveUpTimeout};
  send(Out, Address, makeCancellation(Id), Via);
}

void CancellationSender::tick(Time Now, Effects &Out) {
  for (auto Next = this->Unacknowledged.begin();
       Next != this->Unacknowledged.end();) {
    PendingCancellation &Cancellation = Next->second;
    if (Now >= Cancellation.GiveUpAt) {
      Next = this->Unacknowledged.erase(Next);
      continue;
    }
    if (Now >= Cancellation.ResendAt) {
      Cancellation.ResendAt = Now + ResendInterval;
      // The missing reply may be due to the connection, so avoid it.
      send(Out, Cancellation.Address, makeCancellation(Next->first),
           Channel::Datagram);
    }
    ++Next;
  }
}

} // namespace persimmon
