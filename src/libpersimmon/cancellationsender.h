#pragma once

#include "effects.h"

#include <map>
#include <string>
#include <string_view>

namespace persimmon {

/// Cancels attempts that nobody waits for any more, and says so again until the
/// target's daemon has answered: a cancellation may be lost with its connection
/// or wait behind what the link holds.
class CancelKeeper {
public:
  /// Cancels the attempt \p Id that was sent to \p Address. \p Via is Datagram
  /// if the connection that carried it has ended.
  void cancel(const wire::AttemptId &Id, std::string_view Address, Channel Via,
              Time Now, Effects &Out);

  /// Notes that the daemon at the attempt's address has answered.
  void answered(const wire::AttemptId &Id) { this->Open.erase(Id); }

  /// Repeats what was not answered.
  void tick(Time Now, Effects &Out);

private:
  struct Item {
    std::string Address;
    Time RepeatAt;
    Time GiveUpAt;
  };

  std::map<wire::AttemptId, Item> Open;
};

} // namespace persimmon
