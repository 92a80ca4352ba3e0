#pragma once

#include "effects.h"

#include <map>
#include <string>
#include <string_view>

namespace persimmon {

/// Cancels attempts whose result is no longer needed. Resends each cancellation
/// until the target's daemon has replied, because it may be lost with its
/// connection or delayed by other traffic on the link.
class CancellationSender {
public:
  /// Cancels the attempt \p Id that was sent to \p Address. \p Via must be
  /// Datagram if the connection that carried the attempt has ended.
  void cancel(const wire::AttemptId &Id, std::string_view Address, Channel Via,
              Time Now, Effects &Out);

  /// Stops resending the cancellation because the target's daemon has replied.
  void answered(const wire::AttemptId &Id) { this->Unacknowledged.erase(Id); }

  /// Resends cancellations that are due and drops expired ones.
  void tick(Time Now, Effects &Out);

private:
  struct PendingCancellation {
    std::string Address;
    Time ResendAt;
    Time GiveUpAt;
  };

  std::map<wire::AttemptId, PendingCancellation> Unacknowledged;
};

} // namespace persimmon
