#pragma once

#include "record.h"

namespace review {

enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// The cases. Each leaves the disruption out if \p Trouble is false.
Verdict runReusedAddress(Record &Out, bool Trouble);
Verdict runStaleLeader(Record &Out, bool Trouble);
Verdict runForgottenLeave(Record &Out, bool Trouble);
Verdict runLargeUploads(Record &Out, bool Trouble);
Verdict runUnreadableConfiguration(Record &Out, bool Trouble);

} // namespace review
